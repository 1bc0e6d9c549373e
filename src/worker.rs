//! Workers: what a VM that runs tasks has, and what has been committed on it.

pub mod quarantine;

pub mod pool;
pub mod resources;

pub use pool::{CommitError, Commitment, Pool, Worker};
pub use resources::Resources;
