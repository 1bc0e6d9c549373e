//! Test support: stand-ins with fault injection, process control, caller threads, simulation models, the history
//! checker, and the soak test.

pub mod caller;
pub mod checker;
pub mod crowd;
pub mod fault;
pub mod in_process;
pub mod link;
pub mod model;
pub mod process;
pub mod site;
pub mod soak;
pub mod usage;
pub mod wait;
