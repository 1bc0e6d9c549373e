//! Life cycle of a request as typestate: accepted, queued, dispatched, answered.
//!
//! Only a request that was dispatched at least once can end as `completed` or `unknown`, and only one that no dispatch
//! may have run can end as `not-run`. Each state has only the allowed transitions, because a wrong outcome would make
//! callers lose or repeat requests.

use std::time::{Duration, Instant};

use super::Outcome;

/// What every state of a request carries.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Unique ID, which matches the answer to the request.
    pub id: String,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
    /// True if the request may be sent again although an earlier attempt may have run.
    pub idempotent: bool,
}

impl RequestInfo {
    /// Time left at `now`; zero after the deadline.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// A request that has been read completely.
#[derive(Debug)]
pub struct Accepted {
    info: RequestInfo,
}

/// A request that waits for its next route. An earlier dispatch may still be running.
#[derive(Debug)]
pub struct Queued {
    info: RequestInfo,
    /// True if an earlier dispatch may have run.
    may_have_run: bool,
}

/// A request that was given to a target or a peer and may run.
#[derive(Debug)]
pub struct Dispatched {
    info: RequestInfo,
    may_have_run: bool,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answered {
    /// What the caller is told.
    pub outcome: Outcome,
}

impl Accepted {
    /// Starts the life cycle.
    #[must_use]
    pub fn new(info: RequestInfo) -> Self {
        Self { info }
    }

    /// Queues the request for a slot.
    #[must_use]
    pub fn queue(self) -> Queued {
        Queued { info: self.info, may_have_run: false }
    }

    /// Ends without a dispatch.
    #[must_use]
    pub fn refuse(self) -> Answered {
        Answered { outcome: Outcome::NotRun }
    }
}

impl Queued {
    /// ID, deadline and idempotence of the request.
    #[must_use]
    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    /// Gives the request to a target or a peer.
    #[must_use]
    pub fn dispatch(self) -> Dispatched {
        Dispatched { info: self.info, may_have_run: self.may_have_run }
    }

    /// Ends without another dispatch: `unknown` if an earlier dispatch may have run, else `not-run`.
    #[must_use]
    pub fn end_unanswered(self) -> Answered {
        Answered { outcome: if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun } }
    }
}

impl Dispatched {
    /// ID, deadline and idempotence of the request.
    #[must_use]
    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    /// Ends with a complete answer.
    #[must_use]
    pub fn complete(self) -> Answered {
        Answered { outcome: Outcome::Completed }
    }

    /// Returns to the queue. Another dispatch is safe, because no byte reached the target or the target refused.
    #[must_use]
    pub fn not_run(self) -> Queued {
        Queued { info: self.info, may_have_run: self.may_have_run }
    }

    /// Returns an idempotent request to the queue after a dispatch that may have run. Any other request ends here.
    ///
    /// # Errors
    ///
    /// The end of a request that must not be sent again.
    pub fn unknown(self) -> Result<Queued, Answered> {
        if self.info.idempotent {
            Ok(Queued { info: self.info, may_have_run: true })
        } else {
            Err(Answered { outcome: Outcome::Unknown })
        }
    }
}
