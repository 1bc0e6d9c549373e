//! Workers that do not answer, and changes of owner.

use std::time::Duration;

use plantainlever::shard::lapse::longest_local_time;
use plantainlever::shard::report::EndCause;

use super::rig::{CLOCK_ORIGIN_MS, Fleet, LEASE, Rig, STOP_TIME, spec, step, worker_id};

/// Guards against a task that runs on two workers: a worker that does not answer may run it until its lease has lapsed.
#[test]
fn a_task_of_a_silent_worker_starts_elsewhere_once_its_lease_has_lapsed() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(6, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    let on_first = rig.starts_of(id).iter().filter(|(.., w)| *w == worker_id(0)).count();
    rig.fleet.get(0).is_cut = true;
    let cut = rig.fleet.now;
    while rig.fleet.get(1).runs.len() < 4 && rig.fleet.now < cut + LEASE * 2 {
        rig.round();
    }
    rig.assert_no_breach();
    assert!(on_first > 0);
    // Renewals sent to a worker that does not answer must not extend its lease.
    let waited = rig.fleet.now - cut;
    assert!(waited < LEASE + Duration::from_secs(1), "{waited:?}");
}

/// Guards against a second start while the first one, which got no answer, may still be carried out.
#[test]
fn a_start_without_an_answer_is_resolved_before_the_task_starts_elsewhere() {
    for delay_ms in [0, 60, 300, 1_500, 4_000] {
        let mut rig = Rig::new(Fleet::new(3, 4_000));
        rig.run(Duration::from_millis(200));
        for index in 0..2 {
            rig.fleet.get(index).start_delay = Some(Duration::from_millis(delay_ms));
        }
        let id = rig.submit(7, spec(vec![step(9, 1_000)]));
        rig.fleet.durations.insert(id, Duration::from_secs(2));
        rig.run(Duration::from_secs(30));
        rig.assert_no_breach();
        assert!(rig.store.ended.contains(&id), "delay {delay_ms} ms");
    }
}

/// Guards against a worker over its capacity: a new owner assumed that runs of an unknown job use no resources while
/// they were being stopped.
#[test]
fn nothing_starts_beside_a_run_of_unknown_size() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 4_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_millis(300));
    // The job's row is gone, as it is after the end of a job was stored.
    rig.store.jobs.remove(&id);
    rig.store.rows.remove(&id);
    let now = rig.fleet.now;
    rig.take_over(now);
    let next = rig.submit(8, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_secs(2));
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(next).len(), 1);
}

