//! Placement: assigns waiting tasks to workers and starts them.
//!
//! Sized for a few hundred starts per second, in bursts of up to one step's tasks. One pass tries all waiting steps in
//! rank order. A step that no worker can take does not block the steps behind it. A step is skipped if a step without
//! further constraints found no worker in the same pass, has the same service, image and best-effort mode, and asks for
//! no more resources. [`super::pass`] bounds how much a pass examines.
//!
//! The tasks of a job run together in its home domain. A failure domain may be cut off for seconds, and the state of
//! the runs there is unknown meanwhile. A job that is spread over all domains is delayed by a cut of any of them; a job
//! in one domain only by a cut of that one.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobState, JobTaskId, Resources, StepId, StepSpec};
use crate::shard::health::{ProbationCause, ProbeTier};
use crate::shard::interference;
use crate::shard::pick::{self, PlacementRequest, UnusableCause};
use crate::shard::queue::WaitCause;
use crate::shard::worker::{Phase, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::crashes::has_unproven_run;
use super::ends::failures;
use super::incarnations::AnsweredBy;
use super::late_starts::EligibleWorkers;
use super::pass::{Admission, Pass};
use super::renewals::{new_run, set_step_attributes};
use super::rows::PlannedStart;
use super::trials::{Trial, TrialRoom};
use super::{Command, CommandKind, Reply, ShardScheduler, StartOutcome, StartRefusal};

/// Deducted from the score of a worker on probation, so that tasks run there only if no other worker takes them.
const PROBE_PENALTY: i64 = 10_000_000;

/// Shortest time between two passes, so that tasks that become ready together share one pass.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);

/// Result of the placement of a step's waiting tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StepOutcome {
    /// All of them have a worker.
    Placed,
    /// No worker can take another one.
    NoWorker,
    /// The workers that can take another one already have a run of the same task.
    OnlyWorkersWithTask,
    /// The others wait for the workers that may carry out starts of them late.
    LateStarts,
}

/// Scores of workers, with their positions in the pass.
type ScoredWorkers = BinaryHeap<(i64, usize)>;

/// Workers for the tasks of a step, by score.
struct StepWorkers {
    best: ScoredWorkers,
    /// Workers on which suspects of the step were placed in this pass, and which have room for more of them.
    on_trial: ScoredWorkers,
    /// What may still be put on trial. `None` until it is needed.
    trial_room: Option<TrialRoom>,
}

impl ShardScheduler {
    /// Runs a placement pass if one is due.
    pub(super) fn place(&mut self, now: Duration) {
        let is_paused = now.saturating_sub(self.last_placement) < MIN_PASS_INTERVAL;
        let is_due = self.is_placement_due && self.is_start_allowed;
        if !is_due || self.waiting.is_empty() || is_paused {
            return;
        }
        let mut allowed = self.start_rate.allowed(now);
        if allowed == 0 && !self.waiting.has_long_running() {
            return;
        }
        self.is_placement_due = false;
        self.last_placement = now;
        self.end_passed_trials();
        let steps = self.waiting.ordered_steps(self.unix_ms);
        let mut pass = self.begin_pass(now, &steps);
        let resume_at = self.resume_pass_at.take();
        for key in steps {
            let Some(job) = self.jobs.get(&key.job) else {
                self.waiting.remove_step(&key);
                continue;
            };
            let spec = Rc::clone(&job.spec);
            let policy = job.queue.policy();
            let service = policy.service.as_str();
            let step = &spec.steps[usize::from(key.step)];
            // Services must not wait beside free resources, and have few starts.
            if allowed == 0 && !step.is_long_running {
                self.is_placement_due = true;
                self.resume_pass_at = self.resume_pass_at.or(resume_at);
                continue;
            }
            let mut tasks = self.waiting.tasks_of(&key);
            if tasks.len() > allowed && !step.is_gang && !step.is_long_running {
                tasks.truncate(allowed);
                self.is_placement_due = true;
            }
            let tier = self.probe_tier(&key, step, &tasks);
            let is_overdue = self.is_overdue(step, &key);
            let mut cause = pass.begin_step(&key, service, step, tier, is_overdue);
            if cause == Some(WaitCause::Deferred) && pass.is_over() {
                self.resume_pass_at.get_or_insert(key);
            }
            if cause.is_none() {
                let before = self.start_rate.started();
                let outcome = self.place_step(now, &mut pass, &key, step, tier, &tasks);
                let started = self.start_rate.started() - before;
                allowed = allowed.saturating_sub(started as usize);
                cause = match outcome {
                    StepOutcome::Placed => None,
                    StepOutcome::LateStarts => Some(WaitCause::LateStart),
                    StepOutcome::NoWorker | StepOutcome::OnlyWorkersWithTask => {
                        let is_full = outcome == StepOutcome::NoWorker;
                        pass.record_miss(service, step, tier, is_overdue, is_full);
                        Some(WaitCause::NoWorker)
                    }
                };
            }
            if let Some(cause) = cause.filter(|_| step.is_long_running) {
                self.waiting.record_pass(&key, cause, now);
            }
        }
    }

