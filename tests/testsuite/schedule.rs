//! Tests of holds and scheduling.

mod duty;
mod support;
mod takeover;
