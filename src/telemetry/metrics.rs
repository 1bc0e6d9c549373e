//! Counters, gauges and timers, sent to statsd or kept for scraping.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use super::exposition::Exposition;
use cadence::{Counted, Gauged, MetricSink, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of all metrics.
const PREFIX: &str = "plantainlever";

/// Records metrics. A metric that cannot be sent is dropped and never delays the caller.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that drops all metrics.
    #[must_use]
    pub fn disabled() -> Self {
        Self::with_sink(NopMetricSink)
    }

    /// Creates a client that sends to a statsd address over UDP.
    ///
    /// # Errors
    ///
    /// If no socket can be created.
    pub fn to_statsd(address: SocketAddr) -> Result<Self, std::io::Error> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Self::with_sink(sink))
    }

    /// Creates a client that keeps metrics in the process, to be scraped.
    #[must_use]
    pub fn to_exposition(exposition: Exposition) -> Self {
        Self::with_sink(exposition)
    }

    fn with_sink(
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)) }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, amount: u64) {
        // Metrics are best effort, so a failed send is ignored.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, duration: std::time::Duration) {
        let _ = self.client.time(name, duration);
    }
}
