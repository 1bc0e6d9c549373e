//! One module per command, with `options()` and `exec()`.

pub mod catalogue;
pub mod check;
pub mod dev;
pub mod domain;
pub mod entry;
pub mod node;
pub mod status;
pub mod task;
