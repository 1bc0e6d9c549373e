//! Drains the requests of a process at a planned stop.
//!
//! New requests are refused only after the load balancer has had time to see `/readyz` fail, because until then it
//! still sends callers to this process.

use std::time::{Duration, Instant};

use super::Context;
use super::dispatch::Dispatcher;

/// Period at which the requests in flight are counted.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Result of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drained {
    /// Requests still in flight when the wait ended; 0 unless it ended because `timing.drain_ms` passed.
    pub unfinished: u64,
    /// Time from the refusal of new requests to the end of the wait.
    pub waited: Duration,
}

/// Refuses new requests after `timing.balancer_wait_ms`, then waits until those in flight have ended, for at most
/// `timing.drain_ms`.
#[must_use]
pub fn drain(cx: &Context, dispatcher: &Dispatcher) -> Drained {
    cx.stop.drain();
    cx.clock.sleep(cx.cfg.timing.balancer_wait());
    dispatcher.refuse();
    let started: Instant = cx.clock.now();
    loop {
        let unfinished = dispatcher.in_flight();
        let waited = cx.clock.now().saturating_duration_since(started);
        if unfinished == 0 || waited >= cx.cfg.timing.drain() {
            return Drained { unfinished, waited };
        }
        cx.clock.sleep(POLL_PERIOD);
    }
}
