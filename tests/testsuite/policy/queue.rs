//! Order of waiting tasks, shares of limits, and the reasons to mark a task unplaceable or not to retry it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::catalogue::{Class, Document, Entry, EntryLimits, Owner};
use plantainlever::policy::placement::NoWorker;
use plantainlever::policy::queue::{
    Limits, RetriesExhausted, Unplaceable, Waiting, WaitingQueue, retries_exhausted,
};
use plantainlever::task::{TaskId, TaskRow, TaskState};
use plantainlever::worker::Resources;
use plantainlever_test_support::model::placement::{domain, queue_cost};

fn entry(max_running: Option<u64>) -> Document {
    Document::Entry(Entry {
        owner: "team".to_owned(),
        class: Class::Batch,
        limits: EntryLimits {
            per_task: Resources::new(1000, 1000, 0),
            max_running,
            max_attempts: 5,
        },
        priority: 0,
        exclusive: None,
        idempotent: None,
        p99_target_ms: None,
        domains: Vec::new(),
    })
}

fn documents(max_running: Option<u64>, quota: Resources) -> BTreeMap<String, Document> {
    BTreeMap::from([
        ("a".to_owned(), entry(max_running)),
        ("b".to_owned(), entry(None)),
        ("team".to_owned(), Document::Owner(Owner { quota })),
    ])
}

fn unlimited() -> Limits {
    let quota = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    Limits::new(&documents(None, quota), "d1", &domains(&["d1"]))
}

