//! When a failed call is repeated, and how often.
//!
//! Backoff with full jitter spreads the repeats of many processes over time. The budget bounds repeats as a share of
//! first attempts, so that a service that fails everything receives little more than its usual load.

use std::time::{Duration, Instant};

/// Units of the budget that one retry costs; a first attempt earns the budget's percentage of it.
const RETRY_COST: u64 = 100;

/// Delays of one call's retries: exponential, with full jitter.
#[derive(Clone, Debug, PartialEq)]
pub struct Backoff {
    /// Bound of the first delay.
    base: Duration,
    /// Bound of all delays.
    cap: Duration,
    /// Retries granted so far.
    retries: u32,
}

impl Backoff {
    /// Starts with delays below `base`, doubling up to `cap`.
    #[must_use]
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, retries: 0 }
    }

    /// Retries granted so far.
    #[must_use]
    pub const fn retries(&self) -> u32 {
        self.retries
    }

    /// The bound that the next delay stays below.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.base.saturating_mul(1_u32.checked_shl(self.retries).unwrap_or(u32::MAX)).min(self.cap)
    }

    /// Delay before the next retry, or `None` if it would not start before the deadline.
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
    /// Earned per first attempt.
    percent: u32,
    /// Most units that can be saved up, so that a long quiet time does not allow a burst.
    max_units: u64,
    /// Invariant: at most `max_units`.
    units: u64,
}

impl RetryBudget {
    /// Allows `percent` retries per 100 first attempts, at most `burst` of them at once.
    ///
    /// The budget starts empty: over the life of a process retries never exceed the share.
    #[must_use]
    pub fn new(percent: u32, burst: u32) -> Self {
        Self { percent, max_units: u64::from(burst) * RETRY_COST, units: 0 }
    }

    /// Starts with the whole burst, for callers with too little traffic to earn a retry in time.
    ///
    /// Retries then exceed the share by at most `burst`.
    #[must_use]
    pub fn prefilled(percent: u32, burst: u32) -> Self {
        let budget = Self::new(percent, burst);
        Self { units: budget.max_units, ..budget }
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.units = self.units.saturating_add(u64::from(self.percent)).min(self.max_units);
    }

    /// Takes one retry from the budget. False if there is none, in which case the call must not be repeated.
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.units.checked_sub(RETRY_COST) else { return false };
        self.units = left;
        true
    }
}
