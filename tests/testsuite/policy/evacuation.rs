//! A failure domain leaves and returns.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plantainlever::catalogue::{Class, Document, Entry};
use plantainlever::policy::evacuation::{
    Destinations, EvacuationAction, Headroom, Ramp, Resident, TransferWindow, next_actions,
};
use plantainlever::worker::Resources;
use plantainlever_test_support::model::evacuation::{self, Evacuation};
use plantainlever_test_support::model::hold::{self, Fault, Holding};
use plantainlever_test_support::model::tasks;

use super::attempt;

fn resident(name: &str, class: Class, unsaved_s: u64, replaced: bool) -> Resident {
    Resident {
        attempt: attempt(name),
        class,
        priority: 0,
        exclusive: class == Class::Batch,
        cores: 2.0,
        unsaved: Duration::from_secs(unsaved_s),
        replaced,
    }
}

/// Guards against services that stop before their replacements run, and against batch work using the object store
/// before the services are safe.
#[test]
fn services_are_replaced_before_batch_work_is_evicted() {
    let transfer_window = TransferWindow::default();
    let service = resident("service", Class::LatencyCritical, 0, false);
    let batch = resident("batch", Class::Batch, 10, false);
    let both = [batch.clone(), service.clone()];
    let replace = EvacuationAction::Replace { attempt: attempt("service") };
    assert_eq!(next_actions(&both, 0, &transfer_window), [replace]);
    assert_eq!(next_actions(std::slice::from_ref(&batch), 1, &transfer_window), []);
    let both = [batch, Resident { replaced: true, ..service }];
    let stop = EvacuationAction::Stop { attempt: attempt("service") };
    let evict = EvacuationAction::Evict { attempt: attempt("batch") };
    assert_eq!(next_actions(&both, 0, &transfer_window), [stop, evict]);
}

/// Guards against more evictions than the store takes, and against leaving the most unsaved work to the end.
#[test]
fn evictions_keep_to_the_pace_and_save_the_most_first() {
    let residents: Vec<Resident> =
        (0..20).map(|n| resident(&format!("t{n:02}"), Class::Batch, n, false)).collect();
    let actions = next_actions(&residents, 0, &TransferWindow::default());
    let expected: Vec<EvacuationAction> = (16..20)
        .rev()
        .map(|n| EvacuationAction::Evict { attempt: attempt(&format!("t{n}")) })
        .collect();
    assert_eq!(actions, expected);
}

/// Guards against a transfer window that falls to nothing after one bad moment, or that never falls.
#[test]
fn pace_halves_once_for_transfers_that_ran_together() {
    let start = Instant::now();
    let mut transfer_window = TransferWindow::default();
    for number in 0..8 {
        transfer_window.begin(&attempt(&number.to_string()), start);
    }
    for number in 0..8 {
        transfer_window.complete(&attempt(&number.to_string()), start + Duration::from_secs(1));
    }
    assert_eq!(transfer_window.allowance(), 12, "quick transfers raise it");
    for number in 0..12 {
        transfer_window.begin(&attempt(&number.to_string()), start + Duration::from_secs(2));
    }
    for number in 0..12 {
        transfer_window.fail(&attempt(&number.to_string()), start + Duration::from_secs(20));
    }
    assert_eq!(transfer_window.allowance(), 6);
    assert_eq!(transfer_window.in_flight(), 0);
}

/// Guards against slow transfers being noticed only when they fail.
#[test]
fn pace_falls_while_slow_transfers_run() {
    let start = Instant::now();
    let mut transfer_window = TransferWindow::default();
    transfer_window.begin(&attempt("slow"), start);
    transfer_window.check(start + Duration::from_secs(8));
    assert_eq!(transfer_window.allowance(), 3);
    transfer_window.check(start + Duration::from_secs(9));
    assert_eq!(transfer_window.allowance(), 1);
}

