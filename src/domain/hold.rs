//! The hold of a failure domain: which process may schedule there, and until when.
//!
//! Row `hold/{domain}` is the only thing that decides. Every change to it is a compare-and-swap, so claims, contests and
//! changes of the lists are serialized by the table.

pub mod candidate;
pub mod holding;

use std::collections::BTreeSet;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Prefix of the hold rows.
pub const ROW_PREFIX: &str = "hold/";

/// Name of the epoch in the row; scheduler writes are conditional on it.
pub const EPOCH_FIELD: &str = "epoch";

/// Row key of a domain's hold.
#[must_use]
pub fn row_key(domain: &str) -> String {
    format!("{ROW_PREFIX}{domain}")
}

/// Content of the hold row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldRow {
    /// Process that schedules the domain.
    pub holder: String,
    /// Raised by every change of the holder; fences the predecessor's writes.
    pub epoch: u64,
    /// Processes of the same domain that may take over after the scheduler lease.
    pub successors: BTreeSet<String>,
    /// Processes of other domains that may take over after the hold time.
    pub rescuers: BTreeSet<String>,
    /// A take-over that waits for its delay.
    pub claim: Option<Claim>,
}

/// A committed intention to take over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The process that claims.
    pub claimant: String,
    /// Decides the delay.
    pub class: ClaimantClass,
}

/// Class of a claimant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimantClass {
    /// Named process of the same domain.
    Successor,
    /// Named process of another domain.
    Rescuer,
    /// Any other process.
    Unlisted,
}

/// Most successors that a row names. During a store outage every named process must answer, so the lists are short.
pub const MAX_SUCCESSORS: usize = 2;

/// Most rescuers that a row names.
pub const MAX_RESCUERS: usize = 2;

/// Holder of a row whose last holder released it in a planned stop: anybody may take it at once.
pub const RELEASED: &str = "";

/// Delay of each class's claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delays {
    /// Of a successor.
    pub successor: Duration,
    /// Of a rescuer.
    pub rescuer: Duration,
    /// Of any other process.
    pub unlisted: Duration,
}

impl Delays {
    /// The delay of one class.
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
    /// The class of a process by the lists of this row.
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

    /// The row after a change of the holder. The new holder names its own successors later.
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
