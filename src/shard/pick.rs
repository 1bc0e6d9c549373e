//! Which worker gets a task.
//!
//! Load: many small steps a second beside long-running tasks that hold most of the committed processors while they use
//! about half of them. Tasks that count against the capacity go to the worker with the most room, so that no worker
//! fills up while others are empty. Tasks that use leftover processors go where the most are left; they wait if none
//! has enough, because a worker that is shared by too many finishes all of them late.

use std::time::Duration;

use crate::job::{StepKey, StepSpec};

use super::worker::{Phase, Worker, WorkerId};

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

/// Orders without an answer in a row after which a worker gets no task until it has answered again.
const UNANSWERED_LIMIT: u32 = 2;

/// What a pick takes into account beside the workers.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Pool that runs the queue's tasks.
    pub service: &'a str,
    /// The step.
    pub step: &'a StepSpec,
    /// Its identity.
    pub key: &'a StepKey,
    /// Workers on which the task failed.
    pub avoid: &'a [WorkerId],
}

/// True if a worker may get new tasks.
#[must_use]
pub fn is_usable(worker: &Worker, now: Duration, is_domain_out: bool) -> bool {
    let is_fresh = worker.answered.is_some_and(|at| now.saturating_sub(at) < ANSWER_AGE_LIMIT);
    worker.is_known
        && is_fresh
        && !is_domain_out
        && !worker.listing.is_draining
        && now.saturating_sub(worker.listed) < LISTING_AGE_LIMIT
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
            run.leftover_cpu * u64::from(run.pace) / 100
        } else if run.tail_target_ms.is_some() {
            run.committed.cpu_millis * SERVING_USE_PERCENT / 100
        } else {
            run.committed.cpu_millis
        };
    }
    worker.listing.capacity.cpu_millis as i64 - used as i64
}

/// Score of a worker for a task, higher is better; none if the task can't go there.
#[must_use]
pub fn score(worker: &Worker, wish: &Wish<'_>) -> Option<i64> {
    let step = wish.step;
    if worker.listing.service != wish.service || !step.committed().fits(&worker.room()) {
        return None;
    }
    if step.required_label.as_ref().is_some_and(|label| !worker.listing.labels.contains(label)) {
        return None;
    }
    if step.max_per_worker.is_some_and(|most| worker.tasks_of(wish.key) >= most) {
        return None;
    }
    let leftover = leftover_cpu(worker);
    if step.uses_leftover_cpu
        && leftover < (step.resources.cpu_millis * LEFTOVER_NEEDED_PERCENT / 100) as i64
    {
        return None;
    }
    Some(leftover - penalty(worker, wish))
}

/// Keeps a task away from where it failed, from its data's other racks, from the neighbours that it would disturb and,
/// for a step that must stay available, from the worker that has its other tasks.
fn penalty(worker: &Worker, wish: &Wish<'_>) -> i64 {
    const FAILED_HERE: i64 = 1_000_000;
    const FAR_DATA: i64 = 200_000;
    const OVER_TARGET: i64 = 100_000;
    const SAME_STEP: i64 = 2_000;
    const PER_FILLING_NEIGHBOUR: i64 = 1_500;
    let mut penalty = 0;
    if wish.avoid.contains(&worker.listing.id) {
        penalty += FAILED_HERE;
    }
    if wish.step.data_rack.is_some() && wish.step.data_rack.as_deref() != worker.listing.rack() {
        penalty += FAR_DATA;
    }
    if wish.step.uses_leftover_cpu && worker.over_target_since.is_some() {
        penalty += OVER_TARGET;
    }
    if wish.step.tail_target_ms.is_some() {
        let filling = worker.runs.values().filter(|run| run.leftover_cpu > 0).count();
        penalty += PER_FILLING_NEIGHBOUR * filling as i64;
    }
    if wish.step.is_long_running {
        penalty += SAME_STEP * i64::from(worker.tasks_of(wish.key));
    }
    penalty
}

/// True if a run occupies a worker without doubt.
#[must_use]
pub fn is_running(phase: Phase) -> bool {
    matches!(phase, Phase::Starting | Phase::Active)
}
