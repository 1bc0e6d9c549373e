//! Chooses a worker for a pending task.
//!
//! The filter admits open workers that are not excluded and have enough uncommitted resources. Each gets a cost and the
//! lowest cost wins; ties are broken by name, so that equal inputs give equal results. Predicting tail latencies reads
//! every resident of a worker, so workers are visited in order of the static part of the cost, and only until enough of
//! them have been compared. For a batch task, workers whose services it would bring too near to their targets are
//! skipped.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::interference::InterferenceModel;
use crate::catalogue::Class;
use crate::worker::pool::index::EntryIndex;
use crate::worker::{Pool, Resources, Worker};

/// Maximum number of workers that are compared by full cost. Workers skipped because of `MAX_BATCH_TAIL` do not count.
const MAX_COMPARED_WORKERS: usize = 16;

/// Largest predicted tail, as a share of the target, at which a batch task may still be added.
const MAX_BATCH_TAIL: f64 = 0.95;

/// Cost of a predicted tail that equals the target.
const TAIL_WEIGHT: f64 = 0.5;

/// Cost of excess impact (see [`TailEffect`]) that equals the target.
const EXCESS_IMPACT_WEIGHT: f64 = 8.0;

/// Cost of having all tasks of the entry in one rack.
const SPREAD_WEIGHT: f64 = 1.0;

/// Cost if the placement would leave all processors free and no memory, or the reverse.
const IMBALANCE_WEIGHT: f64 = 0.5;

/// Cost reduction for the worker of the last attempt, which may still store the checkpoint locally.
const LOCALITY_BONUS: f64 = 0.3;

/// Input of the placement of one task.
#[derive(Clone, Debug)]
pub struct PendingTask<'a> {
    /// Name of the catalogue entry.
    pub entry: &'a str,
    /// Class of the entry.
    pub class: Class,
    /// Resources to commit for the attempt.
    pub resources: Resources,
    /// Workers that must not be chosen.
    pub excluded: &'a BTreeSet<String>,
    /// Worker of the last attempt, if known. It may still store the checkpoint.
    pub last_worker: Option<&'a str>,
}

/// Reason why no worker can take a task.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoWorker {
    /// Some worker is large enough, but all that may be used are currently full or closed.
    #[error("no worker has room now")]
    Full,
    /// Workers have enough free resources, but the task would bring their services too near to their latency targets.
    #[error("every worker with room runs a service that the task would slow too much")]
    NearTarget,
    /// The task excludes every worker that is large enough.
    #[error("every worker that is large enough is excluded for this task")]
    AllExcluded,
    /// No worker of the pool is large enough even when empty.
    #[error("no worker is large enough even when empty")]
    TooLarge,
}

/// Returns the name of the cheapest worker for a task.
///
/// # Errors
///
/// [`NoWorker`] tells whether waiting can help. An empty pool counts as full, because its workers may not be known yet.
pub fn choose<'p>(
    pool: &'p Pool,
    task: &PendingTask<'_>,
    interference: &InterferenceModel,
) -> Result<&'p str, NoWorker> {
    let mut scorer = Scorer::new(pool.entries(), task, interference);
    let mut admitted: Vec<(f64, &str, &Worker)> = Vec::with_capacity(pool.workers().len());
    for (name, worker) in pool.workers() {
        let free = worker.free();
        if worker.is_open() && task.resources.fits_in(&free) && !task.excluded.contains(name) {
            let left = free.saturating_sub(&task.resources);
            admitted.push((scorer.static_cost(name, worker, &left), name, worker));
        }
    }
    // Workers are visited by name and the sort is stable, so the name breaks ties without being compared.
    admitted.sort_by(|a, b| a.0.total_cmp(&b.0));
    if admitted.is_empty() {
        return Err(no_worker_reason(pool, task));
    }
    scorer.best(&admitted).ok_or(NoWorker::NearTarget)
}

