//! The row of a task: `task/{domain}/{id}`.
//!
//! The domain is part of the key, so that a scheduler follows only the tasks of its own domain. Moving a task to
//! another domain deletes one row and creates the other in the same transaction.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::TaskId;
use crate::catalogue::Class;
use crate::worker::Resources;

/// Key prefix of the task rows of all domains.
pub const ROW_PREFIX: &str = "task/";

/// Returns the key prefix of the task rows of one failure domain.
#[must_use]
pub fn domain_prefix(domain: &str) -> String {
    format!("{ROW_PREFIX}{domain}/")
}

/// Returns the row key of a task, which changes when the task moves to another domain.
#[must_use]
pub fn row_key(domain: &str, id: &TaskId) -> String {
    format!("{ROW_PREFIX}{domain}/{id}")
}

/// State of a task as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waits for a worker, for its first attempt or after one that failed.
    Pending,
    /// An attempt runs or is being started.
    Running,
    /// Its last attempt was interrupted; it waits for a worker to resume on.
    Evicted,
    /// Its last attempt ended with success.
    Succeeded,
    /// Ended with a failure and is not retried.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
    /// Cannot run under the current catalogue and workers; `reason` says why.
    Unplaceable,
}

impl TaskState {
    /// Returns true if the state never changes again. An `Unplaceable` task may still be cancelled, or placed after a
    /// catalogue edit.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }

    /// Returns true if the task waits for a worker.
    #[must_use]
    pub const fn is_waiting(self) -> bool {
        matches!(self, Self::Pending | Self::Evicted)
    }
}

/// Content of a task row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRow {
    /// Same as in the row key.
    pub id: TaskId,
    /// Name of the catalogue entry that describes the task.
    pub entry: String,
    /// Owner of the entry at submission.
    pub owner: String,
    /// Class of the entry at submission.
    pub class: Class,
    /// True if two attempts must never run at the same time.
    pub exclusive: bool,
    /// Priority within the class; a higher one is placed first.
    pub priority: u8,
    /// Arguments from the submission, passed unchanged to each attempt.
    pub args: Value,
    /// Resources that an attempt commits on its worker.
    pub resources: Resources,
    /// Changed only by the transitions of [`Task`](super::Task).
    pub state: TaskState,
    /// Number of the current attempt while running, else of the next one. A task that succeeded, or was cancelled while
    /// it ran, keeps the number of its last attempt. Starts at 1 and never decreases.
    pub attempt: u32,
    /// Failure domain whose scheduler places the task; same as in the row key.
    pub domain: String,
    /// Worker of the current attempt. Set exactly while `state` is `Running`.
    pub worker: Option<String>,
    /// Newest complete checkpoint, from which the next attempt resumes.
    pub checkpoint: Option<String>,
    /// Workers on which an attempt failed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<String>,
    /// Number of failed attempts. Evictions do not count.
    #[serde(default)]
    pub failures: u32,
    /// Why the task is in its state, as text for users.
    pub reason: Option<String>,
    /// Wall-clock time of the submission in milliseconds since the Unix epoch, for display and for ordering by age.
    pub submitted_ms: u64,
    /// True once a caller has requested that the running task be cancelled.
    #[serde(default)]
    pub cancel: bool,
}
