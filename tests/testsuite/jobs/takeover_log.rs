//! Log lines of the old and of the new owner of a shard, which have to be compared after a task ran twice.

use std::time::Duration;

use plantainlever::job::JobId;
use plantainlever::ops::jobs::accept::Submission;
use plantainlever::shard::ownership::OWNERSHIP_LEASE_DURATION;

use super::flow::{assert_no_breach, job, run, until, wait_for};
use super::port::{World, start};
use crate::shard::rig::{Fleet, QUEUE};
use crate::telemetry::{field, lines_of_event, log_lines_of};

fn number(line: &str, key: &str) -> u64 {
    field(line, key).parse().unwrap()
}

/// Returns the only line of the event with this number and epoch that contains `text`.
fn line_of(lines: &[String], event: &str, epoch: &str, text: &str) -> String {
    let mut found = lines_of_event(lines, event);
    found.retain(|line| field(line, "epoch") == epoch && line.contains(text));
    assert_eq!(found.len(), 1, "{event} {epoch} {text}: {found:?}");
    found.remove(0)
}

/// Guards against lines of two owners that can't be compared: the successor's say which heartbeat it counts from, and
/// the old owner's by which one its permission to send commands has ended.
#[test]
fn old_and_new_owner_log_the_same_heartbeat() {
    let lines = log_lines_of(|| {
        run(async {
            let world = World::new(Fleet::new(2, 4_000));
            let old = start(&world, "a");
            wait_for("an owner", async || old.owned_shards() == 1).await;
            let id = JobId(1);
            world.fleet.borrow_mut().durations.insert(id, Duration::from_secs(60));
            assert_eq!(old.submit(id, QUEUE, job(3), until()).await, Submission::Accepted);
            wait_for("all runs", async || world.fleet.borrow().starts.len() == 3).await;
            let next = start(&world, "b");
            let heartbeat = world.heartbeat_applied.get();
            wait_for("a heartbeat", async || world.heartbeat_applied.get() > heartbeat).await;
            old.port.is_cut.set(true);
            let renewed = world.heartbeat_applied.get();
            wait_for("a claim", async || next.owned_shards() == 1).await;
            wait_for("the end of the permission", async || {
                world.now() > renewed + OWNERSHIP_LEASE_DURATION + Duration::from_secs(1)
            })
            .await;
            assert_no_breach(&world);
        });
    });

    let claim = line_of(&lines, "P0640", "2", "reason=Silent");
    let begun = line_of(&lines, "P0668", "2", "");
    let lapsed = line_of(&lines, "P0643", "1", "permission=lapsed");
    for key in ["heartbeat_version", "owner_version"] {
        assert!(number(&claim, key) > 0 && number(&lapsed, key) > 0, "{key}: {claim} {lapsed}");
    }
    assert_eq!(field(&claim, "heartbeat_version"), field(&lapsed, "heartbeat_version"));
    assert_eq!(field(&begun, "heartbeat_version"), field(&lapsed, "heartbeat_version"));
    assert_eq!(field(&begun, "owner_version"), field(&claim, "owner_version"));
    assert_eq!(field(&begun, "beat"), field(&lapsed, "beat"));
    assert!(number(&lapsed, "beat") > 0, "{lapsed}");
    assert!(number(&lapsed, "renewed_ms_ago") >= 7_000, "{lapsed}");
    assert_eq!(number(&lapsed, "ends_in_ms"), 0);
    let seen_ms_ago = number(&claim, "heartbeat_seen_ms_ago");
    assert!(seen_ms_ago >= 2_000, "{claim}");
    assert!(number(&claim, "silent_in_ms") <= 7_000 - seen_ms_ago, "{claim}");
    // Leases end with the predecessor's permission of 7 s: 1.025 * 7 s + 0.3 s after the heartbeat.
    let after = number(&begun, "lapsed_in_ms") - number(&begun, "silent_in_ms");
    assert!((474..=476).contains(&after), "{begun}");
    // A lease of unknown length lapses 6.45 s after the predecessor is silent: 1.025 * 6 s + 0.3 s.
    let after = number(&begun, "unanswered_lapsed_in_ms") - number(&begun, "silent_in_ms");
    assert!((6_449..=6_450).contains(&after), "{begun}");
    assert_eq!(number(&begun, "unanswered_starts"), 0, "{begun}");
    assert_eq!((number(&begun, "tasks"), number(&begun, "suspects")), (3, 0));

    let adopted = lines_of_event(&lines, "P0670");
    assert_eq!(adopted.iter().map(|line| number(line, "runs")).sum::<u64>(), 3);
    let starts = lines_of_event(&lines, "P0671");
    assert_eq!(starts.len(), 3, "{starts:?}");
    for start in starts {
        assert_eq!((field(&start, "run"), field(&start, "epoch")), ("1", "1"));
        // The row was stored after the claim and before or with a later heartbeat.
        let row_version = number(&start, "row_version");
        assert!(row_version > number(&lapsed, "owner_version"), "{start}");
        assert!(row_version <= number(&lapsed, "heartbeat_version"), "{start}");
    }
}
