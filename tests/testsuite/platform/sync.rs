//! Tests of the threads that poll the table and the VM list.

use std::sync::atomic::{AtomicU64, Ordering};

use plantainlever::domain::DomainState;
use plantainlever::ops::sync::{SyncThreads, TablePoller, refresh};
use plantainlever::peer::Member;
use plantainlever::platform::http::{HttpTable, HttpVmList};

use super::*;

fn member(process: &str) -> Member {
    Member {
        process: process.to_owned(),
        domain: "a".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        address: "127.0.0.1:2".to_owned(),
    }
}

fn set(table: &MemoryTable, key: &str, value: Value) {
    table.commit(&write(key, vec![put_value(key, value)])).expect("the table is up");
}

/// Guards against a process that does not write its member row after an outage, misses a change, leaves its member row
/// behind when it stops, or reads more often than its period. Prints the measured reads.
#[test]
fn process_follows_the_table_and_writes_its_member_row_after_an_outage() {
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
    let commits = threaded(&http, 50);
    let mut cx = context("p1", http, Arc::new(SystemClock), commits);
    let mut cfg = settings();
    (cfg.timing.catalogue_poll_ms, cfg.timing.vm_poll_ms) = (100, 100);
    cx.cfg = Arc::new(cfg);
    cx.vms = Arc::new(HttpVmList::new(vm_server.address(), TIMEOUT, Metrics::disabled()));

    faults.set_down(true);
    let sync = SyncThreads::start(&cx, member("p1")).unwrap();
    vms.insert(target("t1"));
    wait_until("the new VM", || cx.vm_listing.snapshot().vms.len() == 1);
    assert_eq!(cx.catalogue.snapshot().confirmed_at(), None);
    faults.set_down(false);
    wait_until("the member row", || cx.directory.snapshot().get("p1") == Some(&member("p1")));

    set(&table, "domain-state/b", json!({"state": "out"}));
    wait_until("the change", || cx.catalogue.snapshot().domain_state("b") == DomainState::Out);
    set(&table, "member/b/p2", json!(member("p2")));
    wait_until("the other process", || cx.directory.snapshot().contains_key("p2"));

    let (begin, before) = (Instant::now(), reads.load(Ordering::SeqCst));
    wait_until("ten reads", || reads.load(Ordering::SeqCst) >= before + 10);
    let seconds = begin.elapsed().as_secs_f64();
    let periods = seconds / cx.cfg.timing.catalogue_poll().as_secs_f64();
    println!("10 table reads in {periods:.1} periods of the catalogue read");
    assert!(periods >= 9.0, "10 reads in {periods} periods");

    sync.close();
    let left = table.read(&rows("member/")).unwrap().rows;
    assert_eq!(left.iter().map(|row| &row.key).collect::<Vec<_>>(), ["member/b/p2"]);
    cx.commits.close();
    table_server.close();
    vm_server.close();
}

/// Guards against a member's change that is skipped because the cache was refreshed in between.
#[test]
fn refresh_does_not_hide_changes_of_members() {
    let t = TestTable::new();
    let cx = t.context("p1");
    let mut poller = TablePoller::default();
    set(&t.table, "member/a/p2", json!(member("p2")));
    set(&t.table, "domain-state/a", json!({"state": "out"}));
    refresh(&cx).unwrap();
    assert_eq!(cx.catalogue.snapshot().revision(), 2);
    poller.poll(&cx).unwrap();
    assert_eq!(cx.directory.snapshot().get("p2"), Some(&member("p2")));
    t.table.commit(&write("op3", vec![delete("member/a/p2")])).unwrap();
    refresh(&cx).unwrap();
    poller.poll(&cx).unwrap();
    assert!(cx.directory.snapshot().is_empty());
}

/// Guards against a cache that counts as fresh from the end of a slow read instead of its start.
#[test]
fn cache_is_confirmed_as_of_the_start_of_the_read() {
    let t = TestTable::new();
    let cx = t.context("p1");
    let sent_at = t.clock.now();
    t.faults.set_delay(TIMEOUT);
    TablePoller::default().poll(&cx).unwrap();
    assert_eq!(cx.catalogue.snapshot().confirmed_at(), Some(sent_at));
    assert_eq!(cx.catalogue.snapshot().age(t.clock.now()), Some(TIMEOUT));
}
