//! State of the domain scheduler during one hold: tasks, workers and writes in progress. It does no I/O.

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

/// Task of the domain with its attempt.
#[derive(Debug)]
pub(super) struct CachedTask {
    /// Row as last read or written.
    pub(super) row: TaskRow,
    pub(super) revision: Revision,
    /// True while a change of the row is being written.
    pub(super) writing: bool,
    /// Invariant: set whenever the row is `running`. The attempt may already have ended on its worker.
    pub(super) live: Option<RunningAttempt>,
    /// True while the change being written is an assignment; its resources then count against the limits.
    pub(super) assigning: bool,
    /// Worker of the previous attempt, which may still have the checkpoint.
    pub(super) last_worker: Option<String>,
    /// When the row was first seen in a final state.
    pub(super) ended_at: Option<Instant>,
}

impl CachedTask {
    pub(super) fn attempt(&self) -> AttemptRef {
        AttemptRef { task: self.row.id.clone(), attempt: self.row.attempt }
    }
}

/// State of the domain scheduler. A new one is created for each hold.
#[derive(Debug)]
pub(super) struct SchedulerState {
    pub(super) domain: String,
    pub(super) timing: Timing,
    pub(super) takeover: Takeover,
    /// Epoch when the hold began.
    first_epoch: u64,
    pub(super) tasks: BTreeMap<TaskId, CachedTask>,
    pub(super) fleet: Fleet,
    pub(super) pool: Pool,
    /// Running attempts that match no row, by worker. They are stopped.
    pub(super) orphans: BTreeSet<(String, AttemptRef)>,
    /// Invariant: contains exactly the waiting tasks whose row is not being written.
    pub(super) queue: WaitingQueue,
    pub(super) quarantine: Quarantine,
    /// Eviction plans, keyed by the urgent task that they make room for.
    pub(super) plans: BTreeMap<TaskId, PlannedEviction>,
    /// Workers in quarantine or on probation at the last placement pass, so that each quarantine is logged once.
    pub(super) suspects: BTreeSet<String>,
    pub(super) interference: InterferenceModel,
    pub(super) controller: Controller,
    pub(super) transfer_window: TransferWindow,
    /// Attempts whose checkpoints occupy the transfer window.
    pub(super) transfers: BTreeSet<AttemptRef>,
    /// True from a tick with the domain out of service until the next placement pass, which starts the ramp.
    pub(super) was_out: bool,
    pub(super) ramp: Option<Ramp>,
    /// Catalogue revision at which the latency targets were last updated.
    pub(super) latency_targets_at: Option<Revision>,
    /// Catalogue revision and total memory in MiB of the workers when unplaceable tasks were last made pending.
    pub(super) reconsidered_at: Option<(Revision, u64)>,
    /// Changes being written, by batch number.
    inflight: BTreeMap<u64, Vec<RowChange>>,
    next_batch: u64,
    pub(super) longest_tick_us: u64,
    /// True once all rows of the domain have been read.
    pub(super) loaded: bool,
    /// True once no worker can accept a start of a predecessor any more. Until then nothing is started, ended or moved.
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
            suspects: BTreeSet::new(),
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

    /// Returns true if a result belongs to this hold. After a hand-over the epoch increases once within the hold.
    pub(super) fn knows_epoch(&self, epoch: u64) -> bool {
        (self.first_epoch..=self.takeover.epoch).contains(&epoch)
    }

    /// Returns the rows of the tasks that have not ended, as last read or written.
    pub(super) fn rows(&self) -> Vec<Row> {
        let open = self.tasks.values().filter(|task| !task.row.state.is_final());
        open.map(|task| Row {
            key: crate::task::row::row_key(&self.domain, &task.row.id),
            revision: task.revision,
            value: serde_json::to_value(&task.row).ok(),
        })
        .collect()
    }

    /// Returns the longest lease that a predecessor can have granted to an attempt of this task.
    pub(super) fn longest_lease(&self, row: &TaskRow) -> Duration {
        if row.exclusive { self.timing.task_lease() } else { self.timing.force_time() }
    }

    /// Handles task rows read from the table. `base` is zero if the read lists all rows.
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

    /// Handles a row that was read or committed; an older one than the known row is ignored.
    fn on_row(&mut self, row: TaskRow, revision: Revision, now: Instant) {
        let id = row.id.clone();
        if self.tasks.get(&id).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.replace_row(row, revision, now);
    }

    /// Replaces a row, and updates the attempt and the commitment of its resources accordingly.
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

    /// Adds a task to the queue or removes it, by its current state.
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

    /// Creates the attempt of a running row that this scheduler did not assign, and commits its resources.
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
            // `drop_row` keeps rows at or after its revision; + 1 also drops those at the revision of the read.
            self.drop_row(&id, revision + 1);
        }
    }

    /// Registers a batch of changes that is about to be written, and returns its number.
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

    /// Handles the result of a batch.
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

    /// Applies a committed assignment. Its start may be sent from now on.
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

    /// Releases the resources of an assignment that did not commit.
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

/// Returns the commitment of a task's attempt.
pub(super) fn commitment(row: &TaskRow) -> Commitment {
    Commitment {
        entry: row.entry.clone(),
        class: row.class,
        priority: row.priority,
        resources: row.resources,
    }
}
