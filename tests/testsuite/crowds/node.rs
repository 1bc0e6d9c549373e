//! Crowds on a `node` process, with the limits in its settings file lowered so that a few hundred connections exceed them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use plantainlever_test_support::crowd::{Crowd, Script};
use plantainlever_test_support::soak::calm::{CalmCluster, submission_body, submission_head};
use plantainlever_test_support::soak::world::StoreMode;
use plantainlever_test_support::soak::{NodeProcess, VmLimits};
use plantainlever_test_support::usage::{Usage, UsageMonitor, wait_until_settled};
use plantainlever_test_support::wait;

use super::{REQUEST_TIMEOUT, agent, assert_within, get, take_turn};

/// Smaller than any VM of the platform, so that a few hundred connections exceed them.
const LIMITS: VmLimits = VmLimits { memory_mb: 64, max_fds: 1_600 };

/// Largest legal body of a request; the platform's own limit.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Bodies of a crowd, just below the largest legal one.
const BODY_BYTES: usize = 262_000;

/// Connections of most crowds.
const CROWD: usize = 300;

/// ID of the job with the given number, which no other test job has.
fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

/// Cluster of one process whose jobs have ordinary outcomes.
struct Rig {
    cluster: CalmCluster,
    next_job: usize,
}

impl Rig {
    fn start(limits: VmLimits) -> Self {
        Self::start_many(1, limits)
    }

    fn start_many(nodes: usize, limits: VmLimits) -> Self {
        let binary = Path::new(env!("CARGO_BIN_EXE_plantainlever"));
        let mut cluster = CalmCluster::start(binary, nodes, limits).unwrap();
        for node in cluster.nodes() {
            let readiness = node.readiness();
            wait::until("the process is ready", wait::BOUND, || match get(readiness, "/") {
                Ok(200) => Ok(()),
                other => Err(format!("{other:?}")),
            });
        }
        Self { cluster, next_job: 1 << 20 }
    }

    fn node(&mut self) -> &mut NodeProcess {
        &mut self.cluster.nodes()[0]
    }

    fn front(&mut self) -> SocketAddr {
        self.node().front()
    }

    /// Runs `test` and returns what the first process has used meanwhile.
    fn watch(&mut self, test: impl FnOnce(&mut Self)) -> Usage {
        let node = self.node();
        let addresses = [node.front(), node.readiness(), node.metrics()];
        let monitor = UsageMonitor::start(node.pid(), &addresses);
        test(self);
        monitor.close()
    }

    /// Submits a job with a body of `length` bytes on a new connection. Returns the status, or why there is none.
    fn submit(&mut self, length: usize) -> Result<u16, String> {
        self.next_job += 1;
        let id = job_id(self.next_job);
        let front = self.front();
        self.submit_as(&id, front, length)
    }

    fn submit_as(&self, id: &str, front: SocketAddr, length: usize) -> Result<u16, String> {
        self.cluster.expect_job(id);
        let head = submission_head(id);
        let (path, host) = (head.split(' ').nth(1).unwrap(), head.split("Host: ").nth(1).unwrap());
        let answer = agent()
            .post(format!("http://{front}{path}"))
            .header("host", host.trim())
            .header("content-type", "application/json")
            .header("x-deadline-ms", REQUEST_TIMEOUT.as_millis().to_string())
            .send(submission_body(length));
        answer.map(|answer| answer.status().as_u16()).map_err(|e| e.to_string())
    }

    /// Sends `script` from a crowd, and submits an ordinary job after the crowd has gone.
    fn assert_survives(&mut self, crowd: &[(usize, SocketAddr, Script)], limits: VmLimits) {
        let usage = self.watch(|_| {
            let mut clients = Crowd::default();
            for (count, address, script) in crowd {
                clients.join_many(*count, *address, script).unwrap();
            }
            clients.send();
            wait_until_settled(&crowd.iter().map(|(_, address, _)| *address).collect::<Vec<_>>());
            clients.read();
            println!("{} of {} connections are open", clients.open(), clients.statuses().len());
        });
        assert!(self.node().is_running());
        assert_eq!(self.submit(0), Ok(200));
        assert_within(usage, limits.memory_mb << 20, limits.max_fds);
        assert_eq!(self.cluster.breaches(), Vec::<String>::new());
    }

