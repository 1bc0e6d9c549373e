//! Scheduler of one shard: a state machine that consumes events and emits commands for workers.
//!
//! Event methods take the local time, from a clock that also counts while the VM is suspended. Commands are queued; the
//! caller sends them after it has checked its ownership lease. The scheduler assumes that each queued command was sent
//! and waits for its outcome.
//!
//! The stored part of a job is its [`Progress`]. A task's worker is written there before the task starts, and an end is
//! acknowledged to a worker only after the row that contains it was written. A new owner therefore knows on which
//! worker each run is or may be, and the workers still list every end that is not in a row. Only tasks that are
//! recorded on a worker that does not answer have to wait for that worker.

mod capacity;
mod command;
mod crashes;
mod ends;
mod handover;
mod incarnations;
mod inherited;
mod job_queues;
mod late_starts;
mod pass;
mod placing;
mod renewals;
mod rows;
mod speculation;
mod start_rate;
mod throttling;
mod trials;
mod waits;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::job::progress::{self, ProgressRow, StoredRows};
use crate::job::{JobId, JobSpec, JobState, JobTaskId, Progress, StepId};
use crate::telemetry::event::shard as event;

use super::interference::{self, ImageId, Pressures};
use super::pick::{self, UnusableCause};
use super::queue::{JobQueue, QueuePolicy, Rank, WaitingTask, WaitingTasks};
use super::report::WorkerListing;
use super::times::StepTimeRatios;
use super::worker::{Phase, Worker, WorkerId};
use super::worker_map::WorkerMap;

pub use command::{Command, CommandKind, CommandOutcome, Reply, StartOutcome, StartRefusal};
use incarnations::RestartSign;
pub use inherited::{LeaseReport, UnansweredStarts};
pub use renewals::RenewalFailure;
use rows::HeadState;
pub use rows::{JobRow, RowBatch, RowId};

/// Durations from the platform's settings. The process caps the lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Length of the lease of the runs on a worker. A new owner must reach the workers before their leases lapse; the
    /// tasks of a lost worker start elsewhere only once its lease has lapsed.
    pub lease: Duration,
    /// Longest lease that a worker accepts; it shortens longer ones.
    pub max_lease: Duration,
    /// Longest time from the end of a lease until the worker has ended its runs.
    pub kill_time: Duration,
    /// Time until a throttle command takes effect on the worker.
    pub throttle_delay: Duration,
}

/// Job of the shard that has not ended or whose end is not stored yet.
#[derive(Debug)]
pub(crate) struct Job {
    queue: Rc<job_queues::SharedQueue>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    accepted_unix_ms: u64,
    spec: Rc<JobSpec>,
    /// Images of the steps.
    images: Vec<Option<ImageId>>,
    progress: Progress,
    /// Failure domain in which the job's tasks are preferably placed; `None` until the first placement.
    home: Option<String>,
    /// Whether the head of its progress is stored; meaningful for a divided job only.
    head: rows::HeadState,
    /// Local time at which the first task of each unfinished step started.
    step_began: BTreeMap<StepId, Duration>,
    /// Workers on which a task failed, did not start, or was throttled for long; used last for the next run. Those of a
    /// gang are listed under its first member.
    avoid: BTreeMap<JobTaskId, Vec<WorkerId>>,
}

impl Job {
    /// Lets the next run of a task, or of its gang, use a worker last.
    fn avoid_worker(&mut self, task: &JobTaskId, worker: &WorkerId) {
        let key = crashes::suspect_of(self, task);
        let avoid = self.avoid.entry(key).or_default();
        if !avoid.contains(worker) {
            avoid.push(worker.clone());
        }
    }

    /// Returns the workers that the next run of a task, or of its gang, uses last.
    fn avoided_workers(&self, task: &JobTaskId) -> &[WorkerId] {
        self.avoid.get(&crashes::suspect_of(self, task)).map_or(&[], Vec::as_slice)
    }
}

/// Job as it was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    /// ID chosen by the caller.
    pub id: JobId,
    /// Its queue, as configured when the job was accepted.
    pub queue: JobQueue,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Steps, schedule and payload.
    pub spec: Rc<JobSpec>,
}

/// Period of the checks of all workers and jobs; short against the timeouts that they check.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(20);

