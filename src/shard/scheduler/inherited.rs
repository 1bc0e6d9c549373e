//! Tasks that a previous owner placed on workers that this owner has not reached yet.
//!
//! An owner may be lost together with some of its workers, or while some are cut off. A task whose recorded worker has
//! not answered may still run there, so it waits until the worker answers or until every lease that a previous owner
//! granted has lapsed. All other tasks are scheduled at once.
//!
//! A previous owner knows more than its rows of progress say, and its heartbeat tells the difference: the workers that did
//! not answer it, whose leases end earlier; those that may hold longer leases; and the starts without an answer, which a
//! later incarnation of a worker may still carry out. See [`LeaseReport`].

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::job::progress::ProgressRow;
use crate::job::{JobId, JobTaskId, Progress, StepId};
use crate::shard::lapse::{LeaseEnd, longest_local_time};
use crate::shard::worker::{Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::handover::ReleaseCause;
use super::renewals::{MAX_WAIT_WITH_RUNS, max_wait};
use super::{RowId, ShardScheduler};

/// Time after the shard's rows were read within which workers are expected to answer. Only workers that are silent for
/// longer are named in the heartbeat, because a worker named there gets no lease until a stored heartbeat no longer
/// names it.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Time after which an answer to a renewal is late, beyond the time for which the worker may hold it back. The worker is
/// then named in the heartbeat, so that a successor knows from when on it got no lease.
const LATE_ANSWER_AFTER: Duration = Duration::from_millis(400);

/// Longest time by which an answer may be later because of the lag of the owner's thread. It delays the time at which a
/// heartbeat names the worker, and so the next runs of its tasks if the owner is lost as well.
const MAX_LAG_ALLOWANCE: Duration = Duration::from_millis(600);

/// What a heartbeat tells a successor of leases that differ from the ones that it assumes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseReport {
    /// Workers that do not answer, with the time until their leases have lapsed. They get no lease until a heartbeat
    /// without their name is stored.
    pub silent: Vec<(WorkerId, Duration)>,
    /// Workers that have restarted and may hold leases of unknown length, with the time until these have lapsed.
    pub unknown: Vec<(WorkerId, Duration)>,
    /// Tasks whose newest start has no answer, or one of which it is not known which incarnation gave it, and those of
    /// which an earlier start may still be carried out.
    pub unanswered_starts: BTreeSet<JobTaskId>,
}

/// Recorded tasks whose newest start may have got no answer.
#[derive(Clone, Debug, Default)]
pub struct UnansweredStarts {
    /// Tasks that the predecessor's heartbeat names.
    pub named: BTreeSet<JobTaskId>,
    /// Further tasks are not named; each start counts as unanswered that was when its row was stored.
    pub has_unnamed: bool,
    /// Rows that were stored with that heartbeat or after it. They tell of each task whether its start was answered.
    pub recent_rows: BTreeSet<RowId>,
    /// Local time by which all leases have lapsed that a start without an answer may have granted.
    pub lapsed: Duration,
}

/// Tasks by the worker that a previous owner recorded, for workers that have not answered yet.
#[derive(Debug)]
pub(super) struct Inherited {
    /// Local time of the claim.
    pub(super) claimed: Duration,
    /// Local time at which all leases granted by the predecessor have lapsed.
    pub(super) predecessor_lapsed: Duration,
    workers: BTreeMap<WorkerId, InheritedWorker>,
    /// Worker of each task in `workers`, until a run of the task is found.
    tasks: BTreeMap<JobTaskId, WorkerId>,
    unanswered: UnansweredStarts,
    /// Workers that the newest stored heartbeat, or a later one whose outcome is unknown, names as unreached. A
    /// successor relies on this owner having granted them no lease.
    pub(super) reported_unreached: BTreeSet<WorkerId>,
    is_done: bool,
}

#[derive(Debug)]
struct InheritedWorker {
    tasks: Vec<JobTaskId>,
    /// Tasks among them whose newest start may have got no answer.
    unanswered: BTreeSet<JobTaskId>,
    /// Local time at which no lease of a previous owner is left on the worker, except by starts without an answer.
    lapsed: Duration,
    /// The predecessor knew of leases of unknown length on the worker.
    has_unknown_leases: bool,
}

