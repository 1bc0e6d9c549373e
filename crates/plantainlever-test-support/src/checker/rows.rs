//! Invariants of committed transactions, and the task and domain rows that they write.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::domain::state;
use plantainlever::local::history::HistoryEvent;
use plantainlever::platform::table::{CommitResult, Write};
use plantainlever::task::{TaskRow, row};
use serde::Deserialize;

use super::Broken;

pub(super) fn check(history: &[(Duration, HistoryEvent)]) -> Vec<Broken> {
    let mut breaches = Vec::new();
    let mut highest_revision = 0;
    let mut attempts: BTreeMap<String, u32> = BTreeMap::new();
    let mut operations = BTreeSet::new();
    for (_, event) in history {
        let HistoryEvent::Transaction { transaction, result: CommitResult::Committed { revision } } =
            event
        else {
            continue;
        };
        // A retried operation is answered with the result of its first commit.
        if !operations.insert(transaction.operation.clone()) {
            continue;
        }
        if *revision <= highest_revision {
            breaches.push(Broken::RevisionWentBack { before: highest_revision, found: *revision });
        }
        highest_revision = highest_revision.max(*revision);
        for task in transaction.writes.iter().filter_map(task_put) {
            let highest_attempt = attempts.entry(task.id.to_string()).or_insert(task.attempt);
            if task.attempt < *highest_attempt {
                breaches.push(Broken::AttemptWentBack {
                    task: task.id.to_string(),
                    before: *highest_attempt,
                    found: task.attempt,
                });
            }
            *highest_attempt = (*highest_attempt).max(task.attempt);
        }
    }
    breaches
}

/// Returns the task row that a write puts; `None` for deletions, other rows, and rows that cannot be decoded.
pub(super) fn task_put(write: &Write) -> Option<TaskRow> {
    let Write::Put { key, value } = write else { return None };
    key.starts_with(row::ROW_PREFIX).then(|| TaskRow::deserialize(value).ok()).flatten()
}

/// Returns the domain whose state row a write changes, and whether the domain is out of service afterwards.
pub(super) fn domain_change(write: &Write) -> Option<(&str, bool)> {
    let (key, is_out) = match write {
        Write::Put { key, value } => (key, value["state"] == "out"),
        Write::Delete { key } => (key, false),
    };
    Some((key.strip_prefix(state::ROW_PREFIX)?, is_out))
}
