//! A request with an idempotency key runs at most once.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use plantainlever::request::key::KeyLimits;

use super::rig::{CallerAnswer, EntryProcess, Site, wait_for};

const PATH: &str = "/v1/services/echo/x?sleep_ms=20";

fn site_of_three() -> (Site, Vec<Arc<EntryProcess>>) {
    let site = Site::default();
    let names = ["p1", "p2", "p3"];
    for name in names {
        site.list_member(name, "a");
    }
    let start = |name| {
        let entry = Arc::new(site.entry(name, "a"));
        site.network.connect(name, Arc::clone(&entry) as _);
        entry
    };
    let entries: Vec<_> = names.into_iter().map(start).collect();
    (site, entries)
}

fn post(entry: &EntryProcess, key: &str, attempt: &str, body: &str) -> CallerAnswer {
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
        let seen: Vec<CallerAnswer> = std::thread::scope(|scope| {
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
        // A claim whose request did not run is released, and the other process's request may then run. So one answer
        // may be not-run and the other completed.
        let none_ran = seen.iter().all(|seen| seen.outcome == "not-run");
        assert!(!none_ran || runs == 0, "{seen:?}");
    }
    // Two concurrent claims may both be refused, but most of the time one is granted.
    assert!(completed >= 10, "{completed} of 40 keys were completed");
}

/// Guards against a second run after the process that dispatched the request has died, with the table up and down.
#[test]
fn a_retry_after_a_kill_does_not_run_again() {
    for down in [false, true] {
        let (site, entries) = site_of_three();
        let _target = site.target("t1", "a");
        entries.iter().for_each(|entry| entry.wait_for_slots(8));
        site.table.down.store(down, Ordering::SeqCst);
        assert_eq!(post(&entries[0], "k", "1", "booking").outcome, "completed");
        site.network.cut("p1");
        let retry = post(&entries[1], "k", "2", "booking");
        assert_eq!(site.runs_of(b"booking"), 1);
        assert!(retry.outcome != "not-run", "{retry:?}");
    }
}

/// Guards against a retry that runs again, is refused as `not-run` or gets the wrong answer.
#[test]
fn a_retry_gets_the_stored_answer_or_a_conflict() {
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

/// Guards against a second dispatch of a key in progress, by the same process or another.
#[test]
fn a_retry_of_a_key_in_progress_gets_a_conflict() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries[0].wait_for_slots(8);
    let headers = [("Idempotency-Key", "k")];
    std::thread::scope(|scope| {
        let slow = "/v1/services/echo/x?sleep_ms=400";
        let first = scope.spawn(|| entries[0].call("POST", slow, &headers, b"slow"));
        wait_for("the run", || site.runs_of(b"slow") == 1);
        for entry in &entries[..2] {
            let retry = entry.call("POST", slow, &headers, b"slow");
            assert_eq!((retry.status, retry.outcome.as_str()), (409, "unknown"));
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
    wait_for("a retry at another process", || {
        post(&entries[1], "k", "2", "booking").outcome == "completed"
    });
    assert_eq!(post(&entries[0], "k", "2", "booking").outcome, "unknown");
    assert_eq!(site.runs_of(b"booking"), 1);
}

/// Guards against a dispatch after a failed look-up, unless the caller asserts that it is the first attempt.
#[test]
fn without_a_look_up_only_a_first_attempt_is_dispatched() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries[0].wait_for_slots(8);
    site.table.down.store(true, Ordering::SeqCst);
    site.network.cut("p2");
    site.network.cut("p3");
    assert_eq!(post(&entries[0], "k1", "2", "retry").outcome, "unknown");
    assert_eq!(post(&entries[0], "k2", "1", "fresh").outcome, "completed");
    assert_eq!(post(&entries[0], "k2", "1", "fresh").outcome, "completed");
    assert_eq!((site.runs_of(b"retry"), site.runs_of(b"fresh")), (0, 1));
}

/// Guards against a key store that grows without bound, or drops a key inside the window to make room.
#[test]
fn a_full_key_store_refuses_new_keys_and_keeps_the_others() {
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

/// Guards against two dispatches of one key, of which one process won only the row in the table, and another, which
/// cannot reach the table, only the majority of the processes. Neither of the two sees the other's claim.
#[test]
fn winning_the_row_alone_does_not_allow_a_dispatch() {
    let (site, entries) = site_of_three();
    let _target = site.target("t1", "a");
    entries.iter().for_each(|entry| entry.wait_for_slots(8));
    site.network.cut("p2");
    site.network.cut("p3");
    let alone = post(&entries[0], "k", "2", "booking");
    site.network.heal("p2");
    site.network.heal("p3");
    site.network.cut("p1");
    site.table.down.store(true, Ordering::SeqCst);
    let majority = post(&entries[1], "k", "3", "booking");
    let runs = site.runs_of(b"booking");
    assert!(runs <= 1, "ran {runs} times: {alone:?} {majority:?}");
}

/// Guards against a retry that runs although a domain, while it was cut off from the table and the other domains, has
/// dispatched the first attempt. It did so without any look-up, as the caller had asserted that it was the first.
#[test]
fn a_retry_waits_for_a_domain_that_cannot_be_asked() {
    let site = Site::default();
    for (name, domain) in [("p1", "a"), ("p2", "b"), ("p3", "b")] {
        site.list_member(name, domain);
    }
    let start = |name: &str, domain: &str| {
        let entry = Arc::new(site.entry(name, domain));
        site.network.connect(name, Arc::clone(&entry) as _);
        entry
    };
    let (first, other, _third) = (start("p1", "a"), start("p2", "b"), start("p3", "b"));
    let _targets = (site.target("t1", "a"), site.target("t2", "b"));
    first.wait_for_slots(8);
    other.wait_for_slots(8);
    site.network.cut("p2");
    site.network.cut("p3");
    site.table.down.store(true, Ordering::SeqCst);
    let answer = post(&first, "k", "1", "booking");
    assert_eq!(answer.outcome, "completed");
    site.network.heal("p2");
    site.network.heal("p3");
    site.network.cut("p1");
    site.table.down.store(false, Ordering::SeqCst);
    let retry = post(&other, "k", "2", "booking");
    assert_eq!(site.runs_of(b"booking"), 1, "{retry:?}");
    // The first process may have written its row after the table came back; then the retry gets the stored answer.
    assert!(retry.outcome == "unknown" || retry == answer, "{retry:?}");
    // A first attempt needs no answer from the domain that is cut off.
    assert_eq!(post(&other, "k2", "1", "another booking").outcome, "completed");
}
