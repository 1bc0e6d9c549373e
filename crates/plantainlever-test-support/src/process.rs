//! Starts, signals and ends entry processes.
