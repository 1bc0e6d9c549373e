//! Command-line entry point.
fn main() {}
