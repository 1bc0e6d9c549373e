//! Ownership of shards.

use std::time::Duration;

use plantainlever::shard::ownership::{
    ClaimDecision, ClaimReason, HEARTBEAT_TIMEOUT, OWNERSHIP_LEASE_DURATION, OwnerObserver,
    OwnershipLease,
};
use plantainlever::shard::{OwnerRow, ShardMap};

const STAGGER: Duration = Duration::from_millis(100);

fn row(vm: &str) -> OwnerRow {
    OwnerRow {
        epoch: 4,
        vm: vm.to_owned(),
        started_unix_ms: 5,
        earlier_silent_in_ms: Some(300),
        ..OwnerRow::default()
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a claim while the owner's heartbeat still changes.
#[test]
fn a_shard_is_claimed_after_the_heartbeat_timeout() {
    let mut ownership = OwnerObserver::new("b", STAGGER);
    for beat in 0..10 {
        let now = at(beat * 600);
        assert_eq!(ownership.on_read(Some(&row("a")), beat, now, now), ClaimDecision::No);
    }
    let since = at(5_400);
    let last = since + HEARTBEAT_TIMEOUT + STAGGER;
    assert_eq!(ownership.on_read(Some(&row("a")), 9, last - at(1), last), ClaimDecision::No);
    let claim = ownership.on_read(Some(&row("a")), 9, last, last + at(400));
    assert_eq!(claim, ClaimDecision::Now(ClaimReason::Silent { since }));
}

/// Guards against another claim before a new owner has written its first heartbeat: a third process claimed the shard
/// 0.6 s after the second.
#[test]
fn a_new_owner_has_time_for_its_first_heartbeat() {
    let mut ownership = OwnerObserver::new("b", STAGGER);
    assert_eq!(ownership.on_read(Some(&row("a")), 1, at(0), at(1)), ClaimDecision::No);
    let mut successor = row("c");
    successor.epoch += 1;
    let later = HEARTBEAT_TIMEOUT + STAGGER + at(500);
    assert_eq!(ownership.on_read(Some(&successor), 1, later, later), ClaimDecision::No);
}

/// Guards against a claim by a process that could not read the store for a while, since the owner may have been cut off
/// from it as well.
#[test]
fn time_without_the_store_does_not_count_towards_the_timeout() {
    let mut ownership = OwnerObserver::new("b", STAGGER);
    assert_eq!(ownership.on_read(Some(&row("a")), 1, at(0), at(5)), ClaimDecision::No);
    ownership.reset();
    assert_eq!(ownership.on_read(Some(&row("a")), 1, at(9_000), at(9_005)), ClaimDecision::No);
}

/// Guards against a wait for the heartbeat timeout where the owner is known to be gone.
#[test]
fn a_released_shard_and_one_of_an_earlier_incarnation_are_claimed_at_once() {
    let mut ownership = OwnerObserver::new("b", STAGGER);
    assert_eq!(ownership.on_read(None, 0, at(0), at(1)), ClaimDecision::Now(ClaimReason::New));
    assert_eq!(
        ownership.on_read(Some(&row("")), 1, at(0), at(1)),
        ClaimDecision::Now(ClaimReason::Released { earlier_silent_at: at(301) })
    );
    assert_eq!(
        ownership.on_read(Some(&row("b")), 1, at(0), at(1)),
        ClaimDecision::Now(ClaimReason::OwnPredecessor { earlier_silent_at: at(301) })
    );
}

/// Guards against commands of a process that was suspended or cut off for longer than its ownership lease.
#[test]
fn an_ownership_lease_expires_without_confirmations() {
    let mut lease = OwnershipLease::new(at(1_000));
    assert!(lease.is_valid(at(1_000) + OWNERSHIP_LEASE_DURATION - at(1)));
    assert!(!lease.is_valid(at(1_000) + OWNERSHIP_LEASE_DURATION));
    lease.renew(at(5_000));
    lease.renew(at(2_000));
    assert!(lease.is_valid(at(5_000) + OWNERSHIP_LEASE_DURATION - at(1)));
    // A write that a successor does not observe confirms the ownership, but extends nothing.
    lease.confirm(at(5_600));
    assert_eq!(lease.confirmed(), at(5_600));
    assert!(!lease.is_valid(at(5_000) + OWNERSHIP_LEASE_DURATION));
}

/// Guards against a new owner that does not wait until its silent predecessor can't send commands any more.
#[test]
fn a_silent_owner_may_send_commands_until_its_lease_expires() {
    let reason = ClaimReason::Silent { since: at(3_000) };
    assert_eq!(reason.predecessors_silent_at(at(5_000)), at(3_000) + OWNERSHIP_LEASE_DURATION);
    let released = |earlier_silent_at| ClaimReason::Released { earlier_silent_at };
    assert_eq!(released(at(4_000)).predecessors_silent_at(at(5_000)), at(5_000));
    assert_eq!(released(at(6_000)).predecessors_silent_at(at(5_000)), at(6_000));
}

/// Guards against a change of the stored layout: the division of jobs among shards must never change.
#[test]
fn the_division_of_jobs_and_workers_is_fixed() {
    let map = ShardMap { shards: 6 };
    assert_eq!(map.of_job(plantainlever::job::JobId(0x5c0e_7a21_d94b_36f8)).0, 3);
    assert_eq!(map.of_worker("i-7f3a91c2").0, 0);
    assert_eq!(ShardMap::for_workers(66).shards, 1);
    assert_eq!(ShardMap::for_workers(490).shards, 1);
    assert_eq!(ShardMap::for_workers(1_300).shards, 3);
}

/// Guards against an owner row of an earlier version being read as one whose predecessors have certainly ended.
#[test]
fn an_owner_row_without_the_silence_of_earlier_owners_assumes_the_longest() {
    let row: OwnerRow =
        serde_json::from_str(r#"{"epoch":4,"vm":"a","started_unix_ms":5}"#).unwrap();
    assert_eq!(row.earlier_silent_at(at(1_000)), at(1_000) + OWNERSHIP_LEASE_DURATION);
}
