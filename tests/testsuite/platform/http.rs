//! Tests of the HTTP clients against the in-memory services, with faults between them.

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener};

use plantainlever::local::objects::MemoryObjects;
use plantainlever::platform::http::{HttpObjects, HttpTable, HttpVmList, HttpWorkers};
use plantainlever::platform::objects::Objects;
use plantainlever::platform::vms::VmList;
use plantainlever::platform::worker::{RenewRequest, WorkerClient};

use super::*;

fn client(address: SocketAddr, timeout: Duration) -> HttpTable {
    HttpTable::new(address, timeout, Metrics::disabled())
}

/// Guards against clients and in-memory services that disagree on the protocol.
#[test]
fn clients_and_stand_ins_speak_the_same_protocol() {
    let table = MemoryTable::new(History::default());
    let server = table.serve(loopback(), 2).unwrap();
    let http = client(server.address(), TIMEOUT);
    let txn = put("op1", "k/1", vec![absent("k/1")]);
    assert_eq!(http.commit(&txn), Ok(committed(1)));
    assert_eq!(http.read(&rows("k/")), table.read(&rows("k/")));
    let query = OperationQuery { operation: "op1".to_owned(), forbid: false };
    assert_eq!(http.operation(&query), Ok(OperationStatus::Decided { result: committed(1) }));
    server.close();

    let server = MemoryObjects::default().serve(loopback(), 1).unwrap();
    let objects = HttpObjects::new(server.address(), TIMEOUT, Metrics::disabled());
    assert_eq!(objects.get("checkpoint-1"), Ok(None));
    assert_eq!(objects.put("checkpoint-1", b"\0\xff"), Ok(()));
    assert_eq!(objects.get("checkpoint-1"), Ok(Some(b"\0\xff".to_vec())));
    server.close();

    let server = JsonServer::start(loopback(), 1, |req| {
        Reply::json(if req.path == "/renew" { 200 } else { 404 }, &())
    });
    let server = server.unwrap();
    let workers = HttpWorkers::new(TIMEOUT, Metrics::disabled());
    let renew = RenewRequest { lease_until_ms: 1, attempts: Vec::new() };
    assert_eq!(workers.renew(&server.address().to_string(), &renew), Ok(()));
    server.close();
}

/// Returns an address that refuses connections.
fn refusing() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).expect("the system picks a free port");
    listener.local_addr().expect("a bound socket has an address")
}

fn read_with(reply: impl Fn() -> Reply + Send + Sync + 'static) -> PlatformError {
    let server = JsonServer::start(loopback(), 1, move |_| reply()).expect("loopback is free");
    let result = client(server.address(), TIMEOUT).read(&ReadRequest::default());
    server.close();
    result.expect_err("the reply is no table answer")
}

fn answer(status: u16, body: &str) -> Reply {
    Reply::Answer { status, headers: Vec::new(), body: body.as_bytes().to_vec() }
}

/// Guards against an error that denies the effect of a call that may have had one, and against one that admits an
/// effect although no byte was sent.
#[test]
fn failures_map_to_distinct_errors() {
    let service = "table service";
    let error = client(refusing(), TIMEOUT).read(&ReadRequest::default()).unwrap_err();
    assert!(matches!(error, PlatformError::Unreachable { .. }), "{error}");
    let renew = RenewRequest { lease_until_ms: 1, attempts: Vec::new() };
    let workers = HttpWorkers::new(TIMEOUT, Metrics::disabled());
    let error = workers.renew("worker-7", &renew).unwrap_err();
    let cause = "\"worker-7\" is not an address of the form IP:PORT".to_owned();
    let address = "worker-7".to_owned();
    let unreachable = PlatformError::Unreachable { service: "worker", address, cause };
    assert_eq!(error, unreachable);

    // A broken connection is detected at once, without waiting for the timeout.
    let error = read_with(|| Reply::Drop);
    let cause = "protocol: http parse fail: invalid HTTP version".to_owned();
    assert_eq!(error, PlatformError::NoAnswer { service, waited: TIMEOUT, cause });
    let error = read_with(|| answer(500, "disk full"));
    let cause = "status 500: disk full".to_owned();
    assert_eq!(error, PlatformError::NoAnswer { service, waited: TIMEOUT, cause });
    let message = "no such path".to_owned();
    let error = read_with(|| answer(404, "no such path"));
    assert_eq!(error, PlatformError::Refused { service, status: 404, message });
    let error = read_with(|| answer(200, "[]x"));
    assert!(matches!(error, PlatformError::Malformed { .. }), "{error}");
}

