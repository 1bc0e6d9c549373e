//! Chooses the worker for a task.
//!
//! The filter admits open workers with enough uncommitted resources that are not excluded. The score is a cost; the
//! lowest wins, and the name breaks ties so that equal inputs give equal answers. Predicting the tail latency reads
//! every resident of a worker, so it is done in order of the cheap part of the score and only until enough workers are
//! known to keep their services within target.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::interference::InterferenceModel;
use crate::catalogue::Class;
use crate::worker::pool::index::EntryIndex;
use crate::worker::{Pool, Resources, Worker};

/// Workers whose services' tails are predicted before the best one is taken.
const DETAILED: usize = 16;

/// Largest predicted share of the target at which batch work is still added.
const TAIL_LIMIT: f64 = 0.95;

/// Cost of using up the whole target.
const TAIL_WEIGHT: f64 = 0.5;

/// Cost of adding the whole target more than an average task.
const ADDED_WEIGHT: f64 = 8.0;

/// Cost of having all tasks of the entry in one rack.
const SPREAD_WEIGHT: f64 = 1.0;

/// Cost of leaving a worker whose resources are free in unequal shares.
const FIT_WEIGHT: f64 = 0.5;

/// Advantage of the worker that ran the last attempt: its copy of the checkpoint need not be fetched.
const LOCALITY_BONUS: f64 = 0.3;

/// A task that needs a worker.
#[derive(Clone, Debug)]
pub struct PendingTask<'a> {
    /// Catalogue entry.
    pub entry: &'a str,
    /// Class of the entry.
    pub class: Class,
    /// What the attempt may use.
    pub resources: Resources,
    /// Workers that must not be chosen.
    pub excluded: &'a BTreeSet<String>,
    /// Worker of the last attempt, which may still have the checkpoint.
    pub checkpoint_on: Option<&'a str>,
}

/// Why there is no worker for a task.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoWorker {
    /// A worker of the pool is large enough, but those that may be used are occupied or closed now.
    #[error("no worker has room now")]
    Full,
    /// Workers have room, but the task would take their services too near to their latency targets.
    #[error("every worker with room runs a service that the task would slow too much")]
    NearTarget,
    /// Every worker that is large enough is excluded for this task.
    #[error("every worker that is large enough is excluded for this task")]
    AllExcluded,
    /// No worker of the pool is large enough even when empty.
    #[error("no worker is large enough even when empty")]
    TooLarge,
}

/// Chooses the worker for a task.
///
/// # Errors
///
/// [`NoWorker`] says whether waiting can help. An empty pool counts as full, because its workers may not be known yet.
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
        return Err(explain(pool, task));
    }
    scorer.best(&admitted).ok_or(NoWorker::NearTarget)
}

