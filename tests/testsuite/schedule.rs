//! Tests of holds and scheduling.

mod checker;
mod duty;
mod gate;
mod hold;
mod hold_model;
mod measure;
mod promises;
mod support;
mod takeover;