/// Size of the range of run numbers of an epoch. Run numbers are thus higher than those of all earlier epochs, even if
/// the workers that had the earlier runs are gone.
const RUNS_PER_EPOCH: u64 = 10_000;

/// State of the owner of one shard. See the module documentation.
#[derive(Debug)]
pub struct ShardScheduler {
    epoch: u64,
    timing: Timing,
    jobs: BTreeMap<JobId, Job>,
    workers: WorkerMap,
    /// Workers that have, or may have, a run of the task; no entry if there is none.
    live: BTreeMap<JobTaskId, Vec<WorkerId>>,
    /// Workers that may carry out a start of the task late; the same tasks as in [`Worker::late_starts`].
    late_starts: BTreeMap<JobTaskId, BTreeSet<WorkerId>>,
    waiting: WaitingTasks,
    queues: job_queues::JobQueues,
    /// Ratios of measured to estimated step times, by queue.
    times: BTreeMap<String, StepTimeRatios>,
    domains_out: BTreeSet<String>,
    inherited: inherited::Inherited,
    crashes: crashes::Crashes,
    pressures: Pressures,
    rows: rows::PendingRows,
    start_log: handover::StartLog,
    start_rate: start_rate::StartRate,
    /// Local time up to which leases may be granted: the end of the ownership lease.
    leases_until: Duration,
    /// Largest row, in bytes, that the store accepts.
    max_row_bytes: usize,
    commands: Vec<Command>,
    /// Set once a worker has refused a command because it had seen a higher epoch.
    is_fenced: bool,
    /// Whether new tasks may start.
    is_start_allowed: bool,
    /// Free resources or waiting tasks have changed since the last placement pass.
    is_placement_due: bool,
    /// First step that the last placement pass did not try because it had examined too many workers.
    resume_pass_at: Option<StepId>,
    /// Local time of the last placement pass.
    last_placement: Duration,
    /// Local time of the last check of all workers and jobs.
    last_housekeeping: Duration,
    /// Local time of the last look for commands without an answer.
    last_command_check: Duration,
    /// Local time of the last tick.
    now: Duration,
    /// Wall time of the last tick, in milliseconds since the Unix epoch; used for schedules and objectives.
    unix_ms: u64,
}

impl ShardScheduler {
    /// Creates the state of an owner that had claimed the shard and read all of its rows by `claimed`. All leases that
    /// its predecessor granted have lapsed by `predecessor_lapsed`.
    #[must_use]
    pub fn new(
        epoch: u64,
        timing: Timing,
        claimed: Duration,
        predecessor_lapsed: Duration,
    ) -> Self {
        Self {
            epoch,
            timing,
            jobs: BTreeMap::new(),
            workers: WorkerMap::default(),
            live: BTreeMap::new(),
            late_starts: BTreeMap::new(),
            waiting: WaitingTasks::default(),
            queues: job_queues::JobQueues::default(),
            times: BTreeMap::new(),
            domains_out: BTreeSet::new(),
            inherited: inherited::Inherited::new(claimed, predecessor_lapsed),
            crashes: crashes::Crashes::default(),
            pressures: Pressures::default(),
            rows: rows::PendingRows::default(),
            start_log: handover::StartLog::default(),
            start_rate: start_rate::StartRate::new(claimed),
            leases_until: Duration::MAX,
            max_row_bytes: usize::MAX,
            commands: Vec::new(),
            is_fenced: false,
            is_start_allowed: true,
            is_placement_due: true,
            resume_pass_at: None,
            last_placement: Duration::ZERO,
            last_housekeeping: Duration::ZERO,
            last_command_check: Duration::ZERO,
            now: claimed,
            unix_ms: 0,
        }
    }

    /// Epoch of this owner; sent with each command.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns true once a worker has refused a command because it had seen a higher epoch.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Removes and returns the commands to send.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Records by how much the caller's thread was late, which limits the rate of starts.
    pub fn on_lag(&mut self, now: Duration, lag: Duration) {
        self.start_rate.on_lag(now, lag);
    }

    /// Returns the number of starts per second that the lag of the thread allows; `None` without a limit.
    #[must_use]
    pub fn start_rate_limit(&self) -> Option<u64> {
        self.start_rate.limit().map(|limit| limit as u64)
    }

    /// Number of estimates of the interference on a worker so far.
    #[must_use]
    pub fn estimate_count(&self) -> u64 {
        self.pressures.estimate_count()
    }

