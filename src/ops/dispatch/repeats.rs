//! The budget of repeats: a share of the first attempts.
//!
//! Private to the dispatcher until it moves to the retry policy. Without a budget, repeats of failed requests double the
//! load of targets that fail because of load.

/// Repeats that a process may have saved up, so that a quiet time does not allow a burst later.
const MAX_SAVED_PERCENT: u64 = 10_000;

/// The budget. Pure: it counts requests and knows no time.
#[derive(Debug)]
pub(super) struct RepeatBudget {
    /// Repeats per first attempt, in percent.
    percent: u64,
    /// What may be spent; a repeat costs 100. Invariant: at most [`MAX_SAVED_PERCENT`].
    saved_percent: u64,
}

impl RepeatBudget {
    pub(super) fn new(percent: u32) -> Self {
        Self { percent: u64::from(percent), saved_percent: 0 }
    }

    /// Counts a first attempt.
    pub(super) fn on_first(&mut self) {
        self.saved_percent = (self.saved_percent + self.percent).min(MAX_SAVED_PERCENT);
    }

    /// Spends one repeat if the budget allows it.
    pub(super) fn spend(&mut self) -> bool {
        let allowed = self.saved_percent >= 100;
        if allowed {
            self.saved_percent -= 100;
        }
        allowed
    }
}
