//! Names of tables, partitions and keys, and the content of all rows except job progress.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::job::progress::ProgressRow;
use crate::job::{JobId, JobSpec};
use crate::port::RowKey;
use crate::shard::scheduler::{AcceptedJob, RowId};
use crate::shard::{JobQueue, QueueAddress, QueuePolicy, ShardId};

/// Table with the number of shards; it has one row.
pub const LAYOUT_TABLE: &str = "layout";
/// Key of the row that holds the number of shards.
pub const SHARDS_KEY: &str = "shards";
/// Table with the owner row and the heartbeat row of each shard.
pub const OWNERS_TABLE: &str = "owners";
/// Key of the owner row.
pub const OWNER_KEY: &str = "owner";
/// Key of the heartbeat row.
pub const HEARTBEAT_KEY: &str = "heartbeat";
/// Table with the names that don't fit into the heartbeat row of a shard, with keys from 1 on.
pub const HEARTBEAT_PARTS_TABLE: &str = "heartbeat-parts";
/// Suffix that turns a job's key into the key of its cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Number of partitions of a shard's accepted jobs. A partition applies one transaction at a time. If the store is a
/// hundred times slower than usual, a transaction takes more than half a second; 16 partitions still accept about two
/// dozen jobs a second.
pub const JOB_PARTITIONS: u64 = 16;

/// Name of the partition that holds the rows of an accepted job and of its cancellation.
#[must_use]
pub fn job_partition(shard: ShardId, id: JobId) -> String {
    // The shard depends on a hash of the ID, so the partition can use bits of the ID itself.
    format!("j{}.{}", shard.0, (id.0 >> 17) % JOB_PARTITIONS)
}

/// All partitions of a shard's accepted jobs.
pub fn job_partitions(shard: ShardId) -> impl Iterator<Item = String> {
    (0..JOB_PARTITIONS).map(move |part| format!("j{}.{part}", shard.0))
}

/// Partition of a shard's owner row, heartbeat row and progress rows.
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

/// A row with progress of a job. The head has the job's ID as its key, so that a look-up of the state reads it alone.
#[must_use]
pub fn progress_row(shard: ShardId, (id, row): RowId) -> RowKey {
    let key = match row {
        ProgressRow::Head => id.to_string(),
        ProgressRow::Tasks { occurrence, part } => format!("{id}.{occurrence}.{part}"),
    };
    RowKey::new(progress_table(shard), key)
}

/// Parses a key of a table of progress; `None` if it has neither form.
#[must_use]
pub fn parse_progress_key(key: &str) -> Option<RowId> {
    let Some((id, rest)) = key.split_once('.') else {
        return Some((key.parse().ok()?, ProgressRow::Head));
    };
    let (occurrence, part) = rest.split_once('.')?;
    let row = ProgressRow::Tasks { occurrence: occurrence.parse().ok()?, part: part.parse().ok()? };
    Some((id.parse().ok()?, row))
}

/// Content of a job's row once the job has ended: the row only keeps the job from being accepted again.
pub const ENDED_JOB_VALUE: &[u8] = b"null";

/// Kind of a row in a table of jobs, as told by its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobsKey {
    /// An accepted job.
    Job(JobId),
    /// A cancellation.
    Cancel(JobId),
}

/// Parses a key of a table of jobs; `None` if it has neither form.
#[must_use]
pub fn parse_jobs_key(key: &str) -> Option<JobsKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobsKey::Cancel),
        None => key.parse().ok().map(JobsKey::Job),
    }
}

/// Content of the row of an accepted job that has not ended.
#[derive(Debug, Deserialize, Serialize)]
pub struct StoredJob {
    /// Name of the queue that the job was submitted to.
    pub queue: String,
    /// Address that it was sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<QueueAddress>,
    /// Settings of the queue when the job was accepted, since a later config may have dropped the queue; `None` in a row
    /// of a version that does not store them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<QueuePolicy>,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Steps and schedule, as the caller submitted them.
    pub spec: JobSpec,
}

impl StoredJob {
    /// Converts the row to the scheduler's input.
    #[must_use]
    pub fn into_accepted(self, id: JobId) -> AcceptedJob {
        AcceptedJob {
            id,
            queue: JobQueue { name: self.queue, address: self.address, policy: self.policy },
            accepted_unix_ms: self.accepted_unix_ms,
            spec: Rc::new(self.spec),
        }
    }
}

/// Content of the heartbeat row.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct HeartbeatRow {
    /// Number of the heartbeat, so that each write changes the row.
    pub beat: u64,
    /// Jobs without a schedule of which no task has started, by queue.
    pub pending: BTreeMap<String, u64>,
    /// Workers that get no lease until a heartbeat without their name is stored: with runs of earlier owners that this
    /// owner has not reached, or with runs of its own that do not answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<String>,
    /// Longest time, from the heartbeat on, until the leases on `suspects` have lapsed.
    #[serde(default)]
    pub suspects_lapse_in_ms: u64,
    /// The same for each of `suspects`, in their order; empty in a row of a version that does not tell them apart.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspect_lapses_in_ms: Vec<u64>,
    /// Workers that may hold leases of unknown length, with the time from the heartbeat on until these have lapsed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unknown_leases_ms: BTreeMap<String, u64>,
    /// Tasks whose newest start had no answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unanswered_starts: Vec<String>,
    /// True if not all such tasks are named.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_unnamed_starts: bool,
    /// Number of rows with further names.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub parts: u32,
    /// Latest reading that the store's clock can have had when the heartbeat was sent; `None` if it was not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_store_ms: Option<u64>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
