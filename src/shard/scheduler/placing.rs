//! Waiting tasks get workers.
//!
//! Load: some hundred starts a second, in bursts of a step's width. One pass serves all waiting steps in order. A step
//! for which no worker has room does not hold up the steps behind it, but after [`MISSES_PER_QUEUE`] such steps a queue
//! is left, which bounds its time when everything is full. A step that asks for no less than one that found no worker in the
//! same pass is not tried at all.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobState, Resources, StepKey, StepSpec, TaskKey};
use crate::shard::interference::Strain;
use crate::shard::pick::{self, Wish};
use crate::shard::worker::{Phase, WorkerId};
use crate::telemetry::event::shard as event;

use super::holds::{describe, new_run};
use super::rows::Planned;
use super::{Order, OrderKind, Scheduler, StartOutcome, StartRefusal};

/// Steps of a queue without room after which a pass leaves the queue. Queues ask for different things, so one that waits
/// does not keep another from being tried.
const MISSES_PER_QUEUE: usize = 40;

/// Shortest time between two passes: tasks that become ready together share one.
const PASS_PERIOD: Duration = Duration::from_millis(10);

/// What one pass has found out.
#[derive(Debug, Default)]
struct Pass {
    /// Strain of the workers that were asked about; removed when a start changes it.
    strains: BTreeMap<WorkerId, Strain>,
    /// Steps without a worker, as (queue, image, whether leftover processors are used, what a task asks for).
    failed: Vec<(String, Option<String>, bool, Resources)>,
    /// Steps without a worker by queue.
    misses: BTreeMap<String, usize>,
}

impl Pass {
    fn missed(&mut self, queue: &str, step: &StepSpec) {
        *self.misses.entry(queue.to_owned()).or_default() += 1;
        // Other wishes make a step harder to place than its size tells.
        let is_plain =
            step.required_label.is_none() && step.max_per_worker.is_none() && !step.is_gang;
        if is_plain {
            let image = step.image.clone();
            self.failed.push((queue.to_owned(), image, step.uses_leftover_cpu, step.resources));
        }
    }

    /// True if a step that asks for no more found no worker.
    fn is_hopeless(&self, queue: &str, step: &StepSpec) -> bool {
        if self.misses.get(queue).is_some_and(|misses| *misses >= MISSES_PER_QUEUE) {
            return true;
        }
        self.failed.iter().any(|(failed_queue, image, uses_leftover, resources)| {
            failed_queue == queue
                && *image == step.image
                && *uses_leftover == step.uses_leftover_cpu
                && resources.fits(&step.resources)
        })
    }
}

impl Scheduler {
    /// Starts waiting tasks for which there is room.
    pub(super) fn place(&mut self, now: Duration) {
        let is_paused = now.saturating_sub(self.placed) < PASS_PERIOD;
        if !self.is_placement_due || self.waiting.is_empty() || is_paused {
            return;
        }
        self.is_placement_due = false;
        self.placed = now;
        let steps = self.waiting.ordered(self.unix_ms);
        let mut pass = Pass::default();
        for (key, tasks) in steps {
            let Some(job) = self.jobs.get(&key.job) else {
                self.waiting.remove_step(&key);
                continue;
            };
            let spec = Rc::clone(&job.spec);
            let queue = job.queue.clone();
            let step = &spec.steps[usize::from(key.step)];
            if pass.is_hopeless(&queue, step) {
                continue;
            }
            if !self.place_step(now, &mut pass, &key, step, &tasks) {
                pass.missed(&queue, step);
            }
        }
    }

    /// Places the waiting tasks of a step; false if one found no worker.
    fn place_step(
        &mut self,
        now: Duration,
        pass: &mut Pass,
        key: &StepKey,
        step: &StepSpec,
        tasks: &[u16],
    ) -> bool {
        if step.is_gang {
            return self.place_gang(now, pass, key, tasks);
        }
        for index in tasks {
            let task = TaskKey { step: *key, index: *index };
            let Some(worker) = self.pick(now, pass, &task, None) else { return false };
            let run = self.next_run(self.last_run(&task));
            self.reserve(now, &worker, &task, run);
            pass.strains.remove(&worker);
        }
        true
    }

