//! Tests of the platform clients and the catalogue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plantainlever::clock::{Clock, ManualClock};
use plantainlever::config::Settings;
use plantainlever::local::History;
use plantainlever::local::table::MemoryTable;
use plantainlever::platform::group_commit::{CommitFailure, GroupCommit};
use plantainlever::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, Table, Transaction,
    Write,
};
use plantainlever::telemetry::Metrics;
use plantainlever_test_support::fault::{Faults, FaultyTable};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(1);

fn settings() -> Settings {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    serde_json::from_value(json!({
        "name": "vm", "domain": "a", "domains": ["a", "b"], "listen": any, "peer_listen": any,
        "platform": {"table": any, "objects": any, "vms": any},
    }))
    .expect("the settings are complete")
}

fn put(operation: &str, key: &str, conditions: Vec<Condition>) -> Transaction {
    let writes = vec![Write::Put { key: key.to_owned(), value: json!({"by": operation}) }];
    Transaction { operation: operation.to_owned(), conditions, writes }
}

fn absent(key: &str) -> Condition {
    Condition::Absent { key: key.to_owned() }
}

fn committed(revision: u64) -> CommitResult {
    CommitResult::Committed { revision }
}

struct InProcess {
    table: MemoryTable,
    faults: Faults,
    clock: Arc<ManualClock>,
    commits: GroupCommit,
}

fn in_process() -> InProcess {
    let table = MemoryTable::new(History::default());
    let faults = Faults::default();
    let clock = Arc::new(ManualClock::new());
    let faulty = FaultyTable::new(Arc::new(table.clone()), faults.clone(), clock.clone(), TIMEOUT);
    let commits = GroupCommit::inline(
        Arc::new(faulty),
        clock.clone(),
        Metrics::disabled(),
        &settings(),
        "p1",
    );
    InProcess { table, faults, clock, commits }
}

/// Guards against an operation that is decided twice, or committed after it was forbidden.
#[test]
fn table_decides_each_operation_once() {
    let table = MemoryTable::new(History::default());
    let txn = put("op1", "k", vec![absent("k")]);
    assert_eq!(table.commit(&txn), Ok(committed(1)));
    assert_eq!(table.commit(&txn), Ok(committed(1)));
    let query = OperationQuery { operation: "op2".to_owned(), forbid: true };
    assert_eq!(table.operation(&query), Ok(OperationStatus::Unknown));
    let late = table.commit(&put("op2", "k2", Vec::new()));
    assert_eq!(late, Ok(CommitResult::Conflict { failed: Vec::new() }));
    assert_eq!(table.history().snapshot().len(), 1);
    let all = ReadRequest { prefixes: vec!["k".to_owned()], ..ReadRequest::default() };
    assert_eq!(table.read(&all).unwrap().rows.len(), 1);
}

/// Guards against a commit that is reported as failed, or applied twice, because its answer was lost.
#[test]
fn lost_answer_after_commit_is_reconciled() {
    let t = in_process();
    t.faults.lose_answers(1);
    let deadline = t.clock.now() + Duration::from_secs(5);
    assert_eq!(t.commits.submit(&put("op1", "k", vec![absent("k")]), deadline), Ok(committed(1)));
    assert_eq!(t.table.history().snapshot().len(), 1);
}

/// Guards against a claim of failure while the outcome is open, and of an unknown outcome while it can be learned.
#[test]
fn outcome_is_unknown_only_while_the_table_is_silent() {
    let t = in_process();
    t.faults.lose_answers(u32::MAX);
    let txn = put("op1", "k", vec![absent("k")]);
    let lost = t.commits.submit(&txn, t.clock.now() + Duration::from_secs(5));
    assert!(
        matches!(lost, Err(CommitFailure::Unknown { ref operation, .. }) if operation == "op1")
    );
    t.faults.lose_answers(0);
    let again = t.commits.submit(&txn, t.clock.now() + Duration::from_secs(5));
    assert_eq!(again, Ok(committed(1)));
}
