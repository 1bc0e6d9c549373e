//! A request with an idempotency key runs at most once.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use plantainlever::request::key::KeyLimits;

use super::rig::{EntryProcess, Seen, Site, wait_for};

const PATH: &str = "/v1/services/echo/x?sleep_ms=20";

fn site_of_three() -> (Site, Vec<Arc<EntryProcess>>) {
    let site = Site::default();
    let names = ["p1", "p2", "p3"];
    for name in names {
        site.list_member(name, "a");
    }
    let start = |name| {
        let entry = Arc::new(site.entry(name, "a"));
        site.wires.connect(name, Arc::clone(&entry) as _);
        entry
    };
    let entries: Vec<_> = names.into_iter().map(start).collect();
    (site, entries)
}

fn post(entry: &EntryProcess, key: &str, attempt: &str, body: &str) -> Seen {
    let headers = [("Idempotency-Key", key), ("Plantainlever-Attempt", attempt)];
    entry.call("POST", PATH, &headers, body.as_bytes())
}

/// Guards against two runs when a caller sends the same key to two processes at once, with the table up and down.
#[test]
fn the_same_key_at_two_processes_runs_at_most_once() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries.iter().for_each(|entry| entry.wait_for_slots(8));
    let mut completed = 0;
    for round in 0..40 {
        site.table.down.store(round % 2 == 1, Ordering::SeqCst);
        let key = format!("k{round}");
        let seen: Vec<Seen> = std::thread::scope(|scope| {
            let calls: Vec<_> =
                entries[..2].iter().map(|e| scope.spawn(|| post(e, &key, "1", &key))).collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect()
        });
        let runs = site.runs_of(key.as_bytes());
        assert!(runs <= 1, "{key} ran {runs} times: {seen:?}");
        completed += seen.iter().filter(|seen| seen.outcome == "completed").count().min(1);
        for answer in &seen {
            assert!(answer.outcome != "completed" || runs == 1, "{seen:?}");
        }
        // A claim that was not run is released, and the other one may then run: the trace of one failure was not-run at
        // the first process and completed at the second.
        let none_ran = seen.iter().all(|seen| seen.outcome == "not-run");
        assert!(!none_ran || runs == 0, "{seen:?}");
    }
    // Two claims that meet may both lose, but not as a rule.
    assert!(completed >= 10, "{completed} of 40 keys were completed");
}

/// Guards against a second run after the process that ran the request has died, with the table down.
#[test]
fn a_repeat_after_a_kill_does_not_run_again() {
    for down in [false, true] {
        let (site, entries) = site_of_three();
        let _target = site.target("t1", "a");
        entries.iter().for_each(|entry| entry.wait_for_slots(8));
        site.table.down.store(down, Ordering::SeqCst);
        assert_eq!(post(&entries[0], "k", "1", "booking").outcome, "completed");
        site.wires.cut("p1");
        let repeat = post(&entries[1], "k", "2", "booking");
        assert_eq!(site.runs_of(b"booking"), 1);
        assert!(repeat.outcome != "not-run", "{repeat:?}");
    }
}

/// Guards against a repeat that is run, refused as new, or given the wrong answer.
#[test]
fn a_repeat_gets_the_stored_answer_or_a_conflict() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries.iter().for_each(|entry| entry.wait_for_slots(8));
    let first = post(&entries[0], "k", "1", "booking");
    let here = post(&entries[0], "k", "2", "booking");
    assert_eq!(here, first);
    let other_body = post(&entries[0], "k", "2", "another booking");
    assert_eq!((other_body.status, other_body.outcome.as_str()), (422, "not-run"));
    // The row is updated after the answer.
    wait_for("the stored answer at another process", || {
        post(&entries[1], "k", "2", "booking") == first
    });
    assert_eq!(post(&entries[2], "k", "2", "another booking").status, 422);
    assert_eq!(site.runs_of(b"booking"), 1);
    assert_eq!(site.runs_of(b"another booking"), 0);
}

/// Guards against a key in progress that is dispatched a second time by the same process.
#[test]
fn a_key_in_progress_gets_a_conflict() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries[0].wait_for_slots(8);
    let headers = [("Idempotency-Key", "k")];
    std::thread::scope(|scope| {
        let slow = "/v1/services/echo/x?sleep_ms=400";
        let first = scope.spawn(|| entries[0].call("POST", slow, &headers, b"slow"));
        wait_for("the run", || site.runs_of(b"slow") == 1);
        for entry in &entries[..2] {
            let repeat = entry.call("POST", slow, &headers, b"slow");
            assert_eq!((repeat.status, repeat.outcome.as_str()), (409, "unknown"));
        }
        assert_eq!(first.join().unwrap().outcome, "completed");
    });
    assert_eq!(site.runs_of(b"slow"), 1);
}