fn no_worker_reason(pool: &Pool, task: &PendingTask<'_>) -> NoWorker {
    let mut large_enough = pool
        .workers()
        .iter()
        .filter(|(_, worker)| task.resources.fits_in(worker.capacity()))
        .peekable();
    if pool.workers().is_empty() {
        NoWorker::Full
    } else if large_enough.peek().is_none() {
        NoWorker::TooLarge
    } else if large_enough.all(|(name, _)| task.excluded.contains(name)) {
        NoWorker::AllExcluded
    } else {
        NoWorker::Full
    }
}

/// The parts of the score that depend only on the task.
struct Scorer<'a> {
    task: &'a PendingTask<'a>,
    entries: &'a EntryIndex,
    interference: &'a InterferenceModel,
    by_rack: Option<&'a BTreeMap<String, u32>>,
    total_tasks: f64,
    /// Rack of the last visited worker and its cost. Cached, because workers of a rack are often visited in a row.
    last_rack: Option<(&'a str, f64)>,
    /// Predictions for the task's own entry; `None` if it has no target.
    own: Option<ServicePrediction>,
    /// Predictions for each entry by its number. The outer option is `None` until the entry is first looked up as a
    /// service, the inner one if it has no target.
    services: Vec<Option<Option<ServicePrediction>>>,
}

/// Values of the interference model for one protected service. Workers share services and entries, so each value is
/// looked up by name once and not once per worker.
struct ServicePrediction {
    baseline: f64,
    /// Impact of the task to place.
    task_impact: f64,
    /// Impact of one task, averaged over the entries measured with the service.
    mean_task_impact: f64,
    /// Impact of one task of each entry, by the entry's number; NaN until looked up.
    impacts: Vec<f64>,
}

impl<'a> Scorer<'a> {
    fn new(
        entries: &'a EntryIndex,
        task: &'a PendingTask<'a>,
        interference: &'a InterferenceModel,
    ) -> Self {
        let by_rack = entries.by_rack(task.entry);
        let total_tasks = by_rack.map_or(0, |racks| racks.values().sum::<u32>());
        let own = ServicePrediction::new(task.entry, task, interference, entries.number_limit());
        let services = std::iter::repeat_with(|| None).take(entries.number_limit()).collect();
        let total_tasks = f64::from(total_tasks);
        let last_rack = None;
        Self { task, entries, interference, by_rack, total_tasks, last_rack, own, services }
    }

    /// Cost of imbalance, rack spread and checkpoint locality, which needs no tail prediction.
    fn static_cost(&mut self, name: &str, worker: &'a Worker, left: &Resources) -> f64 {
        let mut cost = IMBALANCE_WEIGHT * imbalance(worker, left) + self.spread_cost(worker.rack());
        if self.task.last_worker == Some(name) {
            cost -= LOCALITY_BONUS;
        }
        cost
    }

    fn spread_cost(&mut self, rack: &'a str) -> f64 {
        if self.total_tasks == 0.0 {
            return 0.0;
        }
        if let Some((last, cost)) = self.last_rack
            && last == rack
        {
            return cost;
        }
        let here = self.by_rack.and_then(|racks| racks.get(rack)).copied().unwrap_or(0);
        let cost = SPREAD_WEIGHT * f64::from(here) / self.total_tasks;
        self.last_rack = Some((rack, cost));
        cost
    }

