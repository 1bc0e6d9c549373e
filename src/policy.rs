//! Scheduling policies as pure functions of their arguments. They use no thread, socket, lock or clock; the time and
//! random numbers are passed in.

pub mod admission;
pub mod evacuation;
pub mod interference;
pub mod placement;
pub mod preemption;
pub mod queue;
pub mod retry;
pub mod routing;
