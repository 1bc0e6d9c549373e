//! Workers that fail everything, and tasks that fail everywhere.

use std::time::{Duration, Instant};

use plantainlever::task::TaskId;
use plantainlever::worker::quarantine::{Quarantine, Standing};

/// Guards against a worker that fails everything being given more than five tasks.
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
    assert!(matches!(quarantine.standing("bad", now), Standing::OutOfUse { .. }));
    assert_eq!(quarantine.standing("good", now), Standing::InUse);
}

/// Guards against bad tasks that are tried on two healthy workers closing both.
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

/// Guards against a bad entry, of which each task is tried once, closing one healthy worker after the other.
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

/// Guards against a worker that still fails being used again at full rate, or being tried ever as often.
#[test]
fn probation_takes_one_task_and_the_backoff_grows() {
    let mut now = Instant::now();
    let mut quarantine = Quarantine::default();
    let mut pauses = Vec::new();
    for number in 0..12 {
        quarantine.record_failure("bad", &TaskId::new(number.to_string()), "standings", now);
        if let Standing::OutOfUse { until } = quarantine.standing("bad", now) {
            pauses.push((until - now).as_secs());
            now = until + Duration::from_millis(1);
            assert!(quarantine.may_start("bad", 0, now));
            assert!(!quarantine.may_start("bad", 1, now));
        }
    }
    assert_eq!(pauses[..4], [60, 120, 240, 480]);
}
