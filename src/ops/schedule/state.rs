//! The state of one hold: tasks, workers and what is on its way. It does no input or output.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::attempt::RunningAttempt;
use super::event::{RowChange, Takeover, TaskWrite};
use super::fleet::Fleet;
use super::preempt::PlannedEviction;
use crate::config::Timing;
use crate::platform::table::{CommitResult, ReadResponse, Revision, Row};
use crate::platform::worker::AttemptRef;
use crate::policy::evacuation::{Ramp, TransferWindow};
use crate::policy::interference::InterferenceModel;
use crate::policy::interference::control::Controller;
use crate::policy::queue::{Waiting, WaitingQueue};
use crate::task::{TaskId, TaskRow, TaskState};
use crate::worker::quarantine::Quarantine;
use crate::worker::{Commitment, Pool};

/// A task of the domain.
#[derive(Debug)]
pub(super) struct CachedTask {
    /// The row as last read or written.
    pub(super) row: TaskRow,
    /// Revision of the row.
    pub(super) revision: Revision,
    /// True while a change of the row is on its way to the table.
    pub(super) writing: bool,
    /// The attempt. Invariant: set whenever the row is `running`.
    pub(super) live: Option<RunningAttempt>,
    /// True while the change on its way is an assignment, whose resources count.
    pub(super) assigning: bool,
    /// Worker of the last attempt, which may still have the checkpoint.
    pub(super) last_worker: Option<String>,
    /// When the row was first seen in a final state.
    pub(super) ended_at: Option<Instant>,
}

impl CachedTask {
    pub(super) fn attempt(&self) -> AttemptRef {
        AttemptRef { task: self.row.id.clone(), attempt: self.row.attempt }
    }
}

/// State of one hold.
#[derive(Debug)]
pub(super) struct SchedulerState {
    pub(super) domain: String,
    pub(super) timing: Timing,
    pub(super) takeover: Takeover,
    first_epoch: u64,
    pub(super) tasks: BTreeMap<TaskId, CachedTask>,
    pub(super) fleet: Fleet,
    pub(super) pool: Pool,
    /// Attempts on workers that no row knows; they are stopped.
    pub(super) orphans: BTreeSet<(String, AttemptRef)>,
    /// Exactly the waiting tasks without a change on its way.
    pub(super) queue: WaitingQueue,
    pub(super) quarantine: Quarantine,
    /// Evictions for urgent tasks that have not started yet.
    pub(super) plans: BTreeMap<TaskId, PlannedEviction>,
    /// Out of use at the last tick, so that each quarantine is logged once.
    pub(super) out_of_use: BTreeSet<String>,
    pub(super) interference: InterferenceModel,
    pub(super) controller: Controller,
    /// How many checkpoints the object store takes at a time, and those that count for it.
    pub(super) transfer_window: TransferWindow,
    pub(super) transfers: BTreeSet<AttemptRef>,
    /// True since the domain was last seen out of service.
    pub(super) was_out: bool,
    pub(super) ramp: Option<Ramp>,
    /// Catalogue revision at which the protected services were last read.
    pub(super) latency_targets_at: Option<Revision>,
    /// Catalogue revision and capacity at which unplaceable tasks were last tried again.
    pub(super) reconsidered_at: Option<(Revision, u64)>,
    /// Changes by batch.
    inflight: BTreeMap<u64, Vec<RowChange>>,
    next_batch: u64,
    pub(super) longest_tick_us: u64,
    /// True once all rows of the domain have been read.
    pub(super) loaded: bool,
    /// True once the wait for the predecessor's starts is over.
    pub(super) ready: bool,
}

