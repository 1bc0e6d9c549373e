//! Decides which transactions may share one table write, and merges them.

use std::collections::{BTreeMap, BTreeSet};

use crate::platform::table::{Condition, Transaction, Write};

/// Maximum number of transactions in one write.
const MAX_TRANSACTIONS_PER_WRITE: usize = 256;

/// Maximum number of conditions and writes in one write; bounds the size of the request.
const MAX_CONDITIONS_AND_WRITES: usize = 4096;

/// Transactions that can be committed together.
///
/// Invariant: no key that one member writes has a condition or a write of another member, and members with conditions
/// on the same key have the same conditions on it. So the order of the members does not matter, and a failed key shows
/// exactly which members would have failed on their own.
#[derive(Debug, Default)]
pub(super) struct Group<'a> {
    members: Vec<&'a Transaction>,
    operations: BTreeSet<&'a str>,
    conditions: BTreeMap<&'a str, Vec<&'a Condition>>,
    written: BTreeSet<&'a str>,
    size: usize,
}

impl<'a> Group<'a> {
    /// Adds a transaction if the invariant and the limits allow it. The first one is always added.
    pub(super) fn try_add(&mut self, txn: &'a Transaction) -> bool {
        let size = self.size + txn.conditions.len() + txn.writes.len();
        let full =
            self.members.len() >= MAX_TRANSACTIONS_PER_WRITE || size > MAX_CONDITIONS_AND_WRITES;
        if !self.members.is_empty() && (full || !self.is_compatible(txn)) {
            return false;
        }
        for (key, conditions) in conditions_by_key(txn) {
            self.conditions.entry(key).or_insert(conditions);
        }
        self.written.extend(txn.writes.iter().map(write_key));
        self.operations.insert(&txn.operation);
        self.members.push(txn);
        self.size = size;
        true
    }

    fn is_compatible(&self, txn: &Transaction) -> bool {
        let writes_are_disjoint = txn
            .writes
            .iter()
            .map(write_key)
            .all(|key| !self.written.contains(key) && !self.conditions.contains_key(key));
        let conditions_match = conditions_by_key(txn).iter().all(|(key, conditions)| {
            !self.written.contains(key)
                && self.conditions.get(key).is_none_or(|held| held == conditions)
        });
        !self.operations.contains(txn.operation.as_str()) && writes_are_disjoint && conditions_match
    }

    /// Returns one transaction with the conditions and writes of all members. A single member keeps its operation id
    /// instead of `operation`.
    pub(super) fn merged(&self, operation: String) -> Transaction {
        if let [only] = self.members[..] {
            return only.clone();
        }
        let conditions = self.conditions.values().flatten().copied().cloned().collect();
        let writes = self.members.iter().flat_map(|txn| txn.writes.iter().cloned()).collect();
        Transaction { operation, conditions, writes }
    }
}

fn conditions_by_key(txn: &Transaction) -> BTreeMap<&str, Vec<&Condition>> {
    let mut by_key: BTreeMap<&str, Vec<&Condition>> = BTreeMap::new();
    for condition in &txn.conditions {
        by_key.entry(condition.key()).or_default().push(condition);
    }
    by_key
}

fn write_key(write: &Write) -> &str {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

/// Returns the keys in `failed` on which the transaction has conditions, in the order of its conditions.
pub(super) fn own_failures(txn: &Transaction, failed: &[String]) -> Vec<String> {
    let mut own: Vec<String> = Vec::new();
    for key in txn.conditions.iter().map(Condition::key) {
        if failed.iter().any(|it| it == key) && !own.iter().any(|it| it == key) {
            own.push(key.to_owned());
        }
    }
    own
}
