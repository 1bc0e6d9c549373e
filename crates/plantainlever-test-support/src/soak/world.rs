//! The platform as a soak sees it: rows, workers, and the promises that their history must keep.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(200);

/// What a worker's clock reads when its incarnation starts, in ms.
const CLOCK_ORIGIN_MS: u64 = 1_000_000;

/// Time after the acknowledgement of a cancellation in which its tasks may still start.
const CANCEL_TIME: Duration = Duration::from_secs(4);

/// What a job's payload tells the stand-ins.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Payload {
    /// Processors of each task in thousandths of a core.
    pub cpu: u64,
    /// Duration of each task in ms.
    pub ms: u64,
    /// Tasks by step; each step depends on the one before.
    pub counts: Vec<u16>,
}

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreMode {
    /// As it should.
    #[default]
    Well,
    /// It does nothing and says so.
    Busy,
    /// It does nothing and gives no answer.
    Silent,
    /// It answers this much later.
    Slow(Duration),
    /// It applies writes and gives no answer.
    Lost,
    /// It applies writes this much later and gives no answer.
    Late(Duration),
}

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum WorkerMode {
    /// As it should.
    #[default]
    Well,
    /// Every run fails.
    Fails,
    /// Starts and stops get no answer and are carried out this much later.
    Late(Duration),
    /// It is gone; another incarnation may come.
    Dead,
}

/// Version and content in base64 of a row; a removed one has no content.
pub type Row = (u64, Option<String>);

/// Table, partition and key.
pub type RowId = (String, String, String);

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number.
    pub number: u32,
    ends: Instant,
    stops: Option<Instant>,
    cpu: u64,
}

/// An end that is listed: number, task, run, how.
pub type End = (u64, String, u32, &'static str);

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Identity.
    pub id: String,
    /// Start of its incarnation in ms since the Unix epoch.
    pub born: u64,
    /// Where processes reach it.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Processors in thousandths of a core.
    pub capacity: u64,
    /// Behaviour.
    pub mode: WorkerMode,
    /// It says that it leaves.
    pub is_draining: bool,
    began: Instant,
    /// Parts per thousand at which its clock runs.
    rate: u64,
    /// Highest epoch seen.
    pub token: u64,
    expiry_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<End>,
    next_end: u64,
    /// Highest run that was stopped or has ended.
    over: BTreeMap<String, u32>,
}

/// Everything outside of the processes under test.
#[derive(Debug, Default)]
pub struct World {
    /// Rows of the store.
    pub rows: BTreeMap<RowId, Row>,
    /// Newest version.
    pub ver: u64,
    /// Changes before this version are forgotten.
    pub history_from: u64,
    /// How the store behaves.
    pub store: StoreMode,
    /// Workers.
    pub workers: Vec<Worker>,
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Starts that were carried out: task, run, worker.
    pub starts: Vec<(String, u32, String)>,
    /// Tasks that have ended as done, and whether the end was acknowledged.
    done: BTreeMap<String, bool>,
    /// Payloads by job, from the moment at which it may have been sent.
    pub sent: BTreeMap<String, Payload>,
    /// Jobs whose cancellation was acknowledged, and when.
    pub cancelled: BTreeMap<String, Instant>,
}

impl Worker {
    /// A worker that has just started. Every second one has a slow clock.
    #[must_use]
    pub fn new(index: usize, address: String, capacity: u64) -> Self {
        Self {
            id: format!("i-{index:04}"),
            born: 1_000,
            address,
            domain: format!("domain-{}", index % 3),
            capacity,
            mode: WorkerMode::Well,
            is_draining: false,
            began: Instant::now(),
            rate: if index.is_multiple_of(2) { 1_000 } else { 980 },
            token: 0,
            expiry_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
        }
    }

    /// Its steady clock.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        CLOCK_ORIGIN_MS + self.began.elapsed().as_millis() as u64 * self.rate / 1_000
    }

    /// Ends its incarnation; the next one knows nothing of before.
    pub fn restart(&mut self) {
        self.born += 1;
        self.began = Instant::now();
        self.mode = WorkerMode::Well;
        self.is_draining = false;
        (self.token, self.expiry_ms, self.next_end) = (0, 0, 1);
        self.runs.clear();
        self.ended.clear();
        self.over.clear();
    }

    /// Ends that are listed.
    #[must_use]
    pub fn ended(&self) -> &[End] {
        &self.ended
    }

    /// Runs that it has.
    #[must_use]
    pub fn runs(&self) -> &BTreeMap<String, Run> {
        &self.runs
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let over = self.over.entry(task.to_owned()).or_default();
        *over = run.number.max(*over);
        self.ended.push((self.next_end, task.to_owned(), run.number, how));
        self.next_end += 1;
    }

    /// Extends the lease; it never shortens.
    pub fn extend(&mut self, deadline_ms: Option<u64>, most: Duration) {
        let limit = self.clock_ms() + most.as_millis() as u64;
        self.expiry_ms = self.expiry_ms.max(deadline_ms.unwrap_or(0).min(limit));
    }

    /// Stops a run; one that is not there yet is refused later.
    pub fn stop(&mut self, task: &str, run: u32) {
        let over = self.over.entry(task.to_owned()).or_default();
        *over = run.max(*over);
        if let Some(held) = self.runs.get_mut(task).filter(|held| held.number == run) {
            held.stops.get_or_insert(Instant::now() + STOP_TIME);
        }
    }
}

