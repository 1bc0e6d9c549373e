//! Stored form of a job's progress: one row, or for a job with many tasks a head and rows with a part of the tasks each.
//!
//! The parts of a divided job are written one by one, as their tasks change. This is safe because nothing spans them:
//! a task starts once the row with its placement is stored, and an end is acknowledged once the row with it is. A part
//! that was never stored has no task that was placed. The head lists the occurrences in progress; parts of others are
//! left over and ignored.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{JobSpec, JobState, Occurrence, Progress, ProgressError, ProgressRow, TaskProgress};

/// Rows of a job's progress, as read from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRows {
    /// Content of [`ProgressRow::Head`]; empty if that row does not exist.
    pub head: Vec<u8>,
    /// Contents of the rows with a part of the tasks.
    pub parts: BTreeMap<ProgressRow, Vec<u8>>,
}

impl From<Vec<u8>> for StoredRows {
    fn from(head: Vec<u8>) -> Self {
        Self { head, parts: BTreeMap::new() }
    }
}

/// New content of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedRow {
    /// Content.
    pub bytes: Vec<u8>,
    /// Number of checkpoints that were left out because the row would have been too large.
    pub dropped_checkpoints: usize,
}

/// Stored form of an occurrence, or of some of its tasks.
#[derive(Debug, Default, Deserialize, Serialize)]
struct StoredOccurrence {
    /// One character per task: `d` if it has succeeded, `s` if its newest run is placed and its start has no answer, `r` if
    /// it has had another run, otherwise `.`. One string per step, or a single one in a row of a divided job.
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
    /// Doubtful crashed runs as (step, index, run) by worker.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    doubtful_crashed_runs: BTreeMap<String, Vec<(u16, u16, u32)>>,
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
    /// Occurrences in progress with their tasks. In the head of a divided job, one without tasks: a version that does
    /// not know divided jobs refuses it, and so leaves the job alone.
    #[serde(rename = "o", default)]
    occurrences: BTreeMap<u32, StoredOccurrence>,
    /// Tasks per row of a divided job.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    tasks_per_row: Option<u32>,
    /// Occurrences in progress of a divided job, as first and last number of each range.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    in_progress: Vec<(u32, u32)>,
}

