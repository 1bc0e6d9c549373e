//! Trials of suspects: runs that show whether a task crashes its workers.
//!
//! The next run of a suspect goes to a worker that is not on trial, preferably one on which all runs are proven, or that
//! its pass chose for other suspects of its step. That worker gets no other task until the trial is over. A suspect that
//! had been active for long is not tried, and a long-running task waits for trials for [`TRIAL_PATIENCE`] only, because
//! services must not wait beside free resources. A suspect has one run at a time, so it is not copied.
//!
//! A wide job has hundreds of suspects after a few crashes, and most jobs with suspects are innocent, so suspects are
//! not tried one after the other. A job risks nothing by trials of several, because any task that is given up fails all
//! of it. But its tasks may all crash their workers, so the number on trial follows the evidence: one, and one more for
//! each suspect of the job that was cleared by a trial since the last crash under the job. The number doubles with each
//! round until the workers on trial are full, and a crash takes it back to one. The job's other tasks go on. A gang is
//! one suspect, and is tried while no other suspect of its job is.
//!
//! At most one in [`WORKERS_PER_TRIAL`] workers is on trial, which bounds what suspects can take down together; the
//! others wait. A job of which nothing runs waits for [`TRIAL_PATIENCE`] at most; then one of its suspects starts on a
//! worker that goes on taking other tasks. A job leaves one of the workers on trial to others. A shard with fewer workers has no trials, since each would take
//! too large a part of it out of use: there, suspects are placed like other tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::job::{JobId, JobTaskId, StepId, StepSpec};
use crate::shard::worker::{Run, Worker, WorkerId};

use super::ShardScheduler;
use super::crashes::{is_proven, suspect_of};

/// Workers of the shard for each one that may be on trial at the same time.
const WORKERS_PER_TRIAL: usize = 6;

/// Time after which a long-running task waits for no trial any more: neither a suspect for one of its own, nor another
/// task for the end of one. Isolation must not keep a service from resources that are free. A suspect of a job of which
/// nothing runs waits no longer for a worker of its own.
const TRIAL_PATIENCE: Duration = Duration::from_millis(1_500);

/// Smallest number of workers that may be on trial in a shard with trials, so that one suspect does not block all
/// others.
const MIN_TRIALS: usize = 2;

/// What may be put on trial for a job at the moment.
#[derive(Debug)]
pub(super) struct TrialRoom {
    /// Suspects of the job.
    pub(super) suspects: usize,
    /// Workers for them, beside those that are on trial.
    pub(super) workers: usize,
    /// No suspect of the job is on trial.
    is_idle: bool,
    /// Nothing of the job runs, and it has waited for [`TRIAL_PATIENCE`].
    is_stalled: bool,
}

/// How the next suspect of a job may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trial {
    /// On a worker that gets no other task meanwhile.
    Isolated,
    /// On any worker.
    Shared,
}

impl TrialRoom {
    /// Returns how the next suspect may start on a worker that is not on trial; `None` if it must wait.
    pub(super) fn next(&self) -> Option<Trial> {
        match self {
            Self { suspects: 0, .. } => None,
            Self { workers: 1.., .. } => Some(Trial::Isolated),
            Self { is_stalled: true, .. } => Some(Trial::Shared),
            _ => None,
        }
    }

    /// Returns how a gang may start; `None` if it must wait.
    pub(super) fn next_gang(&self) -> Option<Trial> {
        self.next().filter(|_| self.is_idle)
    }

    /// Counts a suspect that was placed, on a worker that was not on trial if `is_new_worker`.
    pub(super) fn count(&mut self, is_new_worker: bool) {
        self.suspects -= 1;
        self.workers = self.workers.saturating_sub(usize::from(is_new_worker));
        self.is_stalled = false;
    }
}

