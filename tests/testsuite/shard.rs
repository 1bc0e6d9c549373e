//! The scheduler of a shard, without a network: a fleet of workers in memory follows the platform's rules for leases,
//! epochs and ends, and checks what the platform checks.

mod ends;
mod interference;
mod lapse;
mod ownership;
mod placing;
mod progress;
mod queue;
pub mod rig;
mod takeover;
