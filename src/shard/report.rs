//! What the platform and the workers say, decoded.

use crate::job::{JobTaskId, Resources};

use super::worker::WorkerId;

/// A worker as the VM list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// Identity of this incarnation of the worker.
    pub id: WorkerId,
    /// When this incarnation started, in milliseconds since the Unix epoch, if the list says so. A worker may start
    /// again under the identity that it had.
    pub incarnation_started_unix_ms: Option<u64>,
    /// Where it takes commands.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Pool of workers that it belongs to.
    pub service: String,
    /// Labels, with the rack among them.
    pub labels: Vec<String>,
    /// What it can hold.
    pub capacity: Resources,
    /// It leaves and must get no new task.
    pub is_draining: bool,
}

impl WorkerListing {
    /// Rack of the worker: the last label.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// A run that a worker lists as active.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Task.
    pub task: JobTaskId,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; a long-running task is at work at 100.
    pub percent: u8,
    /// For a task with a tail target its tail latency in milliseconds, otherwise the processors in use in thousandths
    /// of a core; both for about the last half second.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// It succeeded.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// An end that a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Number of the end in this incarnation of the worker; starts at 1.
    pub number: u64,
    /// Task.
    pub task: JobTaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub cause: EndCause,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// Answer of a worker to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RenewalReport {
    /// The worker's steady clock in milliseconds.
    pub clock_ms: u64,
    /// When this incarnation started, if the worker says so.
    pub incarnation_started_unix_ms: Option<u64>,
    /// Runs that are active.
    pub active: Vec<RunReport>,
    /// Ends after the acknowledged one, in order of their number. The list may be cut.
    pub ended: Vec<EndReport>,
    /// True if `ended` was cut.
    pub is_cut: bool,
}
