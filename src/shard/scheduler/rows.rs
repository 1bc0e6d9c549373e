//! Write-back of job rows, and what may be acknowledged or started once they are stored.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use crate::job::progress::ProgressRow;
use crate::job::{JobId, JobState, JobTaskId, StepId};
use crate::shard::worker::WorkerId;
use crate::telemetry::event::shard as event;

use super::ShardScheduler;

/// Number of ended jobs whose IDs are kept, so that a job whose row is read again is not restarted.
const MAX_ENDED_JOBS_KEPT: usize = 20_000;

/// Identifies a row with progress of a job.
pub type RowId = (JobId, ProgressRow);

/// Bytes of rows in one transaction, well below the store's limit of 1 MB, which includes their encoding and keys.
const MAX_BATCH_BYTES: usize = 600_000;

/// Rows to write in one transaction.
#[derive(Debug)]
pub struct RowBatch {
    /// Number of complete batches handed out so far. A batch is complete if it has all changed rows; an incomplete one
    /// repeats the previous number.
    pub number: u64,
    /// New contents of the rows in the batch.
    pub rows: BTreeMap<RowId, JobRow>,
    /// Number of runs that start once the batch is stored.
    pub starts: usize,
}

/// New content of a row with progress of a job.
#[derive(Clone, Debug)]
pub struct JobRow {
    /// Progress as encoded by [`crate::job::Progress::encode_row`]; `None` to remove the row.
    pub progress: Option<Vec<u8>>,
    /// True if the job has ended, so that its description may be deleted.
    pub has_ended: bool,
}

/// Whether the head of a divided job is stored as such. Its other rows mean nothing before that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HeadState {
    /// No row of the job is stored. The head goes with the first of the others.
    Missing,
    /// A version that does not divide jobs has stored all tasks in the head. It is replaced once all other rows are
    /// stored or are in the same transaction, and nothing is concluded from them before.
    Undivided,
    /// The head is stored; the other rows can be written in any order.
    Stored,
}

/// Reserved run that starts once its worker is stored.
#[derive(Clone, Debug)]
pub(super) struct PlannedStart {
    /// Row that names the worker.
    pub(super) row: ProgressRow,
    pub(super) worker: WorkerId,
    pub(super) task: JobTaskId,
    pub(super) run: u32,
    /// Number of the task's last run before this one; 0 if there was none.
    pub(super) earlier_run: u32,
    /// Time for which the task had waited for a worker, for the log.
    pub(super) waited: Duration,
}

/// Batch that is being written.
#[derive(Debug)]
struct BatchInFlight {
    number: u64,
    /// Jobs that end with this batch.
    ended: Vec<JobId>,
    /// Divided jobs whose head the batch stores.
    heads: Vec<JobId>,
    /// Runs whose workers the batch stores.
    planned: Vec<PlannedStart>,
}

/// Changes that are not stored yet.
#[derive(Debug, Default)]
pub(super) struct PendingRows {
    dirty: BTreeSet<RowId>,
    /// Subset of `dirty` that should be written soon: runs wait for it, or a job has ended.
    urgent: BTreeSet<RowId>,
    /// Last row of the last batch, after which the next batch begins, so that the order of IDs gives no job precedence.
    last_taken: Option<RowId>,
    /// Runs whose workers are not stored yet, by the row that names the worker.
    planned: BTreeMap<RowId, Vec<PlannedStart>>,
    /// Stored members of gangs, by step and run, that wait until the workers of all members are stored.
    partial_gangs: BTreeMap<(StepId, u32), Vec<PlannedStart>>,
    /// Number of complete batches handed out so far, see [`RowBatch::number`].
    complete_batches: u64,
    in_flight: Option<BatchInFlight>,
    /// Sequence number of the newest end of each worker, by the number of the batch after which it may be acknowledged.
    ends: BTreeMap<u64, BTreeMap<WorkerId, u64>>,
    ended: BTreeSet<JobId>,
    /// The same IDs as in `ended`, oldest first.
    ended_in_order: VecDeque<JobId>,
}

impl PendingRows {
    /// Marks a row as changed.
    pub(super) fn mark(&mut self, id: RowId) {
        self.dirty.insert(id);
    }

    /// Marks the head of a job as changed.
    pub(super) fn mark_head(&mut self, id: JobId) {
        self.mark((id, ProgressRow::Head));
    }

    /// Marks a row as changed and to be written soon.
    pub(super) fn mark_urgent(&mut self, id: RowId) {
        self.dirty.insert(id);
        self.urgent.insert(id);
    }

    /// Schedules the start of a reserved run for when the row that names its worker is stored.
    pub(super) fn plan_start(&mut self, planned: PlannedStart) {
        let id = (planned.task.step.job, planned.row);
        self.mark_urgent(id);
        self.planned.entry(id).or_default().push(planned);
    }

