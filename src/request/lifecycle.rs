//! Life cycle of a request as typestate: accepted, queued, dispatched, answered.
//!
//! Only a dispatched request can end as `completed` or `unknown`, and only one that has no dispatch behind it can end as
//! `not-run`. The types make a wrong outcome a compile error instead of a lost or duplicated booking.

use std::time::{Duration, Instant};

use super::Outcome;

/// What is known of a request in every state.
#[derive(Clone, Debug)]
pub struct Facts {
    /// Unique id; ties the answer to the request.
    pub id: String,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// True if the request may be repeated.
    pub idempotent: bool,
}

impl Facts {
    /// Time left at `now`; zero after the deadline.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Read whole from the caller.
#[derive(Debug)]
pub struct Accepted {
    facts: Facts,
}

/// Waits for a slot; nothing has been sent.
#[derive(Debug)]
pub struct Queued {
    facts: Facts,
    /// True if an earlier dispatch may have run.
    may_have_run: bool,
}

/// Given to a target or a peer; it may run.
#[derive(Debug)]
pub struct Dispatched {
    facts: Facts,
    may_have_run: bool,
}

/// Ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answered {
    /// What the caller is told.
    pub outcome: Outcome,
}

impl Accepted {
    /// Starts the life cycle.
    #[must_use]
    pub fn new(facts: Facts) -> Self {
        Self { facts }
    }

    /// Asks for a slot.
    #[must_use]
    pub fn queue(self) -> Queued {
        Queued { facts: self.facts, may_have_run: false }
    }

    /// Ends without a dispatch.
    #[must_use]
    pub fn refuse(self) -> Answered {
        Answered { outcome: Outcome::NotRun }
    }
}

impl Queued {
    /// The facts.
    #[must_use]
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Gives the request to a target or a peer.
    #[must_use]
    pub fn dispatch(self) -> Dispatched {
        Dispatched { facts: self.facts, may_have_run: self.may_have_run }
    }

    /// Ends without another dispatch: `unknown` if an earlier dispatch may have run, else `not-run`.
    #[must_use]
    pub fn end_unanswered(self) -> Answered {
        Answered { outcome: if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun } }
    }
}

impl Dispatched {
    /// The facts.
    #[must_use]
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// A whole answer came.
    #[must_use]
    pub fn complete(self) -> Answered {
        Answered { outcome: Outcome::Completed }
    }

    /// No byte reached the target, or it refused: another dispatch is safe.
    #[must_use]
    pub fn not_run(self) -> Queued {
        Queued { facts: self.facts, may_have_run: self.may_have_run }
    }

    /// The dispatch may have run. An idempotent request may be repeated; any other ends here.
    ///
    /// # Errors
    ///
    /// The end of a request that must not be repeated.
    pub fn unknown(self) -> Result<Queued, Answered> {
        if self.facts.idempotent {
            Ok(Queued { facts: self.facts, may_have_run: true })
        } else {
            Err(Answered { outcome: Outcome::Unknown })
        }
    }
}
