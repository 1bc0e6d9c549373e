//! Tasks that wait for a worker, in the order in which they get one.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{StepKey, TaskKey};

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

/// Position of a step: by priority, then by the time at which its job should have completed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Latest start of the step that still meets the job's objective, in milliseconds since the Unix epoch.
    pub start_by_unix_ms: u64,
}

/// Waiting tasks by rank and step.
#[derive(Clone, Debug, Default)]
pub struct WaitingTasks {
    steps: BTreeMap<(Rank, StepKey), BTreeSet<u16>>,
    /// Rank of each step in `steps`.
    ranks: BTreeMap<StepKey, Rank>,
}

impl WaitingTasks {
    /// Adds a task. A step keeps the rank that its first task had.
    pub fn push(&mut self, rank: Rank, task: TaskKey) {
        let rank = *self.ranks.entry(task.step).or_insert(rank);
        self.steps.entry((rank, task.step)).or_default().insert(task.index);
    }

    /// Removes a task.
    pub fn remove(&mut self, task: &TaskKey) {
        let Some(rank) = self.ranks.get(&task.step).copied() else { return };
        let Some(tasks) = self.steps.get_mut(&(rank, task.step)) else { return };
        tasks.remove(&task.index);
        if tasks.is_empty() {
            self.remove_step(&task.step);
        }
    }

    /// Removes all tasks of a step.
    pub fn remove_step(&mut self, step: &StepKey) {
        if let Some(rank) = self.ranks.remove(step) {
            self.steps.remove(&(rank, *step));
        }
    }

    /// True if the task waits.
    #[must_use]
    pub fn contains(&self, task: &TaskKey) -> bool {
        self.ranks
            .get(&task.step)
            .and_then(|rank| self.steps.get(&(*rank, task.step)))
            .is_some_and(|tasks| tasks.contains(&task.index))
    }

    /// Waiting steps in order, with their tasks.
    pub fn iter(&self) -> impl Iterator<Item = (&StepKey, &BTreeSet<u16>)> {
        self.steps.iter().map(|((_, step), tasks)| (step, tasks))
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
