//! Filters and scores the workers for a task.
//!
//! Many small steps run beside long-running tasks, which account for most of the reserved processors but use about half
//! of what they reserve. Serving tasks are the long-running tasks with a tail latency target. Tasks that reserve
//! processors (serving tasks and others) go to the fullest worker that has enough free resources, so that some workers
//! stay without serving tasks. Best-effort tasks reserve no processors: they prefer those workers, and otherwise run
//! beside serving tasks that they interfere with little. They wait if no worker has enough unused processors, because
//! on a worker that too many tasks share, all of them finish late.

use std::time::Duration;

use crate::job::{Resources, StepId, StepSpec};

use super::health::ProbeTier;
use super::interference::ImageId;
use super::worker::{Run, Worker};

/// A worker whose last answer is at least this old gets no new task. Covers one renewal of an idle worker, which may
/// delay its answer by 1.5 s, with its time limit.
pub const ANSWER_AGE_LIMIT: Duration = Duration::from_millis(2_600);

/// A worker that has been missing from the VM list for at least this long gets no new task. Entries that lapsed during
/// an outage of the store come back within about two seconds.
pub const UNLISTED_LIMIT: Duration = Duration::from_millis(2_500);

/// Average use of a serving task, in percent of its committed processors. Workers do not report it; half is the usual
/// ratio of use to reservation.
const SERVING_USE_PERCENT: u64 = 50;

/// Unused processors that a worker must have for a best-effort task, in percent of what the task asks for.
const LEFTOVER_NEEDED_PERCENT: u64 = 70;

/// A worker that has left at least this many starts in a row unanswered gets no new task until it answers again.
const UNANSWERED_STARTS_LIMIT: u32 = 2;

/// Task to place, with its constraints and preferences.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Pool of workers that runs the tasks of the job's queue.
    pub service: &'a str,
    /// Step of the task.
    pub step: &'a StepSpec,
    /// Image of its tasks.
    pub image: Option<ImageId>,
    /// ID of that step, used to count its tasks on a worker.
    pub step_id: &'a StepId,
    /// Home domain of the job, preferred for its tasks; `None` if it has none.
    pub home: Option<&'a str>,
    /// Tier of the task as a probe on a worker on probation.
    pub tier: ProbeTier,
    /// The task has waited for so long that it may run beside a suspect on trial.
    pub is_overdue: bool,
}

/// Why a worker gets no new tasks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UnusableCause {
    /// It has not listed its runs to this owner.
    NotListedRuns,
    /// Its last answer is too old, or renewals since then got no answer.
    NoAnswer,
    /// Its failure domain is out of service.
    DomainOut,
    /// It is draining.
    Draining,
    /// It is missing from the VM list.
    Unlisted,
    /// The VM list has another of its incarnations, whose capacity may be another one.
    PreviousListed,
    /// Starts there got no answer.
    UnansweredStarts,
    /// It may carry out a start late, which then takes its resources.
    LateStart,
    /// It is on probation, so it gets probes only.
    Probation,
    /// A task that may crash it has started there not long ago.
    OnTrial,
    /// The stored heartbeat names it as unreached.
    ReportedUnreached,
}

/// Returns why a worker may get no new tasks, or `None` if it may.
#[must_use]
pub fn unusable_cause(
    worker: &Worker,
    now: Duration,
    is_domain_out: bool,
) -> Option<UnusableCause> {
    let is_fresh = worker.answered.is_some_and(|at| now.saturating_sub(at) < ANSWER_AGE_LIMIT);
    if !worker.has_listed_runs {
        Some(UnusableCause::NotListedRuns)
    } else if !is_fresh || worker.unanswered_renewals > 0 {
        Some(UnusableCause::NoAnswer)
    } else if is_domain_out {
        Some(UnusableCause::DomainOut)
    } else if worker.listing.is_draining {
        Some(UnusableCause::Draining)
    } else if worker.unlisted_for(now) >= UNLISTED_LIMIT {
        Some(UnusableCause::Unlisted)
    } else if worker.is_other_incarnation_listed() {
        Some(UnusableCause::PreviousListed)
    } else if worker.health.unanswered_starts >= UNANSWERED_STARTS_LIMIT {
        Some(UnusableCause::UnansweredStarts)
    } else if worker.may_start_late() {
        Some(UnusableCause::LateStart)
    } else if worker.health.is_on_probation() {
        Some(UnusableCause::Probation)
    } else {
        None
    }
}

