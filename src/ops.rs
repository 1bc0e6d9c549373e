//! The components of a process: one module per component.
//!
//! Decisions are made in `policy` and in the domain types such as `task` and `shard`; the modules here do the input and
//! output.

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
