//! The history checker reports each violated guarantee, and nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plantainlever::local::History;
use plantainlever::local::history::HistoryEvent;
use plantainlever::platform::table::{CommitResult, Transaction, Write};
use plantainlever::platform::worker::{AttemptRef, AttemptState};
use plantainlever::task::TaskId;
use plantainlever::worker::Resources;
use plantainlever_test_support::caller::{Attempt, AttemptOutcome, Record};
use plantainlever_test_support::checker::{Broken, CheckLimits, check, check_callers};
use serde_json::{Value, json};

const SIZE: Resources = Resources::new(1000, 1024, 0);

fn started(worker: &str, task: &str, attempt: u32) -> HistoryEvent {
    HistoryEvent::AttemptStarted {
        worker: worker.to_owned(),
        domain: "a".to_owned(),
        attempt: AttemptRef { task: TaskId::new(task), attempt },
        entry: "count".to_owned(),
        resources: SIZE,
        capacity: SIZE,
        checkpoint: None,
    }
}

fn ended(worker: &str, task: &str, attempt: u32) -> HistoryEvent {
    HistoryEvent::AttemptEnded {
        worker: worker.to_owned(),
        attempt: AttemptRef { task: TaskId::new(task), attempt },
        state: AttemptState::Stopped,
    }
}

fn put(key: &str, value: Value, revision: u64) -> HistoryEvent {
    HistoryEvent::Transaction {
        transaction: Transaction {
            operation: format!("{key}/{revision}"),
            conditions: Vec::new(),
            writes: vec![Write::Put { key: key.to_owned(), value }],
        },
        result: CommitResult::Committed { revision },
    }
}

fn task_row(id: &str, attempt: u32, state: &str, exclusive: bool) -> Value {
    json!({"id": id, "entry": "count", "owner": "o", "class": "batch", "exclusive": exclusive,
        "priority": 0, "args": {}, "resources": {"cpu_millis": 1, "memory_mb": 1},
        "state": state, "attempt": attempt, "domain": "a", "worker": null, "checkpoint": null,
        "reason": null, "submitted_ms": 0})
}

fn request(key: &str, in_flight: u32, connections: u32) -> HistoryEvent {
    HistoryEvent::RequestStarted {
        target: "t".to_owned(),
        request_id: "r".to_owned(),
        key: Some(key.to_owned()),
        body: Vec::new(),
        in_flight,
        connections,
    }
}

fn found(events: Vec<HistoryEvent>) -> Vec<Broken> {
    let history = History::default();
    for event in events {
        history.record(event);
    }
    check(
        &history.snapshot(),
        &CheckLimits { out_of_service_grace: Duration::ZERO, ..CheckLimits::default() },
    )
}

/// Guards against a checker that reports a violation in a history without one.
#[test]
fn a_good_history_passes() {
    let good = vec![
        put("task/a/x", task_row("x", 1, "running", true), 1),
        started("w", "x", 1),
        ended("w", "x", 1),
        put("task/b/x", task_row("x", 2, "running", true), 2),
        started("v", "x", 2),
        put("domain-state/a", json!({"state": "out"}), 3),
        ended("v", "x", 2),
        put("domain-state/a", json!({"state": "in"}), 4),
        started("w", "y", 1),
        request("k", 8, 64),
    ];
    assert_eq!(found(good), Vec::new());
}

/// Guards against a checker that misses overlapping attempts of an exclusive task, or reports those of another one.
#[test]
fn an_overlap_of_an_exclusive_task_is_found() {
    let overlap = |exclusive| {
        found(vec![
            put("task/a/x", task_row("x", 1, "running", exclusive), 1),
            started("w", "x", 1),
            started("v", "x", 2),
        ])
    };
    let expected = Broken::Overlap { task: "x".into(), first: "w".into(), second: "v".into() };
    assert_eq!(overlap(true), vec![expected]);
    assert_eq!(overlap(false), Vec::new());
}

/// Guards against a checker that misses a worker whose attempts exceed its capacity.
#[test]
fn over_capacity_on_a_worker_is_found() {
    let broken = found(vec![started("w", "x", 1), started("w", "y", 1)]);
    assert_eq!(broken, vec![Broken::OverCapacity { worker: "w".into(), task: "y".into() }]);
}

/// Guards against a checker that misses a start in a domain out of service.
#[test]
fn a_start_after_out_is_found() {
    let broken = found(vec![
        put("domain-state/a", json!({"state": "out"}), 1),
        put("domain-state/a", json!({"state": "out"}), 2),
        started("w", "x", 1),
    ]);
    assert!(matches!(broken[..], [Broken::StartAfterOut { .. }]), "{broken:?}");
}

/// Guards against a checker that misses an attempt that starts twice, or after its task has ended.
#[test]
fn a_second_start_of_an_attempt_is_found() {
    let broken = found(vec![started("w", "x", 1), ended("w", "x", 1), started("v", "x", 1)]);
    let twice = Broken::StartedTwice { task: "x".into(), attempt: 1, worker: "v".into() };
    assert_eq!(broken, vec![twice]);
    let broken =
        found(vec![put("task/a/x", task_row("x", 1, "cancelled", true), 1), started("w", "x", 1)]);
    assert_eq!(broken, vec![Broken::StartedAfterEnd { task: "x".into(), worker: "w".into() }]);
}

/// Guards against a checker that misses a request that runs twice, or a target beyond its limits.
#[test]
fn a_double_run_and_exceeded_limits_are_found() {
    let broken = found(vec![request("k", 9, 65), request("k", 1, 1)]);
    let expected = vec![
        Broken::OverSlots { target: "t".into(), in_flight: 9 },
        Broken::OverConnections { target: "t".into(), connections: 65 },
        Broken::RanTwice { key: "k".into(), target: "t".into() },
    ];
    assert_eq!(broken, expected);
}

/// Guards against a checker that misses a revision or an attempt number that decreases.
#[test]
fn decreasing_revisions_and_attempts_are_found() {
    let broken = found(vec![
        put("task/a/x", task_row("x", 2, "pending", true), 2),
        put("task/a/x", task_row("x", 1, "pending", true), 1),
    ]);
    let expected = vec![
        Broken::RevisionWentBack { before: 2, found: 1 },
        Broken::AttemptWentBack { task: "x".into(), before: 2, found: 1 },
    ];
    assert_eq!(broken, expected);
}

/// Guards against a checker that misses a request that ran although its caller was told that it did not.
#[test]
fn a_run_that_the_caller_was_told_did_not_happen_is_found() {
    let history = History::default();
    history.record(request("k", 1, 1));
    let record = |key: &str, outcome| Record {
        key: key.to_owned(),
        body: Vec::new(),
        attempts: vec![Attempt {
            outcome,
            status: None,
            body: Vec::new(),
            entry: SocketAddr::from(([127, 0, 0, 1], 1)),
            took: Duration::ZERO,
            ended: Instant::now(),
        }],
    };
    let records = [
        record("k", AttemptOutcome::NotRun),
        record("k", AttemptOutcome::Unknown),
        record("j", AttemptOutcome::NotRun),
    ];
    let broken = check_callers(&history.snapshot(), &records);
    assert_eq!(broken, vec![Broken::RanDespiteNotRun { key: "k".into(), target: "t".into() }]);
}
