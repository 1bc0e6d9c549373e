//! Evacuation of a failure domain, and the ramp and transfer window after its return.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plantainlever::catalogue::{Class, Document, Entry};
use plantainlever::policy::evacuation::{
    Destinations, EvacuatingAttempt, EvacuationAction, Headroom, Ramp, TransferWindow, next_actions,
};
use plantainlever::worker::Resources;
use plantainlever_test_support::model::evacuation::{self, Evacuation};
use plantainlever_test_support::model::hold::{self, Fault, Holding};
use plantainlever_test_support::model::tasks;

use super::attempt;

fn resident(name: &str, class: Class, unsaved_s: u64, replaced: bool) -> EvacuatingAttempt {
    EvacuatingAttempt {
        attempt: attempt(name),
        class,
        priority: 0,
        exclusive: class == Class::Batch,
        cores: 2.0,
        since_checkpoint: Duration::from_secs(unsaved_s),
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
    let both = [batch, EvacuatingAttempt { replaced: true, ..service }];
    let stop = EvacuationAction::Stop { attempt: attempt("service") };
    let evict = EvacuationAction::Evict { attempt: attempt("batch") };
    assert_eq!(next_actions(&both, 0, &transfer_window), [stop, evict]);
}

/// Guards against more concurrent evictions than the transfer window allows, and against evicting the attempts with the
/// most unsaved work last.
#[test]
fn evictions_fit_the_transfer_window_and_start_with_the_most_unsaved_work() {
    let residents: Vec<EvacuatingAttempt> =
        (0..20).map(|n| resident(&format!("t{n:02}"), Class::Batch, n, false)).collect();
    let actions = next_actions(&residents, 0, &TransferWindow::default());
    let expected: Vec<EvacuationAction> = (16..20)
        .rev()
        .map(|n| EvacuationAction::Evict { attempt: attempt(&format!("t{n}")) })
        .collect();
    assert_eq!(actions, expected);
}

/// Guards against a transfer window that is halved once per failure of one round and so falls to its minimum, and
/// against one that never shrinks.
#[test]
fn transfer_window_halves_once_for_concurrent_transfers() {
    let start = Instant::now();
    let mut transfer_window = TransferWindow::default();
    for number in 0..8 {
        transfer_window.begin(&attempt(&number.to_string()), start);
    }
    for number in 0..8 {
        transfer_window.complete(&attempt(&number.to_string()), start + Duration::from_secs(1));
    }
    assert_eq!(transfer_window.allowance(), 12, "quick transfers grow the window");
    for number in 0..12 {
        transfer_window.begin(&attempt(&number.to_string()), start + Duration::from_secs(2));
    }
    for number in 0..12 {
        transfer_window.fail(&attempt(&number.to_string()), start + Duration::from_secs(20));
    }
    assert_eq!(transfer_window.allowance(), 6);
    assert_eq!(transfer_window.in_flight(), 0);
}

/// Guards against a window that reacts to slow transfers only once they fail.
#[test]
fn transfer_window_shrinks_while_slow_transfers_run() {
    let start = Instant::now();
    let mut transfer_window = TransferWindow::default();
    transfer_window.begin(&attempt("slow"), start);
    transfer_window.check(start + Duration::from_secs(8));
    assert_eq!(transfer_window.allowance(), 3);
    transfer_window.check(start + Duration::from_secs(9));
    assert_eq!(transfer_window.allowance(), 1);
}

/// Guards against starting all waiting tasks in one tick after the return of a domain.
#[test]
fn returned_domain_is_filled_by_a_ramp() {
    let start = Instant::now();
    let mut ramp = Ramp::new(start);
    let mut starts = Vec::new();
    for second in 0..60 {
        let Some(allowed) = ramp.allowance(start + Duration::from_secs(second)) else { break };
        ramp.record_starts(allowed);
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

/// Guards against moving all tasks of a domain to the domain that reported the most headroom, and against domains that
/// the entry does not allow.
#[test]
fn assigned_tasks_count_against_the_headroom() {
    let size = Resources::new(10_000, 10_000, 0);
    let mut open = destinations(&[("d1", headroom(30, 0)), ("d2", headroom(60, 40))]);
    let assigned: Vec<String> =
        (0..4).map(|_| open.assign(&entry(), &size).unwrap().to_owned()).collect();
    assert_eq!(assigned, ["d1", "d1", "d2", "d1"]);
    let only_d2 = Entry { domains: vec!["d2".to_owned()], ..entry() };
    assert_eq!(open.assign(&only_d2, &size), Some("d2"));
    assert_eq!(open.assign(&entry(), &Resources::new(17_000, 1, 0)), None);
}

/// Guards against passing a waiting task back and forth between full domains.
#[test]
fn waiting_task_moves_only_to_a_domain_where_it_can_start() {
    let size = Resources::new(10_000, 10_000, 0);
    let mut full = destinations(&[("d1", headroom(0, 90)), ("d2", headroom(20, 20))]);
    assert_eq!(full.reassign("d1", &entry(), &size), None);
    let mut returned = destinations(&[("d1", headroom(0, 90)), ("d2", headroom(20, 0))]);
    let moved = (0..5).filter(|_| returned.reassign("d1", &entry(), &size).is_some()).count();
    assert_eq!(moved, 2);
}

/// Guards against lost work, an overloaded object store and interrupted services while a domain is evacuated and
/// returns. The bound of 95% is that of the design page.
#[test]
fn evacuation_and_return_keep_95_percent_of_the_work() {
    for outage_s in [600, 120] {
        let paced = evacuation::run(Evacuation::Paced, outage_s, 1);
        assert!(paced.work >= 0.95 * paced.allowed, "{paced:?}");
        assert_eq!((paced.failed_transfers, paced.service_gap_s), (0, 0), "{paced:?}");
        let at_once = evacuation::run(Evacuation::AtOnce, outage_s, 1);
        assert!(
            at_once.failed_transfers > 0,
            "the store is never overloaded, so the test shows nothing"
        );
        assert!(
            at_once.service_gap_s > 0,
            "no service is ever interrupted, so the test shows nothing"
        );
    }
}

/// Guards against stopping running work in a store outage in which no other scheduler may take the domain over.
#[test]
fn promises_keep_running_work_through_a_store_outage() {
    let [time_alone, claims, promises] = [Holding::TimeAlone, Holding::Claims, Holding::Promises]
        .map(|holding| hold::run(holding, Fault::StoreDown, 1));
    assert_eq!(promises.stopped, 0);
    assert!(claims.stopped > 0 && time_alone.stopped > 0);
    assert!(promises.work > claims.work && claims.work >= time_alone.work);
}
