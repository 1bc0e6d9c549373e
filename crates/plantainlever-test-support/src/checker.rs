//! Reads a history and reports every broken promise.

mod attempts;
mod requests;
mod rows;

use std::time::Duration;

use plantainlever::local::history::HistoryEvent;
use thiserror::Error;

use crate::caller::Record;

/// Bound on task starts after a domain was taken out of service.
const OUT_OF_SERVICE_GRACE: Duration = Duration::from_secs(5);

/// Limits that the history must keep.
#[derive(Clone, Copy, Debug)]
pub struct CheckLimits {
    /// Requests that an executor may run at the same time.
    pub slots: u32,
    /// Connections that an executor accepts.
    pub connections: u32,
    /// Latest start in a domain after the commit that took it out of service.
    pub out_of_service_grace: Duration,
}

impl Default for CheckLimits {
    fn default() -> Self {
        Self { slots: 8, connections: 64, out_of_service_grace: OUT_OF_SERVICE_GRACE }
    }
}

/// A promise that a history breaks.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Broken {
    /// Two attempts of an exclusive task ran at the same time.
    #[error("exclusive task {task} ran on {first} and on {second} at the same time")]
    Overlap {
        /// The task.
        task: String,
        /// Worker of the attempt that ran first.
        first: String,
        /// Worker of the attempt that was added.
        second: String,
    },
    /// A worker ran more than it has.
    #[error("worker {worker} ran more than its capacity with task {task}")]
    OverCapacity {
        /// The worker.
        worker: String,
        /// The task that was added.
        task: String,
    },
    /// A task started in a domain that had been out of service for too long.
    #[error("task {task} started in domain {domain} {after:?} after it was taken out")]
    StartAfterOut {
        /// The task.
        task: String,
        /// The domain.
        domain: String,
        /// Time since the commit.
        after: Duration,
    },
    /// An attempt number was started more than once, so work was resumed twice.
    #[error("attempt {attempt} of task {task} started more than once, last on {worker}")]
    StartedTwice {
        /// The task.
        task: String,
        /// The attempt number.
        attempt: u32,
        /// Worker of the last start.
        worker: String,
    },
    /// A task started after its row had reached a final state.
    #[error("task {task} started on {worker} after it had ended")]
    StartedAfterEnd {
        /// The task.
        task: String,
        /// The worker.
        worker: String,
    },
    /// A request with an idempotency key ran more than once.
    #[error("the request with key {key} ran more than once, last on {target}")]
    RanTwice {
        /// The key.
        key: String,
        /// Target of the last run.
        target: String,
    },
    /// An executor had more requests than slots.
    #[error("target {target} ran {in_flight} requests at the same time")]
    OverSlots {
        /// The target.
        target: String,
        /// Requests at the same time.
        in_flight: u32,
    },
    /// An executor had too many connections.
    #[error("target {target} had {connections} connections")]
    OverConnections {
        /// The target.
        target: String,
        /// Connections at the same time.
        connections: u32,
    },
    /// A caller was told that its request did not run, and it ran.
    #[error("the request with key {key} ran on {target}, and its caller was told that it did not")]
    RanDespiteNotRun {
        /// The key.
        key: String,
        /// The target.
        target: String,
    },
    /// A committed revision was not higher than the one before.
    #[error("revision {found} was committed after revision {before}")]
    RevisionWentBack {
        /// The revision before.
        before: u64,
        /// The revision found.
        found: u64,
    },
    /// A task's attempt number went down.
    #[error("task {task} went from attempt {before} back to {found}")]
    AttemptWentBack {
        /// The task.
        task: String,
        /// The attempt number before.
        before: u32,
        /// The attempt number found.
        found: u32,
    },
}

/// Checks everything that the history alone shows.
#[must_use]
pub fn check(history: &[(Duration, HistoryEvent)], limits: &CheckLimits) -> Vec<Broken> {
    let mut broken = attempts::check(history, limits);
    broken.extend(requests::check(history, limits));
    broken.extend(rows::check(history));
    broken
}

/// Checks what callers were told.
#[must_use]
pub fn check_callers(history: &[(Duration, HistoryEvent)], records: &[Record]) -> Vec<Broken> {
    requests::check_callers(history, records)
}
