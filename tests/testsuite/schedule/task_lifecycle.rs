//! Life cycle of tasks under one scheduler.

use plantainlever::local::history::HistoryEvent;
use plantainlever::platform::table::{CommitResult, Write};
use serde_json::json;

use super::support::{Site, short_timing, wait_for};

/// Guards against an accepted task that never runs, or whose end is never recorded.
#[test]
fn a_submitted_task_runs_and_succeeds() {
    let site = Site::new(short_timing(), &[2]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 50}));
    site.wait_state(&id, "succeeded");
    assert_eq!(site.task(&id).unwrap()["attempt"], 1);
}

/// Guards against leases that lapse although the worker and the scheduler are healthy.
#[test]
fn a_task_longer_than_its_lease_is_renewed() {
    let site = Site::new(short_timing(), &[1]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 6000}));
    let row = site.wait_state(&id, "succeeded");
    assert_eq!(row["attempt"], 1);
}

/// Guards against a failing task that is retried forever, or too few times.
#[test]
fn a_task_fails_after_max_attempts() {
    let site = Site::new(short_timing(), &[4]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 5, "fail": true}));
    let row = site.wait_state(&id, "failed");
    assert_eq!(row["failures"], 3);
}

/// Guards against a cancelled task that continues to run.
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

/// Guards against tasks that are lost, or restarted without their checkpoints, when their domain is taken out of
/// service.
#[test]
fn evacuated_tasks_resume_from_their_checkpoints() {
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

/// Guards against an urgent task that waits for batch tasks to end in a full domain, and against batch tasks that use
/// the resources freed for it.
#[test]
fn urgent_work_preempts_batch_work() {
    let site = Site::new(short_timing(), &[2]);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let batch: Vec<String> =
        (0..12).map(|_| process.submit("count", &json!({"run_ms": 4000}))).collect();
    wait_for("the domain is full", || {
        let running = site.workers.running("a-0").len() + site.workers.running("a-1").len();
        (running == 8).then_some(())
    });
    let submitted = std::time::Instant::now();
    let urgent = process.submit("urgent", &json!({"run_ms": 300}));
    wait_for("the urgent task has started", || (site.starts(&urgent) == 1).then_some(()));
    let took = submitted.elapsed();
    assert!(took < std::time::Duration::from_millis(6_300), "{took:?}");
    for id in &batch {
        site.wait_state(id, "succeeded");
    }
    assert!(batch.iter().any(|id| site.starts(id) == 2));
    site.assert_guarantees();
}

/// Guards against a worker that fails every start and still receives tasks, so that healthy tasks use up their
/// attempts.
#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    let site = Site::new(short_timing(), &[4]);
    site.workers.set_faults("a-0", |faults| faults.fails_starts = true);
    let process = site.process("p1", "a");
    process.wait_fresh();
    let ids: Vec<String> =
        (0..40).map(|_| process.submit("count", &json!({"run_ms": 100}))).collect();
    for id in &ids {
        site.wait_state(id, "succeeded");
    }
    let status = process.scheduler.as_ref().unwrap().status();
    assert_eq!(status.quarantined.keys().collect::<Vec<_>>(), ["a-0"]);
    let failures = failed_attempts(&site);
    assert!(failures <= 5, "{failures} attempts failed before the worker was out of use");
    site.assert_guarantees();
}

/// Returns the number of failed attempts of all tasks, from their last rows in the history.
fn failed_attempts(site: &Site) -> u64 {
    let mut failures = std::collections::BTreeMap::new();
    for (_, event) in site.history.snapshot() {
        let HistoryEvent::Transaction { transaction, result: CommitResult::Committed { .. } } =
            event
        else {
            continue;
        };
        for write in transaction.writes {
            if let Write::Put { key, value } = write {
                failures.insert(key, value["failures"].as_u64().unwrap_or(0));
            }
        }
    }
    failures.values().sum()
}

/// Guards against a slow worker that delays starts on other workers.
#[test]
fn a_slow_worker_does_not_delay_the_others() {
    let site = Site::new(short_timing(), &[4]);
    let slow = std::time::Duration::from_millis(1_500);
    site.workers.set_faults("a-0", |faults| faults.slow = Some(slow));
    let process = site.process("p1", "a");
    process.wait_fresh();
    let begun = std::time::Instant::now();
    let ids: Vec<String> =
        (0..12).map(|_| process.submit("count", &json!({"run_ms": 100}))).collect();
    for id in &ids {
        site.wait_state(id, "succeeded");
    }
    let took = begun.elapsed();
    assert!(took < slow * 3, "{took:?}");
}

/// Guards against a batch task that continues to slow down a service on the same VM.
#[test]
fn batch_work_beside_a_slow_service_is_throttled_and_moved() {
    let mut site = Site::new(short_timing(), &[1]);
    site.add_service("a-0", "echo");
    site.workers.set_service_p99_us("a-0", Some(50_000));
    let process = site.process("p1", "a");
    process.wait_fresh();
    let id = process.submit("count", &json!({"run_ms": 600_000}));
    site.wait_running(&["a-0"]);
    site.workers.set_service_p99_us("a-0", Some(300_000));
    wait_for("the task is throttled", || {
        (site.workers.counts().calls.get("throttle").copied() > Some(0)).then_some(())
    });
    wait_for("the task is evicted with a checkpoint", || {
        let row = site.task(&id)?;
        (row["attempt"] == 2 && row["checkpoint"].is_string()).then_some(())
    });
    site.assert_guarantees();
}
