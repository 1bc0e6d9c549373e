//! The answer that a caller gets is whole and its own, and its outcome is true.

use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use plantainlever::clock::SystemClock;
use plantainlever::local::HistoryEvent;
use plantainlever::local::target::TargetFault;
use plantainlever::platform::target::{
    ExchangeBounds, HttpTargets, TargetClient, TargetError, TargetRequest,
};

use super::rig::{EntryProcess, Site, any_port, wait_for};

/// Guards against a path that does not reach a target, or an answer of another request.
#[test]
fn a_caller_gets_its_own_answer() {
    let site = Site::default();
    let _target = site.target("t1", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(8);
    for index in 0..20 {
        let body = format!("body {index}");
        let seen = entry.post("", body.as_bytes());
        assert_eq!((seen.status, seen.outcome.as_str()), (200, "completed"));
        assert_eq!(seen.body, body.as_bytes());
    }
    entry.close();
}

/// Guards against answers without an outcome or with a wrong status for bad input.
#[test]
fn bad_input_gets_a_typed_error() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let long = vec![b'x'; entry.cx.cfg.limits.max_body_bytes + 1];
    let deadline = [("Plantainlever-Deadline-Ms", "soon")];
    let cases = [
        (entry.call("GET", "/nowhere", &[], b""), 404, "unknown-route"),
        (entry.call("GET", "/v1/nothing", &[], b""), 404, "unknown-route"),
        (entry.call("GET", "/v1/services/nothing/x", &[], b""), 404, "unknown-service"),
        (entry.call("POST", "/v1/services/echo/x", &[], &long), 413, "body-too-large"),
        (entry.call("POST", "/v1/services/echo/x", &deadline, b""), 400, "malformed-header"),
    ];
    for (seen, status, code) in cases {
        let body: serde_json::Value = serde_json::from_slice(&seen.body).unwrap();
        assert_eq!((seen.status, body["error"]["code"].as_str()), (status, Some(code)));
        assert_eq!(seen.outcome, "not-run");
    }
    entry.close();
}

/// Guards against an outcome that the target's own history contradicts: `not-run` for a request that ran, an answer
/// that is not whole or not the caller's, or a second run of a request that must run once.
#[test]
fn the_outcome_agrees_with_the_history_of_the_target() {
    let cases = [
        (TargetFault::Truncated, "unknown", 1),
        (TargetFault::CloseBefore, "unknown", 0),
        (TargetFault::CloseAfter, "unknown", 1),
        (TargetFault::WrongId, "unknown", 1),
        (TargetFault::CloseIdle, "completed", 1),
        (TargetFault::Slow(Duration::from_millis(600)), "unknown", 1),
    ];
    for (fault, outcome, runs) in cases {
        let site = Site::default();
        let target = site.target("t1", "a");
        let entry = site.entry("p1", "a");
        entry.wait_for_slots(8);
        target.set_fault(fault);
        let headers = [("Plantainlever-Deadline-Ms", "400")];
        let seen = entry.call("POST", "/v1/services/echo/x", &headers, b"a booking");
        assert_eq!(seen.outcome, outcome, "{fault:?}");
        // A run that the caller no longer waits for may still be about to begin or end.
        wait_for("the end of the exchange", || entry.dispatcher.free_slots() >= 7);
        assert_eq!(site.runs_of(b"a booking"), runs, "{fault:?}");
        entry.close();
    }
}

