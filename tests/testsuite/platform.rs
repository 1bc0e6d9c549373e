//! Tests of the HTTP clients, group commit, the table relay and the catalogue, against the in-memory services.

mod catalogue;
mod commits;
mod http;
mod relay;
mod sync;
mod table;

use std::sync::Arc;
use std::time::{Duration, Instant};

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::local::table::MemoryTable;
use plantainlever::local::vms::MemoryVms;
use plantainlever::local::{History, HistoryEvent, JsonServer, Reply};
use plantainlever::platform::PlatformError;
use plantainlever::platform::group_commit::{CommitFailure, GroupCommit};
use plantainlever::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Row,
    Table, Transaction, Write,
};
use plantainlever::platform::vms::{Vm, VmRole, VmState};
use plantainlever::telemetry::Metrics;
use plantainlever_test_support::fault::Faults;
use plantainlever_test_support::in_process::{
    RelayPeers, TIMEOUT, TestTable, context, loopback, settings,
};
use plantainlever_test_support::wait;
use serde_json::{Value, json};

/// Longest wait for any condition.
const WAIT: Duration = Duration::from_secs(20);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait::until_true(what, WAIT, &mut condition, || "not true");
}

fn write(operation: &str, writes: Vec<Write>) -> Transaction {
    Transaction { operation: operation.to_owned(), conditions: Vec::new(), writes }
}

fn put_value(key: &str, value: Value) -> Write {
    Write::Put { key: key.to_owned(), value }
}

fn delete(key: &str) -> Write {
    Write::Delete { key: key.to_owned() }
}

fn put(operation: &str, key: &str, conditions: Vec<Condition>) -> Transaction {
    let value = put_value(key, json!({"by": operation}));
    Transaction { conditions, ..write(operation, vec![value]) }
}

fn absent(key: &str) -> Condition {
    Condition::Absent { key: key.to_owned() }
}

fn at(key: &str, revision: u64) -> Condition {
    Condition::AtRevision { key: key.to_owned(), revision }
}

fn committed(revision: u64) -> CommitResult {
    CommitResult::Committed { revision }
}

fn conflict(failed: &[&str]) -> CommitResult {
    CommitResult::Conflict { failed: failed.iter().map(|key| (*key).to_owned()).collect() }
}

fn rows(prefix: &str) -> ReadRequest {
    ReadRequest { prefixes: vec![prefix.to_owned()], ..ReadRequest::default() }
}

/// Returns the decided transactions with their results, in order.
fn decided(table: &MemoryTable) -> Vec<(Transaction, CommitResult)> {
    let events = table.history().snapshot().into_iter();
    let decided = events.filter_map(|(_, event)| match event {
        HistoryEvent::Transaction { transaction, result } => Some((transaction, result)),
        _ => None,
    });
    decided.collect()
}

/// Returns the operations whose writes took effect, in order, from the values that [`put`] writes.
fn effects(table: &MemoryTable) -> Vec<String> {
    let mut effects = Vec::new();
    for (transaction, result) in decided(table) {
        for write in transaction.writes {
            if let (CommitResult::Committed { .. }, Write::Put { value, .. }) = (&result, write) {
                effects.extend(value["by"].as_str().map(str::to_owned));
            }
        }
    }
    effects
}

/// Starts group commit with a thread and the system's clock.
fn threaded(table: &Arc<dyn Table>, writes_per_second: u32) -> GroupCommit {
    let mut cfg = settings();
    cfg.limits.writes_per_second = writes_per_second;
    let clock = Arc::new(SystemClock);
    GroupCommit::start(Arc::clone(table), clock, Metrics::disabled(), &cfg, "p1")
        .expect("a thread can be started")
}

fn target(name: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        role: VmRole::Target,
        state: VmState::Live,
        domain: "a".to_owned(),
        rack: "r1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        service: Some("echo".to_owned()),
    }
}