impl Progress {
    /// Encodes the head. For a job that has ended, it contains no occurrences.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&self.stored_head()).unwrap_or_default()
    }

    /// Encodes a row with at most `max_bytes`, if that is possible without some of the checkpoints. Returns `None` for
    /// a part of an occurrence that is not in progress: the row is no longer needed.
    #[must_use]
    pub fn encode_row(&self, row: ProgressRow, max_bytes: usize) -> Option<EncodedRow> {
        match row {
            ProgressRow::Head => {
                let mut head = self.stored_head();
                Some(encode_within(&mut head, max_bytes, |head| {
                    head.occurrences.values_mut().map(StoredOccurrence::drop_checkpoint).max()
                }))
            }
            ProgressRow::Tasks { occurrence, part } => {
                let occurrence = self.occurrences.get(&occurrence)?;
                let mut stored = encode_part(occurrence, part, self.tasks_per_row?);
                Some(encode_within(&mut stored, max_bytes, |part| Some(part.drop_checkpoint())))
            }
        }
    }

    fn stored_head(&self) -> StoredProgress {
        let mut stored = StoredProgress {
            state: self.state,
            next_occurrence: self.next_occurrence,
            occurrences: BTreeMap::new(),
            tasks_per_row: None,
            in_progress: Vec::new(),
        };
        if self.state.is_final() {
            return stored;
        }
        if self.tasks_per_row.is_some() {
            stored.tasks_per_row = self.tasks_per_row;
            stored.in_progress = ranges(self.occurrences.keys().copied());
            stored.occurrences.insert(0, StoredOccurrence::default());
        } else {
            stored.occurrences = self
                .occurrences
                .iter()
                .map(|(number, o)| (*number, encode_occurrence(o)))
                .collect();
        }
        stored
    }

    /// Decodes the stored form of a job with a single row.
    ///
    /// # Errors
    ///
    /// [`ProgressError`] if the row can't be decoded or does not match the steps of `spec`.
    pub fn decode(spec: &JobSpec, row: &[u8]) -> Result<Self, ProgressError> {
        Self::decode_rows(spec, row, &BTreeMap::new())
    }

    /// Decodes the stored form of any job.
    ///
    /// # Errors
    ///
    /// [`ProgressError`] if a row can't be decoded or does not match the steps of `spec`.
    pub fn decode_rows(
        spec: &JobSpec,
        head: &[u8],
        parts: &BTreeMap<ProgressRow, Vec<u8>>,
    ) -> Result<Self, ProgressError> {
        let stored = decode_row(head)?;
        let mut occurrences = BTreeMap::new();
        if let Some(per_row) = stored.tasks_per_row {
            let numbers = stored.in_progress.iter().flat_map(|(first, last)| *first..=*last);
            occurrences.extend(numbers.map(|number| (number, Occurrence::new(spec))));
            for (row, content) in parts {
                let ProgressRow::Tasks { occurrence, part } = row else { continue };
                let Some(occurrence) = occurrences.get_mut(occurrence) else { continue };
                decode_part(content, occurrence, *part, per_row.max(1))?;
            }
            occurrences.values_mut().for_each(Occurrence::count_remaining);
        } else {
            for (number, o) in &stored.occurrences {
                occurrences.insert(*number, decode_occurrence(spec, o)?);
            }
        }
        Ok(Self {
            state: stored.state,
            occurrences,
            next_occurrence: stored.next_occurrence,
            tasks_per_row: stored.tasks_per_row.map(|per_row| per_row.max(1)),
        })
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

impl StoredOccurrence {
    /// Removes the longest checkpoint and returns its length in bytes; 0 if there is none.
    fn drop_checkpoint(&mut self) -> usize {
        let lengths = self.checkpoints.iter().enumerate();
        let longest = lengths.max_by_key(|(_, (.., text))| text.len()).map(|(at, _)| at);
        longest.map_or(0, |at| self.checkpoints.swap_remove(at).2.len())
    }
}

/// Encodes a row, without as many checkpoints as necessary for `max_bytes`. `drop_checkpoint` removes one or several,
/// and returns the length of the longest one, or nothing or 0 if none is left. A task without its checkpoint starts from
/// the beginning, which is better than a row that can't be stored.
fn encode_within<T: Serialize>(
    row: &mut T,
    max_bytes: usize,
    mut drop_checkpoint: impl FnMut(&mut T) -> Option<usize>,
) -> EncodedRow {
    let mut dropped_checkpoints = 0;
    loop {
        let bytes = serde_json::to_vec(row).unwrap_or_default();
        let mut excess = bytes.len().saturating_sub(max_bytes);
        if excess == 0 {
            return EncodedRow { bytes, dropped_checkpoints };
        }
        while excess > 0 {
            match drop_checkpoint(row) {
                Some(length) if length > 0 => {
                    dropped_checkpoints += 1;
                    excess = excess.saturating_sub(length);
                }
                _ => return EncodedRow { bytes, dropped_checkpoints },
            }
        }
    }
}

/// Ranges of successive numbers, as first and last number.
fn ranges(numbers: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == number => *last = number,
            _ => ranges.push((number, number)),
        }
    }
    ranges
}

fn decode_row(row: &[u8]) -> Result<StoredProgress, ProgressError> {
    serde_json::from_slice(row).map_err(|e| malformed(&e))
}

fn malformed(e: &serde_json::Error) -> ProgressError {
    ProgressError::Malformed { cause: e.to_string() }
}

fn encode_occurrence(occurrence: &Occurrence) -> StoredOccurrence {
    let mut stored = StoredOccurrence::default();
    for (step, tasks) in occurrence.steps.iter().enumerate() {
        stored.tasks.push(tasks.iter().map(encode_task).collect());
        for (index, task) in tasks.iter().enumerate() {
            add_task(&mut stored, step as u16, index as u16, task);
        }
    }
    stored
}

/// Encodes the tasks of one row of a divided job.
fn encode_part(occurrence: &Occurrence, part: u32, per_row: u32) -> StoredOccurrence {
    let mut stored = StoredOccurrence::default();
    let mut text = String::new();
    for (step, index, task) in tasks_of_part(occurrence, part, per_row) {
        text.push(encode_task(task));
        add_task(&mut stored, step, index, task);
    }
    stored.tasks.push(text);
    stored
}

/// Tasks of one row of a divided job, as (step, index, progress).
fn tasks_of_part(
    occurrence: &Occurrence,
    part: u32,
    per_row: u32,
) -> impl Iterator<Item = (u16, u16, &TaskProgress)> {
    let steps = occurrence.steps.iter().enumerate();
    let tasks = steps.flat_map(|(step, tasks)| {
        tasks.iter().enumerate().map(move |(index, task)| (step as u16, index as u16, task))
    });
    tasks.skip(part as usize * per_row as usize).take(per_row as usize)
}