impl World {
    /// Lets time pass on the workers.
    pub fn advance(&mut self) {
        let now = Instant::now();
        for worker in &mut self.workers {
            if worker.mode == WorkerMode::Dead {
                continue;
            }
            let has_lapsed = worker.clock_ms() >= worker.expiry_ms;
            let due = |run: &Run| {
                let is_stopped = run.stops.is_some_and(|at| at <= now);
                has_lapsed || run.ends <= now || is_stopped
            };
            let over: Vec<(String, bool)> = worker
                .runs
                .iter()
                .filter(|(_, run)| due(run))
                .map(|(task, run)| (task.clone(), run.stops.is_some_and(|at| at <= now)))
                .collect();
            for (task, is_stopped) in over {
                let how = match (has_lapsed, is_stopped, worker.mode) {
                    (true, ..) => "lapsed",
                    (_, true, _) => "stopped",
                    (_, _, WorkerMode::Fails) => "failed",
                    _ => "done",
                };
                worker.end(&task, how);
                if how == "done" {
                    self.done.entry(task).or_insert(false);
                }
            }
        }
    }

    /// Forgets acknowledged ends.
    pub fn acknowledge(&mut self, index: usize, cursor: u64) {
        let worker = &mut self.workers[index];
        for (_, task, _, how) in worker.ended.iter().filter(|end| end.0 <= cursor) {
            if *how == "done" {
                self.done.insert(task.clone(), true);
            }
        }
        worker.ended.retain(|end| end.0 > cursor);
    }

    /// Carries out a start; the reason if it is refused.
    pub fn start(
        &mut self,
        index: usize,
        task: &str,
        run: u32,
        deadline_ms: u64,
        lease: Duration,
    ) -> Result<(), &'static str> {
        self.advance();
        let worker = &mut self.workers[index];
        if deadline_ms <= worker.clock_ms() {
            return Err("late");
        }
        worker.extend(Some(deadline_ms), lease);
        if worker.over.get(task).is_some_and(|over| run <= *over) {
            return Err("old");
        }
        if worker.runs.get(task).is_some_and(|held| held.number == run) {
            return Ok(());
        }
        let job = task.split('.').next().unwrap_or_default();
        let Some(payload) = self.sent.get(job).cloned() else {
            self.breaches.push(format!("{task} started and nobody sent its job"));
            return Ok(());
        };
        self.check_start(index, task, &payload);
        let now = Instant::now();
        let ends = now + Duration::from_millis(payload.ms);
        let held = Run { number: run, ends, stops: None, cpu: payload.cpu };
        let worker = &mut self.workers[index];
        worker.runs.insert(task.to_owned(), held);
        let id = worker.id.clone();
        let used: u64 = worker.runs.values().map(|run| run.cpu).sum();
        if used > worker.capacity {
            self.breaches.push(format!("{id} is over its capacity with {task}: {used}"));
        }
        self.starts.push((task.to_owned(), run, id));
        Ok(())
    }

    fn check_start(&mut self, index: usize, task: &str, payload: &Payload) {
        let runs_elsewhere = |(other, worker): (usize, &Worker)| {
            other != index && worker.mode != WorkerMode::Dead && worker.runs.contains_key(task)
        };
        if self.workers.iter().enumerate().any(runs_elsewhere) {
            self.breaches.push(format!("{task} runs twice"));
        }
        // An end that is never acknowledged may be lost with its worker.
        if self.done.get(task) == Some(&true) {
            self.breaches.push(format!("{task} started again after its end was acknowledged"));
        }
        let parts: Vec<&str> = task.split('.').collect();
        let step: usize = parts[2].parse().unwrap_or_default();
        if step > 0 {
            let is_done =
                |i: u16| self.done.contains_key(&format!("{}.0.{}.{i}", parts[0], step - 1));
            if !(0..payload.counts[step - 1]).all(is_done) {
                self.breaches.push(format!("{task} started before step {}", step - 1));
            }
        }
        let cancelled = self.cancelled.get(parts[0]);
        if cancelled.is_some_and(|at| at.elapsed() > CANCEL_TIME) {
            self.breaches.push(format!("{task} started after its job was cancelled"));
        }
    }

    /// Jobs of which a task has started.
    #[must_use]
    pub fn started_jobs(&self) -> BTreeSet<String> {
        let job = |task: &String| task.split('.').next().unwrap_or_default().to_owned();
        self.starts.iter().map(|(task, ..)| job(task)).collect()
    }

    /// Writes a row as the platform does.
    pub fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        self.rows.insert(id, (self.ver, value));
    }
}
