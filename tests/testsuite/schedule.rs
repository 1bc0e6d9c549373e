//! Tests of holds and scheduling.
