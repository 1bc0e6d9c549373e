//! Learns from lagging measurements how much the tasks of one entry slow a service, and keeps services within their
//! latency targets.
//!
//! Tails and impacts are shares of the victim's tail latency target: an impact of 0.1 means that the aggressor adds a
//! tenth of the target to the victim's tail latency. The tail of a service is modelled as its baseline plus, for each
//! neighbour, the impact per core times the cores that the neighbour used. Tail and usage come from the same
//! measurement. Its lag therefore does not pair a tail with neighbours that were absent, and a throttled neighbour is
//! not mistaken for a harmless one.

pub mod control;
pub mod estimate;
pub mod size;

use std::collections::BTreeMap;
use std::time::Duration;

pub use control::{Action, Controller, Neighbour, Reading};
pub use estimate::Estimate;
pub use size::SizeModel;

use crate::platform::worker::{AttemptState, Inventory};

/// Impact per core that is assumed for an entry without measurements.
const PRIOR_IMPACT: Estimate = Estimate::new(0.02, 0.02 * 0.02);

/// Baseline that is assumed for a service without measurements.
const PRIOR_BASELINE: Estimate = Estimate::new(0.5, 0.2 * 0.2);

/// Relative error of one measured tail.
const MEASUREMENT_ERROR: f64 = 0.15;

/// Variance added to an impact per measurement, because impacts change with the load.
const IMPACT_DRIFT: f64 = 1e-7;

/// Variance added to a baseline per measurement. A baseline follows the load and changes faster than an impact.
const BASELINE_DRIFT: f64 = 1e-5;

/// Smoothing factor with which the estimate of one pair updates the aggressor's moving average over its victims.
const POOLING_WEIGHT: f64 = 0.05;

/// Estimated impact of one task of an entry on a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Impact {
    /// Expected increase of the victim's tail, as a share of its target.
    pub mean: f64,
    /// Confidence from 0 (no measurement) to 1.
    pub confidence: f64,
}

/// Usage of one neighbour of a service during a measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Activity<'a> {
    /// Catalogue entry of the neighbour.
    pub entry: &'a str,
    /// Mean number of cores used while the tail was measured.
    pub cores: f64,
}

#[derive(Clone, Debug)]
struct Service {
    baseline: Estimate,
    /// Impact per core by aggressor.
    pairs: BTreeMap<String, Estimate>,
    /// Impact of one task, averaged over the entries measured with this service; computed from `pairs` at the last
    /// measurement.
    mean_task_impact: f64,
}

