//! Corrects the declared resources of tasks by their observed usage.
//!
//! Observed sizes are only used to predict impacts. A commitment always uses the declared size: with a smaller
//! commitment, an attempt whose usage grows later could exceed the capacity of its worker.

use std::collections::BTreeMap;

use crate::worker::Resources;

/// Number of measurements at which the observed size weighs as much as the declared one.
const PRIOR_MEASUREMENTS: f64 = 5.0;

/// Weight of a new measurement in the moving average.
const MEAN_WEIGHT: f64 = 0.05;

/// Factor by which a measurement below the peak reduces it, so that a single peak does not last.
const PEAK_DECAY: f64 = 0.995;

#[derive(Clone, Debug)]
struct Observed {
    /// Number of measurements, up to 1000; beyond that the declared size has no noticeable weight.
    count: f64,
    mean_cpu_millis: f64,
    peak_cpu_millis: f64,
    peak_memory_mb: f64,
}

/// Observed sizes by entry.
#[derive(Clone, Debug, Default)]
pub struct SizeModel {
    entries: BTreeMap<String, Observed>,
}

impl SizeModel {
    /// Mean cores used by one task; `None` if the entry was never measured.
    #[must_use]
    pub fn cores(&self, entry: &str) -> Option<f64> {
        self.entries.get(entry).map(|observed| observed.mean_cpu_millis / 1000.0)
    }

    /// Blends the declared size with the observed peaks. Accelerators are whole units and not corrected.
    #[must_use]
    pub fn corrected(&self, entry: &str, declared: &Resources) -> Resources {
        let Some(observed) = self.entries.get(entry) else { return *declared };
        let trust = observed.count / (observed.count + PRIOR_MEASUREMENTS);
        let blend = |declared: u64, peak: f64| {
            (declared as f64 * (1.0 - trust) + peak * trust).round() as u64
        };
        Resources {
            cpu_millis: blend(declared.cpu_millis, observed.peak_cpu_millis),
            memory_mb: blend(declared.memory_mb, observed.peak_memory_mb),
            accelerators: declared.accelerators,
        }
    }

    pub(super) fn observe(&mut self, entry: &str, declared: &Resources, usage: &Resources) {
        let observed = self.entries.entry(entry.to_owned()).or_insert_with(|| Observed {
            count: 0.0,
            mean_cpu_millis: declared.cpu_millis as f64,
            peak_cpu_millis: 0.0,
            peak_memory_mb: 0.0,
        });
        observed.count = (observed.count + 1.0).min(1000.0);
        let cpu_millis = usage.cpu_millis as f64;
        // The first measurements weigh more, so that a wrong declaration is quickly corrected.
        let weight = MEAN_WEIGHT.max(1.0 / (observed.count + 1.0));
        observed.mean_cpu_millis += weight * (cpu_millis - observed.mean_cpu_millis);
        observed.peak_cpu_millis = cpu_millis.max(observed.peak_cpu_millis * PEAK_DECAY);
        observed.peak_memory_mb =
            (usage.memory_mb as f64).max(observed.peak_memory_mb * PEAK_DECAY);
    }
}
