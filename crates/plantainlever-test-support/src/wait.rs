//! Waiting for a condition, with a bound.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// Bound for what takes a few seconds on an idle machine. Tests run beside builds, so it leaves a wide margin.
pub const BOUND: Duration = Duration::from_secs(60);

/// Period of the polls.
const POLL: Duration = Duration::from_millis(20);

/// Polls until there is a value and returns it. Each `Err` says what was seen instead.
///
/// # Panics
///
/// If there is none within the bound, with what was seen last.
#[track_caller]
pub fn until<T, S: Display>(
    what: &str,
    bound: Duration,
    mut poll: impl FnMut() -> Result<T, S>,
) -> T {
    let started = Instant::now();
    loop {
        match poll() {
            Ok(value) => return value,
            Err(seen) if started.elapsed() >= bound => {
                panic!("{what}: not within {bound:?}; seen last: {seen}")
            }
            Err(_) => std::thread::sleep(POLL),
        }
    }
}

/// Polls until the condition holds. `seen` is asked for the message only.
///
/// # Panics
///
/// If it does not hold within the bound.
#[track_caller]
pub fn until_true<S: Display>(
    what: &str,
    bound: Duration,
    mut condition: impl FnMut() -> bool,
    mut seen: impl FnMut() -> S,
) {
    until(what, bound, || if condition() { Ok(()) } else { Err(seen()) });
}

/// Polls for the whole time and fails as soon as the condition does not hold.
///
/// # Panics
///
/// If it does not hold at one poll.
#[track_caller]
pub fn holds_for(what: &str, time: Duration, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < time {
        assert!(condition(), "{what}: no longer true after {:?}", started.elapsed());
        std::thread::sleep(POLL);
    }
}
