//! The life of tasks on one scheduler.

use serde_json::json;

use super::support::{Site, short_timing, wait_for};

/// Guards against a task that is accepted and never runs, or runs and is never recorded.
#[test]
fn a_task_runs_to_its_end() {
    let site = Site::new(short_timing(), &[2]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 50}));
    site.wait_state(&id, "succeeded");
    assert_eq!(site.task(&id).unwrap()["attempt"], 1);
}

/// Guards against leases that lapse while the worker and the scheduler are healthy.
#[test]
fn a_task_longer_than_its_lease_is_renewed() {
    let site = Site::new(short_timing(), &[1]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 6000}));
    let row = site.wait_state(&id, "succeeded");
    assert_eq!(row["attempt"], 1);
}

/// Guards against a failing task that is retried without end, or given up too early.
#[test]
fn a_failing_task_is_given_up_after_max_attempts() {
    let site = Site::new(short_timing(), &[4]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 5, "fail": true}));
    let row = site.wait_state(&id, "failed");
    assert_eq!(row["failures"], 3);
}

/// Guards against a cancelled task that goes on running.
#[test]
fn a_running_task_is_cancelled() {
    let site = Site::new(short_timing(), &[1]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 60_000}));
    wait_for("it runs", || (!site.workers.running("a-0").is_empty()).then_some(()));
    let (status, _) = process.call("DELETE", &format!("tasks/{id}"), &json!(null));
    assert_eq!(status, 202);
    site.wait_state(&id, "cancelled");
    assert_eq!(site.workers.running("a-0"), Vec::new());
}

/// Guards against work that is lost or started from nothing when its domain is taken out.
#[test]
fn a_domain_that_is_out_is_emptied_with_progress_kept() {
    let site = Site::new(short_timing(), &[1, 1]);
    let first = site.process("p1", "a");
    let _second = site.process("p2", "b");
    first.wait_fresh();
    site.wait_holder("a", "p1");
    site.wait_holder("b", "p2");
    let id = first.submit("count", &json!({"run_ms": 3000}));
    wait_for("it runs", || (!site.workers.running("a-0").is_empty()).then_some(()));
    site.store.put("domain-state/a", json!({"state": "out"}));
    let row = site.wait_state(&id, "succeeded");
    assert_eq!((&row["domain"], &row["attempt"]), (&json!("b"), &json!(2)));
    assert!(row["checkpoint"].is_string());
}
