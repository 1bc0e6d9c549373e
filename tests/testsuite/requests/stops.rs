//! Leaving targets get nothing new, and a planned stop cuts off nobody.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::local::HistoryEvent;
use plantainlever::local::target::TargetFault;
use plantainlever::ops::drain::drain;
use plantainlever::platform::vms::VmState;

use super::rig::{EntryProcess, Seen, Site, wait_for};

/// Bound of the promise.
const LEAVING_BOUND: Duration = Duration::from_secs(5);

/// Time after which the system's own rules stop new work at the latest in these tests, with health checks each 200 ms.
const EXPECTED: Duration = Duration::from_millis(1_500);

/// Ends the load when dropped, so that a failed assertion does not leave the callers running.
struct EndOfLoad<'a>(&'a AtomicBool);

impl Drop for EndOfLoad<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends requests from `callers` threads until the flag is set and returns what each saw.
fn load(entry: &EntryProcess, callers: usize, done: &AtomicBool, query: &str) -> Vec<Seen> {
    let seen = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for caller in 0..callers {
            let seen = &seen;
            scope.spawn(move || {
                let mut index = 0;
                while !done.load(Ordering::SeqCst) {
                    let body = format!("{caller}/{index}");
                    let answer = entry.post(query, body.as_bytes());
                    assert!(answer.outcome != "completed" || answer.body == body.as_bytes());
                    seen.lock().unwrap().push(answer);
                    index += 1;
                }
            });
        }
    });
    seen.into_inner().unwrap()
}

/// Starts of requests at a target after a moment, as time since the moment.
fn starts_after(site: &Site, target: &str, moment: Duration) -> Vec<Duration> {
    let events = site.history.snapshot();
    let starts = events.into_iter().filter_map(|(at, event)| match event {
        HistoryEvent::RequestStarted { target: name, .. } if name == target => Some(at),
        _ => None,
    });
    starts.filter(|at| *at > moment).map(|at| at - moment).collect()
}

/// Guards against new work for a target that leaves while the VM list still shows it as live, and against work for a
/// target that only the VM list shows as leaving, or whose health checks only time out.
#[test]
fn a_leaving_target_gets_nothing_new() {
    for signal in ["own report", "vm list", "no health"] {
        let site = Site::default();
        let leaving = site.target("t1", "a");
        let _staying = site.target("t2", "a");
        let entry = site.entry("p1", "a");
        entry.wait_for_slots(16);
        let done = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let end = EndOfLoad(&done);
            let callers = scope.spawn(|| load(&entry, 6, &done, "?sleep_ms=2"));
            wait_for("work at the target", || {
                !starts_after(&site, "t1", SystemClock.boot() - LEAVING_BOUND).is_empty()
            });
            match signal {
                "own report" => leaving.set_leaving(true),
                "vm list" => site.list_as("t1", VmState::Leaving),
                _ => leaving.set_fault(TargetFault::NoHealth),
            }
            let moment = SystemClock.boot();
            wait_for("the time in which nothing may start", || {
                SystemClock.boot() - moment > EXPECTED * 2
            });
            drop(end);
            let seen = callers.join().unwrap();
            assert!(seen.iter().all(|seen| seen.outcome == "completed"), "{signal}");
            let last = starts_after(&site, "t1", moment).into_iter().max().unwrap_or_default();
            assert!(last <= EXPECTED, "{signal}: a request started after {last:?}");
        });
        entry.close();
    }
}

/// Guards against a request that a planned stop interrupts: each caller gets its answer, or is told that its request
/// was not run, and that is true.
#[test]
fn a_planned_stop_cuts_off_no_request() {
    let site = Site::default();
    let _target = site.target("t1", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(8);
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let end = EndOfLoad(&done);
        let callers = scope.spawn(|| load(&entry, 8, &done, "?sleep_ms=150"));
        wait_for("requests in flight", || entry.dispatcher.in_flight() >= 8);
        let drained = drain(&entry.cx, &entry.dispatcher);
        assert_eq!(drained.left, 0);
        // From here the process may end: no run is open, and no answer is still to be written.
        let started = site.ran().len();
        let entries = site.history.snapshot();
        let ended = entries
            .iter()
            .filter(|(_, entry)| matches!(entry, HistoryEvent::RequestEnded { .. }))
            .count();
        assert_eq!(started, ended);
        assert_eq!(entry.call("GET", "/readyz", &[], b"").status, 503);
        assert_eq!(entry.call("GET", "/healthz", &[], b"").status, 200);
        drop(end);
        let seen = callers.join().unwrap();
        let completed = seen.iter().filter(|seen| seen.outcome == "completed").count();
        assert_eq!(completed, site.ran().len());
        assert!(seen.iter().all(|seen| matches!(seen.outcome.as_str(), "completed" | "not-run")));
    });
    entry.close();
}

/// Guards against a stop that waits for a request without an end.
#[test]
fn a_planned_stop_ends_at_its_bound() {
    let site = Site::default();
    let _target = site.target("t1", "a");
    let mut cx = site.context("p1", "a");
    std::sync::Arc::make_mut(&mut cx.cfg).timing.drain_ms = 100;
    let entry = EntryProcess::start(cx);
    entry.wait_for_slots(8);
    std::thread::scope(|scope| {
        let slow = scope.spawn(|| entry.post("?sleep_ms=1000", b"slow"));
        wait_for("the request in flight", || entry.dispatcher.in_flight() >= 1);
        assert!(drain(&entry.cx, &entry.dispatcher).left > 0);
        assert_eq!(slow.join().unwrap().outcome, "completed");
    });
    entry.close();
}
