//! Determines when a lease on a worker has certainly lapsed.
//!
//! Lease expiries are times of the worker's own monotonic clock, which starts with its incarnation and may run slow.
//! The scheduler never compares this clock with its own. It relies only on two facts: when an answer with reading R
//! arrives, the worker's clock is at R or later, and from then on it advances at no less than the slowest rate.

use std::time::Duration;

/// Longest local time, in milliseconds, that one second on a worker's clock can take: the worker's clock may be 2%
/// slow, and the rest allows for the drift of the local clock.
const MAX_LOCAL_MS_PER_WORKER_SECOND: u32 = 1_025;

/// Delay within which a worker kills runs whose lease has expired; its timer may fire late.
const KILL_SLACK: Duration = Duration::from_millis(250);

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerClock {
    /// Reading in milliseconds of the worker's clock.
    reading_ms: u64,
    /// Local time at which the answer arrived.
    received: Duration,
}

impl WorkerClock {
    /// Records a reading whose answer arrived at `received`.
    #[must_use]
    pub fn new(reading_ms: u64, received: Duration) -> Self {
        Self { reading_ms, received }
    }

    /// Returns a value that the worker's clock has reached by `now`, even if it is slow.
    #[must_use]
    pub fn at_least_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.received);
        let slow = elapsed * 1_000 / MAX_LOCAL_MS_PER_WORKER_SECOND;
        self.reading_ms + u64::try_from(slow.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the expiry on the worker's clock of a lease of `length` from `now`. The lease lasts at most `length`,
    /// possibly less.
    #[must_use]
    pub fn expiry_ms(&self, now: Duration, length: Duration) -> u64 {
        self.at_least_ms(now) + u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the local time at which a lease that expires at `expiry_ms` has certainly ended and its runs are gone.
    #[must_use]
    pub fn lapsed_at(&self, expiry_ms: u64) -> Duration {
        let left = Duration::from_millis(expiry_ms.saturating_sub(self.reading_ms));
        self.received + longest_local_time(left)
    }
}

/// Returns the longest local time that `length` on a worker's clock can take, including the kill at its end.
#[must_use]
pub fn longest_local_time(length: Duration) -> Duration {
    length * MAX_LOCAL_MS_PER_WORKER_SECOND / 1_000 + KILL_SLACK
}
