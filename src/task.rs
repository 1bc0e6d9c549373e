//! Tasks: their life cycle, their rows in the table, and their IDs.

pub mod lifecycle;
pub mod row;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use lifecycle::{Ended, Running, Task, Unassigned};
pub use row::{TaskRow, TaskState};

/// Task ID, unique across failure domains and restarts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TaskId(String);

impl TaskId {
    /// Wraps an ID that was generated or read earlier; it is not checked.
    #[must_use]
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }

    /// Returns the ID as it stands in row keys and in the API.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
