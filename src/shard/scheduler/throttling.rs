//! Throttles of best-effort tasks beside serving ones, and moves of tasks that are throttled for long.

use std::time::Duration;

use crate::job::StepSpec;
use crate::shard::interference;
use crate::shard::worker::{Phase, WorkerId};
use crate::telemetry::event::shard as event;

use super::{Command, CommandKind, CommandOutcome, Reply, ShardScheduler};

/// CPU limit in percent at or below which a task delays its step.
const THROTTLED_PERCENT: u8 = 30;

/// Time at such a limit after which a task is moved: about what a stop and a new start take.
const THROTTLED_LIMIT: Duration = Duration::from_millis(1_000);

/// Progress in percent from which a task with checkpoints is not moved, because it ends sooner where it is.
const MAX_MOVE_PERCENT_WITH_CHECKPOINTS: u8 = 80;

/// The same for a task without checkpoints, which would start from the beginning.
const MAX_MOVE_PERCENT_WITHOUT_CHECKPOINTS: u8 = 20;

/// Progress in percent from which a task of the step is not moved.
pub(super) fn max_move_percent(step: Option<&StepSpec>) -> u8 {
    if step.is_some_and(|step| step.checkpoints) {
        MAX_MOVE_PERCENT_WITH_CHECKPOINTS
    } else {
        MAX_MOVE_PERCENT_WITHOUT_CHECKPOINTS
    }
}

impl ShardScheduler {
    /// Adjusts the throttles of a worker's best-effort tasks after a report, and moves tasks that have been throttled
    /// for long.
    pub(super) fn adjust_throttles(&mut self, now: Duration, worker_id: &WorkerId) {
        let throttle_delay = self.timing.throttle_delay;
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        self.pressures.learn(worker);
        for change in self.pressures.adjust_throttles(worker, now, throttle_delay) {
            let Some(run) = worker.runs.get(&change.task) else { continue };
            let kind = CommandKind::Throttle {
                task: change.task,
                run: run.number,
                percent: change.percent,
            };
            self.commands.push(worker.command(kind));
        }
        if worker.is_overcommitted() {
            // Runs that were starting when the worker shrank are active by now.
            self.move_best_effort(now, worker_id);
        }
        self.move_throttled(now, worker_id);
    }

    /// Stops tasks that have been throttled for long, so that they start on other workers, if no other task waits for
    /// resources.
    ///
    /// A step ends with its slowest task. One task that is throttled for seconds beside a serving task would delay its
    /// whole job while other workers could run it at full speed.
    fn move_throttled(&mut self, now: Duration, worker_id: &WorkerId) {
        let has_spare_workers = !self.has_free_waiting_task();
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let mut moved = Vec::new();
        for (task, run) in &mut worker.runs {
            if run.leftover_cpu == 0
                || run.phase != Phase::Active
                || run.cpu_percent > THROTTLED_PERCENT
            {
                run.throttled_since = None;
                continue;
            }
            let since = *run.throttled_since.get_or_insert(now);
            let step = self
                .jobs
                .get(&task.step.job)
                .map(|job| &job.spec.steps[usize::from(task.step.step)]);
            if has_spare_workers
                && now.saturating_sub(since) >= THROTTLED_LIMIT
                && run.percent < max_move_percent(step)
            {
                moved.push(*task);
            }
        }
        // A task that may use no other worker would wait.
        moved.retain(|task| !self.is_bound(task, worker_id));
        for task in moved {
            if let Some(job) = self.jobs.get_mut(&task.step.job) {
                job.avoid_worker(&task, worker_id);
            }
            event::TASK_MOVED.emit(format_args!("task={task} worker={worker_id} cause=slowed"));
            self.stop_run(now, worker_id, &task, false);
        }
    }

    /// Processes the outcome of a throttle command.
    pub fn on_throttle(
        &mut self,
        now: Duration,
        command: &Command,
        sent: Duration,
        reply: Reply<CommandOutcome>,
    ) {
        let CommandKind::Throttle { task, run, .. } = &command.kind else { return };
        let worker_id = &command.worker;
        self.observe_clock(now, command, sent, reply.clock_ms);
        match reply.outcome {
            CommandOutcome::Done => {}
            CommandOutcome::Fenced => self.on_fenced(worker_id),
            CommandOutcome::Unknown => {
                let Some(worker) = self.workers.get_mut(worker_id) else { return };
                interference::update_shares(worker, now);
                worker.invalidate_estimates();
                // A value other than the requested one makes the next adjustment send the command again.
                if let Some(current) =
                    worker.runs.get_mut(task).filter(|current| current.number == *run)
                {
                    current.cpu_percent = 100 - current.cpu_percent.min(99);
                }
            }
        }
    }
}
