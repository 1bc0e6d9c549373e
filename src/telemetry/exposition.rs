//! Metrics that are kept in the process and served in the Prometheus text format.
//!
//! The users' platform (see the adapter in `platform/`) has no statsd server and scrapes metrics instead. This sink
//! receives the metrics that `cadence` emits and aggregates them to counters, gauges and summaries of durations.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Largest latency that a histogram distinguishes; longer ones are recorded as this one.
const MAX_LATENCY_MS: u64 = 60_000;

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles that are served for each latency.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

#[derive(Debug)]
enum Value {
    Count(u64),
    Gauge(u64),
    Latency { histogram: Histogram<u64>, sum_ms: u64 },
}

/// Metrics by name. Clones share the same metrics.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    values: Arc<Mutex<BTreeMap<String, Value>>>,
}

impl Exposition {
    /// Returns all metrics in the Prometheus text format; latencies are in milliseconds.
    #[must_use]
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in values.iter() {
            let name = name.replace(['.', '-'], "_");
            // Writing to a string never fails.
            let _ = match value {
                Value::Count(count) => writeln!(text, "# TYPE {name} counter\n{name} {count}"),
                Value::Gauge(gauge) => writeln!(text, "# TYPE {name} gauge\n{name} {gauge}"),
                Value::Latency { histogram, sum_ms } => {
                    render_latency(&mut text, &name, histogram, *sum_ms)
                }
            };
        }
        text
    }

    /// Records one metric in the statsd format; `None` if it cannot be parsed, or is sent as a counter and was
    /// recorded as another type.
    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let number: u64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => match values.entry(name.to_owned()).or_insert(Value::Count(0)) {
                Value::Count(count) => *count += number,
                _ => return None,
            },
            "g" => {
                values.insert(name.to_owned(), Value::Gauge(number));
            }
            "ms" => {
                if !values.contains_key(name) {
                    let histogram =
                        Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS).ok()?;
                    values.insert(name.to_owned(), Value::Latency { histogram, sum_ms: 0 });
                }
                if let Some(Value::Latency { histogram, sum_ms }) = values.get_mut(name) {
                    histogram.saturating_record(number);
                    *sum_ms += number;
                }
            }
            _ => return None,
        }
        Some(())
    }
}

fn render_latency(
    text: &mut String,
    name: &str,
    histogram: &Histogram<u64>,
    sum_ms: u64,
) -> std::fmt::Result {
    writeln!(text, "# TYPE {name}_ms summary")?;
    for quantile in QUANTILES {
        let value = histogram.value_at_quantile(quantile);
        writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}")?;
    }
    writeln!(text, "{name}_ms_sum {sum_ms}\n{name}_ms_count {}", histogram.len())
}

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.record(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::new(io::ErrorKind::InvalidData, metric.to_owned())),
        }
    }
}