fn add_task(stored: &mut StoredOccurrence, step: u16, index: u16, task: &TaskProgress) {
    if task.is_done {
        return;
    }
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
    for (run, worker) in &task.doubtful_crashed_runs {
        let runs = stored.doubtful_crashed_runs.entry(worker.to_string()).or_default();
        runs.push((step, index, *run));
    }
    let Some(worker) = task.worker.as_deref() else { return };
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

fn encode_task(task: &TaskProgress) -> char {
    match task {
        task if task.is_done => 'd',
        task if task.worker.is_some() && task.is_start_unanswered => 's',
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
    for (text, tasks) in stored.tasks.iter().zip(&mut occurrence.steps) {
        decode_states(text, tasks.iter_mut())?;
    }
    decode_tasks(stored, &mut occurrence)?;
    occurrence.count_remaining();
    Ok(occurrence)
}

/// Decodes one row of a divided job into the occurrence that its tasks belong to.
fn decode_part(
    row: &[u8],
    occurrence: &mut Occurrence,
    part: u32,
    per_row: u32,
) -> Result<(), ProgressError> {
    let stored: StoredOccurrence = serde_json::from_slice(row).map_err(|e| malformed(&e))?;
    let [text] = stored.tasks.as_slice() else { return Err(ProgressError::Mismatch) };
    let tasks = occurrence.steps.iter_mut().flatten();
    let tasks = tasks.skip(part as usize * per_row as usize).take(per_row as usize);
    decode_states(text, tasks)?;
    decode_tasks(&stored, occurrence)
}

/// Decodes the characters of tasks. There must be one for each task.
fn decode_states<'a>(
    text: &str,
    mut tasks: impl Iterator<Item = &'a mut TaskProgress>,
) -> Result<(), ProgressError> {
    for c in text.chars() {
        let task = tasks.next().ok_or(ProgressError::Mismatch)?;
        task.is_done = c == 'd';
        task.is_start_unanswered = c == 's';
        // The number of the run is stored for placed tasks only.
        task.last_run = u32::from(c != '.');
    }
    if tasks.next().is_some() { Err(ProgressError::Mismatch) } else { Ok(()) }
}

/// Decodes all but the characters of the tasks.
fn decode_tasks(
    stored: &StoredOccurrence,
    occurrence: &mut Occurrence,
) -> Result<(), ProgressError> {
    for (step, index, text) in &stored.checkpoints {
        stored_task(occurrence, *step, *index)?.checkpoint.clone_from(text);
    }
    for (step, index, run) in &stored.failed_runs {
        stored_task(occurrence, *step, *index)?.failed_runs.insert(*run);
    }
    for (worker, runs) in &stored.crashed_runs {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index, run) in runs {
            let task = stored_task(occurrence, *step, *index)?;
            task.crashed_runs.insert(*run, Rc::clone(&worker));
        }
    }
    for (worker, runs) in &stored.mass_crashed_runs {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index, run) in runs {
            let task = stored_task(occurrence, *step, *index)?;
            task.mass_crashed_runs.insert(*run, Rc::clone(&worker));
        }
    }
    for (worker, runs) in &stored.doubtful_crashed_runs {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index, run) in runs {
            let task = stored_task(occurrence, *step, *index)?;
            task.doubtful_crashed_runs.insert(*run, Rc::clone(&worker));
        }
    }
    for (started, runs) in &stored.incarnations {
        for (step, index, run) in runs {
            let task = stored_task(occurrence, *step, *index)?;
            task.last_run = *run;
            task.worker_started_unix_ms = Some(*started);
        }
    }
    for (worker, tasks) in &stored.placements {
        let worker: Rc<str> = Rc::from(worker.as_str());
        for (step, index) in tasks {
            stored_task(occurrence, *step, *index)?.worker = Some(Rc::clone(&worker));
        }
    }
    Ok(())
}

fn stored_task(
    occurrence: &mut Occurrence,
    step: u16,
    index: u16,
) -> Result<&mut TaskProgress, ProgressError> {
    let tasks = occurrence.steps.get_mut(usize::from(step));
    tasks.and_then(|tasks| tasks.get_mut(usize::from(index))).ok_or(ProgressError::Mismatch)
}
