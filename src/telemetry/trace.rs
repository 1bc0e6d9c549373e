//! Traces with a span per hop, by the W3C trace context.
//!
//! Spans are made by the OpenTelemetry SDK. There is no collector in the deployments, so finished spans become log
//! lines. A sampled span goes to a bounded queue and a thread of its own writes it; when the queue is full the span is
//! dropped, so a slow log never delays a request. A span that is not sampled only costs its two random numbers.

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

/// Finished spans that wait for the log; further ones are dropped.
const QUEUE_SPANS: usize = 4_096;

/// Spans that are written together at most.
const BATCH_SPANS: usize = 512;

/// Longest time that a finished span waits for the log.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for the last spans when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracer of the process. Spans are made in all parts, so it is the one thing that is not passed in a context.
static TRACER: LazyLock<RwLock<SdkTracer>> =
    LazyLock::new(|| RwLock::new(tracer_of(&passing_on())));

/// Keeps the exporting thread. Without it, contexts are passed on and nothing is logged.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    /// Exports the spans that tarpc makes, if spans are logged.
    peer_calls: Option<SdkTracerProvider>,
}

impl Tracing {
    /// Begins to log sampled spans, if the settings say so.
    #[must_use]
    pub fn start(cfg: &LogSettings) -> Self {
        if !cfg.spans {
            return Self { provider: passing_on(), peer_calls: None };
        }
        let ratio = f64::from(cfg.span_percent) / 100.0;
        let provider = exporting(Sampler::TraceIdRatioBased(ratio));
        replace_tracer(tracer_of(&provider));
        // Heartbeats belong to no request, so of tarpc's spans only those of a sampled trace are taken.
        let peer_calls = exporting(Sampler::AlwaysOff);
        follow_peer_calls(tracer_of(&peer_calls));
        Self { provider, peer_calls: Some(peer_calls) }
    }

    /// Writes the spans that wait and ends the thread. Contexts are still passed on.
    pub fn close(self) {
        replace_tracer(tracer_of(&passing_on()));
        // Spans that cannot be written in time are lost, as when the queue is full.
        for provider in std::iter::once(self.provider).chain(self.peer_calls) {
            let _ = provider.shutdown_with_timeout(STOP_TIMEOUT);
        }
    }
}

/// Exports all hops of a trace that its caller samples. `of_new` samples the traces that begin here.
fn exporting(of_new: Sampler) -> SdkTracerProvider {
    let batch = BatchConfigBuilder::default()
        .with_max_queue_size(QUEUE_SPANS)
        .with_max_export_batch_size(BATCH_SPANS)
        .with_scheduled_delay(FLUSH_PERIOD)
        .build();
    let processor = BatchSpanProcessor::builder(LogExporter).with_batch_config(batch).build();
    let sampler = Sampler::ParentBased(Box::new(of_new));
    SdkTracerProvider::builder().with_span_processor(processor).with_sampler(sampler).build()
}

/// Makes ids and passes on the caller's sampling decision, without anything to export.
fn passing_on() -> SdkTracerProvider {
    let sampler = Sampler::ParentBased(Box::new(Sampler::AlwaysOff));
    SdkTracerProvider::builder().with_sampler(sampler).build()
}

/// Takes the spans that tarpc makes for its calls.
fn follow_peer_calls(tracer: SdkTracer) {
    let is_peer_call = tracing_subscriber::filter::filter_fn(|metadata| {
        metadata.is_span() && metadata.target().starts_with("tarpc")
    });
    let layer = tracing_opentelemetry::layer().with_tracer(tracer).with_filter(is_peer_call);
    let subscriber = tracing_subscriber::registry().with(layer);
    // The first call in a process decides; a second one happens in tests only.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

fn tracer_of(provider: &SdkTracerProvider) -> SdkTracer {
    provider.tracer("plantainlever")
}

fn replace_tracer(tracer: SdkTracer) {
    *TRACER.write().unwrap_or_else(PoisonError::into_inner) = tracer;
}

/// One hop of a request.
#[derive(Debug)]
pub struct Span {
    span: opentelemetry_sdk::trace::Span,
}

impl Span {
    /// Starts a span below the caller's context, or a new trace if there is none or it is malformed.
    #[must_use]
    pub fn start(name: &'static str, traceparent: Option<&str>) -> Self {
        Self::below(name, traceparent.and_then(parse))
    }

    /// Starts a span below this one.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self::below(name, Some(self.span.span_context().clone()))
    }

    /// The context to send to the next hop.
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

    fn below(name: &'static str, parent: Option<SpanContext>) -> Self {
        let cx = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent),
            None => Context::new(),
        };
        let tracer = TRACER.read().unwrap_or_else(PoisonError::into_inner);
        Self { span: tracer.build_with_context(SpanBuilder::from_name(name), &cx) }
    }
}

/// Span around a call to a peer, so that tarpc's own spans belong to the request's trace.
#[must_use]
pub fn peer_call(traceparent: &str) -> tracing::Span {
    use tracing_opentelemetry::OpenTelemetrySpanExt as _;

    let span = tracing::info_span!(target: "tarpc::call", "peer-call");
    if let Some(parent) = parse(traceparent) {
        // Fails only without a subscriber, and then nothing is recorded.
        let _ = span.set_parent(Context::new().with_remote_span_context(parent));
    }
    span
}

/// Reads a `traceparent`. A version above 00 may have more parts, which are not understood and left out.
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

/// The text, if it has this many hexadecimal digits in lower case.
fn hex(text: &str, digits: usize) -> Option<&str> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    (text.len() == digits && text.bytes().all(is_digit)).then_some(text)
}
