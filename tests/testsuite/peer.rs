//! Tests of the messages between entry processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::peer::{
    ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat, HeartbeatReply,
    HoldAnswer, HoldQuery, PeerError, PeerHandler, PeerNode, Peers, RecordKey, RecordKeyReply,
    Relay, RelayReply,
};
use plantainlever_test_support::wait;

const TIMEOUT: Duration = Duration::from_secs(5);
const REBIND_BOUND: Duration = Duration::from_secs(20);
const SLOW_FORWARD: Duration = Duration::from_millis(500);

/// Answers heartbeats at once and forwarded requests slowly.
#[derive(Debug, Default)]
struct SlowForwarder {
    heartbeats: AtomicU32,
}

impl PeerHandler for SlowForwarder {
    fn heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply {
        self.heartbeats.fetch_add(1, Ordering::SeqCst);
        HeartbeatReply {
            from: "answering".to_owned(),
            domain: msg.domain.clone(),
            stopping: false,
            free_slots: msg.free_slots,
        }
    }

    fn query_hold(&self, _: &HoldQuery) -> HoldAnswer {
        HoldAnswer { promised: false }
    }

    fn hand_over(&self, _: &HandOver) -> HandOverReply {
        HandOverReply { accepted: false }
    }

    fn record_key(&self, _: &RecordKey) -> RecordKeyReply {
        RecordKeyReply::Recorded
    }

    fn relay(&self, _: &Relay) -> RelayReply {
        RelayReply::Failed { no_effect: true, cause: "no table".to_owned() }
    }

    fn forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer {
        SystemClock.sleep(SLOW_FORWARD);
        ForwardedAnswer::Completed {
            request_id: msg.request_id.clone(),
            status: 200,
            headers: Vec::new(),
            body: msg.body.clone(),
        }
    }
}

fn start_node() -> (PeerNode, Arc<SlowForwarder>) {
    let handler = Arc::new(SlowForwarder::default());
    let shared: Arc<dyn PeerHandler> = handler.clone();
    let node = PeerNode::start("127.0.0.1:0".parse().unwrap(), shared).unwrap();
    (node, handler)
}

fn heartbeat(free_slots: u32) -> Heartbeat {
    Heartbeat {
        from: "asking".to_owned(),
        domain: "site-a".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        stopping: false,
        free_slots,
    }
}

fn forwarded(request_id: &str) -> ForwardedRequest {
    ForwardedRequest {
        request_id: request_id.to_owned(),
        service: "echo".to_owned(),
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: vec![7; 1 << 20],
        remaining_ms: 5_000,
        idempotent: false,
        traceparent: String::new(),
    }
}

/// Guards against heartbeats that wait behind slow forwarded requests. A busy process would then look dead.
#[test]
fn heartbeats_do_not_wait_for_slow_forwarded_requests() {
    let (server, handler) = start_node();
    let (client, _) = start_node();
    let address = server.address().to_string();
    std::thread::scope(|scope| {
        let answers: Vec<_> = (0..8)
            .map(|index| {
                let client = &client;
                let address = &address;
                scope.spawn(move || {
                    client.forward(address, forwarded(&format!("r{index}")), TIMEOUT)
                })
            })
            .collect();
        let reply = client.heartbeat(&address, heartbeat(3), SLOW_FORWARD / 2).unwrap();
        assert_eq!(reply.free_slots, 3);
        for (index, answer) in answers.into_iter().enumerate() {
            let ForwardedAnswer::Completed { request_id, body, .. } =
                answer.join().unwrap().unwrap()
            else {
                panic!("request {index} was not completed");
            };
            assert_eq!(request_id, format!("r{index}"));
            assert_eq!(body.len(), 1 << 20);
        }
    });
    assert_eq!(handler.heartbeats.load(Ordering::SeqCst), 1);
    client.close();
    server.close();
}

/// Guards against a call that reports `NoAnswer` although nothing was sent. The outcome would then be unknown, and a
/// safe retry would not be made.
#[test]
fn a_peer_that_does_not_listen_is_unreachable() {
    let (gone, _) = start_node();
    let address = gone.address().to_string();
    gone.close();
    let (client, _) = start_node();
    let error = client.heartbeat(&address, heartbeat(0), TIMEOUT).unwrap_err();
    assert!(matches!(error, PeerError::Unreachable { .. }), "{error}");
    client.close();
}

/// Starts a node at an address that was just released. Retries, because the system may give the port to an outgoing
/// connection of another test for a moment.
fn rebind(address: SocketAddr) -> PeerNode {
    wait::until("the address is free", REBIND_BOUND, || {
        let handler: Arc<dyn PeerHandler> = Arc::new(SlowForwarder::default());
        PeerNode::start(address, handler).map_err(|error| format!("{error:?}"))
    })
}

/// Guards against a connection that stays cached after its peer has been replaced at the same address.
#[test]
fn a_replaced_peer_is_reached_again() {
    let (first, _) = start_node();
    let address = first.address();
    let (client, _) = start_node();
    client.heartbeat(&address.to_string(), heartbeat(0), TIMEOUT).unwrap();
    first.close();
    let second = rebind(address);
    let reached =
        (0..20).any(|_| client.heartbeat(&address.to_string(), heartbeat(0), TIMEOUT).is_ok());
    assert!(reached);
    second.close();
    client.close();
}
