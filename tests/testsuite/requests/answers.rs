//! A caller gets the complete answer to its own request, and the outcome that it is told is true.

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

/// Guards against requests that reach no target and answers that belong to another request.
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

/// Guards against answers to bad input that have no outcome or the wrong status.
#[test]
fn bad_input_gets_a_typed_error() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let long = vec![b'x'; entry.cx.cfg.limits.max_body_bytes + 1];
    let deadline = [("Plantainlever-Deadline-Ms", "soon")];
    entry.confirm_catalogue();
    let cases = [
        (entry.call("GET", "/v1/services/nothing/x", &[], b""), 404, "unknown-service"),
        (entry.call("GET", "/nowhere", &[], b""), 404, "unknown-route"),
        (entry.call("GET", "/v1/nothing", &[], b""), 404, "unknown-route"),
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

/// Guards against a service that is refused as unknown because the process could not read that it was added.
#[test]
fn an_old_catalogue_does_not_refuse_a_service_as_unknown() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let (clock, limit) = (&entry.cx.clock, entry.cx.cfg.timing.freshness());
    wait_for("an old catalogue", || !entry.cx.catalogue.snapshot().is_fresh(clock.now(), limit));
    let seen = entry.call("GET", "/v1/services/added/x", &[], b"");
    let body: serde_json::Value = serde_json::from_slice(&seen.body).unwrap();
    let code = body["error"]["code"].as_str();
    assert_eq!((seen.status, code), (503, Some("catalogue-unconfirmed")));
    assert_eq!(seen.outcome, "not-run");
    entry.close();
}

/// Guards against an outcome that the target's history contradicts: `not-run` for a request that ran, `completed` with
/// a truncated answer or that of another request, or a second run of a request that must run once.
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
        // The target may still begin or end the run after the caller has stopped waiting.
        wait_for("the end of the exchange", || entry.dispatcher.free_slots() >= 7);
        assert_eq!(site.runs_of(b"a booking"), runs, "{fault:?}");
        entry.close();
    }
}

/// Guards against `unknown` for a request that no target can have received, and against a failure while another target
/// is usable.
#[test]
fn requests_fail_over_from_a_dead_target_or_are_not_run() {
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

/// Guards against a target's refusal that is reported as an answer or as a request that may have run.
#[test]
fn a_request_that_the_target_refuses_is_not_run() {
    let site = Site::default();
    let target = site.target("t1", "a");
    let mut cx = site.context("p1", "a");
    // No health check may see that the target is leaving before the request is sent.
    Arc::make_mut(&mut cx.cfg).timing.health_poll_ms = 2_000;
    let entry = EntryProcess::start(cx);
    entry.wait_for_slots(8);
    target.set_leaving(true);
    assert_eq!(entry.post("", b"too late").outcome, "not-run");
    assert_eq!((target.refused(), site.runs_of(b"too late")), (1, 0));
    entry.close();
}

/// Guards against a late answer, whose caller has stopped waiting, that reaches the next caller on the same connection.
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

/// Guards against answers that are swapped under load, requests that run twice because the target closed their
/// connection, and more than 8 requests or 64 connections at an executor.
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

/// Guards against an HTTP library that resends a request when its pooled connection turns out to be closed. The server
/// closes the connection only after the second request has begun to arrive, so that the check before the reuse cannot
/// detect it.
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
        // Called after the client has returned.
        move || (on_same_connection, listener.accept().is_ok())
    });
    let targets = HttpTargets::new(Arc::new(SystemClock), 1 << 20);
    let send = |id: &str, body: &[u8]| {
        let req = TargetRequest {
            request_id: id.to_owned(),
            method: "POST".to_owned(),
            path: "/x".to_owned(),
            headers: Vec::new(),
            body: body.to_vec().into(),
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

/// Guards against a request that fails because its pooled connection was closed while it was idle.
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

/// Guards against retries of idempotent requests beyond 10% of the traffic, and against no retries at all.
#[test]
fn idempotent_requests_are_retried_within_the_budget() {
    let site = Site::default();
    let first = site.target("t1", "a");
    let second = site.target("t2", "a");
    let entry = site.entry("p1", "a");
    entry.wait_for_slots(16);
    for number in 0..200 {
        // The first requests fill the budget, which starts empty. Both targets fail, because routing avoids a single
        // failing one.
        if number == 100 {
            first.set_fault(TargetFault::CloseAfter);
            second.set_fault(TargetFault::CloseAfter);
        }
        entry.call("GET", "/v1/services/echo/x", &[], b"");
    }
    let counts = entry.dispatcher.counts();
    let retries = counts.retries.load(Ordering::SeqCst);
    assert!((1..=20).contains(&retries), "{retries} retries of 200 requests");
    assert!(site.run_bodies().len() as u64 <= 200 + retries);
    entry.close();
}
