//! Estimate of a value with its variance, corrected by measurements of a weighted sum of such values.

/// A non-negative value with the variance of its estimate.
///
/// An estimate starts at its prior, and the more certain it is, the less a measurement moves it. After few measurements
/// it is still near the prior (shrinkage).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Invariant: not negative.
    mean: f64,
    /// Invariant: positive.
    variance: f64,
}

impl Estimate {
    /// Creates an estimate. `mean` must not be negative and `variance` must be positive.
    #[must_use]
    pub const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// Expected value; never negative.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Variance of the estimate; it shrinks with each measurement and grows by drift.
    #[must_use]
    pub const fn variance(&self) -> f64 {
        self.variance
    }

    /// Share of the prior's variance that measurements have removed, from 0 to 1.
    #[must_use]
    pub fn confidence(&self, prior: Self) -> f64 {
        (1.0 - self.variance / prior.variance).clamp(0.0, 1.0)
    }

    /// Adds variance for changes since the last measurement, up to the variance of the prior.
    pub(super) fn drift(&mut self, variance: f64, prior: Self) {
        self.variance = (self.variance + variance).min(prior.variance);
    }

    /// Applies a measurement that contains `weight` times this value and was `error` above the prediction.
    /// `total_variance` is the variance of the whole measurement. This is a Kalman filter that neglects covariances, so
    /// its cost is linear in the number of neighbours.
    pub(super) fn correct(&mut self, weight: f64, error: f64, total_variance: f64) {
        let gain = self.variance * weight / total_variance;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance *= 1.0 - gain * weight;
    }
}