/// Returns the estimated unused processors of a worker, in thousandths of a core. Negative if it is overcommitted, and
/// 0 beside a run of unknown size.
#[must_use]
pub fn leftover_cpu(worker: &Worker) -> i64 {
    if worker.has_run_of_unknown_size() {
        return 0;
    }
    let used: u64 = worker.runs.values().map(estimated_use).sum();
    worker.listing.capacity.cpu_millis as i64 - used as i64
}

/// Returns the processors that a run is expected to use, in thousandths of a core.
#[must_use]
pub fn estimated_use(run: &Run) -> u64 {
    if run.leftover_cpu > 0 {
        run.leftover_cpu * u64::from(run.cpu_percent) / 100
    } else if run.tail_target_ms.is_some() {
        run.committed.cpu_millis * SERVING_USE_PERCENT / 100
    } else {
        run.committed.cpu_millis
    }
}

/// Returns the score of a worker for a task, higher is better, or `None` if the task can't be placed there. `leftover`
/// ([`leftover_cpu`]) and `cost` ([`super::interference::Pressures::cost_with`]) are called only for best-effort tasks.
#[must_use]
pub fn score(
    worker: &Worker,
    req: &PlacementRequest<'_>,
    leftover: impl FnOnce() -> i64,
    cost: impl FnOnce() -> f64,
) -> Option<i64> {
    let step = req.step;
    if worker.listing.service != req.service || !worker.has_room_for(&step.committed()) {
        return None;
    }
    if step.required_label.as_ref().is_some_and(|label| !worker.listing.labels.contains(label)) {
        return None;
    }
    if step.max_per_worker.is_some_and(|most| worker.tasks_of(req.step_id) >= most) {
        return None;
    }
    let base = if step.uses_leftover_cpu {
        score_best_effort(worker, step, leftover(), cost)?
    } else {
        score_committed(worker, req, &worker.free())
    };
    Some(base - penalty(worker, req))
}

/// Scores a worker for a task that reserves processors: fuller workers first. Serving tasks of one image are placed
/// together, so that best-effort tasks that interfere only with other images find workers where they cost nothing.
fn score_committed(worker: &Worker, req: &PlacementRequest<'_>, free: &Resources) -> i64 {
    const SAME_IMAGE: i64 = 20_000;
    const OTHER_IMAGE: i64 = 20_000;
    let mut score = -(free.cpu_millis as i64);
    if req.step.tail_target_ms.is_none() {
        return score;
    }
    let mut serving = worker.runs.values().filter(|run| run.tail_target_ms.is_some()).peekable();
    if serving.peek().is_some() {
        let is_same = |run: &Run| run.image == req.image;
        score += if serving.all(is_same) { SAME_IMAGE } else { -OTHER_IMAGE };
    }
    score
}

/// Returns the unused processors that a worker must have for a best-effort task of the step, in thousandths of a core.
#[must_use]
pub fn leftover_needed(step: &StepSpec) -> i64 {
    (step.resources.cpu_millis * LEFTOVER_NEEDED_PERCENT / 100) as i64
}

/// Scores a worker for a best-effort task: low cost for serving neighbours first, then many unused processors.
fn score_best_effort(
    worker: &Worker,
    step: &StepSpec,
    leftover: i64,
    cost: impl FnOnce() -> f64,
) -> Option<i64> {
    const COST_WEIGHT: f64 = 60_000.0;
    if leftover < leftover_needed(step) {
        return None;
    }
    if worker.over_target_since.is_some() {
        return None;
    }
    let cost = cost();
    (cost <= 1.0).then(|| leftover - (cost * COST_WEIGHT) as i64)
}

/// Penalty for a worker far from the step's data or, unless the step is long-running, outside the job's home domain.
/// For a best-effort task, leaving the home domain weighs as much as a cost of 0.4; for other tasks, more than any
/// difference of free processors.
fn penalty(worker: &Worker, req: &PlacementRequest<'_>) -> i64 {
    const FAR_DATA: i64 = 200_000;
    const NOT_AT_HOME: i64 = 24_000;
    const NOT_AT_HOME_COMMITTED: i64 = 100_000;
    let mut penalty = 0;
    if req.step.data_rack.is_some() && req.step.data_rack.as_deref() != worker.listing.rack() {
        penalty += FAR_DATA;
    }
    let is_away_from_home = req.home.is_some_and(|home| home != worker.listing.domain);
    if is_away_from_home && !req.step.is_long_running {
        let is_best_effort = req.step.uses_leftover_cpu;
        penalty += if is_best_effort { NOT_AT_HOME } else { NOT_AT_HOME_COMMITTED };
    }
    penalty
}
