//! Learned interference and its control.

use std::time::{Duration, Instant};

use plantainlever::platform::worker::{AttemptReport, AttemptState, Inventory};
use plantainlever::policy::interference::{
    Action, Controller, InterferenceModel, Neighbour, Reading,
};
use plantainlever::worker::Resources;
use plantainlever_test_support::model::colocation::{self, Policy};

use super::attempt;

const TARGET: Duration = Duration::from_millis(100);

fn model() -> InterferenceModel {
    let mut model = InterferenceModel::default();
    model.set_target("booking", Some(TARGET));
    model
}

/// A report of one `standings` attempt that uses `cores` of 4 declared cores.
fn inventory(measured_at_ms: u64, p99_us: u64, cores: u64) -> Inventory {
    let usage = Resources::new(cores * 1000, 100, 0);
    let report = AttemptReport {
        attempt: attempt("t"),
        state: AttemptState::Running,
        entry: "standings".to_owned(),
        resources: Resources::new(4000, 4000, 0),
        lease_until_ms: 0,
        checkpoint: None,
        usage: Some(usage),
        message: None,
    };
    Inventory {
        time_ms: measured_at_ms,
        incarnation: 1,
        capacity: Resources::new(16_000, 16_000, 0),
        attempts: vec![report],
        service_p99_us: Some(p99_us),
        measured_at_ms,
    }
}

/// Guards against an estimate that follows a single outlier, and against one that never leaves its prior.
#[test]
fn estimate_leaves_its_prior_as_measurements_arrive() {
    let mut model = model();
    let prior = model.impact("booking", "standings", 2.0);
    assert_eq!(prior.confidence, 0.0);
    let mut outlier = model.clone();
    outlier.observe("w", Some("booking"), &inventory(1, 200_000, 4));
    let moved = outlier.per_core("booking", "standings").mean();
    assert!(moved < 0.1, "one outlier moved the estimate to {moved}");
    for number in 1..=400 {
        // The true baseline is 0.4 and the true impact 0.1 per core; the usage alternates between 1 and 4 cores.
        let cores = if number % 2 == 0 { 4 } else { 1 };
        model.observe("w", Some("booking"), &inventory(number, 40_000 + 10_000 * cores, cores));
    }
    let per_core = model.per_core("booking", "standings").mean();
    assert!((per_core - 0.1).abs() < 0.015, "estimated {per_core} after 400 measurements");
    assert!(model.impact("booking", "standings", 2.0).confidence > 0.5);
}

/// Guards against learning a measurement again from each poll that still reports it.
#[test]
fn measurement_seen_twice_counts_once() {
    let mut model = model();
    assert!(model.observe("w", Some("booking"), &inventory(1, 90_000, 4)));
    let once = model.per_core("booking", "standings");
    assert!(!model.observe("w", Some("booking"), &inventory(1, 90_000, 4)));
    assert_eq!(model.per_core("booking", "standings"), once);
}

/// Guards against ignoring a worker after a restart that also reset its clock.
#[test]
fn measurement_of_a_restarted_worker_counts() {
    let mut model = model();
    model.observe("w", Some("booking"), &inventory(1, 90_000, 4));
    let restarted = Inventory { incarnation: 2, ..inventory(1, 90_000, 4) };
    assert!(model.observe("w", Some("booking"), &restarted));
}

/// Guards against scoring by a declared size that is far above the observed one.
#[test]
fn declared_size_is_corrected_towards_the_observed_peak() {
    let mut model = model();
    let declared = Resources::new(4000, 4000, 1);
    assert_eq!(model.sizes().corrected("standings", &declared), declared);
    for number in 1..=100 {
        model.observe("w", None, &inventory(number, 0, 1));
    }
    let corrected = model.sizes().corrected("standings", &declared);
    assert!(corrected.cpu_millis < 1300 && corrected.cpu_millis >= 1000, "{corrected:?}");
    assert_eq!(corrected.accelerators, 1);
}

struct Control {
    controller: Controller,
    model: InterferenceModel,
    start: Instant,
}

impl Control {
    fn new() -> Self {
        Self { controller: Controller::default(), model: model(), start: Instant::now() }
    }

    fn step(&mut self, tail: f64, measured_s: u64, now_s: u64) -> Vec<Action> {
        let attempt = attempt("t");
        let neighbours = [Neighbour { attempt: &attempt, entry: "standings", cores: 0.5 }];
        let reading = Reading {
            worker: "w",
            service: "booking",
            tail,
            measured_at: self.start + Duration::from_secs(measured_s),
            neighbours: &neighbours,
        };
        self.controller.step(&reading, &self.model, self.start + Duration::from_secs(now_s))
    }
}

/// Guards against a second control step based on a measurement taken before the first took effect.
#[test]
fn control_waits_for_a_measurement_after_its_last_step() {
    let mut control = Control::new();
    assert_eq!(control.step(1.5, 10, 20).len(), 1);
    assert_eq!(control.step(1.5, 15, 25), []);
    assert_eq!(control.step(1.5, 20, 30), []);
    assert_eq!(control.step(1.5, 22, 32).len(), 1);
}

/// Guards against limits that oscillate while the tail is near its target.
#[test]
fn tail_near_its_target_changes_nothing() {
    let mut control = Control::new();
    control.step(1.5, 0, 0);
    for second in 1..100 {
        let tail = if second % 2 == 0 { 0.87 } else { 0.99 };
        assert_eq!(control.step(tail, second * 5, second * 5), []);
    }
}

/// Guards against keeping batch work whose throttling does not help, against evicting it before throttling it, and
/// against limits that stay after the tail has fallen.
#[test]
fn batch_work_is_throttled_before_eviction_and_restored_once_the_tail_falls() {
    let mut control = Control::new();
    let mut actions = Vec::new();
    for step in 0..4 {
        actions.extend(control.step(2.0, step * 10, step * 10));
    }
    let throttle = Action::Throttle { attempt: attempt("t"), percent: 10 };
    assert_eq!(actions, [throttle, Action::Evict { attempt: attempt("t") }]);

    let mut control = Control::new();
    control.step(1.01, 0, 0);
    let calm: Vec<Action> =
        (1..4).flat_map(|step| control.step(0.1, step * 10, step * 10)).collect();
    assert_eq!(calm, [Action::Unthrottle { attempt: attempt("t") }]);
}

/// Guards against a policy that keeps latency targets only by leaving the domain idle, or fills the domain at the cost
/// of the targets. The bounds are those of the design page.
#[test]
fn services_keep_their_target_at_nine_tenths_of_the_oracles_work() {
    let (seed, run_s) = (2, 1500);
    let learned = colocation::run(Policy::Learned, seed, run_s);
    let oracle = colocation::run(Policy::Oracle, seed, run_s);
    let separated = colocation::run(Policy::StaticSeparation, seed, run_s);
    let blind = colocation::run(Policy::Blind, seed, run_s);
    assert!(learned.above_target <= 0.01, "{learned:?}");
    assert!(learned.work >= 0.9 * oracle.work, "{learned:?}, oracle {oracle:?}");
    assert!(learned.work >= 1.5 * separated.work, "{learned:?}, separated {separated:?}");
    assert!(oracle.above_target <= 0.01, "the oracle itself must keep the target: {oracle:?}");
    assert!(blind.above_target > 0.01, "without interference the test shows nothing: {blind:?}");
}
