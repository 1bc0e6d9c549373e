//! Chooses what to evict for urgent work.
//!
//! The lost work of an attempt is the time since its last checkpoint times its processors. All attempts of a plan are
//! on one worker, because room on two workers does not add up. The room of a plan is reserved from the decision until
//! the urgent task starts; otherwise batch work would take what the first eviction frees while the second is under way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::placement::PendingTask;
use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;
use crate::worker::{Pool, Resources, Worker};

/// Time that an attempt gets to write its checkpoint before it is stopped without one. Together with a tick, the stop
/// and the start it stays within the 6.3 s in which urgent work starts.
pub const CHECKPOINT_WAIT: Duration = Duration::from_secs(3);

/// Attempts of one worker that the exact search considers; those with the least lost work per core come first. The
/// search is exponential in this number.
const SEARCHED_ATTEMPTS: usize = 16;

/// What to evict for one urgent task.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Where the task will start.
    pub worker: String,
    /// Attempts to evict. Empty if evictions that are under way already free enough.
    pub attempts: Vec<AttemptRef>,
    /// Room promised to the task.
    pub room: Resources,
    /// Work that is lost if no attempt writes another checkpoint, in core-seconds.
    pub lost: f64,
}

/// Plans evictions for the urgent tasks of one tick.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Room promised by plans, by worker.
    reserved: BTreeMap<String, Resources>,
    /// Attempts that plans evict.
    leaving: BTreeSet<AttemptRef>,
}

impl Planner {
    /// Starts from the plans whose urgent tasks have not started yet.
    #[must_use]
    pub fn new<'a>(ongoing: impl IntoIterator<Item = &'a Plan>) -> Self {
        let mut planner = Self::default();
        for plan in ongoing {
            planner.reserve(plan);
        }
        planner
    }

    /// Workers with promised room. Until the urgent task of each plan has started, nothing else may be placed there.
    pub fn reserved_workers(&self) -> impl Iterator<Item = &str> {
        self.reserved.keys().map(String::as_str)
    }

    /// Finds the plan with the least lost work and reserves its room. `unsaved` is the time since the last checkpoint
    /// of an attempt. `None` means that no worker has room even without its batch work.
    pub fn plan(
        &mut self,
        pool: &Pool,
        urgent: &PendingTask<'_>,
        unsaved: impl Fn(&AttemptRef) -> Duration,
    ) -> Option<Plan> {
        let mut best: Option<Plan> = None;
        for (name, worker) in pool.workers() {
            if !worker.is_open() || urgent.excluded.contains(name) {
                continue;
            }
            let limit = best.as_ref().map_or(f64::INFINITY, |plan| plan.lost);
            let Some((lost, attempts)) = self.cheapest(name, worker, urgent, &unsaved, limit)
            else {
                continue;
            };
            let worker = name.clone();
            best = Some(Plan { worker, attempts, room: urgent.resources, lost });
        }
        if let Some(plan) = &best {
            self.reserve(plan);
        }
        best
    }

    fn reserve(&mut self, plan: &Plan) {
        let reserved = self.reserved.entry(plan.worker.clone()).or_default();
        *reserved = reserved.saturating_add(&plan.room);
        self.leaving.extend(plan.attempts.iter().cloned());
    }

    /// The cheapest set of one worker, if it costs less than `limit`.
    fn cheapest(
        &self,
        name: &str,
        worker: &Worker,
        urgent: &PendingTask<'_>,
        unsaved: &impl Fn(&AttemptRef) -> Duration,
        limit: f64,
    ) -> Option<(f64, Vec<AttemptRef>)> {
        let needed = self.missing(name, worker, &urgent.resources)?;
        let mut victims: Vec<Victim<'_>> = worker
            .commitments()
            .iter()
            .filter(|(attempt, commitment)| {
                commitment.class == Class::Batch && !self.leaving.contains(*attempt)
            })
            .map(|(attempt, commitment)| {
                Victim::new(attempt, commitment.resources, unsaved(attempt))
            })
            .collect();
        victims
            .sort_by(|a, b| a.density.total_cmp(&b.density).then_with(|| a.attempt.cmp(b.attempt)));
        victims.truncate(SEARCHED_ATTEMPTS);
        let mut search = Search { victims: &victims, limit, best: None };
        search.extend(0, needed, 0.0, 0);
        let chosen = search.best?;
        let in_set = |number: &usize| chosen & (1 << number) != 0;
        let attempts =
            (0..victims.len()).filter(in_set).map(|number| victims[number].attempt.clone());
        Some((search.limit, attempts.collect()))
    }

    /// What a worker lacks for the task once the evictions under way are done; `None` if the worker is too small.
    fn missing(&self, name: &str, worker: &Worker, asked: &Resources) -> Option<Resources> {
        let leaving = worker
            .commitments()
            .iter()
            .filter(|(attempt, _)| self.leaving.contains(*attempt))
            .fold(Resources::default(), |sum, (_, leaving)| sum.saturating_add(&leaving.resources));
        let reserved = self.reserved.get(name).copied().unwrap_or_default();
        let asked = asked.saturating_add(&reserved);
        let room = worker.free().saturating_add(&leaving);
        asked.fits_in(worker.capacity()).then(|| asked.saturating_sub(&room))
    }
}

struct Victim<'a> {
    attempt: &'a AttemptRef,
    resources: Resources,
    lost: f64,
    /// Lost work per core freed.
    density: f64,
}

impl<'a> Victim<'a> {
    fn new(attempt: &'a AttemptRef, resources: Resources, unsaved: Duration) -> Self {
        let density = unsaved.as_secs_f64();
        let lost = density * resources.cpu_millis as f64 / 1000.0;
        Self { attempt, resources, lost, density }
    }
}

/// Branch and bound over the subsets of a worker's attempts.
struct Search<'a> {
    victims: &'a [Victim<'a>],
    /// Lost work of the best set so far; a set must be better.
    limit: f64,
    /// The best set, a bit per victim.
    best: Option<u32>,
}

impl Search<'_> {
    fn extend(&mut self, next: usize, needed: Resources, lost: f64, chosen: u32) {
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
        self.extend(next + 1, with, lost + victim.lost, chosen | 1 << next);
        self.extend(next + 1, needed, lost, chosen);
    }
}
