//! Simulates services and batch tasks that share workers and interfere with each other.
//!
//! Of 40 workers, 24 run an executor of one of two services, which occupies 8 of their 32 cores. The tail (p99 latency
//! as a share of its target) of an executor is a baseline that follows the load, multiplied by one plus the slowdown
//! that its neighbours cause per core used. The policy sees noisy measurements of the tail and the usage that are five
//! to ten seconds old, and inaccurate declared sizes. Every five minutes the tasks of one entry cause three times the
//! usual slowdown for one minute and arrive in a burst.

mod oracle;
mod world;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use plantainlever::catalogue::Class;
use plantainlever::platform::worker::{AttemptRef, AttemptReport, AttemptState, Inventory};
use plantainlever::policy::interference::{
    Action, Controller, InterferenceModel, Neighbour, Reading,
};
use plantainlever::policy::placement::{NoWorker, PendingTask, choose};
use plantainlever::policy::queue::{Waiting, WaitingQueue};
use plantainlever::task::TaskId;
use plantainlever::worker::{Commitment, Pool, Resources};

use super::tasks;
use world::{Arrival, World};

/// Seconds at the start that do not count in the figures, because the interference model is still learning.
const WARM_UP_S: u64 = 600;

/// Seconds between two measurements of a worker; each one covers this interval.
const MEASURE_EVERY_S: u64 = 5;

/// Seconds from the end of a measurement until it is reported.
const REPORT_LAG_S: u64 = 5;

/// Seconds of work at full speed that an eviction costs a task, for its checkpoint and restart.
const EVICTION_COST_S: f64 = 5.0;

/// Placement and control policy of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The production policy.
    Learned,
    /// An upper bound: knows the true slowdown of each pair, the true sizes and the current tails.
    Oracle,
    /// Runs batch tasks only on workers without a service.
    StaticSeparation,
    /// Ignores interference in placement and takes no action against it.
    Blind,
}

/// Figures of one run, after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Batch work done, in core-seconds.
    pub work: f64,
    /// Share of requests above the latency target, of the worse of the two services. At most 0.01 if the p99 is within
    /// the target.
    pub above_target: f64,
    /// Share of executor-seconds whose p99 is above the target.
    pub late_seconds: f64,
    /// Number of evictions, from the start of the run.
    pub evictions: u32,
    /// Number of throttle commands, from the start of the run.
    pub throttles: u32,
}

struct Running {
    arrival: Arrival,
    worker: usize,
    /// Remaining work in core-seconds.
    remaining_work: f64,
    /// Percentage of its cores that the throttle leaves it.
    percent: f64,
    /// Cores used in the last second.
    cores: f64,
}

/// Tail and core usage of a worker in one past second.
#[derive(Default)]
struct Second {
    tail: f64,
    cores: BTreeMap<AttemptRef, f64>,
}

struct Simulation {
    policy: Policy,
    world: World,
    start: Instant,
    pool: Pool,
    queue: WaitingQueue,
    /// Waiting tasks with their remaining work in core-seconds.
    arrivals: BTreeMap<TaskId, (Arrival, f64)>,
    running: BTreeMap<AttemptRef, Running>,
    attempts: BTreeMap<TaskId, u32>,
    /// By worker: the most recent seconds, oldest first.
    history: Vec<VecDeque<Second>>,
    model: InterferenceModel,
    controller: Controller,
    figures: Figures,
    /// By service: sum of the share of requests above the target, and number of executor-seconds in it.
    above_target_sums: BTreeMap<usize, (f64, f64)>,
    /// Number of executor-seconds with a p99 above the target, and of all executor-seconds.
    above_target_seconds: (f64, f64),
}