    /// Allows or forbids that tasks start. The caller forbids it while it can't confirm what it has told the scheduler
    /// of queues, failure domains, workers and jobs. Runs continue.
    pub fn allow_starts(&mut self, is_allowed: bool) {
        self.is_start_allowed = is_allowed;
    }

    /// Sets the local time at which the ownership lease ends. No lease on a worker is granted beyond it, because a
    /// successor relies on that. Initially there is no limit.
    pub fn limit_leases(&mut self, until: Duration) {
        self.leases_until = until;
    }

    /// Returns the length of a lease that is granted at `now`; zero if none may be granted.
    fn lease_length(&self, now: Duration) -> Duration {
        self.timing.lease.min(self.leases_until.saturating_sub(now))
    }

    /// Sets the size, in bytes, of the largest row that the store accepts. Applies to jobs that are added later; initially
    /// there is no limit.
    pub fn limit_rows(&mut self, max_row_bytes: usize) {
        self.max_row_bytes = max_row_bytes;
    }

    /// Replaces the set of failure domains that are closed to new tasks. Runs there continue.
    pub fn on_domains_out(&mut self, out: BTreeSet<String>) {
        if out != self.domains_out {
            event::DOMAINS_OUT.emit(format_args!("epoch={} out={out:?}", self.epoch));
            self.domains_out = out;
            self.is_placement_due = true;
        }
    }

