//! Checks a recorded history of the stand-ins and reports every breach of an invariant.

mod attempts;
mod requests;
mod rows;

use std::time::Duration;

use plantainlever::local::history::HistoryEvent;
use thiserror::Error;

use crate::caller::Record;

/// Default of [`CheckLimits::out_of_service_grace`].
const OUT_OF_SERVICE_GRACE: Duration = Duration::from_secs(5);

/// Limits that a history must stay within.
#[derive(Clone, Copy, Debug)]
pub struct CheckLimits {
    /// Maximum number of requests that an executor runs concurrently.
    pub slots: u32,
    /// Maximum number of open connections to an executor.
    pub connections: u32,
    /// Time after the commit that takes a domain out of service in which tasks may still start there.
    pub out_of_service_grace: Duration,
}

impl Default for CheckLimits {
    fn default() -> Self {
        Self { slots: 8, connections: 64, out_of_service_grace: OUT_OF_SERVICE_GRACE }
    }
}

/// A breach of an invariant.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Broken {
    /// Two attempts of an exclusive task ran at the same time.
    #[error("exclusive task {task} ran on {first} and on {second} at the same time")]
    Overlap {
        /// ID of the task.
        task: String,
        /// Worker of the attempt that was already running.
        first: String,
        /// Worker of the attempt that started while the first one ran.
        second: String,
    },
    /// The resources of the attempts on a worker exceeded its capacity.
    #[error("worker {worker} ran more than its capacity with task {task}")]
    OverCapacity {
        /// Name of the worker.
        worker: String,
        /// ID of the task whose start exceeded the capacity.
        task: String,
    },
    /// A task started in a domain later than [`CheckLimits::out_of_service_grace`] after it was taken out of service.
    #[error("task {task} started in domain {domain} {after:?} after it was taken out")]
    StartAfterOut {
        /// ID of the task.
        task: String,
        /// Name of the domain.
        domain: String,
        /// Time from the commit that took the domain out of service to the start.
        after: Duration,
    },
    /// The same attempt was started more than once, so its work was resumed twice.
    #[error("attempt {attempt} of task {task} started more than once, last on {worker}")]
    StartedTwice {
        /// ID of the task.
        task: String,
        /// Number of the attempt.
        attempt: u32,
        /// Worker of the repeated start.
        worker: String,
    },
    /// A task started after a transaction had put its row into a final state.
    #[error("task {task} started on {worker} after it had ended")]
    StartedAfterEnd {
        /// ID of the task.
        task: String,
        /// Worker of the start.
        worker: String,
    },
    /// A request with an idempotency key ran more than once.
    #[error("the request with key {key} ran more than once, last on {target}")]
    RanTwice {
        /// Idempotency key of the request.
        key: String,
        /// Target of the repeated run.
        target: String,
    },
    /// An executor ran more than [`CheckLimits::slots`] requests concurrently.
    #[error("target {target} ran {in_flight} requests at the same time")]
    OverSlots {
        /// Name of the target.
        target: String,
        /// Number of concurrent requests, the one that just started included.
        in_flight: u32,
    },
    /// An executor had more than [`CheckLimits::connections`] open connections.
    #[error("target {target} had {connections} connections")]
    OverConnections {
        /// Name of the target.
        target: String,
        /// Number of open connections.
        connections: u32,
    },
    /// Every answer to a caller said that its request did not run, but it ran.
    #[error("the request with key {key} ran on {target}, and its caller was told that it did not")]
    RanDespiteNotRun {
        /// Idempotency key of the request.
        key: String,
        /// Target that ran the request.
        target: String,
    },
    /// A transaction was committed with a revision that was not higher than all earlier ones.
    #[error("revision {found} was committed after revision {before}")]
    RevisionWentBack {
        /// Highest earlier revision.
        before: u64,
        /// Revision of the transaction.
        found: u64,
    },
    /// A transaction lowered the attempt number in a task's row.
    #[error("task {task} went from attempt {before} back to {found}")]
    AttemptWentBack {
        /// ID of the task.
        task: String,
        /// Highest attempt number written before.
        before: u32,
        /// Attempt number that was written.
        found: u32,
    },
}

/// Checks the invariants that need only the history: attempts, requests and transactions.
#[must_use]
pub fn check(history: &[(Duration, HistoryEvent)], limits: &CheckLimits) -> Vec<Broken> {
    let mut breaches = attempts::check(history, limits);
    breaches.extend(requests::check(history, limits));
    breaches.extend(rows::check(history));
    breaches
}

/// Checks the outcomes reported to callers against the requests that ran.
#[must_use]
pub fn check_callers(history: &[(Duration, HistoryEvent)], records: &[Record]) -> Vec<Broken> {
    requests::check_callers(history, records)
}
