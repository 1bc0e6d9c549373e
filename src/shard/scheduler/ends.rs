//! Processing of ended runs: step progress, failures, and the end of jobs.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::job::progress::Occurrence;
use crate::job::{JobId, JobState, JobTaskId, StepId};
use crate::shard::health::Restored;
use crate::shard::interference;
use crate::shard::report::{EndCause, EndReport};
use crate::shard::worker::{Run, WorkerId};
use crate::telemetry::event::shard as event;

use super::crashes::members_of;
use super::{Job, ShardScheduler};

impl ShardScheduler {
    /// Processes an end that a worker has listed.
    pub(super) fn on_end(&mut self, now: Duration, worker_id: &WorkerId, end: &EndReport) {
        let task = end.task;
        let current_run = self.worker_run(worker_id, &task).map(|run| run.number);
        if current_run.is_some_and(|number| number == end.run) {
            self.remove_run(worker_id, &task);
        }
        self.bar_late_start(worker_id, &task, end.run);
        self.rows.record_end(worker_id, end.number);
        self.record_health(now, worker_id, end);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if job.progress.state.is_final() {
            return;
        }
        if let Some(progress) = job.progress.task_mut(&task) {
            progress.last_run = progress.last_run.max(end.run);
            if !end.checkpoint.is_empty() && !progress.is_done && end.cause != EndCause::Done {
                progress.checkpoint.clone_from(&end.checkpoint);
                self.rows.mark((task.step.job, job.progress.row_of(&task)));
            }
        }
        match end.cause {
            EndCause::Done => self.on_done(now, &task),
            EndCause::Failed => self.on_failed(now, worker_id, &task, end.run),
            EndCause::Stopped
            | EndCause::LeaseExpired
            | EndCause::GangBroken
            | EndCause::GangIncomplete => {
                self.requeue(&task);
            }
        }
    }

