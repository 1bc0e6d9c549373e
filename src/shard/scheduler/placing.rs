//! Waiting tasks get workers.
//!
//! Load: some hundred starts a second, in bursts of a step's width. One pass serves all waiting steps in order. A step
//! for which no worker has room does not hold up the steps behind it, but after [`MISSES_PER_PASS`] such steps the pass
//! ends, which bounds its time when everything is full.

use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobState, StepKey, TaskKey};
use crate::shard::pick::{self, Wish};
use crate::shard::worker::{Phase, WorkerId};
use crate::telemetry::event::shard as event;

use super::holds::{describe, new_run};
use super::{Order, OrderKind, Scheduler, StartOutcome, StartRefusal};

/// Steps without room after which a pass ends.
const MISSES_PER_PASS: usize = 40;

impl Scheduler {
    /// Starts waiting tasks for which there is room.
    pub(super) fn place(&mut self, now: Duration) {
        if !self.is_placement_due || self.waiting.is_empty() {
            return;
        }
        self.is_placement_due = false;
        let steps: Vec<(StepKey, Vec<u16>)> =
            self.waiting.iter().map(|(key, tasks)| (*key, tasks.iter().copied().collect())).collect();
        let mut misses = 0;
        for (key, tasks) in steps {
            if !self.place_step(now, &key, &tasks) {
                misses += 1;
            }
            if misses >= MISSES_PER_PASS {
                break;
            }
        }
    }

