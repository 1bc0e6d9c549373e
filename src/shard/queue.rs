//! Tasks that wait for a worker, in the order in which they get one.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{JobId, JobTaskId, StepId};

/// What operators set for a queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Pool of workers that runs the queue's tasks.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub attempts: u32,
    /// The objective is this many times the longest chain of the job, plus `target_latency_ms`.
    pub stretch: f64,
    /// Fixed part of the objective.
    pub target_latency_ms: u64,
}

/// A step of a begun job that is this much behind its latest start counts as late; estimates are rough.
const LATE_AFTER_MS: u64 = 1_000;

/// Part of its objective, in percent, that a job must have left beyond its estimate when it begins. With less, it is
/// likely to end late, since tasks run longer beside others than alone and some fail.
const AT_RISK_PERCENT: u64 = 10;

/// A job that has taken this many times its objective earns its caller nothing any more.
const EXPIRED_AFTER: u64 = 3;

/// Position of a step: by priority, long-running steps first, then by the time by which it should have started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Latest start of the step that still meets the job's objective, in milliseconds since the Unix epoch. None for a
    /// long-running step, which is always due.
    pub start_by_unix_ms: Option<u64>,
    /// The job's objective in milliseconds.
    pub objective_ms: u64,
    /// A task of the job has started before.
    pub is_begun: bool,
}

/// What the end of a job is worth to its caller if the step starts now.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Prospect {
    OnTime,
    AtRisk,
    Late,
    Expired,
}

impl Rank {
    fn prospect(&self, unix_ms: u64) -> Prospect {
        let Some(start_by) = self.start_by_unix_ms else { return Prospect::OnTime };
        let at_risk_ms = self.objective_ms * AT_RISK_PERCENT / 100;
        if self.is_begun && unix_ms <= start_by + LATE_AFTER_MS || unix_ms + at_risk_ms <= start_by
        {
            Prospect::OnTime
        } else if unix_ms <= start_by {
            Prospect::AtRisk
        } else if unix_ms <= start_by + (EXPIRED_AFTER - 1) * self.objective_ms {
            Prospect::Late
        } else {
            Prospect::Expired
        }
    }
}

/// Waiting tasks by rank and step.
#[derive(Clone, Debug, Default)]
pub struct WaitingTasks {
    steps: BTreeMap<(Rank, StepId), BTreeSet<u16>>,
    /// Rank of each step in `steps`.
    ranks: BTreeMap<StepId, Rank>,
}

impl WaitingTasks {
    /// Adds a task. A step keeps the rank that its first task had.
    pub fn push(&mut self, rank: Rank, task: JobTaskId) {
        let rank = *self.ranks.entry(task.step).or_insert(rank);
        self.steps.entry((rank, task.step)).or_default().insert(task.index);
    }

    /// Notes that a task of the job has started: what waits of it goes before jobs that have not begun.
    pub fn begin(&mut self, job: JobId) {
        let first = StepId { job, occurrence: 0, step: 0 };
        let last = StepId { job, occurrence: u32::MAX, step: u16::MAX };
        for (step, rank) in self.ranks.range_mut(first..=last) {
            if rank.is_begun {
                continue;
            }
            let tasks = self.steps.remove(&(*rank, *step));
            rank.is_begun = true;
            self.steps.extend(tasks.map(|tasks| ((*rank, *step), tasks)));
        }
    }

    /// Removes a task.
    pub fn remove(&mut self, task: &JobTaskId) {
        let Some(rank) = self.ranks.get(&task.step).copied() else { return };
        let Some(tasks) = self.steps.get_mut(&(rank, task.step)) else { return };
        tasks.remove(&task.index);
        if tasks.is_empty() {
            self.remove_step(&task.step);
        }
    }

    /// Removes all tasks of a step.
    pub fn remove_step(&mut self, step: &StepId) {
        if let Some(rank) = self.ranks.remove(step) {
            self.steps.remove(&(rank, *step));
        }
    }

    /// Waiting steps in the order in which they get workers, with their tasks.
    ///
    /// Load: more work than fits, for seconds. A job that has missed its objective is worth a fraction, so among the
    /// steps of one priority those that can still meet theirs come first, by latest start. Of these, begun jobs go
    /// before others: what they have used is lost if they become late. A job that has not begun and has little time
    /// left would become late and make the next one late as well, so it goes behind those with more. Late jobs follow,
    /// the least late first, and then those that are worth nothing.
    #[must_use]
    pub fn ordered(&self, unix_ms: u64) -> Vec<(StepId, Vec<u16>)> {
        let mut steps: Vec<_> = self.steps.iter().collect();
        steps.sort_by_key(|((rank, _), _)| {
            let prospect = rank.prospect(unix_ms);
            let is_on_time = prospect == Prospect::OnTime;
            let start_by = rank.start_by_unix_ms.unwrap_or(0);
            let order = if is_on_time { start_by } else { u64::MAX - start_by };
            (rank.priority, prospect, is_on_time && !rank.is_begun && start_by > 0, order)
        });
        steps
            .into_iter()
            .map(|((_, step), tasks)| (*step, tasks.iter().copied().collect()))
            .collect()
    }

    /// Number of waiting tasks by priority.
    #[must_use]
    pub fn tasks_by_priority(&self) -> BTreeMap<u32, usize> {
        let mut tasks = BTreeMap::new();
        for ((rank, _), waiting) in &self.steps {
            *tasks.entry(rank.priority).or_default() += waiting.len();
        }
        tasks
    }

    /// Number of waiting steps.
    #[must_use]
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// True if no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
