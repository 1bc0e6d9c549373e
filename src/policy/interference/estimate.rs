//! A value with its variance, corrected by measurements of a weighted sum of such values.

/// A non-negative value that is known with some variance.
///
/// A new estimate starts at its prior and each measurement moves it less the more certain it is, so few measurements
/// leave it near the prior (shrinkage).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Invariant: not negative.
    mean: f64,
    /// Invariant: positive.
    variance: f64,
}

impl Estimate {
    /// Creates an estimate.
    #[must_use]
    pub const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// The value.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Its variance.
    #[must_use]
    pub const fn variance(&self) -> f64 {
        self.variance
    }

    /// Part of the prior's variance that measurements have removed, from 0 to 1.
    #[must_use]
    pub fn confidence(&self, prior: Self) -> f64 {
        (1.0 - self.variance / prior.variance).clamp(0.0, 1.0)
    }

    /// Adds uncertainty, up to the prior's, for what may have changed since the last measurement.
    pub(super) fn drift(&mut self, variance: f64, prior: Self) {
        self.variance = (self.variance + variance).min(prior.variance);
    }

    /// Applies a measurement that contains `weight` times this value and was `error` above the prediction. `total` is
    /// the variance of the whole measurement. This is a Kalman filter that neglects covariances, so its cost is linear
    /// in the number of neighbours.
    pub(super) fn correct(&mut self, weight: f64, error: f64, total: f64) {
        let gain = self.variance * weight / total;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance *= 1.0 - gain * weight;
    }
}
