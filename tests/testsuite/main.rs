//! Test suite.

mod cli;
mod platform;
mod policy;
mod promises;
mod requests;
mod schedule;
mod settings;
mod telemetry;
