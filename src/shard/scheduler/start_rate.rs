//! Limit on the rate of starts while the owner's thread is saturated.
//!
//! Each start costs the owner a row, a command and its answer, and later the answer that lists its end. If tasks are
//! started faster than the thread can process this, everything waits: urgent starts behind others, and renewals and
//! heartbeats until workers count as silent and the ownership ends. So the rate of starts follows the lag of the thread:
//! it is reduced while the thread is late and raised while it is not. Tasks that have to wait then do so in the order of
//! their rank, before any work is spent on them, so urgent ones pass the others.

use std::time::Duration;

/// Lag up to which the rate is raised. Several answers of a worker and the store are due one after the other before a
/// task has run, and each of them is late by this.
const TARGET_LAG: Duration = Duration::from_millis(20);

/// Time over which the lag is averaged. A single long round is no saturation.
const LAG_WINDOW: Duration = Duration::from_millis(150);

/// Time between two changes of the rate.
const ADJUSTMENT_PERIOD: Duration = Duration::from_millis(100);

/// Factors of a change of the rate.
const DECREASE: f64 = 0.85;
const INCREASE: f64 = 1.08;

/// Lowest rate, in starts per second.
const MIN_RATE: f64 = 100.0;

/// Rate, in starts per second, from which on there is no limit.
const MAX_RATE: f64 = 10_000.0;

/// Time whose starts may be made up for in one pass.
const BURST: Duration = Duration::from_millis(100);

/// Limit on starts by the lag of the owner's thread.
#[derive(Debug)]
pub(super) struct StartRate {
    /// Average lag in seconds.
    lag: f64,
    measured: Duration,
    /// Starts per second; `None` without a limit.
    limit: Option<f64>,
    /// Starts that are allowed at `refilled`; negative after a gang that was larger.
    allowance: f64,
    refilled: Duration,
    /// Starts since the last adjustment.
    started: u32,
    adjusted: Duration,
}

impl StartRate {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            lag: 0.0,
            measured: now,
            limit: None,
            allowance: 0.0,
            refilled: now,
            started: 0,
            adjusted: now,
        }
    }

    /// Records by how much the thread was late.
    pub(super) fn on_lag(&mut self, now: Duration, lag: Duration) {
        let elapsed = now.saturating_sub(self.measured).as_secs_f64();
        let weight = 1.0 - (-elapsed / LAG_WINDOW.as_secs_f64()).exp();
        self.lag += weight * (lag.as_secs_f64() - self.lag);
        self.measured = now;
        let elapsed = now.saturating_sub(self.adjusted);
        if elapsed < ADJUSTMENT_PERIOD {
            return;
        }
        let rate = f64::from(self.started) / elapsed.as_secs_f64();
        (self.adjusted, self.started) = (now, 0);
        if self.lag > TARGET_LAG.as_secs_f64() {
            let limit = self.limit.map_or(rate, |limit| limit.min(rate.max(limit / 2.0)));
            self.set_limit(now, limit * DECREASE);
        } else if let Some(limit) = self.limit {
            self.set_limit(now, limit * INCREASE);
        }
    }

    fn set_limit(&mut self, now: Duration, limit: f64) {
        self.refill(now);
        self.limit = (limit < MAX_RATE).then_some(limit.max(MIN_RATE));
    }

    /// Average lag of the thread.
    pub(super) fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.lag.max(0.0))
    }

    /// Starts per second that are allowed; `None` without a limit.
    pub(super) fn limit(&self) -> Option<f64> {
        self.limit
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled);
        self.refilled = now;
        if let Some(limit) = self.limit {
            let burst = limit * BURST.as_secs_f64();
            self.allowance = (self.allowance + limit * elapsed.as_secs_f64()).min(burst);
        }
    }

    /// Returns how many starts are allowed at `now`.
    pub(super) fn allowed(&mut self, now: Duration) -> usize {
        self.refill(now);
        if self.limit.is_some() { self.allowance.max(0.0) as usize } else { usize::MAX }
    }

    /// Starts since the last adjustment.
    pub(super) fn started(&self) -> u32 {
        self.started
    }

    /// Counts a start.
    pub(super) fn count(&mut self) {
        self.started += 1;
        if self.limit.is_some() {
            self.allowance -= 1.0;
        }
    }
}