    fn assert_front_survives(&mut self, count: usize, script: Script) {
        let front = self.front();
        self.assert_survives(&[(count, front, script)], LIMITS);
    }
}

/// Guards against large bodies that exhaust the memory together, each of them one byte short of its end.
#[test]
fn bodies_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced(&submission_head(&job_id(1)), &submission_body(BODY_BYTES), 1);
    Rig::start(LIMITS).assert_front_survives(CROWD, script);
}

/// As above, with bodies that arrive in pieces at the same pace.
#[test]
fn bodies_in_pieces_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced(&submission_head(&job_id(1)), &submission_body(BODY_BYTES), 1);
    Rig::start(LIMITS).assert_front_survives(CROWD, script.in_pieces(4_096));
}

/// As above, with bodies whose length is not announced.
#[test]
fn chunked_bodies_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let (head, body) = (submission_head(&job_id(1)), submission_body(BODY_BYTES));
    let script = Script::chunked(&head, &body, 64 << 10, false);
    Rig::start(LIMITS).assert_front_survives(CROWD, script);
}

/// As above, in chunks of one byte, whose frames take 6 bytes each.
#[test]
fn bodies_in_tiny_chunks_that_stop_short_stay_within_the_memory() {
    let _turn = take_turn();
    let (head, body) = (submission_head(&job_id(1)), submission_body(16 << 10));
    let script = Script::chunked(&head, &body, 1, false);
    Rig::start(LIMITS).assert_front_survives(CROWD, script);
}

/// Guards against complete bodies that are kept without a bound in sum while the store answers no write.
#[test]
fn whole_bodies_beside_a_store_without_answers_stay_within_the_memory() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    let front = rig.front();
    let usage = rig.watch(|rig| {
        rig.cluster.set_store(StoreMode::Lost);
        let mut clients = Crowd::default();
        for number in 0..CROWD {
            rig.cluster.expect_job(&job_id(number));
            let head = submission_head(&job_id(number)) + "X-Deadline-Ms: 600000\r\n";
            let script = Script::announced(&head, &submission_body(BODY_BYTES), 0);
            clients.join(front, script).unwrap();
        }
        clients.send();
        wait_until_settled(&[front]);
        clients.read();
        println!("{} connections are open", clients.open());
        rig.cluster.set_store(StoreMode::Well);
    });
    assert!(rig.node().is_running());
    // The calls that the stand-in has left unanswered still occupy the process for a while.
    wait::until("an ordinary job is accepted", wait::BOUND, || match rig.submit(0) {
        Ok(200) => Ok(()),
        other => Err(format!("{other:?}")),
    });
    assert_within(usage, LIMITS.memory_mb << 20, LIMITS.max_fds);
    assert_eq!(rig.cluster.breaches(), Vec::<String>::new());
}

/// Guards against complete bodies that exhaust the memory together while they are decoded and stored.
#[test]
fn whole_bodies_stay_within_the_memory() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    let front = rig.front();
    let usage = rig.watch(|rig| {
        let mut clients = Crowd::default();
        for number in 0..CROWD {
            rig.cluster.expect_job(&job_id(number));
            let head = submission_head(&job_id(number));
            let script = Script::announced(&head, &submission_body(BODY_BYTES), 0);
            clients.join(front, script).unwrap();
        }
        clients.send();
        wait_until_settled(&[front]);
    });
    assert!(rig.node().is_running());
    assert_eq!(rig.submit(0), Ok(200));
    assert_within(usage, LIMITS.memory_mb << 20, LIMITS.max_fds);
    assert_eq!(rig.cluster.breaches(), Vec::<String>::new());
}

/// Guards against bodies over the limit that are read although they can't be accepted.
#[test]
fn bodies_that_are_announced_over_the_limit_stay_within_the_memory() {
    let _turn = take_turn();
    let script = Script::announced_length(&submission_head(&job_id(1)), 16 << 20, 4 << 20);
    Rig::start(LIMITS).assert_front_survives(CROWD, script);
}

/// As above, with bodies whose length is not announced.
#[test]
fn chunked_bodies_over_the_limit_stay_within_the_memory() {
    let _turn = take_turn();
    let body = vec![b' '; 20 << 20];
    let script = Script::chunked(&submission_head(&job_id(1)), &body, 64 << 10, true);
    Rig::start(LIMITS).assert_front_survives(CROWD, script);
}

