//! Joins transactions of many threads into fewer writes.
