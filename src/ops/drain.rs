//! The planned stop of a process, as far as requests are concerned.
//!
//! Refusing at once would cut off callers that the balancer still sends here, so refusal starts only after the balancer
//! has had time to see `/readyz` fail.

use std::time::{Duration, Instant};

use super::Context;
use super::dispatch::Dispatcher;

/// How often the requests in flight are counted.
const POLL: Duration = Duration::from_millis(5);

/// What the stop found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drained {
    /// Requests that were still in flight when the wait ended; 0 unless `timing.drain_ms` passed.
    pub left: u64,
    /// Time from the refusal of new requests to the end of the wait.
    pub waited: Duration,
}

/// Stops taking requests and returns once those in flight have been answered, or after `timing.drain_ms`.
#[must_use]
pub fn drain(cx: &Context, dispatcher: &Dispatcher) -> Drained {
    cx.stop.drain();
    cx.clock.sleep(cx.cfg.timing.balancer_wait());
    dispatcher.refuse();
    let started: Instant = cx.clock.now();
    loop {
        let left = dispatcher.in_flight();
        let waited = cx.clock.now().saturating_duration_since(started);
        if left == 0 || waited >= cx.cfg.timing.drain() {
            return Drained { left, waited };
        }
        cx.clock.sleep(POLL);
    }
}
