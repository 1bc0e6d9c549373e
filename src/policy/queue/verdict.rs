//! Reasons why a task is not tried, or not tried again.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::task::TaskRow;
use crate::worker::Resources;

/// Failures in all, in multiples of the allowed attempts, after which a task is given up wherever it failed.
const MAX_FAILURE_FACTOR: u32 = 3;

/// Why a task can never run as the catalogue and the workers are. The text is what operators read.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Unplaceable {
    /// Larger than every worker.
    #[error("no worker of the domain has {resources:?} even when empty; reduce limits.per_task")]
    TooLarge {
        /// What was asked for.
        resources: Resources,
    },
    /// The entry has left the catalogue.
    #[error("the catalogue has no entry {entry:?}; add it again or cancel the task")]
    NoEntry {
        /// The entry.
        entry: String,
    },
    /// The entry must not run here.
    #[error("entry {entry:?} does not allow domain {domain:?}; see its field domains")]
    DomainNotAllowed {
        /// The entry.
        entry: String,
        /// The task's domain.
        domain: String,
    },
    /// The domain's share of the entry's limit is zero.
    #[error(
        "limits.max_running of entry {entry:?} leaves none for this domain; raise it to {domains}"
    )]
    NoShare {
        /// The entry.
        entry: String,
        /// Domains that share the limit.
        domains: u64,
    },
    /// The task is larger than the domain's share of its owner's quota.
    #[error(
        "the task needs {resources:?}, but the share of owner {owner:?} in this domain is {share:?}"
    )]
    AboveQuota {
        /// The owner.
        owner: String,
        /// What was asked for.
        resources: Resources,
        /// The domain's share of the quota.
        share: Resources,
    },
}

/// Why a failing task is not tried again. The text is what operators read.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum GiveUp {
    /// It failed too often on workers that are not under suspicion.
    #[error("failed {failures} times on healthy workers ({workers}); the entry allows {allowed}")]
    FailsOnHealthyWorkers {
        /// Failures on healthy workers.
        failures: u32,
        /// Distinct healthy workers, by name.
        workers: String,
        /// `limits.max_attempts` of the entry.
        allowed: u32,
    },
    /// It failed too often in all.
    #[error("failed {failures} times in all; the entry allows {allowed} on healthy workers")]
    FailsTooOften {
        /// All failures.
        failures: u32,
        /// `limits.max_attempts` of the entry.
        allowed: u32,
    },
}

/// Says whether a task that waits after a failure is given up. Failures on workers out of use are the workers' fault and
/// count only towards a larger bound, which ends a task that meets nothing but bad workers.
#[must_use]
pub fn give_up(row: &TaskRow, allowed: u32, out_of_use: &BTreeSet<String>) -> Option<GiveUp> {
    let excused = row.failed_on.intersection(out_of_use).count();
    let failures = row.failures.saturating_sub(u32::try_from(excused).unwrap_or(u32::MAX));
    if failures >= allowed {
        let workers: Vec<&str> = row.failed_on.difference(out_of_use).map(String::as_str).collect();
        let workers = workers.join(", ");
        return Some(GiveUp::FailsOnHealthyWorkers { failures, workers, allowed });
    }
    if row.failures >= allowed.saturating_mul(MAX_FAILURE_FACTOR) {
        return Some(GiveUp::FailsTooOften { failures: row.failures, allowed });
    }
    None
}
