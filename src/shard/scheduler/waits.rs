//! Log of long-running tasks that wait for a worker for long.
//!
//! A line says why the placement passes left the step, and which resources are free on workers that it may use, so that
//! a full fleet, a worker that gets no tasks and a step that is not tried can be told apart.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::StepId;
use crate::shard::pick::UnusableCause;
use crate::shard::queue::WaitingStep;
use crate::telemetry::event::shard as event;

use super::ShardScheduler;

/// Wait after which a step is logged for the first time. It is logged again each time its wait has doubled.
const FIRST_LOGGED_WAIT: Duration = Duration::from_secs(3);

/// Most steps that one call logs; the rest is logged by later calls.
const MAX_LOGGED_STEPS: usize = 16;

impl ShardScheduler {
    /// Logs the long-running steps that have waited for long, those with the longest wait first.
    pub fn log_long_waits(&mut self, now: Duration) {
        let jobs = &self.jobs;
        let is_long_running = |id: &StepId| {
            let step = jobs.get(&id.job).and_then(|job| job.spec.steps.get(usize::from(id.step)));
            step.is_some_and(|step| step.is_long_running)
        };
        let mut due: Vec<(Duration, StepId, WaitingStep)> = Vec::new();
        for (id, step) in self.waiting.steps() {
            let wait = step.longest_wait(now);
            if wait >= FIRST_LOGGED_WAIT && wait >= step.logged_wait * 2 && is_long_running(id) {
                due.push((wait, *id, step.clone()));
            }
        }
        due.sort_by_key(|(wait, id, _)| (std::cmp::Reverse(*wait), *id));
        due.truncate(MAX_LOGGED_STEPS);
        for (wait, id, step) in &due {
            self.log_wait(now, id, step);
            self.waiting.set_logged_wait(id, *wait);
        }
    }

    fn log_wait(&self, now: Duration, id: &StepId, waiting: &WaitingStep) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let step = &job.spec.steps[usize::from(id.step)];
        let policy = job.queue.policy();
        let mut most_free = 0;
        let mut unusable: BTreeMap<UnusableCause, u64> = BTreeMap::new();
        for (worker_id, worker) in self.workers.iter() {
            let has_label =
                step.required_label.as_ref().is_none_or(|l| worker.listing.labels.contains(l));
            let is_below_limit = step.max_per_worker.is_none_or(|most| worker.tasks_of(id) < most);
            if worker.listing.service != policy.service || !has_label || !is_below_limit {
                continue;
            }
            let free = worker.free().cpu_millis;
            let most = match self.unusable_cause(worker_id, worker, now) {
                None => &mut most_free,
                Some(cause) => unusable.entry(cause).or_default(),
            };
            *most = free.max(*most);
        }
        let waits: BTreeMap<u16, u128> = waiting
            .tasks
            .iter()
            .map(|(index, task)| (*index, now.saturating_sub(task.since).as_millis()))
            .collect();
        let tried_ms = waiting.last_tried.map(|tried| now.saturating_sub(tried).as_millis() as u64);
        event::TASK_WAITING.emit(format_args!(
            "step={id} waited_ms={waits:?} cpu={} memory={} tried_ms_ago={tried_ms:?} passes={:?} most_free_cpu={most_free} unusable={unusable:?}",
            step.committed().cpu_millis,
            step.committed().memory_mib,
            waiting.passes,
        ));
    }
}
