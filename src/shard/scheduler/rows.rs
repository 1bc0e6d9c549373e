//! Rows that wait to be written, and what may be acknowledged once they are.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::JobId;
use crate::shard::worker::WorkerId;

use super::Scheduler;

/// Ended jobs whose identity is kept, so that a late copy of their acceptance is recognized.
const ENDED_KEPT: usize = 20_000;

/// Rows to be written in one transaction.
#[derive(Debug)]
pub struct RowBatch {
    /// Number of the batch.
    pub number: u64,
    /// Rows by job.
    pub rows: BTreeMap<JobId, JobRow>,
}

/// The row of a job.
#[derive(Clone, Debug)]
pub struct JobRow {
    /// Encoded progress.
    pub progress: Vec<u8>,
    /// The job has ended, and its description is no longer needed.
    pub has_ended: bool,
}

/// Jobs whose rows are to be written.
#[derive(Debug, Default)]
pub(super) struct PendingRows {
    dirty: BTreeSet<JobId>,
    /// Jobs that have no row yet.
    pub(super) new_jobs: usize,
    /// Batches handed out so far.
    batches: u64,
    /// The batch that is being written, and its final jobs.
    in_flight: Option<(u64, Vec<JobId>)>,
    /// Newest end of each worker by the batch that contains it.
    ends: BTreeMap<u64, BTreeMap<WorkerId, u64>>,
    ended: BTreeSet<JobId>,
    /// The jobs of the predecessor have been released.
    pub(super) is_takeover_done: bool,
}

impl PendingRows {
    pub(super) fn mark(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// Notes an end of a worker that the next batch contains.
    pub(super) fn note_end(&mut self, worker: &WorkerId, number: u64) {
        let newest =
            self.ends.entry(self.batches + 1).or_default().entry(worker.clone()).or_default();
        *newest = number.max(*newest);
    }

    pub(super) fn has_ended(&self, id: JobId) -> bool {
        self.ended.contains(&id)
    }

    pub(super) fn note_ended(&mut self, id: JobId) {
        self.ended.insert(id);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_first();
        }
    }
}

impl Scheduler {
    /// True if a job waits for its first row.
    #[must_use]
    pub fn has_new_jobs(&self) -> bool {
        self.rows.new_jobs > 0
    }

    /// The next rows to write, at most `most` jobs; none if nothing is to be written or a batch is in flight.
    pub fn take_rows(&mut self, most: usize) -> Option<RowBatch> {
        if self.rows.in_flight.is_some() {
            return None;
        }
        if self.rows.dirty.is_empty() && self.rows.ends.is_empty() {
            return None;
        }
        let ids: Vec<JobId> = self.rows.dirty.iter().take(most).copied().collect();
        // Ends are acknowledged with the batch that writes all jobs they belong to.
        if ids.len() == self.rows.dirty.len() {
            self.rows.batches += 1;
        }
        let mut rows = BTreeMap::new();
        let mut ended = Vec::new();
        for id in ids {
            self.rows.dirty.remove(&id);
            let Some(job) = self.jobs.get(&id) else { continue };
            let has_ended = job.progress.state.is_final();
            if has_ended {
                ended.push(id);
            }
            rows.insert(id, JobRow { progress: job.progress.encode(), has_ended });
        }
        let number = self.rows.batches;
        self.rows.in_flight = Some((number, ended));
        Some(RowBatch { number, rows })
    }

    /// Notes that a batch was written.
    pub fn on_written(&mut self, batch: &RowBatch) {
        let Some((number, ended)) = self.rows.in_flight.take() else { return };
        let later = self.rows.ends.split_off(&(number + 1));
        let stored = std::mem::replace(&mut self.rows.ends, later);
        for (id, end) in stored.into_values().flatten() {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.acked_end = worker.acked_end.max(end);
            }
        }
        for id in batch.rows.keys() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if !job.is_begun {
                job.is_begun = true;
                self.rows.new_jobs -= 1;
                self.push_ready(*id);
            }
        }
        for id in ended {
            self.jobs.remove(&id);
            self.rows.note_ended(id);
        }
    }

    /// Notes that a batch was not written; its jobs are written with the next one.
    pub fn on_write_failed(&mut self, batch: &RowBatch) {
        if self.rows.in_flight.take().is_none() {
            return;
        }
        self.rows.dirty.extend(batch.rows.keys());
        // The ends of the failed batch are stored only once all of its jobs are, which may take several batches.
        let later = self.rows.ends.split_off(&(batch.number + 1));
        let failed = std::mem::replace(&mut self.rows.ends, later);
        for (worker, number) in failed.into_values().flatten() {
            self.rows.note_end(&worker, number);
        }
    }
}
