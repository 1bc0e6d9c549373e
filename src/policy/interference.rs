//! Learns how much one entry slows another from lagging measurements.
//!
//! The unit is a share of the victim's tail latency target: an impact of 0.1 means that the aggressor uses up a tenth of
//! what the target allows.

use std::collections::BTreeMap;
use std::time::Duration;

/// Estimate of what one task of an entry does to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Impact {
    /// Share of the victim's target that one task uses up.
    pub mean: f64,
    /// From 0 (nothing measured) to 1.
    pub confidence: f64,
}

/// Impact assumed of an entry that has never been measured.
const PRIOR_IMPACT: f64 = 0.05;

/// Share of its target that a service is assumed to use when alone.
const PRIOR_BASELINE: f64 = 0.5;

/// What is known about the pairs of entries.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    targets: BTreeMap<String, Duration>,
}

impl InterferenceModel {
    /// Sets or removes the tail latency target of a service. Only services with a target are protected.
    pub fn set_target(&mut self, service: &str, target: Option<Duration>) {
        match target {
            Some(target) => {
                self.targets.insert(service.to_owned(), target);
            }
            None => {
                self.targets.remove(service);
            }
        }
    }

    /// True if the service has a target.
    #[must_use]
    pub fn is_protected(&self, service: &str) -> bool {
        self.targets.contains_key(service)
    }

    /// Share of the target that the service uses when nothing disturbs it.
    #[must_use]
    pub fn baseline(&self, _service: &str) -> f64 {
        PRIOR_BASELINE
    }

    /// Impact of one task of `aggressor` on `victim`.
    #[must_use]
    pub fn impact(&self, _victim: &str, _aggressor: &str) -> Impact {
        Impact { mean: PRIOR_IMPACT, confidence: 0.0 }
    }
}