impl Inherited {
    pub(super) fn new(claimed: Duration, predecessor_lapsed: Duration) -> Self {
        Self {
            claimed,
            predecessor_lapsed,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            unanswered: UnansweredStarts::default(),
            reported_unreached: BTreeSet::new(),
            is_done: false,
        }
    }

    /// Adds the tasks of a job that have a recorded worker.
    pub(super) fn add(&mut self, job: JobId, progress: &mut Progress) {
        let per_row = progress.tasks_per_row;
        for (occurrence, begun) in &mut progress.occurrences {
            let mut position = 0;
            for (step, tasks) in begun.steps.iter_mut().enumerate() {
                for (index, task) in tasks.iter_mut().enumerate() {
                    let row = ProgressRow::of_position(*occurrence, position, per_row);
                    position += 1;
                    let Some(worker) = &task.worker else { continue };
                    let step = StepId { job, occurrence: *occurrence, step: step as u16 };
                    let key = JobTaskId { step, index: index as u16 };
                    let id = WorkerId::from(Rc::clone(worker));
                    let recorded = self.workers.entry(id.clone()).or_insert(InheritedWorker {
                        tasks: Vec::new(),
                        unanswered: BTreeSet::new(),
                        lapsed: self.predecessor_lapsed,
                        has_unknown_leases: false,
                    });
                    recorded.tasks.push(key);
                    let is_recent = self.unanswered.has_unnamed
                        || self.unanswered.recent_rows.contains(&(job, row));
                    task.is_start_unanswered = self.unanswered.named.contains(&key)
                        || is_recent && task.is_start_unanswered;
                    if task.is_start_unanswered {
                        recorded.unanswered.insert(key);
                    }
                    self.tasks.insert(key, id);
                }
            }
        }
    }

    pub(super) fn has(&self, task: &JobTaskId) -> bool {
        self.tasks.contains_key(task)
    }

    /// Returns true if a worker with recorded tasks has not answered this owner.
    pub(super) fn is_unreached(&self, worker: &WorkerId) -> bool {
        self.workers.contains_key(worker)
    }

    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn unanswered_count(&self) -> usize {
        self.workers.values().map(|recorded| recorded.unanswered.len()).sum()
    }

    /// Number of recorded tasks of which no run was found.
    pub(super) fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Records that a run of the task was found on a worker.
    pub(super) fn record_found(&mut self, task: &JobTaskId) {
        self.tasks.remove(task);
    }

    /// Removes the tasks of a worker on which no lease of a previous owner is left at `now`, and returns those of which no
    /// run was found.
    fn remove_lapsed(&mut self, worker: &WorkerId, now: Duration) -> Vec<JobTaskId> {
        let Some(recorded) = self.workers.get_mut(worker) else { return Vec::new() };
        if now < recorded.lapsed {
            return Vec::new();
        }
        if now >= self.unanswered.lapsed {
            recorded.unanswered.clear();
        }
        let unanswered = &recorded.unanswered;
        let (kept, mut left) =
            std::mem::take(&mut recorded.tasks).into_iter().partition(|t| unanswered.contains(t));
        recorded.tasks = kept;
        if recorded.tasks.is_empty() {
            self.workers.remove(worker);
        }
        left.retain(|task| self.tasks.remove(task).is_some());
        left
    }

    /// Removes a worker. Returns those of its tasks of which no run was found, and those whose newest start may have got
    /// no answer.
    fn remove(&mut self, worker: &WorkerId) -> (Vec<JobTaskId>, BTreeSet<JobTaskId>) {
        let Some(recorded) = self.workers.remove(worker) else { return Default::default() };
        let mut left = recorded.tasks;
        left.retain(|task| self.tasks.remove(task).is_some());
        (left, recorded.unanswered)
    }
}

impl ShardScheduler {
    /// Sets which starts of the predecessor may have got no answer. Applies to jobs that are added later.
    pub fn on_unanswered_starts(&mut self, unanswered: UnansweredStarts) {
        self.inherited.unanswered = unanswered;
    }

    /// Extends the wait for a worker on which the predecessor knew of leases of unknown length.
    pub fn on_unknown_leases(&mut self, worker: &WorkerId, lapsed: Duration) {
        if let Some(recorded) = self.inherited.workers.get_mut(worker) {
            recorded.lapsed = recorded.lapsed.max(lapsed);
            recorded.has_unknown_leases = true;
        }
    }