/// Guards against bodies that no handler of the address uses.
#[test]
fn bodies_for_the_readiness_check_stay_within_the_memory() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    let readiness = rig.node().readiness();
    let script = Script::announced("GET / HTTP/1.1\r\nHost: a\r\n", &[b' '; BODY_BYTES], 1);
    rig.assert_survives(&[(CROWD, readiness, script)], LIMITS);
}

/// Guards against headers that never end and keep the places of ordinary callers.
#[test]
fn an_ordinary_request_is_answered_beside_endless_headers() {
    let _turn = take_turn();
    let head = submission_head(&job_id(1));
    assert_answered_beside(&Script::endless_header(&head, 15_000));
}

/// Guards against connections that send nothing and keep the places of ordinary callers.
#[test]
fn an_ordinary_request_is_answered_beside_silent_connections() {
    let _turn = take_turn();
    assert_answered_beside(&Script::silent());
}

/// Submits a job while as many connections as the process has descriptors repeat `script`.
fn assert_answered_beside(script: &Script) {
    let mut rig = Rig::start(LIMITS);
    let front = rig.front();
    let usage = rig.watch(|rig| {
        let mut clients = Crowd::default();
        clients.join_many(LIMITS.max_fds, front, script).unwrap();
        clients.send();
        wait_until_settled(&[front]);
        assert_eq!(rig.submit(0), Ok(200));
        assert_eq!(get(rig.node().readiness(), "/"), Ok(200));
    });
    assert!(rig.node().is_running());
    assert_eq!(rig.submit(0), Ok(200));
    assert_within(usage, LIMITS.memory_mb << 20, LIMITS.max_fds);
}

/// Guards against addresses that together accept more connections than the process has descriptors, so that none is left
/// for the store.
#[test]
fn connections_to_all_addresses_leave_descriptors_for_the_store() {
    let _turn = take_turn();
    let limits = VmLimits { max_fds: 150, ..LIMITS };
    let mut rig = Rig::start(limits);
    let node = rig.node();
    let addresses = [node.front(), node.readiness(), node.metrics()];
    let crowd = addresses.map(|address| (limits.max_fds, address, Script::silent()));
    rig.assert_survives(&crowd, limits);
}

/// Guards against kinds of misbehaviour that a process withstands one at a time only, and against memory that grows with
/// each crowd.
#[test]
fn all_kinds_on_all_addresses_stay_within_the_memory_twice() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    let (head, body) = (submission_head(&job_id(1)), submission_body(BODY_BYTES));
    let scripts = [
        Script::silent(),
        Script::endless_header(&head, 15_000),
        Script::announced(&head, &body, 1),
        Script::announced(&head, &body, 1).in_pieces(4_096),
        Script::chunked(&head, &body, 64 << 10, false),
        Script::chunked(&head, &body[..16 << 10], 1, false),
        Script::announced_length(&head, 16 << 20, 4 << 20),
        Script::chunked(&head, &vec![b' '; 4 << 20], 64 << 10, true),
    ];
    let node = rig.node();
    let addresses = [node.front(), node.readiness(), node.metrics()];
    let crowd: Vec<_> = scripts
        .iter()
        .flat_map(|script| addresses.map(|address| (CROWD / 6, address, script.clone())))
        .collect();
    for _ in 0..2 {
        rig.assert_survives(&crowd, LIMITS);
    }
}

/// Guards against limits that refuse a single request of legal size.
#[test]
fn the_largest_legal_request_is_served() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    assert_eq!(rig.submit(MAX_BODY_BYTES), Ok(200));
    let mut client = Crowd::default();
    let front = rig.front();
    for (number, chunk) in [64 << 10, 1].into_iter().enumerate() {
        rig.cluster.expect_job(&job_id(number));
        let head = submission_head(&job_id(number)) + "Connection: close\r\n";
        let script = Script::chunked(&head, &submission_body(64 << 10), chunk, true);
        client.join(front, script).unwrap();
        client.send();
    }
    wait::until("both chunked requests are answered", wait::BOUND, || {
        client.read();
        let statuses = client.statuses();
        if statuses == [Some(200), Some(200)] { Ok(()) } else { Err(format!("{statuses:?}")) }
    });
    assert_eq!(rig.submit(MAX_BODY_BYTES + 1), Ok(413));
}

