//! Evicts batch attempts to free resources for urgent tasks, as the preemption policy decides.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::event::WorkerCall;
use super::state::SchedulerState;
use crate::platform::worker::{AttemptRef, CheckpointRequest};
use crate::policy::preemption::{Plan, Planner};
use crate::task::TaskId;
use crate::telemetry::event::schedule as log;

/// Age at which a plan counts as failed and its worker is no longer reserved.
const PLAN_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of plans made in one tick, which bounds the duration of the tick.
const MAX_PLANS: usize = 20;

/// Plan whose evictions have begun.
#[derive(Clone, Debug)]
pub(super) struct PlannedEviction {
    plan: Plan,
    since: Instant,
}

impl SchedulerState {
    /// Drops the plans of tasks that no longer wait, and those that timed out.
    pub(super) fn drop_old_plans(&mut self, now: Instant) {
        let Self { plans, queue, .. } = self;
        plans.retain(|id, planned| {
            let young = now.saturating_duration_since(planned.since) < PLAN_TIMEOUT;
            young && queue.get(id).is_some()
        });
    }

    /// Returns the workers of the current plans, where only urgent tasks may be placed.
    pub(super) fn reserved_workers(&self) -> BTreeSet<String> {
        self.plans.values().map(|planned| planned.plan.worker.clone()).collect()
    }

    /// Plans evictions for urgent tasks that fit on no worker, and begins them.
    pub(super) fn preempt(&mut self, urgent: &[TaskId], now: Instant) {
        let mut planner = Planner::new(self.plans.values().map(|planned| &planned.plan));
        let unplanned = urgent.iter().filter(|id| !self.plans.contains_key(*id));
        let mut made = Vec::new();
        for id in unplanned.take(MAX_PLANS) {
            let Some(task) = self.queue.get(id) else { continue };
            let since_checkpoint = |attempt: &AttemptRef| self.since_checkpoint(attempt, now);
            if let Some(plan) = planner.plan(&self.pool, &task.pending_task(), since_checkpoint) {
                made.push((id.clone(), plan));
            }
        }
        for (id, plan) in made {
            log::PREEMPTED.emit(format_args!(
                "{} attempts on {} for {id}, {:.0} core-seconds since their checkpoints",
                plan.attempts.len(),
                plan.worker,
                plan.lost
            ));
            for attempt in &plan.attempts {
                self.evict(attempt, &format!("evicted for urgent task {id}"), now);
            }
            self.plans.insert(id, PlannedEviction { plan, since: now });
        }
    }

    /// Returns the time since the last checkpoint of an attempt.
    fn since_checkpoint(&self, attempt: &AttemptRef, now: Instant) -> Duration {
        let live = self.tasks.get(&attempt.task).and_then(|task| task.live.as_ref());
        live.map_or(Duration::MAX, |live| now.saturating_duration_since(live.checkpointed_at))
    }

    /// Begins to evict an attempt: requests a checkpoint, after which the stop follows.
    pub(super) fn evict(&mut self, attempt: &AttemptRef, reason: &str, now: Instant) {
        let Some(task) = self.tasks.get_mut(&attempt.task) else { return };
        if task.row.attempt != attempt.attempt {
            return;
        }
        let Some(live) = &mut task.live else { return };
        if live.begin_termination(reason, true, now) {
            let req = CheckpointRequest { attempt: attempt.clone() };
            self.fleet.push(&live.worker, WorkerCall::Checkpoint(req));
        }
    }
}
