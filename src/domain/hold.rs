//! The hold of a failure domain: which process may schedule there, and until when.
//!
//! Row `hold/{domain}` is the only thing that decides. Every change to it is a compare-and-swap, so claims, contests and
//! changes of the lists are serialized by the table.

use std::collections::BTreeSet;

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
