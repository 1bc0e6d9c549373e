//! Pure decisions: no thread, socket, lock or clock. Time and random numbers are arguments.

pub mod admission;
pub mod evacuation;
pub mod interference;
pub mod placement;
pub mod preemption;
pub mod queue;
pub mod retry;
pub mod routing;