/// Simulates a policy for `run_s` seconds. Runs with equal seeds and lengths have the same arrivals and slowdowns.
#[must_use]
pub fn run(policy: Policy, seed: u64, run_s: u64) -> Figures {
    let mut run = Simulation::new(policy, World::new(seed, run_s));
    for second in 0..run_s {
        run.enqueue_arrivals(second);
        if second % MEASURE_EVERY_S == 0 {
            run.measure(second);
        }
        if policy == Policy::Oracle {
            run.control_by_oracle(second);
        }
        run.place(second);
        run.run_tasks(second);
    }
    run.figures.late_seconds = run.above_target_seconds.0 / run.above_target_seconds.1;
    run.figures.above_target =
        run.above_target_sums.values().map(|(sum, count)| sum / count).fold(0.0, f64::max);
    run.figures
}

fn worker_name(worker: usize) -> String {
    format!("w{worker:02}")
}

impl Simulation {
    fn new(policy: Policy, world: World) -> Self {
        let mut pool = Pool::default();
        for (number, host) in world.hosts.iter().enumerate() {
            let name = worker_name(number);
            let capacity = Resources::new(host.cores * 1000, 125_000, 0);
            pool.upsert(&name, &format!("r{}", number / 10), "127.0.0.1:1", capacity);
            let is_used = policy != Policy::StaticSeparation || host.service.is_none();
            pool.set_open(&name, is_used);
            pool.set_service(&name, host.service.map(|service| world.services[service]));
        }
        let mut model = InterferenceModel::default();
        if policy == Policy::Learned {
            for service in world.services {
                model.set_target(service, Some(Duration::from_millis(100)));
            }
        }
        let history = world.hosts.iter().map(|_| VecDeque::new()).collect();
        Self {
            policy,
            world,
            start: Instant::now(),
            pool,
            queue: WaitingQueue::default(),
            arrivals: BTreeMap::new(),
            running: BTreeMap::new(),
            attempts: BTreeMap::new(),
            history,
            model,
            controller: Controller::default(),
            figures: Figures::default(),
            above_target_sums: BTreeMap::new(),
            above_target_seconds: (0.0, 0.0),
        }
    }

    fn enqueue_arrivals(&mut self, second: u64) {
        for arrival in self.world.arrivals_at(second) {
            let remaining_work = arrival.work;
            self.enqueue(arrival, remaining_work);
        }
    }

    fn enqueue(&mut self, arrival: Arrival, remaining_work: f64) {
        self.queue.push(self.waiting(&arrival));
        self.arrivals.insert(arrival.id.clone(), (arrival, remaining_work));
    }

    fn waiting(&self, arrival: &Arrival) -> Waiting {
        let entry = &self.world.entries[arrival.entry];
        let size = Resources::new(entry.declared_millis, 2 * entry.declared_millis, 0);
        tasks::waiting(arrival.id.as_str(), &entry.name, Class::Batch, size, arrival.second * 1000)
    }

    fn place(&mut self, second: u64) {
        let names = self.world.entries.iter().map(|entry| entry.name.as_str());
        let mut limits = tasks::no_limits(names);
        let mut queue = std::mem::take(&mut self.queue);
        let mut number = 0;
        let selection = queue.select(&mut limits, 200, |pending_task| {
            let worker = self.choose(pending_task, second)?;
            number += 1;
            // A placeholder commits the resources until the selection returns the task.
            let attempt = placeholder(number);
            self.commit(&worker, &attempt, pending_task);
            Ok(worker)
        });
        self.queue = queue;
        for (number, (task, worker)) in selection.placed.into_iter().enumerate() {
            let placed = self
                .pool
                .worker(&worker)
                .and_then(|worker| worker.commitments().get(&placeholder(number + 1)).cloned());
            let (Some(commitment), Some((arrival, remaining_work))) =
                (placed, self.arrivals.remove(&task))
            else {
                continue;
            };
            let count = self.attempts.entry(task.clone()).or_default();
            *count += 1;
            let attempt = AttemptRef { task, attempt: *count };
            self.pool.release(&worker, &placeholder(number + 1));
            self.pool.adopt(&worker, &attempt, commitment);
            let worker = worker[1..].parse().unwrap_or_default();
            let started = Running { arrival, worker, remaining_work, percent: 100.0, cores: 0.0 };
            self.running.insert(attempt, started);
        }
    }

