//! Measures the cost of one placement and of one pass over a long queue.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use plantainlever::catalogue::Class;
use plantainlever::platform::worker::{AttemptRef, AttemptReport, AttemptState, Inventory};
use plantainlever::policy::interference::InterferenceModel;
use plantainlever::policy::placement::{NoWorker, PendingTask, choose};
use plantainlever::policy::queue::{Limits, WaitingQueue};
use plantainlever::task::TaskId;
use plantainlever::worker::{Commitment, Pool, Resources};

use super::tasks;

const SERVICES: usize = 4;
const ENTRIES: usize = 40;

/// Running tasks per worker: 600 on 81 workers.
const TASKS_PER_WORKER: f64 = 600.0 / 81.0;

/// A domain with its interference model.
#[derive(Debug)]
pub struct Domain {
    /// Workers, four in five of which run an executor of a service.
    pub pool: Pool,
    /// Model that has learned every pair of service and entry.
    pub model: InterferenceModel,
}

/// State of the domain when a pending task is placed.
#[derive(Clone, Copy, Debug)]
pub enum Situation {
    /// Most workers have enough free resources.
    Room,
    /// Every open worker has enough free resources, but the tails of all services are far above their targets; workers
    /// without a service are closed.
    TailsAtLimit,
    /// No worker has enough free resources.
    NoResources,
}

/// Builds a domain with the given number of workers and 600 running tasks per 81 workers.
#[must_use]
pub fn domain(workers: usize) -> Domain {
    let mut domain = Domain { pool: Pool::default(), model: InterferenceModel::default() };
    for service in 0..SERVICES {
        domain.model.set_target(&service_name(service), Some(Duration::from_millis(100)));
    }
    for number in 0..workers {
        let name = format!("worker-{number:04}");
        let rack = format!("rack-{}", number / 10);
        domain.pool.upsert(&name, &rack, "127.0.0.1:1", Resources::new(32_000, 125_000, 0));
        domain.pool.set_open(&name, true);
        if number % 5 != 4 {
            let service = service_name(number % SERVICES);
            domain.pool.set_service(&name, Some(&service));
        }
    }
    let tasks = (workers as f64 * TASKS_PER_WORKER) as usize;
    for number in 0..tasks {
        let worker = format!("worker-{:04}", number % workers);
        let attempt = attempt(number);
        let entry = entry_name(number * 7 % ENTRIES);
        let resources = Resources::new(2000, 6000, 0);
        let commitment = Commitment { entry, class: Class::Batch, priority: 0, resources };
        domain.pool.adopt(&worker, &attempt, commitment);
    }
    train(&mut domain.model);
    domain
}

/// Measures the median time of one placement in a situation.
#[must_use]
pub fn median_cost(domain: &mut Domain, situation: Situation, repetitions: usize) -> Duration {
    let cpu_millis = if matches!(situation, Situation::NoResources) { 30_000 } else { 2000 };
    if matches!(situation, Situation::TailsAtLimit) {
        raise_tails(domain);
    }
    median_time(
        repetitions,
        situation,
        |pending_task| choose(&domain.pool, pending_task, &domain.model).is_ok(),
        cpu_millis,
    )
}

/// Measures the median time of a placement that reads every commitment instead of the index, for comparison.
#[must_use]
pub fn median_cost_without_index(domain: &Domain, repetitions: usize) -> Duration {
    median_time(
        repetitions,
        Situation::Room,
        |pending_task| choose_without_index(domain, pending_task),
        2000,
    )
}

fn choose_without_index(domain: &Domain, pending_task: &PendingTask<'_>) -> bool {
    let commitments = || {
        domain.pool.workers().values().flat_map(|worker| {
            worker.commitments().values().map(move |commitment| (worker.rack(), commitment))
        })
    };
    let mut best: Option<(f64, &str)> = None;
    for (name, worker) in domain.pool.workers() {
        if !pending_task.resources.fits_in(&worker.free()) {
            continue;
        }
        let in_rack = commitments()
            .filter(|(rack, placed)| *rack == worker.rack() && placed.entry == pending_task.entry)
            .count();
        let service = worker.service().unwrap_or_default();
        let impacts = worker
            .commitments()
            .values()
            .map(|placed| domain.model.impact(service, &placed.entry, 2.0).mean);
        let cost = in_rack as f64 + impacts.sum::<f64>();
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, name));
        }
    }
    best.is_some()
}

