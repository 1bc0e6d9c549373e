//! Leaving targets get no new requests, and a planned stop interrupts no request.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::local::HistoryEvent;
use plantainlever::local::target::TargetFault;
use plantainlever::ops::drain::drain;
use plantainlever::platform::vms::VmState;

use super::rig::{CallerAnswer, EntryProcess, Site, wait_for};

/// Documented bound on the time after which a leaving target gets no new request.
const LEAVING_BOUND: Duration = Duration::from_secs(5);

/// Time after which a leaving target gets no new request under the dispatcher's rules, with health checks every 200 ms.
const EXPECTED_LEAVING_TIME: Duration = Duration::from_millis(1_500);

/// Stops the load when dropped, so that a failed assertion does not leave the callers running.
struct StopLoadOnDrop<'a>(&'a AtomicBool);

impl Drop for StopLoadOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends requests from `callers` threads until the flag is set and returns what each saw.
fn load(entry: &EntryProcess, callers: usize, done: &AtomicBool, query: &str) -> Vec<CallerAnswer> {
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

/// Times from `moment` to each later start of a request at a target.
fn starts_after(site: &Site, target: &str, moment: Duration) -> Vec<Duration> {
    let events = site.history.snapshot();
    let starts = events.into_iter().filter_map(|(at, event)| match event {
        HistoryEvent::RequestStarted { target: name, .. } if name == target => Some(at),
        _ => None,
    });
    starts.filter(|at| *at > moment).map(|at| at - moment).collect()
}

/// Guards against new requests for a target that reports that it is leaving while the VM list still shows it as live,
/// for one that only the VM list shows as leaving, and for one whose health checks time out.
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
            let end = StopLoadOnDrop(&done);
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
                SystemClock.boot() - moment > EXPECTED_LEAVING_TIME * 2
            });
            drop(end);
            let seen = callers.join().unwrap();
            assert!(seen.iter().all(|seen| seen.outcome == "completed"), "{signal}");
            let last = starts_after(&site, "t1", moment).into_iter().max().unwrap_or_default();
            assert!(last <= EXPECTED_LEAVING_TIME, "{signal}: a request started after {last:?}");
        });
        entry.close();
    }
}

/// Guards against a planned stop that interrupts a request. Each caller gets its answer, or is told correctly that its
/// request did not run.
#[test]
fn a_planned_stop_interrupts_no_request() {
    let site = Site::default();
    let _target = site.target("t1", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(8);
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let end = StopLoadOnDrop(&done);
        let callers = scope.spawn(|| load(&entry, 8, &done, "?sleep_ms=150"));
        wait_for("requests in flight", || entry.dispatcher.in_flight() >= 8);
        let drained = drain(&entry.cx, &entry.dispatcher);
        assert_eq!(drained.unfinished, 0);
        // From here on the process may end: no request is running, and all answers have been handed over.
        let started = site.run_bodies().len();
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
        assert_eq!(completed, site.run_bodies().len());
        assert!(seen.iter().all(|seen| matches!(seen.outcome.as_str(), "completed" | "not-run")));
    });
    entry.close();
}

/// Guards against a planned stop that waits for a long request without a bound.
#[test]
fn a_planned_stop_ends_at_its_timeout() {
    let site = Site::default();
    let _target = site.target("t1", "a");
    let mut cx = site.context("p1", "a");
    std::sync::Arc::make_mut(&mut cx.cfg).timing.drain_ms = 100;
    let entry = EntryProcess::start(cx);
    entry.wait_for_slots(8);
    std::thread::scope(|scope| {
        let slow = scope.spawn(|| entry.post("?sleep_ms=1000", b"slow"));
        wait_for("the request in flight", || entry.dispatcher.in_flight() >= 1);
        assert!(drain(&entry.cx, &entry.dispatcher).unfinished > 0);
        assert_eq!(slow.join().unwrap().outcome, "completed");
    });
    entry.close();
}