/// Guards against two runs of a task after two changes of owner in a row: the owner in between did not name the workers
/// that were cut off, so the last one did not wait for their leases.
#[test]
fn unreached_workers_are_handed_over_from_owner_to_owner() {
    let mut rig = Rig::new(Fleet::new(3, 4_000));
    let id = rig.submit(7, spec(vec![step(10, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    rig.fleet.get(1).is_cut = true;
    let lapsed = rig.fleet.now + LEASE + Duration::from_millis(400);
    rig.take_over(lapsed);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.silent_workers(), ["w1"]);
    let later = rig.fleet.now + LEASE * 4;
    rig.take_over(later);
    rig.run(Duration::from_secs(10));
    rig.assert_no_breach();
    // The wait does not start again with each owner.
    assert!(rig.starts_of(id).len() >= 12);
}

/// Guards against an idle fleet at a change of owner: runs on workers that answer continue, and tasks wait only for
/// workers that do not answer.
#[test]
fn a_new_owner_adopts_active_runs() {
    let mut rig = Rig::new(Fleet::new(3, 4_000));
    let id = rig.submit(7, spec(vec![step(12, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(3));
    rig.run(Duration::from_secs(1));
    let lapsed = rig.fleet.now + Duration::from_secs(12);
    rig.take_over(lapsed);
    rig.run(Duration::from_secs(4));
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 12);
    assert!(rig.store.ended.contains(&id));
}

/// Guards against tasks that wait for workers on which they were not placed, when an owner is lost while some workers
/// are cut off: 203 jobs waited 12 s for the workers of a failure domain.
#[test]
fn only_tasks_of_silent_workers_wait_for_their_leases() {
    let mut rig = Rig::new(Fleet::new(4, 4_000));
    let ids: Vec<_> = (0..3).map(|id| rig.submit(id, spec(vec![step(1, 4_000)]))).collect();
    for id in &ids {
        rig.fleet.durations.insert(*id, Duration::from_secs(60));
    }
    rig.run(Duration::from_secs(1));
    let used: Vec<_> = ids.iter().map(|id| rig.starts_of(*id)[0].2.clone()).collect();
    rig.fleet.workers.get_mut(&used[0]).unwrap().is_cut = true;
    // This end has not been processed by the predecessor.
    let task = rig.starts_of(ids[1])[0].0;
    rig.fleet.workers.get_mut(&used[1]).unwrap().end(task, EndCause::Stopped);
    let began = rig.fleet.now;
    let lapsed = began + Duration::from_secs(12);
    rig.take_over(lapsed);
    rig.run(Duration::from_millis(500));
    assert_eq!(rig.starts_of(ids[1]).len(), 2);
    assert_eq!(rig.starts_of(ids[2]).len(), 1);
    rig.run(Duration::from_secs(11));
    assert_eq!(rig.starts_of(ids[0]).len(), 1);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(ids[0]).len(), 2);
    rig.assert_no_breach();
}

/// Guards against a second run of a task. A successor relies on an owner having granted no lease to the workers that
/// its heartbeat names as unreached. So a worker that answers again gets no lease until a heartbeat without it is
/// stored.
#[test]
fn a_worker_named_as_unreached_gets_no_lease_before_the_next_heartbeat() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 4_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    let used = rig.starts_of(id)[0].2.clone();
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    let lapsed = rig.fleet.now + Duration::from_secs(30);
    rig.take_over(lapsed);
    rig.run(Duration::from_secs(2));
    let before = rig.fleet.workers[&used].expiry_ms;
    rig.store.is_down = true;
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = false;
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.fleet.workers[&used].expiry_ms, before);
    rig.store.is_down = false;
    rig.run(Duration::from_secs(2));
    assert!(rig.fleet.workers[&used].expiry_ms > before);
    rig.assert_no_breach();
}

/// Guards against a second run of a task: the same for a worker of the owner's own that falls silent and returns, on which
/// a successor relies as well.
#[test]
fn a_worker_named_as_silent_gets_no_lease_before_the_next_heartbeat() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 4_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(2));
    let used = rig.starts_of(id)[0].2.clone();
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.silent_workers(), [used.as_str()]);
    let before = rig.fleet.workers[&used].expiry_ms;
    let (named, lapsed) = rig.store.suspects[0].clone();
    assert_eq!(named, used);
    // The successor waits for what is left of the lease, and not longer.
    let left = Duration::from_millis(before - CLOCK_ORIGIN_MS) - rig.fleet.now;
    assert!(lapsed >= rig.fleet.now + left, "{left:?}");
    assert!(lapsed <= rig.fleet.now + longest_local_time(left, STOP_TIME) + LEASE / 40, "{left:?}");
    rig.store.is_down = true;
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = false;
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.fleet.workers[&used].expiry_ms, before);
    rig.store.is_down = false;
    rig.run(Duration::from_secs(1));
    assert!(rig.fleet.workers[&used].expiry_ms > before);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 1);
}

/// Guards against a second run of a task. Until a new owner has stored a heartbeat, its successor relies on the one of
/// the owner before. So the new owner grants no lease to workers that this one names.
#[test]
fn a_worker_that_the_previous_owner_named_gets_no_lease_before_the_first_heartbeat() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 4_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    let used = rig.starts_of(id)[0].2.clone();
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    let lapsed = rig.fleet.now + LEASE + Duration::from_millis(400);
    rig.take_over(lapsed);
    rig.run(Duration::from_secs(2));
    let before = rig.fleet.workers[&used].expiry_ms;
    // The next owner loses the store right after its claim.
    rig.store.is_down = true;
    rig.take_over(lapsed + Duration::from_secs(9));
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = false;
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.fleet.workers[&used].expiry_ms, before);
    // The worker is silent again, and the owner after that reads the heartbeat of the first one.
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    rig.store.is_down = false;
    rig.take_over(lapsed + Duration::from_secs(18));
    rig.run(Duration::from_secs(10));
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 2);
}