fn median_time(
    repetitions: usize,
    situation: Situation,
    mut place: impl FnMut(&PendingTask<'_>) -> bool,
    cpu_millis: u64,
) -> Duration {
    let rounds = (0..ROUNDS).map(|_| round(repetitions, situation, &mut place, cpu_millis));
    rounds.min().unwrap_or_default()
}

/// Number of measured rounds. Other load on the machine only slows rounds down, so the lowest median counts.
const ROUNDS: usize = 5;

fn round(
    repetitions: usize,
    situation: Situation,
    place: &mut impl FnMut(&PendingTask<'_>) -> bool,
    cpu_millis: u64,
) -> Duration {
    let no_workers = BTreeSet::new();
    let mut costs: Vec<Duration> = (0..repetitions)
        .map(|number| {
            let entry = entry_name(number % ENTRIES);
            let pending_task = PendingTask {
                entry: &entry,
                class: Class::Batch,
                resources: Resources::new(cpu_millis, 6000, 0),
                excluded: &no_workers,
                last_worker: Some("worker-0003"),
            };
            let start = Instant::now();
            let is_placed = black_box(place(black_box(&pending_task)));
            let cost = start.elapsed();
            assert_eq!(is_placed, matches!(situation, Situation::Room), "{situation:?}");
            cost
        })
        .collect();
    costs.sort_unstable();
    costs[costs.len() / 2]
}

/// Times of a tick in which all waiting tasks are cancelled and of passes in which no waiting task can be placed.
#[derive(Clone, Copy, Debug)]
pub struct QueueCost {
    /// Cancellation of all waiting tasks and the pass after it.
    pub cancellation_tick: Duration,
    /// Pass over tasks of 40 entries with equal sizes, with each placement rejected as full.
    pub full_pass: Duration,
    /// Pass over tasks of different sizes that exceed the free resources of every worker.
    pub distinct_pass: Duration,
    /// Number of tasks that were started after their cancellation, summed over the runs.
    pub started_after_cancel: usize,
}

/// Measures the queue with `count` waiting tasks. Each time is the median of several runs.
#[must_use]
pub fn queue_cost(domain: &Domain, count: usize) -> QueueCost {
    let runs: Vec<QueueCost> = (0..QUEUE_RUNS).map(|_| queue_cost_once(domain, count)).collect();
    let median = |time: fn(&QueueCost) -> Duration| {
        let mut times: Vec<Duration> = runs.iter().map(time).collect();
        times.sort_unstable();
        times[QUEUE_RUNS / 2]
    };
    QueueCost {
        cancellation_tick: median(|cost| cost.cancellation_tick),
        full_pass: median(|cost| cost.full_pass),
        distinct_pass: median(|cost| cost.distinct_pass),
        started_after_cancel: runs.iter().map(|cost| cost.started_after_cancel).sum(),
    }
}

/// Number of measured runs.
const QUEUE_RUNS: usize = 5;

fn queue_cost_once(domain: &Domain, count: usize) -> QueueCost {
    let mut queue = filled_queue(count, |_| 31_000);
    let full_pass = timed(|| place_waiting(&mut queue, |_| Err(NoWorker::Full)));
    let mut distinct = filled_queue(count, |number| 31_000 - number as u64);
    let distinct_pass = timed(|| {
        place_waiting(&mut distinct, |pending_task| {
            choose(&domain.pool, pending_task, &domain.model).map(str::to_owned)
        })
    });
    let mut started_after_cancel = 0;
    let cancellation_tick = timed(|| {
        for number in 0..count {
            queue.remove(&TaskId::new(format!("task-{number}")));
        }
        started_after_cancel = place_waiting(&mut queue, |_| Ok("worker-0000".to_owned()));
        started_after_cancel
    });
    QueueCost { cancellation_tick, full_pass, distinct_pass, started_after_cancel }
}

fn filled_queue(count: usize, cpu_millis: impl Fn(usize) -> u64) -> WaitingQueue {
    let mut queue = WaitingQueue::default();
    for number in 0..count {
        let entry = entry_name(number % ENTRIES);
        let size = Resources::new(cpu_millis(number), 6000, 0);
        let id = format!("task-{number}");
        queue.push(tasks::waiting(&id, &entry, Class::Batch, size, number as u64));
    }
    queue
}

/// Maximum number of placements that one pass tries.
const MAX_PLACEMENTS: usize = 400;

fn place_waiting(
    queue: &mut WaitingQueue,
    place: impl FnMut(&PendingTask<'_>) -> Result<String, NoWorker>,
) -> usize {
    let names: Vec<String> = (0..ENTRIES).map(entry_name).collect();
    let mut limits: Limits = tasks::no_limits(names.iter().map(String::as_str));
    queue.select(&mut limits, MAX_PLACEMENTS, place).placed.len()
}

fn timed(work: impl FnOnce() -> usize) -> Duration {
    let start = Instant::now();
    black_box(work());
    start.elapsed()
}

/// Feeds the model enough observations of each pair to make its estimates certain.
fn train(model: &mut InterferenceModel) {
    let mut measured_at_ms = 0;
    for _ in 0..20 {
        for service in 0..SERVICES {
            for entry in 0..ENTRIES {
                measured_at_ms += 1;
                let p99_us = 50_000 + 100 * entry as u64;
                let inventory = inventory(entry, p99_us, measured_at_ms);
                model.observe("training", Some(&service_name(service)), &inventory);
            }
        }
    }
}

/// Reports a tail far above the target for each worker with a service and closes the other workers.
fn raise_tails(domain: &mut Domain) {
    let workers: BTreeMap<String, Option<String>> = domain
        .pool
        .workers()
        .iter()
        .map(|(name, worker)| (name.clone(), worker.service().map(str::to_owned)))
        .collect();
    for (name, service) in workers {
        let Some(service) = service else {
            domain.pool.set_open(&name, false);
            continue;
        };
        for measured_at_ms in 0..10 {
            domain.model.observe(&name, Some(&service), &inventory(0, 900_000, measured_at_ms + 1));
        }
    }
}

fn inventory(entry: usize, p99_us: u64, measured_at_ms: u64) -> Inventory {
    let report = AttemptReport {
        attempt: attempt(0),
        state: AttemptState::Running,
        entry: entry_name(entry),
        resources: Resources::new(2000, 6000, 0),
        lease_until_ms: 0,
        checkpoint: None,
        usage: Some(Resources::new(2000, 6000, 0)),
        message: None,
    };
    Inventory {
        time_ms: measured_at_ms,
        incarnation: 1,
        capacity: Resources::default(),
        attempts: vec![report],
        service_p99_us: Some(p99_us),
        measured_at_ms,
    }
}

fn attempt(number: usize) -> AttemptRef {
    AttemptRef { task: TaskId::new(format!("running-{number}")), attempt: 1 }
}

fn service_name(number: usize) -> String {
    format!("service-{number}")
}

fn entry_name(number: usize) -> String {
    format!("standing-{number:02}")
}
