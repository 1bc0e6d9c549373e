//! Reasons why a task can never be placed, or is not retried.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::task::TaskRow;
use crate::worker::Resources;

/// Multiple of the allowed attempts after which a task is not retried, whatever workers its attempts failed on.
const MAX_FAILURE_FACTOR: u32 = 3;

/// Reason why a task can never run with the current catalogue and workers. Operators see the text.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Unplaceable {
    /// The task is larger than every worker of the domain.
    #[error("no worker of the domain has {resources:?} even when empty; reduce limits.per_task")]
    TooLarge {
        /// Resources that the task requests.
        resources: Resources,
    },
    /// The entry was removed from the catalogue.
    #[error("the catalogue has no entry {entry:?}; add it again or cancel the task")]
    NoEntry {
        /// Name of the missing entry.
        entry: String,
    },
    /// The entry does not allow the task's domain.
    #[error("entry {entry:?} does not allow domain {domain:?}; see its field domains")]
    DomainNotAllowed {
        /// Name of the entry.
        entry: String,
        /// The task's domain.
        domain: String,
    },
    /// The domain's share of the entry's limit is zero.
    #[error(
        "limits.max_running of entry {entry:?} leaves none for this domain; raise it to {domains}"
    )]
    NoShare {
        /// Name of the entry.
        entry: String,
        /// Number of domains that share the limit.
        domains: u64,
    },
    /// The task is larger than the domain's share of its owner's quota.
    #[error(
        "the task needs {resources:?}, but the share of owner {owner:?} in this domain is {share:?}"
    )]
    AboveQuota {
        /// Name of the owner.
        owner: String,
        /// Resources that the task requests.
        resources: Resources,
        /// The domain's share of the quota.
        share: Resources,
    },
}

/// Reason why a failing task is not retried. Operators see the text.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RetriesExhausted {
    /// The task failed too often on workers that are not suspects.
    #[error("failed {failures} times on healthy workers ({workers}); the entry allows {allowed}")]
    OnHealthyWorkers {
        /// Failed attempts, minus one for each suspect worker that the task failed on.
        failures: u32,
        /// Names of the healthy workers on which it failed, separated by commas.
        workers: String,
        /// `limits.max_attempts` of the entry.
        allowed: u32,
    },
    /// The task failed too often in total, with suspect workers included.
    #[error("failed {failures} times in all; the entry allows {allowed} on healthy workers")]
    InTotal {
        /// Failures on all workers.
        failures: u32,
        /// `limits.max_attempts` of the entry.
        allowed: u32,
    },
}

/// Returns the reason not to retry a task after a failure, or `None` if it may be retried. `suspects` are the workers
/// in quarantine or on probation. One failure on each of them is attributed to the worker and counts only towards a
/// larger limit, which bounds the retries of a task that is placed on faulty workers only.
#[must_use]
pub fn retries_exhausted(
    row: &TaskRow,
    allowed: u32,
    suspects: &BTreeSet<String>,
) -> Option<RetriesExhausted> {
    let excused = row.failed_on.intersection(suspects).count();
    let failures = row.failures.saturating_sub(u32::try_from(excused).unwrap_or(u32::MAX));
    if failures >= allowed {
        let workers: Vec<&str> = row.failed_on.difference(suspects).map(String::as_str).collect();
        let workers = workers.join(", ");
        return Some(RetriesExhausted::OnHealthyWorkers { failures, workers, allowed });
    }
    if row.failures >= allowed.saturating_mul(MAX_FAILURE_FACTOR) {
        return Some(RetriesExhausted::InTotal { failures: row.failures, allowed });
    }
    None
}