    fn choose(&self, pending_task: &PendingTask<'_>, second: u64) -> Result<String, NoWorker> {
        match self.policy {
            Policy::Oracle => {
                self.choose_by_oracle(pending_task, second).ok_or(NoWorker::NearTarget)
            }
            _ => choose(&self.pool, pending_task, &self.model).map(str::to_owned),
        }
    }

    fn commit(&mut self, worker: &str, attempt: &AttemptRef, pending_task: &PendingTask<'_>) {
        let commitment = Commitment {
            entry: pending_task.entry.to_owned(),
            class: pending_task.class,
            priority: 0,
            resources: pending_task.resources,
        };
        self.pool
            .commit(worker, attempt, commitment)
            .expect("the chosen worker has free resources");
    }

    /// Runs the tasks for one second and records the tails of the services.
    fn run_tasks(&mut self, second: u64) {
        let used = self.advance_tasks(second);
        let mut cores = vec![BTreeMap::new(); self.world.hosts.len()];
        if self.policy == Policy::Learned {
            for (attempt, running) in &self.running {
                cores[running.worker].insert(attempt.clone(), running.cores);
            }
        }
        for ((number, seconds), cores) in self.history.iter_mut().enumerate().zip(cores) {
            let tail = self.world.tail(number, &used[number], second);
            if let Some(service) = self.world.hosts[number].service
                && second >= WARM_UP_S
            {
                let sums = self.above_target_sums.entry(service).or_default();
                sums.0 += share_above_target(tail);
                sums.1 += 1.0;
                self.above_target_seconds.0 += f64::from(u8::from(tail > 1.0));
                self.above_target_seconds.1 += 1.0;
            }
            seconds.push_back(Second { tail, cores });
            if seconds.len() > usize::try_from(MEASURE_EVERY_S + REPORT_LAG_S).unwrap_or(0) {
                seconds.pop_front();
            }
        }
        let ended: Vec<AttemptRef> = self
            .running
            .iter()
            .filter(|(_, task)| task.remaining_work <= 0.0)
            .map(|(a, _)| a.clone())
            .collect();
        for attempt in ended {
            self.end(&attempt);
        }
    }

    /// Advances every running task by one second. Returns, for each worker, the cores used by entry.
    fn advance_tasks(&mut self, second: u64) -> Vec<BTreeMap<usize, f64>> {
        let mut wanted = vec![0.0; self.world.hosts.len()];
        for running in self.running.values_mut() {
            running.cores =
                self.world.entries[running.arrival.entry].cores * running.percent / 100.0;
            wanted[running.worker] += running.cores;
        }
        let mut used = vec![BTreeMap::new(); self.world.hosts.len()];
        for running in self.running.values_mut() {
            let share =
                (self.world.hosts[running.worker].cores as f64 / wanted[running.worker]).min(1.0);
            running.cores *= share;
            running.remaining_work -= running.cores;
            *used[running.worker].entry(running.arrival.entry).or_insert(0.0) += running.cores;
            if second >= WARM_UP_S {
                self.figures.work += running.cores;
            }
        }
        used
    }

    fn end(&mut self, attempt: &AttemptRef) -> Option<Running> {
        let running = self.running.remove(attempt)?;
        self.pool.release(&worker_name(running.worker), attempt);
        Some(running)
    }

    fn measure(&mut self, second: u64) {
        if self.policy != Policy::Learned || second < MEASURE_EVERY_S + REPORT_LAG_S {
            return;
        }
        for number in 0..self.world.hosts.len() {
            let inventory = self.inventory(number, second);
            let name = worker_name(number);
            let service =
                self.world.hosts[number].service.map(|service| self.world.services[service]);
            self.model.observe(&name, service, &inventory);
            if let (Some(service), Some(p99)) = (service, inventory.service_p99_us) {
                self.control(&name, service, p99, &inventory, second);
            }
        }
    }

