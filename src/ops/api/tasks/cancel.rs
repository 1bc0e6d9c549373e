//! Cancellation of a task.

use super::error::TaskError;
use super::submit::{commit, put};
use super::{ApiResponse, find, view};
use crate::ops::Context;
use crate::platform::table::{CommitResult, Condition, Transaction};
use crate::task::lifecycle::AnyTask;
use crate::task::{TaskRow, TaskState, row};

/// Tries of the compare-and-swap. The scheduler writes a row a few times in its life, so a race is rarely lost twice.
const TRIES: usize = 5;

pub(super) fn cancel(cx: &Context, id: &str) -> Result<ApiResponse, TaskError> {
    for _ in 0..TRIES {
        let (row, revision) = find(cx, id)?;
        let Some(next) = cancelled(&row)? else { return Ok(view(200, &row)) };
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

/// The row after the request; `None` if nothing has to change.
fn cancelled(row: &TaskRow) -> Result<Option<TaskRow>, TaskError> {
    match AnyTask::from(row.clone()) {
        AnyTask::Pending(task) => Ok(Some(task.cancel().into_row())),
        AnyTask::Running(_) if row.cancel => Ok(None),
        AnyTask::Running(task) => Ok(Some(TaskRow { cancel: true, ..task.into_row() })),
        AnyTask::Ended(_) if row.state == TaskState::Cancelled => Ok(None),
        AnyTask::Ended(_) => {
            Err(TaskError::AlreadyEnded { state: format!("{:?}", row.state).to_lowercase() })
        }
    }
}
