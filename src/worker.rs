//! Workers, the VMs that run tasks: their capacity, the resources committed on them and their health.

pub mod quarantine;

pub mod pool;
pub mod resources;

pub use pool::{CommitError, Commitment, Pool, Worker};
pub use resources::Resources;
