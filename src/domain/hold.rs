//! The hold of a failure domain: which process may schedule there, and until when.
//!
//! Row `hold/{domain}` is authoritative. Every change to it is a compare-and-swap, so the table serializes claims,
//! removals of claims and changes of the lists.

pub mod candidate;
pub mod holding;

use std::collections::BTreeSet;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Key prefix of the hold rows of all domains.
pub const ROW_PREFIX: &str = "hold/";

/// Field of the row that contains the epoch. Every write of a scheduler is conditional on its value.
pub const EPOCH_FIELD: &str = "epoch";

/// Row key of a domain's hold.
#[must_use]
pub fn row_key(domain: &str) -> String {
    format!("{ROW_PREFIX}{domain}")
}

/// Content of the hold row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldRow {
    /// Name of the process that schedules the domain, or [`RELEASED`].
    pub holder: String,
    /// Increases with every change of the holder, which fences off the writes of the previous one.
    pub epoch: u64,
    /// Processes of the same domain that may take over after the scheduler lease.
    pub successors: BTreeSet<String>,
    /// Processes of other domains that may take over after the hold time.
    pub rescuers: BTreeSet<String>,
    /// Claim whose delay is running, if a process wants to take over.
    pub claim: Option<Claim>,
}

/// Announcement in the hold row that a process will take over once the delay of its class has passed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Name of the process that will become the holder.
    pub claimant: String,
    /// Class by the lists of the row in which the claim was made; selects the delay.
    pub class: ClaimantClass,
}

/// Relation of a process to a hold row. The variants are ordered: an earlier one may replace the claim of a later one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimantClass {
    /// Process of the same domain that the row names.
    Successor,
    /// Process of another domain that the row names.
    Rescuer,
    /// Process that the row does not name.
    Unlisted,
}

/// Maximum length of [`HoldRow::successors`]. During an outage of the table, the holder can confirm a class only if
/// every process in the list of that class answers with a promise, so the lists are short.
pub const MAX_SUCCESSORS: usize = 2;

/// Maximum length of [`HoldRow::rescuers`]; short for the same reason as [`MAX_SUCCESSORS`].
pub const MAX_RESCUERS: usize = 2;

/// Holder in a row that its last holder released: any process may take the hold without a claim.
pub const RELEASED: &str = "";

/// Time between a committed claim and the take-over, by class of the claimant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delays {
    /// Equals the scheduler lease.
    pub successor: Duration,
    /// Equals the hold time.
    pub rescuer: Duration,
    /// Equals the force time.
    pub unlisted: Duration,
}

impl Delays {
    /// Returns the delay of one class.
    #[must_use]
    pub const fn of(&self, class: ClaimantClass) -> Duration {
        match class {
            ClaimantClass::Successor => self.successor,
            ClaimantClass::Rescuer => self.rescuer,
            ClaimantClass::Unlisted => self.unlisted,
        }
    }
}

impl HoldRow {
    /// Returns the class of a process by the lists of this row.
    #[must_use]
    pub fn class_of(&self, process: &str) -> ClaimantClass {
        if self.successors.contains(process) {
            ClaimantClass::Successor
        } else if self.rescuers.contains(process) {
            ClaimantClass::Rescuer
        } else {
            ClaimantClass::Unlisted
        }
    }

    /// Returns the row with `process` as the holder and the next epoch. The new holder updates the lists later.
    #[must_use]
    pub fn taken_by(&self, process: &str) -> Self {
        let mut next = self.clone();
        process.clone_into(&mut next.holder);
        next.epoch += 1;
        next.claim = None;
        next.successors.remove(process);
        next.rescuers.remove(process);
        next
    }
}