fn domains(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

fn waiting(id: &str, entry: &str, class: Class, priority: u8, submitted_ms: u64) -> Waiting {
    Waiting {
        id: TaskId::new(id),
        entry: entry.to_owned(),
        owner: "team".to_owned(),
        class,
        priority,
        submitted_ms,
        resources: Resources::new(1000, 1000, 0),
        failed_on: BTreeSet::new(),
        last_worker: None,
    }
}

fn started(queue: &mut WaitingQueue, limits: &mut Limits) -> Vec<String> {
    let selection = queue.select(limits, usize::MAX, |_| Ok("w".to_owned()));
    selection.placed.iter().map(|(id, _)| id.as_str().to_owned()).collect()
}

/// Guards against starting older batch tasks before urgent ones.
#[test]
fn urgent_goes_first_then_priority_then_age() {
    let mut queue = WaitingQueue::default();
    queue.push(waiting("old-batch", "a", Class::Batch, 9, 0));
    queue.push(waiting("young", "a", Class::LatencyCritical, 1, 20));
    queue.push(waiting("aged", "b", Class::LatencyCritical, 1, 10));
    queue.push(waiting("important", "b", Class::LatencyCritical, 2, 30));
    let order = started(&mut queue, &mut unlimited());
    assert_eq!(order, ["important", "aged", "young", "old-batch"]);
    assert!(queue.is_empty());
}

/// Guards against shares of the domains that add up to more than the limit that the operator set.
#[test]
fn shares_of_the_domains_add_up_to_the_limit() {
    let all = domains(&["d1", "d2", "d3"]);
    for limit in 1..8 {
        let quota = Resources::new(limit * 1000, u64::MAX, 0);
        let mut total = 0;
        for domain in &all {
            let mut queue = WaitingQueue::default();
            for number in 0..10 {
                queue.push(waiting(&number.to_string(), "a", Class::Batch, 0, number));
            }
            let mut limits = Limits::new(&documents(Some(limit), quota), domain, &all);
            let count = started(&mut queue, &mut limits).len();
            total += count;
            assert!(count as u64 <= limit.div_ceil(3), "limit {limit}, {domain} started {count}");
        }
        assert!(total as u64 <= limit, "limit {limit}, started {total}");
    }
}

/// Guards against a task that can never run and blocks the tasks behind it, or waits without a reason.
#[test]
fn unplaceable_task_is_marked_and_blocks_no_other_task() {
    let mut queue = WaitingQueue::default();
    let mut huge = waiting("huge", "a", Class::LatencyCritical, 9, 0);
    huge.resources = Resources::new(1_000_000, 1, 0);
    queue.push(huge.clone());
    queue.push(waiting("orphan", "deleted", Class::LatencyCritical, 9, 0));
    queue.push(waiting("small", "a", Class::Batch, 0, 5));
    let selection = queue.select(&mut unlimited(), usize::MAX, |task| {
        if task.resources.cpu_millis > 16_000 {
            Err(NoWorker::TooLarge)
        } else {
            Ok("w".to_owned())
        }
    });
    assert_eq!(selection.placed, [(TaskId::new("small"), "w".to_owned())]);
    let too_large = Unplaceable::TooLarge { resources: huge.resources };
    let no_entry = Unplaceable::NoEntry { entry: "deleted".to_owned() };
    let expected = [(TaskId::new("huge"), too_large), (TaskId::new("orphan"), no_entry)];
    assert_eq!(selection.unplaceable, expected);
    assert!(queue.is_empty());
}

/// Guards against many tasks that fit nowhere using up the placements of every pass, so that the tasks behind them
/// never start.
#[test]
fn tasks_that_fit_nowhere_do_not_use_up_every_pass() {
    let mut queue = WaitingQueue::default();
    for number in 0..1000 {
        let mut refused = waiting(&format!("r{number}"), "a", Class::Batch, 9, 0);
        refused.resources.cpu_millis += number;
        queue.push(refused);
    }
    queue.push(waiting("last", "b", Class::Batch, 0, 1));
    let passes = (1..10).find(|_| {
        let selection = queue.select(&mut unlimited(), 400, |task| {
            if task.entry == "a" { Err(NoWorker::NearTarget) } else { Ok("w".to_owned()) }
        });
        !selection.placed.is_empty()
    });
    assert_eq!(passes, Some(3));
}

/// Guards against trying each larger task of a pass after a smaller one fitted on no worker.
#[test]
fn larger_tasks_are_skipped_after_a_size_that_fits_nowhere() {
    let mut queue = WaitingQueue::default();
    for number in 0..1000 {
        let mut task = waiting(&number.to_string(), "a", Class::Batch, 0, number);
        task.resources.cpu_millis += number;
        queue.push(task);
    }
    let mut calls = 0;
    queue.select(&mut unlimited(), usize::MAX, |_| {
        calls += 1;
        Err(NoWorker::Full)
    });
    assert_eq!(calls, 1);
}

/// Guards against a pass whose cost grows with the length of the queue while the domain is full.
#[test]
fn group_that_fits_nowhere_is_skipped_for_the_rest_of_the_pass() {
    let mut queue = WaitingQueue::default();
    for number in 0..1000 {
        queue.push(waiting(&number.to_string(), "a", Class::Batch, 0, number));
    }
    let mut calls = 0;
    queue.select(&mut unlimited(), usize::MAX, |_| {
        calls += 1;
        Err(NoWorker::NearTarget)
    });
    assert_eq!(calls, 1);
}

/// Guards against a tick that handles so many tasks at once that lease renewals are missed, and against starting a
/// cancelled task.
#[test]
fn ten_thousand_tasks_take_no_tick_above_100_ms() {
    let cost = queue_cost(&domain(81), 10_000);
    for tick in [cost.cancellation_tick, cost.full_pass, cost.distinct_pass] {
        assert!(tick <= Duration::from_millis(100), "{cost:?}");
    }
    assert_eq!(cost.started_after_cancel, 0);
}

/// Guards against retrying a faulty task for ever, and against giving up a task that failed on faulty workers only.
#[test]
fn task_is_given_up_for_failures_on_healthy_workers() {
    let row = |failures: u32| TaskRow {
        id: TaskId::new("t"),
        entry: "a".to_owned(),
        owner: "team".to_owned(),
        class: Class::Batch,
        exclusive: true,
        priority: 0,
        args: serde_json::Value::Null,
        resources: Resources::new(1000, 1000, 0),
        state: TaskState::Pending,
        attempt: failures + 1,
        domain: "d1".to_owned(),
        worker: None,
        checkpoint: None,
        failed_on: (0..failures).map(|number| format!("w{number}")).collect(),
        failures,
        reason: None,
        submitted_ms: 0,
        cancel: false,
    };
    let none = BTreeSet::new();
    assert_eq!(retries_exhausted(&row(2), 3, &none), None);
    let workers = "w0, w1, w2".to_owned();
    let expected = RetriesExhausted::OnHealthyWorkers { failures: 3, workers, allowed: 3 };
    assert_eq!(retries_exhausted(&row(3), 3, &none), Some(expected));
    let bad = domains(&["w0", "w1"]);
    assert_eq!(retries_exhausted(&row(4), 3, &bad), None);
    let all_bad: BTreeSet<String> = (0..9).map(|number| format!("w{number}")).collect();
    assert_eq!(retries_exhausted(&row(8), 3, &all_bad), None);
    let expected = RetriesExhausted::InTotal { failures: 9, allowed: 3 };
    assert_eq!(retries_exhausted(&row(9), 3, &all_bad), Some(expected));
}
