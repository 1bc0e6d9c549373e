//! Scheduler for colocated latency-critical services and batch work.
//!
//! Entry processes route callers' requests to targets and place tasks on workers of several failure domains. They are
//! stateless: persistent state is in the platform's table service. docs/design.md explains the parts and their reasons.

#[path = "../platform/adapter.rs"]
pub mod adapter;
pub mod catalogue;
pub mod clock;
pub mod config;
pub mod domain;
pub mod error;
pub mod job;
pub mod local;
pub mod net;
pub mod ops;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod port;
pub mod request;
pub mod shard;
pub mod task;
pub mod telemetry;
pub mod worker;
