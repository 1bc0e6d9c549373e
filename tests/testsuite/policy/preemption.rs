//! Evictions for urgent work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::catalogue::Class;
use plantainlever::platform::worker::AttemptRef;
use plantainlever::policy::placement::PendingTask;
use plantainlever::policy::preemption::{Plan, Planner};
use plantainlever::worker::{Pool, Resources};
use plantainlever_test_support::model::urgent::{self, Preemption};

use super::{attempt, commitment, pool};

fn urgent_task(cpu_millis: u64, excluded: &BTreeSet<String>) -> PendingTask<'_> {
    PendingTask {
        entry: "booking",
        class: Class::LatencyCritical,
        resources: Resources::new(cpu_millis, cpu_millis, 0),
        excluded,
        last_worker: None,
    }
}

type SinceCheckpoint = BTreeMap<AttemptRef, Duration>;

/// Creates one worker per slice, with batch attempts given as cores and seconds since the last checkpoint.
fn fill(workers: &[&[(u64, u64)]]) -> (Pool, SinceCheckpoint) {
    let mut pool = pool(workers.len(), 2);
    let mut since_checkpoint = SinceCheckpoint::new();
    for (worker, attempts) in workers.iter().enumerate() {
        for (number, (cores, seconds)) in attempts.iter().enumerate() {
            let attempt = attempt(&format!("{worker}-{number}"));
            let placed = commitment("standings", Class::Batch, cores * 1000);
            pool.adopt(&format!("w{worker}"), &attempt, placed);
            since_checkpoint.insert(attempt, Duration::from_secs(*seconds));
        }
    }
    (pool, since_checkpoint)
}

fn plan(
    planner: &mut Planner,
    pool: &Pool,
    since_checkpoint: &SinceCheckpoint,
    cpu_millis: u64,
) -> Option<Plan> {
    let none = BTreeSet::new();
    planner.plan(pool, &urgent_task(cpu_millis, &none), |attempt| since_checkpoint[attempt])
}

/// Guards against evicting one large attempt where several small ones lose less work, and the reverse.
#[test]
fn plan_loses_as_little_as_the_best_of_all_subsets() {
    arbtest::arbtest(|u| {
        let mut workers = Vec::new();
        for _ in 0..u.int_in_range(1..=3)? {
            let mut attempts = Vec::new();
            let mut left = 16;
            while left > 0 && attempts.len() < 8 {
                let cores = u.int_in_range(1..=4)?.min(left);
                attempts.push((cores, u.int_in_range(0..=50)?));
                left -= cores;
            }
            workers.push(attempts);
        }
        let needed = u.int_in_range(1..=8)?;
        let views: Vec<&[(u64, u64)]> = workers.iter().map(Vec::as_slice).collect();
        let (pool, since_checkpoint) = fill(&views);
        let found = plan(&mut Planner::default(), &pool, &since_checkpoint, needed * 1000);
        let best = views.iter().filter_map(|attempts| least_lost(attempts, needed)).min();
        assert_eq!(found.map(|plan| plan.lost.round() as u64), best, "{workers:?}, {needed} cores");
        Ok(())
    });
}

fn least_lost(attempts: &[(u64, u64)], needed: u64) -> Option<u64> {
    let free = 16 - attempts.iter().map(|(cores, _)| cores).sum::<u64>();
    let sets = 0..1_u32 << attempts.len();
    sets.filter_map(|set| {
        let chosen = attempts.iter().enumerate().filter(|(number, _)| set & (1 << number) != 0);
        let (cores, lost) = chosen.fold((free, 0), |(sum, lost), (_, (cores, seconds))| {
            (sum + cores, lost + cores * seconds)
        });
        (cores >= needed).then_some(lost)
    })
    .min()
}

/// Guards against evicting services, and against evictions on a worker that is closed for new work.
#[test]
fn only_batch_work_on_open_workers_is_evicted() {
    let (mut pool, since_checkpoint) = fill(&[&[(4, 1)], &[(16, 100)]]);
    pool.commit("w0", &attempt("service"), commitment("booking", Class::LatencyCritical, 12_000))
        .unwrap();
    let found = plan(&mut Planner::default(), &pool, &since_checkpoint, 8000).unwrap();
    assert_eq!((found.worker.as_str(), found.attempts), ("w1", vec![attempt("1-0")]));
    pool.set_open("w1", false);
    assert_eq!(plan(&mut Planner::default(), &pool, &since_checkpoint, 8000), None);
}

/// Guards against a second urgent task being planned on resources that are being freed for the first, and against
/// further evictions for a task whose evictions are in progress.
#[test]
fn resources_of_a_plan_are_reserved_once() {
    let (pool, since_checkpoint) = fill(&[&[(8, 1), (8, 2)]]);
    let first = plan(&mut Planner::default(), &pool, &since_checkpoint, 4000).unwrap();
    let mut planner = Planner::new([&first]);
    assert_eq!(planner.reserved_workers().collect::<Vec<_>>(), ["w0"]);
    let second = plan(&mut planner, &pool, &since_checkpoint, 4000).unwrap();
    assert_eq!(second.attempts, [], "the first eviction frees enough for both");
    let third = plan(&mut planner, &pool, &since_checkpoint, 4000).unwrap();
    assert_eq!(third.attempts, [attempt("0-1")]);
}

/// Guards against urgent work that waits for batch work to end, and against losing more batch work than needed. The
/// bound of 6.3 s is that of the design page.
#[test]
fn urgent_work_starts_within_6300_ms_on_a_full_domain() {
    let planned = urgent::run(Preemption::LeastLost, 3);
    let youngest = urgent::run(Preemption::YoungestFirst, 3);
    assert!(planned.slowest_start <= Duration::from_millis(6300), "{planned:?}");
    assert_eq!(planned.started, planned.arrived, "{planned:?}");
    assert!(planned.lost < youngest.lost, "{planned:?}, {youngest:?}");
}
