//! Simulates urgent tasks that arrive in a domain filled with batch tasks, and preempt them.
//!
//! The scheduler ticks every 500 ms. An evicted attempt writes a checkpoint for one to five seconds, or is stopped
//! without one after [`CHECKPOINT_WAIT`]. The scheduler notices its end with the next inventory, up to one second
//! later. A start takes effect 50 ms after its tick. Batch tasks fill every free core.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::catalogue::Class;
use plantainlever::platform::worker::AttemptRef;
use plantainlever::policy::interference::InterferenceModel;
use plantainlever::policy::placement::{PendingTask, choose};
use plantainlever::policy::preemption::{CHECKPOINT_WAIT, Plan, Planner};
use plantainlever::task::TaskId;
use plantainlever::worker::{Commitment, Pool, Resources};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WORKERS: usize = 81;
const TICK_PERIOD_MS: u64 = 500;
/// Period of the inventories of a worker.
const INVENTORY_PERIOD_MS: u64 = 1000;
/// Time from a tick until its starts and stops take effect.
const COMMAND_DELAY_MS: u64 = 50;
const RUN_MS: u64 = 600_000;

/// Choice of the attempts to evict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preemption {
    /// The production policy: the least unsaved work.
    LeastLost,
    /// The youngest attempts on the worker with the most recently started one.
    YoungestFirst,
    /// No eviction.
    Off,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of urgent tasks that arrived.
    pub arrived: u32,
    /// Number of urgent tasks that started.
    pub started: u32,
    /// Longest time from the arrival of an urgent task to its start.
    pub slowest_start: Duration,
    /// Unsaved batch work of the evicted attempts in core-seconds, as if evictions wrote no checkpoint.
    pub lost: f64,
}

struct Batch {
    started_ms: u64,
    /// Time of its last checkpoint.
    saved_ms: u64,
}

struct Urgent {
    id: u32,
    arrived_ms: u64,
    resources: Resources,
    plan: Option<Plan>,
}

struct Simulation {
    preemption: Preemption,
    rng: StdRng,
    pool: Pool,
    batch: BTreeMap<AttemptRef, Batch>,
    urgent: Vec<Urgent>,
    /// Evicted attempts by the time at which the scheduler notices their end, with their workers.
    evicted: BTreeMap<(u64, AttemptRef), String>,
    /// Highest number given to a task.
    last_number: u32,
    figures: Figures,
}

/// Simulates ten minutes with an urgent task about every five seconds. Equal seeds give equal urgent arrivals.
#[must_use]
pub fn run(preemption: Preemption, seed: u64) -> Figures {
    let mut arrivals = StdRng::seed_from_u64(seed + 1);
    let mut run = Simulation::new(preemption, seed);
    let mut next_arrival_ms = 0;
    for now_ms in (0..RUN_MS).step_by(usize::try_from(TICK_PERIOD_MS).unwrap_or(1)) {
        while next_arrival_ms <= now_ms && next_arrival_ms < RUN_MS - 30_000 {
            run.add_urgent(next_arrival_ms, arrivals.random_range(2..=12));
            next_arrival_ms += arrivals.random_range(0..10_000);
        }
        run.tick(now_ms);
    }
    run.figures
}

impl Simulation {
    fn new(preemption: Preemption, seed: u64) -> Self {
        let mut pool = Pool::default();
        for number in 0..WORKERS {
            let name = format!("w{number:02}");
            pool.upsert(&name, "r", "127.0.0.1:1", Resources::new(32_000, 125_000, 0));
            pool.set_open(&name, true);
        }
        let mut run = Self {
            preemption,
            rng: StdRng::seed_from_u64(seed),
            pool,
            batch: BTreeMap::new(),
            urgent: Vec::new(),
            evicted: BTreeMap::new(),
            last_number: 0,
            figures: Figures::default(),
        };
        run.start_batch(0);
        run
    }

    fn add_urgent(&mut self, arrived_ms: u64, cores: u64) {
        self.figures.arrived += 1;
        self.last_number += 1;
        let resources = Resources::new(cores * 1000, cores * 3000, 0);
        self.urgent.push(Urgent { id: self.last_number, arrived_ms, resources, plan: None });
    }

