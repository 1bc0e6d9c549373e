//! Test suite.

mod cli;
mod peer;
mod platform;
mod policy;
mod promises;
mod requests;
mod schedule;
mod settings;
mod telemetry;
