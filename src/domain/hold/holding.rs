//! The holder's side: until when it may schedule, and until when a worker may run an exclusive task.
//!
//! Every confirmation is counted from before its request was sent. A claim that the request did not see was therefore
//! committed after the counted time, and takes effect only after the holder has stopped by its own clock.

use std::collections::BTreeSet;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{ClaimantClass, Delays, HoldRow};
use crate::platform::table::Revision;

/// When each class was last known to have no claim.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmations {
    /// No successor had a claim.
    pub successor: Option<Instant>,
    /// No rescuer had a claim.
    pub rescuer: Option<Instant>,
    /// No other process had a claim.
    pub unlisted: Option<Instant>,
}

impl Confirmations {
    /// All classes confirmed by one request to the table.
    #[must_use]
    pub const fn all(sent_at: Instant) -> Self {
        Self { successor: Some(sent_at), rescuer: Some(sent_at), unlisted: Some(sent_at) }
    }

    fn raise(&mut self, class: ClaimantClass, sent_at: Instant) {
        let held = match class {
            ClaimantClass::Successor => &mut self.successor,
            ClaimantClass::Rescuer => &mut self.rescuer,
            ClaimantClass::Unlisted => &mut self.unlisted,
        };
        *held = (*held).max(Some(sent_at));
    }
}

/// What a holder passes to its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inherited {
    /// The row as last read or written.
    pub row: HoldRow,
    /// Revision of the row.
    pub revision: Revision,
    /// A write of the row whose outcome is unknown. It may still commit, so the processes that it names count as named;
    /// without it, one of them could claim unnoticed by the successor.
    pub unsettled: Option<HoldRow>,
}

/// What a read of the hold row means for its holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowVerdict {
    /// The hold is confirmed.
    Confirmed,
    /// Another process claims; the holder must remove the claim.
    Claimed,
    /// Another process holds the domain.
    Lost,
    /// The answer is older than one already seen.
    Stale,
}

/// The hold as its holder knows it.
#[derive(Clone, Debug)]
pub struct Holding {
    process: String,
    delays: Delays,
    row: HoldRow,
    revision: Revision,
    confirmed: Confirmations,
    /// A change of the lists whose outcome is unknown: its processes may already be named.
    unsettled: Option<HoldRow>,
    /// Set before the hand-over message is sent, and when the hold is lost; never cleared.
    ended: bool,
}

impl Holding {
    /// A hold that was written by a transaction sent at `sent_at`.
    #[must_use]
    pub fn taken(
        process: &str,
        delays: Delays,
        row: HoldRow,
        revision: Revision,
        sent_at: Instant,
    ) -> Self {
        let confirmed = Confirmations::all(sent_at);
        Self::new(process, delays, Inherited { row, revision, unsettled: None }, confirmed)
    }

    /// A hold that was handed over by message: `confirmed` is this process's own knowledge of the row, since the
    /// message may have been delayed for any time.
    #[must_use]
    pub fn new(
        process: &str,
        delays: Delays,
        inherited: Inherited,
        confirmed: Confirmations,
    ) -> Self {
        Self {
            process: process.to_owned(),
            delays,
            row: inherited.row,
            revision: inherited.revision,
            confirmed,
            unsettled: inherited.unsettled,
            ended: false,
        }
    }

    /// The state that a leaving holder hands to its successor.
    #[must_use]
    pub fn hand_over_state(&self) -> Inherited {
        Inherited {
            row: self.row.clone(),
            revision: self.revision,
            unsettled: self.unsettled.clone(),
        }
    }

    /// The row as last read or written.
    #[must_use]
    pub fn row(&self) -> &HoldRow {
        &self.row
    }

    /// Revision of the row.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The epoch that the holder's writes are conditional on.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// When each class was last confirmed.
    #[must_use]
    pub fn confirmed(&self) -> &Confirmations {
        &self.confirmed
    }

    /// True if the row names another process, as after a hand-over by message.
    #[must_use]
    pub fn must_write_itself(&self) -> bool {
        self.row.holder != self.process
    }

