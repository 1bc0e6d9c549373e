//! The end of an owner's permission to send commands, and what its successor concludes from the store.

use std::time::Duration;

use plantainlever::job::JobId;
use plantainlever::ops::jobs::accept::Submission;
use plantainlever::shard::ownership::OWNERSHIP_LEASE_DURATION;

use super::flow::{job, run, until, wait_for};
use super::port::{World, start};
use crate::shard::rig::{CLOCK_ORIGIN_MS, Fleet, LEASE, QUEUE};

/// Guards against two runs of a task: a successor counts from the newest heartbeat, so no lease may be granted later
/// than that, however many progress rows the owner has stored since.
#[test]
fn progress_rows_do_not_extend_the_ownership_lease() {
    run(async {
        let world = World::new(Fleet::new(1, 4_000));
        let node = start(&world, "a");
        wait_for("an owner", async || node.owned_shards() == 1).await;
        world.fleet.borrow_mut().durations.insert(JobId(0), Duration::from_secs(60));
        let submit = async |id| {
            assert_eq!(node.submit(JobId(id), QUEUE, job(1), until()).await, Submission::Accepted);
        };
        submit(0).await;
        let mut id = 0;
        wait_for("progress rows long after a heartbeat", async || {
            id += 1;
            submit(id).await;
            let since = world.now() - world.heartbeat_applied.get();
            since >= Duration::from_millis(400) && world.progress_since_heartbeat.get() > 2
        })
        .await;
        node.port.is_store_cut.set(true);
        let heartbeat = world.heartbeat_applied.get();
        let last_grant = heartbeat + OWNERSHIP_LEASE_DURATION;
        wait_for("the end of the ownership lease", async || {
            world.now() > last_grant + Duration::from_secs(1)
        })
        .await;
        let expiry_ms = world.fleet.borrow_mut().get(0).expiry_ms - CLOCK_ORIGIN_MS;
        let expiry = Duration::from_millis(expiry_ms);
        assert!(expiry <= last_grant + LEASE, "{:?} too late", expiry - last_grant - LEASE);
    });
}
