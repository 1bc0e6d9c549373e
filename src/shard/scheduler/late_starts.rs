//! Starts without an answer, which a worker may carry out late.
//!
//! A start that got no answer may be carried out up to [`MAX_COMMAND_DELAY`] later, by the incarnation that it was sent to
//! or by a later one under the same ID. A stop bars only the incarnation that answers it, so a task that ran elsewhere
//! meanwhile would run twice whenever its first worker restarts. While a copy of a start may still arrive, its task is
//! therefore placed on that worker only: an incarnation begins without runs, so whatever it carries out late is the only
//! run of the task.
//!
//! - The start is sent again, with the same run number, to the incarnation that it was sent to first. A worker that has
//!   the run already answers that it has started. A start that is left without an answer thus costs its task the time
//!   limit on one answer, and the task stays where the copies may arrive.
//! - If a copy may start a run on a new incarnation, that one gets a stop first. The next run is placed there once the
//!   stop is answered.
//! - The task may run on any worker once a list that was asked for after the last copy can have arrived shows what the
//!   worker has, or once all leases have lapsed that an incarnation without an answer may hold.
//!
//! The heartbeat names the tasks, and their rows the worker, so that a successor keeps to it as well. Tasks that may
//! run several times at once are placed anywhere. A task that is done and a job that has ended only get the stops.

