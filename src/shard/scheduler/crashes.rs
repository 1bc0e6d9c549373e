//! Tasks that crash the workers that start them.
//!
//! A crash leaves no end that a worker could list: the worker answers later as another incarnation and runs nothing.
//! All runs that it had may be the cause, so each of them is recorded in its job's progress row, by its number. A row
//! that is written again, or read by a new owner, therefore neither forgets a crash nor counts it twice. If a worker
//! restarts around a change of owner, the new owner compares its incarnation with the one that is stored with the
//! placement.
//!
//! What counts as a crash:
//!
//! - Another incarnation of a worker that had runs, whether the worker answered in between or its leases had lapsed. A
//!   start without an answer counts as well, because the worker may have received it. While many workers crash, it is
//!   as likely that the worker was lost before: such a crash makes the task a suspect, but does not convict it, unless
//!   there are [`DOUBTFUL_CRASHES_LIMIT`] of them and others together.
//! - Not a draining worker, which ends its runs as announced.
//! - Not a worker that is unreachable, even if its leases lapse: it may be cut off and still be the same incarnation.
//!   Its runs are kept until it answers again. A worker that never does so is not counted, because from here its crash
//!   can't be told from a long partition.
//! - Not a crash of most workers of a failure domain or rack at about the same time: that has a common cause, such as a
//!   loss of power, and would make suspects of hundreds of tasks.
//! - A crash of an eighth of the fleet at about the same time, from the second one of a task on: several tasks that crash
//!   their workers may cause it as well.
//!
//! Only runs that had not been active for [`PROVEN_AFTER`] are recorded, since a task that crashes its worker does so
//! soon after its start. If the worker had no such run, all of its runs are recorded.
//!
//! A task is given up, and its job fails, after [`CLEAR_CRASHES_LIMIT`] crashes if it was the only suspect of the last
//! one and few other workers crashed at that time, and after [`CRASHES_LIMIT`] in any case. A gang is one suspect:
//! its members share their runs, and a run counts once, however many workers crashed under it. A task of any occurrence
//! fails the whole job. Success clears a suspect, as does being active
//! for [`PROVEN_AFTER`] if it is a long-running task, which would otherwise collect unrelated crashes.
//!
//! To find the cause among several suspects, they are tried: see [`super::trials`].
//!
//! The worker is not put on probation for a crash, because the next task there may be as good as any.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobId, JobState, JobTaskId, Progress, StepId};
use crate::shard::worker::{Phase, Run, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::trials::Trial;
use super::{Job, ShardScheduler};

/// Crashes after which a task is given up if no other task can have caused the last one, nor what made other workers
/// crash at that time.
const CLEAR_CRASHES_LIMIT: usize = 2;

/// Crashes after which a task is given up in any case. Callers allow two starts more; they are left as a reserve for
/// crashes that can't be seen.
const CRASHES_LIMIT: usize = 3;

/// Crashes, doubtful ones among them, after which a task is given up. Callers allow two starts after the third crash.
const DOUBTFUL_CRASHES_LIMIT: usize = 4;

/// Workers that crash or are silent at about the same time from which a crash is one among many: it is doubtful for a
/// start without an answer, and it is not clear for the only suspect.
const MIN_CRASHES_AMONG_MANY: usize = 6;

/// Time for which a run must have been active to be no suspect: tasks that crash their workers do so within this time
/// after their start.
const PROVEN_AFTER: Duration = Duration::from_secs(3);

/// Workers that were last heard of within this time of each other may have crashed together: the longest time for which
/// a worker with runs holds back an answer.
const MASS_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Age of a worker's last answer from which the worker may be down, although its renewal has not failed yet. Longer
/// than a worker with runs holds back an answer.
const QUIET_AFTER: Duration = Duration::from_millis(1_200);

/// Smallest number of workers that can make a mass crash; fewer are as likely to be a coincidence.
const MIN_MASS_CRASH: usize = 4;

/// Smallest number of workers of any domain and rack that can make a mass crash.
const MIN_FLEET_CRASH: usize = 6;

/// A run that was, or may have been, on a worker incarnation that has ended.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    task: JobTaskId,
    number: u32,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    worker_started_unix_ms: Option<u64>,
    /// Whether the run had been active for [`PROVEN_AFTER`].
    is_proven: bool,
    /// Whether the worker is known to have had the run.
    is_certain: bool,
}