    /// Replaces the VM list. Workers that are no longer listed are kept while they answer or their leases may be valid.
    pub fn on_listing(&mut self, now: Duration, entries: Vec<WorkerListing>) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for worker in self.workers.values_mut() {
            if !listed.contains(&worker.listing.id) {
                worker.unlisted_since.get_or_insert(now);
            }
        }
        for entry in entries {
            let Some(worker) = self.workers.get_mut(&entry.id) else {
                self.workers.insert(Worker::new(entry, now));
                continue;
            };
            worker.unlisted_since = None;
            worker.is_departed = false;
            let is_new_incarnation = worker.is_new_incarnation(&entry);
            let starts_to_drain = entry.is_draining && !worker.listing.is_draining;
            let before = worker.listing.capacity;
            let has_other_capacity = entry.capacity != before;
            let id = entry.id.clone();
            if is_new_incarnation {
                // The entry so far tells whether the last incarnation was draining.
                let started = entry.incarnation_started_unix_ms;
                self.on_new_incarnation(&id, started, RestartSign::VmList, now);
            }
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.set_listing(entry);
                if has_other_capacity {
                    worker.invalidate_estimates();
                }
            }
            if has_other_capacity {
                self.on_capacity_changed(now, &id, &before);
            }
            if starts_to_drain {
                self.on_draining(&id, now);
            }
        }
        self.is_placement_due = true;
    }

    /// Adds an accepted job that has no progress row yet.
    pub fn on_job(&mut self, job: AcceptedJob) {
        if !self.jobs.contains_key(&job.id) && !self.rows.has_ended(job.id) {
            let per_row = progress::tasks_per_row(self.max_row_bytes);
            let progress = Progress::for_job(&job.spec, per_row);
            self.insert_job(job, progress, HeadState::Missing);
        }
    }

    /// Adds a job that has progress rows, written by a previous owner.
    ///
    /// # Errors
    ///
    /// Returns an error if a row can't be decoded or does not match the job's steps.
    pub fn on_job_with_progress(
        &mut self,
        job: AcceptedJob,
        rows: &StoredRows,
    ) -> Result<(), progress::ProgressError> {
        let mut progress = Progress::decode_rows(&job.spec, &rows.head, &rows.parts)?;
        if progress.state.is_final() {
            self.rows.record_ended(job.id);
        } else {
            self.inherited.add(job.id, &mut progress);
            let is_divided = progress.tasks_per_row.is_some();
            let per_row = progress::tasks_per_row(self.max_row_bytes);
            let id = job.id;
            if !is_divided {
                // Written by a version that keeps all tasks in one row, or the job has few tasks.
                for row in progress.divide(&job.spec, per_row) {
                    self.rows.mark_urgent((id, row));
                }
            }
            let head = match (is_divided, progress.tasks_per_row) {
                (false, Some(_)) => HeadState::Undivided,
                _ => HeadState::Stored,
            };
            if head == HeadState::Undivided {
                self.rows.mark_urgent((id, ProgressRow::Head));
            }
            self.insert_job(job, progress, head);
        }
        Ok(())
    }

    fn insert_job(&mut self, job: AcceptedJob, progress: Progress, head: HeadState) {
        let id = job.id;
        let names = job.spec.steps.iter().map(|step| step.image.as_deref());
        let images = names.map(|name| name.map(|name| self.pressures.image(name))).collect();
        let queue = self.queues.of_job(job.queue);
        self.jobs.insert(
            id,
            Job {
                queue,
                accepted_unix_ms: job.accepted_unix_ms,
                spec: job.spec,
                images,
                progress,
                home: None,
                head,
                step_began: BTreeMap::new(),
                avoid: BTreeMap::new(),
            },
        );
        self.begin_due_occurrences(id);
        self.add_stored_suspects(id);
        self.end_if_over_budget(id);
        self.queue_ready_tasks(id);
    }

    /// Cancels a job: stops its runs and starts none of its tasks any more.
    pub fn on_cancel(&mut self, now: Duration, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.progress.state.is_final() {
            event::JOB_ENDED.emit(format_args!("job={id} state=cancelled by=caller"));
            self.end_job(now, id, JobState::Cancelled);
        }
    }

    /// Ends a job: removes its waiting tasks and stops its runs.
    fn end_job(&mut self, now: Duration, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.progress.state = state;
        let occurrences: Vec<u32> = job.progress.occurrences.keys().copied().collect();
        let steps = job.spec.steps.len();
        for occurrence in occurrences {
            for step in 0..steps {
                let step = crate::job::StepId { job: id, occurrence, step: step as u16 };
                self.waiting.remove_step(&step);
            }
        }
        for (task, workers) in self.runs_of(id) {
            for worker in workers {
                self.stop_run(now, &worker, &task, true);
            }
        }
        self.rows.mark_urgent((id, ProgressRow::Head));
    }

    fn runs_of(&self, id: JobId) -> Vec<(JobTaskId, Vec<WorkerId>)> {
        let key = |occurrence, step, index| JobTaskId {
            step: crate::job::StepId { job: id, occurrence, step },
            index,
        };
        let range = key(0, 0, 0)..=key(u32::MAX, u16::MAX, u16::MAX);
        self.live.range(range).map(|(task, workers)| (*task, workers.clone())).collect()
    }

    /// Queues a stop command for a run. The task of an abandoned run is not started again.
    fn stop_run(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        task: &JobTaskId,
        is_abandoned: bool,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        interference::update_shares(worker, now);
        let Some(run) = worker.runs.get_mut(task) else { return };
        run.is_abandoned |= is_abandoned;
        match run.phase {
            Phase::Reserved => {
                self.drop_run(worker_id, task);
                return;
            }
            Phase::Active => run.phase = Phase::Stopping,
            Phase::Starting => run.phase = Phase::InDoubt,
            Phase::Stopping | Phase::InDoubt => {}
        }
        if run.is_stop_in_flight || run.stop_answered.is_some() {
            return;
        }
        run.is_stop_in_flight = true;
        run.stop_queued_at = Some(now);
        let kind = CommandKind::Stop { task: *task, run: run.number };
        let command = worker.command(kind);
        self.commands.push(command);
    }

    /// IDs of the workers of the shard that are in the VM list or may still run something.
    #[must_use]
    pub fn worker_ids(&self) -> Vec<String> {
        self.workers.iter().map(|(id, _)| id.as_str().to_owned()).collect()
    }

    /// Returns why a worker may get no new tasks, or `None` if it may.
    fn unusable_cause(
        &self,
        id: &WorkerId,
        worker: &Worker,
        now: Duration,
    ) -> Option<UnusableCause> {
        if self.inherited.reported_unreached.contains(id) {
            return Some(UnusableCause::ReportedUnreached);
        }
        let is_domain_out = self.domains_out.contains(&worker.listing.domain);
        let cause = pick::unusable_cause(worker, now, is_domain_out);
        let is_healthy = matches!(cause, None | Some(UnusableCause::Probation));
        if is_healthy && self.is_on_trial(worker) { Some(UnusableCause::OnTrial) } else { cause }
    }

    /// Current load of the shard, for metrics and the log.
    #[must_use]
    pub fn load(&self, now: Duration) -> Load {
        let mut usable: Vec<&Worker> = Vec::new();
        let mut unusable: BTreeMap<UnusableCause, usize> = BTreeMap::new();
        for (id, worker) in self.workers.iter() {
            match self.unusable_cause(id, worker, now) {
                Some(cause) => *unusable.entry(cause).or_default() += 1,
                None => usable.push(worker),
            }
        }
        Load {
            usable_workers: usable.len(),
            unusable_workers: unusable,
            free_cpu_millis: usable.iter().map(|worker| worker.free().cpu_millis).sum(),
            most_free_cpu_millis: usable.iter().map(|w| w.free().cpu_millis).max().unwrap_or(0),
            leftover_cpu_millis: usable.iter().map(|worker| worker.leftover_cpu()).sum(),
            best_effort: BestEffort::of(&self.workers),
            waiting_tasks: self.waiting.tasks_by_priority(),
            jobs: self.jobs.len(),
            unreachable_jobs: self.queues.unreachable_jobs(),
            waiting_steps: self.waiting.step_count(),
            runs: self.live.len(),
            workers: self.workers.len(),
            unreached_workers: self.inherited.len(),
        }
    }

    /// Performs the work that is due at `now`. `unix_ms` is the wall time; `confirmed` is the newest time at which this
    /// process was certainly the owner.
    pub fn tick(&mut self, now: Duration, unix_ms: u64, confirmed: Duration) {
        self.now = now;
        self.unix_ms = unix_ms;
        let elapsed = now.saturating_sub(self.last_housekeeping);
        if elapsed >= HOUSEKEEPING_PERIOD {
            self.last_housekeeping = now;
            self.run_housekeeping(now, confirmed);
        }
        self.place(now);
        self.request_renewals(now);
    }

    /// Performs the checks of all workers and jobs.
    fn run_housekeeping(&mut self, now: Duration, confirmed: Duration) {
        self.begin_scheduled_occurrences();
        self.clear_suspects();
        self.forget_old_crashes();
        self.resolve_lapsed(now, confirmed);
        self.resolve_inherited(now);
        self.log_starts_left_out(now);
        self.repeat_commands(now, confirmed);
    }

    fn begin_scheduled_occurrences(&mut self) {
        let scheduled = |job: &Job| job.spec.schedule.is_some() && !job.progress.state.is_final();
        let ids: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| scheduled(job)).map(|(id, _)| *id).collect();
        for id in ids {
            self.begin_due_occurrences(id);
        }
    }

    /// Begins the due occurrences of a job. A job without a schedule has one, which is due at once.
    fn begin_due_occurrences(&mut self, id: JobId) {
        let unix_ms = self.unix_ms;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let mut begun = Vec::new();
        while job.progress.next_occurrence < job.spec.occurrences() {
            let next = job.progress.next_occurrence;
            if job.spec.schedule.is_some_and(|schedule| schedule.due_unix_ms(next) > unix_ms) {
                break;
            }
            begun.push(job.progress.begin_occurrence(&job.spec));
        }
        if !begun.is_empty() && self.jobs.get(&id).is_some_and(|job| job.spec.schedule.is_some()) {
            self.rows.mark_head(id);
            self.queue_ready_tasks(id);
        }
    }

    /// Queues the tasks of a job whose steps may start and that neither run nor wait.
    fn queue_ready_tasks(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.progress.state.is_final() {
            return;
        }
        let times = self.times_of(job);
        let policy = job.queue.policy();
        for (number, occurrence) in &job.progress.occurrences {
            for (index, step) in job.spec.steps.iter().enumerate() {
                if !step.after.iter().all(|after| occurrence.is_step_done(*after)) {
                    continue;
                }
                let key = crate::job::StepId { job: id, occurrence: *number, step: index as u16 };
                let rank = rank(job, &policy, times, *number, index);
                for (task, progress) in occurrence.steps[index].iter().enumerate() {
                    let task = JobTaskId { step: key, index: task as u16 };
                    let may_run = self.live.contains_key(&task) || self.inherited.has(&task);
                    if !progress.is_done && !may_run {
                        let is_new = progress.last_run == 0;
                        self.waiting.push(rank, task, WaitingTask { is_new, since: self.now });
                        self.is_placement_due = true;
                    }
                }
            }
        }
    }

    /// Queues a task again after a run that did not succeed.
    fn requeue(&mut self, task: &JobTaskId) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let may_run = self.live.contains_key(task) || self.inherited.has(task);
        if job.progress.state.is_final() || may_run {
            return;
        }
        let Some(progress) = job.progress.task(task).filter(|progress| !progress.is_done) else {
            return;
        };
        let is_new = progress.last_run == 0;
        let step = usize::from(task.step.step);
        let rank = self.rank(job, task.step.occurrence, step);
        self.waiting.push(rank, *task, WaitingTask { is_new, since: self.now });
        self.is_placement_due = true;
    }

    fn rank(&self, job: &Job, occurrence: u32, step: usize) -> Rank {
        rank(job, &job.queue.policy(), self.times_of(job), occurrence, step)
    }

    fn times_of(&self, job: &Job) -> StepTimeRatios {
        self.times.get(job.queue.name()).copied().unwrap_or_default()
    }

    fn next_run(&self, last_run: u32) -> u32 {
        let first = (self.epoch.saturating_sub(1) * RUNS_PER_EPOCH + 1).min(u64::from(u32::MAX));
        last_run.saturating_add(1).max(first as u32)
    }
}

