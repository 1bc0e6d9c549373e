//! Delays and budget of retries of failed calls.
//!
//! Backoff with full jitter spreads the retries of many processes over time. The budget bounds retries as a share of
//! first attempts, so that a service that fails every call receives little more than its usual load.

use std::time::{Duration, Instant};

/// Units that one retry costs. A first attempt earns `percent` units.
const RETRY_COST: u64 = 100;

/// Delays of one call's retries: exponential, with full jitter.
#[derive(Clone, Debug, PartialEq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    base: Duration,
    /// Upper bound of all delays.
    cap: Duration,
    /// Number of retries granted so far.
    retries: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is below `base`. The bound doubles with each retry, up to `cap`.
    #[must_use]
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, retries: 0 }
    }

    /// Number of retries granted so far.
    #[must_use]
    pub const fn retries(&self) -> u32 {
        self.retries
    }

    /// Upper bound of the next delay.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.base.saturating_mul(1_u32.checked_shl(self.retries).unwrap_or(u32::MAX)).min(self.cap)
    }

    /// Returns the delay before the next retry, or `None` if the retry would not start before the deadline.
    ///
    /// `random` is uniform in 0.0 to 1.0.
    pub fn next_delay(&mut self, now: Instant, deadline: Instant, random: f64) -> Option<Duration> {
        let delay = self.bound().mul_f64(random.clamp(0.0, 1.0));
        if now + delay >= deadline {
            return None;
        }
        self.retries = self.retries.saturating_add(1);
        Some(delay)
    }
}

/// Bounds retries as a share of first attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Units earned per first attempt: the allowed retries per 100 first attempts.
    percent: u32,
    /// Largest number of units that can accumulate, so that a long quiet time does not allow a larger burst of retries.
    max_units: u64,
    /// Invariant: at most `max_units`.
    units: u64,
}

impl RetryBudget {
    /// Allows `percent` retries per 100 first attempts, at most `burst` of them at once.
    ///
    /// The budget starts empty, so retries never exceed the share over the lifetime of a process.
    #[must_use]
    pub fn new(percent: u32, burst: u32) -> Self {
        Self { percent, max_units: u64::from(burst) * RETRY_COST, units: 0 }
    }

    /// Creates a budget that starts with the whole burst, for callers with too little traffic to earn a retry in time.
    ///
    /// Retries then exceed the share by at most `burst`.
    #[must_use]
    pub fn prefilled(percent: u32, burst: u32) -> Self {
        let budget = Self::new(percent, burst);
        Self { units: budget.max_units, ..budget }
    }

    /// Earns the share of a first attempt.
    pub fn record_attempt(&mut self) {
        self.units = self.units.saturating_add(u64::from(self.percent)).min(self.max_units);
    }

    /// Takes one retry from the budget. Returns false if there is none; the call must then not be retried.
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.units.checked_sub(RETRY_COST) else { return false };
        self.units = left;
        true
    }
}