    /// Builds a worker's report: the means over the oldest [`MEASURE_EVERY_S`] seconds of its history, with noise.
    fn inventory(&mut self, number: usize, second: u64) -> Inventory {
        let window = usize::try_from(MEASURE_EVERY_S).unwrap_or(1);
        let seconds: Vec<&Second> = self.history[number].iter().take(window).collect();
        let mut cores: BTreeMap<&AttemptRef, f64> = BTreeMap::new();
        for past in &seconds {
            for (attempt, used) in &past.cores {
                *cores.entry(attempt).or_default() += used / window as f64;
            }
        }
        let mean = seconds.iter().map(|past| past.tail).sum::<f64>() / window as f64;
        let reports = self.running.iter().filter(|(_, running)| running.worker == number);
        let attempts = reports
            .map(|(attempt, running)| {
                let entry = &self.world.entries[running.arrival.entry];
                let usage = cores.get(attempt).map(|used| {
                    let cpu_millis = (used * 1000.0).round() as u64;
                    Resources::new(cpu_millis, cpu_millis, 0)
                });
                report(attempt, &entry.name, entry.declared_millis, usage)
            })
            .collect();
        let tail = mean * self.world.measurement_noise();
        Inventory {
            time_ms: second * 1000,
            incarnation: 1,
            capacity: Resources::default(),
            attempts,
            service_p99_us: self.world.hosts[number].service.map(|_| (tail * 100_000.0) as u64),
            measured_at_ms: (second - REPORT_LAG_S) * 1000,
        }
    }

    fn control(
        &mut self,
        name: &str,
        service: &str,
        p99_us: u64,
        inventory: &Inventory,
        second: u64,
    ) {
        let neighbours: Vec<Neighbour<'_>> = inventory
            .attempts
            .iter()
            .map(|report| Neighbour {
                attempt: &report.attempt,
                entry: &report.entry,
                cores: report.usage.map_or(0.0, |usage| usage.cpu_millis as f64 / 1000.0),
            })
            .collect();
        let Some(tail) = self.model.tail(service, Duration::from_micros(p99_us)) else { return };
        // `measured_at` is the start of the measured interval: only data from after an action shows its effect.
        let interval_start_s = second - REPORT_LAG_S - MEASURE_EVERY_S;
        let reading = Reading {
            worker: name,
            service,
            tail,
            measured_at: self.start + Duration::from_secs(interval_start_s),
            neighbours: &neighbours,
        };
        let now = self.start + Duration::from_secs(second);
        for action in self.controller.step(&reading, &self.model, now) {
            self.apply(&action);
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Throttle { attempt, percent } => {
                self.figures.throttles += 1;
                if let Some(running) = self.running.get_mut(attempt) {
                    running.percent = f64::from(*percent);
                }
            }
            Action::Unthrottle { attempt } => {
                if let Some(running) = self.running.get_mut(attempt) {
                    running.percent = 100.0;
                }
            }
            Action::Evict { attempt } => self.evict(attempt),
        }
    }

    fn evict(&mut self, attempt: &AttemptRef) {
        let Some(running) = self.end(attempt) else { return };
        self.figures.evictions += 1;
        let cost = EVICTION_COST_S * self.world.entries[running.arrival.entry].cores;
        self.enqueue(running.arrival, running.remaining_work + cost);
    }
}

fn report(
    attempt: &AttemptRef,
    entry: &str,
    millis: u64,
    usage: Option<Resources>,
) -> AttemptReport {
    AttemptReport {
        attempt: attempt.clone(),
        state: AttemptState::Running,
        entry: entry.to_owned(),
        resources: Resources::new(millis, 2 * millis, 0),
        lease_until_ms: 0,
        checkpoint: None,
        usage,
        message: None,
    }
}

fn placeholder(number: usize) -> AttemptRef {
    AttemptRef { task: TaskId::new(format!("turn-{number}")), attempt: 0 }
}

/// Share of requests above the target if the p99 is `tail` times the target and latencies are exponentially
/// distributed.
fn share_above_target(tail: f64) -> f64 {
    if tail <= 0.0 { 0.0 } else { 0.01_f64.powf(1.0 / tail) }
}
