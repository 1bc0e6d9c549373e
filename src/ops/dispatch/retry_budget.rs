//! Bounds the dispatcher's retries to a percentage of the first attempts.
//!
//! Without a bound, retries of failed requests double the load of targets that fail because of load.

/// Largest balance, in hundredths of a retry: 100 retries. The bound keeps a quiet period from allowing a burst later.
const MAX_BALANCE_PERCENT: u64 = 10_000;

/// Retry budget of a process. Each request adds to the balance, before its first route is tried; elapsed time adds
/// nothing.
#[derive(Debug)]
pub(super) struct DispatchRetryBudget {
    /// Retries per first attempt, in percent.
    percent: u64,
    /// Balance in hundredths of a retry. Invariant: at most [`MAX_BALANCE_PERCENT`].
    balance_percent: u64,
}

impl DispatchRetryBudget {
    pub(super) fn new(percent: u32) -> Self {
        Self { percent: u64::from(percent), balance_percent: 0 }
    }

    /// Adds to the balance for a request that is about to be tried for the first time.
    pub(super) fn on_first_attempt(&mut self) {
        self.balance_percent = (self.balance_percent + self.percent).min(MAX_BALANCE_PERCENT);
    }

    /// Spends one retry. False if the balance does not cover it.
    pub(super) fn try_spend(&mut self) -> bool {
        let allowed = self.balance_percent >= 100;
        if allowed {
            self.balance_percent -= 100;
        }
        allowed
    }
}