/// A crash, as it counts for the runs that were lost with the worker.
#[derive(Clone, Copy, Debug)]
struct CrashKind {
    mass: MassCrash,
    /// Whether so many workers crashed or are silent that the crash says little about the runs that were lost.
    is_among_many: bool,
}

/// Whether a worker crashed together with many others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MassCrash {
    None,
    /// Many workers anywhere: tasks may have caused it.
    OfFleet,
    /// Most of a failure domain or rack: tasks did not cause it.
    OfPlace,
}

/// Crashes that are not part of a job's progress.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Tasks with crashed runs, and the other members of their gangs. May contain tasks that were cleared since.
    pub(super) suspects: BTreeSet<JobTaskId>,
    /// Suspects whose next run is a trial: those that were not proven when their worker crashed, and those that a
    /// previous owner recorded. Subset of `suspects`.
    pub(super) untried: BTreeSet<JobTaskId>,
    /// Newest run of each suspect that was placed as a trial and has not passed it.
    pub(super) trials: BTreeMap<JobTaskId, (u32, Trial)>,
    /// Suspects of each job that were cleared by trials since a worker last crashed under the job.
    pub(super) cleared: BTreeMap<JobId, usize>,
    /// Runs whose leases lapsed on a worker that did not answer. Whether it has crashed is known once it answers again.
    unresolved: BTreeMap<WorkerId, Vec<LostRun>>,
    /// Workers that crashed within [`MASS_CRASH_WINDOW`] or not long before, with the local time of their last answer.
    recent: BTreeMap<WorkerId, Duration>,
}

/// Suspect that is counted as one: a task, or the first member of a gang.
pub(super) fn suspect_of(job: &Job, task: &JobTaskId) -> JobTaskId {
    let step = job.spec.steps.get(usize::from(task.step.step));
    if step.is_some_and(|step| step.is_gang) { JobTaskId { index: 0, ..*task } } else { *task }
}

/// Tasks that share the runs of a task: all members of its gang, otherwise the task alone.
pub(super) fn members_of(job: &Job, task: &JobTaskId) -> Vec<JobTaskId> {
    let step = job.spec.steps.get(usize::from(task.step.step));
    let gang = step.filter(|step| step.is_gang).map(|step| step.count as u16);
    match gang {
        Some(count) => (0..count).map(|index| JobTaskId { index, ..*task }).collect(),
        None => vec![*task],
    }
}

/// Runs of a task or gang that ended with crashes, each with the workers that crashed.
type CrashedRuns = BTreeMap<u32, BTreeSet<Rc<str>>>;

/// Crashed runs that count against a task or gang: all but its first one in a mass crash, and without doubtful ones.
/// All members of a gang share a run, so the loss of several of their workers in one run counts once.
fn crashes_of(job: &Job, task: &JobTaskId) -> CrashedRuns {
    let members = members_of(job, task);
    let progress: Vec<_> = members.iter().filter_map(|member| job.progress.task(member)).collect();
    let crashed = progress.iter().flat_map(|progress| &progress.crashed_runs);
    let mass_crashed = || progress.iter().flat_map(|progress| &progress.mass_crashed_runs);
    let first = mass_crashed().map(|(run, _)| *run).min();
    by_run(crashed.chain(mass_crashed().filter(|(run, _)| Some(**run) != first)))
}

fn by_run<'a>(crashes: impl Iterator<Item = (&'a u32, &'a Rc<str>)>) -> CrashedRuns {
    let mut runs = CrashedRuns::new();
    for (run, worker) in crashes {
        runs.entry(*run).or_default().insert(Rc::clone(worker));
    }
    runs
}

