//! The duty threads that follow the table and the VM list.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::domain::DomainState;
use plantainlever::local::table::MemoryTable;
use plantainlever::local::vms::MemoryVms;
use plantainlever::local::{History, JsonServer};
use plantainlever::ops::sync::{Sync, TableFollower, refresh};
use plantainlever::peer::Member;
use plantainlever::platform::http::{HttpTable, HttpVmList};
use plantainlever::platform::table::{ReadRequest, Table, Transaction, Write};
use plantainlever::platform::vms::{Vm, VmRole, VmState};
use plantainlever::telemetry::Metrics;
use plantainlever_test_support::fault::Faults;
use serde_json::json;

use super::{InProcess, TIMEOUT, context, loopback, threaded, wait_until};

fn member(process: &str) -> Member {
    Member {
        process: process.to_owned(),
        domain: "a".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        address: "127.0.0.1:2".to_owned(),
    }
}

fn write(table: &dyn Table, operation: &str, key: &str, value: serde_json::Value) {
    let writes = vec![Write::Put { key: key.to_owned(), value }];
    let txn = Transaction { operation: operation.to_owned(), conditions: Vec::new(), writes };
    table.commit(&txn).expect("the table is up");
}

/// Guards against a process that never announces itself after an outage, that misses a change, that stays announced
/// after its stop, and that reads more often than its share. Prints the measured reads.
#[test]
fn process_follows_and_announces_itself_through_an_outage() {
    let table = MemoryTable::new(History::default());
    let (faults, reads, served) = (Faults::default(), Arc::new(AtomicU64::new(0)), table.clone());
    let counter = Arc::clone(&reads);
    let handler = faults.wrap(move |req| {
        counter.fetch_add(u64::from(req.path == "/table/read"), Ordering::SeqCst);
        served.answer(req)
    });
    let table_server = JsonServer::start(loopback(), 2, handler).unwrap();
    let vms = MemoryVms::default();
    let vm_server = vms.serve(loopback(), 1).unwrap();
    let http: Arc<dyn Table> =
        Arc::new(HttpTable::new(table_server.address(), TIMEOUT, Metrics::disabled()));
    let commits = threaded(Arc::clone(&http), 50);
    let mut cx = context("p1", http, Arc::new(SystemClock), commits);
    cx.vms = Arc::new(HttpVmList::new(vm_server.address(), TIMEOUT, Metrics::disabled()));

    faults.set_down(true);
    let sync = Sync::start(&cx, member("p1")).unwrap();
    wait_until("the VM list", || cx.vm_listing.snapshot().vms == vms_of(&vms));
    vms.insert(Vm {
        name: "t1".to_owned(),
        role: VmRole::Target,
        state: VmState::Live,
        domain: "a".to_owned(),
        rack: "r1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        service: None,
    });
    wait_until("the new VM", || cx.vm_listing.snapshot().vms.len() == 1);
    assert_eq!(cx.catalogue.snapshot().confirmed_at(), None);
    faults.set_down(false);
    wait_until("the member row", || cx.directory.snapshot().get("p1") == Some(&member("p1")));

    write(&table, "op1", "domain-state/b", json!({"state": "out"}));
    wait_until("the change", || cx.catalogue.snapshot().domain_state("b") == DomainState::Out);
    write(&table, "op2", "member/b/p2", json!(member("p2")));
    wait_until("the other process", || cx.directory.snapshot().contains_key("p2"));

    let (begin, before) = (Instant::now(), reads.load(Ordering::SeqCst));
    wait_until("ten reads", || reads.load(Ordering::SeqCst) >= before + 10);
    let seconds = begin.elapsed().as_secs_f64();
    let periods = seconds / cx.cfg.timing.catalogue_poll().as_secs_f64();
    println!("10 table reads in {periods:.1} periods of the catalogue read");
    assert!(periods >= 9.0, "10 reads in {periods} periods");

    sync.close();
    let members = ReadRequest { prefixes: vec!["member/".to_owned()], ..ReadRequest::default() };
    let left: Vec<_> = table.read(&members).unwrap().rows.into_iter().map(|row| row.key).collect();
    assert_eq!(left, ["member/b/p2"]);
    cx.commits.close();
    table_server.close();
    vm_server.close();
}

fn vms_of(vms: &MemoryVms) -> Vec<Vm> {
    use plantainlever::platform::vms::VmList;
    vms.list().expect("the list is in memory").vms
}

/// Guards against a member's change that is skipped because the copy was refreshed in between.
#[test]
fn refresh_does_not_hide_changes_of_members() {
    let t = InProcess::new();
    let cx = t.context("p1");
    let mut follower = TableFollower::default();
    write(&t.table, "op1", "member/a/p2", json!(member("p2")));
    write(&t.table, "op2", "domain-state/a", json!({"state": "out"}));
    refresh(&cx).unwrap();
    assert_eq!(cx.catalogue.snapshot().revision(), 2);
    follower.poll(&cx).unwrap();
    assert_eq!(cx.directory.snapshot().get("p2"), Some(&member("p2")));
    let writes = vec![Write::Delete { key: "member/a/p2".to_owned() }];
    let operation = "op3".to_owned();
    t.table.commit(&Transaction { operation, conditions: Vec::new(), writes }).unwrap();
    refresh(&cx).unwrap();
    follower.poll(&cx).unwrap();
    assert!(cx.directory.snapshot().is_empty());
}

/// Guards against a copy that counts as fresh from the end of a slow read instead of its begin.
#[test]
fn copy_is_confirmed_from_before_the_read() {
    let t = InProcess::new();
    let cx = t.context("p1");
    let sent_at = t.clock.now();
    t.faults.set_delay(TIMEOUT);
    TableFollower::default().poll(&cx).unwrap();
    assert_eq!(cx.catalogue.snapshot().confirmed_at(), Some(sent_at));
    assert_eq!(cx.catalogue.snapshot().age(t.clock.now()), Some(TIMEOUT));
}