    /// Starts all members of a gang, or none.
    fn place_gang(&mut self, now: Duration, pass: &mut Pass, key: &StepKey, tasks: &[u16]) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let step = &job.spec.steps[usize::from(key.step)];
        // Members that still run must end first: a new run needs all of them.
        if tasks.len() != step.count as usize {
            return false;
        }
        let is_coupled = step.is_tightly_coupled;
        let last_run =
            tasks.iter().map(|index| self.last_run(&TaskKey { step: *key, index: *index })).max();
        let run = self.next_run(last_run.unwrap_or(0));
        let racks: Vec<Option<String>> = if is_coupled { self.racks() } else { vec![None] };
        for rack in racks {
            let mut placed = Vec::new();
            for index in tasks {
                let task = TaskKey { step: *key, index: *index };
                let Some(worker) = self.pick(now, pass, &task, rack.as_deref()) else { break };
                self.reserve(now, &worker, &task, run);
                pass.strains.remove(&worker);
                placed.push((worker, task));
            }
            if placed.len() == tasks.len() {
                return true;
            }
            for (worker, task) in placed {
                self.remove_run(&worker, &task);
                pass.strains.remove(&worker);
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
        let mut racks: Vec<(u64, String)> =
            room.into_iter().map(|(rack, room)| (room, rack)).collect();
        racks.sort_by(|a, b| b.cmp(a));
        racks.into_iter().map(|(_, rack)| Some(rack)).chain([None]).collect()
    }

    fn last_run(&self, task: &TaskKey) -> u32 {
        let progress = self.jobs.get(&task.step.job).and_then(|job| job.progress.task(task));
        progress.map_or(0, |progress| progress.last_run)
    }

    /// The best worker for a task.
    fn pick(
        &self,
        now: Duration,
        pass: &mut Pass,
        task: &TaskKey,
        rack: Option<&str>,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&task.step.job)?;
        let policy = self.queues.get(&job.queue)?;
        let avoid = job.avoid.get(task).map_or(&[][..], Vec::as_slice);
        let step = &job.spec.steps[usize::from(task.step.step)];
        let wish = Wish { service: &policy.service, step, key: &task.step, avoid };
        let mut best: Option<(i64, &WorkerId)> = None;
        for (id, worker) in &self.workers {
            let is_out = self.domains_out.contains(&worker.listing.domain);
            let is_named = self.inherited.published.contains(id);
            if !pick::is_usable(worker, now, is_out) || is_named || worker.runs.contains_key(task) {
                continue;
            }
            if rack.is_some() && worker.listing.rack() != rack {
                continue;
            }
            let cost = || {
                let strain = pass.strains.entry(id.clone());
                let strain = strain.or_insert_with(|| self.pressures.strain(worker));
                let cpu_millis = step.resources.cpu_millis;
                self.pressures.cost_with(strain, step.image.as_deref(), cpu_millis)
            };
            let Some(score) = pick::score(worker, &wish, cost) else { continue };
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Commits the worker's room to a run. The run starts once the job's row names the worker.
    fn reserve(&mut self, now: Duration, worker_id: &WorkerId, task: &TaskKey, number: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let mut run = new_run(number, Phase::Reserved, now);
        describe(&mut run, &job.spec.steps[usize::from(task.step.step)]);
        worker.add_run(*task, run);
        self.live.entry(*task).or_default().push(worker_id.clone());
        self.waiting.remove(task);
        if let Some(progress) = job.progress.task_mut(task) {
            progress.last_run = number;
            progress.worker = Some(worker_id.shared());
        }
        self.rows.plan(Planned { worker: worker_id.clone(), task: *task, run: number });
    }

    /// Starts runs whose workers are stored. What is known of a worker may have changed since the reservation; a task whose
    /// worker can't be used any more waits again, and with it all members of its gang.
    pub(super) fn start_planned(&mut self, now: Duration, planned: Vec<Planned>) {
        let planned: Vec<Planned> =
            planned.into_iter().filter(|planned| self.is_reserved(planned)).collect();
        let broken: BTreeSet<StepKey> = planned
            .iter()
            .filter(|planned| self.is_gang(&planned.task) && !self.may_start(now, planned))
            .map(|planned| planned.task.step)
            .collect();
        for planned in planned {
            if broken.contains(&planned.task.step) || !self.may_start(now, &planned) {
                self.drop_run(&planned.worker, &planned.task);
            } else {
                self.send_start(now, &planned.worker, &planned.task, planned.run);
            }
        }
    }

    fn is_reserved(&self, planned: &Planned) -> bool {
        let run = self.workers.get(&planned.worker).and_then(|w| w.runs.get(&planned.task));
        run.is_some_and(|run| run.phase == Phase::Reserved && run.number == planned.run)
    }

    fn is_gang(&self, task: &TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)))
            .is_some_and(|step| step.is_gang)
    }

    fn may_start(&self, now: Duration, planned: &Planned) -> bool {
        let is_usable = self.workers.get(&planned.worker).is_some_and(|worker| {
            let is_out = self.domains_out.contains(&worker.listing.domain);
            pick::is_usable(worker, now, is_out)
        });
        let job = self.jobs.get(&planned.task.step.job);
        is_usable && job.is_some_and(|job| !job.progress.state.is_final())
    }

    fn send_start(&mut self, now: Duration, worker_id: &WorkerId, task: &TaskKey, run: u32) {
        let lease = self.timing.lease;
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(clock) = worker.clock else { return };
        if let Some(held) = worker.runs.get_mut(task) {
            held.phase = Phase::Starting;
            held.seen = now;
        }
        let expiry_ms = clock.expiry_ms(now, lease);
        worker.granted_ms = worker.granted_ms.max(expiry_ms);
        let checkpoint = self.checkpoint(job, task);
        let kind = OrderKind::Start {
            task: *task,
            run,
            spec: Rc::clone(&job.spec),
            expiry_ms,
            checkpoint,
        };
        let address = self.workers[worker_id].listing.address;
        self.orders.push(Order { worker: worker_id.clone(), address, kind });
    }

    /// Checkpoint from which a task resumes; all members of a gang resume from the same one.
    fn checkpoint(&self, job: &super::Job, task: &TaskKey) -> String {
        let own =
            job.progress.task(task).map(|progress| progress.checkpoint.clone()).unwrap_or_default();
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
    pub fn on_start(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        task: &TaskKey,
        run: u32,
        outcome: StartOutcome,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(held) = worker.runs.get_mut(task).filter(|held| held.number == run) else {
            return;
        };
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
                event::START_REFUSED.emit(format_args!(
                    "task={task} run={run} worker={worker_id} cause={refusal:?}"
                ));
                match refusal {
                    StartRefusal::Fenced => self.on_fenced(worker_id),
                    StartRefusal::Unhealthy | StartRefusal::Invalid => {
                        worker.health.quarantine(now)
                    }
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
