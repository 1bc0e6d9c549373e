//! Names of tables and rows, and the content of the rows that are not a job's progress.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::job::{JobId, JobSpec};
use crate::port::RowKey;
use crate::shard::ShardId;
use crate::shard::scheduler::AcceptedJob;

/// Table of the number of shards.
pub const LAYOUT_TABLE: &str = "layout";
/// Key of the number of shards.
pub const SHARDS_KEY: &str = "shards";
/// Table of owners.
pub const OWNERS_TABLE: &str = "owners";
/// Key of the owner row.
pub const OWNER_KEY: &str = "owner";
/// Key of the heartbeat row.
pub const HEARTBEAT_KEY: &str = "heartbeat";
/// What follows the job in the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Partitions of a shard's accepted jobs. A partition applies one transaction at a time; with a store that is a hundred
/// times slower than usual, each takes more than half a second, and this many carry two dozen jobs a second.
pub const JOB_PARTITIONS: u64 = 16;

/// Partition of an accepted job.
#[must_use]
pub fn job_partition(shard: ShardId, id: JobId) -> String {
    // The shard depends on the identity's hash modulo the number of shards; other bits spread the job.
    format!("j{}.{}", shard.0, (id.0 >> 17) % JOB_PARTITIONS)
}

/// All partitions of a shard's accepted jobs.
pub fn job_partitions(shard: ShardId) -> impl Iterator<Item = String> {
    (0..JOB_PARTITIONS).map(move |part| format!("j{}.{part}", shard.0))
}

/// Partition of a shard's owner and progress.
#[must_use]
pub fn shard_partition(shard: ShardId) -> String {
    format!("s{}", shard.0)
}

/// Table of accepted jobs and cancellations of a shard.
#[must_use]
pub fn jobs_table(shard: ShardId) -> String {
    format!("jobs-{}", shard.0)
}

/// Table of the progress of a shard's jobs.
#[must_use]
pub fn progress_table(shard: ShardId) -> String {
    format!("progress-{}", shard.0)
}

/// The row of an accepted job.
#[must_use]
pub fn job_row(shard: ShardId, id: JobId) -> RowKey {
    RowKey::new(jobs_table(shard), id.to_string())
}

/// The row of a cancellation.
#[must_use]
pub fn cancel_row(shard: ShardId, id: JobId) -> RowKey {
    RowKey::new(jobs_table(shard), format!("{id}{CANCEL_SUFFIX}"))
}

/// The row of a job's progress.
#[must_use]
pub fn progress_row(shard: ShardId, id: JobId) -> RowKey {
    RowKey::new(progress_table(shard), id.to_string())
}

/// Content of a job's row once the job has ended: the row only keeps the job from being accepted again.
pub const ENDED_JOB_VALUE: &[u8] = b"null";

/// What a row of the table of jobs is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobsKey {
    /// An accepted job.
    Job(JobId),
    /// A cancellation.
    Cancel(JobId),
}

/// Reads a key of the table of jobs.
#[must_use]
pub fn parse_jobs_key(key: &str) -> Option<JobsKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobsKey::Cancel),
        None => key.parse().ok().map(JobsKey::Job),
    }
}

/// Content of a job's row.
#[derive(Debug, Deserialize, Serialize)]
pub struct StoredJob {
    /// Queue.
    pub queue: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Description.
    pub spec: JobSpec,
}

impl StoredJob {
    /// The job for the scheduler.
    #[must_use]
    pub fn into_accepted(self, id: JobId) -> AcceptedJob {
        AcceptedJob {
            id,
            queue: self.queue,
            accepted_unix_ms: self.accepted_unix_ms,
            spec: Rc::new(self.spec),
        }
    }
}

/// Content of the heartbeat row.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct HeartbeatRow {
    /// Counts heartbeats, so that each changes the row.
    pub beat: u64,
    /// Jobs of which no task has started, by queue.
    pub pending: BTreeMap<String, u64>,
    /// Workers of earlier owners that the owner has not reached, so that it has granted nothing there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<String>,
    /// Time after which no lease is left on them.
    #[serde(default)]
    pub suspects_lapse_in_ms: u64,
}