/// Returns true if a crash counts against a task or gang, or a doubtful one makes it a suspect. The same as a result of
/// [`crashes_of`] or [`doubtful_crashes_of`] that is not empty, but without collecting them: this is asked for each
/// suspect in each pass.
fn has_counted_crash(job: &Job, task: &JobTaskId) -> bool {
    let step = job.spec.steps.get(usize::from(task.step.step));
    let members = match step.filter(|step| step.is_gang) {
        Some(step) => 0..step.count as u16,
        None => task.index..task.index + 1,
    };
    let mut first_mass_crash = None;
    for index in members {
        let Some(progress) = job.progress.task(&JobTaskId { index, ..*task }) else { continue };
        if !progress.crashed_runs.is_empty() || !progress.doubtful_crashed_runs.is_empty() {
            return true;
        }
        for run in progress.mass_crashed_runs.keys() {
            if *first_mass_crash.get_or_insert(*run) != *run {
                return true;
            }
        }
    }
    false
}

/// Doubtful crashed runs of a task or gang.
fn doubtful_crashes_of(job: &Job, task: &JobTaskId) -> CrashedRuns {
    let members = members_of(job, task);
    let progress = members.iter().filter_map(|member| job.progress.task(member));
    by_run(progress.flat_map(|progress| &progress.doubtful_crashed_runs))
}

/// Returns true if a worker has a run that may still crash it.
pub(super) fn has_unproven_run(worker: &Worker) -> bool {
    worker.runs.values().any(|run| !is_proven(run, worker))
}

/// Returns true if a run had been active for [`PROVEN_AFTER`] when its worker last answered.
pub(super) fn is_proven(run: &Run, worker: &Worker) -> bool {
    let is_active = matches!(run.phase, Phase::Active | Phase::Stopping);
    let seen = worker.answered.unwrap_or_default();
    is_active && seen.saturating_sub(run.phase_since) >= PROVEN_AFTER
}

impl ShardScheduler {
    /// Removes and returns the runs that a worker's last incarnation may have had; `kept` is on the new one.
    pub(super) fn take_lost_runs(
        &mut self,
        worker_id: &WorkerId,
        kept: Option<&JobTaskId>,
    ) -> Vec<LostRun> {
        let mut lost = self.crashes.unresolved.remove(worker_id).unwrap_or_default();
        let Some(worker) = self.workers.get(worker_id) else { return lost };
        let sent = worker
            .runs
            .iter()
            .filter(|(task, run)| run.phase != Phase::Reserved && Some(*task) != kept);
        lost.extend(sent.map(|(task, run)| LostRun {
            task: *task,
            number: run.number,
            worker_started_unix_ms: worker.incarnation_started_unix_ms,
            is_proven: is_proven(run, worker),
            is_certain: run.is_started,
        }));
        lost
    }

    /// Keeps a run whose lease has lapsed until its worker answers again, which shows whether the worker has crashed.
    pub(super) fn keep_lapsed_run(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let Some(run) = worker.runs.get(task).filter(|run| run.phase != Phase::Reserved) else {
            return;
        };
        let lost = LostRun {
            task: *task,
            number: run.number,
            worker_started_unix_ms: worker.incarnation_started_unix_ms,
            is_proven: is_proven(run, worker),
            is_certain: run.is_started,
        };
        self.keep_unresolved(worker_id, lost);
    }

    /// The same for a run of a previous owner on a worker that has not answered this one.
    pub(super) fn keep_inherited_run(&mut self, worker_id: &WorkerId, task: &JobTaskId) {
        if let Some(lost) = self.inherited_run(task) {
            self.keep_unresolved(worker_id, lost);
        }
    }