    /// Records an end that may be acknowledged once the next batch of all changed rows is stored.
    pub(super) fn record_end(&mut self, worker: &WorkerId, number: u64) {
        let newest = self
            .ends
            .entry(self.complete_batches + 1)
            .or_default()
            .entry(worker.clone())
            .or_default();
        *newest = number.max(*newest);
    }

    /// Removes the unacknowledged ends of a worker's previous incarnation. The next one reuses their numbers.
    pub(super) fn forget_ends(&mut self, worker: &WorkerId) {
        for ends in self.ends.values_mut() {
            ends.remove(worker);
        }
    }

    /// Returns up to `most` changed rows, urgent ones first, each group round robin.
    fn next_rows(&self, most: usize, is_urgent: bool) -> Vec<RowId> {
        let urgent = round_robin(&self.urgent, self.last_taken);
        let others = round_robin(&self.dirty, self.last_taken);
        let others = others.filter(|id| !is_urgent && !self.urgent.contains(id));
        urgent.chain(others).take(most).copied().collect()
    }

    pub(super) fn has_ended(&self, id: JobId) -> bool {
        self.ended.contains(&id)
    }

    pub(super) fn record_ended(&mut self, id: JobId) {
        if self.ended.insert(id) {
            self.ended_in_order.push_back(id);
        }
        if self.ended.len() > MAX_ENDED_JOBS_KEPT
            && let Some(oldest) = self.ended_in_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }
}

impl ShardScheduler {
    /// Lets the rows of tasks be written whose leases have lapsed, so that the next owner does not wait for them again.
    pub(super) fn mark_lapsed(&mut self, tasks: &[JobTaskId]) {
        for task in tasks {
            if let Some(job) = self.jobs.get(&task.step.job) {
                self.rows.mark((task.step.job, job.progress.row_of(task)));
            }
        }
    }

    /// Returns true if a run waits for a row or the end of a job is not stored.
    #[must_use]
    pub fn has_urgent_rows(&self) -> bool {
        !self.rows.urgent.is_empty()
    }

    /// Removes and returns the next rows to write, `max_rows` at most, and only urgent ones if `is_urgent`. Returns
    /// `None` if there is nothing to write or a batch is in flight.
    pub fn take_rows(&mut self, max_rows: usize, is_urgent: bool) -> Option<RowBatch> {
        if self.rows.in_flight.is_some() {
            return None;
        }
        let due = if is_urgent { &self.rows.urgent } else { &self.rows.dirty };
        if due.is_empty() && (is_urgent || self.rows.ends.is_empty()) {
            return None;
        }
        let ids = self.next_batch(max_rows, is_urgent);
        let has_head = |id: JobId| ids.contains(&(id, ProgressRow::Head));
        let mut bytes = 0;
        let mut rows = BTreeMap::new();
        let (mut ended, mut heads, mut planned) = (Vec::new(), Vec::new(), Vec::new());
        for id in ids.iter().copied() {
            let (job_id, row) = id;
            // Rows that replace an undivided head stay together; they are not larger than that was.
            let is_undivided =
                self.jobs.get(&job_id).is_some_and(|job| job.head == HeadState::Undivided);
            if bytes >= MAX_BATCH_BYTES && !(is_undivided && has_head(job_id)) {
                continue;
            }
            self.rows.last_taken = Some(id);
            self.rows.dirty.remove(&id);
            self.rows.urgent.remove(&id);
            let Some(job) = self.jobs.get(&job_id) else {
                self.rows.planned.remove(&id);
                continue;
            };
            let has_ended = job.progress.state.is_final();
            if row == ProgressRow::Head {
                heads.push(job_id);
                if has_ended {
                    ended.push(job_id);
                }
            } else if has_ended {
                // The head says all; the other rows are removed with it later.
                self.rows.planned.remove(&id);
                continue;
            }
            if !is_undivided || has_head(job_id) {
                planned.extend(self.rows.planned.remove(&id).unwrap_or_default());
            }
            let encoded = job.progress.encode_row(row, self.max_row_bytes);
            if let Some(encoded) = encoded.as_ref().filter(|row| row.dropped_checkpoints > 0) {
                event::CHECKPOINTS_DROPPED.emit(format_args!(
                    "job={job_id} dropped={} bytes={} limit={}",
                    encoded.dropped_checkpoints,
                    encoded.bytes.len(),
                    self.max_row_bytes
                ));
            }
            let progress = encoded.map(|encoded| encoded.bytes);
            bytes += progress.as_ref().map_or(0, Vec::len);
            rows.insert(id, JobRow { progress, has_ended });
        }
        // Ends may be acknowledged only with a batch that covers all rows they may belong to.
        if self.rows.dirty.is_empty() {
            self.rows.complete_batches += 1;
        }
        let number = self.rows.complete_batches;
        let starts = planned.len();
        self.rows.in_flight = Some(BatchInFlight { number, ended, heads, planned });
        Some(RowBatch { number, rows, starts })
    }

