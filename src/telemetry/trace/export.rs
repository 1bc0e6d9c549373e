//! Writes finished spans as log lines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use opentelemetry::trace::SpanId;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};

use crate::telemetry::event::process::SPAN;
use crate::telemetry::logging::Quoted;

/// Writes each span as one line of `key=value` pairs.
#[derive(Debug)]
pub(super) struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        batch.iter().for_each(write);
        Ok(())
    }
}

fn write(span: &SpanData) {
    let parent = if span.parent_span_id == SpanId::INVALID {
        "-".to_owned()
    } else {
        span.parent_span_id.to_string()
    };
    SPAN.emit(format_args!(
        "trace={} span={} parent={parent} name={} start_us={} duration_us={}",
        span.span_context.trace_id(),
        span.span_context.span_id(),
        Quoted(&span.name),
        elapsed(UNIX_EPOCH, span.start_time).as_micros(),
        elapsed(span.start_time, span.end_time).as_micros(),
    ));
}

/// Returns the time between two readings of the wall clock; zero if the clock was set back in between.
fn elapsed(start: SystemTime, end: SystemTime) -> Duration {
    end.duration_since(start).unwrap_or_default()
}
