//! Quarantine of workers that fail every task, among tasks that fail on every worker.

use std::time::{Duration, Instant};

use plantainlever::task::TaskId;
use plantainlever::worker::quarantine::{Quarantine, Standing};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Guards against giving more than five tasks to a worker that fails every task.
#[test]
fn worker_that_fails_everything_is_out_of_use_after_five_failures() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut failures = 0;
    while quarantine.may_start("bad", 0, now) {
        let task = TaskId::new(failures.to_string());
        quarantine.record_failure("bad", &task, "standings", now);
        quarantine.record_success("good", &task, "standings", now);
        failures += 1;
        assert!(failures <= 5, "still in use after {failures} failures");
    }
    assert!(matches!(quarantine.standing("bad", now), Standing::Quarantined { .. }));
    assert_eq!(quarantine.standing("good", now), Standing::Normal);
}

/// Guards against quarantining two healthy workers because of faulty tasks that were tried on both.
#[test]
fn task_that_fails_on_another_worker_too_is_not_blamed_on_the_worker() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..10 {
        let task = TaskId::new(format!("bad-{number}"));
        let entry = format!("entry-{number}");
        quarantine.record_failure("w0", &task, &entry, now);
        quarantine.record_failure("w1", &task, &entry, now);
    }
    assert!(quarantine.suspects().is_empty(), "out of use: {:?}", quarantine.suspects());
}

/// Guards against quarantining one healthy worker after the other because of a faulty entry whose tasks are tried once
/// each.
#[test]
fn entry_that_fails_on_most_workers_is_not_blamed_on_them() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..200 {
        let task = TaskId::new(format!("bad-{number}"));
        quarantine.record_failure(&format!("w{}", number % 20), &task, "bad", now);
    }
    assert!(quarantine.suspects().is_empty(), "out of use: {:?}", quarantine.suspects());
}

/// Guards against a worker that still fails after a quarantine receiving tasks at the full rate, and against retrying
/// it at a constant interval.
#[test]
fn probation_takes_one_task_and_the_backoff_grows() {
    let mut now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut pauses = Vec::new();
    for number in 0..12 {
        quarantine.record_failure("bad", &TaskId::new(number.to_string()), "standings", now);
        if let Standing::Quarantined { until } = quarantine.standing("bad", now) {
            pauses.push((until - now).as_secs());
            now = until + Duration::from_millis(1);
            assert!(quarantine.may_start("bad", 0, now));
            assert!(!quarantine.may_start("bad", 1, now));
        }
    }
    assert_eq!(pauses[..4], [60, 120, 240, 480]);
}

/// Guards against a batch of starts that all fail on one worker before the first outcome is known.
#[test]
fn at_most_five_starts_at_once_are_at_risk() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let tasks: Vec<TaskId> = (0..20).map(|number| TaskId::new(number.to_string())).collect();
    let mut failures = 0;
    while quarantine.may_start("bad", 0, now) {
        let mut started = Vec::new();
        for task in &tasks[failures..] {
            if !quarantine.may_start("bad", started.len(), now) {
                break;
            }
            quarantine.record_start("bad", task, now);
            started.push(task);
        }
        for task in started {
            quarantine.record_failure("bad", task, "standings", now);
            failures += 1;
        }
        assert!(failures <= 5, "{failures} failures");
    }
    assert!(matches!(quarantine.standing("bad", now), Standing::Quarantined { .. }));
}

/// Guards against long-running attempts that keep their worker at the limit of unproven attempts.
#[test]
fn attempts_count_as_proven_after_ten_seconds() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        quarantine.record_start("w", &TaskId::new(number.to_string()), now);
    }
    assert!(!quarantine.may_start("w", 5, now + Duration::from_secs(9)));
    assert!(quarantine.may_start("w", 5, now + Duration::from_secs(10)));
}

/// Guards against a lasting quarantine of the workers on which an entry fails first, when the entry has become faulty
/// after many successes.
#[test]
fn worker_is_reinstated_once_the_entry_fails_elsewhere_too() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..1000 {
        let task = TaskId::new(format!("good-{number}"));
        quarantine.record_success(&format!("w{}", number % 10), &task, "standings", now);
    }
    for number in 0..3 {
        quarantine.record_failure("w0", &TaskId::new(format!("bad-{number}")), "standings", now);
    }
    assert!(matches!(quarantine.standing("w0", now), Standing::Quarantined { .. }));
    for worker in 1..10 {
        let task = TaskId::new(format!("worse-{worker}"));
        quarantine.record_failure(&format!("w{worker}"), &task, "standings", now);
    }
    assert!(quarantine.suspects().is_empty(), "out of use: {:?}", quarantine.suspects());
}

/// Guards against faulty workers that stay in use among faulty tasks, and against healthy workers quarantined because
/// of those tasks. Of ten entries one always fails and one fails one time in five; two of 81 workers fail every task.
#[test]
fn faulty_workers_are_distinguished_from_faulty_tasks() {
    for seed in 0..3 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut quarantine = Quarantine::default();
        let mut failures_of_bad = [0; 2];
        let mut closed_healthy = 0;
        for number in 0..10_000 {
            let worker = rng.random_range(0..81);
            let name = format!("w{worker}");
            if !quarantine.may_start(&name, 0, now) {
                closed_healthy += u32::from(worker >= 2);
                continue;
            }
            let task = TaskId::new(number.to_string());
            let entry = rng.random_range(0..10);
            let fails = worker < 2 || entry == 0 || (entry == 1 && rng.random_range(0..5) == 0);
            quarantine.record_start(&name, &task, now);
            if !fails {
                quarantine.record_success(&name, &task, &format!("e{entry}"), now);
                continue;
            }
            quarantine.record_failure(&name, &task, &format!("e{entry}"), now);
            if worker < 2 {
                failures_of_bad[worker] += 1;
            }
        }
        assert!(failures_of_bad.iter().all(|failures| *failures <= 5), "{failures_of_bad:?}");
        assert_eq!(closed_healthy, 0, "seed {seed}");
    }
}