    fn keep_unresolved(&mut self, worker_id: &WorkerId, lost: LostRun) {
        // Without an incarnation a restart can't be detected.
        if lost.worker_started_unix_ms.is_none() {
            return;
        }
        let jobs = &self.jobs;
        self.crashes.unresolved.retain(|_, runs| {
            runs.retain(|run| jobs.contains_key(&run.task.step.job));
            !runs.is_empty()
        });
        self.crashes.unresolved.entry(worker_id.clone()).or_default().push(lost);
    }

    fn inherited_run(&self, task: &JobTaskId) -> Option<LostRun> {
        let progress = self.jobs.get(&task.step.job)?.progress.task(task)?;
        let worker_started_unix_ms = progress.worker_started_unix_ms;
        Some(LostRun {
            task: *task,
            number: progress.last_run,
            worker_started_unix_ms,
            is_proven: false,
            is_certain: false,
        })
    }

    /// Resolves the lapsed runs of a worker that answers: they crashed with it if it has restarted since.
    pub(super) fn resolve_lapsed_runs(&mut self, worker_id: &WorkerId, started: Option<u64>) {
        let Some(mut lost) = self.crashes.unresolved.remove(worker_id) else { return };
        lost.retain(|run| run.worker_started_unix_ms < started);
        if lost.is_empty() {
            return;
        }
        let claimed = self.inherited.claimed;
        let answered = self.workers.get(worker_id).and_then(|worker| worker.answered);
        self.record_crash(worker_id, answered.unwrap_or(claimed), &lost);
    }

