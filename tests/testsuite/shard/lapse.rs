//! Leases in terms of the workers' clocks.

use std::time::Duration;

use arbtest::arbtest;
use plantainlever::shard::lapse::{WorkerClock, longest_local_time};

/// Guards against a task that starts on another worker while its lease is still valid on a slow clock, for any clock up
/// to 2% slow and any delay of the answer.
#[test]
fn a_lease_has_ended_on_the_worker_when_it_counts_as_lapsed() {
    arbtest(|u| {
        let reading_ms: u64 = u.int_in_range(0..=1_000_000_000)?;
        let answer_delay = Duration::from_millis(u.int_in_range(0..=5_000)?);
        let lease_ms: u64 = u.int_in_range(0..=10_000)?;
        let slow_per_mille: u32 = u.int_in_range(0..=20)?;
        let read = Duration::from_secs(50);
        let clock = WorkerClock::new(reading_ms, read + answer_delay);
        let expiry_ms = reading_ms + lease_ms;
        let lapsed = clock.lapsed_at(expiry_ms);
        let passed = lapsed - read;
        let on_worker = passed * (1_000 - slow_per_mille) / 1_000;
        assert!(on_worker >= Duration::from_millis(lease_ms));
        Ok(())
    });
}

/// Guards against a lease that lasts longer than intended: its expiry may only be too early.
#[test]
fn an_expiry_is_never_later_than_the_lease() {
    arbtest(|u| {
        let later = Duration::from_millis(u.int_in_range(0..=100_000)?);
        let clock = WorkerClock::new(7_000, Duration::from_secs(9));
        let now = Duration::from_secs(9) + later;
        let true_clock_ms = 7_000 + later.as_millis() as u64;
        assert!(clock.expiry_ms(now, Duration::from_secs(5)) <= true_clock_ms + 5_000);
        Ok(())
    });
}

/// Guards against a wait that does not allow for a slow clock.
#[test]
fn the_longest_lease_is_longer_than_the_lease() {
    assert!(longest_local_time(Duration::from_secs(5)) >= Duration::from_millis(5_100));
}
