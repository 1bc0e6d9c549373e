//! Turns row changes into transactions.

use super::event::{RowChange, TaskWrite};
use crate::domain::hold;
use crate::ops::api::tasks as row_keys;
use crate::platform::table::{Condition, Transaction, Write};
use crate::task::{TaskRow, row};

/// Maximum number of row changes in one transaction. One conflict fails the whole batch, so batches stay small.
pub(super) const MAX_ROWS: usize = 100;

/// Returns a transaction that applies the changes if every row is unchanged and the hold still has this epoch. `batch`
/// makes the operation ID unique within the epoch.
pub(super) fn transaction(
    process: &str,
    domain: &str,
    epoch: u64,
    batch: u64,
    changes: &[RowChange],
) -> Transaction {
    let mut txn = Transaction {
        operation: format!("{process}/{domain}/{epoch}/{batch}"),
        conditions: vec![fence(domain, epoch)],
        writes: Vec::new(),
    };
    for change in changes {
        let key = row::row_key(domain, &change.id);
        txn.conditions.push(Condition::AtRevision { key: key.clone(), revision: change.revision });
        match &change.change {
            TaskWrite::Put(row) => txn.writes.push(put(key, row)),
            TaskWrite::Move(row) => {
                let new_key = row::row_key(&row.domain, &row.id);
                txn.conditions.push(Condition::Absent { key: new_key.clone() });
                txn.writes.push(Write::Delete { key });
                txn.writes.push(put(new_key, row));
            }
            TaskWrite::Delete => {
                txn.writes.push(Write::Delete { key });
                // The record of a submission with an idempotency key is kept exactly as long as its task.
                txn.writes.push(Write::Delete { key: row_keys::submission_key(&change.id) });
            }
        }
    }
    txn
}

/// Returns the condition that the hold of the domain still has this epoch.
pub(super) fn fence(domain: &str, epoch: u64) -> Condition {
    Condition::FieldEquals {
        key: hold::row_key(domain),
        field: hold::EPOCH_FIELD.to_owned(),
        number: epoch,
    }
}

fn put(key: String, row: &TaskRow) -> Write {
    // Rows hold only text, numbers and JSON values, which always encode.
    Write::Put { key, value: serde_json::to_value(row).unwrap_or_default() }
}