/// Guards against `unknown` for requests that no target can have received, and against giving up while another target
/// is usable.
#[test]
fn a_dead_target_leaves_requests_not_run_or_to_another_target() {
    let site = Site::default();
    let dead = site.target("t1", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(8);
    dead.kill();
    let seen = entry.post("", b"nobody");
    assert_eq!((seen.status, seen.outcome.as_str()), (503, "not-run"));
    assert_eq!(site.runs_of(b"nobody"), 0);
    let _alive = site.target("t2", "a");
    entry.wait_for_slots(8);
    assert_eq!(entry.post("", b"somebody").outcome, "completed");
    assert_eq!(site.runs_of(b"somebody"), 1);
    entry.close();
}

/// Guards against a refusal by the target that is taken for an answer or for a run.
#[test]
fn a_target_that_refuses_is_not_run() {
    let site = Site::default();
    let target = site.target("t1", "a");
    let mut cx = site.context("p1", "a");
    // Health checks must not notice before the request does.
    Arc::make_mut(&mut cx.cfg).timing.health_poll_ms = 2_000;
    let entry = EntryProcess::start(cx);
    entry.wait_for_slots(8);
    target.set_leaving(true);
    assert_eq!(entry.post("", b"too late").outcome, "not-run");
    assert_eq!((target.refused(), site.runs_of(b"too late")), (1, 0));
    entry.close();
}

/// Guards against the answer to a request whose caller has given up reaching the next caller on the same connection.
#[test]
fn a_late_answer_is_dropped_and_its_connection_closed() {
    let site = Site::default();
    let _target = site.target("t1", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(8);
    let headers = [("Plantainlever-Deadline-Ms", "100")];
    let late = entry.call("POST", "/v1/services/echo/x?sleep_ms=300", &headers, b"late");
    assert_eq!(late.outcome, "unknown");
    wait_for("the late answer", || entry.dispatcher.counts().late.load(Ordering::SeqCst) == 1);
    for index in 0..16 {
        let body = format!("next {index}");
        assert_eq!(entry.post("", body.as_bytes()).body, body.as_bytes());
    }
    assert_eq!(site.runs_of(b"late"), 1);
    entry.close();
}

/// Guards against answers that change places under load, requests that run twice on connections that the target has
/// closed, and more than 8 requests or 64 connections at an executor.
#[test]
fn many_callers_on_unreliable_connections_get_their_own_answers() {
    let site = Site::default();
    let targets = [site.target("t1", "a"), site.target("t2", "a")];
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(16);
    targets[0].set_fault(TargetFault::CloseIdle);
    std::thread::scope(|scope| {
        for caller in 0..24 {
            let entry = &entry;
            scope.spawn(move || {
                for index in 0..20 {
                    let body = format!("{caller}/{index}");
                    let seen = entry.post(&format!("?sleep_ms={}", index % 5), body.as_bytes());
                    if seen.outcome == "completed" {
                        assert_eq!(seen.body, body.as_bytes());
                    }
                }
            });
        }
    });
    for caller in 0..24 {
        for index in 0..20 {
            assert!(site.runs_of(format!("{caller}/{index}").as_bytes()) <= 1);
        }
    }
    for (_, entry) in site.history.snapshot() {
        if let HistoryEvent::RequestStarted { in_flight, connections, .. } = entry {
            assert!(in_flight <= 8 && connections <= 64, "{in_flight} {connections}");
        }
    }
    entry.close();
}

/// Guards against a library that sends a request again after the pooled connection turned out to be closed. The server
/// closes it only when the second request has begun to arrive, so that the check before the reuse cannot see it.
#[test]
fn a_request_on_a_connection_that_closes_is_not_resent() {
    let listener = std::net::TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        let mut text = String::new();
        while !text.contains("one") {
            let count = first.read(&mut buf).unwrap();
            text.push_str(std::str::from_utf8(&buf[..count]).unwrap());
        }
        first
            .write_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nPlantainlever-Request-Id: r1\r\n\r\n",
            )
            .unwrap();
        let on_same_connection = first.read(&mut buf).unwrap();
        drop(first);
        listener.set_nonblocking(true).unwrap();
        // The client has returned by the time that this is read.
        move || (on_same_connection, listener.accept().is_ok())
    });
    let targets = HttpTargets::new(Arc::new(SystemClock), 1 << 20);
    let send = |id: &str, body: &[u8]| {
        let req = TargetRequest {
            request_id: id.to_owned(),
            method: "POST".to_owned(),
            path: "/x".to_owned(),
            headers: Vec::new(),
            body: body.to_vec(),
            traceparent: "-".to_owned(),
        };
        let second = Duration::from_secs(1);
        let bounds =
            ExchangeBounds { connect: second, total: second, late: second, connections: 4 };
        targets.send(&address, &req, bounds)
    };
    assert_eq!(send("r1", b"one").map(|answer| answer.status), Ok(200));
    let result = send("r2", b"two");
    assert!(matches!(result, Err(TargetError::NoAnswer { .. })), "{result:?}");
    let (on_same_connection, connected_again) = server.join().unwrap()();
    assert!(on_same_connection > 0);
    assert!(!connected_again);
    assert_eq!(targets.connections(&address), 0);
}

/// Guards against a request that has to fail because the pooled connection was closed while it was idle.
#[test]
fn a_connection_closed_while_idle_is_not_used() {
    let site = Site::default();
    let target = site.target("t1", "a");
    target.set_fault(TargetFault::CloseIdle);
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(8);
    for index in 0..10 {
        let seen = entry.post("", format!("{index}").as_bytes());
        assert_eq!(seen.outcome, "completed", "{seen:?}");
        // The end of the connection must have arrived before the next request.
        wait_for("closed connections", || target.open_connections() == 0);
    }
    entry.close();
}

/// Guards against repeats of idempotent requests beyond 10% of the traffic, and against none at all.
#[test]
fn idempotent_requests_are_repeated_within_the_budget() {
    let site = Site::default();
    let first = site.target("t1", "a");
    let second = site.target("t2", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(16);
    for number in 0..200 {
        // The budget is empty at the start. Both targets break, because routing avoids a single broken one.
        if number == 100 {
            first.set_fault(TargetFault::CloseAfter);
            second.set_fault(TargetFault::CloseAfter);
        }
        entry.call("GET", "/v1/services/echo/x", &[], b"");
    }
    let counts = entry.dispatcher.counts();
    let repeats = counts.retries.load(Ordering::SeqCst);
    assert!((1..=20).contains(&repeats), "{repeats} repeats of 200 requests");
    assert!(site.ran().len() as u64 <= 200 + repeats);
    entry.close();
}