    fn tick(&mut self, now_ms: u64) {
        while let Some(entry) = self.evicted.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let ((_, attempt), worker) = entry.remove_entry();
            self.pool.release(&worker, &attempt);
            self.batch.remove(&attempt);
        }
        self.start_urgent(now_ms);
        self.plan_evictions(now_ms);
        self.start_batch(now_ms);
        for batch in self.batch.values_mut() {
            // Each attempt writes a checkpoint about every five minutes.
            if self.rng.random_range(0..600) == 0 {
                batch.saved_ms = now_ms;
            }
        }
    }

    fn start_urgent(&mut self, now_ms: u64) {
        let reserved = self.reserved_workers();
        for urgent in std::mem::take(&mut self.urgent) {
            let pending_task =
                pending_task("urgent", Class::LatencyCritical, urgent.resources, &reserved);
            let planned = urgent.plan.as_ref().map(|plan| plan.worker.clone());
            let has_capacity = |name: &String| {
                let worker = self.pool.worker(name);
                worker.is_some_and(|worker| urgent.resources.fits_in(&worker.free()))
            };
            let worker = match planned {
                Some(worker) => Some(worker).filter(has_capacity),
                None => choose(&self.pool, &pending_task, &InterferenceModel::default())
                    .ok()
                    .map(str::to_owned),
            };
            let Some(worker) = worker else {
                self.urgent.push(urgent);
                continue;
            };
            let attempt = AttemptRef { task: TaskId::new(format!("u{}", urgent.id)), attempt: 1 };
            self.pool.adopt(&worker, &attempt, commitment(&pending_task));
            let waited = Duration::from_millis(now_ms + COMMAND_DELAY_MS - urgent.arrived_ms);
            self.figures.started += 1;
            self.figures.slowest_start = self.figures.slowest_start.max(waited);
        }
    }

    fn plan_evictions(&mut self, now_ms: u64) {
        let no_workers = BTreeSet::new();
        let mut planner =
            Planner::new(self.urgent.iter().filter_map(|urgent| urgent.plan.as_ref()));
        for number in 0..self.urgent.len() {
            if self.urgent[number].plan.is_some() {
                continue;
            }
            let resources = self.urgent[number].resources;
            let pending_task =
                pending_task("urgent", Class::LatencyCritical, resources, &no_workers);
            let plan = match self.preemption {
                Preemption::LeastLost => {
                    planner.plan(&self.pool, &pending_task, |attempt| self.unsaved(attempt, now_ms))
                }
                Preemption::YoungestFirst => self.plan_youngest(&pending_task),
                Preemption::Off => None,
            };
            for attempt in plan.iter().flat_map(|plan| &plan.attempts) {
                self.evict(attempt, plan.as_ref().map_or("", |plan| &plan.worker), now_ms);
            }
            self.urgent[number].plan = plan;
        }
    }

    fn unsaved(&self, attempt: &AttemptRef, now_ms: u64) -> Duration {
        let saved_ms = self.batch.get(attempt).map_or(now_ms, |batch| batch.saved_ms);
        Duration::from_millis(now_ms - saved_ms)
    }

    /// Plans evictions by start time alone, on a worker that no other plan uses.
    fn plan_youngest(&self, pending_task: &PendingTask<'_>) -> Option<Plan> {
        let planned: BTreeSet<&str> = self
            .urgent
            .iter()
            .filter_map(|urgent| urgent.plan.as_ref())
            .map(|plan| plan.worker.as_str())
            .collect();
        let (name, worker) = self
            .pool
            .workers()
            .iter()
            .filter(|(name, _)| !planned.contains(name.as_str()))
            .max_by_key(|(_, worker)| {
                let started = worker.commitments().keys().filter_map(|a| self.batch.get(a));
                started.map(|batch| batch.started_ms).max()
            })?;
        let mut attempts: Vec<&AttemptRef> = worker
            .commitments()
            .keys()
            .filter(|attempt| self.batch.contains_key(*attempt))
            .collect();
        attempts.sort_by_key(|attempt| std::cmp::Reverse(self.batch[*attempt].started_ms));
        let mut free = worker.free();
        let mut chosen = Vec::new();
        for attempt in attempts {
            if pending_task.resources.fits_in(&free) {
                break;
            }
            free = free.saturating_add(&worker.commitments()[attempt].resources);
            chosen.push(attempt.clone());
        }
        let resources = pending_task.resources;
        Some(Plan { worker: name.clone(), attempts: chosen, reserved: resources, lost: 0.0 })
    }

    fn evict(&mut self, attempt: &AttemptRef, worker: &str, now_ms: u64) {
        let cores = self.pool.worker(worker).and_then(|worker| worker.commitments().get(attempt));
        let cores = cores.map_or(0.0, |commitment| commitment.resources.cpu_millis as f64 / 1000.0);
        self.figures.lost += self.unsaved(attempt, now_ms).as_secs_f64() * cores;
        let checkpoint =
            Duration::from_millis(self.rng.random_range(1000..5000)).min(CHECKPOINT_WAIT);
        let ended_ms =
            now_ms + u64::try_from(checkpoint.as_millis()).unwrap_or(0) + COMMAND_DELAY_MS;
        let noticed_ms = ended_ms + self.rng.random_range(0..INVENTORY_PERIOD_MS);
        self.evicted.insert((noticed_ms, attempt.clone()), worker.to_owned());
    }

    fn reserved_workers(&self) -> BTreeSet<String> {
        let planner = Planner::new(self.urgent.iter().filter_map(|urgent| urgent.plan.as_ref()));
        planner.reserved_workers().map(str::to_owned).collect()
    }

    /// Starts batch tasks on the free resources of workers that no plan has reserved.
    fn start_batch(&mut self, now_ms: u64) {
        let reserved = self.reserved_workers();
        loop {
            let cores = self.rng.random_range(1..=6);
            let resources = Resources::new(cores * 1000, cores * 3000, 0);
            let pending_task = pending_task("standings", Class::Batch, resources, &reserved);
            let Ok(worker) = choose(&self.pool, &pending_task, &InterferenceModel::default())
            else {
                return;
            };
            let worker = worker.to_owned();
            self.last_number += 1;
            let attempt =
                AttemptRef { task: TaskId::new(format!("b{}", self.last_number)), attempt: 1 };
            self.pool.adopt(&worker, &attempt, commitment(&pending_task));
            self.batch.insert(attempt, Batch { started_ms: now_ms, saved_ms: now_ms });
        }
    }
}

fn pending_task<'a>(
    entry: &'a str,
    class: Class,
    resources: Resources,
    excluded: &'a BTreeSet<String>,
) -> PendingTask<'a> {
    PendingTask { entry, class, resources, excluded, last_worker: None }
}

fn commitment(pending_task: &PendingTask<'_>) -> Commitment {
    Commitment {
        entry: pending_task.entry.to_owned(),
        class: pending_task.class,
        priority: 0,
        resources: pending_task.resources,
    }
}
