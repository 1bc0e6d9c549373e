//! Requests that are forwarded to a peer.

use std::sync::Arc;

use plantainlever::local::target::LocalTarget;

use super::rig::{EntryProcess, Site};

fn two_domains() -> (Site, Arc<EntryProcess>, Arc<EntryProcess>) {
    let site = Site::default();
    let start = |name: &str, domain| {
        site.list_member(name, domain);
        let entry = Arc::new(site.entry(name, domain));
        site.network.connect(name, Arc::clone(&entry) as _);
        entry
    };
    let (here, there) = (start("p1", "a"), start("p2", "b"));
    (site, here, there)
}

/// Guards against a request that is refused although another domain has targets of its service.
#[test]
fn a_service_of_another_domain_is_reached_through_a_peer() {
    let (site, here, there) = two_domains();
    let _target = site.target("t1", "b");
    there.wait_for_slots(8);
    let seen = here.post("", b"over there");
    assert_eq!((seen.outcome.as_str(), seen.body.as_slice()), ("completed", &b"over there"[..]));
    assert_eq!(site.runs_of(b"over there"), 1);
}

/// Guards against requests that are forwarded in a loop when no process has a usable target.
#[test]
fn a_forwarded_request_is_not_forwarded_again() {
    let (site, here, there) = two_domains();
    let targets = [site.target("t1", "b"), site.target("t2", "a")];
    there.wait_for_slots(8);
    here.wait_for_slots(8);
    targets.into_iter().for_each(LocalTarget::kill);
    let seen = here.post("", b"nowhere");
    assert_eq!((seen.status, seen.outcome.as_str()), (503, "not-run"));
    assert_eq!(site.network.forwards(), 1);
    assert_eq!(site.runs_of(b"nowhere"), 0);
}

/// Guards against `unknown` for a request that did not reach the peer.
#[test]
fn a_request_to_an_unreachable_peer_is_not_run() {
    let (site, here, there) = two_domains();
    let _target = site.target("t1", "b");
    there.wait_for_slots(8);
    site.network.cut("p2");
    assert_eq!(here.post("", b"cut").outcome, "not-run");
    assert_eq!(site.runs_of(b"cut"), 0);
}

/// Guards against a trace context that a forwarding process drops or does not give a span of its own.
#[test]
fn the_trace_context_is_passed_on() {
    let (site, here, there) = two_domains();
    let target = site.target("t1", "b");
    there.wait_for_slots(8);
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let parent = format!("00-{trace}-b7ad6b7169203331-01");
    here.call("POST", "/v1/services/echo/x", &[("traceparent", &parent)], b"traced");
    let traces = target.traces();
    assert_eq!(traces.len(), 1);
    assert!(traces[0].contains(trace) && traces[0] != parent, "{traces:?}");
}