    /// Counts the runs of a previous owner that a worker does not have because it has restarted or was replaced.
    pub(super) fn record_inherited_crash(&mut self, worker_id: &WorkerId, tasks: &[JobTaskId]) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let is_replaced = worker.answered.is_none();
        let started = worker.incarnation_started_unix_ms;
        let mut lost: Vec<LostRun> =
            tasks.iter().filter_map(|task| self.inherited_run(task)).collect();
        lost.retain(|run| {
            let before = run.worker_started_unix_ms;
            before.is_some() && (is_replaced || before < started)
        });
        if lost.is_empty() {
            return;
        }
        self.record_crash(worker_id, self.inherited.claimed, &lost);
    }

    /// Records the crash of a worker that was last heard of at `seen`, and gives up the tasks that have crashed too
    /// many workers.
    pub(super) fn record_crash(&mut self, worker_id: &WorkerId, seen: Duration, lost: &[LostRun]) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let is_draining = worker.listing.is_draining;
        let CrashKind { mass, is_among_many } = self.crash_kind(worker_id, worker, seen);
        if !is_draining {
            self.crashes.recent.insert(worker_id.clone(), seen);
        }
        let mut runs: Vec<&LostRun> = lost.iter().filter(|run| self.is_open(&run.task)).collect();
        if runs.iter().any(|run| !run.is_proven) {
            runs.retain(|run| !run.is_proven);
        }
        if runs.is_empty() {
            return;
        }
        event::WORKER_CRASHED.emit(format_args!(
            "worker={worker_id} draining={is_draining} mass={} lost={} suspects={:?}",
            mass != MassCrash::None,
            lost.len(),
            runs.iter().map(|run| (run.task.to_string(), run.number)).collect::<Vec<_>>()
        ));
        if is_draining || mass == MassCrash::OfPlace {
            return;
        }
        let is_mass_crash = mass == MassCrash::OfFleet;
        let mut changed = BTreeSet::new();
        let mut suspects = BTreeSet::new();
        for run in runs {
            let Some(job) = self.jobs.get_mut(&run.task.step.job) else { continue };
            let suspect = suspect_of(job, &run.task);
            let members = members_of(job, &run.task);
            suspects.insert(suspect);
            self.crashes.cleared.remove(&run.task.step.job);
            let Some(progress) = job.progress.task_mut(&run.task) else { continue };
            let recorded = if is_among_many && !run.is_certain {
                &mut progress.doubtful_crashed_runs
            } else if is_mass_crash {
                &mut progress.mass_crashed_runs
            } else {
                &mut progress.crashed_runs
            };
            if recorded.insert(run.number, worker_id.shared()).is_none() {
                changed.insert(suspect);
                self.rows.mark((run.task.step.job, job.progress.row_of(&run.task)));
            }
            if !run.is_proven {
                self.crashes.untried.extend(members.iter().copied());
            }
            self.crashes.suspects.extend(members);
            if self.live.contains_key(&run.task) {
                // A suspect gets no speculative run.
                self.waiting.remove(&run.task);
            }
        }
        for suspect in changed {
            let is_clear = suspects.len() == 1 && !is_mass_crash && !is_among_many;
            self.give_up_if_due(&suspect, is_clear);
        }
    }

    pub(super) fn is_open(&self, task: &JobTaskId) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let is_open = job.progress.task(task).is_some_and(|progress| !progress.is_done);
        is_open && !job.progress.state.is_final()
    }

    fn give_up_if_due(&mut self, suspect: &JobTaskId, is_clear: bool) {
        let id = suspect.step.job;
        let Some(job) = self.jobs.get(&id) else { return };
        if job.progress.state.is_final() {
            return;
        }
        let crashes = crashes_of(job, suspect);
        let doubtful = doubtful_crashes_of(job, suspect);
        let all: BTreeSet<&u32> = crashes.keys().chain(doubtful.keys()).collect();
        let limit = if is_clear { CLEAR_CRASHES_LIMIT } else { CRASHES_LIMIT };
        if crashes.len() < limit && all.len() < DOUBTFUL_CRASHES_LIMIT {
            return;
        }
        event::TASK_GIVEN_UP.emit(format_args!(
            "job={id} task={suspect} only_suspect={is_clear} crashes={crashes:?} doubtful={doubtful:?}"
        ));
        event::JOB_ENDED
            .emit(format_args!("job={id} state=failed task={suspect} crashes={}", crashes.len()));
        self.end_job(self.now, id, JobState::Failed);
    }

    /// Returns whether so many workers were last heard of at about the same time as this one, and have crashed or are
    /// silent, that they may have a common cause.
    fn crash_kind(&self, worker_id: &WorkerId, crashed: &Worker, seen: Duration) -> CrashKind {
        // By address, because the list may still contain the predecessor of a worker that came back with a new ID.
        let mut down: BTreeMap<SocketAddr, (bool, &Worker)> = BTreeMap::new();
        for (id, worker) in self.workers.iter() {
            let is_down = id == worker_id || self.is_down_since(id, worker, seen);
            down.entry(worker.listing.address).or_insert((false, worker)).0 |= is_down;
        }
        let count = |is_counted: &dyn Fn(&Worker) -> bool| {
            let counted = down.values().filter(|(_, worker)| is_counted(worker));
            counted
                .fold((0, 0), |(down, all), (is_down, _)| (down + usize::from(*is_down), all + 1))
        };
        let domain = count(&|worker| worker.listing.domain == crashed.listing.domain);
        let rack = count(&|worker| worker.listing.rack() == crashed.listing.rack());
        let fleet = count(&|_| true);
        let is_most = |(down, all): (usize, usize)| down >= MIN_MASS_CRASH && down * 3 >= all * 2;
        let is_many = fleet.0 >= MIN_FLEET_CRASH && fleet.0 * 8 >= fleet.1;
        let mass = if is_most(domain) || is_most(rack) {
            MassCrash::OfPlace
        } else if is_many {
            MassCrash::OfFleet
        } else {
            MassCrash::None
        };
        CrashKind { mass, is_among_many: fleet.0 >= MIN_CRASHES_AMONG_MANY }
    }

    /// Returns true if a worker was last heard of at about `seen` and has crashed or been silent since.
    fn is_down_since(&self, id: &WorkerId, worker: &Worker, seen: Duration) -> bool {
        let is_near = |at: Duration| at.abs_diff(seen) <= MASS_CRASH_WINDOW;
        if self.crashes.recent.get(id).is_some_and(|at| is_near(*at)) {
            return true;
        }
        let claimed = self.inherited.claimed;
        if self.inherited.is_unreached(id) && is_near(claimed) && self.now >= claimed + QUIET_AFTER
        {
            return true;
        }
        worker.answered.is_some_and(|at| {
            is_near(at) && (worker.unanswered_renewals > 0 || self.now >= at + QUIET_AFTER)
        })
    }

    /// Adds the suspects of a job that a previous owner has recorded.
    pub(super) fn add_stored_suspects(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        for task in crashed_tasks(id, &job.progress) {
            let members = members_of(job, &task);
            self.crashes.untried.extend(members.iter().copied());
            self.crashes.suspects.extend(members);
        }
    }

    /// Clears long-running suspects that have been active for long enough, and forgets suspects whose tasks have ended.
    pub(super) fn clear_suspects(&mut self) {
        self.end_passed_trials();
        let suspects: Vec<JobTaskId> = self.crashes.suspects.iter().copied().collect();
        for task in suspects {
            if self.is_proven_long_running(&task)
                && let Some(job) = self.jobs.get_mut(&task.step.job)
            {
                for member in members_of(job, &task) {
                    if let Some(progress) = job.progress.task_mut(&member) {
                        progress.clear_crashes();
                        self.rows.mark((task.step.job, job.progress.row_of(&member)));
                    }
                }
            }
            if !self.is_suspect(&task) {
                self.crashes.suspects.remove(&task);
                self.crashes.untried.remove(&task);
                self.crashes.trials.remove(&task);
            }
        }
        self.forget_cleared_jobs();
    }

    fn is_proven_long_running(&self, task: &JobTaskId) -> bool {
        let step = self.jobs.get(&task.step.job).map(|job| &job.spec.steps);
        let step = step.and_then(|steps| steps.get(usize::from(task.step.step)));
        step.is_some_and(|step| step.is_long_running)
            && self.runs_of_task(task).any(|(w, run)| is_proven(run, w))
    }

    pub(super) fn runs_of_task<'a>(
        &'a self,
        task: &'a JobTaskId,
    ) -> impl Iterator<Item = (&'a Worker, &'a Run)> {
        let workers = self.live.get(task).into_iter().flatten();
        workers
            .filter_map(|id| self.workers.get(id))
            .filter_map(|worker| worker.runs.get(task).map(|run| (worker, run)))
    }

    /// Returns true if workers have crashed under a task or its gang, and it has not been cleared since.
    pub(super) fn is_suspect(&self, task: &JobTaskId) -> bool {
        if !self.crashes.suspects.contains(task) || !self.is_open(task) {
            return false;
        }
        self.jobs.get(&task.step.job).is_some_and(|job| has_counted_crash(job, task))
    }

    /// Forgets crashes that are too old to belong to a mass crash.
    pub(super) fn forget_old_crashes(&mut self) {
        let now = self.now;
        self.crashes.recent.retain(|_, at| now.saturating_sub(*at) < MASS_CRASH_MEMORY);
    }
}

/// Time for which the last answer of a crashed worker is kept: a worker is down for some seconds, and one that crashed
/// with it may be down for longer.
const MASS_CRASH_MEMORY: Duration = Duration::from_secs(30);

/// Tasks of a job with crashed runs.
fn crashed_tasks(id: JobId, progress: &Progress) -> Vec<JobTaskId> {
    let mut crashed = Vec::new();
    for (occurrence, begun) in &progress.occurrences {
        for (step, tasks) in begun.steps.iter().enumerate() {
            let step = StepId { job: id, occurrence: *occurrence, step: step as u16 };
            let indexes = tasks.iter().enumerate().filter(|(_, task)| task.has_crashed());
            crashed.extend(indexes.map(|(index, _)| JobTaskId { step, index: index as u16 }));
        }
    }
    crashed
}