/// Guards against a domain that returns being filled in one tick.
#[test]
fn returned_domain_is_filled_by_a_ramp() {
    let start = Instant::now();
    let mut ramp = Ramp::new(start);
    let mut starts = Vec::new();
    for second in 0..60 {
        let Some(allowed) = ramp.allowance(start + Duration::from_secs(second)) else { break };
        ramp.count(allowed);
        starts.push(allowed);
    }
    assert_eq!(starts[0], 0);
    assert!(starts[1] <= 8 && starts[10] <= 20, "{starts:?}");
    assert!(
        starts.len() > 20 && starts.len() < 40,
        "the ramp ends after half a minute: {starts:?}"
    );
    let later = Ramp::new(start).allowance(start + Duration::from_secs(3600));
    assert_eq!(later, None);
}

fn headroom(free: u64, waiting: u64) -> Headroom {
    let amount = |cores: u64| Resources::new(cores * 1000, cores * 1000, 0);
    Headroom {
        capacity: amount(100),
        free: amount(free),
        waiting: amount(waiting),
        largest: amount(16),
    }
}

fn destinations(list: &[(&str, Headroom)]) -> Destinations {
    let domains = list.iter().map(|(name, headroom)| ((*name).to_owned(), headroom.clone()));
    Destinations::new(domains.collect::<BTreeMap<_, _>>())
}

fn entry() -> Entry {
    match tasks::entry(Class::Batch, Resources::new(1000, 1000, 0)) {
        Document::Entry(entry) => entry,
        Document::Owner(_) => panic!("the builder makes an entry"),
    }
}

/// Guards against all tasks of a domain being sent to the one that reported the most headroom, and against domains
/// that the entry does not allow.
#[test]
fn tasks_are_assigned_by_headroom_less_what_was_assigned() {
    let size = Resources::new(10_000, 10_000, 0);
    let mut open = destinations(&[("d1", headroom(30, 0)), ("d2", headroom(60, 40))]);
    let assigned: Vec<String> =
        (0..4).map(|_| open.assign(&entry(), &size).unwrap().to_owned()).collect();
    assert_eq!(assigned, ["d1", "d1", "d2", "d1"]);
    let only_d2 = Entry { domains: vec!["d2".to_owned()], ..entry() };
    assert_eq!(open.assign(&only_d2, &size), Some("d2"));
    assert_eq!(open.assign(&entry(), &Resources::new(17_000, 1, 0)), None);
}

/// Guards against a waiting task being passed back and forth between domains that are all full.
#[test]
fn waiting_task_moves_only_to_room() {
    let size = Resources::new(10_000, 10_000, 0);
    let mut full = destinations(&[("d1", headroom(0, 90)), ("d2", headroom(20, 20))]);
    assert_eq!(full.reassign("d1", &entry(), &size), None);
    let mut returned = destinations(&[("d1", headroom(0, 90)), ("d2", headroom(20, 0))]);
    let moved = (0..5).filter(|_| returned.reassign("d1", &entry(), &size).is_some()).count();
    assert_eq!(moved, 2);
}

/// Guards against lost work, a storm on the object store and services that stop when a domain leaves and returns. The
/// bound of 95% is that of the design page.
#[test]
fn domain_leaves_and_returns_with_95_percent_of_the_work() {
    for outage_s in [600, 120] {
        let paced = evacuation::run(Evacuation::Paced, outage_s, 1);
        assert!(paced.work >= 0.95 * paced.allowed, "{paced:?}");
        assert_eq!((paced.failed_transfers, paced.service_gap_s), (0, 0), "{paced:?}");
        let at_once = evacuation::run(Evacuation::AtOnce, outage_s, 1);
        assert!(at_once.failed_transfers > 0, "without a storm the test shows nothing");
        assert!(at_once.service_gap_s > 0, "without a gap the test shows nothing");
    }
}

/// Guards against a way of holding that stops running work in a store outage although nobody may take over.
#[test]
fn promises_keep_running_work_through_a_store_outage() {
    let [time_alone, claims, promises] = [Holding::TimeAlone, Holding::Claims, Holding::Promises]
        .map(|holding| hold::run(holding, Fault::StoreDown, 1));
    assert_eq!(promises.stopped, 0);
    assert!(claims.stopped > 0 && time_alone.stopped > 0);
    assert!(promises.work > claims.work && claims.work >= time_alone.work);
}
