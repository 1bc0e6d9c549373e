//! The workers' control interface.
//!
//! Protocol (HTTP POST, JSON): `/inventory`, `/start`, `/renew`, `/checkpoint`, `/throttle` and `/stop` take the
//! request types of this module. All times in these messages are milliseconds of the worker's own monotonic clock, so
//! clocks need not be synchronised.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::PlatformError;
use crate::task::TaskId;
use crate::worker::Resources;

/// Milliseconds of a worker's own monotonic clock, which starts anew with each incarnation.
pub type WorkerTimeMs = u64;

/// Starts an attempt of a task. A repeated start of the same attempt gets the first answer again and starts nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartRequest {
    /// Task that the attempt runs.
    pub task: TaskId,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Name of the catalogue entry, which tells the worker what to run.
    pub entry: String,
    /// Arguments of the task, passed on unchanged.
    pub args: Value,
    /// Resources reserved for the attempt.
    pub resources: Resources,
    /// Name of the checkpoint object to resume from; `None` to start from the beginning.
    pub checkpoint: Option<String>,
    /// The incarnation whose clock `lease_until_ms` refers to. A worker of another incarnation answers that the lease
    /// has expired: its clock has started anew, so it could otherwise accept a delayed start long after the lease's
    /// end.
    pub incarnation: u64,
    /// End of the lease. The worker refuses a start that arrives later, and stops the attempt at this time unless it is
    /// renewed.
    pub lease_until_ms: WorkerTimeMs,
}

/// The worker's answer to a start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum StartResult {
    /// The attempt runs or has already ended; the inventory tells which.
    Started,
    /// The lease had expired on the worker's clock, or the request names another incarnation. This attempt will never
    /// run here.
    LeaseLapsed,
    /// The worker could not start the attempt. It will never run here.
    Failed {
        /// Reason given by the worker.
        message: String,
    },
}

/// Extends the leases of the named attempts; other attempts keep their leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewRequest {
    /// New end of the leases. Ignored for a lease that ends later already.
    pub lease_until_ms: WorkerTimeMs,
    /// Attempts whose leases are extended.
    pub attempts: Vec<AttemptRef>,
}

/// Identifies one attempt of one task. The jobs' side calls an attempt a run.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptRef {
    /// Task that the attempt runs.
    pub task: TaskId,
    /// Attempt number, from 1.
    pub attempt: u32,
}

/// Asks for a checkpoint. The worker writes it to the object store and names it in the inventory once it is complete.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckpointRequest {
    /// Attempt to checkpoint.
    pub attempt: AttemptRef,
}

/// Limits the processor time of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ThrottleRequest {
    /// Attempt to throttle.
    pub attempt: AttemptRef,
    /// Share of its reserved processors that the attempt may use, in percent; 100 lifts the limit.
    pub percent: u8,
}

/// Stops an attempt. If it has not started here, a later start of it fails.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StopRequest {
    /// Attempt to stop.
    pub attempt: AttemptRef,
}

/// State of an attempt on its worker. Only `Running` occupies resources.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// Its process runs.
    Running,
    /// Its process ended with success.
    Succeeded,
    /// Its process ended with a failure.
    Failed,
    /// Stopped by a [`StopRequest`].
    Stopped,
    /// Stopped by the worker because its lease expired.
    Lapsed,
}

/// A worker's report on one attempt. Ended attempts are reported for several minutes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptReport {
    /// Attempt that the report is about.
    pub attempt: AttemptRef,
    /// An ended attempt never runs again.
    pub state: AttemptState,
    /// Name of the catalogue entry.
    pub entry: String,
    /// Resources reserved for the attempt.
    pub resources: Resources,
    /// The attempt is stopped at this time unless it is renewed.
    pub lease_until_ms: WorkerTimeMs,
    /// Name of the newest complete checkpoint object, which may be the one that the attempt resumed from.
    pub checkpoint: Option<String>,
    /// Resources used in the last measured interval; `None` if there is no measurement.
    pub usage: Option<Resources>,
    /// Why the attempt failed, if it did.
    pub message: Option<String>,
}

/// Asks for the inventory.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InventoryRequest {
    /// Returns only attempts whose report changed after this worker time; zero returns all. A change of usage alone
    /// does not count.
    pub changed_after_ms: WorkerTimeMs,
}

/// A worker's resources and attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inventory {
    /// The worker's clock when it made the answer.
    pub time_ms: WorkerTimeMs,
    /// Changes with each restart of the worker, which loses all attempts and starts the clock anew.
    pub incarnation: u64,
    /// Total resources, used ones included.
    pub capacity: Resources,
    /// Running attempts and those that ended in the last minutes.
    pub attempts: Vec<AttemptReport>,
    /// Tail latency (p99) of the latency-critical executor on the same VM, in microseconds; `None` if there is none.
    pub service_p99_us: Option<u64>,
    /// Time of the usage and latency measurements.
    pub measured_at_ms: WorkerTimeMs,
}

/// The control interface of one worker. Each method sends its request once, with a short timeout.
pub trait WorkerClient: Debug + Send + Sync {
    /// Returns the worker's resources and attempts.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn inventory(&self, address: &str, req: &InventoryRequest) -> Result<Inventory, PlatformError>;

    /// Starts an attempt under a lease.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the attempt may be running.
    fn start(&self, address: &str, req: &StartRequest) -> Result<StartResult, PlatformError>;

    /// Extends the leases of attempts.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn renew(&self, address: &str, req: &RenewRequest) -> Result<(), PlatformError>;

    /// Asks for a checkpoint, which the inventory names once it is complete.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn checkpoint(&self, address: &str, req: &CheckpointRequest) -> Result<(), PlatformError>;

    /// Limits the processor time of an attempt.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn throttle(&self, address: &str, req: &ThrottleRequest) -> Result<(), PlatformError>;

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the attempt may still be running.
    fn stop(&self, address: &str, req: &StopRequest) -> Result<(), PlatformError>;
}
