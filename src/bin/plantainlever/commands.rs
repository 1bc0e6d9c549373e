//! One module per command, with `options()` and `exec()`.

pub mod catalogue;
pub mod check;
pub mod domain;
pub mod status;
pub mod task;
