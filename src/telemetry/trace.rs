//! Traces with one span per hop, propagated as W3C trace context.
//!
//! The OpenTelemetry SDK creates the spans. The deployments have no OpenTelemetry collector, so finished spans become
//! log lines. A separate thread writes the sampled spans from a bounded queue; when the queue is full, spans are
//! dropped, so a slow log never delays a request. A span that is not sampled costs only the generation of its IDs.

mod export;

use std::sync::{LazyLock, PoisonError, RwLock};
use std::time::Duration;

use opentelemetry::Context;
use opentelemetry::trace::{
    Span as _, SpanBuilder, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState,
    Tracer as _, TracerProvider as _,
};
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, Sampler, SdkTracer, SdkTracerProvider,
};
use tracing_subscriber::Layer as _;
use tracing_subscriber::layer::SubscriberExt as _;

use crate::config::LogSettings;
use export::LogExporter;

/// Name of the header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Capacity of the queue of finished spans; further ones are dropped.
const QUEUE_SPANS: usize = 4_096;

/// Largest number of spans that are written at once.
const BATCH_SPANS: usize = 512;

/// Longest time for which a finished span stays in the queue.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for the queued spans to be written when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracer of the process. It is global, because all components create spans.
static TRACER: LazyLock<RwLock<SdkTracer>> =
    LazyLock::new(|| RwLock::new(tracer_from(&propagating_provider())));

/// Owns the export of spans. Without it, trace contexts are propagated and no span is logged.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    /// Exports the spans that tarpc creates; `None` if spans are not logged.
    peer_calls: Option<SdkTracerProvider>,
}

impl Tracing {
    /// Starts to log sampled spans if `log.spans` is set.
    #[must_use]
    pub fn start(cfg: &LogSettings) -> Self {
        if !cfg.spans {
            return Self { provider: propagating_provider(), peer_calls: None };
        }
        let ratio = f64::from(cfg.span_percent) / 100.0;
        let provider = exporting_provider(Sampler::TraceIdRatioBased(ratio));
        replace_tracer(tracer_from(&provider));
        // Only spans that belong to a sampled trace are exported, because tarpc also creates a span for each heartbeat.
        let peer_calls = exporting_provider(Sampler::AlwaysOff);
        subscribe_to_peer_calls(tracer_from(&peer_calls));
        Self { provider, peer_calls: Some(peer_calls) }
    }

    /// Writes the queued spans and stops the export. Trace contexts are still propagated.
    pub fn close(self) {
        replace_tracer(tracer_from(&propagating_provider()));
        // Spans that cannot be written within the timeout are lost, as when the queue is full.
        for provider in std::iter::once(self.provider).chain(self.peer_calls) {
            let _ = provider.shutdown_with_timeout(STOP_TIMEOUT);
        }
    }
}

/// Creates a provider that exports the spans of traces sampled by their caller. `root_sampler` decides on new traces.
fn exporting_provider(root_sampler: Sampler) -> SdkTracerProvider {
    let batch = BatchConfigBuilder::default()
        .with_max_queue_size(QUEUE_SPANS)
        .with_max_export_batch_size(BATCH_SPANS)
        .with_scheduled_delay(FLUSH_PERIOD)
        .build();
    let processor = BatchSpanProcessor::builder(LogExporter).with_batch_config(batch).build();
    let sampler = Sampler::ParentBased(Box::new(root_sampler));
    SdkTracerProvider::builder().with_span_processor(processor).with_sampler(sampler).build()
}

/// Creates a provider that generates IDs and propagates the caller's sampling decision, but exports nothing.
fn propagating_provider() -> SdkTracerProvider {
    let sampler = Sampler::ParentBased(Box::new(Sampler::AlwaysOff));
    SdkTracerProvider::builder().with_sampler(sampler).build()
}

/// Subscribes to the spans that tarpc creates for its calls.
fn subscribe_to_peer_calls(tracer: SdkTracer) {
    let is_peer_call = tracing_subscriber::filter::filter_fn(|metadata| {
        metadata.is_span() && metadata.target().starts_with("tarpc")
    });
    let layer = tracing_opentelemetry::layer().with_tracer(tracer).with_filter(is_peer_call);
    let subscriber = tracing_subscriber::registry().with(layer);
    // Only the first call in a process has an effect; only tests call it twice.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

fn tracer_from(provider: &SdkTracerProvider) -> SdkTracer {
    provider.tracer("plantainlever")
}

fn replace_tracer(tracer: SdkTracer) {
    *TRACER.write().unwrap_or_else(PoisonError::into_inner) = tracer;
}

/// Span of one hop of a request.
#[derive(Debug)]
pub struct Span {
    span: opentelemetry_sdk::trace::Span,
}

impl Span {
    /// Starts a child of the caller's span, or a new trace if `traceparent` is missing or malformed.
    #[must_use]
    pub fn start(name: &'static str, traceparent: Option<&str>) -> Self {
        Self::with_parent(name, traceparent.and_then(parse))
    }

    /// Starts a child of this span.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self::with_parent(name, Some(self.span.span_context().clone()))
    }

    /// Returns the value of the `traceparent` header for the next hop.
    #[must_use]
    pub fn traceparent(&self) -> String {
        let cx = self.span.span_context();
        let flags = cx.trace_flags() & TraceFlags::SAMPLED;
        format!("00-{}-{}-{:02x}", cx.trace_id(), cx.span_id(), flags.to_u8())
    }

    /// Ends the span and queues it for the log if it is sampled.
    pub fn close(mut self) {
        self.span.end();
    }

    fn with_parent(name: &'static str, parent: Option<SpanContext>) -> Self {
        let cx = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent),
            None => Context::new(),
        };
        let tracer = TRACER.read().unwrap_or_else(PoisonError::into_inner);
        Self { span: tracer.build_with_context(SpanBuilder::from_name(name), &cx) }
    }
}

/// Creates a span around a call to a peer, so that the spans of tarpc belong to the request's trace.
#[must_use]
pub fn peer_call(traceparent: &str) -> tracing::Span {
    use tracing_opentelemetry::OpenTelemetrySpanExt as _;

    let span = tracing::info_span!(target: "tarpc::call", "peer-call");
    if let Some(parent) = parse(traceparent) {
        // Fails only if there is no subscriber, and then no span is recorded.
        let _ = span.set_parent(Context::new().with_remote_span_context(parent));
    }
    span
}

/// Parses a `traceparent` header. Versions above 00 may have additional parts, which are ignored.
fn parse(traceparent: &str) -> Option<SpanContext> {
    let mut parts = traceparent.split('-');
    let version = hex(parts.next()?, 2)?;
    let trace_id = TraceId::from_hex(hex(parts.next()?, 32)?).ok()?;
    let span_id = SpanId::from_hex(hex(parts.next()?, 16)?).ok()?;
    let flags = u8::from_str_radix(hex(parts.next()?, 2)?, 16).ok()?;
    if version == "ff" || (version == "00" && parts.next().is_some()) {
        return None;
    }
    let flags = TraceFlags::new(flags) & TraceFlags::SAMPLED;
    let cx = SpanContext::new(trace_id, span_id, flags, true, TraceState::default());
    cx.is_valid().then_some(cx)
}

/// Returns the text if it consists of this many lower-case hexadecimal digits.
fn hex(text: &str, digits: usize) -> Option<&str> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    (text.len() == digits && text.bytes().all(is_digit)).then_some(text)
}
