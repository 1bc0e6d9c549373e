//! Crowds on an `entry` process with the largest legal `max_body_bytes`, so that a few clients exceed its memory.

use std::net::SocketAddr;
use std::time::Duration;

use plantainlever::catalogue::{Class, Document, Entry, EntryLimits};
use plantainlever::local::target::TargetFault;
use plantainlever::worker::Resources;
use plantainlever_test_support::crowd::{Crowd, Script};
use plantainlever_test_support::site::{Site, SiteBuilder};
use plantainlever_test_support::usage::{Usage, UsageMonitor, wait_until_settled};
use plantainlever_test_support::wait;

use super::{agent, assert_within, get, take_turn};

/// Memory of a process; the limit in docs/CAPACITY.md.
const MEMORY_BYTES: usize = 256 << 20;

/// Open descriptors of a process: its connections to callers, and those to targets, peers and the platform.
const DESCRIPTORS: usize = 5_000;

/// Largest legal value of `max_body_bytes`.
const BODY_BYTES: usize = 16 << 20;

/// Connections of most crowds.
const CROWD: usize = 40;

/// More connections than an entry process accepts by default.
const MAX_CONNECTIONS: usize = 4_096;

const HEAD: &str = "POST /v1/services/echo/x HTTP/1.1\r\nHost: a\r\n";

fn start_site() -> Site {
    let echo = Document::Entry(Entry {
        owner: "depots".to_owned(),
        class: Class::LatencyCritical,
        limits: EntryLimits { per_task: Resources::default(), max_running: None, max_attempts: 5 },
        priority: 0,
        exclusive: None,
        idempotent: None,
        p99_target_ms: None,
        domains: Vec::new(),
    });
    let site = SiteBuilder::new(env!("CARGO_BIN_EXE_plantainlever"))
        .targets_per_domain("echo", 4)
        .document("echo", echo)
        .limits(|limits| limits.max_body_bytes = BODY_BYTES)
        .start()
        .unwrap();
    let front = front(&site);
    wait::until("a request is answered", wait::BOUND, || match post(front, 1) {
        Ok(200) => Ok(()),
        other => Err(format!("{other:?}")),
    });
    site
}

fn front(site: &Site) -> SocketAddr {
    site.entries()[0].process.address()
}

fn watch(site: &Site, test: impl FnOnce()) -> Usage {
    let monitor = UsageMonitor::start(site.entries()[0].process.pid(), &[front(site)]);
    test();
    monitor.close()
}

fn post(front: SocketAddr, length: usize) -> Result<u16, String> {
    let url = format!("http://{front}/v1/services/echo/x");
    let mut answer = agent().post(url).send(vec![b'a'; length]).map_err(|e| e.to_string())?;
    let body = answer.body_mut().with_config().limit(2 * BODY_BYTES as u64).read_to_vec();
    let body = body.map_err(|e| e.to_string())?;
    let status = answer.status().as_u16();
    if status == 200 && body.len() != length {
        return Err(format!("{} bytes of {length}", body.len()));
    }
    Ok(status)
}

/// Sends the scripts from a crowd, and an ordinary request after the crowd has gone.
fn assert_survives(site: &Site, crowd: &[(usize, Script)]) {
    let front = front(site);
    let usage = watch(site, || {
        let mut clients = Crowd::default();
        for (count, script) in crowd {
            clients.join_many(*count, front, script).unwrap();
        }
        clients.send();
        wait_until_settled(&[front]);
        clients.read();
        println!("{} of {} connections are open", clients.open(), clients.statuses().len());
    });
    wait::until("an ordinary request is answered", wait::BOUND, || match post(front, 1_000) {
        Ok(200) => Ok(()),
        other => Err(format!("{other:?}")),
    });
    assert_within(usage, MEMORY_BYTES, DESCRIPTORS);
}

/// Guards against large bodies that exhaust the memory together, each of them one byte short of its end.
#[test]
fn bodies_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced(HEAD, &vec![b'a'; BODY_BYTES], 1);
    assert_survives(&start_site(), &[(CROWD, script)]);
}

/// As above, with bodies whose length is not announced.
#[test]
fn chunked_bodies_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::chunked(HEAD, &vec![b'a'; BODY_BYTES], 64 << 10, false);
    assert_survives(&start_site(), &[(CROWD, script)]);
}

/// As above, with bodies that arrive in pieces at the same pace.
#[test]
fn bodies_in_pieces_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced(HEAD, &vec![b'a'; BODY_BYTES], 1);
    assert_survives(&start_site(), &[(CROWD, script.in_pieces(64 << 10))]);
}

/// As above, in chunks of one byte, whose frames take 6 bytes each.
#[test]
fn bodies_in_tiny_chunks_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::chunked(HEAD, &vec![b'a'; 256 << 10], 1, false);
    assert_survives(&start_site(), &[(CROWD, script)]);
}

