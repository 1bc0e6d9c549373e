//! State of the platform's stand-ins: the rows of the store, the workers and their runs. Checks each start of a task.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use super::contact::{Contact, STABLE_WINDOW};
use super::crash::{Crash, CrashingTask, MAX_CRASHES};
use super::{Job, Outcome, WORKER_CPU};

/// Run time of a task that runs until its job is cancelled; longer than any soak.
const LONG_RUN_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Probability that a worker delays an order or a list of runs.
const ORDER_DELAY_PROBABILITY: f64 = 0.5;

/// Delays of orders and lists of runs, in ms.
const ORDER_DELAY_MS: std::ops::Range<u64> = 0..700;

/// Probability that an unrelated row changes between a write and its answer.
const UNRELATED_CHANGE_PROBABILITY: f64 = 0.5;

/// Time from a stop command to the end of the run.
const STOP_DURATION: Duration = Duration::from_millis(200);

/// Readings of a worker's clock when its incarnations start, in turn.
const CLOCK_ORIGINS_MS: [u64; 4] = [1_000_000, 40_000, 3_000_000, 500_000];

/// Start of the first incarnation of a worker, in ms since the Unix epoch.
const FIRST_INCARNATION_UNIX_MS: u64 = 1_000;

/// Maximum time between two updates of a worker's directory entry; the platform's `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time for which a capacity still counts after it has shrunk.
const SHRINK_ALLOWANCE: Duration =
    Duration::from_secs(STABLE_WINDOW.as_secs() + HEARTBEAT.as_secs());

/// Number of missed heartbeats after which the directory entry of a crashed worker is removed.
const HEARTBEATS_UNTIL_REMOVAL: u32 = 3;

/// Size and shape of a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Payload {
    /// CPU of each task in thousandths of a core.
    pub cpu: u64,
    /// Run time of each task in ms.
    pub ms: u64,
    /// Number of tasks of each step; a step depends on the one before.
    pub counts: Vec<u16>,
    /// True if the tasks run until the job is cancelled.
    #[serde(default)]
    pub is_long_running: bool,
    /// Task that crashes its workers.
    #[serde(skip)]
    pub crashing_task: Option<CrashingTask>,
}

impl Payload {
    /// Returns the crashing task if `name` is its name, which has the form JOB.K.STEP.INDEX.
    fn crashing_task(&self, name: &str) -> Option<CrashingTask> {
        self.crashing_task
            .filter(|task| name.ends_with(&format!(".0.{}.{}", task.step, task.index)))
    }
}

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreMode {
    /// Normal operation.
    #[default]
    Well,
    /// Answers 503 without executing the request.
    Busy,
    /// Neither executes nor answers requests.
    Silent,
    /// Executes and answers requests after a delay.
    Slow(Duration),
    /// Applies writes without answering them.
    Lost,
    /// Applies writes after a delay without answering them.
    Late(Duration),
}

/// Behaviour of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum WorkerMode {
    /// Normal operation.
    #[default]
    Well,
    /// Every run fails at its end.
    Fails,
    /// Executes starts and stops after a delay without answering them.
    Late(Duration),
    /// Lost, until its next incarnation starts.
    Dead,
}

/// Version of a row and its content in base64; `None` for a removed row.
pub type Row = (u64, Option<String>);

/// Table, partition and key of a row.
pub type RowId = (String, String, String);

/// A start command that a worker received.
#[derive(Clone, Copy, Debug)]
pub struct StartOrder {
    /// Index of the process that sent it.
    pub node: usize,
    /// Its fencing token, which is the epoch of the owner.
    pub epoch: u64,
    /// Time of the decision, as the deadline of the command tells it.
    pub at: Instant,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number, which increases with each start of its task.
    pub number: u32,
    /// Who ordered it, and when.
    pub(super) order: StartOrder,
    pub(super) started_at: Instant,
    ends_at: Instant,
    /// End of a stop in progress.
    stops_at: Option<Instant>,
    /// Time from the crash that ends the run to the next incarnation of the worker; `None` if the run ends well.
    restart_time: Option<Duration>,
    cpu: u64,
}