    /// Places the waiting tasks of a step; false if one found no worker.
    fn place_step(&mut self, now: Duration, key: &StepKey, tasks: &[u16]) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            self.waiting.remove_step(key);
            return true;
        };
        let spec = Rc::clone(&job.spec);
        if spec.steps[usize::from(key.step)].is_gang {
            return self.place_gang(now, key, tasks);
        }
        for index in tasks {
            let task = TaskKey { step: *key, index: *index };
            let Some(worker) = self.pick(now, &task, None) else { return false };
            let last_run = self.last_run(&task);
            self.start(now, &worker, &task, self.next_run(last_run));
        }
        true
    }

    /// Starts all members of a gang, or none.
    fn place_gang(&mut self, now: Duration, key: &StepKey, tasks: &[u16]) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let step = &job.spec.steps[usize::from(key.step)];
        // Members that still run must end first: a new run needs all of them.
        if tasks.len() != step.count as usize {
            return false;
        }
        let is_coupled = step.is_tightly_coupled;
        let last_run = tasks.iter().map(|index| self.last_run(&TaskKey { step: *key, index: *index })).max();
        let run = self.next_run(last_run.unwrap_or(0));
        let racks: Vec<Option<String>> = if is_coupled { self.racks() } else { vec![None] };
        for rack in racks {
            let mut placed = Vec::new();
            for index in tasks {
                let task = TaskKey { step: *key, index: *index };
                let Some(worker) = self.pick(now, &task, rack.as_deref()) else { break };
                self.reserve(now, &worker, &task, run);
                placed.push((worker, task));
            }
            if placed.len() == tasks.len() {
                for (worker, task) in placed {
                    self.send_start(now, &worker, &task, run);
                }
                return true;
            }
            for (worker, task) in placed {
                self.remove_run(&worker, &task);
                self.push_again(&task);
            }
        }
        false
    }

    /// Racks to try for a gang, the emptiest first, and then any mix of racks.
    fn racks(&self) -> Vec<Option<String>> {
        let mut room = std::collections::BTreeMap::new();
        for worker in self.workers.values() {
            if let Some(rack) = worker.listing.rack() {
                *room.entry(rack.to_owned()).or_insert(0) += worker.room().cpu_millis;
            }
        }
        let mut racks: Vec<(u64, String)> = room.into_iter().map(|(rack, room)| (room, rack)).collect();
        racks.sort_by(|a, b| b.cmp(a));
        racks.into_iter().map(|(_, rack)| Some(rack)).chain([None]).collect()
    }

    fn last_run(&self, task: &TaskKey) -> u32 {
        let progress = self.jobs.get(&task.step.job).and_then(|job| job.progress.task(task));
        progress.map_or(0, |progress| progress.last_run)
    }

    /// The best worker for a task.
    fn pick(&self, now: Duration, task: &TaskKey, rack: Option<&str>) -> Option<WorkerId> {
        let job = self.jobs.get(&task.step.job)?;
        let policy = self.queues.get(&job.queue)?;
        let avoid = job.avoid.get(task).map_or(&[][..], Vec::as_slice);
        let step = &job.spec.steps[usize::from(task.step.step)];
        let wish = Wish { service: &policy.service, step, key: &task.step, avoid };
        let mut best: Option<(i64, &WorkerId)> = None;
        for (id, worker) in &self.workers {
            let is_out = self.domains_out.contains(&worker.listing.domain);
            if !pick::is_usable(worker, now, is_out) || worker.runs.contains_key(task) {
                continue;
            }
            if rack.is_some() && worker.listing.rack() != rack {
                continue;
            }
            let Some(score) = pick::score(worker, &wish, &self.pressures) else { continue };
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    fn start(&mut self, now: Duration, worker_id: &WorkerId, task: &TaskKey, run: u32) {
        self.reserve(now, worker_id, task, run);
        self.send_start(now, worker_id, task, run);
    }

    /// Commits the worker's room to a run.
    fn reserve(&mut self, now: Duration, worker_id: &WorkerId, task: &TaskKey, number: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let mut run = new_run(number, Phase::Starting, now);
        describe(&mut run, &job.spec.steps[usize::from(task.step.step)]);
        worker.add_run(*task, run);
        self.live.entry(*task).or_default().push(worker_id.clone());
        self.waiting.remove(task);
        if let Some(progress) = job.progress.task_mut(task) {
            progress.last_run = number;
        }
    }

    fn send_start(&mut self, now: Duration, worker_id: &WorkerId, task: &TaskKey, run: u32) {
        let lease = self.timing.lease;
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(clock) = worker.clock else { return };
        let expiry_ms = clock.expiry_ms(now, lease);
        worker.granted_ms = worker.granted_ms.max(expiry_ms);
        let checkpoint = self.checkpoint(job, task);
        let kind =
            OrderKind::Start { task: *task, run, spec: Rc::clone(&job.spec), expiry_ms, checkpoint };
        let address = self.workers[worker_id].listing.address;
        self.orders.push(Order { worker: worker_id.clone(), address, kind });
    }

    /// Checkpoint from which a task resumes; all members of a gang resume from the same one.
    fn checkpoint(&self, job: &super::Job, task: &TaskKey) -> String {
        let own = job.progress.task(task).map(|progress| progress.checkpoint.clone()).unwrap_or_default();
        if !job.spec.steps[usize::from(task.step.step)].is_gang {
            return own;
        }
        let count = job.spec.steps[usize::from(task.step.step)].count as u16;
        (0..count)
            .filter_map(|index| job.progress.task(&TaskKey { step: task.step, index }))
            .map(|member| member.checkpoint.clone())
            .find(|checkpoint| !checkpoint.is_empty())
            .unwrap_or_default()
    }

    /// Takes the outcome of a start.
    pub fn on_start(&mut self, now: Duration, worker_id: &WorkerId, task: &TaskKey, run: u32, outcome: StartOutcome) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(held) = worker.runs.get_mut(task).filter(|held| held.number == run) else { return };
        match outcome {
            StartOutcome::Started => {
                worker.health.unanswered = 0;
                if held.phase == Phase::Starting {
                    held.phase = Phase::Active;
                }
                held.seen = now;
                held.advanced = now;
                self.note_started(task);
            }
            StartOutcome::Unknown => {
                if held.phase == Phase::Starting {
                    held.phase = Phase::Unsettled;
                }
                held.seen = now;
                worker.health.unanswered += 1;
                worker.next_hold = worker.next_hold.min(now);
                event::START_UNKNOWN.emit(format_args!("task={task} run={run} worker={worker_id}"));
            }
            StartOutcome::NotSent => {
                worker.health.unanswered += 1;
                self.on_not_started(worker_id, task);
            }
            StartOutcome::Refused(refusal) => {
                event::START_REFUSED
                    .emit(format_args!("task={task} run={run} worker={worker_id} cause={refusal:?}"));
                match refusal {
                    StartRefusal::Fenced => self.on_fenced(worker_id),
                    StartRefusal::Unhealthy | StartRefusal::Invalid => worker.health.quarantine(now),
                    StartRefusal::Old | StartRefusal::Late | StartRefusal::Room => {
                        worker.next_hold = worker.next_hold.min(now);
                    }
                }
                self.on_not_started(worker_id, task);
            }
        }
    }

    /// Frees the worker from a run that it does not have.
    fn on_not_started(&mut self, worker_id: &WorkerId, task: &TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            // The task's next try goes elsewhere.
            let avoid = job.avoid.entry(*task).or_default();
            if !avoid.contains(worker_id) {
                avoid.push(worker_id.clone());
            }
        }
        self.drop_run(worker_id, task);
    }

    /// A job is shown as running once its first task has started.
    fn note_started(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if job.progress.state == JobState::Queued {
            job.progress.state = JobState::Running;
            self.rows.mark(task.step.job);
            event::JOB_STARTED.emit(format_args!("job={} task={task}", task.step.job));
        }
    }
}
