//! A process that does not hold a domain: its claims and its promises.

use std::time::Instant;

use super::holding::Confirmations;
use super::{Claim, ClaimantClass, Delays, HoldRow, RELEASED};
use crate::platform::table::Revision;

/// State of this process's claim on a domain.
#[derive(Clone, Debug, PartialEq)]
enum OwnClaim {
    None,
    /// Sent, and the outcome is not known yet.
    InDoubt {
        row: HoldRow,
    },
    /// `known_at` is the time at which the answer arrived, so not before the commit.
    Committed {
        row: HoldRow,
        revision: Revision,
        known_at: Instant,
    },
}

/// Next action of a candidate.
#[derive(Clone, Debug, PartialEq)]
pub enum CandidateAction {
    /// Do nothing until the next read of the row.
    Wait,
    /// Commit this row if the row is absent.
    Create(HoldRow),
    /// Commit this claim if the row is at the revision, after [`Candidate::on_claim_sent`].
    Claim(HoldRow, Revision),
    /// Commit this row, which makes the process the holder, if the row is at the revision.
    Take(HoldRow, Revision),
}

/// A process that may want to become the holder of a domain.
#[derive(Clone, Debug)]
pub struct Candidate {
    process: String,
    delays: Delays,
    /// The row as last read; `None` before the first read, `Some(None)` if there is no row.
    last_read: Option<Option<(HoldRow, Revision)>>,
    /// When the request of the last read was sent.
    last_read_sent_at: Option<Instant>,
    /// Revision of the row with another process's claim, and the receipt of the first answer that showed it.
    foreign_claim: Option<(Revision, Instant)>,
    own: OwnClaim,
    /// End of the promises given: no claim is sent before this time.
    promised_until: Option<Instant>,
    /// Set in a planned stop; from then on the process makes no claim, and neither takes nor creates a hold.
    retired: bool,
}

impl Candidate {
    /// Creates a candidate that has not read the row and has no claim.
    #[must_use]
    pub fn new(process: &str, delays: Delays) -> Self {
        Self {
            process: process.to_owned(),
            delays,
            last_read: None,
            last_read_sent_at: None,
            foreign_claim: None,
            own: OwnClaim::None,
            promised_until: None,
            retired: false,
        }
    }

    /// Returns the row as last read; `None` before the first read or if there is no row.
    #[must_use]
    pub fn row(&self) -> Option<&HoldRow> {
        self.last_read.as_ref()?.as_ref().map(|(row, _)| row)
    }

    /// Returns true once the row, or its absence, has been read.
    #[must_use]
    pub fn has_seen(&self) -> bool {
        self.last_read.is_some()
    }

    /// Handles a read of the row that was sent at `sent_at` and received at `now`. An older row than the one known is
    /// ignored.
    pub fn on_row(&mut self, row: Option<(HoldRow, Revision)>, sent_at: Instant, now: Instant) {
        let known_revision =
            self.last_read.as_ref().and_then(Option::as_ref).map_or(0, |(_, revision)| *revision);
        let revision = row.as_ref().map_or(0, |(_, revision)| *revision);
        if revision < known_revision {
            return;
        }
        self.record_own_claim(row.as_ref(), now);
        self.record_foreign_claim(row.as_ref(), now);
        self.last_read = Some(row);
        self.last_read_sent_at = self.last_read_sent_at.max(Some(sent_at));
    }

    /// Drops a committed claim that is no longer in the row: the holder has removed it, or another claimant has
    /// replaced it. A claim in doubt stays in doubt until the outcome of its operation is known.
    fn record_own_claim(&mut self, row: Option<&(HoldRow, Revision)>, _now: Instant) {
        let OwnClaim::Committed { revision, .. } = &self.own else { return };
        if row.is_none_or(|(_, found)| found > revision) {
            self.own = OwnClaim::None;
        }
    }

    fn record_foreign_claim(&mut self, row: Option<&(HoldRow, Revision)>, now: Instant) {
        let found = row.filter(|(row, _)| {
            row.claim.as_ref().is_some_and(|claim| claim.claimant != self.process)
        });
        match (found, self.foreign_claim) {
            (None, _) => self.foreign_claim = None,
            (Some((_, revision)), Some((known, _))) if *revision == known => {}
            (Some((_, revision)), _) => self.foreign_claim = Some((*revision, now)),
        }
    }

