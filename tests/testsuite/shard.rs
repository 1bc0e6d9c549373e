//! Tests of the scheduler of a shard, without a network. An in-memory fleet of workers follows the platform's rules for
//! leases, epochs and ends, and records violations of them.

mod capacity;
mod crashes;
mod dropped_queues;
mod ends;
mod gang_failures;
mod incarnation_chains;
mod incarnations;
mod interference;
mod lapse;
mod late_starts;
mod many_suspects;
mod owner_chains;
mod owner_load;
mod ownership;
mod placing;
mod progress;
mod queue;
pub mod rig;
mod starvation;
mod takeover;
mod takeover_log;
mod wide_jobs;
