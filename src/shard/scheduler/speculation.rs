//! Speculative runs: second runs of tasks that their callers allow to run twice.

use crate::job::JobTaskId;
use crate::shard::queue::WaitingTask;
use crate::shard::worker::{Phase, WorkerId};
use crate::telemetry::event::shard as event;

use super::ShardScheduler;

impl ShardScheduler {
    /// Queues speculative runs of the tasks on a worker that does not answer.
    ///
    /// A short task would otherwise wait longer for the end of the silent worker's lease than it takes to run. Tasks
    /// that must not run twice do wait for it.
    pub(super) fn queue_speculative_runs(&mut self, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let tasks: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| !run.is_abandoned && run.phase != Phase::Reserved)
            .map(|(task, _)| *task)
            .collect();
        for task in tasks {
            self.queue_speculative_run(&task);
        }
    }

    /// Queues a speculative run of a task, if its caller allows that and it has exactly one run.
    pub(super) fn queue_speculative_run(&mut self, task: &JobTaskId) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let step = &job.spec.steps[usize::from(task.step.step)];
        let is_open = job.progress.task(task).is_some_and(|progress| !progress.is_done);
        let is_single = self.live.get(task).is_some_and(|workers| workers.len() == 1);
        // A copy of a task that crashes its workers would crash one more.
        let progress = job.progress.task(task);
        let has_crashed = progress.is_some_and(|progress| {
            !progress.mass_crashed_runs.is_empty() || !progress.doubtful_crashed_runs.is_empty()
        });
        if has_crashed || self.is_suspect(task) {
            return;
        }
        if !step.is_speculative || job.progress.state.is_final() || !is_open || !is_single {
            return;
        }
        let rank = self.rank(job, task.step.occurrence, usize::from(task.step.step));
        event::TASK_COPIED.emit(format_args!("task={task}"));
        self.waiting.push(rank, *task, WaitingTask { is_new: false, since: self.now });
        self.is_placement_due = true;
    }
}
