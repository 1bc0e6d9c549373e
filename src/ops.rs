//! What a process does: one module per duty, each with its own thread.
//!
//! Rules are in `policy` and the aggregates; the modules here carry messages between them and the outside.

pub mod dispatch;
pub mod drain;
pub mod entry;
pub mod front;
pub mod jobs;
pub mod keys;
pub mod membership;
pub mod schedule;
pub mod sync;

pub mod api;
pub mod client;
pub mod context;
pub mod dev;
pub mod signals;

pub use context::Context;