    fn record_health(&mut self, now: Duration, worker_id: &WorkerId, end: &EndReport) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let (task, run) = (&end.task, end.run);
        match end.cause {
            EndCause::Done => {
                let restored = worker.health.on_done(task, run, now);
                log_restored(worker_id, restored);
            }
            EndCause::Failed => {
                if worker.health.on_failed(task, run, now) {
                    event::WORKER_ON_PROBATION
                        .emit(format_args!("worker={worker_id} cause=failed-runs task={task}"));
                }
            }
            EndCause::Stopped
            | EndCause::LeaseExpired
            | EndCause::GangBroken
            | EndCause::GangIncomplete => {}
        }
    }

    fn on_done(&mut self, now: Duration, task: &JobTaskId) {
        let id = task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let step = &job.spec.steps[usize::from(task.step.step)];
        if step.is_long_running {
            self.requeue(task);
            return;
        }
        // A gang succeeds as a whole once one member has succeeded.
        let members = if step.is_gang { 0..step.count as u16 } else { task.index..task.index + 1 };
        let mut has_changed = false;
        for index in members {
            let member = JobTaskId { step: task.step, index };
            if job.progress.set_done(&member) {
                has_changed = true;
                self.rows.mark((id, job.progress.row_of(&member)));
            }
            job.avoid.remove(&member);
            self.waiting.remove(&member);
        }
        if !has_changed {
            return;
        }
        let is_step_done = job
            .progress
            .occurrences
            .get(&task.step.occurrence)
            .is_some_and(|occurrence| occurrence.is_step_done(task.step.step));
        self.stop_remaining_runs(now, task);
        if is_step_done {
            self.record_step_time(now, &task.step);
            self.queue_ready_tasks(id);
            self.check_job_end(now, id);
        }
    }

    fn record_step_time(&mut self, now: Duration, key: &StepId) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(began) = job.step_began.remove(key) else { return };
        let estimate_ms = job.spec.steps[usize::from(key.step)].estimate().as_millis() as f64;
        let took_ms = now.saturating_sub(began).as_millis() as f64;
        self.times.entry(job.queue.name().to_owned()).or_default().observe(took_ms, estimate_ms);
    }

    /// Stops the remaining runs of a task that has succeeded.
    fn stop_remaining_runs(&mut self, now: Duration, task: &JobTaskId) {
        for worker in self.live.get(task).cloned().unwrap_or_default() {
            self.stop_run(now, &worker, task, true);
        }
    }

    fn on_failed(&mut self, now: Duration, worker_id: &WorkerId, task: &JobTaskId, run: u32) {
        let id = task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let attempts = job.queue.policy().attempts;
        let is_long_running = job.spec.steps[usize::from(task.step.step)].is_long_running;
        let Some(progress) = job.progress.task_mut(task) else { return };
        if progress.is_done {
            return;
        }
        // Failures of long-running tasks are unlimited, so they are not recorded.
        if !is_long_running && !progress.failed_runs.insert(run) {
            // A previous owner stored this failure but did not acknowledge the end.
            return self.requeue(task);
        }
        let failures = failures(job, task);
        job.avoid_worker(task, worker_id);
        self.rows.mark((id, job.progress.row_of(task)));
        event::TASK_FAILED.emit(format_args!(
            "job={id} task={task} worker={worker_id} failures={failures} attempts={attempts}"
        ));
        if failures >= attempts as usize && !is_long_running {
            event::JOB_ENDED
                .emit(format_args!("job={id} state=failed task={task} failures={failures}"));
            self.end_job(now, id, JobState::Failed);
        } else {
            self.requeue(task);
        }
    }

    /// Ends a job once all its occurrences have succeeded.
    pub(super) fn check_job_end(&mut self, now: Duration, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.progress.state.is_final() {
            return;
        }
        let numbers: Vec<u32> = job.progress.occurrences.keys().copied().collect();
        for number in numbers {
            let is_done = job.progress.occurrences.get(&number).is_some_and(Occurrence::is_done);
            let rows = if is_done { job.progress.rows_of(number) } else { Vec::new() };
            if job.progress.remove_if_done(number) {
                self.rows.mark_head(id);
                for row in rows {
                    self.rows.mark((id, row));
                }
            }
        }
        if job.progress.is_done(&job.spec) {
            let took_ms = self.unix_ms.saturating_sub(job.accepted_unix_ms);
            let objective_ms =
                self.jobs.get(&id).map_or(0, |job| self.rank(job, 0, 0).objective_ms);
            event::JOB_ENDED.emit(format_args!(
                "job={id} state=completed took_ms={took_ms} objective_ms={objective_ms}"
            ));
            self.end_job(now, id, JobState::Completed);
        }
    }

    /// Removes a run that has ended or can't exist any more, and queues its task again unless the run is abandoned.
    pub(super) fn drop_run(&mut self, worker_id: &WorkerId, task: &JobTaskId) -> Option<Run> {
        let run = self.remove_run(worker_id, task)?;
        if !run.is_abandoned {
            self.requeue(task);
        }
        Some(run)
    }

    fn worker_run(&self, worker_id: &WorkerId, task: &JobTaskId) -> Option<&Run> {
        self.workers.get(worker_id)?.runs.get(task)
    }

    /// Removes a run and frees the worker's resources that it occupied.
    pub(super) fn remove_run(&mut self, worker_id: &WorkerId, task: &JobTaskId) -> Option<Run> {
        let worker = self.workers.get_mut(worker_id)?;
        interference::update_shares(worker, self.now);
        let run = worker.remove_run(task)?;
        if let Some(workers) = self.live.get_mut(task) {
            workers.retain(|id| id != worker_id);
            if workers.is_empty() {
                self.live.remove(task);
            }
        }
        let is_bound = self.is_bound(task, worker_id);
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(progress) = job.and_then(|job| job.progress.task_mut(task))
            && progress.worker.as_deref() == Some(worker_id.as_str())
        {
            if is_bound {
                // A restart of the worker is no crash of the task any more.
                progress.worker_started_unix_ms = None;
            } else {
                progress.worker = None;
            }
        }
        self.is_placement_due = true;
        Some(run)
    }
}

/// Number of failed runs that count against the attempts of a task, or of the gang that it is a member of. All members of
/// a gang share a run, so one in which several of them failed counts once.
pub(super) fn failures(job: &Job, task: &JobTaskId) -> usize {
    let members = members_of(job, task);
    let progress = members.iter().filter_map(|member| job.progress.task(member));
    let runs: BTreeSet<u32> = progress.flat_map(|member| &member.failed_runs).copied().collect();
    runs.len()
}

/// Logs the end of a worker's probation, if it has ended.
pub(super) fn log_restored(worker_id: &WorkerId, restored: Option<Restored>) {
    if let Some(restored) = restored {
        event::WORKER_RESTORED.emit(format_args!(
            "worker={worker_id} after_ms={} probes={}",
            restored.after.as_millis(),
            restored.probes
        ));
    }
}
