//! The in-memory table keeps the rules that the real one promises.

use std::collections::BTreeMap;

use arbtest::arbtest;
use plantainlever::local::History;
use plantainlever::local::table::{MemoryTable, TableState};
use plantainlever::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, Revision, Table,
    Transaction, Write,
};
use serde_json::{Value, json};

use super::{absent, committed, put};

/// Guards against an operation that is decided twice, or committed after it was forbidden.
#[test]
fn each_operation_is_decided_once() {
    let table = MemoryTable::new(History::default());
    let txn = put("op1", "k", vec![absent("k")]);
    assert_eq!(table.commit(&txn), Ok(committed(1)));
    assert_eq!(table.commit(&txn), Ok(committed(1)));
    let query = OperationQuery { operation: "op2".to_owned(), forbid: true };
    assert_eq!(table.operation(&query), Ok(OperationStatus::Unknown));
    let late = table.commit(&put("op2", "k2", Vec::new()));
    assert_eq!(late, Ok(CommitResult::Conflict { failed: Vec::new() }));
    let query = OperationQuery { operation: "op1".to_owned(), forbid: true };
    assert_eq!(table.operation(&query), Ok(OperationStatus::Decided { result: committed(1) }));
    assert_eq!(table.history().snapshot().len(), 1);
}

/// Guards against a transaction that is applied in part, or against a fence that a wrong epoch passes.
#[test]
fn failed_conditions_are_named_and_nothing_is_written() {
    let mut state = TableState::default();
    let value = json!({"epoch": 7});
    let write = Write::Put { key: "hold/a".to_owned(), value };
    let first =
        Transaction { operation: "op1".to_owned(), conditions: vec![], writes: vec![write] };
    state.commit(&first);
    let epoch = |number| Condition::FieldEquals {
        key: "hold/a".to_owned(),
        field: "epoch".to_owned(),
        number,
    };
    let at = |revision| Condition::AtRevision { key: "hold/a".to_owned(), revision };
    let gone = Condition::AtRevision { key: "gone".to_owned(), revision: 0 };
    let (result, _) = state.commit(&put("op2", "k", vec![epoch(6), at(1), gone, at(2)]));
    let failed = vec!["hold/a".to_owned(), "gone".to_owned()];
    assert_eq!(result, CommitResult::Conflict { failed });
    assert_eq!(state.revision(), 1);
    assert_eq!(state.commit(&put("op3", "k", vec![epoch(7), at(1)])).0, committed(2));
}

/// Guards against a read of changes that misses a row, brings back a deleted one or depends on the index in use.
#[test]
fn reads_agree_with_a_plain_model() {
    arbtest(|u| {
        let mut state = TableState::default();
        let mut model: BTreeMap<String, (Revision, Option<Value>)> = BTreeMap::new();
        // A long prelude makes reads from an old revision use the index of keys.
        let prelude = if u.ratio(1_u8, 8_u8)? { 1_100 } else { 0 };
        for number in 0..prelude + u.int_in_range(1..=30)? {
            let revision = state.revision() + 1;
            let mut writes = Vec::new();
            if number >= prelude {
                let key = format!("{}/{}", u.choose(&["a", "ab", "b"])?, u.int_in_range(0..=3)?);
                if u.arbitrary()? {
                    model.insert(key.clone(), (revision, Some(json!(revision))));
                    writes.push(Write::Put { key, value: json!(revision) });
                } else {
                    if let Some(row) = model.get_mut(&key).filter(|row| row.1.is_some()) {
                        *row = (revision, None);
                    }
                    writes.push(Write::Delete { key });
                }
            }
            let operation = format!("op{revision}");
            state.commit(&Transaction { operation, conditions: Vec::new(), writes });
        }
        let changed_after = match u.arbitrary()? {
            true => Some(u.int_in_range(0..=state.revision())?),
            false => None,
        };
        let keys = vec!["b/1".to_owned()];
        let response =
            state.read(&ReadRequest { keys, prefixes: vec!["a/".to_owned()], changed_after });
        let expected: Vec<_> = model
            .into_iter()
            .filter(|(key, _)| key.starts_with("a/") || key == "b/1")
            .filter(|(_, (revision, value))| match changed_after {
                Some(after) => *revision > after,
                None => value.is_some(),
            })
            .map(|(key, (revision, value))| (key, revision, value))
            .collect();
        let rows = response.rows.into_iter().map(|row| (row.key, row.revision, row.value));
        assert_eq!(rows.collect::<Vec<_>>(), expected);
        Ok(())
    })
    .budget_ms(1_000);
}
