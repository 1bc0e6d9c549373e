//! Log lines that tell, for a task that ran twice, which owner started which run, and what released the first one.
//!
//! The lines of two owners are compared by epoch, run number, start time of the worker's incarnation, and version of
//! the rows that they wrote or read. All of them are bounded, because a change of owner concerns hundreds of workers
//! and thousands of tasks at once.

use std::fmt::{self, Display};
use std::time::Duration;

use crate::job::JobTaskId;
use crate::shard::lapse::LeaseEnd;
use crate::shard::worker::{Phase, Run, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::ShardScheduler;
use super::incarnations::RestartSign;
use super::rows::PlannedStart;

/// Most tasks that a line names.
const MAX_NAMED_TASKS: usize = 8;

/// Time from the claim on within which first runs of tasks are logged as well.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(15);

/// Period to which the limits on logged starts apply.
const START_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Most starts that are logged in a period.
const MAX_LOGGED_STARTS: u32 = 50;

/// Most first runs among them: a task without an earlier run rarely runs twice.
const MAX_LOGGED_FIRST_RUNS: u32 = 10;

/// What shows that a worker does not have the recorded runs that it did not list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReleaseCause {
    /// The worker has listed all its runs.
    Listed,
    /// Another worker answered at its address.
    Replaced,
}

/// Limits the logged starts, and counts those that were left out.
#[derive(Debug, Default)]
pub(super) struct StartLog {
    /// Version of the newest stored rows; 0 before the first.
    pub(super) rows_version: u64,
    period_began: Duration,
    logged: u32,
    left_out: u32,
}

impl StartLog {
    /// Returns true if a start may be logged.
    fn admit(&mut self, is_first_run: bool) -> bool {
        let limit = if is_first_run { MAX_LOGGED_FIRST_RUNS } else { MAX_LOGGED_STARTS };
        let is_admitted = self.logged < limit;
        if is_admitted {
            self.logged += 1;
        } else {
            self.left_out += 1;
        }
        is_admitted
    }

    /// Begins a new period if one is due, and logs how many starts the last one left out.
    fn begin_period(&mut self, now: Duration, epoch: u64) {
        if now.saturating_sub(self.period_began) < START_LOG_PERIOD {
            return;
        }
        if self.left_out > 0 {
            let (logged, left_out) = (self.logged, self.left_out);
            event::STARTS_LEFT_OUT
                .emit(format_args!("epoch={epoch} logged={logged} left_out={left_out}"));
        }
        (self.period_began, self.logged, self.left_out) = (now, 0, 0);
    }
}

impl ShardScheduler {
    /// Returns the number of workers, and of tasks on them, that the rows of the previous owner name.
    #[must_use]
    pub fn recorded_workers_and_tasks(&self) -> (usize, usize) {
        (self.inherited.len(), self.inherited.task_count())
    }

    /// Returns the number of recorded tasks whose newest start may have got no answer.
    #[must_use]
    pub fn unanswered_start_count(&self) -> usize {
        self.inherited.unanswered_count()
    }

    /// Sets the version of the rows that were just stored, for the log. Starts that [`Self::on_written`] queues carry
    /// it.
    pub fn set_rows_version(&mut self, version: u64) {
        self.start_log.rows_version = version;
    }

    /// Returns the local time at which the last lease that this owner may have granted has lapsed; `None` if it granted
    /// none.
    #[must_use]
    pub fn leases_lapsed_at(&self) -> Option<Duration> {
        let kill_time = self.timing.kill_time;
        self.workers.values().filter_map(|worker| lapsed_at(worker, kill_time)).max()
    }

