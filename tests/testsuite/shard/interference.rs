//! Serving tasks beside best-effort tasks.

use std::time::Duration;

use plantainlever::job::{JobId, JobTaskId, Resources, StepId};
use plantainlever::shard::interference::{ImageId, Pressures, update_shares};
use plantainlever::shard::worker::{Phase, Run, Worker};

use super::rig::listing;

const CAPACITY: u64 = 32_000;
const TARGET_MS: u64 = 50;
const FLOOR_MS: f64 = 10.0;
const THROTTLE_DELAY: Duration = Duration::from_millis(100);

fn key(job: u64) -> JobTaskId {
    JobTaskId { step: StepId { job: JobId(job), occurrence: 0, step: 0 }, index: 0 }
}

/// Number of an image, the same in all tests.
fn image_id(name: &str) -> ImageId {
    let mut pressures = Pressures::default();
    let ids = ["board", "heavy", "light"].map(|name| (name, pressures.image(name)));
    ids.into_iter().find(|(known, _)| *known == name).unwrap().1
}

fn run(image: &str) -> Run {
    Run {
        number: 1,
        phase: Phase::Active,
        committed: Resources::default(),
        is_size_unknown: false,
        leftover_cpu: 0,
        tail_target_ms: None,
        image: Some(image_id(image)),
        phase_since: Duration::ZERO,
        percent: 50,
        advanced: Duration::ZERO,
        load: 0,
        last_sample: None,
        cpu_percent: 100,
        throttle_changed_at: Duration::ZERO,
        throttled_since: None,
        is_stop_in_flight: false,
        stop_queued_at: None,
        stop_answered: None,
        is_abandoned: false,
        is_adopted: false,
        is_started: true,
        is_listed: true,
        is_confirmed: true,
        start_queued: Duration::ZERO,
        start_copies: 1,
        may_repeat_start: false,
    }
}

/// Tail of a serving task with utilization `own`, beside heavy best-effort tasks that use `heavy_cpu`.
fn tail(own: f64, heavy_cpu: u64) -> u64 {
    let utilization = own * (1.0 + 2.5 * heavy_cpu as f64 / CAPACITY as f64);
    (FLOOR_MS / (1.0 - utilization.min(0.98))) as u64
}

/// A worker with a serving task at utilization `own`, beside best-effort tasks of two images with 4 cores each: `heavy`
/// interferes with the serving task, `light` does not.
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
    update_shares(&mut worker, Duration::from_secs(10));
    worker
}

/// Pressures learned from reports between which one image's share changed.
fn learned() -> Pressures {
    let mut pressures = Pressures::default();
    for round in 0..40 {
        let mut held = worker(0.5, 0, 0);
        pressures.learn(&mut held);
        let last_sample = held.runs[&key(0)].last_sample.clone();
        let mut next = if round % 2 == 0 { worker(0.5, 1, 0) } else { worker(0.5, 0, 1) };
        next.runs.get_mut(&key(0)).unwrap().last_sample = last_sample;
        pressures.learn(&mut next);
    }
    pressures
}

/// Guards against a placement that pushes a serving task over its target, and against one that leaves processors unused
/// without need.
#[test]
fn best_effort_tasks_cost_less_where_they_interfere_less() {
    let pressures = learned();
    let quiet = worker(0.2, 0, 0);
    let busy = worker(0.7, 0, 0);
    let cost = |worker: &Worker, image| {
        let image = Some(image_id(image));
        pressures.cost_with(&pressures.worker_interference(worker), image, 4_000)
    };
    assert!(cost(&quiet, "heavy") < 0.2);
    assert!(cost(&busy, "heavy") > 1.0);
    assert!(cost(&busy, "light") < 0.3);
    assert!(cost(&Worker::new(listing(1, CAPACITY), Duration::ZERO), "heavy") == 0.0);
}

/// Guards against throttling a neighbour that does not interfere with the serving task whose load has risen.
#[test]
fn only_tasks_that_interfere_are_throttled() {
    let pressures = learned();
    let mut busy = worker(0.72, 1, 2);
    let changes = pressures.adjust_throttles(&mut busy, Duration::from_secs(2), THROTTLE_DELAY);
    let throttled: Vec<JobTaskId> = changes.iter().map(|change| change.task).collect();
    assert_eq!(throttled, [key(1)]);
    assert!(changes[0].percent < 60);
}

/// Guards against a serving task that stays over its target for seconds while best-effort tasks run beside it.
#[test]
fn a_tail_over_its_target_for_long_halts_best_effort_tasks() {
    let pressures = learned();
    let mut busy = worker(0.95, 1, 2);
    pressures.adjust_throttles(&mut busy, Duration::from_secs(2), THROTTLE_DELAY);
    let changes = pressures.adjust_throttles(&mut busy, Duration::from_secs(4), THROTTLE_DELAY);
    assert!(!changes.is_empty());
    assert!(busy.runs.values().filter(|run| run.leftover_cpu > 0).all(|run| run.cpu_percent == 0));
}

/// Guards against best-effort tasks that stay throttled after the tail is well below its target.
#[test]
fn throttles_are_lifted_once_the_tail_is_low() {
    let pressures = learned();
    let mut relaxed = worker(0.2, 1, 2);
    for run in relaxed.runs.values_mut().filter(|run| run.leftover_cpu > 0) {
        run.cpu_percent = 0;
        run.load = 0;
    }
    pressures.adjust_throttles(&mut relaxed, Duration::from_secs(2), THROTTLE_DELAY);
    assert!(
        relaxed.runs.values().filter(|run| run.leftover_cpu > 0).all(|run| run.cpu_percent == 100)
    );
}
