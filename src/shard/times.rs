//! How long steps take compared with their callers' estimates.
//!
//! Load: callers estimate a task's mean duration, a step lasts as long as its longest task, and tasks run longer beside
//! others than alone. A scheduler that goes by the estimates alone begins steps that end late. So each queue learns two
//! ratios of a step's time to its estimate: what is usual now, for predictions, and what a step takes without neighbours,
//! for objectives, which count the longest chain on sound workers.

/// Weight of a new observation: some dozen steps a second end under load, and loads change within seconds.
const WEIGHT: f64 = 0.05;

/// Part of the steps that are faster than the ratio without neighbours.
const SOUND_QUANTILE: f64 = 0.25;

/// Step of the quantile's estimate for each observation.
const SOUND_STEP: f64 = 0.03;

/// Ratios outside are not believed: an estimate may be far off.
const LARGEST_RATIO: f64 = 4.0;

/// Ratios of a queue's steps to their estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTimes {
    usual: f64,
    sound: f64,
}

impl Default for StepTimes {
    fn default() -> Self {
        Self { usual: 1.0, sound: 1.0 }
    }
}

impl StepTimes {
    /// Notes that a step took this many milliseconds from the start of its first task to the end of its last.
    pub fn observe(&mut self, took_ms: f64, estimate_ms: f64) {
        let ratio = (took_ms / estimate_ms.max(1.0)).min(LARGEST_RATIO);
        self.usual += WEIGHT * (ratio - self.usual);
        let is_faster = ratio < self.sound;
        let step = if is_faster { SOUND_QUANTILE - 1.0 } else { SOUND_QUANTILE };
        self.sound = (self.sound + SOUND_STEP * step).clamp(1.0, LARGEST_RATIO);
    }

    /// Time that a chain of steps takes now, in milliseconds.
    #[must_use]
    pub fn usual_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.usual.max(1.0)
    }

    /// Time that a chain of steps takes on sound workers, in milliseconds.
    #[must_use]
    pub fn sound_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.sound.min(self.usual.max(1.0))
    }
}
