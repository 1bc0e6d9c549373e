//! How long steps take compared with their callers' estimates.
//!
//! Load: callers estimate a task's mean duration, a step lasts as long as its longest task, and tasks run longer beside
//! others than alone. A scheduler that goes by the estimates alone begins steps that end late. So each queue learns two
//! ratios of a step's time to its estimate: what is typical now, for predictions, and what a step takes on an idle worker,
//! for objectives, which do not grow with the load.

/// Weight of a new observation: some dozen steps a second end under load, and loads change within seconds.
const WEIGHT: f64 = 0.05;

/// Part of the steps that are faster than the ratio on an idle worker.
const UNLOADED_QUANTILE: f64 = 0.25;

/// Step of the quantile's estimate for each observation.
const UNLOADED_STEP: f64 = 0.03;

/// Ratios outside are not believed: an estimate may be far off.
const LARGEST_RATIO: f64 = 4.0;

/// Ratios of a queue's steps to their estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTimes {
    typical: f64,
    unloaded: f64,
}

impl Default for StepTimes {
    fn default() -> Self {
        Self { typical: 1.0, unloaded: 1.0 }
    }
}

impl StepTimes {
    /// Notes that a step took this many milliseconds from the start of its first task to the end of its last.
    pub fn observe(&mut self, took_ms: f64, estimate_ms: f64) {
        let ratio = (took_ms / estimate_ms.max(1.0)).min(LARGEST_RATIO);
        self.typical += WEIGHT * (ratio - self.typical);
        let is_faster = ratio < self.unloaded;
        let step = if is_faster { UNLOADED_QUANTILE - 1.0 } else { UNLOADED_QUANTILE };
        self.unloaded = (self.unloaded + UNLOADED_STEP * step).clamp(1.0, LARGEST_RATIO);
    }

    /// Time that a chain of steps takes now, in milliseconds.
    #[must_use]
    pub fn typical_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.typical.max(1.0)
    }

    /// Time that a chain of steps takes on idle workers, in milliseconds.
    #[must_use]
    pub fn unloaded_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.unloaded.min(self.typical.max(1.0))
    }
}