    /// Logs that tasks are released whose recorded worker does not have them. The answer to the renewal that shows it
    /// was sent for `age` ago.
    pub(super) fn log_released(
        &self,
        worker_id: &WorkerId,
        tasks: &[JobTaskId],
        cause: ReleaseCause,
        age: Duration,
    ) {
        if tasks.is_empty() {
            return;
        }
        let worker = self.workers.get(worker_id);
        let answering = worker.and_then(|worker| worker.incarnation_started_unix_ms);
        let listed = worker.and_then(|worker| worker.listing.incarnation_started_unix_ms);
        let is_recorded = |task: &JobTaskId| self.recorded_incarnation(task) == answering;
        let cause = match cause {
            ReleaseCause::Replaced => "replaced",
            ReleaseCause::Listed if tasks.iter().all(is_recorded) => "not-listed",
            ReleaseCause::Listed => "other-incarnation",
        };
        event::INHERITED_RELEASED.emit(format_args!(
            "worker={worker_id} epoch={} cause={cause} age_ms={} answering={} vm_list={} tasks={} recorded={}",
            self.epoch,
            age.as_millis(),
            Incarnation(answering),
            Incarnation(listed),
            tasks.len(),
            self.recorded_runs(tasks)
        ));
    }

    /// Logs that no lease of a previous owner is left on a worker that did not answer. The time at which they had lapsed
    /// follows from what the previous owner's heartbeat said of the worker, or from the end of its ownership lease.
    pub(super) fn log_lapsed(
        &self,
        now: Duration,
        worker_id: &WorkerId,
        lapsed: Duration,
        tasks: &[JobTaskId],
    ) {
        let is_named = lapsed < self.inherited.predecessor_lapsed;
        event::INHERITED_LAPSED.emit(format_args!(
            "worker={worker_id} tasks={} epoch={} from={} lapsed_ms_ago={} claimed_ms_ago={} recorded={}",
            tasks.len(),
            self.epoch,
            if is_named { "heartbeat-suspects" } else { "ownership-lease" },
            now.saturating_sub(lapsed).as_millis(),
            now.saturating_sub(self.inherited.claimed).as_millis(),
            self.recorded_runs(tasks)
        ));
    }

    /// Logs the runs, with their numbers, that were adopted from one list of a worker.
    pub(super) fn log_adopted(
        &self,
        worker_id: &WorkerId,
        adopted: &[(JobTaskId, u32)],
        age: Duration,
    ) {
        if adopted.is_empty() {
            return;
        }
        let worker = self.workers.get(worker_id);
        let answering = worker.and_then(|worker| worker.incarnation_started_unix_ms);
        let named = adopted.iter().map(|(task, run)| format!("{task}:{run}"));
        event::RUNS_ADOPTED.emit(format_args!(
            "worker={worker_id} epoch={} age_ms={} answering={} runs={} adopted={}",
            self.epoch,
            age.as_millis(),
            Incarnation(answering),
            adopted.len(),
            first_few(named)
        ));
    }

    /// Logs a restart, with the runs that end with the earlier incarnation and those that the new one may have.
    pub(super) fn log_restart(
        &self,
        worker_id: &WorkerId,
        started_unix_ms: Option<u64>,
        sign: RestartSign,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let runs = worker.runs.iter().filter(|(_, run)| run.phase != Phase::Reserved);
        let (ended, kept): (Vec<_>, Vec<_>) = runs.partition(|(_, run)| run.is_listed);
        let named = |runs: &[(&JobTaskId, &Run)]| {
            first_few(runs.iter().map(|(task, run)| {
                let since = now.saturating_sub(run.phase_since).as_millis();
                format!("{task}:{}:{:?}:{since}", run.number, run.phase)
            }))
        };
        event::WORKER_RESTARTED.emit(format_args!(
            "worker={worker_id} runs={} epoch={} sign={} incarnation={} after={} ended={} kept={} first_kept={}",
            worker.runs.len(),
            self.epoch,
            sign.name(),
            Incarnation(started_unix_ms),
            Incarnation(worker.incarnation_started_unix_ms),
            ended.len(),
            kept.len(),
            named(&kept)
        ));
    }

