//! Copies of the store's rows: reads that keep them current, and starts of tasks while they can't be read.

use std::cell::Cell;
use std::time::Duration;

use plantainlever::clock::{Clock, ManualClock};
use plantainlever::job::{JobId, JobState};
use plantainlever::ops::jobs::accept::{Lookup, Submission};
use plantainlever::ops::jobs::freshness::Freshness;
use plantainlever::port::StoreError;

use super::flow::{assert_no_breach, job, run, until, wait_for, wait_for_state};
use super::port::{OPERATOR_ROWS, VM_LIST, World, start_with_max_age};
use crate::shard::rig::{Fleet, QUEUE};

/// Age at which the processes of these tests may still use their copies.
const MAX_AGE: Duration = Duration::from_millis(600);

/// Duration of the first task, at whose end every copy that is silent from its start is too old.
const FIRST_TASK: Duration = Duration::from_millis(1_500);

/// Time in which the second task would start once the worker is free.
const START_TIME: Duration = Duration::from_millis(500);

/// Lets a task wait for the end of another one, and silences a table meanwhile. The task must not start before the table
/// can be read again.
fn assert_no_start_while_silent(table: &'static str) {
    run(async {
        let world = World::new(Fleet::new(1, 1_000));
        let node = start_with_max_age(&world, "a", MAX_AGE);
        let (first, second) = (JobId(1), JobId(2));
        world.fleet.borrow_mut().durations.insert(first, FIRST_TASK);
        assert_eq!(node.submit(first, QUEUE, job(1), until()).await, Submission::Accepted);
        wait_for_state(&node, first, JobState::Running).await;
        assert_eq!(node.submit(second, QUEUE, job(1), until()).await, Submission::Accepted);
        wait_for("the second job", async || node.pending(QUEUE, until()).await == Lookup::Found(1))
            .await;
        node.port.silent_tables.borrow_mut().insert(table);
        wait_for_state(&node, first, JobState::Completed).await;
        tokio::time::sleep(START_TIME).await;
        assert_eq!(world.fleet.borrow().starts.len(), 1, "started by an old copy");
        node.port.silent_tables.borrow_mut().clear();
        wait_for_state(&node, second, JobState::Completed).await;
        assert_no_breach(&world);
    });
}

/// Guards against starts in a failure domain that operators have taken out of service.
#[test]
fn no_task_starts_by_an_old_operator_config() {
    assert_no_start_while_silent(OPERATOR_ROWS);
}

/// Guards against starts on a worker that is draining.
#[test]
fn no_task_starts_by_an_old_vm_list() {
    assert_no_start_while_silent(VM_LIST);
}

/// Guards against starts of a job that its caller has cancelled.
#[test]
fn no_task_starts_by_an_old_list_of_jobs() {
    assert_no_start_while_silent("jobs-0");
}

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