    /// Chooses the rows of the next batch, in the order of [`PendingRows::next_rows`].
    ///
    /// A changed head goes with the first of the other rows of its job, since it lists the occurrences that these
    /// belong to. See [`HeadState`] for when it has to wait for them.
    fn next_batch(&self, max_rows: usize, is_urgent: bool) -> Vec<RowId> {
        let mut batch = Vec::new();
        for id in self.rows.next_rows(max_rows, is_urgent) {
            let head = (id.0, ProgressRow::Head);
            let is_missing = self.jobs.get(&id.0).is_some_and(|job| job.head == HeadState::Missing);
            let is_head_due = is_missing || self.rows.dirty.contains(&head);
            let needs_head = is_head_due && id != head && !batch.contains(&head);
            if batch.contains(&id) {
                continue;
            }
            if batch.len() + usize::from(needs_head) >= max_rows.max(2) {
                break;
            }
            if needs_head {
                batch.push(head);
            }
            batch.push(id);
        }
        let is_undivided = |id: &JobId| {
            self.jobs.get(id).is_some_and(|job| {
                job.head == HeadState::Undivided && !job.progress.state.is_final()
            })
        };
        let undivided: BTreeSet<JobId> =
            batch.iter().map(|(id, _)| *id).filter(is_undivided).collect();
        for id in undivided {
            let head = (id, ProgressRow::Head);
            let last = (id, ProgressRow::Tasks { occurrence: u32::MAX, part: u32::MAX });
            // The head waits for all other rows of the job.
            if self.rows.dirty.range(head..=last).any(|row| !batch.contains(row)) {
                batch.retain(|row| *row != head);
            }
        }
        batch
    }

    /// Records that the batch in flight was written.
    pub fn on_written(&mut self, now: Duration) {
        let Some(batch) = self.rows.in_flight.take() else { return };
        let later = self.rows.ends.split_off(&(batch.number + 1));
        let stored = std::mem::replace(&mut self.rows.ends, later);
        for (id, end) in stored.into_values().flatten() {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.acked_end = worker.acked_end.max(end);
            }
        }
        for id in batch.heads {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.head = HeadState::Stored;
            }
        }
        for id in batch.ended {
            self.jobs.remove(&id);
            self.rows.record_ended(id);
        }
        let ready = self.whole_gangs(batch.planned);
        self.start_planned(now, ready);
    }

    /// Returns the starts whose workers are stored, without gangs of which some members are still in rows to write.
    fn whole_gangs(&mut self, stored: Vec<PlannedStart>) -> Vec<PlannedStart> {
        let mut ready = Vec::new();
        for planned in stored {
            let step = planned.task.step;
            let Some(size) = self.gang_size(&step) else {
                ready.push(planned);
                continue;
            };
            let key = (step, planned.run);
            // An earlier run of the gang is not started any more.
            self.rows.partial_gangs.retain(|other, _| other.0 != step || *other == key);
            let members = self.rows.partial_gangs.entry(key).or_default();
            members.push(planned);
            if members.len() >= size as usize {
                ready.extend(self.rows.partial_gangs.remove(&key).unwrap_or_default());
            }
        }
        let jobs = &self.jobs;
        self.rows.partial_gangs.retain(|(step, _), _| jobs.contains_key(&step.job));
        ready
    }

    /// Ends a job as failed, because the store rejects its row. If it rejects the row of the ended job as well, the job
    /// is dropped.
    pub fn on_row_rejected(&mut self, now: Duration, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.progress.state.is_final() {
            self.jobs.remove(&id);
            self.rows.record_ended(id);
            return;
        }
        event::JOB_ENDED.emit(format_args!("job={id} state=failed cause=row-rejected"));
        self.end_job(now, id, JobState::Failed);
    }

    /// Records that the batch in flight was not written, or that its outcome is unknown. Its jobs are written with the
    /// next one.
    pub fn on_write_failed(&mut self, batch: &RowBatch) {
        let Some(failed) = self.rows.in_flight.take() else { return };
        self.rows.dirty.extend(batch.rows.keys());
        self.rows.urgent.extend(failed.ended.into_iter().map(|id| (id, ProgressRow::Head)));
        for planned in failed.planned {
            self.rows.plan_start(planned);
        }
        // The ends of the failed batch may be acknowledged only once all of its jobs are stored, which may take several
        // batches.
        let later = self.rows.ends.split_off(&(batch.number + 1));
        let ends = std::mem::replace(&mut self.rows.ends, later);
        for (worker, number) in ends.into_values().flatten() {
            self.rows.record_end(&worker, number);
        }
    }
}

/// Iterates over all elements of a set, beginning after `last`.
fn round_robin(rows: &BTreeSet<RowId>, last: Option<RowId>) -> impl Iterator<Item = &RowId> {
    let (behind, up_to) = match last {
        Some(last) => (Bound::Excluded(last), Some(Bound::Included(last))),
        None => (Bound::Unbounded, None),
    };
    let first = up_to.map(|up_to| rows.range((Bound::Unbounded, up_to)));
    rows.range((behind, Bound::Unbounded)).chain(first.into_iter().flatten())
}
