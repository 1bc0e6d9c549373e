//! A shard: a part of the jobs and of the workers, scheduled by one process at a time.
//!
//! Jobs and workers are divided into shards by a hash of their IDs. Each shard has one owner at a time, recorded with
//! an epoch in the platform's store. Workers refuse commands with an epoch lower than the highest they have seen, so a
//! new owner that has reached a worker is safe from its predecessor there. For workers that do not answer, it waits
//! until the leases that its predecessor granted have lapsed.
//!
//! Nothing here does I/O. [`ShardScheduler`] consumes events and queues [`Command`]s, so that every rule can be tested
//! without a network.

pub mod health;
pub mod interference;
pub mod lapse;
pub mod ownership;
pub mod pick;
pub mod queue;
pub mod recovery;
pub mod report;
pub mod scheduler;
pub mod times;
pub mod worker;
pub mod worker_map;

pub use ownership::{OwnerObserver, OwnerRow};
pub use queue::{ConfiguredQueues, JobQueue, QueueAddress, QueuePolicy};
pub use report::{EndCause, EndReport, RenewalReport, RunReport, WorkerListing};
pub use scheduler::{Command, ShardScheduler, Timing};
pub use worker::WorkerId;

/// Number of a shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShardId(pub u32);

/// Division of jobs and workers into shards. Fixed for the life of a deployment, since all processes must agree on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardMap {
    /// Number of shards; at least 1.
    pub shards: u32,
}

/// Workers per shard. Jobs are divided by their IDs and not by their size, and long-running tasks hold most of the
/// capacity, so one of two shards can be full while the other has free workers. A fleet is therefore divided only when
/// one process can't schedule it alone; docs/CAPACITY.md has the processor share of an owner.
pub const WORKERS_PER_SHARD: usize = 600;

impl ShardMap {
    /// Returns the division for a number of workers.
    #[must_use]
    pub fn for_workers(workers: usize) -> Self {
        let shards = workers.div_ceil(WORKERS_PER_SHARD).max(1);
        Self { shards: u32::try_from(shards).unwrap_or(u32::MAX) }
    }

    /// Returns the shard that schedules a job.
    #[must_use]
    pub fn of_job(self, job: crate::job::JobId) -> ShardId {
        ShardId((mix(job.0) % u64::from(self.shards)) as u32)
    }

    /// Returns the shard that a worker belongs to.
    #[must_use]
    pub fn of_worker(self, worker: &str) -> ShardId {
        let hash = worker
            .bytes()
            .fold(FNV_OFFSET, |hash, b| (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME));
        ShardId((mix(hash) % u64::from(self.shards)) as u32)
    }
}

/// Parameters of 64-bit FNV-1a. The hash decides to which shard a worker belongs. All processes must agree on it, so it
/// must not change with the version of a library.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Finalizer of SplitMix64; spreads similar values over all shards. It must not change either: it decides in which
/// shard's rows a job is stored.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