    /// Returns the cheapest of the first [`MAX_COMPARED_WORKERS`] workers. For a batch task, workers whose predicted
    /// tail is above [`MAX_BATCH_TAIL`] are skipped.
    fn best<'p>(&mut self, admitted: &[(f64, &'p str, &Worker)]) -> Option<&'p str> {
        let mut best: Option<(f64, &str)> = None;
        let mut compared = 0;
        for (static_cost, name, worker) in admitted {
            let effect = self.effect(worker);
            if self.task.class == Class::Batch && effect.tail > MAX_BATCH_TAIL {
                continue;
            }
            let cost = static_cost
                + TAIL_WEIGHT * effect.tail
                + EXCESS_IMPACT_WEIGHT * effect.excess_impact;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, name));
            }
            compared += 1;
            if compared == MAX_COMPARED_WORKERS {
                break;
            }
        }
        best.map(|(_, name)| name)
    }

    /// Predicts the effect of the task on the services of a worker. An urgent task counts as one of the services.
    fn effect(&mut self, worker: &Worker) -> TailEffect {
        let mut effect = TailEffect::default();
        for resident in worker.residents() {
            if resident.class == Class::Batch {
                continue;
            }
            let (entries, interference, task) = (self.entries, self.interference, self.task);
            let Some(service) = entries.name(resident.entry) else { continue };
            let Some(known) = self.services.get_mut(resident.entry) else { continue };
            let row = known.get_or_insert_with(|| {
                ServicePrediction::new(service, task, interference, entries.number_limit())
            });
            let Some(row) = row else { continue };
            let tail = row.tail(service, worker, entries, interference, task) + row.task_impact;
            effect.excess_impact += row.task_impact - row.mean_task_impact;
            effect.tail = effect.tail.max(tail);
        }
        if self.task.class == Class::LatencyCritical
            && let Some(row) = &mut self.own
        {
            let tail =
                row.tail(self.task.entry, worker, self.entries, self.interference, self.task);
            effect.tail = effect.tail.max(tail);
        }
        effect
    }
}

impl ServicePrediction {
    /// `None` if the service has no target.
    fn new(
        service: &str,
        task: &PendingTask<'_>,
        interference: &InterferenceModel,
        entries: usize,
    ) -> Option<Self> {
        interference.is_protected(service).then(|| Self {
            baseline: interference.baseline(service),
            task_impact: impact_of(interference, service, task.entry, task),
            mean_task_impact: interference.mean_task_impact(service),
            impacts: vec![f64::NAN; entries],
        })
    }

    /// Predicted tail of the service next to the current residents of a worker, as a share of its target.
    fn tail(
        &mut self,
        service: &str,
        worker: &Worker,
        entries: &EntryIndex,
        interference: &InterferenceModel,
        task: &PendingTask<'_>,
    ) -> f64 {
        let mut tail = self.baseline;
        for resident in worker.residents() {
            let impact = &mut self.impacts[resident.entry];
            if impact.is_nan() {
                let aggressor = entries.name(resident.entry).unwrap_or_default();
                *impact = impact_of(interference, service, aggressor, task);
            }
            tail += f64::from(resident.count) * *impact;
        }
        tail
    }
}

/// Impact of one task of `aggressor` on `service`; zero on its own entry, whose baseline already contains its load. An
/// aggressor whose size was never measured is assumed to use the cores of the task that is being placed.
fn impact_of(
    interference: &InterferenceModel,
    service: &str,
    aggressor: &str,
    task: &PendingTask<'_>,
) -> f64 {
    if service == aggressor {
        return 0.0;
    }
    let declared_cores = task.resources.cpu_millis as f64 / 1000.0;
    interference.impact(service, aggressor, declared_cores).mean
}

/// Predicted effect of a task on the services of a worker, in shares of their targets.
#[derive(Clone, Copy, Debug, Default)]
struct TailEffect {
    /// Largest predicted tail of a service.
    tail: f64,
    /// Impact of the task minus that of an average task, summed over the services. It steers harmless tasks to workers
    /// with services and leaves workers without services to harmful ones.
    excess_impact: f64,
}

/// Difference between the free shares of processors and memory after the placement, from 0 to 1. Once one of the two is
/// used up, the rest of the other is unusable.
fn imbalance(worker: &Worker, left: &Resources) -> f64 {
    let cpu = share(left.cpu_millis, worker.capacity().cpu_millis);
    let memory = share(left.memory_mb, worker.capacity().memory_mb);
    (cpu - memory).abs()
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
