//! Waiting tasks, in the order in which they get workers.
//!
//! The order matters while there is more work than the workers can run. A job that misses its objective has only a
//! fraction of its value, so those that can still meet it come first. Among these, begun jobs precede others, because
//! the work that they have done is lost if they become late. A job that has not begun and has little time left comes
//! after those with more: it would probably become late, and delay the next job as well.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::job::{JobId, JobTaskId, StepId};

/// Operators' settings of a queue of jobs. Stored with each accepted job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Pool of workers that runs the queue's tasks.
    pub service: String,
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task or gang after which its job fails.
    pub attempts: u32,
    /// Factor of the objective: a job should take at most this many times its longest chain of steps, plus
    /// `target_latency_ms`.
    pub stretch: f64,
    /// Fixed part of the objective, in milliseconds.
    pub target_latency_ms: u64,
}

/// Host and path prefix by which callers reach a queue.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QueueAddress {
    /// Value of a request's `Host` header, without the port.
    pub host: String,
    /// Path prefix; the rest of the path is the job's ID.
    pub prefix: String,
}

/// Queue of a job, as it was configured when the job was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobQueue {
    /// Name of the queue.
    pub name: String,
    /// Address that the job was sent to; `None` if it is not known.
    pub address: Option<QueueAddress>,
    /// Settings of the queue; `None` for a job that was accepted by a version that does not store them.
    pub policy: Option<QueuePolicy>,
}

impl JobQueue {
    /// Returns a queue of which only the name is known.
    #[must_use]
    pub fn named(name: &str) -> Self {
        Self { name: name.to_owned(), address: None, policy: None }
    }
}

/// Queues of the newest operator config.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfiguredQueues {
    /// Settings by name of the queue.
    pub policies: BTreeMap<String, QueuePolicy>,
    /// Names of the queues by their addresses.
    pub names: BTreeMap<QueueAddress, String>,
}

impl From<BTreeMap<String, QueuePolicy>> for ConfiguredQueues {
    fn from(policies: BTreeMap<String, QueuePolicy>) -> Self {
        Self { policies, names: BTreeMap::new() }
    }
}

/// A step of a begun job counts as late once its latest start is more than this long ago. Estimates are rough, so a
/// smaller delay says little.
const LATE_AFTER_MS: u64 = 1_000;

/// A job that has not begun is at risk if the time left until its deadline exceeds its estimated duration by less than
/// this percentage of its completion-time objective. It is then likely to end late, because tasks run longer beside
/// others than alone, and some fail.
const AT_RISK_PERCENT: u64 = 10;

/// Multiple of its objective after which the end of a job has no value to its caller any more.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// Rank of a waiting step. [`WaitingTasks::ordered`] combines it with the current time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Latest start of the step that still meets the job's objective, in milliseconds since the Unix epoch. `None` for
    /// a long-running step, which is always due.
    pub start_by_unix_ms: Option<u64>,
    /// The job's objective in milliseconds.
    pub objective_ms: u64,
    /// A task of the job has started before.
    pub is_begun: bool,
}

/// Expected end of a job, relative to its objective, if the step starts now. Variants are in scheduling order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum DeadlineOutlook {
    OnTime,
    AtRisk,
    Late,
    Worthless,
}

impl Rank {
    fn outlook(&self, unix_ms: u64) -> DeadlineOutlook {
        let Some(start_by) = self.start_by_unix_ms else { return DeadlineOutlook::OnTime };
        let at_risk_ms = self.objective_ms * AT_RISK_PERCENT / 100;
        if self.is_begun && unix_ms <= start_by + LATE_AFTER_MS || unix_ms + at_risk_ms <= start_by
        {
            DeadlineOutlook::OnTime
        } else if unix_ms <= start_by {
            DeadlineOutlook::AtRisk
        } else if unix_ms <= start_by + (WORTHLESS_AFTER_OBJECTIVES - 1) * self.objective_ms {
            DeadlineOutlook::Late
        } else {
            DeadlineOutlook::Worthless
        }
    }
}

