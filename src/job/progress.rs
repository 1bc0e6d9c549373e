//! Progress of jobs and its stored form.

mod stored;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{JobSpec, JobTaskId};

pub use stored::{EncodedRow, StoredRows};

/// Most tasks in one row of a job's progress. A job with more tasks has several rows, so that a change writes little
/// and no row outgrows the store's limit.
pub const MAX_TASKS_PER_ROW: u32 = 200;

/// Bytes for which a row has room per task: a placement on a worker of its own, a checkpoint, and some failed and
/// crashed runs. Checkpoints that do not fit are left out.
const ROW_BYTES_PER_TASK: usize = 320;

/// Returns how many tasks share a row, if the store accepts rows of up to `max_row_bytes`.
#[must_use]
pub fn tasks_per_row(max_row_bytes: usize) -> u32 {
    let tasks = u32::try_from(max_row_bytes / ROW_BYTES_PER_TASK).unwrap_or(u32::MAX);
    tasks.clamp(1, MAX_TASKS_PER_ROW)
}

/// Identifies one of the rows with a job's progress.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ProgressRow {
    /// The job's state and, unless the job is divided, all of its tasks.
    Head,
    /// Some of the tasks of one occurrence of a divided job.
    Tasks {
        /// Number of the occurrence.
        occurrence: u32,
        /// Position of the row among those of the occurrence. Tasks are counted through all steps.
        part: u32,
    },
}

impl ProgressRow {
    /// Returns the row with the task at a position among those of an occurrence, counted through all steps.
    /// `tasks_per_row` is `None` for a job with a single row.
    #[must_use]
    pub fn of_position(occurrence: u32, position: u32, tasks_per_row: Option<u32>) -> Self {
        match tasks_per_row {
            Some(per_row) => Self::Tasks { occurrence, part: position / per_row },
            None => Self::Head,
        }
    }
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task or gang has failed in as many runs as its queue allows. A run of a gang fails once, however many of its
    /// members do.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns true if the job has ended, so that none of its tasks may start any more.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of one task. A run is one execution of it; the domain scheduler calls the same an attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskProgress {
    /// The task has succeeded. Never reset.
    pub is_done: bool,
    /// Numbers of the runs that failed. Never shrinks. Kept by number and not as a count, because a new owner may read
    /// unacknowledged ends again, from several workers and in any order.
    pub failed_runs: BTreeSet<u32>,
    /// Worker of each run under which its worker crashed and that may be the cause, by number of the run. Kept by
    /// number for the same reason as `failed_runs`; each run is on one incarnation of one worker.
    pub crashed_runs: BTreeMap<u32, Rc<str>>,
    /// The same for runs on workers that crashed together with many others, which need not be the task's fault.
    pub mass_crashed_runs: BTreeMap<u32, Rc<str>>,
    /// The same for runs that got no answer to their start before many workers crashed: the worker need not have had
    /// them.
    pub doubtful_crashed_runs: BTreeMap<u32, Rc<str>>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Highest run number used, 0 for none. Never decreases.
    pub last_run: u32,
    /// Worker that has, or may have, the newest run. It is stored before the run starts, so that a new owner knows
    /// which worker may have a run that is not listed.
    pub worker: Option<Rc<str>>,
    /// The start of the newest run has no answer, so that it may still be carried out. Meaningless without `worker`.
    pub is_start_unanswered: bool,
    /// Start of the incarnation of `worker` that has the run, in milliseconds since the Unix epoch; `None` if the
    /// worker does not report it. A later incarnation shows a new owner that the run is gone. Meaningless without
    /// `worker`.
    pub worker_started_unix_ms: Option<u64>,
}

impl TaskProgress {
    /// Returns true if a worker has crashed, or may have, under the task.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        let crashes = [&self.crashed_runs, &self.mass_crashed_runs, &self.doubtful_crashed_runs];
        crashes.iter().any(|runs| !runs.is_empty())
    }

    /// Forgets the crashes under the task.
    pub fn clear_crashes(&mut self) {
        self.crashed_runs.clear();
        self.mass_crashed_runs.clear();
        self.doubtful_crashed_runs.clear();
    }
}

/// Progress of one occurrence of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Occurrence {
    /// Tasks by index of their step and index within it.
    pub steps: Vec<Vec<TaskProgress>>,
    /// Number of tasks by step that have not succeeded; must agree with `steps`.
    remaining: Vec<u32>,
}

impl Occurrence {
    fn new(spec: &JobSpec) -> Self {
        let tasks = |count: u32| vec![TaskProgress::default(); count as usize];
        Self {
            steps: spec.steps.iter().map(|step| tasks(step.count)).collect(),
            remaining: spec.steps.iter().map(|step| step.count).collect(),
        }
    }

    /// Counts the tasks by step that have not succeeded.
    fn count_remaining(&mut self) {
        let remaining = |tasks: &Vec<TaskProgress>| tasks.iter().filter(|t| !t.is_done).count();
        self.remaining = self.steps.iter().map(|tasks| remaining(tasks) as u32).collect();
    }

    /// Returns true if all tasks of a step have succeeded.
    #[must_use]
    pub fn is_step_done(&self, step: u16) -> bool {
        self.remaining.get(usize::from(step)).is_some_and(|remaining| *remaining == 0)
    }

    /// Returns true if all tasks have succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.remaining.iter().all(|remaining| *remaining == 0)
    }
}

/// Progress of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// State shown to callers.
    pub state: JobState,
    /// Occurrences that have begun and have not fully succeeded, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to begin; earlier ones are in `occurrences` or have succeeded.
    pub next_occurrence: u32,
    /// Tasks in each row of a job whose tasks are divided among several rows; `None` for one with a single row. Fixed
    /// once the head is stored, since it decides in which row a task is.
    pub tasks_per_row: Option<u32>,
}

