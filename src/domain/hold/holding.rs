//! The holder's side: until when it may schedule, and until when a worker may run an exclusive task.
//!
//! The time of a confirmation is taken before its request is sent. A claim that a read does not show was therefore
//! committed after that time, and takes effect only after the holder has stopped by its own clock.

use std::collections::BTreeSet;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{ClaimantClass, Delays, HoldRow};
use crate::platform::table::Revision;

/// Last time at which each class of processes was known to have no claim; `None` if that was never confirmed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmations {
    /// Bounds the permission to schedule.
    pub successor: Option<Instant>,
    /// Bounds the permission to schedule and the leases of exclusive tasks.
    pub rescuer: Option<Instant>,
    /// Bounds the same as `rescuer`. Only a read or a write of the row raises it; promises never do.
    pub unlisted: Option<Instant>,
}

impl Confirmations {
    /// Confirms all classes at `sent_at`, the time at which a request to the table was sent.
    #[must_use]
    pub const fn all(sent_at: Instant) -> Self {
        Self { successor: Some(sent_at), rescuer: Some(sent_at), unlisted: Some(sent_at) }
    }

    /// Raises the time of one class; an older time changes nothing.
    fn confirm(&mut self, class: ClaimantClass, sent_at: Instant) {
        let current = match class {
            ClaimantClass::Successor => &mut self.successor,
            ClaimantClass::Rescuer => &mut self.rescuer,
            ClaimantClass::Unlisted => &mut self.unlisted,
        };
        *current = (*current).max(Some(sent_at));
    }
}

/// Hand-over state: what a stopping holder sends to its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inherited {
    /// Hold row as the sender last read or wrote it.
    pub row: HoldRow,
    /// Revision of `row` in the table.
    pub revision: Revision,
    /// Write of the row that is in doubt. It may still commit, so the successors and rescuers that it names must
    /// promise too; otherwise one of them could claim without the receiver of this state noticing.
    pub unsettled: Option<HoldRow>,
}

/// Result of a read of the hold row by its holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowStatus {
    /// The row has no claim, so the read confirms all classes.
    Confirmed,
    /// Another process has a claim, which the holder must remove.
    Claimed,
    /// Another process holds the domain.
    Lost,
    /// The read is older than one already handled and is ignored.
    Stale,
}

/// A hold in the process that has it.
#[derive(Clone, Debug)]
pub struct Holding {
    process: String,
    delays: Delays,
    row: HoldRow,
    revision: Revision,
    confirmed: Confirmations,
    /// Write of the row that is in doubt. It may have committed, so the processes that it names may be named in the
    /// table.
    in_doubt: Option<HoldRow>,
    /// Set before the hand-over message is sent or the row is released, and when the hold is lost; never cleared.
    ended: bool,
}

impl Holding {
    /// Creates a hold that a transaction, sent at `sent_at`, wrote into the table.
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