    /// Returns the next action. `holder_is_silent` is true while the holder does not answer.
    #[must_use]
    pub fn next_action(&self, holder_is_silent: bool, now: Instant) -> CandidateAction {
        let Some(last_read) = &self.last_read else { return CandidateAction::Wait };
        if self.retired {
            return CandidateAction::Wait;
        }
        let Some((row, revision)) = last_read else {
            return CandidateAction::Create(first_row(&self.process));
        };
        match &self.own {
            OwnClaim::InDoubt { .. } => CandidateAction::Wait,
            OwnClaim::Committed { row: claimed, revision, known_at } => {
                let delay = self.delays.of(claimed.class_of(&self.process));
                let due = now >= *known_at + delay;
                if due {
                    CandidateAction::Take(claimed.taken_by(&self.process), *revision)
                } else {
                    CandidateAction::Wait
                }
            }
            OwnClaim::None if row.holder == RELEASED => {
                CandidateAction::Take(row.taken_by(&self.process), *revision)
            }
            OwnClaim::None if holder_is_silent && self.may_claim(row, now) => {
                let class = row.class_of(&self.process);
                let mut claimed = row.clone();
                claimed.claim = Some(Claim { claimant: self.process.clone(), class });
                CandidateAction::Claim(claimed, *revision)
            }
            OwnClaim::None => CandidateAction::Wait,
        }
    }

    /// Returns true if a claim may be sent. A claim of another process may be replaced by one of an earlier class, or
    /// once twice its delay has passed; otherwise two claimants could replace each other forever.
    fn may_claim(&self, row: &HoldRow, now: Instant) -> bool {
        if self.promised_until.is_some_and(|until| now < until) {
            return false;
        }
        let Some(claim) = &row.claim else { return true };
        let overdue = self
            .foreign_claim
            .is_none_or(|(_, first_seen)| now >= first_seen + self.delays.of(claim.class) * 2);
        row.class_of(&self.process) < claim.class || overdue
    }

    /// Records a claim before it is sent. From then on the process gives no promise.
    pub fn on_claim_sent(&mut self, row: HoldRow) {
        self.own = OwnClaim::InDoubt { row };
    }

    /// Handles the commit of the claim; `now` is the receipt of the answer.
    pub fn on_claim_committed(&mut self, revision: Revision, now: Instant) {
        let OwnClaim::InDoubt { row } = std::mem::replace(&mut self.own, OwnClaim::None) else {
            return;
        };
        self.last_read = Some(Some((row.clone(), revision)));
        self.own = OwnClaim::Committed { row, revision, known_at: now };
    }

    /// Drops the own claim. Called when the claim did not and cannot commit, and when the write that takes the hold was
    /// not confirmed: it did not commit, or the process stops before its outcome is known.
    pub fn on_claim_refused(&mut self) {
        self.own = OwnClaim::None;
    }

    /// Answers the holder's request for a promise; returns true if the process promises. It then makes no claim for the
    /// delay of `class`.
    pub fn on_query(&mut self, epoch: u64, class: ClaimantClass, now: Instant) -> bool {
        if self.own != OwnClaim::None || self.row().is_some_and(|row| row.epoch > epoch) {
            return false;
        }
        self.promised_until = self.promised_until.max(Some(now + self.delays.of(class)));
        true
    }

    /// Returns true if the process has no claim that is committed or in doubt.
    #[must_use]
    pub fn has_no_claim(&self) -> bool {
        self.own == OwnClaim::None
    }

    /// Returns what this process's own reads of the row confirm for an epoch, on its own clock.
    #[must_use]
    pub fn confirmations(&self, epoch: u64) -> Confirmations {
        let clean = self.row().is_some_and(|row| row.epoch == epoch && row.claim.is_none());
        match self.last_read_sent_at {
            Some(last_read_sent_at) if clean => Confirmations::all(last_read_sent_at),
            _ => Confirmations::default(),
        }
    }

    /// Makes the process claim, take and create nothing from now on, for a planned stop.
    pub fn retire(&mut self) {
        self.retired = true;
    }
}

fn first_row(process: &str) -> HoldRow {
    HoldRow {
        holder: process.to_owned(),
        epoch: 1,
        successors: std::collections::BTreeSet::new(),
        rescuers: std::collections::BTreeSet::new(),
        claim: None,
    }
}
