//! When a lease on a worker has certainly ended.
//!
//! Leases are stated on the worker's own steady clock, which starts with its incarnation and may run slow. The
//! scheduler never compares it with its own clock; it only uses that the worker's clock read at least R when an answer
//! that says R arrived, and that it has advanced since by no less than the slowest rate.

use std::time::Duration;

/// A worker's clock advances by at least 1000 in the time in which a correct clock advances by this much: 2% slow, plus
/// the drift of the scheduler's own clock.
const SLOWEST_PER_MILLE: u32 = 1_025;

/// A worker kills what has lost its lease by a timer, which may fire a little late.
const KILL_SLACK: Duration = Duration::from_millis(250);

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerClock {
    /// What the worker's clock read, in milliseconds.
    reading_ms: u64,
    /// Local time at which the answer arrived.
    received: Duration,
}

impl WorkerClock {
    /// Notes a reading that has just arrived.
    #[must_use]
    pub fn new(reading_ms: u64, received: Duration) -> Self {
        Self { reading_ms, received }
    }

    /// A value that the worker's clock has reached by `now`, even if it is slow.
    #[must_use]
    pub fn at_least_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.received);
        let slow = elapsed * 1_000 / SLOWEST_PER_MILLE;
        self.reading_ms + u64::try_from(slow.as_millis()).unwrap_or(u64::MAX)
    }

    /// Expiry on the worker's clock of a lease of `length` from `now`. It errs early.
    #[must_use]
    pub fn expiry_ms(&self, now: Duration, length: Duration) -> u64 {
        self.at_least_ms(now) + u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
    }

    /// Local time at which a lease that expires at `expiry_ms` has certainly ended and its runs are gone.
    #[must_use]
    pub fn lapsed_at(&self, expiry_ms: u64) -> Duration {
        let left = Duration::from_millis(expiry_ms.saturating_sub(self.reading_ms));
        self.received + longest(left)
    }
}

/// Longest local time that `length` on a worker's clock can take, including the kill at its end.
#[must_use]
pub fn longest(length: Duration) -> Duration {
    length * SLOWEST_PER_MILLE / 1_000 + KILL_SLACK
}