/// Why a placement pass left a step without a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitCause {
    /// It was tried, and no usable worker can take a task of it.
    NoWorker,
    /// It was skipped, because a step that asks for no more found no worker.
    SmallerStepMissed,
    /// It was left to a later pass, because the pass had examined too many workers before.
    Deferred,
    /// Its tasks wait for the only workers that they may use, which may carry out starts of them late.
    LateStart,
}

/// Waiting task of a step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitingTask {
    /// The task has never had a run.
    pub is_new: bool,
    /// Local time since which it waits.
    pub since: Duration,
}

/// Step with waiting tasks.
#[derive(Clone, Debug, Default)]
pub struct WaitingStep {
    /// Waiting tasks by index.
    pub tasks: BTreeMap<u16, WaitingTask>,
    /// Local time of the last pass that tried the step; `None` before the first. Recorded for long-running steps.
    pub last_tried: Option<Duration>,
    /// Number of passes by why they left the step. Recorded for long-running steps.
    pub passes: BTreeMap<WaitCause, u32>,
    /// Wait of the oldest task at which the step was last logged.
    pub logged_wait: Duration,
}

impl WaitingStep {
    /// Returns how long the task that has waited longest has waited.
    #[must_use]
    pub fn longest_wait(&self, now: Duration) -> Duration {
        let since = self.tasks.values().map(|task| task.since).min();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns the indexes of the tasks, those that have lost a run first, then by waiting time.
    fn in_order(&self) -> Vec<u16> {
        let mut tasks: Vec<_> = self.tasks.iter().collect();
        tasks.sort_by_key(|(index, task)| (**task, **index));
        tasks.into_iter().map(|(index, _)| *index).collect()
    }
}

/// Waiting tasks, by rank and step.
#[derive(Clone, Debug, Default)]
pub struct WaitingTasks {
    steps: BTreeMap<(Rank, StepId), WaitingStep>,
    /// Index of `steps` by step.
    ranks: BTreeMap<StepId, Rank>,
}

impl WaitingTasks {
    /// Adds a task. All tasks of a step have the rank of the one that was added first.
    pub fn push(&mut self, rank: Rank, task: JobTaskId, waiting: WaitingTask) {
        let rank = *self.ranks.entry(task.step).or_insert(rank);
        let step = self.steps.entry((rank, task.step)).or_default();
        step.tasks.entry(task.index).or_insert(waiting);
    }

    /// Records why a pass at `now` left a step without a worker for all of its tasks.
    pub fn record_pass(&mut self, step: &StepId, cause: WaitCause, now: Duration) {
        let Some(rank) = self.ranks.get(step) else { return };
        let Some(waiting) = self.steps.get_mut(&(*rank, *step)) else { return };
        *waiting.passes.entry(cause).or_default() += 1;
        if cause == WaitCause::NoWorker {
            waiting.last_tried = Some(now);
        }
    }

    /// Returns how long the task of a step that has waited longest has waited; zero if none waits.
    #[must_use]
    pub fn longest_wait(&self, step: &StepId, now: Duration) -> Duration {
        let rank = self.ranks.get(step);
        let waiting = rank.and_then(|rank| self.steps.get(&(*rank, *step)));
        waiting.map_or(Duration::ZERO, |waiting| waiting.longest_wait(now))
    }

    /// Records at which wait of its oldest task a step was logged.
    pub fn set_logged_wait(&mut self, step: &StepId, wait: Duration) {
        let Some(rank) = self.ranks.get(step) else { return };
        if let Some(waiting) = self.steps.get_mut(&(*rank, *step)) {
            waiting.logged_wait = wait;
        }
    }

    /// Returns the steps with waiting tasks, in no particular order.
    pub fn steps(&self) -> impl Iterator<Item = (&StepId, &WaitingStep)> {
        self.steps.iter().map(|((_, id), step)| (id, step))
    }

