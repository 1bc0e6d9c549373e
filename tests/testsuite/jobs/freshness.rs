//! Reads that keep copies of the store's rows current.

use std::cell::Cell;
use std::time::Duration;

use plantainlever::clock::{Clock, ManualClock};
use plantainlever::ops::jobs::freshness::Freshness;
use plantainlever::port::StoreError;

use super::flow::run;

/// Age at which the processes of these tests may still use their copies.
const MAX_AGE: Duration = Duration::from_millis(600);

/// Wait of a read that would outlast the test.
const LONG_WAIT: Duration = Duration::from_secs(600);

/// Guards against a copy that is not refreshed because the connection of its read has gone silent.
#[test]
fn a_read_without_an_answer_is_repeated() {
    run(async {
        let freshness = Freshness::new(MAX_AGE);
        let clock = ManualClock::new();
        let sent = Cell::new(0);
        let read = async |_wait| {
            sent.set(sent.get() + 1);
            if sent.get() == 1 {
                return std::future::pending().await;
            }
            Ok(sent.get())
        };
        assert_eq!(freshness.read(&clock, Duration::ZERO, read).await.1, Ok(2));
    });
}

/// Guards against repeated reads that load a store which answers none of them.
#[test]
fn reads_in_parallel_are_limited() {
    run(async {
        let freshness = Freshness::new(MAX_AGE);
        let clock = ManualClock::new();
        let sent = Cell::new(0);
        let silent = async |_wait| {
            sent.set(sent.get() + 1);
            std::future::pending::<Result<(), StoreError>>().await
        };
        let read = freshness.read(&clock, Duration::ZERO, silent);
        assert!(tokio::time::timeout(Duration::from_secs(2), read).await.is_err());
        assert_eq!(sent.get(), 3);
    });
}

/// Guards against a decision that waits for the end of a long poll after the VM was suspended.
#[test]
fn a_copy_that_is_needed_and_too_old_is_read_without_a_wait() {
    run(async {
        let freshness = Freshness::new(MAX_AGE);
        let clock = ManualClock::new();
        freshness.confirm(clock.boot());
        let read = async |wait: Duration| {
            if !wait.is_zero() {
                clock.advance(MAX_AGE + Duration::from_millis(1));
                assert!(!freshness.require(clock.boot()));
                return std::future::pending().await;
            }
            Ok(())
        };
        let (sent, outcome) = freshness.read(&clock, LONG_WAIT, read).await;
        assert_eq!(outcome, Ok(()));
        assert_eq!(sent, clock.boot());
    });
}