impl ShardScheduler {
    /// Returns true if a suspect was placed on the worker and is not proven yet. The worker gets no other task
    /// meanwhile.
    pub(super) fn is_on_trial(&self, worker: &Worker) -> bool {
        let is_trial = |(task, run): (&JobTaskId, &Run)| {
            !is_proven(run, worker)
                && self.crashes.trials.get(task) == Some(&(run.number, Trial::Isolated))
                && self.is_suspect(task)
        };
        !self.crashes.trials.is_empty() && worker.runs.iter().any(is_trial)
    }

    /// Records that a run was placed as a trial.
    pub(super) fn begin_trial(&mut self, task: &JobTaskId, run: u32, trial: Trial) {
        self.crashes.trials.insert(*task, (run, trial));
    }

    /// Returns true if a task of a long-running step has waited for so long that trials no longer matter to it.
    pub(super) fn is_overdue(&self, step: &StepSpec, key: &StepId) -> bool {
        step.is_long_running && self.waiting.longest_wait(key, self.now) >= TRIAL_PATIENCE
    }

    /// Returns how many suspects of a job may start, and on how many workers. Suspects that run without a trial count as
    /// well, since they may crash their workers.
    pub(super) fn trial_room(&self, key: &StepId) -> TrialRoom {
        let id = key.job;
        let (mut all, mut of_job) = (BTreeSet::<&WorkerId>::new(), BTreeSet::new());
        let mut suspects = BTreeSet::new();
        for suspect in self.crashes.suspects.iter().filter(|suspect| self.is_suspect(suspect)) {
            for (worker, run) in self.runs_of_task(suspect) {
                if is_proven(run, worker) {
                    continue;
                }
                all.insert(&worker.listing.id);
                if suspect.step.job == id
                    && let Some(job) = self.jobs.get(&id)
                {
                    of_job.insert(&worker.listing.id);
                    suspects.insert(suspect_of(job, suspect));
                }
            }
        }
        let most = self.max_trials();
        let cleared = self.crashes.cleared.get(&id).copied().unwrap_or(0);
        let free = most.saturating_sub(all.len());
        TrialRoom {
            suspects: (cleared + 1).saturating_sub(suspects.len()),
            workers: free.min(most.saturating_sub(1 + of_job.len())),
            is_idle: suspects.is_empty(),
            is_stalled: self.waiting.longest_wait(key, self.now) >= TRIAL_PATIENCE
                && self.runs_of(id).is_empty(),
        }
    }

    /// Returns true if the next run of a task must be a trial.
    pub(super) fn needs_trial(&self, task: &JobTaskId) -> bool {
        if self.max_trials() == 0 || !self.crashes.untried.contains(task) || !self.is_suspect(task)
        {
            return false;
        }
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        !step.is_some_and(|step| self.is_overdue(step, &task.step))
    }

    /// Most workers that may be on trial at the same time; 0 if the shard has no trials.
    fn max_trials(&self) -> usize {
        match self.workers.len() / WORKERS_PER_TRIAL {
            0 => 0,
            share => share.max(MIN_TRIALS),
        }
    }

    /// Counts the trials that have ended without a crash: the task has succeeded, or its run is proven.
    pub(super) fn end_passed_trials(&mut self) {
        let mut passed = Vec::new();
        for (task, (number, _)) in &self.crashes.trials {
            let Some(job) = self.jobs.get(&task.step.job) else { continue };
            let is_done = job.progress.task(task).is_some_and(|progress| progress.is_done);
            let mut runs = self.runs_of_task(task);
            if is_done || runs.any(|(w, run)| run.number == *number && is_proven(run, w)) {
                // A gang is one suspect.
                passed.push((*task, suspect_of(job, task) == *task));
            }
        }
        for (task, is_counted) in passed {
            self.crashes.trials.remove(&task);
            if is_counted {
                *self.crashes.cleared.entry(task.step.job).or_default() += 1;
            }
        }
    }

    /// Forgets the trials of jobs that have no suspects any more.
    pub(super) fn forget_cleared_jobs(&mut self) {
        let suspects = &self.crashes.suspects;
        let jobs: BTreeSet<JobId> = suspects.iter().map(|task| task.step.job).collect();
        self.crashes.cleared.retain(|id, _| jobs.contains(id));
    }
}