impl SchedulerState {
    pub(super) fn new(domain: &str, timing: Timing, takeover: Takeover) -> Self {
        let mut state = Self {
            domain: domain.to_owned(),
            timing,
            tasks: BTreeMap::new(),
            fleet: Fleet::default(),
            pool: Pool::default(),
            orphans: BTreeSet::new(),
            queue: WaitingQueue::default(),
            quarantine: Quarantine::default(),
            plans: BTreeMap::new(),
            out_of_use: BTreeSet::new(),
            interference: InterferenceModel::default(),
            controller: Controller::default(),
            transfer_window: TransferWindow::default(),
            transfers: BTreeSet::new(),
            was_out: false,
            ramp: None,
            latency_targets_at: None,
            reconsidered_at: None,
            inflight: BTreeMap::new(),
            next_batch: 1,
            longest_tick_us: 0,
            loaded: !takeover.tasks.is_empty(),
            ready: !takeover.has_predecessor,
            first_epoch: takeover.epoch,
            takeover,
        };
        for (row, revision) in std::mem::take(&mut state.takeover.tasks) {
            let at = state.takeover.at;
            state.on_row(row, revision, at);
        }
        state
    }

    pub(super) fn epoch(&self) -> u64 {
        self.takeover.epoch
    }

    /// True if a result belongs to this hold. The epoch rises once after a hand-over, without a break of the hold.
    pub(super) fn knows_epoch(&self, epoch: u64) -> bool {
        (self.first_epoch..=self.takeover.epoch).contains(&epoch)
    }

    /// The rows of tasks that have not ended, as last read or written.
    pub(super) fn rows(&self) -> Vec<Row> {
        let open = self.tasks.values().filter(|task| !task.row.state.is_final());
        open.map(|task| Row {
            key: crate::task::row::row_key(&self.domain, &task.row.id),
            revision: task.revision,
            value: serde_json::to_value(&task.row).ok(),
        })
        .collect()
    }

    /// Longest time for which a predecessor can have leased a worker to an attempt of this task.
    pub(super) fn longest_lease(&self, row: &TaskRow) -> Duration {
        if row.exclusive { self.timing.task_lease() } else { self.timing.force_time() }
    }

    /// Takes rows read from the table.
    pub(super) fn on_task_rows(&mut self, base: Revision, response: &ReadResponse, now: Instant) {
        let prefix = crate::task::row::domain_prefix(&self.domain);
        let mut present = BTreeSet::new();
        for row in &response.rows {
            let Some(id) = row.key.strip_prefix(&prefix) else { continue };
            let id = TaskId::new(id);
            let decoded =
                row.value.as_ref().and_then(|value| serde::Deserialize::deserialize(value).ok());
            match decoded {
                Some(decoded) => {
                    present.insert(id);
                    self.on_row(decoded, row.revision, now);
                }
                None => self.drop_row(&id, row.revision),
            }
        }
        if base == 0 {
            self.drop_missing(&present, response.revision);
            self.loaded = true;
        }
    }

    fn on_row(&mut self, row: TaskRow, revision: Revision, now: Instant) {
        let id = row.id.clone();
        if self.tasks.get(&id).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.replace_row(row, revision, now);
    }

    /// Replaces a row and keeps attempt and commitment in step with it.
    fn replace_row(&mut self, row: TaskRow, revision: Revision, now: Instant) {
        let id = row.id.clone();
        let previous = self.tasks.remove(&id);
        let writing = previous.as_ref().is_some_and(|known| known.writing);
        let assigning = previous.as_ref().is_some_and(|known| known.assigning);
        let last_worker = previous
            .as_ref()
            .and_then(|known| known.row.worker.clone().or_else(|| known.last_worker.clone()));
        let same = previous.as_ref().is_some_and(|known| {
            row.state == TaskState::Running
                && known.row.attempt == row.attempt
                && known.row.worker == row.worker
        });
        let live = match previous {
            Some(known) if same => known.live,
            Some(known) => {
                self.release(&known);
                None
            }
            None => None,
        };
        let live = live.or_else(|| self.attempt_from_row(&row, now));
        let ended_at = row.state.is_final().then_some(now);
        if ended_at.is_some() {
            self.quarantine.forget_task(&id);
        }
        let task = CachedTask { row, revision, writing, live, assigning, last_worker, ended_at };
        self.tasks.insert(id.clone(), task);
        self.requeue(&id);
    }

    /// Keeps the queue in step with a task.
    pub(super) fn requeue(&mut self, id: &TaskId) {
        match self.tasks.get(id) {
            Some(task) if task.row.state.is_waiting() && !task.writing => {
                self.queue.push(Waiting::new(&task.row, task.last_worker.as_deref()));
            }
            _ => {
                self.queue.remove(id);
            }
        }
    }