    fn begin_pass(&self, now: Duration, steps: &[StepId]) -> Pass {
        let mut pass = Pass::new(self.resume_pass_at, steps);
        for (id, worker) in self.workers.iter() {
            let admission = match self.unusable_cause(id, worker, now) {
                None => Admission::Any,
                Some(UnusableCause::Probation) => {
                    worker.probe_tier(now).map_or(Admission::None, Admission::Probe)
                }
                Some(UnusableCause::OnTrial) => Admission::Overdue,
                Some(_) => Admission::None,
            };
            pass.add_worker(worker, admission);
        }
        pass.sort_pools();
        pass
    }

    /// Returns the tier of a step's waiting tasks as probes: the last one that a task of it has.
    fn probe_tier(&self, key: &StepId, step: &StepSpec, tasks: &[u16]) -> ProbeTier {
        let Some(job) = self.jobs.get(&key.job) else { return ProbeTier::Any };
        let attempts = job.queue.policy().attempts as usize;
        let tier = |index: &u16| {
            let task = JobTaskId { step: *key, index: *index };
            let failures = job.progress.task(&task).map_or(0, |task| task.failed_runs.len());
            if step.is_gang || !step.is_long_running && failures + 1 >= attempts {
                ProbeTier::Any
            } else if failures > 0 || !job.avoided_workers(&task).is_empty() {
                ProbeTier::Retried
            } else {
                ProbeTier::Fresh
            }
        };
        tasks.iter().map(tier).max().unwrap_or(ProbeTier::Any)
    }

    /// Places the waiting tasks of a step.
    ///
    /// Workers are scored once per step, and a start rescores only its own worker: steps have up to a few dozen
    /// identical tasks, and a shard has a few hundred workers.
    fn place_step(
        &mut self,
        now: Duration,
        pass: &mut Pass,
        key: &StepId,
        step: &StepSpec,
        tier: ProbeTier,
        tasks: &[u16],
    ) -> StepOutcome {
        if step.is_gang {
            let is_placed = self.place_gang(now, pass, key, tasks);
            return if is_placed { StepOutcome::Placed } else { StepOutcome::NoWorker };
        }
        self.choose_home(pass, key, step);
        let mut workers = StepWorkers {
            best: self.scores(pass, key, step, tier, None).into(),
            on_trial: BinaryHeap::new(),
            trial_room: None,
        };
        let mut outcome = StepOutcome::Placed;
        let mut on_trial = BTreeSet::new();
        for index in self.bound_first(key, tasks) {
            let task = JobTaskId { step: *key, index };
            let needs_trial = self.needs_trial(&task);
            let Some((best, trial)) = self.workers_for(&mut workers, key, needs_trial) else {
                continue;
            };
            let Some((worker, position)) = self.pop_best(best, &task) else {
                if self.eligible_workers(&task) != EligibleWorkers::Any {
                    outcome = StepOutcome::LateStarts;
                    continue;
                }
                outcome = if best.is_empty() {
                    StepOutcome::NoWorker
                } else {
                    StepOutcome::OnlyWorkersWithTask
                };
                break;
            };
            let run = self.next_run(self.last_run(&task));
            self.reserve(now, &worker, &task, run);
            pass.invalidate(position);
            if let Some(trial) = trial {
                self.begin_trial(&task, run, trial);
                let is_new_worker = trial == Trial::Isolated && on_trial.insert(position);
                if let Some(room) = &mut workers.trial_room {
                    room.count(is_new_worker);
                }
            }
            let again = self.score_of(pass, key, step, tier, position);
            let is_isolated = trial == Some(Trial::Isolated);
            let best = if is_isolated { &mut workers.on_trial } else { &mut workers.best };
            best.extend(again.map(|score| (score, position)));
        }
        // Only suspects of this step share a worker on trial.
        for position in on_trial {
            pass.admission[position] = Admission::None;
        }
        outcome
    }

