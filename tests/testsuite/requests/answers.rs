//! The answer that a caller gets is whole and its own, and its outcome is true.

use super::rig::Site;

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
