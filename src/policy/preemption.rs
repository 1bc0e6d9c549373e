//! Chooses the batch attempts to evict so that an urgent task can start.
//!
//! The lost work of an attempt is the time since its last checkpoint times its processors. All attempts of a plan are
//! on one worker, because a task cannot use the free resources of two. The resources of a plan are reserved from the
//! decision until the urgent task is placed or the plan is dropped; otherwise batch tasks would be placed on what the
//! first eviction frees while the second is in progress.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::placement::PendingTask;
use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;
use crate::worker::{Pool, Resources, Worker};

/// Time that an attempt gets to write its checkpoint before it is stopped without one. This time, one scheduler tick,
/// the stop and the start add up to less than 6.3 s, the limit for the start of an urgent task.
pub const CHECKPOINT_WAIT: Duration = Duration::from_secs(3);

/// Attempts of one worker that the exact search considers, those with the least lost work per core. The running time of
/// the search is exponential in this number.
const MAX_SEARCHED_ATTEMPTS: usize = 16;

/// The evictions that make an urgent task fit on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Worker on which the task will start.
    pub worker: String,
    /// Attempts to evict. Empty if evictions already in progress free enough.
    pub attempts: Vec<AttemptRef>,
    /// Resources reserved for the task.
    pub reserved: Resources,
    /// Work lost if none of the attempts writes another checkpoint, in core-seconds.
    pub lost: f64,
}

/// Plans evictions for the urgent tasks of one tick.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Resources that plans have reserved, by worker.
    reserved: BTreeMap<String, Resources>,
    /// Attempts that some plan evicts.
    evicting: BTreeSet<AttemptRef>,
}

impl Planner {
    /// Starts from the plans whose urgent tasks have not been placed yet.
    #[must_use]
    pub fn new<'a>(ongoing: impl IntoIterator<Item = &'a Plan>) -> Self {
        let mut planner = Self::default();
        for plan in ongoing {
            planner.reserve(plan);
        }
        planner
    }

    /// Workers with reserved resources. No batch task may be placed there until the urgent tasks of the plans have been
    /// placed.
    pub fn reserved_workers(&self) -> impl Iterator<Item = &str> {
        self.reserved.keys().map(String::as_str)
    }

    /// Finds the plan with the least lost work and reserves its resources. `since_checkpoint` returns the time since
    /// the last checkpoint of an attempt. Returns `None` if the task fits on no worker even without its batch attempts.
    pub fn plan(
        &mut self,
        pool: &Pool,
        urgent: &PendingTask<'_>,
        since_checkpoint: impl Fn(&AttemptRef) -> Duration,
    ) -> Option<Plan> {
        let mut best: Option<Plan> = None;
        for (name, worker) in pool.workers() {
            if !worker.is_open() || urgent.excluded.contains(name) {
                continue;
            }
            let limit = best.as_ref().map_or(f64::INFINITY, |plan| plan.lost);
            let Some((lost, attempts)) =
                self.cheapest_evictions(name, worker, urgent, &since_checkpoint, limit)
            else {
                continue;
            };
            let worker = name.clone();
            best = Some(Plan { worker, attempts, reserved: urgent.resources, lost });
        }
        if let Some(plan) = &best {
            self.reserve(plan);
        }
        best
    }

    fn reserve(&mut self, plan: &Plan) {
        let reserved = self.reserved.entry(plan.worker.clone()).or_default();
        *reserved = reserved.saturating_add(&plan.reserved);
        self.evicting.extend(plan.attempts.iter().cloned());
    }

    /// The set of attempts on one worker with the least lost work, if that is less than `limit`.
    fn cheapest_evictions(
        &self,
        name: &str,
        worker: &Worker,
        urgent: &PendingTask<'_>,
        since_checkpoint: &impl Fn(&AttemptRef) -> Duration,
        limit: f64,
    ) -> Option<(f64, Vec<AttemptRef>)> {
        let needed = self.shortfall(name, worker, &urgent.resources)?;
        let mut victims: Vec<Victim<'_>> = worker
            .commitments()
            .iter()
            .filter(|(attempt, commitment)| {
                commitment.class == Class::Batch && !self.evicting.contains(*attempt)
            })
            .map(|(attempt, commitment)| {
                Victim::new(attempt, commitment.resources, since_checkpoint(attempt))
            })
            .collect();
        victims.sort_by(|a, b| {
            a.lost_per_core.total_cmp(&b.lost_per_core).then_with(|| a.attempt.cmp(b.attempt))
        });
        victims.truncate(MAX_SEARCHED_ATTEMPTS);
        let mut search = Search { victims: &victims, limit, best: None };
        search.branch(0, needed, 0.0, 0);
        let chosen = search.best?;
        let is_chosen = |index: &usize| chosen & (1 << index) != 0;
        let attempts =
            (0..victims.len()).filter(is_chosen).map(|index| victims[index].attempt.clone());
        Some((search.limit, attempts.collect()))
    }

    /// Resources that the worker lacks for the task once the evictions in progress are done; `None` if the task and the
    /// reservations exceed its capacity.
    fn shortfall(&self, name: &str, worker: &Worker, asked: &Resources) -> Option<Resources> {
        let evicting = worker
            .commitments()
            .iter()
            .filter(|(attempt, _)| self.evicting.contains(*attempt))
            .fold(Resources::default(), |sum, (_, evicted)| sum.saturating_add(&evicted.resources));
        let reserved = self.reserved.get(name).copied().unwrap_or_default();
        let asked = asked.saturating_add(&reserved);
        let available = worker.free().saturating_add(&evicting);
        asked.fits_in(worker.capacity()).then(|| asked.saturating_sub(&available))
    }
}

struct Victim<'a> {
    attempt: &'a AttemptRef,
    resources: Resources,
    lost: f64,
    /// Lost work per freed core, in seconds; equals the time since the last checkpoint.
    lost_per_core: f64,
}

impl<'a> Victim<'a> {
    fn new(attempt: &'a AttemptRef, resources: Resources, since_checkpoint: Duration) -> Self {
        let lost_per_core = since_checkpoint.as_secs_f64();
        let lost = lost_per_core * resources.cpu_millis as f64 / 1000.0;
        Self { attempt, resources, lost, lost_per_core }
    }
}

/// Branch and bound over the subsets of a worker's attempts.
struct Search<'a> {
    victims: &'a [Victim<'a>],
    /// Lost work of the best set so far, or the initial bound; only sets below it are accepted.
    limit: f64,
    /// The best set so far: bit `i` stands for `victims[i]`.
    best: Option<u32>,
}

impl Search<'_> {
    fn branch(&mut self, next: usize, needed: Resources, lost: f64, chosen: u32) {
        if lost >= self.limit {
            return;
        }
        if needed.is_zero() {
            self.limit = lost;
            self.best = Some(chosen);
            return;
        }
        let Some(victim) = self.victims.get(next) else { return };
        let rest = self.victims[next..]
            .iter()
            .fold(Resources::default(), |sum, victim| sum.saturating_add(&victim.resources));
        if !needed.fits_in(&rest) {
            return;
        }
        let with = needed.saturating_sub(&victim.resources);
        self.branch(next + 1, with, lost + victim.lost, chosen | 1 << next);
        self.branch(next + 1, needed, lost, chosen);
    }
}
