//! What the scheduler's threads tell each other.

use std::time::Instant;

use crate::platform::table::{CommitResult, ReadResponse, Revision, Transaction};
use crate::platform::worker::{
    AttemptRef, CheckpointRequest, Inventory, InventoryRequest, RenewRequest, StartRequest,
    StartResult, StopRequest, ThrottleRequest, WorkerTimeMs,
};
use crate::task::{TaskId, TaskRow, TaskState};

/// Told to the tick thread.
#[derive(Debug)]
pub(super) enum Event {
    /// The process became the holder.
    HoldTaken(Takeover),
    /// The process is no longer the holder.
    HoldLost,
    /// The holder has written itself into the row under a new epoch.
    EpochRaised(u64),
    /// Rows of the domain's tasks.
    TaskRows {
        /// Revision that the read started from; zero means that all rows are in it.
        base: Revision,
        /// The answer.
        response: ReadResponse,
    },
    /// The end of a call to a worker.
    CallFinished(FinishedCall),
    /// The end of a transaction.
    CommitFinished {
        /// Tells which batch.
        batch: u64,
        /// The epoch under which it was decided.
        epoch: u64,
        /// What became of it.
        result: CommitResult,
    },
}

/// How the hold was obtained.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    /// The new epoch.
    pub(super) epoch: u64,
    /// When the hold began, counted from the receipt of the answer.
    pub(super) at: Instant,
    /// False if nobody can have scheduled the domain before.
    pub(super) has_predecessor: bool,
    /// Task rows that came with a hand-over message.
    pub(super) tasks: Vec<(TaskRow, Revision)>,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockBase {
    /// The worker's clock when it made the answer.
    pub(super) time_ms: WorkerTimeMs,
    /// The receipt of the answer.
    pub(super) received_at: Instant,
}

impl ClockBase {
    /// A local time in the worker's clock. The worker's clock was read before the receipt, so the result is early.
    pub(super) fn worker_time(&self, local: Instant) -> WorkerTimeMs {
        let ahead = local.saturating_duration_since(self.received_at);
        self.time_ms.saturating_add(u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A call to one worker.
#[derive(Clone, Debug)]
pub(super) enum WorkerCall {
    /// Reads the inventory.
    Inventory(InventoryRequest),
    /// Starts an attempt; the lease is set when it is sent.
    Start(Box<StartRequest>, ClockBase),
    /// Extends leases.
    Renew(RenewRequest),
    /// Asks for a checkpoint.
    Checkpoint(CheckpointRequest),
    /// Limits processors.
    Throttle(ThrottleRequest),
    /// Stops an attempt.
    Stop(StopRequest),
}

/// A call on its way to a call thread.
#[derive(Debug)]
pub(super) struct QueuedCall {
    /// Name of the worker.
    pub(super) worker: String,
    /// Its address.
    pub(super) address: String,
    /// The epoch under which the call was decided.
    pub(super) epoch: u64,
    /// The call.
    pub(super) call: WorkerCall,
}

/// What became of a call.
#[derive(Debug)]
pub(super) struct FinishedCall {
    /// Name of the worker.
    pub(super) worker: String,
    /// The epoch under which the call was decided.
    pub(super) epoch: u64,
    /// When the answer or the failure came.
    pub(super) at: Instant,
    /// The result.
    pub(super) result: CallResult,
}

/// Result of a call.
#[derive(Debug)]
pub(super) enum CallResult {
    /// An inventory.
    Inventory(Inventory),
    /// A start was answered.
    Started {
        /// The attempt.
        attempt: AttemptRef,
        /// The worker's answer.
        answer: StartResult,
        /// End of the first lease in local time.
        lease_end: Instant,
    },
    /// A start was sent and not answered.
    StartUnknown {
        /// The attempt.
        attempt: AttemptRef,
        /// End of the first lease in local time.
        lease_end: Instant,
    },
    /// A start was not sent.
    StartNotSent {
        /// The attempt.
        attempt: AttemptRef,
        /// True if the worker could not be reached.
        unreachable: bool,
    },
    /// Leases were extended.
    Renewed(Vec<AttemptRef>),
    /// Another call was answered.
    Done,
    /// Another call failed.
    Failed,
}

impl CallResult {
    /// True if the worker answered, or was not called at all.
    pub(super) fn is_answer(&self) -> bool {
        !matches!(
            self,
            Self::Failed | Self::StartUnknown { .. } | Self::StartNotSent { unreachable: true, .. }
        )
    }
}

/// A transaction on its way to the writer thread.
#[derive(Debug)]
pub(super) struct QueuedWrite {
    /// Tells batches apart.
    pub(super) batch: u64,
    /// The epoch under which it was decided.
    pub(super) epoch: u64,
    /// The transaction.
    pub(super) txn: Transaction,
}

/// What a committed row change means for a task.
#[derive(Clone, Debug)]
pub(super) enum TaskWrite {
    /// The row is replaced.
    Put(Box<TaskRow>),
    /// The task goes to another domain.
    Move(Box<TaskRow>),
    /// The row of an ended task is deleted.
    Delete,
}

/// One row change of a batch.
#[derive(Clone, Debug)]
pub(super) struct RowChange {
    /// The task.
    pub(super) id: TaskId,
    /// Revision that the change is conditional on.
    pub(super) revision: Revision,
    /// The change.
    pub(super) change: TaskWrite,
}

impl RowChange {
    /// True if the change assigns an attempt to a worker.
    pub(super) fn is_assignment(&self) -> bool {
        matches!(&self.change, TaskWrite::Put(row) if row.state == TaskState::Running)
    }
}
