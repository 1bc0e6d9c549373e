//! Waits for a condition with a bound.
