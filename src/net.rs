//! HTTP/1.1 on one event loop.
//!
//! The VMs have a fraction of a core, and each wake-up costs processor time. A thread per call pays two wake-ups for an
//! answer, so these clients and servers share the thread of one current-thread runtime. `hyper` does the parsing.

pub mod client;
pub mod default_header;
pub mod server;
