//! Tests of holds and of the domain scheduler.

mod checker;
mod gate;
mod hold;
mod hold_model;
mod measure;
mod promises;
mod support;
mod takeover;
mod task_lifecycle;
