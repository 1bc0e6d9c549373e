//! Which worker gets a task.
//!
//! Load: many small steps a second beside long-running tasks that hold most of the committed processors while they use
//! about half of them. Tasks that count against the capacity go to the fullest worker that has room, so that some
//! workers stay without serving tasks. Tasks that use leftover processors go there first, and otherwise beside serving
//! tasks that they press little; they wait if no worker has enough left, because a worker that is shared by too many
//! finishes all of them late.

use std::time::Duration;

use crate::job::{Resources, StepId, StepSpec};

use super::worker::{Run, Worker};

/// Without an answer for this long a worker gets no task: two renewals and their answer.
pub const ANSWER_AGE_LIMIT: Duration = Duration::from_millis(2_600);

/// A worker that the list has dropped gets no task after this long. Entries that lapsed while the store was away come
/// back within about two seconds.
pub const LISTING_AGE_LIMIT: Duration = Duration::from_millis(2_500);

/// Part of its committed processors that a serving task uses on average, in percent. Until its load is known from its
/// neighbours' progress, half is the usual ratio of use to reservation.
const SERVING_USE_PERCENT: u64 = 50;

/// Leftover processors that a worker must have for a task that uses them, in percent of what the task asks for.
const LEFTOVER_NEEDED_PERCENT: u64 = 70;

/// Commands without an answer in a row after which a worker gets no task until it has answered again.
const UNANSWERED_LIMIT: u32 = 2;

/// What a pick takes into account beside the workers.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Pool that runs the queue's tasks.
    pub service: &'a str,
    /// The step.
    pub step: &'a StepSpec,
    /// Its identity.
    pub key: &'a StepId,
    /// Failure domain in which the job's tasks run together.
    pub home: Option<&'a str>,
}

/// True if a worker may get new tasks.
#[must_use]
pub fn is_usable(worker: &Worker, now: Duration, is_domain_out: bool) -> bool {
    let is_fresh = worker.answered.is_some_and(|at| now.saturating_sub(at) < ANSWER_AGE_LIMIT);
    worker.is_known
        && is_fresh
        && worker.missed == 0
        && !is_domain_out
        && !worker.listing.is_draining
        && worker.unlisted_for(now) < LISTING_AGE_LIMIT
        && worker.health.unanswered < UNANSWERED_LIMIT
        && !worker.health.is_quarantined(now)
}

/// Processors of a worker that its tasks leave unused, by estimate, in thousandths of a core. Negative if it is
/// overcommitted.
#[must_use]
pub fn leftover_cpu(worker: &Worker) -> i64 {
    let mut used = 0;
    for run in worker.runs.values() {
        used += if run.leftover_cpu > 0 {
            run.leftover_cpu * u64::from(run.cpu_percent) / 100
        } else if run.tail_target_ms.is_some() {
            run.committed.cpu_millis * SERVING_USE_PERCENT / 100
        } else {
            run.committed.cpu_millis
        };
    }
    worker.listing.capacity.cpu_millis as i64 - used as i64
}

/// Score of a worker for a task, higher is better; none if the task can't go there. `leftover` ([`leftover_cpu`]) and
/// `cost` ([`super::interference::Pressures::cost_with`]) are asked for a task that uses leftover processors.
#[must_use]
pub fn score(
    worker: &Worker,
    wish: &Wish<'_>,
    leftover: impl FnOnce() -> i64,
    cost: impl FnOnce() -> f64,
) -> Option<i64> {
    let step = wish.step;
    let room = worker.room();
    if worker.listing.service != wish.service || !step.committed().fits(&room) {
        return None;
    }
    if step.required_label.as_ref().is_some_and(|label| !worker.listing.labels.contains(label)) {
        return None;
    }
    if step.max_per_worker.is_some_and(|most| worker.tasks_of(wish.key) >= most) {
        return None;
    }
    let base = if step.uses_leftover_cpu {
        score_best_effort(worker, step, leftover(), cost)?
    } else {
        score_committed(worker, step, &room)
    };
    Some(base - penalty(worker, wish))
}

/// Score for a task that counts against the capacity: the fullest worker that still has room. Serving tasks of one
/// image go together, so that best-effort tasks that press only other images find workers where they cost nothing.
fn score_committed(worker: &Worker, step: &StepSpec, room: &Resources) -> i64 {
    const SAME_IMAGE: i64 = 20_000;
    const OTHER_IMAGE: i64 = 20_000;
    let mut score = -(room.cpu_millis as i64);
    if step.tail_target_ms.is_none() {
        return score;
    }
    let mut serving = worker.runs.values().filter(|run| run.tail_target_ms.is_some()).peekable();
    if serving.peek().is_some() {
        let is_same = |run: &Run| run.image.as_deref() == step.image.as_deref();
        score += if serving.all(is_same) { SAME_IMAGE } else { -OTHER_IMAGE };
    }
    score
}

/// Score for a task that uses leftover processors: low cost for serving neighbours first, then many processors left.
fn score_best_effort(
    worker: &Worker,
    step: &StepSpec,
    leftover: i64,
    cost: impl FnOnce() -> f64,
) -> Option<i64> {
    const COST_WEIGHT: f64 = 60_000.0;
    let cpu_millis = step.resources.cpu_millis;
    if leftover < (cpu_millis * LEFTOVER_NEEDED_PERCENT / 100) as i64 {
        return None;
    }
    if worker.over_target_since.is_some() {
        return None;
    }
    let cost = cost();
    (cost <= 1.0).then(|| leftover - (cost * COST_WEIGHT) as i64)
}

/// Keeps a task near its data and in its job's failure domain. Away from home is as bad as a cost of 0.4, and worse
/// than any difference of room.
fn penalty(worker: &Worker, wish: &Wish<'_>) -> i64 {
    const FAR_DATA: i64 = 200_000;
    const NOT_AT_HOME: i64 = 24_000;
    const NOT_AT_HOME_COMMITTED: i64 = 100_000;
    let mut penalty = 0;
    if wish.step.data_rack.is_some() && wish.step.data_rack.as_deref() != worker.listing.rack() {
        penalty += FAR_DATA;
    }
    let is_elsewhere = wish.home.is_some_and(|home| home != worker.listing.domain);
    if is_elsewhere && !wish.step.is_long_running {
        let is_best_effort = wish.step.uses_leftover_cpu;
        penalty += if is_best_effort { NOT_AT_HOME } else { NOT_AT_HOME_COMMITTED };
    }
    penalty
}