/// Load of a shard at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Workers that may get tasks.
    pub usable_workers: usize,
    /// Workers that may not, by cause.
    pub unusable_workers: BTreeMap<UnusableCause, usize>,
    /// Uncommitted processors on them, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// The most uncommitted processors on one of them.
    pub most_free_cpu_millis: u64,
    /// Estimated unused processors on them, in thousandths of a core; negative if they are overcommitted.
    pub leftover_cpu_millis: i64,
    /// Totals of the best-effort tasks.
    pub best_effort: BestEffort,
    /// Waiting tasks by priority of their queue.
    pub waiting_tasks: BTreeMap<u32, usize>,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs among them whose queues are not in the newest config, so that callers can't reach them.
    pub unreachable_jobs: usize,
    /// Steps with waiting tasks.
    pub waiting_steps: usize,
    /// Tasks that have, or may have, a run.
    pub runs: usize,
    /// Workers that are listed or may still run something.
    pub workers: usize,
    /// Workers with runs of a previous owner that have not answered this one.
    pub unreached_workers: usize,
}

/// Totals of the tasks that use leftover processors. Processors are in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BestEffort {
    /// Active tasks.
    pub tasks: usize,
    /// Processors that they ask for.
    pub asked: u64,
    /// Processors that they may use under their CPU limits.
    pub allowed: u64,
    /// Processors that they use, as last reported.
    pub used: u64,
}

