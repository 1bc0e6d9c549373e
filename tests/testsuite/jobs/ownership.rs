//! The end of an owner's permission to send commands, and what its successor concludes from the store.

use std::time::Duration;

use plantainlever::job::JobId;
use plantainlever::ops::jobs::accept::Submission;
use plantainlever::ops::jobs::layout;
use plantainlever::port::{Commit, CommitOutcome, RowKey};
use plantainlever::shard::ShardId;
use plantainlever::shard::ownership::{HEARTBEAT_TIMEOUT, OWNERSHIP_LEASE_DURATION};

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

/// Guards against two runs of a task: a heartbeat that is stored between the successor's last look and its claim
/// extends the lease of the owner without the successor's knowledge.
#[test]
fn a_shard_is_not_claimed_after_a_heartbeat_that_the_claimant_has_not_seen() {
    run(async {
        let world = World::new(Fleet::new(1, 4_000));
        let row = |key: &str| RowKey::new(layout::OWNERS_TABLE, key);
        let write = |expected, key: &str, value: &str| {
            let commit = Commit {
                partition: layout::shard_partition(ShardId(0)),
                expected,
                writes: vec![(row(key), value.as_bytes().to_vec())],
                removes: Vec::new(),
            };
            match world.apply(&commit) {
                CommitOutcome::Applied { version } => version,
                CommitOutcome::Conflict { .. } => panic!("the row {key} has changed"),
            }
        };
        let owner = r#"{"epoch":1,"vm":"a","started_unix_ms":5}"#;
        let owner_version = write(vec![], layout::OWNER_KEY, owner);
        let heartbeat = write(vec![], layout::HEARTBEAT_KEY, r#"{"beat":1,"pending":{}}"#);
        let b = start(&world, "b");
        b.port.is_commit_delayed.set(true);
        wait_for("a claim on its way", async || b.port.delayed_commits.get() > 0).await;
        let expected =
            vec![(row(layout::OWNER_KEY), owner_version), (row(layout::HEARTBEAT_KEY), heartbeat)];
        write(expected, layout::HEARTBEAT_KEY, r#"{"beat":2,"pending":{}}"#);
        let renewed = world.now();
        b.port.is_commit_delayed.set(false);
        wait_for("a claim", async || b.owned_shards() == 1).await;
        assert!(world.now() - renewed >= HEARTBEAT_TIMEOUT, "{:?}", world.now() - renewed);
    });
}
