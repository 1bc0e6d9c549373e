//! Tests of the pure decisions.