impl BestEffort {
    fn of(workers: &WorkerMap) -> Self {
        let mut sum = Self::default();
        let runs = workers.values().flat_map(|worker| worker.runs.values());
        for run in runs.filter(|run| run.leftover_cpu > 0 && run.phase == Phase::Active) {
            sum.tasks += 1;
            sum.asked += run.leftover_cpu;
            sum.allowed += run.leftover_cpu * u64::from(run.cpu_percent) / 100;
            sum.used += run.load;
        }
        sum
    }
}

/// Computes the rank of a step. Its latest start leaves time for the rest of its chain within the job's objective.
fn rank(
    job: &Job,
    policy: &QueuePolicy,
    times: StepTimeRatios,
    occurrence: u32,
    step: usize,
) -> Rank {
    let due = job.spec.schedule.map_or(job.accepted_unix_ms, |s| s.due_unix_ms(occurrence));
    let chain_ms = times.unloaded_ms(job.spec.chain().as_millis() as f64);
    let objective_ms = policy.stretch * chain_ms + policy.target_latency_ms as f64;
    let left_ms = times.typical_ms(job.spec.chain_from(step).as_millis() as f64) as u64;
    let is_long_running = job.spec.steps[step].is_long_running;
    let start_by = (due + objective_ms as u64).saturating_sub(left_ms);
    let is_begun = job.progress.state != JobState::Queued;
    let start_by_unix_ms = (!is_long_running).then_some(start_by);
    Rank {
        priority: policy.priority,
        start_by_unix_ms,
        objective_ms: objective_ms as u64,
        is_begun,
    }
}