    /// The attempt behind a running row that this scheduler did not assign.
    fn attempt_from_row(&mut self, row: &TaskRow, now: Instant) -> Option<RunningAttempt> {
        let worker = (row.state == TaskState::Running).then(|| row.worker.clone()).flatten()?;
        let attempt = AttemptRef { task: row.id.clone(), attempt: row.attempt };
        self.pool.adopt(&worker, &attempt, commitment(row));
        let lease = self.longest_lease(row);
        Some(RunningAttempt::inherited(&worker, now, now.max(self.takeover.at) + lease))
    }

    fn release(&mut self, known: &CachedTask) {
        if let Some(live) = &known.live {
            self.pool.release(&live.worker, &known.attempt());
        }
    }

    fn drop_row(&mut self, id: &TaskId, revision: Revision) {
        if self.tasks.get(id).is_none_or(|known| known.revision >= revision) {
            return;
        }
        if let Some(known) = self.tasks.remove(id) {
            self.release(&known);
        }
        self.queue.remove(id);
    }

    fn drop_missing(&mut self, present: &BTreeSet<TaskId>, revision: Revision) {
        let missing: Vec<TaskId> =
            self.tasks.keys().filter(|id| !present.contains(*id)).cloned().collect();
        for id in missing {
            self.drop_row(&id, revision + 1);
        }
    }

    /// Registers a batch of changes and returns its number.
    pub(super) fn register(&mut self, changes: Vec<RowChange>) -> u64 {
        for change in &changes {
            if let Some(task) = self.tasks.get_mut(&change.id) {
                task.writing = true;
                task.assigning = change.is_assignment();
            }
            self.requeue(&change.id);
        }
        let batch = self.next_batch;
        self.next_batch += 1;
        self.inflight.insert(batch, changes);
        batch
    }

    /// Takes the result of a batch.
    pub(super) fn on_commit_finished(&mut self, batch: u64, result: &CommitResult, now: Instant) {
        let changes = self.inflight.remove(&batch).unwrap_or_default();
        for change in changes {
            let id = change.id.clone();
            if let Some(task) = self.tasks.get_mut(&id) {
                task.writing = false;
                task.assigning = false;
            }
            match result {
                CommitResult::Committed { revision } => self.apply_commit(change, *revision, now),
                CommitResult::Conflict { .. } => self.roll_back(&change),
            }
            self.requeue(&id);
        }
    }

    fn apply_commit(&mut self, change: RowChange, revision: Revision, now: Instant) {
        match change.change {
            TaskWrite::Put(row) => {
                if row.state == TaskState::Running {
                    self.apply_assignment(*row, revision, now);
                } else {
                    self.on_row(*row, revision, now);
                }
            }
            TaskWrite::Move(_) | TaskWrite::Delete => self.drop_row(&change.id, revision),
        }
    }

    /// An assignment is committed: its start may be sent from now on.
    fn apply_assignment(&mut self, row: TaskRow, revision: Revision, now: Instant) {
        let Some(worker) = row.worker.clone() else { return };
        let attempt = row.attempt;
        let id = row.id.clone();
        self.on_row(row, revision, now);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let still = task.row.state == TaskState::Running && task.row.attempt == attempt;
        if still {
            task.live = Some(RunningAttempt::assigned(&worker, now));
        }
    }

    /// A batch did not commit: reservations made for it are given back.
    fn roll_back(&mut self, change: &RowChange) {
        let TaskWrite::Put(row) = &change.change else { return };
        if row.state != TaskState::Running {
            return;
        }
        let attempt = AttemptRef { task: row.id.clone(), attempt: row.attempt };
        let assigned = self.tasks.get(&change.id).is_some_and(|task| {
            task.row.state == TaskState::Running && task.row.attempt == row.attempt
        });
        if let (false, Some(worker)) = (assigned, &row.worker) {
            self.pool.release(worker, &attempt);
        }
    }
}

/// The commitment of a task's attempt.
pub(super) fn commitment(row: &TaskRow) -> Commitment {
    Commitment {
        entry: row.entry.clone(),
        class: row.class,
        priority: row.priority,
        resources: row.resources,
    }
}
