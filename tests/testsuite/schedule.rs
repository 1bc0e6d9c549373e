//! Tests of holds and scheduling.

mod checker;
mod duty;
mod hold;
mod hold_model;
mod support;
mod takeover;
