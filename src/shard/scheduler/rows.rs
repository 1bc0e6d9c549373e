//! Write-back of job rows, and what may be acknowledged or started once they are stored.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use crate::job::{JobId, JobState, JobTaskId};
use crate::shard::worker::WorkerId;
use crate::telemetry::event::shard as event;

use super::ShardScheduler;

/// Number of ended jobs whose IDs are kept, so that a job whose row is read again is not restarted.
const MAX_ENDED_JOBS_KEPT: usize = 20_000;

/// Rows to write in one transaction.
#[derive(Debug)]
pub struct RowBatch {
    /// Number of complete batches handed out so far. A batch is complete if it has all changed rows; an incomplete one
    /// repeats the previous number.
    pub number: u64,
    /// Stored progress of each job in the batch.
    pub rows: BTreeMap<JobId, JobRow>,
}

/// New content of a job's progress row.
#[derive(Clone, Debug)]
pub struct JobRow {
    /// Progress as encoded by [`crate::job::Progress::encode`].
    pub progress: Vec<u8>,
    /// True if the job has ended, so that its description may be deleted.
    pub has_ended: bool,
}

/// Reserved run that starts once its worker is stored.
#[derive(Clone, Debug)]
pub(super) struct PlannedStart {
    pub(super) worker: WorkerId,
    pub(super) task: JobTaskId,
    pub(super) run: u32,
}

/// Batch that is being written.
#[derive(Debug)]
struct BatchInFlight {
    number: u64,
    /// Jobs that end with this batch.
    ended: Vec<JobId>,
    /// Runs whose workers the batch stores.
    planned: Vec<PlannedStart>,
}

/// Changes that are not stored yet.
#[derive(Debug, Default)]
pub(super) struct PendingRows {
    dirty: BTreeSet<JobId>,
    /// Subset of `dirty` that should be written soon: runs wait for it, or a job has ended.
    urgent: BTreeSet<JobId>,
    /// Last job of the last batch, after which the next batch begins, so that the order of IDs gives no job precedence.
    last_taken: Option<JobId>,
    /// Runs whose workers are not stored yet.
    planned: BTreeMap<JobId, Vec<PlannedStart>>,
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
    pub(super) fn mark(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// Marks a row as changed and to be written soon.
    pub(super) fn mark_urgent(&mut self, id: JobId) {
        self.dirty.insert(id);
        self.urgent.insert(id);
    }

    /// Schedules the start of a reserved run for when the row that names its worker is stored.
    pub(super) fn plan_start(&mut self, planned: PlannedStart) {
        let id = planned.task.step.job;
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

    /// Returns up to `most` changed jobs, urgent ones first, each group round robin.
    fn next_jobs(&self, most: usize, is_urgent: bool) -> Vec<JobId> {
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
    /// Returns true if a run waits for a row or the end of a job is not stored.
    #[must_use]
    pub fn has_urgent_rows(&self) -> bool {
        !self.rows.urgent.is_empty()
    }

    /// Removes and returns the next rows to write, for at most `max_jobs` jobs, and only urgent ones if `is_urgent`.
    /// Returns `None` if there is nothing to write or a batch is in flight.
    pub fn take_rows(&mut self, max_jobs: usize, is_urgent: bool) -> Option<RowBatch> {
        if self.rows.in_flight.is_some() {
            return None;
        }
        let due = if is_urgent { &self.rows.urgent } else { &self.rows.dirty };
        if due.is_empty() && (is_urgent || self.rows.ends.is_empty()) {
            return None;
        }
        let ids = self.rows.next_jobs(max_jobs, is_urgent);
        self.rows.last_taken = ids.last().copied();
        // Ends may be acknowledged only with a batch that covers all jobs they may belong to.
        if ids.len() == self.rows.dirty.len() {
            self.rows.complete_batches += 1;
        }
        let mut rows = BTreeMap::new();
        let mut ended = Vec::new();
        let mut planned = Vec::new();
        for id in ids {
            self.rows.dirty.remove(&id);
            self.rows.urgent.remove(&id);
            planned.extend(self.rows.planned.remove(&id).unwrap_or_default());
            let Some(job) = self.jobs.get(&id) else { continue };
            let has_ended = job.progress.state.is_final();
            if has_ended {
                ended.push(id);
            }
            rows.insert(id, JobRow { progress: job.progress.encode(), has_ended });
        }
        let number = self.rows.complete_batches;
        self.rows.in_flight = Some(BatchInFlight { number, ended, planned });
        Some(RowBatch { number, rows })
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
        for id in batch.ended {
            self.jobs.remove(&id);
            self.rows.record_ended(id);
        }
        self.start_planned(now, batch.planned);
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
        self.rows.urgent.extend(failed.ended);
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
fn round_robin(jobs: &BTreeSet<JobId>, last: Option<JobId>) -> impl Iterator<Item = &JobId> {
    let (behind, up_to) = match last {
        Some(last) => (Bound::Excluded(last), Some(Bound::Included(last))),
        None => (Bound::Unbounded, None),
    };
    let first = up_to.map(|up_to| jobs.range((Bound::Unbounded, up_to)));
    jobs.range((behind, Bound::Unbounded)).chain(first.into_iter().flatten())
}