/// Learned impacts of entries on services, with the baselines of the services and the observed sizes of tasks.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    targets: BTreeMap<String, Duration>,
    services: BTreeMap<String, Service>,
    /// Mean impact per core of an entry over its victims, the prior for services that it was not measured with.
    aggressors: BTreeMap<String, f64>,
    /// Newest measurement of each worker: its incarnation and the time on its clock in milliseconds.
    measured: BTreeMap<String, (u64, u64)>,
    sizes: SizeModel,
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
                self.services.remove(service);
            }
        }
    }

    /// True if the service has a target.
    #[must_use]
    pub fn is_protected(&self, service: &str) -> bool {
        self.targets.contains_key(service)
    }

    /// Share of the target that a measured tail latency uses; `None` for a service without a target.
    #[must_use]
    pub fn tail(&self, service: &str, p99: Duration) -> Option<f64> {
        self.targets.get(service).map(|target| p99.as_secs_f64() / target.as_secs_f64())
    }

    /// Observed task sizes.
    #[must_use]
    pub fn sizes(&self) -> &SizeModel {
        &self.sizes
    }

    /// Learns from a worker's report, skipping attempts without usage and a service without a tail. Returns false
    /// without learning if the report repeats the worker's last measurement.
    pub fn observe(&mut self, worker: &str, service: Option<&str>, inventory: &Inventory) -> bool {
        let measured = (inventory.incarnation, inventory.measured_at_ms);
        if self.measured.insert(worker.to_owned(), measured) == Some(measured) {
            return false;
        }
        let running =
            inventory.attempts.iter().filter(|attempt| attempt.state == AttemptState::Running);
        let mut activities = Vec::new();
        for attempt in running {
            let Some(usage) = &attempt.usage else { continue };
            self.sizes.observe(&attempt.entry, &attempt.resources, usage);
            let cores = usage.cpu_millis as f64 / 1000.0;
            activities.push(Activity { entry: &attempt.entry, cores });
        }
        let tail = service
            .zip(inventory.service_p99_us)
            .and_then(|(service, p99)| self.tail(service, Duration::from_micros(p99)));
        if let (Some(service), Some(tail)) = (service, tail) {
            self.learn(service, tail, &activities);
        }
        true
    }

    /// Discards the state of a removed worker.
    pub fn forget_worker(&mut self, worker: &str) {
        self.measured.remove(worker);
    }

    /// Tail of the service without neighbours, as a share of its target.
    #[must_use]
    pub fn baseline(&self, service: &str) -> f64 {
        self.services.get(service).map_or(PRIOR_BASELINE, |service| service.baseline).mean()
    }

    /// Impact of one task of `aggressor` on `victim`. `declared_cores` is used if the size of the aggressor's tasks was
    /// never measured.
    #[must_use]
    pub fn impact(&self, victim: &str, aggressor: &str, declared_cores: f64) -> Impact {
        let per_core = self.per_core(victim, aggressor);
        let cores = self.sizes.cores(aggressor).unwrap_or(declared_cores);
        Impact { mean: per_core.mean() * cores, confidence: per_core.confidence(PRIOR_IMPACT) }
    }

    /// Mean impact of one task on the service, over the entries measured with it.
    #[must_use]
    pub fn mean_task_impact(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |service| service.mean_task_impact)
    }

    /// Impact of one core of `aggressor` on `victim`.
    #[must_use]
    pub fn per_core(&self, victim: &str, aggressor: &str) -> Estimate {
        let known = self.services.get(victim).and_then(|service| service.pairs.get(aggressor));
        known.copied().unwrap_or_else(|| self.prior(aggressor))
    }

    /// Prior for a pair without measurements: the aggressor's mean impact over its other victims.
    fn prior(&self, aggressor: &str) -> Estimate {
        match self.aggressors.get(aggressor) {
            Some(mean) => Estimate::new(*mean, PRIOR_IMPACT.variance()),
            None => PRIOR_IMPACT,
        }
    }

    fn learn(&mut self, service: &str, tail: f64, activities: &[Activity<'_>]) {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for activity in activities {
            *cores.entry(activity.entry).or_default() += activity.cores;
        }
        cores.retain(|_, used| *used > 0.0);
        let priors: Vec<Estimate> = cores.keys().map(|entry| self.prior(entry)).collect();
        let known = self.services.entry(service.to_owned()).or_insert_with(|| Service {
            baseline: PRIOR_BASELINE,
            pairs: BTreeMap::new(),
            mean_task_impact: 0.0,
        });
        for (entry, prior) in cores.keys().zip(priors) {
            known.pairs.entry((*entry).to_owned()).or_insert(prior);
        }
        known.update(tail, &cores);
        self.pool_aggressors(service, &cores);
    }

    /// Moves each aggressor's mean impact over all victims towards the pair that was just measured.
    fn pool_aggressors(&mut self, service: &str, cores: &BTreeMap<&str, f64>) {
        let Some(known) = self.services.get_mut(service) else { return };
        for entry in cores.keys() {
            let Some(pair) = known.pairs.get(*entry) else { continue };
            let weight = POOLING_WEIGHT * pair.confidence(PRIOR_IMPACT);
            let pooled = self.aggressors.entry((*entry).to_owned()).or_insert(PRIOR_IMPACT.mean());
            *pooled += weight * (pair.mean() - *pooled);
        }
        let impacts = known
            .pairs
            .iter()
            .map(|(entry, pair)| pair.mean() * self.sizes.cores(entry).unwrap_or(1.0));
        known.mean_task_impact = impacts.sum::<f64>() / known.pairs.len().max(1) as f64;
    }
}

impl Service {
    /// Distributes the prediction error over the baseline and the pairs in proportion to their variances.
    fn update(&mut self, tail: f64, cores: &BTreeMap<&str, f64>) {
        self.baseline.drift(BASELINE_DRIFT, PRIOR_BASELINE);
        let mut predicted = self.baseline.mean();
        let mut variance = self.baseline.variance();
        for (entry, used) in cores {
            let Some(pair) = self.pairs.get_mut(*entry) else { continue };
            pair.drift(IMPACT_DRIFT, PRIOR_IMPACT);
            predicted += pair.mean() * used;
            variance += pair.variance() * used * used;
        }
        let error = tail - predicted;
        let noise = MEASUREMENT_ERROR * predicted;
        let total_variance = variance + noise * noise;
        self.baseline.correct(1.0, error, total_variance);
        for (entry, used) in cores {
            if let Some(pair) = self.pairs.get_mut(*entry) {
                pair.correct(*used, error, total_variance);
            }
        }
    }
}
