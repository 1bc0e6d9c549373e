//! A shard of the scheduler: some of the jobs and some of the workers, scheduled by one process at a time.
//!
//! Jobs and workers are divided into shards by a hash of their identity. Each shard has one owner at a time, recorded
//! with an epoch in the platform's store. Workers refuse commands with an epoch lower than the highest they have seen,
//! so a successor that has reached a worker is safe from its predecessor there; for workers that do not answer, it
//! waits until the predecessor's leases have lapsed.
//!
//! Nothing here does I/O. [`ShardScheduler`] takes events and leaves [`Command`]s to be sent, so every rule is tested
//! without a network.

pub mod interference;
pub mod lapse;
pub mod ownership;
pub mod pick;
pub mod queue;
pub mod report;
pub mod scheduler;
pub mod times;
pub mod worker;

pub use ownership::{OwnerRow, Ownership};
pub use queue::QueuePolicy;
pub use report::{EndCause, EndReport, RenewalReport, RunReport, WorkerListing};
pub use scheduler::{Command, ShardScheduler, Timing};
pub use worker::WorkerId;

/// Number of a shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShardId(pub u32);

/// How jobs and workers are divided. Fixed for the life of a deployment, since every process must agree on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardMap {
    /// Number of shards; at least 1.
    pub shards: u32,
}

/// Workers that one owner is meant to carry. Jobs are divided by their identity and not by their size, and lasting
/// tasks hold most of the capacity, so one of two shards can be full while the other has room. A fleet is therefore
/// divided only when one process can't carry it; docs/CAPACITY.md has the processor share of an owner.
pub const WORKERS_PER_SHARD: usize = 600;

impl ShardMap {
    /// The division for a number of workers.
    #[must_use]
    pub fn for_workers(workers: usize) -> Self {
        let shards = workers.div_ceil(WORKERS_PER_SHARD).max(1);
        Self { shards: u32::try_from(shards).unwrap_or(u32::MAX) }
    }

    /// The shard that schedules a job.
    #[must_use]
    pub fn of_job(self, job: crate::job::JobId) -> ShardId {
        ShardId((mix(job.0) % u64::from(self.shards)) as u32)
    }

    /// The shard that uses a worker.
    #[must_use]
    pub fn of_worker(self, worker: &str) -> ShardId {
        let hash = worker
            .bytes()
            .fold(FNV_OFFSET, |hash, b| (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME));
        ShardId((mix(hash) % u64::from(self.shards)) as u32)
    }
}

/// FNV-1a, 64 bits. The hash is part of the stored layout, so it must not change with a library's version.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Finalizer of SplitMix64: spreads similar values.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