/// Error for a stored progress that can't be used for its job.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProgressError {
    /// The row is not in the format of this program.
    #[error("the row cannot be decoded: {cause}")]
    Malformed {
        /// Message of the decoder.
        cause: String,
    },
    /// The row has another number of steps, or of tasks of a step, than the job.
    #[error("the row does not match the job's steps")]
    Mismatch,
}

impl Progress {
    /// Creates the progress of a job that has just been accepted, with a single row.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: JobState::Queued,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            tasks_per_row: None,
        }
    }

    /// Creates the progress of a job that has just been accepted. Its tasks are divided among several rows if there are
    /// more than `tasks_per_row`.
    #[must_use]
    pub fn for_job(spec: &JobSpec, tasks_per_row: u32) -> Self {
        Self { tasks_per_row: divided(spec, tasks_per_row), ..Self::new() }
    }

    /// Divides the tasks of a job with a single row among several rows if there are more than `tasks_per_row`. Returns
    /// the rows with tasks that have been placed or have ended, which must be stored with the head.
    pub fn divide(&mut self, spec: &JobSpec, tasks_per_row: u32) -> Vec<ProgressRow> {
        self.tasks_per_row = self.tasks_per_row.or_else(|| divided(spec, tasks_per_row));
        let Some(per_row) = self.tasks_per_row else { return Vec::new() };
        let mut rows = BTreeSet::new();
        for (number, occurrence) in &self.occurrences {
            let tasks = occurrence.steps.iter().flatten().zip(0_u32..);
            let begun = tasks.filter(|(task, _)| **task != TaskProgress::default());
            rows.extend(begun.map(|(_, position)| ProgressRow::Tasks {
                occurrence: *number,
                part: position / per_row,
            }));
        }
        rows.into_iter().collect()
    }

    /// Returns the row that a task is stored in.
    #[must_use]
    pub fn row_of(&self, key: &JobTaskId) -> ProgressRow {
        let number = key.step.occurrence;
        let Some(occurrence) = self.occurrences.get(&number) else { return ProgressRow::Head };
        let before = occurrence.steps.iter().take(usize::from(key.step.step));
        let position = before.map(Vec::len).sum::<usize>() + usize::from(key.index);
        ProgressRow::of_position(number, position as u32, self.tasks_per_row)
    }

    /// Returns the rows of an occurrence of a divided job, whether they are stored or not; none for other jobs.
    #[must_use]
    pub fn rows_of(&self, number: u32) -> Vec<ProgressRow> {
        let (Some(per_row), Some(occurrence)) = (self.tasks_per_row, self.occurrences.get(&number))
        else {
            return Vec::new();
        };
        let tasks: usize = occurrence.steps.iter().map(Vec::len).sum();
        let parts = (tasks as u32).div_ceil(per_row);
        (0..parts).map(|part| ProgressRow::Tasks { occurrence: number, part }).collect()
    }

    /// Begins the next occurrence and returns its number.
    pub fn begin_occurrence(&mut self, spec: &JobSpec) -> u32 {
        let number = self.next_occurrence;
        self.occurrences.insert(number, Occurrence::new(spec));
        self.next_occurrence += 1;
        number
    }

    /// Returns the progress of a task; `None` if its occurrence has not begun or has succeeded.
    #[must_use]
    pub fn task(&self, key: &JobTaskId) -> Option<&TaskProgress> {
        let occurrence = self.occurrences.get(&key.step.occurrence)?;
        occurrence.steps.get(usize::from(key.step.step))?.get(usize::from(key.index))
    }

    /// Mutable variant of [`Self::task`].
    pub fn task_mut(&mut self, key: &JobTaskId) -> Option<&mut TaskProgress> {
        let occurrence = self.occurrences.get_mut(&key.step.occurrence)?;
        occurrence.steps.get_mut(usize::from(key.step.step))?.get_mut(usize::from(key.index))
    }

    /// Records that a task has succeeded. Returns true if it had not before.
    pub fn set_done(&mut self, key: &JobTaskId) -> bool {
        let Some(occurrence) = self.occurrences.get_mut(&key.step.occurrence) else { return false };
        let step = usize::from(key.step.step);
        let Some(task) =
            occurrence.steps.get_mut(step).and_then(|s| s.get_mut(usize::from(key.index)))
        else {
            return false;
        };
        if task.is_done {
            return false;
        }
        task.is_done = true;
        task.checkpoint.clear();
        task.worker = None;
        task.clear_crashes();
        occurrence.remaining[step] -= 1;
        true
    }

    /// Returns true if all occurrences of the job have succeeded.
    #[must_use]
    pub fn is_done(&self, spec: &JobSpec) -> bool {
        self.next_occurrence >= spec.occurrences() && self.occurrences.is_empty()
    }

    /// Removes an occurrence if all its tasks have succeeded. Returns true if it did.
    pub fn remove_if_done(&mut self, number: u32) -> bool {
        let is_done = self.occurrences.get(&number).is_some_and(Occurrence::is_done);
        if is_done {
            self.occurrences.remove(&number);
        }
        is_done
    }
}

impl Default for Progress {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns `tasks_per_row` if a job has more tasks than that in all its occurrences together.
fn divided(spec: &JobSpec, tasks_per_row: u32) -> Option<u32> {
    let tasks = u64::from(spec.tasks()) * u64::from(spec.occurrences());
    (tasks > u64::from(tasks_per_row)).then_some(tasks_per_row)
}