/// Guards against a second run of a task. A worker answered a new owner once, which had not granted it a lease yet, and
/// was cut off again while its runs still had the lease of the previous owner.
#[test]
fn an_adopted_run_keeps_the_lease_of_the_previous_owner() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 4_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    let used = rig.starts_of(id)[0].2.clone();
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    let lapsed = rig.fleet.now + Duration::from_secs(12);
    rig.take_over(lapsed);
    rig.run(Duration::from_secs(2));
    // The store is down, so the stored heartbeat still names the worker.
    rig.store.is_down = true;
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = false;
    while rig.silent_workers() == ["w0"] || rig.silent_workers() == ["w1"] {
        rig.round();
    }
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    rig.store.is_down = false;
    rig.run(Duration::from_secs(14));
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 2);
}

/// Guards against an owner that continues after its successor has reached a worker.
#[test]
fn an_owner_with_an_old_epoch_is_fenced_by_any_worker() {
    let mut rig = Rig::new(Fleet::new(3, 4_000));
    rig.run(Duration::from_secs(1));
    rig.fleet.get(1).epoch = 9;
    rig.run(Duration::from_secs(3));
    assert!(rig.owner.is_fenced());
}

/// Guards against a second run started by an owner that is cut off from the store: its successor had extended the lease
/// on a worker that did not answer the old owner.
#[test]
fn an_owner_that_is_not_confirmed_does_not_count_leases_as_lapsed() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(4, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    rig.store.is_down = true;
    let used = rig.starts_of(id)[0].2.clone();
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    // Extends the lease as a successor would.
    rig.fleet.workers.get_mut(&used).unwrap().expiry_ms += 60_000;
    rig.run(LEASE * 3);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 4);
}

/// Guards against unlimited attempts to reach a worker that is cut off, each of which opens a connection, and against a
/// worker that is not used after it returns.
#[test]
fn renewals_of_a_silent_worker_back_off_and_its_return_is_detected() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    rig.run(Duration::from_secs(1));
    rig.fleet.get(0).is_cut = true;
    let before = rig.fleet.commands_sent.clone();
    rig.run(Duration::from_secs(10));
    let commands_sent = rig.fleet.commands_sent.get(&worker_id(0)).copied().unwrap_or(0)
        - before.get(&worker_id(0)).copied().unwrap_or(0);
    assert!(commands_sent <= 10, "{commands_sent}");
    rig.fleet.get(0).is_cut = false;
    rig.run(Duration::from_millis(1_700));
    let id = rig.submit(7, spec(vec![step(8, 1_000)]));
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.starts_of(id).len(), 8);
}

/// Guards against renewals without a pause, and against waiting tasks, once another incarnation answers at a worker's
/// address: 87 workers came back with new IDs, and each was sent the next renewal at once.
#[test]
fn runs_of_a_replaced_worker_start_elsewhere_at_once() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(4, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_secs(1));
    let used = rig.starts_of(id)[0].2.clone();
    let replaced = rig.fleet.workers.get_mut(&used).unwrap();
    replaced.is_replaced = true;
    replaced.runs.clear();
    let before = rig.fleet.commands_sent[&used];
    rig.run(Duration::from_secs(3));
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 8);
    assert!(
        rig.fleet.commands_sent[&used] - before <= 5,
        "{}",
        rig.fleet.commands_sent[&used] - before
    );
    // The VM list drops the worker, and its state is removed.
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    rig.run(Duration::from_secs(7));
    assert!(!rig.owner.worker_ids().contains(&used.as_str().to_owned()));
}