    /// Records that a task of the job has started, which puts its waiting steps before those of jobs that have not
    /// begun.
    pub fn begin(&mut self, job: JobId) {
        let first = StepId { job, occurrence: 0, step: 0 };
        let last = StepId { job, occurrence: u32::MAX, step: u16::MAX };
        for (step, rank) in self.ranks.range_mut(first..=last) {
            if rank.is_begun {
                continue;
            }
            let waiting = self.steps.remove(&(*rank, *step));
            rank.is_begun = true;
            self.steps.extend(waiting.map(|waiting| ((*rank, *step), waiting)));
        }
    }

    /// Removes and returns a task, if it waits.
    pub fn remove(&mut self, task: &JobTaskId) -> Option<WaitingTask> {
        let rank = self.ranks.get(&task.step).copied()?;
        let step = self.steps.get_mut(&(rank, task.step))?;
        let waiting = step.tasks.remove(&task.index);
        if step.tasks.is_empty() {
            self.remove_step(&task.step);
        }
        waiting
    }

    /// Removes all waiting tasks of a step.
    pub fn remove_step(&mut self, step: &StepId) {
        if let Some(rank) = self.ranks.remove(step) {
            self.steps.remove(&(rank, *step));
        }
    }

    /// Returns the waiting steps, with their tasks, in the order in which they get workers.
    ///
    /// Within a priority, jobs that can still meet their objective come first: begun ones before others, then by latest
    /// start. Jobs that have not begun and have little time left come after those with more. Late jobs follow, the
    /// least late first, and then those whose end has no value any more.
    ///
    /// Long-running steps precede the others of their priority. On a full fleet, resources become free piece by piece.
    /// They go to tasks that have lost a run before those that never ran, and to the one that has waited longest, so
    /// that no service stays incomplete while others start.
    #[must_use]
    pub fn ordered(&self, unix_ms: u64) -> Vec<(StepId, Vec<u16>)> {
        let steps = self.ordered_steps(unix_ms).into_iter();
        steps.map(|id| (id, self.tasks_of(&id))).collect()
    }

    /// Returns the waiting tasks of a step in the order in which they get workers.
    #[must_use]
    pub fn tasks_of(&self, step: &StepId) -> Vec<u16> {
        let rank = self.ranks.get(step);
        let waiting = rank.and_then(|rank| self.steps.get(&(*rank, *step)));
        waiting.map(WaitingStep::in_order).unwrap_or_default()
    }

    /// Returns the steps of [`Self::ordered`] without their tasks.
    #[must_use]
    pub fn ordered_steps(&self, unix_ms: u64) -> Vec<StepId> {
        let mut steps: Vec<_> = self.steps.iter().collect();
        steps.sort_by_cached_key(|((rank, _), step)| {
            let outlook = rank.outlook(unix_ms);
            let is_on_time = outlook == DeadlineOutlook::OnTime;
            let start_by = rank.start_by_unix_ms.unwrap_or(0);
            let order = if is_on_time { start_by } else { u64::MAX - start_by };
            let is_long_running = rank.start_by_unix_ms.is_none();
            let longest_waiting = step.tasks.values().min().filter(|_| is_long_running).copied();
            let is_unbegun = is_on_time && !rank.is_begun && !is_long_running;
            (rank.priority, outlook, is_unbegun, order, longest_waiting)
        });
        steps.into_iter().map(|((_, id), _)| *id).collect()
    }

    /// Returns the number of waiting tasks by priority.
    #[must_use]
    pub fn tasks_by_priority(&self) -> BTreeMap<u32, usize> {
        let mut tasks = BTreeMap::new();
        for ((rank, _), waiting) in &self.steps {
            *tasks.entry(rank.priority).or_default() += waiting.tasks.len();
        }
        tasks
    }

    /// Returns the number of steps with waiting tasks.
    #[must_use]
    pub fn step_count(&self) -> usize {
        self.steps.len()
    }

    /// Returns true if a long-running step waits.
    #[must_use]
    pub fn has_long_running(&self) -> bool {
        self.ranks.values().any(|rank| rank.start_by_unix_ms.is_none())
    }

    /// Returns true if no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