fn explain(pool: &Pool, task: &PendingTask<'_>) -> NoWorker {
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
    total: f64,
    /// The rack of the last worker and its cost; workers of a rack tend to follow each other.
    last_rack: Option<(&'a str, f64)>,
    /// The task's own entry, if it has a target.
    own: Option<ServiceRow>,
    /// What is known of each entry met as a service so far, by its number; the inner option is empty for an entry
    /// without a target.
    services: Vec<Option<Option<ServiceRow>>>,
}

/// What the model says about one protected service. Workers share services and entries, so each value is looked up by
/// name once and not once per worker.
struct ServiceRow {
    baseline: f64,
    /// Impact of the task.
    added: f64,
    typical: f64,
    /// Impact of one task of each entry by its number; NaN where not looked up yet.
    impacts: Vec<f64>,
}

impl<'a> Scorer<'a> {
    fn new(
        entries: &'a EntryIndex,
        task: &'a PendingTask<'a>,
        interference: &'a InterferenceModel,
    ) -> Self {
        let by_rack = entries.by_rack(task.entry);
        let total = by_rack.map_or(0, |racks| racks.values().sum::<u32>());
        let own = ServiceRow::new(task.entry, task, interference, entries.limit());
        let services = std::iter::repeat_with(|| None).take(entries.limit()).collect();
        let total = f64::from(total);
        let last_rack = None;
        Self { task, entries, interference, by_rack, total, last_rack, own, services }
    }

    /// Fit, rack spread and checkpoint locality.
    fn static_cost(&mut self, name: &str, worker: &'a Worker, left: &Resources) -> f64 {
        let mut cost = FIT_WEIGHT * imbalance(worker, left) + self.spread_cost(worker.rack());
        if self.task.checkpoint_on == Some(name) {
            cost -= LOCALITY_BONUS;
        }
        cost
    }

    fn spread_cost(&mut self, rack: &'a str) -> f64 {
        if self.total == 0.0 {
            return 0.0;
        }
        if let Some((last, cost)) = self.last_rack
            && last == rack
        {
            return cost;
        }
        let here = self.by_rack.and_then(|racks| racks.get(rack)).copied().unwrap_or(0);
        let cost = SPREAD_WEIGHT * f64::from(here) / self.total;
        self.last_rack = Some((rack, cost));
        cost
    }

    /// The cheapest of the first workers whose services stay within target.
    fn best<'p>(&mut self, admitted: &[(f64, &'p str, &Worker)]) -> Option<&'p str> {
        let mut best: Option<(f64, &str)> = None;
        let mut detailed = 0;
        for (static_cost, name, worker) in admitted {
            let effect = self.effect(worker);
            if self.task.class == Class::Batch && effect.tail > TAIL_LIMIT {
                continue;
            }
            let cost = static_cost + TAIL_WEIGHT * effect.tail + ADDED_WEIGHT * effect.added;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, name));
            }
            detailed += 1;
            if detailed == DETAILED {
                break;
            }
        }
        best.map(|(_, name)| name)
    }

    /// What the task would do to the services of a worker. An urgent task counts as a service of its own.
    fn effect(&mut self, worker: &Worker) -> Effect {
        let mut effect = Effect::default();
        for resident in worker.residents() {
            if resident.class == Class::Batch {
                continue;
            }
            let (entries, interference, task) = (self.entries, self.interference, self.task);
            let Some(service) = entries.name(resident.entry) else { continue };
            let Some(known) = self.services.get_mut(resident.entry) else { continue };
            let row = known.get_or_insert_with(|| {
                ServiceRow::new(service, task, interference, entries.limit())
            });
            let Some(row) = row else { continue };
            let tail = row.tail(service, worker, entries, interference, task) + row.added;
            effect.added += row.added - row.typical;
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

impl ServiceRow {
    /// `None` if the service has no target.
    fn new(
        service: &str,
        task: &PendingTask<'_>,
        interference: &InterferenceModel,
        entries: usize,
    ) -> Option<Self> {
        interference.is_protected(service).then(|| Self {
            baseline: interference.baseline(service),
            added: impact_of(interference, service, task.entry, task),
            typical: interference.typical_impact(service),
            impacts: vec![f64::NAN; entries],
        })
    }

    /// Predicted tail of the service among the residents of a worker.
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

/// Impact of one task. An entry does not slow itself, because its baseline was measured with its own load.
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

/// What a task would do to the services of a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Effect {
    /// Largest share of its target that a service would use.
    tail: f64,
    /// What the task adds to it, above what an average task adds. Harmless tasks go to workers with services and leave
    /// the others to harmful ones.
    added: f64,
}

/// How unequal the shares of processors and memory left free would be, from 0 to 1. A worker with one of them used up
/// strands the other.
fn imbalance(worker: &Worker, left: &Resources) -> f64 {
    let cpu = share(left.cpu_millis, worker.capacity().cpu_millis);
    let memory = share(left.memory_mb, worker.capacity().memory_mb);
    (cpu - memory).abs()
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
