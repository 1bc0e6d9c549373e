//! In-memory platform, workers and targets on loopback.
//!
//! They speak the same protocols as the real services. `dev` runs on them, and the tests put faults in front of them.

pub mod objects;
pub mod table;
pub mod target;
pub mod vms;
pub mod worker;

pub mod history;
pub mod server;

pub use history::{History, HistoryEvent};
pub use server::{JsonServer, Reply};
