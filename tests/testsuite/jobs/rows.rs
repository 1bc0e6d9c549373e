//! Rows that the store does not accept.

use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobState};
use plantainlever::ops::jobs::accept::{Lookup, Submission};
use plantainlever::ops::jobs::layout;

use super::flow::{assert_no_breach, job, run, until, wait_for, wait_for_state};
use super::port::{World, start};
use crate::shard::rig::{Fleet, QUEUE, ROW_BYTES, spec, step};

/// Guards against a shard that stands still: one row that the store rejects was written together with those of other
/// jobs and the heartbeat, and the whole transaction was repeated without end.
#[test]
fn a_row_that_the_store_rejects_stops_no_other_job() {
    run(async {
        let world = World::new(Fleet::new(3, 4_000));
        let node = start(&world, "a");
        wait_for("an owner", async || node.owned_shards() == 1).await;
        let rejected = [JobId(2), JobId(5)];
        world.rejected_keys.borrow_mut().extend(rejected.iter().map(JobId::to_string));
        for id in 0..9 {
            let submission = node.submit(JobId(id), QUEUE, job(2), until()).await;
            assert_eq!(submission, Submission::Accepted);
        }
        for id in (0..9).map(JobId) {
            let end = if rejected.contains(&id) { JobState::Failed } else { JobState::Completed };
            wait_for_state(&node, id, end).await;
        }
        let claims = world.sent.borrow();
        let claims = claims.iter().flat_map(|commit| &commit.writes);
        assert_eq!(claims.filter(|(key, _)| key.key == layout::OWNER_KEY).count(), 1);
        assert_no_breach(&world);
    });
}

/// Guards against jobs that fail because of a store that rejects all writes for a while.
#[test]
fn a_store_that_rejects_every_write_fails_no_job() {
    run(async {
        let world = World::new(Fleet::new(1, 4_000));
        let node = start(&world, "a");
        wait_for("an owner", async || node.owned_shards() == 1).await;
        for id in 0..2 {
            let submission = node.submit(JobId(id), QUEUE, job(2), until()).await;
            assert_eq!(submission, Submission::Accepted);
            if id == 0 {
                wait_for_state(&node, JobId(0), JobState::Completed).await;
                let mut keys = world.rejected_keys.borrow_mut();
                keys.extend([JobId(1).to_string(), layout::HEARTBEAT_KEY.to_owned()]);
            }
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        world.rejected_keys.borrow_mut().clear();
        wait_for_state(&node, JobId(1), JobState::Completed).await;
    });
}

/// Guards against a wide job that is accepted and stops its shard: its progress did not fit into a row.
#[test]
fn a_wide_job_is_stored_in_several_rows_and_removed_with_all_of_them() {
    run(async {
        let world = World::new(Fleet::new(12, 32_000));
        let nodes = [start(&world, "a"), start(&world, "b")];
        wait_for("an owner", async || nodes.iter().any(|node| node.owned_shards() == 1)).await;
        let (owner, other) = if nodes[0].owned_shards() == 1 { (0, 1) } else { (1, 0) };
        let (wide, small) = (JobId(1), JobId(2));
        world.fleet.borrow_mut().durations.insert(wide, Duration::from_millis(2_500));
        let description = Rc::unwrap_or_clone(spec(vec![step(1_500, 100), step(1_500, 100)]));
        for (id, description) in [(wide, description), (small, job(2))] {
            let submission = nodes[owner].submit(id, QUEUE, description, until()).await;
            assert_eq!(submission, Submission::Accepted);
        }
        wait_for_state(&nodes[other], small, JobState::Completed).await;
        wait_for("starts", async || world.fleet.borrow().starts.len() > 1_500).await;
        assert!(world.count("progress-0") >= 10);
        nodes[owner].begin_stop();
        wait_for("a successor", async || nodes[other].owned_shards() == 1).await;
        wait_for_state(&nodes[other], wide, JobState::Completed).await;
        assert_eq!(world.fleet.borrow().starts.len(), 3_002);
        wait_for("empty tables", async || world.count("progress-0") == 0).await;
        assert_no_breach(&world);
    });
}

/// Guards against a job that is accepted although its description does not fit into a row.
#[test]
fn a_job_with_a_description_larger_than_a_row_is_refused_at_once() {
    run(async {
        let world = World::new(Fleet::new(1, 4_000));
        let node = start(&world, "a");
        let mut large = job(1);
        large.steps[0].required_label = Some("x".repeat(ROW_BYTES));
        let submission = node.submit(JobId(1), QUEUE, large, until()).await;
        let Submission::TooLarge { bytes, limit } = submission else { panic!("{submission:?}") };
        assert!(bytes > limit && limit == ROW_BYTES);
        assert_eq!(node.job_state(JobId(1), until()).await, Lookup::Absent);
    });
}
