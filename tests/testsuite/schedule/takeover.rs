//! Changes of the holder of a domain: take-over, hand-over and rescue.

use serde_json::json;

use super::support::{Site, StoreFaults, short_timing, wait_for};

/// Guards against a domain that is not scheduled, or a task that is restarted, after the holder has crashed.
#[test]
fn a_successor_inherits_running_tasks() {
    let site = Site::new(short_timing(), &[1]);
    let mut first = site.process("p1", "a");
    first.wait_fresh();
    site.wait_holder("a", "p1");
    let second = site.process("p2", "a");
    wait_for("p2 is named", || {
        let row = site.store.value("hold/a")?;
        (row["successors"] == json!(["p2"])).then_some(())
    });
    let id = first.submit("count", &json!({"run_ms": 6000}));
    wait_for("it runs and its first, short lease is renewed", || {
        let renewals = site.workers.counts().calls.get("renew").copied();
        (!site.workers.running("a-0").is_empty() && renewals > Some(0)).then_some(())
    });
    first.kill();
    site.wait_holder("a", "p2");
    let row = site.wait_state(&id, "succeeded");
    assert_eq!(row["attempt"], 1, "{}", site.trace(&id));
    assert!(second.scheduler.as_ref().unwrap().status().scheduling);
}

/// Guards against a planned stop during a store outage that leaves the domain without a holder, so that the leases of
/// its tasks lapse.
#[test]
fn a_planned_stop_hands_over_without_the_store() {
    let site = Site::new(short_timing(), &[1]);
    let mut first = site.process("p1", "a");
    first.wait_fresh();
    site.wait_holder("a", "p1");
    let second = site.process("p2", "a");
    wait_for("p2 is named and has read the row", || {
        let row = site.store.value("hold/a")?;
        let status = second.scheduler.as_ref().unwrap().status();
        (row["successors"] == json!(["p2"]) && status.holder.is_some()).then_some(())
    });
    let id = first.submit("count", &json!({"run_ms": 6000}));
    wait_for("it runs", || (!site.workers.running("a-0").is_empty()).then_some(()));
    let down = StoreFaults { down: true, ..StoreFaults::default() };
    first.store.set_faults(down.clone());
    second.store.set_faults(down);
    first.stop();
    wait_for("p2 schedules", || {
        second.scheduler.as_ref().unwrap().status().scheduling.then_some(())
    });
    wait_for("it has ended on the worker", || site.workers.running("a-0").is_empty().then_some(()));
    second.store.set_faults(StoreFaults::default());
    let row = site.wait_state(&id, "succeeded");
    assert_eq!(row["attempt"], 1);
    site.wait_holder("a", "p2");
}

/// Guards against a new process that waits for the force time although the previous one was stopped as planned.
#[test]
fn a_released_hold_is_taken_at_once() {
    let site = Site::new(short_timing(), &[1]);
    let mut first = site.process("p1", "a");
    site.wait_holder("a", "p1");
    first.stop();
    let _second = site.process("p2", "a");
    site.wait_holder("a", "p2");
}

/// Guards against an exclusive task that runs in two domains after a rescuer has taken over a domain that was cut off,
/// while its holder was alive and renewed leases as long as it was permitted to. Also guards against a rescuer that
/// does not release the domain afterwards.
#[test]
fn a_rescuer_finds_exclusive_tasks_stopped() {
    let site = Site::new(short_timing(), &[1, 1]);
    let first = site.process("p1", "a");
    let second = site.process("p2", "b");
    first.wait_fresh();
    site.wait_holder("b", "p2");
    wait_for("p2 is a rescuer", || {
        let row = site.store.value("hold/a")?;
        (row["rescuers"] == json!(["p2"])).then_some(())
    });
    let id = first.submit("count", &json!({"run_ms": 60_000}));
    wait_for("it runs", || (!site.workers.running("a-0").is_empty()).then_some(()));
    first.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    site.network.cut("p1");
    wait_for("it runs in the other domain", || {
        (!site.workers.running("b-0").is_empty()).then_some(())
    });
    let row = site.task(&id).unwrap();
    assert_eq!((&row["domain"], &row["attempt"]), (&json!("b"), &json!(2)));
    site.assert_guarantees();
    first.store.set_faults(StoreFaults::default());
    site.network.join("p1");
    site.wait_holder("a", "p1");
    drop(second);
}
