//! Chooses the worker for a task.
//!
//! The filter admits open workers with enough uncommitted resources that are not excluded. The score is a cost; the
//! lowest wins, and the name breaks ties so that equal inputs give equal answers. Predicting the tail latency reads every
//! resident of a worker, so it is done in order of the cheap part of the score and only until enough workers are known
//! to keep their services within target.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::interference::InterferenceModel;
use crate::catalogue::Class;
use crate::worker::pool::index::EntryIndex;
use crate::worker::{Pool, Resources, Worker};

/// Workers whose services' tails are predicted before the best one is taken.
const DETAILED: usize = 16;

/// Largest predicted share of the target at which batch work is still added.
const TAIL_LIMIT: f64 = 0.9;

/// Cost of the whole predicted tail, relative to the other parts.
const TAIL_WEIGHT: f64 = 4.0;

/// Cost of having all tasks of the entry in one rack.
const SPREAD_WEIGHT: f64 = 1.0;

/// Cost of leaving a worker whose resources are free in unequal shares.
const FIT_WEIGHT: f64 = 0.5;

/// Advantage of the worker that ran the last attempt: its copy of the checkpoint need not be fetched.
const LOCALITY_BONUS: f64 = 0.3;

/// A task that needs a worker.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
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
    /// A worker of the pool is large enough, but not now: it is occupied, closed, or its service is near its target.
    #[error("no worker has room now")]
    Full,
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
    task: &Candidate<'_>,
    interference: &InterferenceModel,
) -> Result<&'p str, NoWorker> {
    let scorer = Scorer::new(pool.entries(), task, interference);
    let mut admitted: Vec<(f64, &str, &Worker)> = pool
        .workers()
        .iter()
        .filter(|(name, worker)| admits(task, name, worker))
        .map(|(name, worker)| (scorer.static_cost(name, worker), name.as_str(), worker))
        .collect();
    admitted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    scorer.best(&admitted).ok_or_else(|| explain(pool, task))
}

fn admits(task: &Candidate<'_>, name: &str, worker: &Worker) -> bool {
    task.resources.fits_in(&worker.free()) && worker.is_open() && !task.excluded.contains(name)
}

fn explain(pool: &Pool, task: &Candidate<'_>) -> NoWorker {
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
    task: &'a Candidate<'a>,
    entries: &'a EntryIndex,
    interference: &'a InterferenceModel,
    by_rack: Option<&'a BTreeMap<String, u32>>,
    total: f64,
}

impl<'a> Scorer<'a> {
    fn new(
        entries: &'a EntryIndex,
        task: &'a Candidate<'a>,
        interference: &'a InterferenceModel,
    ) -> Self {
        let by_rack = entries.by_rack(task.entry);
        let total = by_rack.map_or(0, |racks| racks.values().sum::<u32>());
        Self { task, entries, interference, by_rack, total: f64::from(total) }
    }

    /// Fit, rack spread and checkpoint locality.
    fn static_cost(&self, name: &str, worker: &Worker) -> f64 {
        let mut cost = FIT_WEIGHT * imbalance(worker, &self.task.resources);
        if self.total > 0.0 {
            let here = self.by_rack.and_then(|racks| racks.get(worker.rack())).copied();
            cost += SPREAD_WEIGHT * f64::from(here.unwrap_or(0)) / self.total;
        }
        if self.task.checkpoint_on == Some(name) {
            cost -= LOCALITY_BONUS;
        }
        cost
    }

    /// The cheapest of the first workers whose services stay within target.
    fn best<'p>(&self, admitted: &[(f64, &'p str, &Worker)]) -> Option<&'p str> {
        let mut best: Option<(f64, &str)> = None;
        let mut examined = 0;
        for (static_cost, name, worker) in admitted {
            let tail = self.predicted_tail(worker);
            if self.task.class == Class::Batch && tail > TAIL_LIMIT {
                continue;
            }
            let cost = static_cost + TAIL_WEIGHT * tail;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, name));
            }
            examined += 1;
            if examined == DETAILED {
                break;
            }
        }
        best.map(|(_, name)| name)
    }

    /// Largest share of its target that a service of the worker would use with the task added.
    fn predicted_tail(&self, worker: &Worker) -> f64 {
        let residents = worker.residents();
        let services = residents.iter().filter(|resident| resident.class == Class::LatencyCritical);
        services
            .filter_map(|service| self.entries.name(service.entry))
            .filter(|service| self.interference.is_protected(service))
            .map(|service| self.tail_of(service, worker))
            .fold(0.0, f64::max)
    }

    fn tail_of(&self, service: &str, worker: &Worker) -> f64 {
        let mut tail = self.interference.baseline(service);
        for resident in worker.residents() {
            let Some(name) = self.entries.name(resident.entry) else { continue };
            if name != service {
                tail += f64::from(resident.count) * self.interference.impact(service, name).mean;
            }
        }
        tail + self.interference.impact(service, self.task.entry).mean
    }
}

/// How unequal the shares of processors and memory left free would be, from 0 to 1. A worker with one of them used up
/// strands the other.
fn imbalance(worker: &Worker, resources: &Resources) -> f64 {
    let left = worker.free().saturating_sub(resources);
    let cpu = share(left.cpu_millis, worker.capacity().cpu_millis);
    let memory = share(left.memory_mb, worker.capacity().memory_mb);
    (cpu - memory).abs()
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
