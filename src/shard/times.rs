//! Ratios of the measured times of steps to their callers' estimates.
//!
//! Callers estimate a task's mean duration, but a step lasts as long as its longest task, and tasks run longer beside
//! others than alone. With the estimates alone, the scheduler would begin steps too late. Each queue therefore learns
//! two ratios of measured to estimated time: the typical one now, for predictions, and the one on an idle worker, for
//! objectives, which must not grow with the load.

/// Weight of a new observation in the typical ratio: under load a few dozen steps end per second, and the load changes
/// within seconds.
const OBSERVATION_WEIGHT: f64 = 0.05;

/// Quantile of the observed ratios that is taken as the ratio on an idle worker.
const UNLOADED_QUANTILE: f64 = 0.25;

/// Gain of the estimate of that quantile, per observation.
const UNLOADED_GAIN: f64 = 0.03;

/// Upper bound of a ratio, since an estimate may be far too low.
const MAX_RATIO: f64 = 4.0;

/// Learned ratios of the steps of a queue. 1.0 before the first observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTimeRatios {
    typical: f64,
    unloaded: f64,
}

impl Default for StepTimeRatios {
    fn default() -> Self {
        Self { typical: 1.0, unloaded: 1.0 }
    }
}

impl StepTimeRatios {
    /// Records the time of a step, from the start of its first task to the end of its last one.
    pub fn observe(&mut self, took_ms: f64, estimate_ms: f64) {
        let ratio = (took_ms / estimate_ms.max(1.0)).min(MAX_RATIO);
        self.typical += OBSERVATION_WEIGHT * (ratio - self.typical);
        let is_faster = ratio < self.unloaded;
        let direction = if is_faster { UNLOADED_QUANTILE - 1.0 } else { UNLOADED_QUANTILE };
        self.unloaded = (self.unloaded + UNLOADED_GAIN * direction).clamp(1.0, MAX_RATIO);
    }

    /// Predicts the time that a chain of steps takes under the current load, in milliseconds.
    #[must_use]
    pub fn typical_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.typical.max(1.0)
    }

    /// Predicts the time that a chain of steps takes on idle workers, in milliseconds.
    #[must_use]
    pub fn unloaded_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.unloaded.min(self.typical.max(1.0))
    }
}