    /// Takes over leases of unknown length when a worker lists its runs to this owner for the first time, by a start time of
    /// `started_unix_ms`: commands of a previous owner may have been carried out by another incarnation than the one that
    /// it meant, up to now. From now on the worker refuses them.
    pub(super) fn adopt_unknown_leases(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        started_unix_ms: Option<u64>,
    ) {
        let Some(recorded) = self.inherited.workers.get(worker_id) else { return };
        let is_other = |task: &JobTaskId| self.recorded_incarnation(task) != started_unix_ms;
        if !recorded.has_unknown_leases && !recorded.tasks.iter().any(is_other) {
            return;
        }
        let longest = longest_local_time(self.timing.max_lease, self.timing.kill_time);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.lease.on_unknown_leases(now + longest);
        }
    }

    /// Returns what the heartbeat tells of the leases of this owner and of those before it.
    #[must_use]
    pub fn lease_report(&self, now: Duration) -> LeaseReport {
        let mut report = LeaseReport::default();
        let is_grace_over = now.saturating_sub(self.inherited.claimed) >= ANSWER_GRACE_PERIOD;
        for (id, recorded) in &self.inherited.workers {
            let own = self.workers.get(id).and_then(|worker| self.lapsed_at(worker));
            if is_grace_over {
                let lapsed = own.map_or(recorded.lapsed, |own| own.max(recorded.lapsed));
                report.silent.push((id.clone(), lapsed.saturating_sub(now)));
            }
            report.unanswered_starts.extend(&recorded.unanswered);
        }
        for (id, worker) in self.workers.iter() {
            let is_inherited = self.inherited.workers.contains_key(id);
            if !is_inherited && self.is_late(worker, now) {
                let lapsed = self.lapsed_at(worker).unwrap_or(now);
                report.silent.push((id.clone(), lapsed.saturating_sub(now)));
            }
            if let LeaseEnd::UnknownBy(end) = worker.lease.end(self.timing.kill_time)
                && end > now
                && !worker.runs.is_empty()
            {
                report.unknown.push((id.clone(), end - now));
            }
            let unanswered = worker.runs.iter().filter(|(_, run)| !run.is_confirmed);
            report.unanswered_starts.extend(unanswered.map(|(task, _)| *task));
        }
        report.unanswered_starts.extend(self.bound_tasks());
        report
    }

    /// Returns true if a heartbeat is due early: it would name other silent workers than the last one, which either get
    /// no lease for that reason or are not known to get none, or it would confirm that a lease has lapsed.
    #[must_use]
    pub fn needs_heartbeat(&self, now: Duration, confirmed: Duration) -> bool {
        let kill_time = self.timing.kill_time;
        self.workers.iter().any(|(id, worker)| {
            let is_named = self.inherited.reported_unreached.contains(id);
            let is_late = self.is_late(worker, now);
            let is_silent = !worker.runs.is_empty() && worker.unanswered_renewals > 0;
            let is_unconfirmed = || {
                worker.lease.has_ended(now, kill_time)
                    && !worker.lease.has_ended(now.min(confirmed), kill_time)
            };
            let has_returned = is_named && !is_late && !self.inherited.is_unreached(id);
            has_returned || is_late && !is_named || is_silent && is_unconfirmed()
        })
    }

    /// Returns true if a worker with runs has not answered in time.
    fn is_late(&self, worker: &Worker, now: Duration) -> bool {
        // While this thread is late, so are the renewals and the processing of their answers.
        let late_after = LATE_ANSWER_AFTER + (self.start_rate.lag() * 2).min(MAX_LAG_ALLOWANCE);
        // A renewal may be on its way that was sent before a task started which shortens the wait of the next one.
        let sent_wait = worker.renewal_wait.min(MAX_WAIT_WITH_RUNS);
        let is_overdue = worker.answered.is_some_and(|answered| {
            let heard = answered.max(worker.start_answered).max(worker.busy_since);
            let age = now.saturating_sub(heard);
            age >= late_after && age >= max_wait(worker).max(sent_wait) + late_after
        });
        !worker.runs.is_empty() && (worker.unanswered_renewals > 0 || is_overdue)
    }

    /// Returns the local time at which all leases on a worker have lapsed, as far as their ends are known, with those that
    /// earlier owners granted to runs that this one has adopted; `None` without a lease.
    fn lapsed_at(&self, worker: &Worker) -> Option<Duration> {
        let own = match worker.lease.end(self.timing.kill_time) {
            LeaseEnd::None => None,
            LeaseEnd::By(end) | LeaseEnd::UnknownBy(end) => Some(end),
        };
        let has_adopted = worker.runs.values().any(|run| run.is_adopted);
        own.max(has_adopted.then_some(self.inherited.predecessor_lapsed))
    }

    /// Shortens the wait for workers that the predecessor could not reach either. It granted no lease there, so all
    /// leases on them have lapsed by `lapsed`. The stored heartbeat names them until this owner has stored one, so it
    /// grants them no lease either.
    pub fn on_unreached_by_predecessor(&mut self, workers: &[WorkerId], lapsed: Duration) {
        self.inherited.reported_unreached.extend(workers.iter().cloned());
        for id in workers {
            if let Some(recorded) = self.inherited.workers.get_mut(id) {
                recorded.lapsed = recorded.lapsed.min(lapsed);
            }
        }
    }

    /// Records that a heartbeat that names these workers is about to be written. It may take effect from now on.
    pub fn on_heartbeat_sent(&mut self, workers: &[String]) {
        self.inherited.reported_unreached.extend(workers.iter().map(|id| WorkerId::new(id)));
    }

    /// Records that the newest stored heartbeat names exactly these workers.
    pub fn on_heartbeat_stored(&mut self, workers: &[String]) {
        self.inherited.reported_unreached = workers.iter().map(|id| WorkerId::new(id)).collect();
    }

    /// Releases the recorded tasks that a worker does not have, after it has listed all its runs or another incarnation
    /// has replaced it. The renewal that shows it was sent for `age` ago.
    pub(super) fn release_inherited_of(
        &mut self,
        worker: &WorkerId,
        cause: ReleaseCause,
        age: Duration,
    ) {
        let (left, unanswered) = self.inherited.remove(worker);
        if cause == ReleaseCause::Listed {
            for task in &unanswered {
                self.inherit_late_start(worker, task);
            }
        }
        self.log_released(worker, &left, cause, age);
        self.record_inherited_crash(worker, &left);
        self.release_inherited(left);
    }

    /// Releases the tasks of workers on which no lease of a previous owner is left.
    pub(super) fn resolve_inherited(&mut self, now: Duration) {
        let unanswered_lapsed = self.inherited.unanswered.lapsed;
        let has_lapsed = |recorded: &InheritedWorker| {
            let is_any_answered = recorded.tasks.len() > recorded.unanswered.len();
            now >= recorded.lapsed && (is_any_answered || now >= unanswered_lapsed)
        };
        let lapsed: Vec<(WorkerId, Duration)> = self
            .inherited
            .workers
            .iter()
            .filter(|(_, recorded)| has_lapsed(recorded))
            .map(|(id, recorded)| (id.clone(), recorded.lapsed))
            .collect();
        for (id, lapsed) in lapsed {
            let left = self.inherited.remove_lapsed(&id, now);
            self.log_lapsed(now, &id, lapsed, &left);
            for task in &left {
                self.keep_inherited_run(&id, task);
            }
            self.mark_lapsed(&left);
            self.release_inherited(left);
        }
        if self.inherited.workers.is_empty() && !self.inherited.is_done {
            self.inherited.is_done = true;
            let waited = now.saturating_sub(self.inherited.claimed).as_millis();
            event::TAKEOVER_DONE.emit(format_args!(
                "epoch={} jobs={} waited_ms={waited}",
                self.epoch,
                self.jobs.len()
            ));
        }
    }

    fn release_inherited(&mut self, tasks: Vec<JobTaskId>) {
        let mut jobs = BTreeSet::new();
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.step.job) else { continue };
            if let Some(progress) = job.progress.task_mut(&task) {
                progress.worker = None;
            }
            jobs.insert(task.step.job);
        }
        for id in jobs {
            self.queue_ready_tasks(id);
        }
    }
}
