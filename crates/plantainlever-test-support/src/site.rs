//! Builds a platform with workers, targets and entry processes.
