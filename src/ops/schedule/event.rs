//! Messages between the threads of the scheduler.

use std::time::Instant;

use crate::platform::table::{CommitResult, ReadResponse, Revision, Transaction};
use crate::platform::worker::{
    AttemptRef, CheckpointRequest, Inventory, InventoryRequest, RenewRequest, StartRequest,
    StartResult, StopRequest, ThrottleRequest, WorkerTimeMs,
};
use crate::task::{TaskId, TaskRow, TaskState};

/// Message to the tick thread.
#[derive(Debug)]
pub(super) enum Event {
    /// The process became the holder.
    HoldTaken(Takeover),
    /// The process is no longer the holder.
    HoldLost,
    /// The holder has written itself into the row under a new epoch.
    EpochRaised(u64),
    /// Task rows of the domain that have changed since `base`.
    TaskRows {
        /// Revision after which the read lists changes; zero if it lists all rows.
        base: Revision,
        response: ReadResponse,
    },
    /// A call to a worker has ended.
    CallFinished(FinishedCall),
    /// The outcome of a transaction is known.
    CommitFinished {
        /// Number from [`QueuedWrite::batch`].
        batch: u64,
        /// Epoch under which the changes were decided.
        epoch: u64,
        result: CommitResult,
    },
}

/// How the hold was obtained.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    pub(super) epoch: u64,
    /// Receipt of the answer that the hold was taken, or of the hand-over message.
    pub(super) at: Instant,
    /// False if the domain had no hold row, so that no process can have scheduled it before.
    pub(super) has_predecessor: bool,
    /// Task rows from the hand-over message; empty if the hold was taken through the table.
    pub(super) tasks: Vec<(TaskRow, Revision)>,
}

/// Reading of a worker's clock, which converts local times into that clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// Time on the worker's clock when it made the answer.
    pub(super) time_ms: WorkerTimeMs,
    /// Local time at which the answer was received.
    pub(super) received_at: Instant,
}

impl ClockReading {
    /// Converts a local time into the worker's clock. The worker read its clock before the receipt, so the result is
    /// never later than the true time. A time before the receipt is converted to the time of the reading.
    pub(super) fn worker_time(&self, local: Instant) -> WorkerTimeMs {
        let ahead = local.saturating_duration_since(self.received_at);
        self.time_ms.saturating_add(u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Request to a worker.
#[derive(Clone, Debug)]
pub(super) enum WorkerCall {
    /// Reads the inventory.
    Inventory(InventoryRequest),
    /// Starts an attempt. The end of its lease is filled in when the request is sent.
    Start(Box<StartRequest>, ClockReading),
    /// Extends leases.
    Renew(RenewRequest),
    /// Makes an attempt write a checkpoint and continue.
    Checkpoint(CheckpointRequest),
    /// Limits the processors of an attempt.
    Throttle(ThrottleRequest),
    /// Stops an attempt.
    Stop(StopRequest),
}

/// Request that waits for a call thread.
#[derive(Debug)]
pub(super) struct QueuedCall {
    /// Name of the worker.
    pub(super) worker: String,
    pub(super) address: String,
    /// Epoch when the call was handed to the call threads; it is not made under another one.
    pub(super) epoch: u64,
    pub(super) call: WorkerCall,
}

/// Result of a call with the time at which it was known.
#[derive(Debug)]
pub(super) struct FinishedCall {
    /// Name of the worker.
    pub(super) worker: String,
    /// Epoch when the call was handed to the call threads.
    pub(super) epoch: u64,
    /// Receipt of the answer, or the time of the failure.
    pub(super) at: Instant,
    pub(super) result: CallResult,
}

/// Answer to a call, or what is known without one.
#[derive(Debug)]
pub(super) enum CallResult {
    Inventory(Inventory),
    /// The worker answered a start.
    Started {
        attempt: AttemptRef,
        answer: StartResult,
        /// End of the first lease on the local clock.
        lease_end: Instant,
    },
    /// A start was sent and not answered, so the attempt may run.
    StartUnknown {
        attempt: AttemptRef,
        /// End of the first lease on the local clock.
        lease_end: Instant,
    },
    /// A start had no effect: it was held back, or the worker could not be reached.
    StartNotSent {
        attempt: AttemptRef,
        /// True if the worker could not be reached.
        unreachable: bool,
    },
    /// Leases were extended.
    Renewed(Vec<AttemptRef>),
    /// Any other call was answered.
    Done,
    /// Any other call failed or was not made.
    Failed,
}

impl CallResult {
    /// Returns true if the result does not count as a failure of the worker.
    pub(super) fn is_answer(&self) -> bool {
        !matches!(
            self,
            Self::Failed | Self::StartUnknown { .. } | Self::StartNotSent { unreachable: true, .. }
        )
    }
}

/// Transaction that waits for the writer thread.
#[derive(Debug)]
pub(super) struct QueuedWrite {
    /// Number of the batch of changes; unique within one hold.
    pub(super) batch: u64,
    /// Epoch under which the changes were decided.
    pub(super) epoch: u64,
    pub(super) txn: Transaction,
}

/// Write of a task's row.
#[derive(Clone, Debug)]
pub(super) enum TaskWrite {
    /// Replaces the row.
    Put(Box<TaskRow>),
    /// Moves the task to another domain: deletes this row and creates one there.
    Move(Box<TaskRow>),
    /// Deletes the row of an ended task, and the record of its submission.
    Delete,
}

/// One row change of a batch.
#[derive(Clone, Debug)]
pub(super) struct RowChange {
    pub(super) id: TaskId,
    /// Revision of the row that the change is conditional on.
    pub(super) revision: Revision,
    pub(super) change: TaskWrite,
}

impl RowChange {
    /// Returns true if the change assigns an attempt to a worker.
    pub(super) fn is_assignment(&self) -> bool {
        matches!(&self.change, TaskWrite::Put(row) if row.state == TaskState::Running)
    }
}