/// Guards against headers that never end and keep the places of ordinary callers.
#[test]
fn an_ordinary_request_is_answered_beside_endless_headers() {
    let _turn = take_turn();
    let site = start_site();
    let front = front(&site);
    let usage = watch(&site, || {
        let mut clients = Crowd::default();
        let script = Script::endless_header(HEAD, 15_000);
        clients.join_many(MAX_CONNECTIONS + 100, front, &script).unwrap();
        clients.send();
        assert_eq!(post(front, 1_000), Ok(200));
    });
    assert_within(usage, MEMORY_BYTES, DESCRIPTORS);
}

/// Guards against messages to the peers' interface that announce the largest length and stop short of their end.
#[test]
fn messages_of_peers_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let site = start_site();
    let (front, peer) = (front(&site), site.entries()[0].process.peer_address());
    let mut message = (32_u32 << 20).to_be_bytes().to_vec();
    message.resize(31 << 20, b'a');
    let monitor = UsageMonitor::start(site.entries()[0].process.pid(), &[front, peer]);
    let mut clients = Crowd::default();
    clients.join_many(CROWD, peer, &Script::new(message)).unwrap();
    clients.send();
    wait_until_settled(&[peer]);
    let usage = monitor.close();
    assert_eq!(post(front, 1_000), Ok(200));
    assert_within(usage, MEMORY_BYTES, DESCRIPTORS);
}

/// Guards against copies of complete bodies that exhaust the memory together.
#[test]
fn whole_bodies_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced(HEAD, &vec![b'a'; BODY_BYTES], 0);
    assert_survives(&start_site(), &[(CROWD, script)]);
}

/// As above, beside targets that answer nothing.
#[test]
fn whole_bodies_beside_silent_targets_stay_within_the_memory() {
    let _turn = take_turn();
    let site = start_site();
    for target in site.targets().values() {
        target.set_fault(TargetFault::Slow(Duration::from_secs(20)));
    }
    let front = front(&site);
    let usage = watch(&site, || {
        let mut clients = Crowd::default();
        let script = Script::announced(HEAD, &vec![b'a'; BODY_BYTES], 0);
        clients.join_many(CROWD, front, &script).unwrap();
        clients.send();
        wait_until_settled(&[front]);
        for target in site.targets().values() {
            target.set_fault(TargetFault::None);
        }
    });
    wait::until("an ordinary request is answered", wait::BOUND, || match post(front, 1_000) {
        Ok(200) => Ok(()),
        other => Err(format!("{other:?}")),
    });
    assert_within(usage, MEMORY_BYTES, DESCRIPTORS);
}

/// Guards against bodies over the limit that are read although they can't be accepted.
#[test]
fn bodies_over_the_limit_stay_within_the_memory() {
    let _turn = take_turn();
    let announced = Script::announced_length(HEAD, 20 << 20, 20 << 20);
    let sent = Script::chunked(HEAD, &vec![b'a'; 20 << 20], 64 << 10, true);
    assert_survives(&start_site(), &[(CROWD, announced), (CROWD, sent)]);
}

/// Guards against answers that are kept because their callers never read them.
#[test]
fn answers_that_are_not_read_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced(HEAD, &vec![b'a'; 8 << 20], 0);
    assert_survives(&start_site(), &[(2 * CROWD, script)]);
}

/// Guards against connections that send nothing and keep the places of ordinary callers.
#[test]
fn an_ordinary_request_is_answered_beside_silent_connections() {
    let _turn = take_turn();
    let site = start_site();
    let front = front(&site);
    let usage = watch(&site, || {
        let mut clients = Crowd::default();
        clients.join_many(MAX_CONNECTIONS + 100, front, &Script::silent()).unwrap();
        assert_eq!(post(front, 1_000), Ok(200));
    });
    assert_eq!(get(front, "/readyz"), Ok(200));
    assert_within(usage, MEMORY_BYTES, DESCRIPTORS);
}

/// Guards against kinds of misbehaviour that a process withstands one at a time only, and against memory that grows with
/// each crowd.
#[test]
fn all_kinds_stay_within_the_memory_twice() {
    let _turn = take_turn();
    let site = start_site();
    let body = vec![b'a'; BODY_BYTES];
    let crowd = [
        (CROWD, Script::silent()),
        (CROWD, Script::endless_header(HEAD, 15_000)),
        (CROWD, Script::announced(HEAD, &body, 1)),
        (CROWD, Script::announced(HEAD, &body, 1).in_pieces(64 << 10)),
        (CROWD, Script::chunked(HEAD, &body, 64 << 10, false)),
        (CROWD, Script::chunked(HEAD, &body[..16 << 10], 1, false)),
        (CROWD, Script::announced_length(HEAD, 64 << 20, 1 << 20)),
        (CROWD, Script::chunked(HEAD, &vec![b'a'; 20 << 20], 64 << 10, true)),
    ];
    for _ in 0..2 {
        assert_survives(&site, &crowd);
    }
}

/// Guards against limits that refuse a single request of legal size.
#[test]
fn the_largest_legal_request_is_served() {
    let _turn = take_turn();
    let site = start_site();
    let front = front(&site);
    assert_eq!(post(front, BODY_BYTES), Ok(200));
    assert_eq!(post(front, BODY_BYTES + 1), Ok(413));
}
