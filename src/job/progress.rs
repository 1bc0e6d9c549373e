//! Progress of jobs and its stored form.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{JobSpec, JobTaskId};

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
    /// A task has failed as often as its queue allows; for a gang, the failures of all members count together.
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
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Highest run number used, 0 for none. Never decreases.
    pub last_run: u32,
    /// Worker that has, or may have, the newest run. It is stored before the run starts, so that a new owner knows
    /// which worker may have a run that is not listed.
    pub worker: Option<Rc<str>>,
    /// Start of the incarnation of `worker` that has the run, in milliseconds since the Unix epoch; `None` if the
    /// worker does not report it. A later incarnation shows a new owner that the run is gone. Meaningless without
    /// `worker`.
    pub worker_started_unix_ms: Option<u64>,
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

/// Stored form of an occurrence.
#[derive(Debug, Deserialize, Serialize)]
struct StoredOccurrence {
    /// One string per step with one character per task: `d` if it has succeeded, `r` if it has had a run, otherwise
    /// `.`.
    #[serde(rename = "t")]
    tasks: Vec<String>,
    /// Checkpoints as (step, index, text).
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    checkpoints: Vec<(u16, u16, String)>,
    /// Failed runs as (step, index, run).
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failed_runs: Vec<(u16, u16, u32)>,
    /// Tasks as (step, index) by the worker of their newest run.
    #[serde(rename = "w", default, skip_serializing_if = "BTreeMap::is_empty")]
    placements: BTreeMap<String, Vec<(u16, u16)>>,
    /// Crashed runs as (step, index, run) by worker.
    #[serde(rename = "x", default, skip_serializing_if = "BTreeMap::is_empty")]
    crashed_runs: BTreeMap<String, Vec<(u16, u16, u32)>>,
    /// Runs in mass crashes as (step, index, run) by worker.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeMap::is_empty")]
    mass_crashed_runs: BTreeMap<String, Vec<(u16, u16, u32)>>,
    /// Newest runs as (step, index, run) by the start of the worker incarnation that has them, in milliseconds since
    /// the Unix epoch.
    #[serde(rename = "i", default, skip_serializing_if = "BTreeMap::is_empty")]
    incarnations: BTreeMap<u64, Vec<(u16, u16, u32)>>,
}

#[derive(Debug, Deserialize, Serialize)]
struct StoredProgress {
    #[serde(rename = "s")]
    state: JobState,
    #[serde(rename = "n", default)]
    next_occurrence: u32,
    #[serde(rename = "o", default)]
    occurrences: BTreeMap<u32, StoredOccurrence>,
}

impl Progress {
    /// Creates the progress of a job that has just been accepted.
    #[must_use]
    pub fn new() -> Self {
        Self { state: JobState::Queued, occurrences: BTreeMap::new(), next_occurrence: 0 }
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
        task.crashed_runs.clear();
        task.mass_crashed_runs.clear();
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

    /// Encodes the stored form. For a job that has ended, it contains no occurrences.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let occurrences = if self.state.is_final() {
            BTreeMap::new()
        } else {
            self.occurrences.iter().map(|(number, o)| (*number, encode_occurrence(o))).collect()
        };
        let stored = StoredProgress {
            state: self.state,
            next_occurrence: self.next_occurrence,
            occurrences,
        };
        serde_json::to_vec(&stored).unwrap_or_default()
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// [`ProgressError`] if the row can't be decoded or does not match the steps of `spec`.
    pub fn decode(spec: &JobSpec, row: &[u8]) -> Result<Self, ProgressError> {
        let stored = decode_row(row)?;
        let mut occurrences = BTreeMap::new();
        for (number, o) in stored.occurrences {
            occurrences.insert(number, decode_occurrence(spec, &o)?);
        }
        Ok(Self { state: stored.state, occurrences, next_occurrence: stored.next_occurrence })
    }

    /// Decodes only the state of the stored form.
    ///
    /// # Errors
    ///
    /// [`ProgressError::Malformed`] if the row is not in this program's format.
    pub fn decode_state(row: &[u8]) -> Result<JobState, ProgressError> {
        decode_row(row).map(|stored| stored.state)
    }
}

impl Default for Progress {
    fn default() -> Self {
        Self::new()
    }
}

fn decode_row(row: &[u8]) -> Result<StoredProgress, ProgressError> {
    serde_json::from_slice(row).map_err(|e| ProgressError::Malformed { cause: e.to_string() })
}

