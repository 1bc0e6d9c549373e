//! Stand-ins, builders and checkers for tests.

pub mod checker;
pub mod fault;
pub mod model;
pub mod process;
pub mod site;
pub mod wait;