    /// Logs a start. At level info, starts are logged of tasks that have had a run, and of all tasks in the time after a
    /// takeover.
    pub(super) fn log_start(&mut self, now: Duration, planned: &PlannedStart) {
        let is_first_run = planned.earlier_run == 0;
        let is_takeover = now.saturating_sub(self.inherited.claimed) < TAKEOVER_PERIOD;
        let is_relevant = !is_first_run || is_takeover;
        self.start_log.begin_period(now, self.epoch);
        let is_logged = is_relevant && self.start_log.admit(is_first_run);
        let event = if is_logged { &event::START_LOGGED } else { &event::START_DETAIL };
        let worker = self.workers.get(&planned.worker);
        let incarnation = worker.and_then(|worker| worker.incarnation_started_unix_ms);
        event.emit(format_args!(
            "task={} run={} after={} worker={} incarnation={} epoch={} row_version={} waited_ms={}",
            planned.task,
            planned.run,
            planned.earlier_run,
            planned.worker,
            Incarnation(incarnation),
            self.epoch,
            self.start_log.rows_version,
            planned.waited.as_millis()
        ));
    }

    /// Logs how many starts were left out, once their period is over.
    pub(super) fn log_starts_left_out(&mut self, now: Duration) {
        self.start_log.begin_period(now, self.epoch);
    }

    pub(super) fn recorded_incarnation(&self, task: &JobTaskId) -> Option<u64> {
        let progress = self.jobs.get(&task.step.job)?.progress.task(task)?;
        progress.worker_started_unix_ms
    }

    /// Names some of the tasks, with the run and the incarnation of the worker that their rows have.
    fn recorded_runs(&self, tasks: &[JobTaskId]) -> String {
        first_few(tasks.iter().map(|task| {
            let run = self.last_run(task);
            format!("{task}:{run}:{}", Incarnation(self.recorded_incarnation(task)))
        }))
    }
}

/// Latest local time at which a lease that this owner granted on a worker has lapsed.
fn lapsed_at(worker: &Worker, kill_time: Duration) -> Option<Duration> {
    match worker.lease.end(kill_time) {
        LeaseEnd::None => None,
        LeaseEnd::By(end) | LeaseEnd::UnknownBy(end) => Some(end),
    }
}

/// Fields of a log line that say how long ago the newest lease on a worker was granted, and in what time all leases
/// there have lapsed; `-` if there is none.
pub(super) fn newest_lease(worker: &Worker, now: Duration, kill_time: Duration) -> String {
    let ms = |time: Option<Duration>| time.map_or("-".to_owned(), |t| t.as_millis().to_string());
    let granted = worker.lease.granted().map(|at| now.saturating_sub(at));
    let lapsed = lapsed_at(worker, kill_time).map(|at| at.saturating_sub(now));
    format!("granted_ms_ago={} lapsed_in_ms={}", ms(granted), ms(lapsed))
}

/// Fields of a log line that say what was known of a run: its number, its phase, and whether the newest incarnation of its
/// worker had answered the start and had listed the run.
#[derive(Debug)]
pub(super) struct RunState<'a>(pub(super) Option<&'a Run>);

impl Display for RunState<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(run) = self.0 else { return f.write_str("run=-") };
        write!(
            f,
            "run={} phase={:?} started={} confirmed={} listed={} stopped={}",
            run.number,
            run.phase,
            run.is_started,
            run.is_confirmed,
            run.is_listed,
            run.stop_answered.is_some()
        )
    }
}

/// Start time of an incarnation of a worker, in milliseconds since the Unix epoch; `-` if it is not known.
#[derive(Clone, Copy, Debug)]
pub(super) struct Incarnation(pub(super) Option<u64>);

impl Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(started_unix_ms) => write!(f, "{started_unix_ms}"),
            None => f.write_str("-"),
        }
    }
}

fn first_few(values: impl Iterator<Item = String>) -> String {
    values.take(MAX_NAMED_TASKS).collect::<Vec<_>>().join(",")
}