    /// True while the holder may start, renew and write.
    #[must_use]
    pub fn may_schedule(&self, now: Instant) -> bool {
        !self.ended && self.schedule_until().is_some_and(|until| now < until)
    }

    /// When the permission ends unless it is confirmed again.
    #[must_use]
    pub fn schedule_until(&self) -> Option<Instant> {
        let successor = self.confirmed.successor? + self.delays.successor;
        Some(successor.min(self.exclusive_until()?))
    }

    /// The latest end of a worker's lease for an exclusive task. Successors inherit running tasks, so their class does
    /// not bound it.
    #[must_use]
    pub fn exclusive_until(&self) -> Option<Instant> {
        let rescuer = self.confirmed.rescuer? + self.delays.rescuer;
        let unlisted = self.confirmed.unlisted? + self.delays.unlisted;
        Some(rescuer.min(unlisted))
    }

    /// Takes a read of the row that was sent at `sent_at`. `None` means that the row has not changed since the
    /// revision last seen.
    pub fn on_row(
        &mut self,
        changed: Option<(&HoldRow, Revision)>,
        sent_at: Instant,
    ) -> RowVerdict {
        if let Some((row, revision)) = changed {
            if revision < self.revision {
                return RowVerdict::Stale;
            }
            let same = row.epoch == self.row.epoch && row.holder == self.row.holder;
            if !same && !self.is_own_write(row) {
                self.ended = true;
                return RowVerdict::Lost;
            }
            self.row = row.clone();
            self.revision = revision;
        }
        if self.row.claim.is_some() {
            return RowVerdict::Claimed;
        }
        for class in [ClaimantClass::Successor, ClaimantClass::Rescuer, ClaimantClass::Unlisted] {
            self.confirmed.raise(class, sent_at);
        }
        RowVerdict::Confirmed
    }

    /// Takes the result of the holder's own write of the row, which was sent at `sent_at`.
    pub fn on_written(&mut self, row: HoldRow, revision: Revision, sent_at: Instant) {
        self.row = row;
        self.revision = revision;
        self.unsettled = None;
        for class in [ClaimantClass::Successor, ClaimantClass::Rescuer, ClaimantClass::Unlisted] {
            self.confirmed.raise(class, sent_at);
        }
    }

    fn is_own_write(&self, row: &HoldRow) -> bool {
        self.unsettled
            .as_ref()
            .is_some_and(|sent| sent.epoch == row.epoch && sent.holder == row.holder)
    }

    /// The write that was noted last certainly did not and will not commit.
    pub fn on_write_refused(&mut self) {
        self.unsettled = None;
    }

    /// Notes a change of the row before it is sent. Until its outcome is known, the processes of both rows count as
    /// named.
    pub fn on_write_sent(&mut self, row: HoldRow) {
        self.unsettled = Some(row);
    }

    /// The processes whose promises confirm a class. The holder itself needs no promise of its own.
    #[must_use]
    pub fn named(&self, class: ClaimantClass) -> BTreeSet<String> {
        let list = |row: &HoldRow| match class {
            ClaimantClass::Successor => row.successors.clone(),
            ClaimantClass::Rescuer => row.rescuers.clone(),
            ClaimantClass::Unlisted => BTreeSet::new(),
        };
        let mut named = list(&self.row);
        named.extend(self.unsettled.iter().flat_map(list));
        named.remove(&self.process);
        named
    }

    /// Takes the promises of a class that were asked for at `sent_at`. They count only if every named process
    /// promised. Promises never confirm the unlisted class.
    pub fn on_promises(
        &mut self,
        class: ClaimantClass,
        promised: &BTreeSet<String>,
        sent_at: Instant,
    ) -> bool {
        if class == ClaimantClass::Unlisted || !self.named(class).is_subset(promised) {
            return false;
        }
        self.confirmed.raise(class, sent_at);
        true
    }

    /// Ends the hold, before a hand-over message is sent or the row is released.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// True once the hold has ended for this process.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended
    }
}
