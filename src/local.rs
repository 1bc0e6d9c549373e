//! In-memory stand-ins of the services that a deployment provides, for `dev` and the tests.
//!
//! They serve the protocols of `platform` on loopback, so the HTTP clients call them like the real services. All except
//! the executor also implement the traits of `platform`, for calls within the process. The tests inject faults into
//! them or between them and the clients.

pub mod objects;
pub mod table;
pub mod target;
pub mod vms;
pub mod worker;

pub mod history;
pub mod server;

pub use history::{History, HistoryEvent};
pub use server::{JsonServer, Reply};
