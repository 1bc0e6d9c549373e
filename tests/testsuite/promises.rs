//! Tests of the ten promises over real processes.
