//! Tests of the library and the binary. One module per area, with its helpers in the file of the same name.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod adapter;
mod budget;
mod cli;
mod crowds;
mod jobs;
mod local;
mod net;
mod operator_config;
mod peer;
mod platform;
mod policy;
mod promises;
mod requests;
mod schedule;
mod settings;
mod shard;
mod soak;
mod telemetry;