/// Guards against a key that stays blocked although its request certainly did not run.
#[test]
fn a_key_whose_request_did_not_run_can_be_used_again_anywhere() {
    let (site, entries) = site_of_three();
    assert_eq!(post(&entries[0], "k", "1", "booking").outcome, "not-run");
    wait_for("the deletion of the row", || site.table.keys().is_empty());
    let _target = site.target("t1", "a");
    entries.iter().for_each(|entry| entry.wait_for_slots(8));
    site.table.down.store(true, Ordering::SeqCst);
    wait_for("a repeat at another process", || {
        post(&entries[1], "k", "2", "booking").outcome == "completed"
    });
    assert_eq!(post(&entries[0], "k", "2", "booking").outcome, "unknown");
    assert_eq!(site.runs_of(b"booking"), 1);
}

/// Guards against a dispatch without any look-up, unless the caller asserts that the request is fresh.
#[test]
fn without_a_look_up_only_a_first_attempt_is_dispatched() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries[0].wait_for_slots(8);
    site.table.down.store(true, Ordering::SeqCst);
    site.wires.cut("p2");
    site.wires.cut("p3");
    assert_eq!(post(&entries[0], "k1", "2", "repeat").outcome, "unknown");
    assert_eq!(post(&entries[0], "k2", "1", "fresh").outcome, "completed");
    assert_eq!(post(&entries[0], "k2", "1", "fresh").outcome, "completed");
    assert_eq!((site.runs_of(b"repeat"), site.runs_of(b"fresh")), (0, 1));
}

/// Guards against a store of keys that grows without bound or forgets a key inside the window to make room.
#[test]
fn a_full_store_of_keys_refuses_and_forgets_nothing() {
    use plantainlever::request::key::{IdempotencyStore, RecordOutcome, StoredAnswer};
    let window = Duration::from_secs(60);
    let mut store =
        IdempotencyStore::new(KeyLimits { max_records: 3, max_answer_bytes: 10, window });
    let start = std::time::Instant::now();
    for key in ["a", "b", "c"] {
        assert_eq!(store.record("s", key, "d", "p", start), RecordOutcome::Recorded);
        let answer = StoredAnswer { status: 200, headers: Vec::new(), body: vec![0; 6] };
        store.finish("s", key, answer);
    }
    assert_eq!(store.answer_bytes(), 6);
    assert_eq!(store.record("s", "d", "d", "p", start), RecordOutcome::Full);
    let RecordOutcome::Known(known) = store.record("s", "a", "d", "q", start) else {
        panic!("a was forgotten")
    };
    assert_eq!(known.finished, Some(None));
    assert_eq!(store.record("s", "d", "d", "p", start + window), RecordOutcome::Recorded);
    assert_eq!(store.len(), 1);
}

/// Guards against a process that dispatches on the word of the table alone while another one, which does not reach the
/// table, dispatches on the word of a majority: the two never meet.
#[test]
fn the_table_alone_is_not_enough_to_dispatch() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries.iter().for_each(|entry| entry.wait_for_slots(8));
    site.wires.cut("p2");
    site.wires.cut("p3");
    let alone = post(&entries[0], "k", "2", "booking");
    site.wires.heal("p2");
    site.wires.heal("p3");
    site.wires.cut("p1");
    site.table.down.store(true, Ordering::SeqCst);
    let majority = post(&entries[1], "k", "3", "booking");
    let runs = site.runs_of(b"booking");
    assert!(runs <= 1, "ran {runs} times: {alone:?} {majority:?}");
}

/// Guards against a repeat that runs although its first attempt was dispatched, on the caller's word alone, in a domain
/// that was cut off from the table and from the others.
#[test]
fn a_repeat_waits_for_a_domain_that_cannot_be_asked() {
    let site = Site::default();
    for (name, domain) in [("p1", "a"), ("p2", "b"), ("p3", "b")] {
        site.list_member(name, domain);
    }
    let start = |name: &str, domain: &str| {
        let entry = Arc::new(site.entry(name, domain));
        site.wires.connect(name, Arc::clone(&entry) as _);
        entry
    };
    let (first, other, _third) = (start("p1", "a"), start("p2", "b"), start("p3", "b"));
    let _targets = (site.target("t1", "a"), site.target("t2", "b"));
    first.wait_for_slots(8);
    other.wait_for_slots(8);
    site.wires.cut("p2");
    site.wires.cut("p3");
    site.table.down.store(true, Ordering::SeqCst);
    let answer = post(&first, "k", "1", "booking");
    assert_eq!(answer.outcome, "completed");
    site.wires.heal("p2");
    site.wires.heal("p3");
    site.wires.cut("p1");
    site.table.down.store(false, Ordering::SeqCst);
    let repeat = post(&other, "k", "2", "booking");
    assert_eq!(site.runs_of(b"booking"), 1, "{repeat:?}");
    // The first process may have written its row after the table came back; then the repeat gets the stored answer.
    assert!(repeat.outcome == "unknown" || repeat == answer, "{repeat:?}");
    // A request that its caller says to be new needs no answer from the domain that is cut off.
    assert_eq!(post(&other, "k2", "1", "another booking").outcome, "completed");
}