/// An unacknowledged end of a run: its sequence number in the incarnation, task, run number, and reason.
pub type RunEnd = (u64, String, u32, &'static str);

/// State of a simulated worker.
#[derive(Debug)]
pub struct Worker {
    /// Worker ID, which stays the same in later incarnations.
    pub id: String,
    /// Start of its incarnation in ms since the Unix epoch; increases with each incarnation.
    pub incarnation_started_unix_ms: u64,
    /// By process: address of the link from the process to the worker.
    pub addresses: Vec<String>,
    /// Name of its failure domain.
    pub domain: String,
    /// CPU in thousandths of a core.
    capacity: u64,
    /// Previous capacities with the times at which they were replaced.
    previous_capacities: Vec<(Instant, u64)>,
    /// Current behaviour.
    pub mode: WorkerMode,
    /// Whether it announces itself as draining.
    pub is_draining: bool,
    /// Start of the next incarnation after a crash by a task.
    restarts_at: Option<Instant>,
    /// Removal of the directory entry after such a crash, unless the worker restarts before.
    unlisted_at: Option<Instant>,
    started_at: Instant,
    /// Speed of its clock in thousandths of real time.
    clock_rate_permille: u64,
    /// Highest fencing token received.
    pub fencing_token: u64,
    /// Expiry of its lease, on its clock.
    expiry_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<RunEnd>,
    next_end_number: u64,
    /// By task: highest run number that has been stopped or has ended; runs up to it are refused.
    highest_ended_run: BTreeMap<String, u32>,
}

/// Everything outside the processes under test: the store, the workers, and what the callers have requested.
#[derive(Debug, Default)]
pub struct World {
    /// Rows of the store.
    pub rows: BTreeMap<RowId, Row>,
    /// Version of the newest change.
    pub version: u64,
    /// Changes up to this version are no longer kept; the feed answers 410 to readers that need them.
    pub compacted_up_to: u64,
    /// Current behaviour of the store.
    pub store: StoreMode,
    /// Workers by index, which is also the index of their link.
    pub workers: Vec<Worker>,
    /// Breaches of an invariant found so far.
    pub breaches: Vec<String>,
    /// Executed starts: task, run number, worker.
    pub starts: Vec<(String, u32, String)>,
    /// Crashes of workers, oldest first.
    pub crashes: Vec<Crash>,
    /// Disruptions of the processes and the store.
    pub contact: Contact,
    /// By crashing task: number of starts by processes in touch after [`MAX_CRASHES`].
    pub(super) starts_after_crashes: BTreeMap<String, u32>,
    /// By task: number of runs that failed.
    pub(super) failed_runs: BTreeMap<String, u32>,
    /// Tasks that have completed, and whether an owner has acknowledged the end.
    pub(super) completed_tasks: BTreeMap<String, bool>,
    /// Start of the store, from which its clock counts.
    pub began: Option<Instant>,
    /// Start of the faults, from which times in reports count.
    pub faults_began: Option<Instant>,
    /// Random numbers for the delays of orders; `None` without delays.
    pub order_delays: Option<StdRng>,
    /// Random numbers for changes of an unrelated row before a write is answered; `None` without these.
    pub unrelated_changes: Option<StdRng>,
    /// Changes of the owner: time, epoch and index of the owner, which a released shard has not.
    pub(super) owners: Vec<(Instant, u64, Option<usize>)>,
    /// Payloads of all jobs by ID, recorded before the first attempt to submit them.
    pub submitted: BTreeMap<String, Payload>,
    /// Jobs whose cancellation was acknowledged, with the time of the acknowledgement.
    pub cancelled: BTreeMap<String, Instant>,
}

impl Worker {
    /// Creates a worker whose incarnation starts now. The clock of every second worker is 2 % slow.
    #[must_use]
    pub fn new(index: usize, addresses: Vec<String>, capacity: u64) -> Self {
        Self {
            id: format!("i-{index:04}"),
            incarnation_started_unix_ms: FIRST_INCARNATION_UNIX_MS,
            addresses,
            domain: format!("domain-{}", index % 3),
            capacity,
            previous_capacities: Vec::new(),
            mode: WorkerMode::Well,
            is_draining: false,
            restarts_at: None,
            unlisted_at: None,
            started_at: Instant::now(),
            clock_rate_permille: if index.is_multiple_of(2) { 1_000 } else { 980 },
            fencing_token: 0,
            expiry_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end_number: 1,
            highest_ended_run: BTreeMap::new(),
        }
    }

    /// Current reading of its monotonic clock.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        let restarts = self.incarnation_started_unix_ms - FIRST_INCARNATION_UNIX_MS;
        CLOCK_ORIGINS_MS[restarts as usize % CLOCK_ORIGINS_MS.len()]
            + self.started_at.elapsed().as_millis() as u64 * self.clock_rate_permille / 1_000
    }

    /// Starts a new incarnation, without the runs, the lease and the fencing token of the previous one.
    pub fn restart(&mut self) {
        self.incarnation_started_unix_ms += 1;
        self.started_at = Instant::now();
        self.mode = WorkerMode::Well;
        self.is_draining = false;
        (self.restarts_at, self.unlisted_at) = (None, None);
        (self.fencing_token, self.expiry_ms, self.next_end_number) = (0, 0, 1);
        self.runs.clear();
        self.ended.clear();
        self.highest_ended_run.clear();
    }

    /// Loses the worker, until `restart_time` after `now` or, without it, until [`Worker::restart`].
    pub(super) fn crash(&mut self, now: Instant, restart_time: Option<Duration>) {
        self.mode = WorkerMode::Dead;
        self.restarts_at = restart_time.map(|time| now + time);
        self.unlisted_at = restart_time.map(|_| now + HEARTBEAT * HEARTBEATS_UNTIL_REMOVAL);
    }

    /// Keeps the directory entry of a crashed worker, until it would be removed for missed heartbeats.
    pub(super) fn keep_listed(&mut self, crashed_at: Instant) {
        self.unlisted_at = Some(crashed_at + HEARTBEAT * HEARTBEATS_UNTIL_REMOVAL);
    }

    /// True if a task has crashed it and its next incarnation has not started.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.restarts_at.is_some()
    }

    /// True if the directory has an entry of the worker.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.mode != WorkerMode::Dead || self.unlisted_at.is_some()
    }

    /// Restarts the worker if a task has crashed it and the next incarnation is due. Returns true if it has restarted.
    pub fn restart_if_due(&mut self) -> bool {
        let is_due = self.restarts_at.is_some_and(|at| at <= Instant::now());
        if is_due {
            self.restart();
        }
        is_due
    }

    /// Returns true if the directory entry of a crashed worker has to be removed now.
    pub fn unlist_if_due(&mut self) -> bool {
        self.unlisted_at.take_if(|at| *at <= Instant::now()).is_some()
    }

    /// Time until its lease lapses, on its clock.
    pub(super) fn lease_left_ms(&self) -> u64 {
        self.expiry_ms.saturating_sub(self.clock_ms())
    }

    /// Current CPU in thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Changes its CPU, in thousandths of a core. Runs continue.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.previous_capacities.push((Instant::now(), self.capacity));
        self.capacity = capacity;
    }

    /// Highest capacity that it had at any time from `since` ago until now.
    fn highest_capacity(&self, since: Duration) -> u64 {
        let previous = self.previous_capacities.iter().filter(|(end, _)| end.elapsed() < since);
        previous.map(|(_, capacity)| *capacity).fold(self.capacity, u64::max)
    }

    /// Ends that have not been acknowledged, oldest first.
    #[must_use]
    pub fn ended(&self) -> &[RunEnd] {
        &self.ended
    }

    /// Current runs by task.
    #[must_use]
    pub fn runs(&self) -> &BTreeMap<String, Run> {
        &self.runs
    }

    fn end_run(&mut self, task: &str, reason: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let highest = self.highest_ended_run.entry(task.to_owned()).or_default();
        *highest = run.number.max(*highest);
        self.ended.push((self.next_end_number, task.to_owned(), run.number, reason));
        self.next_end_number += 1;
    }

    /// Extends the lease to the deadline, but to at most `max_lease` from now. Never shortens it.
    pub fn extend_lease(&mut self, deadline_ms: Option<u64>, max_lease: Duration) {
        let limit = self.clock_ms() + max_lease.as_millis() as u64;
        self.expiry_ms = self.expiry_ms.max(deadline_ms.unwrap_or(0).min(limit));
    }

    /// Stops a run. If it has not started yet, its start will be refused.
    pub fn stop_run(&mut self, task: &str, run: u32) {
        let highest = self.highest_ended_run.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        if let Some(current) = self.runs.get_mut(task).filter(|current| current.number == run) {
            current.stops_at.get_or_insert(Instant::now() + STOP_DURATION);
        }
    }
}

