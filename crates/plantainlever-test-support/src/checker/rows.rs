//! Rules about transactions, and what they say about tasks and domains.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::domain::state;
use plantainlever::local::history::HistoryEvent;
use plantainlever::platform::table::{CommitResult, Write};
use plantainlever::task::{TaskRow, row};
use serde::Deserialize;

use super::Broken;

pub(super) fn check(history: &[(Duration, HistoryEvent)]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut last = 0;
    let mut attempts: BTreeMap<String, u32> = BTreeMap::new();
    let mut operations = BTreeSet::new();
    for (_, event) in history {
        let HistoryEvent::Transaction { transaction, result: CommitResult::Committed { revision } } =
            event
        else {
            continue;
        };
        // A repeated operation gets its first result again.
        if !operations.insert(transaction.operation.clone()) {
            continue;
        }
        if *revision <= last {
            broken.push(Broken::RevisionWentBack { before: last, found: *revision });
        }
        last = last.max(*revision);
        for task in transaction.writes.iter().filter_map(task_put) {
            let known = attempts.entry(task.id.to_string()).or_insert(task.attempt);
            if task.attempt < *known {
                broken.push(Broken::AttemptWentBack {
                    task: task.id.to_string(),
                    before: *known,
                    found: task.attempt,
                });
            }
            *known = (*known).max(task.attempt);
        }
    }
    broken
}

/// The task row that a write puts.
pub(super) fn task_put(write: &Write) -> Option<TaskRow> {
    let Write::Put { key, value } = write else { return None };
    key.starts_with(row::ROW_PREFIX).then(|| TaskRow::deserialize(value).ok()).flatten()
}

/// The domain whose state a write changes, and whether it is out afterwards.
pub(super) fn domain_change(write: &Write) -> Option<(&str, bool)> {
    let (key, out) = match write {
        Write::Put { key, value } => (key, value["state"] == "out"),
        Write::Delete { key } => (key, false),
    };
    Some((key.strip_prefix(state::ROW_PREFIX)?, out))
}
