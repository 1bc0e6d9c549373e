//! Serving tasks beside tasks that use leftover processors.

use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobTaskId, Resources, StepId};
use plantainlever::shard::interference::{Pressures, age_shares};
use plantainlever::shard::worker::{Phase, Run, Worker};

use super::rig::listing;

const CAPACITY: u64 = 32_000;
const TARGET_MS: u64 = 50;
const FLOOR_MS: f64 = 10.0;
const PACE_DELAY: Duration = Duration::from_millis(100);

fn key(job: u64) -> JobTaskId {
    JobTaskId { step: StepId { job: JobId(job), occurrence: 0, step: 0 }, index: 0 }
}

fn run(image: &str) -> Run {
    Run {
        number: 1,
        phase: Phase::Active,
        committed: Resources::default(),
        leftover_cpu: 0,
        tail_target_ms: None,
        image: Some(Rc::from(image)),
        seen: Duration::ZERO,
        percent: 50,
        advanced: Duration::ZERO,
        load: 0,
        felt: None,
        cpu_percent: 100,
        throttled_at: Duration::ZERO,
        throttled_since: None,
        is_stop_in_flight: false,
        stop_sent: None,
        stop_answered: None,
        is_abandoned: false,
        is_adopted: false,
    }
}

/// Tail of a queue with its own load, and neighbours that press it.
fn tail(own: f64, heavy_cpu: u64) -> u64 {
    let utilization = own * (1.0 + 2.5 * heavy_cpu as f64 / CAPACITY as f64);
    (FLOOR_MS / (1.0 - utilization.min(0.98))) as u64
}

/// A worker with a serving task at `own` load and best-effort tasks of two images, 4 cores each.
fn worker(own: f64, heavy: u64, light: u64) -> Worker {
    let mut worker = Worker::new(listing(0, CAPACITY), Duration::ZERO);
    let mut serving = run("board");
    serving.tail_target_ms = Some(TARGET_MS);
    serving.load = tail(own, heavy * 4_000);
    worker.add_run(key(0), serving);
    for (index, image) in std::iter::repeat_n("heavy", heavy as usize)
        .chain(std::iter::repeat_n("light", light as usize))
        .enumerate()
    {
        let mut best_effort = run(image);
        best_effort.leftover_cpu = 4_000;
        best_effort.load = 4_000;
        worker.add_run(key(1 + index as u64), best_effort);
    }
    age_shares(&mut worker, Duration::from_secs(10));
    worker
}

/// Pressures after reports between which the neighbours changed.
fn learned() -> Pressures {
    let mut pressures = Pressures::default();
    for round in 0..40 {
        let mut held = worker(0.5, 0, 0);
        pressures.learn(&mut held);
        let felt = held.runs[&key(0)].felt.clone();
        let mut next = if round % 2 == 0 { worker(0.5, 1, 0) } else { worker(0.5, 0, 1) };
        next.runs.get_mut(&key(0)).unwrap().felt = felt;
        pressures.learn(&mut next);
    }
    pressures
}

/// Load: a best-effort image that presses and one that doesn't, beside a serving task at rising load. Guards against a
/// placement that pushes the serving task over its target, and against one that leaves processors idle for nothing.
#[test]
fn best_effort_tasks_go_where_they_press_little() {
    let pressures = learned();
    let quiet = worker(0.2, 0, 0);
    let busy = worker(0.7, 0, 0);
    let cost =
        |worker: &Worker, image| pressures.cost_with(&pressures.strain(worker), Some(image), 4_000);
    assert!(cost(&quiet, "heavy") < 0.2);
    assert!(cost(&busy, "heavy") > 1.0);
    assert!(cost(&busy, "light") < 0.3);
    assert!(cost(&Worker::new(listing(1, CAPACITY), Duration::ZERO), "heavy") == 0.0);
}

/// Load: a serving task whose load has risen beside both images. Guards against slowing a neighbour that does not
/// press.
#[test]
fn only_those_that_press_are_throttled() {
    let pressures = learned();
    let mut strained = worker(0.72, 1, 2);
    let changes = pressures.judge(&mut strained, Duration::from_secs(2), PACE_DELAY);
    let throttled: Vec<JobTaskId> = changes.iter().map(|change| change.task).collect();
    assert_eq!(throttled, [key(1)]);
    assert!(changes[0].percent < 60);
}

/// Guards against a service that stays over its target for seconds while anything works beside it.
#[test]
fn a_lasting_breach_halts_every_neighbour() {
    let pressures = learned();
    let mut strained = worker(0.95, 1, 2);
    pressures.judge(&mut strained, Duration::from_secs(2), PACE_DELAY);
    let changes = pressures.judge(&mut strained, Duration::from_secs(4), PACE_DELAY);
    assert!(!changes.is_empty());
    assert!(
        strained.runs.values().filter(|run| run.leftover_cpu > 0).all(|run| run.cpu_percent == 0)
    );
}

/// Guards against neighbours that stay slow after the service is well below its target.
#[test]
fn neighbours_get_their_pace_back() {
    let pressures = learned();
    let mut relaxed = worker(0.2, 1, 2);
    for run in relaxed.runs.values_mut().filter(|run| run.leftover_cpu > 0) {
        run.cpu_percent = 0;
        run.load = 0;
    }
    pressures.judge(&mut relaxed, Duration::from_secs(2), PACE_DELAY);
    assert!(
        relaxed.runs.values().filter(|run| run.leftover_cpu > 0).all(|run| run.cpu_percent == 100)
    );
}