    /// Returns the workers for the next task of a step, which for a trial are first those that are on trial already, and
    /// how it is tried. `None` if the task must wait for trials.
    fn workers_for<'a>(
        &self,
        workers: &'a mut StepWorkers,
        key: &StepId,
        needs_trial: bool,
    ) -> Option<(&'a mut ScoredWorkers, Option<Trial>)> {
        if !needs_trial {
            return Some((&mut workers.best, None));
        }
        let room = workers.trial_room.get_or_insert_with(|| self.trial_room(key));
        if room.suspects > 0 && !workers.on_trial.is_empty() {
            return Some((&mut workers.on_trial, Some(Trial::Isolated)));
        }
        let trial = room.next()?;
        Some((&mut workers.best, Some(trial)))
    }

    /// Removes the best worker for a task from `best` and returns it. Workers that already have a run of the task are
    /// left out, and those that the job avoids for it are used only if there is no other. So are, for a suspect, those
    /// with a run that may crash them as well. A task with a late start goes to the worker of that one, or waits.
    fn pop_best(&self, best: &mut ScoredWorkers, task: &JobTaskId) -> Option<(WorkerId, usize)> {
        let job = self.jobs.get(&task.step.job);
        let avoid = job.map_or(&[][..], |job| job.avoided_workers(task));
        match self.eligible_workers(task) {
            EligibleWorkers::Any => {}
            EligibleWorkers::Only(id) if avoid.contains(id) && self.is_last_attempt(task) => {
                return None;
            }
            EligibleWorkers::Only(id) => return self.pop_worker(best, id, task),
            EligibleWorkers::None => return None,
        }
        let needs_trial = self.needs_trial(task);
        let mut passed_over = Vec::new();
        let mut found = None;
        while let Some((score, position)) = best.pop() {
            let worker = self.workers.at(position);
            let id = &worker.listing.id;
            let has_no_run_of_task = !worker.runs.contains_key(task);
            let is_avoided = avoid.contains(id) || (needs_trial && has_unproven_run(worker));
            if has_no_run_of_task && !is_avoided {
                found = Some((id.clone(), position));
                break;
            }
            passed_over.push((score, position, has_no_run_of_task));
        }
        if found.is_none()
            && let Some(index) =
                passed_over.iter().position(|(.., has_no_run_of_task)| *has_no_run_of_task)
        {
            let (_, position, _) = passed_over.remove(index);
            found = Some((self.workers.at(position).listing.id.clone(), position));
        }
        best.extend(passed_over.into_iter().map(|(score, position, _)| (score, position)));
        found
    }

    /// Returns true if the job fails with the next failure of the task or its gang.
    fn is_last_attempt(&self, task: &JobTaskId) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let is_long_running = job.spec.steps[usize::from(task.step.step)].is_long_running;
        !is_long_running && failures(job, task) + 1 >= job.queue.policy().attempts as usize
    }

    /// Removes a worker from `best` and returns it, unless it already has a run of the task.
    fn pop_worker(
        &self,
        best: &mut ScoredWorkers,
        id: &WorkerId,
        task: &JobTaskId,
    ) -> Option<(WorkerId, usize)> {
        let is_wanted = |position: usize| {
            let worker = self.workers.at(position);
            worker.listing.id == *id && !worker.runs.contains_key(task)
        };
        let position = best.iter().map(|(_, position)| *position).find(|p| is_wanted(*p))?;
        best.retain(|(_, other)| *other != position);
        Some((id.clone(), position))
    }

    /// Scores all workers that can take a task of the step, optionally on one rack only.
    fn scores(
        &self,
        pass: &mut Pass,
        key: &StepId,
        step: &StepSpec,
        tier: ProbeTier,
        rack: Option<&str>,
    ) -> Vec<(i64, usize)> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let policy = job.queue.policy();
        let req = PlacementRequest {
            service: &policy.service,
            step,
            image: job.images[usize::from(key.step)],
            step_id: key,
            home: job.home.as_deref(),
            tier,
            is_overdue: self.is_overdue(step, key),
        };
        let mut scores = Vec::new();
        for position in pass.candidates(&policy.service, step) {
            let worker = self.workers.at(position);
            if rack.is_none() || worker.listing.rack() == rack {
                let score = self.score(pass, &req, worker, position);
                scores.extend(score.map(|score| (score, position)));
            }
        }
        scores
    }

    fn score_of(
        &self,
        pass: &Pass,
        key: &StepId,
        step: &StepSpec,
        tier: ProbeTier,
        position: usize,
    ) -> Option<i64> {
        let job = self.jobs.get(&key.job)?;
        let policy = job.queue.policy();
        let req = PlacementRequest {
            service: &policy.service,
            step,
            image: job.images[usize::from(key.step)],
            step_id: key,
            home: job.home.as_deref(),
            tier,
            is_overdue: self.is_overdue(step, key),
        };
        self.score(pass, &req, self.workers.at(position), position)
    }

    fn score(
        &self,
        pass: &Pass,
        req: &PlacementRequest<'_>,
        worker: &Worker,
        position: usize,
    ) -> Option<i64> {
        let step = req.step;
        let penalty = match pass.admission[position] {
            Admission::Any => 0,
            Admission::Probe(tier) if req.tier <= tier => PROBE_PENALTY,
            Admission::Overdue if req.is_overdue => PROBE_PENALTY,
            Admission::Probe(_) | Admission::Overdue | Admission::None => return None,
        };
        let cost = || {
            let interference = worker.interference(&self.pressures);
            self.pressures.cost_with(&interference, req.image, step.resources.cpu_millis)
        };
        let leftover = || worker.leftover_cpu();
        pick::score(worker, req, leftover, cost).map(|score| score - penalty)
    }

    /// Chooses the home domain of a job, in which its tasks run together, unless its current one has usable workers.
    /// The domain with the most free processors is chosen. Long-running steps choose no home domain, so that the tasks
    /// of a service are not concentrated in one.
    fn choose_home(&mut self, pass: &mut Pass, key: &StepId, step: &StepSpec) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let has_usable_worker =
            job.home.as_ref().is_some_and(|home| pass.domains.iter().any(|(name, _)| name == home));
        if has_usable_worker || step.is_long_running {
            return;
        }
        let free = |(cpu, leftover): &(u64, i64)| {
            if step.uses_leftover_cpu { *leftover } else { *cpu as i64 }
        };
        let freest = pass.domains.iter_mut().max_by_key(|(_, left)| free(left));
        let Some((domain, left)) = freest else { return };
        job.home = Some(domain.clone());
        // Deduct what the step will use, so that the jobs of one pass spread over the domains.
        let cpu = step.resources.cpu_millis * u64::from(step.count);
        left.0 = left.0.saturating_sub(if step.uses_leftover_cpu { 0 } else { cpu });
        left.1 -= cpu as i64;
    }

    /// Reserves workers for all members of a gang, or for none.
    fn place_gang(&mut self, now: Duration, pass: &mut Pass, key: &StepId, tasks: &[u16]) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let step = job.spec.steps[usize::from(key.step)].clone();
        // Members of an earlier run must end first: all members share one run number.
        if tasks.len() != step.count as usize {
            return false;
        }
        let tasks = self.bound_first(key, tasks);
        let first = JobTaskId { step: *key, index: 0 };
        let trial = if self.needs_trial(&first) {
            let Some(trial) = self.trial_room(key).next_gang() else { return true };
            Some(trial)
        } else {
            None
        };
        let is_coupled = step.is_tightly_coupled;
        let last_run =
            tasks.iter().map(|index| self.last_run(&JobTaskId { step: *key, index: *index })).max();
        let run = self.next_run(last_run.unwrap_or(0));
        let racks: Vec<Option<String>> = if is_coupled { self.racks() } else { vec![None] };
        for rack in racks {
            let mut placed = Vec::new();
            let mut best: ScoredWorkers =
                self.scores(pass, key, &step, ProbeTier::Any, rack.as_deref()).into();
            for index in &tasks {
                let task = JobTaskId { step: *key, index: *index };
                let Some((worker, position)) = self.pop_best(&mut best, &task) else { break };
                self.reserve(now, &worker, &task, run);
                // A worker on probation may take several members, which are one probe.
                let admission = pass.admission[position];
                pass.invalidate(position);
                pass.admission[position] = admission;
                let again = self.score_of(pass, key, &step, ProbeTier::Any, position);
                best.extend(again.map(|score| (score, position)));
                placed.push((worker, task, position));
            }
            if placed.len() == tasks.len() {
                for (_, task, position) in placed {
                    pass.invalidate(position);
                    if let Some(trial) = trial {
                        self.begin_trial(&task, run, trial);
                    }
                    if trial == Some(Trial::Isolated) {
                        pass.admission[position] = Admission::None;
                    }
                }
                return true;
            }
            for (worker, task, position) in placed {
                self.remove_run(&worker, &task);
                pass.invalidate(position);
                self.requeue(&task);
            }
        }
        false
    }

    /// Racks to try for a tightly coupled gang: those with the most free processors first, and finally `None` for any
    /// mix of racks.
    fn racks(&self) -> Vec<Option<String>> {
        let mut free = std::collections::BTreeMap::new();
        for worker in self.workers.values() {
            if let Some(rack) = worker.listing.rack() {
                *free.entry(rack.to_owned()).or_insert(0) += worker.free().cpu_millis;
            }
        }
        let mut racks: Vec<(u64, String)> =
            free.into_iter().map(|(rack, cpu)| (cpu, rack)).collect();
        racks.sort_by(|a, b| b.cmp(a));
        racks.into_iter().map(|(_, rack)| Some(rack)).chain([None]).collect()
    }

    pub(super) fn last_run(&self, task: &JobTaskId) -> u32 {
        let progress = self.jobs.get(&task.step.job).and_then(|job| job.progress.task(task));
        progress.map_or(0, |progress| progress.last_run)
    }

    /// Reserves resources of the worker for a run. The run starts once the job's progress row names the worker.
    fn reserve(&mut self, now: Duration, worker_id: &WorkerId, task: &JobTaskId, number: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let mut run = new_run(number, Phase::Reserved, now);
        let step = usize::from(task.step.step);
        set_step_attributes(&mut run, &job.spec.steps[step], job.images[step]);
        worker.add_run(*task, run);
        worker.health.begin_probe(*task, number);
        let mut earlier_run = 0;
        self.live.entry(*task).or_default().push(worker_id.clone());
        self.start_rate.count();
        let waiting = self.waiting.remove(task);
        let waited = waiting.map_or(Duration::ZERO, |waiting| now.saturating_sub(waiting.since));
        if let Some(progress) = job.progress.task_mut(task) {
            earlier_run = std::mem::replace(&mut progress.last_run, number);
            progress.worker = Some(worker_id.shared());
            progress.worker_started_unix_ms = worker.incarnation_started_unix_ms;
            progress.is_start_unanswered = true;
        }
        let row = job.progress.row_of(task);
        let worker = worker_id.clone();
        let task = *task;
        self.rows.plan_start(PlannedStart { row, worker, task, run: number, earlier_run, waited });
    }

    /// Starts reserved runs once the progress rows that name their workers are stored. The worker may have become
    /// unusable or smaller since the reservation; its task is then queued again, together with all members of its gang.
    pub(super) fn start_planned(&mut self, now: Duration, planned: Vec<PlannedStart>) {
        let planned: Vec<PlannedStart> =
            planned.into_iter().filter(|planned| self.is_reserved(planned)).collect();
        let mut members: BTreeMap<StepId, u32> = BTreeMap::new();
        for planned in &planned {
            *members.entry(planned.task.step).or_default() += 1;
        }
        // A member may have lost its reservation, because its worker has restarted.
        let is_whole = |step: &StepId| members.get(step) == self.gang_size(step).as_ref();
        let broken: BTreeSet<StepId> = planned
            .iter()
            .filter(|planned| self.gang_size(&planned.task.step).is_some())
            .filter(|planned| !is_whole(&planned.task.step) || !self.may_start(now, planned))
            .map(|planned| planned.task.step)
            .collect();
        for planned in planned {
            if broken.contains(&planned.task.step) || !self.may_start(now, &planned) {
                self.drop_run(&planned.worker, &planned.task);
            } else {
                self.send_start(now, &planned);
            }
        }
    }

    fn is_reserved(&self, planned: &PlannedStart) -> bool {
        let run = self.workers.get(&planned.worker).and_then(|w| w.runs.get(&planned.task));
        run.is_some_and(|run| run.phase == Phase::Reserved && run.number == planned.run)
    }

    /// Number of members of a gang; `None` if the step is no gang or is unknown.
    pub(super) fn gang_size(&self, key: &StepId) -> Option<u32> {
        let step = self.jobs.get(&key.job)?.spec.steps.get(usize::from(key.step))?;
        step.is_gang.then_some(step.count)
    }

    fn may_start(&self, now: Duration, planned: &PlannedStart) -> bool {
        let is_usable = self.workers.get(&planned.worker).is_some_and(|worker| {
            let is_out = self.domains_out.contains(&worker.listing.domain);
            let is_admitted = match pick::unusable_cause(worker, now, is_out) {
                None => true,
                Some(UnusableCause::Probation) => self.is_probe(worker, planned),
                Some(_) => false,
            };
            // A worker that a heartbeat names since the reservation gets no lease.
            let is_named = self.inherited.reported_unreached.contains(&planned.worker);
            // The run itself is committed, and so are runs that were reserved after it.
            is_admitted && !is_named && worker.has_room_for(&Resources::default())
        });
        let job = self.jobs.get(&planned.task.step.job);
        self.is_start_allowed && is_usable && job.is_some_and(|job| !job.progress.state.is_final())
    }

    /// Returns true if a planned start is the worker's newest probe, or of the same gang.
    fn is_probe(&self, worker: &Worker, planned: &PlannedStart) -> bool {
        worker.health.probe().is_some_and(|(task, run)| {
            let is_same = task == planned.task
                || task.step == planned.task.step && self.gang_size(&task.step).is_some();
            is_same && run == planned.run
        })
    }

    fn send_start(&mut self, now: Duration, planned: &PlannedStart) {
        if self.queue_start(now, &planned.worker, &planned.task, planned.run) {
            self.log_start(now, planned);
        } else {
            self.drop_run(&planned.worker, &planned.task);
        }
    }

    /// Queues a start command for a run. Returns false if its worker can't be granted a lease.
    pub(super) fn queue_start(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        task: &JobTaskId,
        run: u32,
    ) -> bool {
        let lease = self.lease_length(now);
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let Some(worker) = self.workers.get_mut(worker_id) else { return false };
        let expiry_ms = worker.lease.grant_for_start(now, lease, lease / 2);
        let Some(expiry_ms) = expiry_ms.filter(|_| !lease.is_zero()) else { return false };
        if let Some(current) = worker.runs.get_mut(task) {
            current.phase = Phase::Starting;
            current.phase_since = now;
            current.start_queued = now;
            current.start_copies += 1;
            current.may_repeat_start = true;
        }
        let checkpoint = self.checkpoint(job, task);
        let spec = Rc::clone(&job.spec);
        let kind = CommandKind::Start { task: *task, run, spec, expiry_ms, checkpoint };
        let Some(worker) = self.workers.get(worker_id) else { return false };
        self.commands.push(worker.command(kind));
        true
    }

    /// Returns the checkpoint from which a task resumes; all members of a gang resume from the same one.
    fn checkpoint(&self, job: &super::Job, task: &JobTaskId) -> String {
        let own =
            job.progress.task(task).map(|progress| progress.checkpoint.clone()).unwrap_or_default();
        if !job.spec.steps[usize::from(task.step.step)].is_gang {
            return own;
        }
        let count = job.spec.steps[usize::from(task.step.step)].count as u16;
        (0..count)
            .filter_map(|index| job.progress.task(&JobTaskId { step: task.step, index }))
            .map(|member| member.checkpoint.clone())
            .find(|checkpoint| !checkpoint.is_empty())
            .unwrap_or_default()
    }

    /// Processes the outcome of a start command.
    pub fn on_start(
        &mut self,
        now: Duration,
        command: &Command,
        sent: Duration,
        reply: Reply<StartOutcome>,
    ) {
        let CommandKind::Start { task, run, .. } = &command.kind else { return };
        let (worker_id, run) = (&command.worker, *run);
        let answered_by = self.observe_clock(now, command, sent, reply.clock_ms);
        if reply.outcome == StartOutcome::Unknown {
            self.record_unanswered_start(now, worker_id, task, run);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        interference::update_shares(worker, now);
        let is_late = worker.late_starts.get(task).is_some_and(|start| start.run == run);
        let Some(current) = worker.runs.get_mut(task).filter(|current| current.number == run)
        else {
            return;
        };
        match reply.outcome {
            StartOutcome::Started => {
                worker.start_answered = now;
                worker.health.unanswered_starts = 0;
                if current.phase == Phase::Starting {
                    current.phase = Phase::Active;
                }
                current.is_started = true;
                current.is_confirmed |= answered_by == AnsweredBy::Newest;
                current.phase_since = now;
                current.advanced = now;
                if current.is_confirmed {
                    self.record_start_answered(task, run);
                }
                self.record_started(now, task);
            }
            StartOutcome::Unknown => {
                if current.phase == Phase::Starting {
                    current.phase = Phase::InDoubt;
                }
                current.phase_since = now;
                worker.health.unanswered_starts += 1;
                worker.next_renewal = worker.next_renewal.min(now);
                event::START_UNKNOWN.emit(format_args!("task={task} run={run} worker={worker_id}"));
                self.give_up_start_if_due(worker_id, task);
                self.queue_speculative_run(task);
            }
            StartOutcome::NotSent => {
                worker.health.unanswered_starts += 1;
                self.on_not_started(now, worker_id, task, is_late);
            }
            StartOutcome::Refused(refusal) => {
                event::START_REFUSED.emit(format_args!(
                    "task={task} run={run} worker={worker_id} cause={refusal:?}"
                ));
                match refusal {
                    StartRefusal::Fenced => self.on_fenced(worker_id),
                    StartRefusal::Unhealthy | StartRefusal::Invalid => {
                        worker.health.fail_probe(task, run, now);
                        if worker.health.begin_probation(ProbationCause::RefusedStart, now) {
                            event::WORKER_ON_PROBATION.emit(format_args!(
                                "worker={worker_id} cause=refused-start task={task}"
                            ));
                        }
                    }
                    StartRefusal::Old | StartRefusal::Late | StartRefusal::Room => {
                        worker.next_renewal = worker.next_renewal.min(now);
                    }
                }
                self.on_not_started(now, worker_id, task, is_late);
            }
        }
    }

    /// Removes a run that the worker does not have and queues its task again. If another copy of the start may be carried
    /// out (`is_late`), the run stays in doubt instead.
    fn on_not_started(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        task: &JobTaskId,
        is_late: bool,
    ) {
        let worker = self.workers.get_mut(worker_id).filter(|_| is_late);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(task)) {
            if run.phase == Phase::Starting {
                run.phase = Phase::InDoubt;
                run.phase_since = now;
            }
            run.may_repeat_start = false;
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            // The next run prefers other workers.
            job.avoid_worker(task, worker_id);
        }
        self.give_up_worker(worker_id, task);
        self.drop_run(worker_id, task);
    }

    /// Records that a worker has the newest run of a task.
    pub(super) fn record_start_answered(&mut self, task: &JobTaskId, run: u32) {
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(progress) = job.and_then(|job| job.progress.task_mut(task))
            && progress.last_run == run
        {
            progress.is_start_unanswered = false;
        }
    }

    /// Records that a task of the job has started; the first one moves the job to [`JobState::Running`].
    fn record_started(&mut self, now: Duration, task: &JobTaskId) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        job.step_began.entry(task.step).or_insert(now);
        if job.progress.state == JobState::Queued {
            job.progress.state = JobState::Running;
            self.waiting.begin(task.step.job);
            self.rows.mark_head(task.step.job);
            event::JOB_STARTED.emit(format_args!("job={} task={task}", task.step.job));
        }
    }
}