impl World {
    /// Reading of the store's steady clock in ms.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.began.map_or(0, |began| began.elapsed().as_millis() as u64)
    }

    /// Ends the runs that are due: completed, failed, stopped, or on a worker whose lease has lapsed. Crashes the
    /// workers whose crashing tasks are due.
    pub fn advance(&mut self) {
        let now = Instant::now();
        let mut crashed = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            if worker.mode == WorkerMode::Dead {
                continue;
            }
            let has_lapsed = worker.clock_ms() >= worker.expiry_ms;
            let is_due = |run: &Run| {
                let is_stopped = run.stops_at.is_some_and(|at| at <= now);
                has_lapsed || is_stopped || run.ends_at <= now && run.restart_time.is_none()
            };
            let due_runs: Vec<(String, bool)> = worker
                .runs
                .iter()
                .filter(|(_, run)| is_due(run))
                .map(|(task, run)| (task.clone(), run.stops_at.is_some_and(|at| at <= now)))
                .collect();
            for (task, is_stopped) in due_runs {
                let reason = match (has_lapsed, is_stopped, worker.mode) {
                    (true, ..) => "lapsed",
                    (_, true, _) => "stopped",
                    (_, _, WorkerMode::Fails) => "failed",
                    _ => "done",
                };
                worker.end_run(&task, reason);
                match reason {
                    "done" => {
                        self.completed_tasks.entry(task).or_insert(false);
                    }
                    "failed" => *self.failed_runs.entry(task).or_default() += 1,
                    _ => {}
                }
            }
            // Of the runs that are due, only those that crash the worker are left.
            let due_run = worker.runs.values().find(|run| run.ends_at <= now);
            crashed.extend(due_run.map(|run| (index, run.restart_time)));
        }
        for (index, restart_time) in crashed {
            self.crash_worker(index, restart_time);
        }
    }

    /// Returns the time for which the tasks of accepted jobs that have not completed occupy all workers. Jobs whose
    /// cancellation was requested do not count.
    #[must_use]
    pub fn time_for_work_left(&self, jobs: &[Job]) -> Duration {
        let capacity: u64 = self.workers.iter().map(Worker::capacity).sum();
        let is_left = |job: &&Job| {
            job.outcome == Outcome::Accepted
                && !job.is_cancel_requested
                && !self.is_long_running(&job.id)
        };
        let work = |job: &Job| {
            let Some(payload) = self.submitted.get(&job.id) else { return 0 };
            let tasks = payload.counts.iter().enumerate().flat_map(|(step, count)| {
                (0..*count).map(move |index| format!("{}.0.{step}.{index}", job.id))
            });
            let left = tasks.filter(|task| !self.completed_tasks.contains_key(task)).count();
            // A crash makes the whole worker unavailable until its restart.
            let crash = payload.crashing_task.map_or(0, |task| {
                (task.run_time + task.restart_time).as_millis() as u64 * WORKER_CPU
            });
            left as u64 * payload.cpu * payload.ms + crash * MAX_CRASHES as u64
        };
        let work: u64 = jobs.iter().filter(is_left).map(work).sum();
        Duration::from_millis(work / capacity.max(1))
    }

    /// Removes the ends up to and including `cursor`.
    pub fn acknowledge_ends(&mut self, index: usize, cursor: u64) {
        let worker = &mut self.workers[index];
        for (_, task, _, reason) in worker.ended.iter().filter(|end| end.0 <= cursor) {
            if *reason == "done" {
                self.completed_tasks.insert(task.clone(), true);
            }
        }
        worker.ended.retain(|end| end.0 > cursor);
    }

    /// Executes a start command of a process to a worker, given by their indexes, and reports a breach if the start
    /// violates an invariant. `Err` is the reason of a refusal.
    pub fn start_run(
        &mut self,
        (node, index): (usize, usize),
        epoch: u64,
        (task, run): (&str, u32),
        deadline_ms: u64,
        max_lease: Duration,
    ) -> Result<(), &'static str> {
        self.advance();
        let worker = &mut self.workers[index];
        if deadline_ms <= worker.clock_ms() {
            return Err("late");
        }
        // The lease counts from the decision, so what is left of it tells how long the command was held up.
        let left = Duration::from_millis(deadline_ms - worker.clock_ms());
        let held_up = max_lease.saturating_sub(left);
        worker.extend_lease(Some(deadline_ms), max_lease);
        if worker.highest_ended_run.get(task).is_some_and(|highest| run <= *highest) {
            return Err("old");
        }
        if worker.runs.get(task).is_some_and(|current| current.number == run) {
            return Ok(());
        }
        let job = task.split('.').next().unwrap_or_default();
        let Some(payload) = self.submitted.get(job).cloned() else {
            self.breaches.push(format!("{task} started, but no caller submitted its job"));
            return Ok(());
        };
        let now = Instant::now();
        let order = StartOrder { node, epoch, at: now.checked_sub(held_up).unwrap_or(now) };
        self.check_overlap(index, (task, run), order);
        self.check_start(task, &payload, held_up);
        let crashing = payload.crashing_task(task);
        if crashing.is_some() {
            self.check_start_of_crashing_task(node, task, held_up);
        }
        let run_time = match crashing {
            Some(task) => task.run_time,
            None if payload.is_long_running => LONG_RUN_TIME,
            None => Duration::from_millis(payload.ms),
        };
        let restart_time = crashing.map(|task| task.restart_time);
        let ends_at = now + run_time;
        let started = Run {
            number: run,
            order,
            started_at: now,
            ends_at,
            stops_at: None,
            restart_time,
            cpu: payload.cpu,
        };
        let worker = &mut self.workers[index];
        worker.runs.insert(task.to_owned(), started);
        let id = worker.id.clone();
        let used: u64 = worker.runs.values().map(|run| run.cpu).sum();
        // The rule has a time bound, which counts from the decision if the command was held up.
        let capacity = worker.highest_capacity(SHRINK_ALLOWANCE + held_up);
        if used > capacity {
            self.breaches
                .push(format!("{id} is over its capacity of {capacity} with {task}: {used}"));
        }
        self.starts.push((task.to_owned(), run, id));
        Ok(())
    }

    /// Times for which a worker leaves an order as it is, and then its answer, if it does.
    pub(super) fn draw_order_delays(&mut self) -> Option<[Duration; 2]> {
        let rng = self.order_delays.as_mut()?;
        let is_delayed = rng.random_bool(ORDER_DELAY_PROBABILITY);
        let mut draw = || Duration::from_millis(rng.random_range(ORDER_DELAY_MS));
        is_delayed.then(|| [draw(), draw()])
    }

    /// Changes a row that no process uses, with some probability, so that the newest version is not that of the last
    /// write.
    pub(super) fn change_unrelated_row(&mut self) {
        let Some(rng) = &mut self.unrelated_changes else { return };
        if rng.random_bool(UNRELATED_CHANGE_PROBABILITY) {
            self.put_row("unrelated", "row", Some(String::new()));
        }
    }

    /// IDs of the jobs of which at least one task has started.
    #[must_use]
    pub fn started_jobs(&self) -> BTreeSet<String> {
        let job = |task: &String| task.split('.').next().unwrap_or_default().to_owned();
        self.starts.iter().map(|(task, ..)| job(task)).collect()
    }

    /// Writes or removes a row as the platform itself does, without conditions.
    pub fn put_row(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        self.rows.insert(id, (self.version, value));
    }
}
