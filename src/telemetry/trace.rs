//! Traces with a span per hop, by the W3C trace context.

use std::fmt::Write as _;
use std::time::Instant;

/// Name of the header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// One hop of a request.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    trace_id: u128,
    span_id: u64,
    parent_id: Option<u64>,
    started: Instant,
}

impl Span {
    /// Starts a span below the caller's context, or a new trace if there is none or it is malformed.
    #[must_use]
    pub fn start(name: &'static str, traceparent: Option<&str>) -> Self {
        let parent = traceparent.and_then(parse);
        Self {
            name,
            trace_id: parent.map_or_else(rand::random, |(trace_id, _)| trace_id),
            span_id: rand::random(),
            parent_id: parent.map(|(_, span_id)| span_id),
            started: Instant::now(),
        }
    }

    /// Starts a span below this one.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self {
            name,
            trace_id: self.trace_id,
            span_id: rand::random(),
            parent_id: Some(self.span_id),
            started: Instant::now(),
        }
    }

    /// The context to send to the next hop.
    #[must_use]
    pub fn traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }

    /// Ends the span and logs it.
    pub fn close(self) {
        let mut line = format!("trace={:032x} span={:016x}", self.trace_id, self.span_id);
        if let Some(parent_id) = self.parent_id {
            // Writing to a String cannot fail.
            let _ = write!(line, " parent={parent_id:016x}");
        }
        log::debug!(target: "span", "{} {line} us={}", self.name, self.started.elapsed().as_micros());
    }
}

fn parse(traceparent: &str) -> Option<(u128, u64)> {
    let mut parts = traceparent.split('-');
    let version = parts.next()?;
    let trace_id = parts.next()?;
    let span_id = parts.next()?;
    if version.len() != 2 || trace_id.len() != 32 || span_id.len() != 16 {
        return None;
    }
    let trace_id = u128::from_str_radix(trace_id, 16).ok().filter(|id| *id != 0)?;
    let span_id = u64::from_str_radix(span_id, 16).ok().filter(|id| *id != 0)?;
    Some((trace_id, span_id))
}
