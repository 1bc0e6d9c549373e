//! Simulation models and cost measurements of scheduling policies. Benches print the results, and tests check them
//! against the stated targets.
//!
//! Each model runs the production decision code, and baselines to compare it with, against the same simulated workload
//! for the same seed.

pub mod colocation;
pub mod evacuation;
pub mod hold;
pub mod owner_load;
pub mod placement;
pub mod shard_pass;
pub mod tasks;
pub mod urgent;
