//! Decoded reports of the platform and of the workers.

use crate::job::{JobTaskId, Resources};

use super::worker::WorkerId;

/// Entry of a worker in the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// ID of the worker. A restarted worker may keep it.
    pub id: WorkerId,
    /// Start of this incarnation, in milliseconds since the Unix epoch; `None` if the list does not contain it.
    pub incarnation_started_unix_ms: Option<u64>,
    /// Address at which the worker takes commands.
    pub address: std::net::SocketAddr,
    /// Failure domain of the worker.
    pub domain: String,
    /// Pool of workers that the worker belongs to.
    pub service: String,
    /// Labels of the worker; the last one is its rack.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// The worker will leave and must get no new task.
    pub is_draining: bool,
}

impl WorkerListing {
    /// Returns the rack of the worker, or `None` without labels.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// Run that a worker lists as active.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Task of the run.
    pub task: JobTaskId,
    /// Number of the run among those of the task.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; a long-running task reports 100 once it is ready.
    pub percent: u8,
    /// For a task with a tail target its tail latency in milliseconds, otherwise the processors in use in thousandths
    /// of a core; both for about the last half second.
    pub load: u64,
}

/// Cause of the end of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// The run succeeded.
    Done,
    /// The run failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The run's lease expired on the worker's clock.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
}

/// End of a run, listed by the worker until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Sequence number of the end in this incarnation of the worker, counted from 1.
    pub number: u64,
    /// Task of the run.
    pub task: JobTaskId,
    /// Number of the run among those of the task.
    pub run: u32,
    /// Cause of the end; only [`EndCause::Failed`] counts against the task's attempts.
    pub cause: EndCause,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// Answer of a worker to a renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RenewalReport {
    /// Reading of the worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of this incarnation, in milliseconds since the Unix epoch; `None` if the worker does not report it.
    pub incarnation_started_unix_ms: Option<u64>,
    /// All active runs of this shard.
    pub active: Vec<RunReport>,
    /// Ends after the acknowledged one, by ascending number. Incomplete if `is_truncated`.
    pub ended: Vec<EndReport>,
    /// True if `ended` may be incomplete, because it has as many ends as one answer can hold.
    pub is_truncated: bool,
}
