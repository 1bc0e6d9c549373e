//! Cancellation of a task.

use super::error::TaskError;
use super::submit::{commit, put};
use super::{ApiResponse, find, view};
use crate::ops::Context;
use crate::platform::table::{CommitResult, Condition, Transaction};
use crate::task::lifecycle::AnyTask;
use crate::task::{TaskRow, TaskState, row};

/// Largest number of tries of the conditional write. The scheduler writes a task's row only a few times, so two
/// conflicts in a row are rare.
const MAX_COMMIT_ATTEMPTS: usize = 5;

pub(super) fn cancel(cx: &Context, id: &str) -> Result<ApiResponse, TaskError> {
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let (row, revision) = find(cx, id)?;
        let Some(next) = cancelled_row(&row)? else { return Ok(view(200, &row)) };
        let key = row::row_key(&row.domain, &row.id);
        let txn = Transaction {
            operation: format!("cancel/{:032x}", rand::random::<u128>()),
            conditions: vec![Condition::AtRevision { key: key.clone(), revision }],
            writes: vec![put(key, &next)],
        };
        if let CommitResult::Committed { .. } = commit(cx, &txn)? {
            let status = if next.state == TaskState::Cancelled { 200 } else { 202 };
            return Ok(view(status, &next));
        }
    }
    Err(TaskError::LostRace)
}

/// Returns the row after the cancellation, or `None` if the cancellation is already requested or done.
fn cancelled_row(row: &TaskRow) -> Result<Option<TaskRow>, TaskError> {
    match AnyTask::from(row.clone()) {
        AnyTask::Unassigned(task) => Ok(Some(task.cancel().into_row())),
        AnyTask::Running(_) if row.cancel => Ok(None),
        AnyTask::Running(task) => Ok(Some(TaskRow { cancel: true, ..task.into_row() })),
        AnyTask::Ended(_) if row.state == TaskState::Cancelled => Ok(None),
        AnyTask::Ended(_) => {
            Err(TaskError::AlreadyEnded { state: format!("{:?}", row.state).to_lowercase() })
        }
    }
}