fn encode_occurrence(occurrence: &Occurrence) -> StoredOccurrence {
    let mut stored = StoredOccurrence {
        tasks: Vec::new(),
        checkpoints: Vec::new(),
        failed_runs: Vec::new(),
        placements: BTreeMap::new(),
        crashed_runs: BTreeMap::new(),
        mass_crashed_runs: BTreeMap::new(),
        incarnations: BTreeMap::new(),
    };
    for (step, list) in occurrence.steps.iter().enumerate() {
        stored.tasks.push(list.iter().map(encode_task).collect());
        for (index, task) in list.iter().enumerate().filter(|(_, task)| !task.is_done) {
            let (step, index) = (step as u16, index as u16);
            if !task.checkpoint.is_empty() {
                stored.checkpoints.push((step, index, task.checkpoint.clone()));
            }
            stored.failed_runs.extend(task.failed_runs.iter().map(|run| (step, index, *run)));
            for (run, worker) in &task.crashed_runs {
                let runs = stored.crashed_runs.entry(worker.to_string()).or_default();
                runs.push((step, index, *run));
            }
            for (run, worker) in &task.mass_crashed_runs {
                let runs = stored.mass_crashed_runs.entry(worker.to_string()).or_default();
                runs.push((step, index, *run));
            }
            let Some(worker) = task.worker.as_deref() else { continue };
            if let Some(started) = task.worker_started_unix_ms {
                let runs = stored.incarnations.entry(started).or_default();
                runs.push((step, index, task.last_run));
            }
            match stored.placements.get_mut(worker) {
                Some(tasks) => tasks.push((step, index)),
                None => {
                    stored.placements.insert(worker.to_owned(), vec![(step, index)]);
                }
            }
        }
    }
    stored
}

fn encode_task(task: &TaskProgress) -> char {
    match task {
        task if task.is_done => 'd',
        task if task.last_run > 0 => 'r',
        _ => '.',
    }
}

fn decode_occurrence(
    spec: &JobSpec,
    stored: &StoredOccurrence,
) -> Result<Occurrence, ProgressError> {
    let mut occurrence = Occurrence::new(spec);
    if stored.tasks.len() != occurrence.steps.len() {
        return Err(ProgressError::Mismatch);
    }
    for (step, text) in stored.tasks.iter().enumerate() {
        if text.chars().count() != occurrence.steps[step].len() {
            return Err(ProgressError::Mismatch);
        }
        for (task, c) in occurrence.steps[step].iter_mut().zip(text.chars()) {
            task.is_done = c == 'd';
            // The number of the run is stored for placed tasks only.
            task.last_run = u32::from(c != '.');
        }
        let remaining = occurrence.steps[step].iter().filter(|task| !task.is_done).count();
        occurrence.remaining[step] = remaining as u32;
    }
    for (step, index, text) in &stored.checkpoints {
        stored_task(&mut occurrence, *step, *index)?.checkpoint.clone_from(text);
    }
    for (step, index, run) in &stored.failed_runs {
        stored_task(&mut occurrence, *step, *index)?.failed_runs.insert(*run);
    }
    for (worker, runs) in &stored.crashed_runs {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index, run) in runs {
            let task = stored_task(&mut occurrence, *step, *index)?;
            task.crashed_runs.insert(*run, Rc::clone(&worker));
        }
    }
    for (worker, runs) in &stored.mass_crashed_runs {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index, run) in runs {
            let task = stored_task(&mut occurrence, *step, *index)?;
            task.mass_crashed_runs.insert(*run, Rc::clone(&worker));
        }
    }
    for (started, runs) in &stored.incarnations {
        for (step, index, run) in runs {
            let task = stored_task(&mut occurrence, *step, *index)?;
            task.last_run = *run;
            task.worker_started_unix_ms = Some(*started);
        }
    }
    for (worker, tasks) in &stored.placements {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index) in tasks {
            stored_task(&mut occurrence, *step, *index)?.worker = Some(Rc::clone(&worker));
        }
    }
    Ok(occurrence)
}

fn stored_task(
    occurrence: &mut Occurrence,
    step: u16,
    index: u16,
) -> Result<&mut TaskProgress, ProgressError> {
    let tasks = occurrence.steps.get_mut(usize::from(step));
    tasks.and_then(|tasks| tasks.get_mut(usize::from(index))).ok_or(ProgressError::Mismatch)
}
