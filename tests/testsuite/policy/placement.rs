//! Placement of tasks and the entry index of the pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::catalogue::Class;
use plantainlever::platform::worker::Inventory;
use plantainlever::policy::interference::InterferenceModel;
use plantainlever::policy::placement::{NoWorker, PendingTask, choose};
use plantainlever::worker::{Pool, Resources};
use plantainlever_test_support::model::placement::{Situation, domain, median_cost};

use super::{attempt, commitment, pool};

fn pending_task<'a>(cpu_millis: u64, excluded: &'a BTreeSet<String>) -> PendingTask<'a> {
    PendingTask {
        entry: "standings",
        class: Class::Batch,
        resources: Resources::new(cpu_millis, cpu_millis, 0),
        excluded,
        last_worker: None,
    }
}

fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against placement on a closed, excluded or full worker.
#[test]
fn only_an_open_worker_with_free_resources_is_chosen() {
    let mut pool = pool(4, 2);
    pool.set_open("w0", false);
    pool.commit("w1", &attempt("a"), commitment("x", Class::Batch, 15_000)).unwrap();
    let excluded = names(&["w2"]);
    let chosen = choose(&pool, &pending_task(2000, &excluded), &InterferenceModel::default());
    assert_eq!(chosen, Ok("w3"));
}

/// Guards against keeping a task in the queue that can never run, and against giving up one that can run later.
#[test]
fn error_tells_whether_waiting_can_help() {
    let mut pool = pool(2, 2);
    let model = InterferenceModel::default();
    let none = names(&[]);
    assert_eq!(choose(&pool, &pending_task(16_001, &none), &model), Err(NoWorker::TooLarge));
    pool.set_open("w0", false);
    pool.set_open("w1", false);
    assert_eq!(choose(&pool, &pending_task(16_000, &none), &model), Err(NoWorker::Full));
    let both = names(&["w0", "w1"]);
    assert_eq!(choose(&pool, &pending_task(100, &both), &model), Err(NoWorker::AllExcluded));
    assert_eq!(choose(&Pool::default(), &pending_task(100, &none), &model), Err(NoWorker::Full));
}

/// Guards against losing all tasks of an entry with one rack.
#[test]
fn tasks_of_an_entry_spread_over_racks() {
    let mut pool = pool(6, 2);
    let none = names(&[]);
    for number in 0..3 {
        let model = InterferenceModel::default();
        let chosen = choose(&pool, &pending_task(1000, &none), &model).unwrap().to_owned();
        let placed = commitment("standings", Class::Batch, 1000);
        pool.commit(&chosen, &attempt(&number.to_string()), placed).unwrap();
    }
    let by_rack = pool.entries().by_rack("standings").unwrap();
    assert_eq!(by_rack.values().copied().collect::<Vec<_>>(), [1, 1, 1]);
}

/// Guards against an index that differs from the commitments, so that placement uses wrong counts.
#[test]
fn index_equals_a_recount_after_random_changes() {
    arbtest::arbtest(|u| {
        let mut pool = pool(4, 2);
        for _ in 0..u.int_in_range(0..=60)? {
            let worker = format!("w{}", u.int_in_range(0..=4)?);
            let task = attempt(&u.int_in_range(0..=9)?.to_string());
            let entry = format!("e{}", u.int_in_range(0..=3)?);
            match u.int_in_range(0..=5)? {
                0 | 1 => drop(pool.commit(&worker, &task, commitment(&entry, Class::Batch, 4000))),
                2 => pool.adopt(&worker, &task, commitment(&entry, Class::Batch, 4000)),
                3 => pool.release(&worker, &task),
                4 => pool.set_service(&worker, u.arbitrary::<bool>()?.then_some("e0")),
                _ if u.arbitrary()? => drop(pool.remove(&worker)),
                _ => pool.upsert(&worker, &entry, "127.0.0.1:1", Resources::new(16_000, 65_536, 0)),
            }
            assert_index_equals_recount(&pool);
        }
        Ok(())
    });
}

fn assert_index_equals_recount(pool: &Pool) {
    let mut racks: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
    for worker in pool.workers().values() {
        let mut on_worker: BTreeMap<String, u32> = BTreeMap::new();
        let committed = worker.commitments().values().map(|commitment| commitment.entry.as_str());
        for entry in committed.chain(worker.service()) {
            *on_worker.entry(entry.to_owned()).or_default() += 1;
            let by_rack = racks.entry(entry.to_owned()).or_default();
            *by_rack.entry(worker.rack().to_owned()).or_default() += 1;
        }
        let indexed = worker.residents().iter().map(|resident| {
            (pool.entries().name(resident.entry).expect("indexed").to_owned(), resident.count)
        });
        assert_eq!(indexed.collect::<BTreeMap<_, _>>(), on_worker);
    }
    let indexed = pool
        .entries()
        .entries()
        .map(|(name, _)| (name.to_owned(), pool.entries().by_rack(name).expect("indexed").clone()));
    assert_eq!(indexed.collect::<BTreeMap<_, _>>(), racks);
}

/// Guards against a task that waits for ever in a large domain because only the first workers are considered.
#[test]
fn worker_after_many_near_their_latency_target_is_found() {
    let mut model = InterferenceModel::default();
    model.set_target("booking", Some(Duration::from_millis(1)));
    let report = Inventory {
        time_ms: 1,
        incarnation: 1,
        capacity: Resources::default(),
        attempts: Vec::new(),
        service_p99_us: Some(100_000),
        measured_at_ms: 1,
    };
    model.observe("w0", Some("booking"), &report);
    let mut pool = pool(300, 10);
    for number in 0..299 {
        pool.set_service(&format!("w{number}"), Some("booking"));
    }
    let none = names(&[]);
    // The only usable worker sorts last: its name is the last one, and its cost equals that of all others.
    pool.upsert("z", "r", "127.0.0.1:1", Resources::new(16_000, 65_536, 0));
    pool.set_open("z", true);
    pool.set_open("w299", false);
    assert_eq!(choose(&pool, &pending_task(1000, &none), &model), Ok("z"));
}

/// Guards against a placement that is too slow for 200 starts per second. The bound is that of the design page and
/// holds for an unoptimized build too.
#[test]
fn placement_costs_at_most_200_us_with_81_workers_and_600_tasks() {
    for situation in [Situation::Room, Situation::NoResources, Situation::TailsAtLimit] {
        let cost = median_cost(&mut domain(81), situation, 300);
        assert!(cost <= Duration::from_micros(200), "{situation:?} took {cost:?}");
    }
}
