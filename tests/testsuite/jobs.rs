//! The duties of a process around jobs: several processes in one event loop, with a store and workers in memory.

mod flow;
mod port;
