//! Rows that the store does not accept.

use plantainlever::job::{JobId, JobState};
use plantainlever::ops::jobs::accept::Submission;
use plantainlever::ops::jobs::layout;

use super::flow::{assert_no_breach, job, run, until, wait_for, wait_for_state};
use super::port::{World, start};
use crate::shard::rig::{Fleet, QUEUE};

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
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
        world.rejected_keys.borrow_mut().clear();
        wait_for_state(&node, JobId(1), JobState::Completed).await;
    });
}
