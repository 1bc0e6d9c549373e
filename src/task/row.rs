//! The row of a task: `task/{domain}/{id}`.
//!
//! The domain is part of the key, so that a scheduler follows only the tasks of its own domain. Moving a task to another
//! domain deletes one row and creates the other in the same transaction.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::TaskId;
use crate::catalogue::Class;
use crate::worker::Resources;

/// Prefix of all task rows.
pub const ROW_PREFIX: &str = "task/";

/// Prefix of the rows of one failure domain.
#[must_use]
pub fn domain_prefix(domain: &str) -> String {
    format!("{ROW_PREFIX}{domain}/")
}

/// Row key of a task.
#[must_use]
pub fn row_key(domain: &str, id: &TaskId) -> String {
    format!("{ROW_PREFIX}{domain}/{id}")
}

/// State of a task as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waits for a worker.
    Pending,
    /// An attempt runs or is being started.
    Running,
    /// Its last attempt was evicted; it waits for a worker to resume on.
    Evicted,
    /// Ended with success.
    Succeeded,
    /// Ended with a failure and is not tried again.
    Failed,
    /// Cancelled by request.
    Cancelled,
    /// Can never run; `reason` says why.
    Unplaceable,
}

impl TaskState {
    /// True if the state never changes again. `Unplaceable` may still be cancelled or placed after a catalogue edit.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }

    /// True if the task waits for a worker.
    #[must_use]
    pub const fn is_waiting(self) -> bool {
        matches!(self, Self::Pending | Self::Evicted)
    }
}

/// The stored form of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRow {
    /// Identity.
    pub id: TaskId,
    /// Catalogue entry.
    pub entry: String,
    /// Owner of the entry at submission.
    pub owner: String,
    /// Class of the entry at submission.
    pub class: Class,
    /// True if it must never run in two places.
    pub exclusive: bool,
    /// Order within the class; higher goes first.
    pub priority: u8,
    /// Arguments.
    pub args: Value,
    /// What an attempt may use.
    pub resources: Resources,
    /// State.
    pub state: TaskState,
    /// Number of the current attempt while running, else of the next one. Starts at 1 and never goes down.
    pub attempt: u32,
    /// Failure domain that holds the task.
    pub domain: String,
    /// Worker of the current attempt. Set exactly while `state` is `Running`.
    pub worker: Option<String>,
    /// Newest complete checkpoint.
    pub checkpoint: Option<String>,
    /// Workers on which an attempt failed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<String>,
    /// Failed attempts so far. Evictions do not count.
    #[serde(default)]
    pub failures: u32,
    /// Why the task is in its state, for people.
    pub reason: Option<String>,
    /// Wall-clock time of the submission, for display and for ordering by age.
    pub submitted_ms: u64,
    /// True once a caller asked to cancel a running task.
    #[serde(default)]
    pub cancel: bool,
}