/// Guards against a request that is refused and runs all the same, and against one that can't be sent elsewhere after
/// its refusal.
#[test]
fn refused_requests_never_run_and_can_be_sent_elsewhere() {
    let _turn = take_turn();
    let mut rig = Rig::start_many(2, LIMITS);
    let (front, other) = (rig.cluster.nodes()[0].front(), rig.cluster.nodes()[1].front());
    let body = submission_body(BODY_BYTES);
    // While no write is answered, the requests can only be kept or refused, and together they exceed the memory.
    rig.cluster.set_store(StoreMode::Lost);
    let mut whole = Crowd::default();
    let ids: Vec<String> = (100..100 + CROWD).map(job_id).collect();
    for id in &ids {
        rig.cluster.expect_job(id);
        let script = Script::announced(&submission_head(id), &body, 0);
        whole.join(front, script).unwrap();
    }
    whole.send();
    wait_until_settled(&[front]);
    rig.cluster.set_store(StoreMode::Well);
    wait::until("each request is answered or its connection closed", wait::BOUND, || {
        whole.read();
        let waiting = whole.waiting();
        if waiting == 0 { Ok(()) } else { Err(format!("{waiting} wait")) }
    });
    let statuses = whole.statuses();
    let is_refused = |status: &Option<u16>| matches!(status, Some(429 | 503));
    let refused: Vec<&String> = ids
        .iter()
        .zip(&statuses)
        .filter(|(_, status)| is_refused(status))
        .map(|(id, _)| id)
        .collect();
    println!("{} of {} requests are refused", refused.len(), ids.len());
    assert!(!refused.is_empty(), "{statuses:?}");
    wait::until("the accepted jobs have run", wait::BOUND, || {
        let accepted = ids.iter().zip(&statuses).filter(|(_, status)| **status == Some(200));
        let waiting = accepted.filter(|(id, _)| rig.cluster.starts(id) == 0).count();
        if waiting == 0 { Ok(()) } else { Err(format!("{waiting} have not run")) }
    });
    for id in &refused {
        assert!(!rig.cluster.is_stored(id), "{id} was refused and is stored");
        assert_eq!(rig.cluster.starts(id), 0, "{id} was refused and has run");
    }
    for id in refused.iter().take(20) {
        assert_eq!(rig.submit_as(id, other, 0), Ok(200));
        wait::until_true("it runs", wait::BOUND, || rig.cluster.starts(id) > 0, || id.to_string());
        assert_eq!(rig.cluster.starts(id), 1);
    }
    assert_eq!(rig.cluster.breaches(), Vec::<String>::new());
}

/// Guards against answers of the process that pile up because their callers never read them.
#[test]
fn pipelined_requests_whose_answers_are_not_read_stay_within_the_memory() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    let node = rig.node();
    let (front, metrics) = (node.front(), node.metrics());
    let lookups = "GET /unknown HTTP/1.1\r\nHost: soak.example\r\n\r\n".repeat(20_000);
    let scrapes = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(4_000);
    let usage = rig.watch(|rig| {
        let mut clients = Crowd::default();
        clients.join_many(CROWD / 4, front, &Script::new(lookups.into_bytes())).unwrap();
        clients.join_many(CROWD / 4, metrics, &Script::new(scrapes.into_bytes())).unwrap();
        clients.send();
        wait_until_settled(&[front, metrics]);
        assert_eq!(rig.submit(0), Ok(200));
    });
    assert!(rig.node().is_running());
    assert_eq!(rig.submit(0), Ok(200));
    assert_within(usage, LIMITS.memory_mb << 20, LIMITS.max_fds);
}

/// Guards against bodies that keep their memory by sending a byte from time to time.
#[test]
fn bodies_that_trickle_stay_within_the_memory() {
    let _turn = take_turn();
    let mut rig = Rig::start(LIMITS);
    let front = rig.front();
    let (head, body) = (submission_head(&job_id(1)), submission_body(BODY_BYTES));
    let usage = rig.watch(|_| {
        let mut clients = Crowd::default();
        clients.join_many(CROWD, front, &Script::announced(&head, &body, 40)).unwrap();
        clients.send();
        for _ in 0..10 {
            clients.send_more(b" ");
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    assert!(rig.node().is_running());
    assert_eq!(rig.submit(0), Ok(200));
    assert_within(usage, LIMITS.memory_mb << 20, LIMITS.max_fds);
}
