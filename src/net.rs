//! HTTP/1.1 on one event loop.
//!
//! The VMs have a fraction of a core, and each wake-up costs processor time. With a thread per call, each response
//! costs two wake-ups, so these clients and servers share the thread of one current-thread runtime. `hyper` does the
//! parsing.

pub mod budget;
pub mod client;
pub mod default_header;
pub mod server;
