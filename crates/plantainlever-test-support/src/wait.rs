//! Waits for a condition with a timeout.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// Default timeout, for conditions that take a few seconds on an idle machine. The margin is wide because tests run
/// beside builds.
pub const BOUND: Duration = Duration::from_secs(60);

/// Pause between two polls.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Polls until `poll` returns `Ok`, and returns the value. An `Err` carries the observed state for the panic message.
///
/// # Panics
///
/// If there is no value within `timeout`; the message carries the state observed last.
#[track_caller]
pub fn until<T, S: Display>(
    what: &str,
    timeout: Duration,
    mut poll: impl FnMut() -> Result<T, S>,
) -> T {
    let started = Instant::now();
    loop {
        match poll() {
            Ok(value) => return value,
            Err(seen) if started.elapsed() >= timeout => {
                panic!("{what}: not within {timeout:?}; last state: {seen}")
            }
            Err(_) => std::thread::sleep(POLL_PERIOD),
        }
    }
}

/// Polls until the condition holds. `seen` returns the observed state for the panic message.
///
/// # Panics
///
/// If the condition does not hold within `timeout`.
#[track_caller]
pub fn until_true<S: Display>(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
    mut seen: impl FnMut() -> S,
) {
    until(what, timeout, || if condition() { Ok(()) } else { Err(seen()) });
}

/// Checks that the condition holds at every poll during `time`.
///
/// # Panics
///
/// If the condition does not hold at some poll.
#[track_caller]
pub fn holds_for(what: &str, time: Duration, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < time {
        assert!(condition(), "{what}: no longer true after {:?}", started.elapsed());
        std::thread::sleep(POLL_PERIOD);
    }
}