    /// Creates a hold that was handed over by message. `confirmed` comes from this process's own reads of the row,
    /// since the message may have been delayed for any time.
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
            in_doubt: inherited.unsettled,
            ended: false,
        }
    }

    /// Returns the state that a stopping holder sends to its successor.
    #[must_use]
    pub fn hand_over_state(&self) -> Inherited {
        Inherited {
            row: self.row.clone(),
            revision: self.revision,
            unsettled: self.in_doubt.clone(),
        }
    }

    /// Returns the row as last read or written by this process.
    #[must_use]
    pub fn row(&self) -> &HoldRow {
        &self.row
    }

    /// Returns the revision of [`row`](Self::row).
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the epoch that the holder's writes are conditional on.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Returns when each class was last confirmed.
    #[must_use]
    pub fn confirmed(&self) -> &Confirmations {
        &self.confirmed
    }

    /// Returns true if the row still names the previous holder, as it does after a hand-over by message. This process
    /// must then write itself into the row.
    #[must_use]
    pub fn names_another_holder(&self) -> bool {
        self.row.holder != self.process
    }

    /// Returns true while the holder may start attempts, renew leases and write task rows.
    #[must_use]
    pub fn may_schedule(&self, now: Instant) -> bool {
        !self.ended && self.schedule_until().is_some_and(|until| now < until)
    }

    /// Returns when the permission to schedule ends unless it is confirmed again; `None` if it never was.
    #[must_use]
    pub fn schedule_until(&self) -> Option<Instant> {
        let successor = self.confirmed.successor? + self.delays.successor;
        Some(successor.min(self.exclusive_until()?))
    }

    /// Returns the latest permitted end of a worker's lease for an exclusive task; `None` if nothing was confirmed.
    /// Successors inherit running tasks, so their class does not bound it.
    #[must_use]
    pub fn exclusive_until(&self) -> Option<Instant> {
        let rescuer = self.confirmed.rescuer? + self.delays.rescuer;
        let unlisted = self.confirmed.unlisted? + self.delays.unlisted;
        Some(rescuer.min(unlisted))
    }

    /// Handles a read of the row that was sent at `sent_at`. `changed` is `None` if the row has not changed since the
    /// revision last seen.
    pub fn on_row(&mut self, changed: Option<(&HoldRow, Revision)>, sent_at: Instant) -> RowStatus {
        if let Some((row, revision)) = changed {
            if revision < self.revision {
                return RowStatus::Stale;
            }
            let same = row.epoch == self.row.epoch && row.holder == self.row.holder;
            if !same && !self.is_own_write(row) {
                self.ended = true;
                return RowStatus::Lost;
            }
            self.row = row.clone();
            self.revision = revision;
        }
        if self.row.claim.is_some() {
            return RowStatus::Claimed;
        }
        for class in [ClaimantClass::Successor, ClaimantClass::Rescuer, ClaimantClass::Unlisted] {
            self.confirmed.confirm(class, sent_at);
        }
        RowStatus::Confirmed
    }

    /// Handles the commit of the holder's own write of the row, which was sent at `sent_at`.
    pub fn on_written(&mut self, row: HoldRow, revision: Revision, sent_at: Instant) {
        self.row = row;
        self.revision = revision;
        self.in_doubt = None;
        for class in [ClaimantClass::Successor, ClaimantClass::Rescuer, ClaimantClass::Unlisted] {
            self.confirmed.confirm(class, sent_at);
        }
    }

    fn is_own_write(&self, row: &HoldRow) -> bool {
        self.in_doubt
            .as_ref()
            .is_some_and(|sent| sent.epoch == row.epoch && sent.holder == row.holder)
    }

    /// Handles the news that the write recorded by [`on_write_sent`](Self::on_write_sent) did not and cannot commit.
    pub fn on_write_refused(&mut self) {
        self.in_doubt = None;
    }

    /// Records a write of the row before it is sent. Until its outcome is known, the processes of both rows count as
    /// named.
    pub fn on_write_sent(&mut self, row: HoldRow) {
        self.in_doubt = Some(row);
    }

    /// Returns the processes whose promises confirm a class, without the holder itself.
    #[must_use]
    pub fn named_processes(&self, class: ClaimantClass) -> BTreeSet<String> {
        let list = |row: &HoldRow| match class {
            ClaimantClass::Successor => row.successors.clone(),
            ClaimantClass::Rescuer => row.rescuers.clone(),
            ClaimantClass::Unlisted => BTreeSet::new(),
        };
        let mut named = list(&self.row);
        named.extend(self.in_doubt.iter().flat_map(list));
        named.remove(&self.process);
        named
    }

    /// Handles the promises of a class that were requested at `sent_at`, and returns true if they confirm the class.
    /// They do so only if every named process promised. Promises never confirm the unlisted class.
    pub fn on_promises(
        &mut self,
        class: ClaimantClass,
        promised: &BTreeSet<String>,
        sent_at: Instant,
    ) -> bool {
        if class == ClaimantClass::Unlisted || !self.named_processes(class).is_subset(promised) {
            return false;
        }
        self.confirmed.confirm(class, sent_at);
        true
    }

    /// Ends the hold in this process. Must be called before a hand-over message is sent or the row is released.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Returns true once the hold has been lost, handed over or released.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended
    }
}
