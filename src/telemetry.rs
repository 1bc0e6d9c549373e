//! Logs, metrics and traces.

pub mod event;
pub mod exposition;
pub mod lines;
pub mod logging;
pub mod metrics;
pub mod time;
pub mod trace;

pub use event::Event;
pub use metrics::Metrics;
pub use trace::{Span, Tracing};
