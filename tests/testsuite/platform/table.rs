//! Tests of the in-memory table: it must follow the same rules as the real service.

use std::collections::BTreeMap;

use arbtest::arbtest;
use plantainlever::local::table::TableState;

use super::*;

/// Guards against an operation that is decided twice, or committed after it was forbidden.
#[test]
fn each_operation_is_decided_once() {
    let table = MemoryTable::new(History::default());
    let txn = put("op1", "k", vec![absent("k")]);
    assert_eq!(table.commit(&txn), Ok(committed(1)));
    assert_eq!(table.commit(&txn), Ok(committed(1)));
    let forbid = |operation: &str| OperationQuery { operation: operation.to_owned(), forbid: true };
    assert_eq!(table.operation(&forbid("op2")), Ok(OperationStatus::Unknown));
    assert_eq!(table.commit(&put("op2", "k2", Vec::new())), Ok(conflict(&[])));
    let first = OperationStatus::Decided { result: committed(1) };
    assert_eq!(table.operation(&forbid("op1")), Ok(first));
    assert_eq!(decided(&table).len(), 1);
}

/// Guards against a transaction that is applied in part, a fence that lets a wrong epoch through, and a deleted row
/// that counts as present.
#[test]
fn failed_conditions_are_named_and_nothing_is_written() {
    let mut state = TableState::default();
    state.commit(&write("op1", vec![put_value("hold", json!({"epoch": 7}))]));
    let epoch = |number| {
        let (key, field) = ("hold".to_owned(), "epoch".to_owned());
        Condition::FieldEquals { key, field, number }
    };
    let failing = vec![epoch(6), at("hold", 1), at("gone", 0), at("hold", 2)];
    assert_eq!(state.commit(&put("op2", "k", failing)).0, conflict(&["hold", "gone"]));
    assert_eq!(state.revision(), 1);
    assert_eq!(state.commit(&put("op3", "k", vec![epoch(7), at("hold", 1)])).0, committed(2));
    state.commit(&write("op4", vec![delete("k")]));
    assert_eq!(state.commit(&put("op5", "k", vec![at("k", 3)])).0, conflict(&["k"]));
    assert_eq!(state.commit(&put("op6", "k", vec![absent("k")])).0, committed(4));
}

/// Guards against a read of changes that misses a row, returns a deleted one as present or depends on the index in use.
#[test]
fn reads_agree_with_a_plain_model() {
    arbtest(|u| {
        let mut state = TableState::default();
        let mut model: BTreeMap<String, (u64, Option<Value>)> = BTreeMap::new();
        // After a long prelude, reads of changes since an old revision use the index by key.
        let prelude = if u.ratio(1_u8, 8_u8)? { 1_100 } else { 0 };
        for number in 0..prelude + u.int_in_range(1..=30)? {
            let revision = state.revision() + 1;
            let mut writes = Vec::new();
            if number >= prelude {
                let key = format!("{}/{}", u.choose(&["a", "ab", "b"])?, u.int_in_range(0..=3)?);
                if u.arbitrary()? {
                    writes.push(put_value(&key, json!(revision)));
                    model.insert(key, (revision, Some(json!(revision))));
                } else {
                    writes.push(delete(&key));
                    if let Some(row) = model.get_mut(&key).filter(|row| row.1.is_some()) {
                        *row = (revision, None);
                    }
                }
            }
            state.commit(&write(&format!("op{revision}"), writes));
        }
        let after = u.int_in_range(0..=state.revision())?;
        let changed_after = u.arbitrary::<bool>()?.then_some(after);
        let keys = vec!["b/1".to_owned()];
        let response = state.read(&ReadRequest { keys, changed_after, ..rows("a/") });
        model.retain(|key, (revision, value)| {
            (key.starts_with("a/") || key == "b/1")
                && changed_after.map_or(value.is_some(), |after| *revision > after)
        });
        let model = model.into_iter().map(|(key, (revision, value))| Row { key, revision, value });
        assert_eq!(response.rows, model.collect::<Vec<_>>());
        Ok(())
    })
    .budget_ms(1_000);
}