/// Guards against a call that outlasts its timeout, and against one that timed out and is reported as without effect.
#[test]
fn call_to_a_slow_service_ends_at_its_timeout() {
    let faults = Faults::default();
    let table = MemoryTable::new(History::default());
    let served = table.clone();
    let server =
        JsonServer::start(loopback(), 1, faults.wrap(move |req| served.answer(req))).unwrap();
    faults.set_blocked(true);
    let timeout = Duration::from_millis(100);
    let error = client(server.address(), timeout).commit(&put("op1", "k", vec![])).unwrap_err();
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error}");
    faults.set_blocked(false);
    wait_until("the late effect", || decided(&table).len() == 1);
    server.close();
}

/// Guards against a truncated answer that is accepted as complete.
#[test]
fn truncated_answer_is_no_answer() {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut req = Vec::new();
        // Reads the whole request, because unread bytes would reset the connection. Its body is an object without
        // nested ones.
        while req.last() != Some(&b'}') {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            req.extend(byte);
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"revision\":1,\"rows\":[]}";
        stream.write_all(head.as_bytes()).unwrap();
    });
    let error = client(address, TIMEOUT).read(&ReadRequest::default()).unwrap_err();
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error}");
    server.join().unwrap();
}

/// Guards against a list of hundreds of VMs that is sent once a second without a change: 140 VMs take 15.8 KB, more
/// than the 11 KB/s of control traffic that a node may have.
#[test]
fn unchanged_vm_list_is_not_sent_again() {
    let (vms, statuses) = (MemoryVms::default(), Arc::new(std::sync::Mutex::new(Vec::new())));
    let (served, seen) = (vms.clone(), Arc::clone(&statuses));
    let server = JsonServer::start(loopback(), 1, move |req| {
        let reply = served.answer(req);
        if let Reply::Answer { status, .. } = &reply {
            seen.lock().unwrap().push(*status);
        }
        reply
    });
    let server = server.unwrap();
    let list = HttpVmList::new(server.address(), TIMEOUT, Metrics::disabled());
    vms.insert(target("t1"));
    assert_eq!(list.list().unwrap().vms, [target("t1")]);
    assert_eq!(list.list().unwrap().vms, [target("t1")]);
    vms.remove(VmRole::Target, "t1");
    assert!(list.list().unwrap().vms.is_empty());
    assert_eq!(*statuses.lock().unwrap(), [200, 304, 200]);
    server.close();
}

/// Guards against a lag fault without effect, on which the tests of the promises rely.
#[test]
fn lag_fault_delays_changes_of_the_vm_list() {
    let (faults, vms) = (Faults::default(), MemoryVms::default());
    let served = vms.clone();
    let server =
        JsonServer::start(loopback(), 1, faults.wrap(move |req| served.answer(req))).unwrap();
    let list = HttpVmList::new(server.address(), TIMEOUT, Metrics::disabled());
    let vm = target("t1");
    vms.insert(vm.clone());
    assert_eq!(list.list().unwrap().vms, [vm]);
    let lag = Duration::from_millis(300);
    faults.set_lag(lag);
    vms.set_state(VmRole::Target, "t1", VmState::Leaving);
    let changed = Instant::now();
    wait_until("the change", || list.list().unwrap().vms[0].state == VmState::Leaving);
    assert!(changed.elapsed() >= lag);
    server.close();
}
