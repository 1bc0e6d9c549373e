//! Rows that wait to be written, and what may be acknowledged once they are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{JobId, JobTaskId};
use crate::shard::worker::WorkerId;

use super::ShardScheduler;

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

/// A run that starts once its worker is stored.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    pub(super) worker: WorkerId,
    pub(super) task: JobTaskId,
    pub(super) run: u32,
}

/// The batch that is being written.
#[derive(Debug)]
struct InFlight {
    number: u64,
    /// Jobs that it shows as ended.
    ended: Vec<JobId>,
    /// Runs whose workers it contains.
    planned: Vec<Planned>,
}

/// Jobs whose rows are to be written.
#[derive(Debug, Default)]
pub(super) struct PendingRows {
    dirty: BTreeSet<JobId>,
    /// The part of `dirty` for which somebody waits: runs that may not start yet, and ended jobs.
    urgent: BTreeSet<JobId>,
    /// Runs whose workers are not in a row yet.
    planned: BTreeMap<JobId, Vec<Planned>>,
    /// Batches of all rows handed out so far.
    batches: u64,
    in_flight: Option<InFlight>,
    /// Newest end of each worker by the batch that contains it.
    ends: BTreeMap<u64, BTreeMap<WorkerId, u64>>,
    ended: BTreeSet<JobId>,
}

impl PendingRows {
    pub(super) fn mark(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// The row is to be written soon.
    pub(super) fn mark_urgent(&mut self, id: JobId) {
        self.dirty.insert(id);
        self.urgent.insert(id);
    }

    /// The run starts once the row names its worker.
    pub(super) fn plan(&mut self, planned: Planned) {
        let id = planned.task.step.job;
        self.mark_urgent(id);
        self.planned.entry(id).or_default().push(planned);
    }

    /// Notes an end of a worker that the next batch contains.
    pub(super) fn record_end(&mut self, worker: &WorkerId, number: u64) {
        let newest =
            self.ends.entry(self.batches + 1).or_default().entry(worker.clone()).or_default();
        *newest = number.max(*newest);
    }

    /// Forgets the ends of an earlier incarnation of a worker: their numbers mean other ends in the next one.
    pub(super) fn forget_ends(&mut self, worker: &WorkerId) {
        for ends in self.ends.values_mut() {
            ends.remove(worker);
        }
    }

    pub(super) fn has_ended(&self, id: JobId) -> bool {
        self.ended.contains(&id)
    }

    pub(super) fn record_ended(&mut self, id: JobId) {
        self.ended.insert(id);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_first();
        }
    }
}

impl ShardScheduler {
    /// True if somebody waits for a row.
    #[must_use]
    pub fn has_urgent_rows(&self) -> bool {
        !self.rows.urgent.is_empty()
    }

    /// The next rows to write, at most `most` jobs, only the urgent ones if `is_urgent`; none if nothing is to be
    /// written or a batch is in flight.
    pub fn take_rows(&mut self, most: usize, is_urgent: bool) -> Option<RowBatch> {
        if self.rows.in_flight.is_some() {
            return None;
        }
        let due = if is_urgent { &self.rows.urgent } else { &self.rows.dirty };
        if due.is_empty() && (is_urgent || self.rows.ends.is_empty()) {
            return None;
        }
        let urgent = self.rows.urgent.iter();
        let others = due.iter().filter(|id| !self.rows.urgent.contains(id));
        let ids: Vec<JobId> = urgent.chain(others).take(most).copied().collect();
        // Ends are acknowledged with the batch that writes all jobs they belong to.
        if ids.len() == self.rows.dirty.len() {
            self.rows.batches += 1;
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
        let number = self.rows.batches;
        self.rows.in_flight = Some(InFlight { number, ended, planned });
        Some(RowBatch { number, rows })
    }

    /// Notes that a batch was written.
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

    /// Notes that a batch was not written; its jobs are written with the next one.
    pub fn on_write_failed(&mut self, batch: &RowBatch) {
        let Some(failed) = self.rows.in_flight.take() else { return };
        self.rows.dirty.extend(batch.rows.keys());
        self.rows.urgent.extend(failed.ended);
        for planned in failed.planned {
            self.rows.plan(planned);
        }
        // The ends of the failed batch are stored only once all of its jobs are, which may take several batches.
        let later = self.rows.ends.split_off(&(batch.number + 1));
        let ends = std::mem::replace(&mut self.rows.ends, later);
        for (worker, number) in ends.into_values().flatten() {
            self.rows.record_end(&worker, number);
        }
    }
}