use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::job::{JobTaskId, StepId};
use crate::shard::lapse::{MAX_COMMAND_DELAY, longest_local_time};
use crate::shard::pick::{self, UnusableCause};
use crate::shard::worker::{LateStart, Phase, Run, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::crashes::members_of;
use super::renewals::STOP_RETRY_PAUSE;
use super::{CommandKind, ShardScheduler};

/// Most starts, and most stops of late starts, that one check queues; the next one queues further ones.
const MAX_REPEATED_COMMANDS: usize = 64;

/// Shortest time between two copies of a start. The time limit on an answer is longer, but a connection may fail earlier.
const START_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Most copies of a start. A worker that leaves all of them without an answer is not used for the task again.
const MAX_START_COPIES: u32 = 7;

/// Workers that may get the next run of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EligibleWorkers<'a> {
    /// All of them.
    Any,
    /// The one on which a start of the task may be carried out late.
    Only(&'a WorkerId),
    /// None: the worker may carry out the start at any moment or was given up, or there are several such workers.
    None,
}

impl ShardScheduler {
    /// Records that a start, which was sent before `now`, got no answer.
    pub(super) fn record_unanswered_start(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        task: &JobTaskId,
        run: u32,
    ) {
        let start = LateStart::new(run, now + MAX_COMMAND_DELAY);
        self.add_late_start(worker_id, task, start);
    }

    fn add_late_start(&mut self, worker_id: &WorkerId, task: &JobTaskId, start: LateStart) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        match worker.late_starts.entry(*task) {
            Entry::Vacant(vacant) => {
                vacant.insert(start);
            }
            Entry::Occupied(mut known) => known.get_mut().merge(start),
        }
        self.late_starts.entry(*task).or_default().insert(worker_id.clone());
    }

    /// Takes over a start of a previous owner that may have got no answer. The worker's newest incarnation refuses it, because
    /// it has seen a higher epoch.
    pub(super) fn inherit_late_start(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        let arrives_until = self.inherited.claimed + MAX_COMMAND_DELAY;
        let start = LateStart {
            // The copies of a previous owner are not counted.
            copies: u32::MAX,
            is_barred: true,
            ..LateStart::new(self.last_run(task), arrives_until)
        };
        self.add_late_start(worker_id, task, start);
    }

    /// Records that the newest incarnation of a worker will not carry out starts of a task up to a run.
    pub(super) fn bar_late_start(&mut self, worker_id: &WorkerId, task: &JobTaskId, run: u32) {
        let worker = self.workers.get_mut(worker_id);
        let start = worker.and_then(|worker| worker.late_starts.get_mut(task));
        if let Some(start) = start.filter(|start| start.run <= run) {
            start.is_barred = true;
        }
    }

    /// Handles a run that the worker lists: a start of which there was one copy has been carried out and can't be again.
    pub(super) fn on_run_listed(&mut self, worker_id: &WorkerId, task: &JobTaskId, run: u32) {
        let worker = self.workers.get(worker_id);
        let start = worker.and_then(|worker| worker.late_starts.get(task));
        if start.is_some_and(|start| start.run == run && start.copies == 1) {
            self.forget_late_start(worker_id, task);
        }
    }

    /// Returns which workers may get the next run of a task.
    pub(super) fn eligible_workers(&self, task: &JobTaskId) -> EligibleWorkers<'_> {
        let Some(workers) = self.late_starts.get(task) else { return EligibleWorkers::Any };
        if self.may_run_twice(task) {
            return EligibleWorkers::Any;
        }
        let mut workers = workers.iter();
        let (Some(worker), None) = (workers.next(), workers.next()) else {
            return EligibleWorkers::None;
        };
        let start = self.workers.get(worker).and_then(|worker| worker.late_starts.get(task));
        match start {
            Some(start) if !start.is_barred || start.is_worker_given_up => EligibleWorkers::None,
            _ => EligibleWorkers::Only(worker),
        }
    }

    /// Returns tasks of a step in the order in which they are placed: those first that may use one worker only, in the given
    /// order otherwise.
    pub(super) fn bound_first(&self, key: &StepId, tasks: &[u16]) -> Vec<u16> {
        let mut tasks = tasks.to_vec();
        if !self.late_starts.is_empty() {
            tasks.sort_by_key(|index| {
                let task = JobTaskId { step: *key, index: *index };
                self.eligible_workers(&task) == EligibleWorkers::Any
            });
        }
        tasks
    }

    fn may_run_twice(&self, task: &JobTaskId) -> bool {
        let step = self.jobs.get(&task.step.job).map(|job| &job.spec.steps);
        let step = step.and_then(|steps| steps.get(usize::from(task.step.step)));
        step.is_some_and(|step| step.is_speculative)
    }

    /// Returns true if a task has to stay on a worker, see [`Self::eligible_workers`].
    pub(super) fn is_bound(&self, task: &JobTaskId, worker: &WorkerId) -> bool {
        let is_late = self.late_starts.get(task).is_some_and(|workers| workers.contains(worker));
        is_late && self.is_open(task) && !self.may_run_twice(task)
    }

    /// Tasks that have to stay on a worker.
    pub(super) fn bound_tasks(&self) -> impl Iterator<Item = JobTaskId> {
        let is_bound = |task: &&JobTaskId| self.is_open(task) && !self.may_run_twice(task);
        self.late_starts.keys().filter(is_bound).copied()
    }

    /// Sends starts again that got no answer.
    pub(super) fn repeat_starts(&mut self, now: Duration) {
        let mut due = Vec::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| !w.late_starts.is_empty()) {
            if self.may_repeat_starts(now, id, worker) {
                let is_paused =
                    |run: &Run| now.saturating_sub(run.start_queued) < START_RETRY_PAUSE;
                let runs = worker
                    .runs
                    .iter()
                    .filter(|(task, run)| !is_paused(run) && self.may_repeat_start(task, run));
                due.extend(runs.map(|(task, run)| (id.clone(), *task, run.number)));
            }
        }
        for (worker_id, task, run) in due.into_iter().take(MAX_REPEATED_COMMANDS) {
            if !self.queue_start(now, &worker_id, &task, run) {
                continue;
            }
            let worker = self.workers.get_mut(&worker_id);
            let start = worker.and_then(|worker| worker.late_starts.get_mut(&task));
            if let Some(start) = start {
                start.copies = start.copies.saturating_add(1);
                event::START_REPEATED.emit(format_args!(
                    "task={task} run={run} worker={worker_id} copies={}",
                    start.copies
                ));
            }
        }
    }

    /// Returns true if a worker gets starts again that it left without an answer.
    pub(super) fn may_repeat_starts(&self, now: Duration, id: &WorkerId, worker: &Worker) -> bool {
        let is_domain_out = self.domains_out.contains(&worker.listing.domain);
        // The limit on starts without an answer is for further tasks.
        let cause = pick::unusable_cause(worker, now, is_domain_out);
        let is_usable = matches!(cause, None | Some(UnusableCause::UnansweredStarts));
        let is_named = self.inherited.reported_unreached.contains(id);
        let has_room = !worker.is_overcommitted() && !worker.has_run_of_unknown_size();
        self.is_start_allowed && is_usable && !is_named && has_room
    }

    /// Returns true if the start of a run in doubt may be sent again.
    pub(super) fn may_repeat_start(&self, task: &JobTaskId, run: &Run) -> bool {
        run.phase == Phase::InDoubt
            && run.may_repeat_start
            && run.start_copies < MAX_START_COPIES
            && run.stop_queued_at.is_none()
            && self.is_open(task)
            && self.is_gang_whole(task, run.number)
    }

    /// Returns true unless the task is a member of a gang of which another member has lost the run.
    fn is_gang_whole(&self, task: &JobTaskId, number: u32) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        members_of(job, task)
            .iter()
            .all(|member| self.runs_of_task(member).any(|(_, run)| run.number == number))
    }

    /// Gives up a worker for a task if it has left all copies of its start without an answer.
    pub(super) fn give_up_start_if_due(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        let run = self.workers.get(worker_id).and_then(|worker| worker.runs.get(task));
        if run.is_none_or(|run| run.start_copies < MAX_START_COPIES) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.avoid_worker(task, worker_id);
        }
        self.give_up_worker(worker_id, task);
    }

    /// Gives up a worker for a task that may use no other one, if that is so.
    pub(super) fn give_up_worker(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        let worker = self.workers.get_mut(worker_id);
        if let Some(start) = worker.and_then(|worker| worker.late_starts.get_mut(task)) {
            start.is_worker_given_up = true;
        }
    }

    /// Returns true if a waiting task may use other workers than one that may carry out its start late.
    pub(super) fn has_free_waiting_task(&self) -> bool {
        if self.late_starts.is_empty() {
            return !self.waiting.is_empty();
        }
        self.waiting.steps().any(|(step, waiting)| {
            let mut tasks =
                waiting.tasks.keys().map(|index| JobTaskId { step: *step, index: *index });
            tasks.any(|task| self.eligible_workers(&task) == EligibleWorkers::Any)
        })
    }

    /// Queues stops of late starts for the incarnations that answer and have not answered one.
    pub(super) fn stop_late_starts(&mut self, now: Duration) {
        let mut left = MAX_REPEATED_COMMANDS;
        for worker in self.workers.values_mut() {
            let is_silent = worker.unanswered_renewals > 0;
            if left == 0 || is_silent || worker.late_starts.is_empty() {
                continue;
            }
            let runs = &worker.runs;
            let is_due = |task: &JobTaskId, start: &LateStart| {
                let is_queued = |at: Duration| now.saturating_sub(at) < STOP_RETRY_PAUSE;
                let may_retry = !start.stop_queued_at.is_some_and(is_queued);
                // A run in doubt has a stop of its own.
                let is_run = runs.get(task).is_some_and(|run| run.number <= start.run);
                !start.is_barred && !start.is_stop_in_flight && may_retry && !is_run
            };
            let due = worker.late_starts.iter_mut().filter(|(task, start)| is_due(task, start));
            let mut stops = Vec::new();
            for (task, start) in due.take(left) {
                start.is_stop_in_flight = true;
                start.stop_queued_at = Some(now);
                stops.push(CommandKind::Stop { task: *task, run: start.run });
            }
            left -= stops.len();
            self.commands.extend(stops.into_iter().map(|kind| worker.command(kind)));
        }
    }

    /// Forgets the starts that can't be carried out any more, by a list of the worker that was asked for at `sent`.
    pub(super) fn forget_arrived_starts(&mut self, worker_id: &WorkerId, sent: Duration) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let over = worker.late_starts.iter().filter(|(_, start)| start.arrives_until <= sent);
        for task in over.map(|(task, _)| *task).collect::<Vec<_>>() {
            self.forget_late_start(worker_id, &task);
        }
    }

    /// Forgets the starts whose leases have lapsed on any incarnation of their worker, whether it answers or not.
    /// `owned_until` is the newest time at which this process was certainly the owner.
    pub(super) fn forget_lapsed_starts(&mut self, owned_until: Duration) {
        let longest_lease = longest_local_time(self.timing.max_lease, self.timing.kill_time);
        let mut over = Vec::new();
        for (task, workers) in &self.late_starts {
            for id in workers {
                let worker = self.workers.get(id);
                let start = worker.and_then(|worker| worker.late_starts.get(task));
                let own_end = start.map(|start| start.arrives_until + longest_lease);
                let lease_end =
                    worker.and_then(|w| w.lease.end_on_unknown_incarnation(longest_lease));
                if own_end.max(lease_end).is_none_or(|end| owned_until >= end) {
                    over.push((id.clone(), *task));
                }
            }
        }
        for (worker_id, task) in over {
            self.forget_late_start(&worker_id, &task);
        }
    }

    /// Forgets all late starts on a worker: another one has its address, and refuses them.
    pub(super) fn forget_late_starts_of(&mut self, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        for task in worker.late_starts.keys().copied().collect::<Vec<_>>() {
            self.forget_late_start(worker_id, &task);
        }
    }

    fn forget_late_start(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.late_starts.remove(task);
        }
        if let Some(workers) = self.late_starts.get_mut(task) {
            workers.remove(worker_id);
            if workers.is_empty() {
                self.late_starts.remove(task);
            }
        }
        self.is_placement_due = true;
        if !self.live.contains_key(task) {
            self.forget_recorded_worker(worker_id, task);
        }
    }

    /// Lets a row be written in which a task is not on a worker any more.
    fn forget_recorded_worker(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(progress) = job.progress.task_mut(task) else { return };
        if progress.worker.as_deref() == Some(worker_id.as_str()) {
            progress.worker = None;
            self.mark_lapsed(&[*task]);
        }
    }
}
