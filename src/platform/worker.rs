//! The workers' control interface.
//!
//! Protocol (HTTP POST, JSON): `/inventory`, `/start`, `/renew`, `/checkpoint`, `/throttle` and `/stop` take the request
//! types of this module. All times in these messages are milliseconds of the worker's own monotonic clock, so no clock
//! has to agree with another one.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::PlatformError;
use crate::task::TaskId;
use crate::worker::Resources;

/// Milliseconds of a worker's own monotonic clock.
pub type WorkerTimeMs = u64;

/// Starts an attempt of a task. A repeated start of the same attempt is answered as the first one and starts nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Catalogue entry, which tells the worker what to run.
    pub entry: String,
    /// Arguments of the task.
    pub args: Value,
    /// What the attempt may use.
    pub resources: Resources,
    /// Name of the checkpoint object to resume from.
    pub checkpoint: Option<String>,
    /// The incarnation whose clock states the lease. A worker of another incarnation answers that the lease has lapsed:
    /// its clock has started anew, and a delayed start could otherwise be accepted long after its time.
    pub incarnation: u64,
    /// The worker refuses the start if its clock has passed this time, and stops the attempt then unless renewed.
    pub lease_until_ms: WorkerTimeMs,
}

/// The worker's answer to a start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum StartResult {
    /// The attempt runs (or ran; see the inventory).
    Started,
    /// The lease had lapsed when the request arrived. This attempt never runs.
    LeaseLapsed,
    /// The worker could not start it. This attempt never runs.
    Failed {
        /// The worker's message.
        message: String,
    },
}

/// Extends the leases of attempts. Attempts that are not named keep their leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewRequest {
    /// New end of the leases; an earlier end than the present one is ignored.
    pub lease_until_ms: WorkerTimeMs,
    /// The attempts to renew.
    pub attempts: Vec<AttemptRef>,
}

/// Names one attempt of one task.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptRef {
    /// The task.
    pub task: TaskId,
    /// Attempt number, from 1.
    pub attempt: u32,
}

/// Asks for a checkpoint. It is written to the object store; the inventory shows it when it is complete.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckpointRequest {
    /// The attempt.
    pub attempt: AttemptRef,
}

/// Limits the processors of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ThrottleRequest {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Share of the attempt's processors that it may use, in percent; 100 lifts the limit.
    pub percent: u8,
}

/// Stops an attempt. Stopping an attempt that never started here makes a later start of it fail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StopRequest {
    /// The attempt.
    pub attempt: AttemptRef,
}

/// State of an attempt on its worker. Only `Running` occupies resources.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// The process runs.
    Running,
    /// It ended by itself with success.
    Succeeded,
    /// It ended by itself with a failure.
    Failed,
    /// It was stopped by request.
    Stopped,
    /// It was stopped because its lease lapsed.
    Lapsed,
}

/// An attempt as its worker sees it. Ended attempts are reported for several minutes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Its state; an ended attempt never runs again.
    pub state: AttemptState,
    /// Catalogue entry.
    pub entry: String,
    /// What it may use.
    pub resources: Resources,
    /// End of its lease.
    pub lease_until_ms: WorkerTimeMs,
    /// Name of its newest complete checkpoint.
    pub checkpoint: Option<String>,
    /// What it used in the last measured interval.
    pub usage: Option<Resources>,
    /// Message of a failure.
    pub message: Option<String>,
}

/// Asks for the inventory.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InventoryRequest {
    /// Return only attempts whose report changed after this worker time; zero returns all. Usage alone is not a change.
    pub changed_after_ms: WorkerTimeMs,
}

/// What a worker has and runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inventory {
    /// The worker's clock when the answer was made. It starts anew when the worker restarts.
    pub time_ms: WorkerTimeMs,
    /// Changes when the worker restarts and has lost all attempts.
    pub incarnation: u64,
    /// Total resources.
    pub capacity: Resources,
    /// Attempts, ended ones included.
    pub attempts: Vec<AttemptReport>,
    /// Tail latency (p99) of the latency-critical executor on the same VM, in microseconds.
    pub service_p99_us: Option<u64>,
    /// When the usage and latency figures were measured.
    pub measured_at_ms: WorkerTimeMs,
}

/// The control interface of one worker. Each method makes one attempt with a short timeout.
pub trait WorkerClient: Debug + Send + Sync {
    /// Returns what the worker has and runs.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn inventory(&self, address: &str, req: &InventoryRequest) -> Result<Inventory, PlatformError>;

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the attempt may run.
    fn start(&self, address: &str, req: &StartRequest) -> Result<StartResult, PlatformError>;

    /// Extends leases.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn renew(&self, address: &str, req: &RenewRequest) -> Result<(), PlatformError>;

    /// Asks for a checkpoint.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn checkpoint(&self, address: &str, req: &CheckpointRequest) -> Result<(), PlatformError>;

    /// Limits the processors of an attempt.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn throttle(&self, address: &str, req: &ThrottleRequest) -> Result<(), PlatformError>;

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the attempt may still run.
    fn stop(&self, address: &str, req: &StopRequest) -> Result<(), PlatformError>;
}
