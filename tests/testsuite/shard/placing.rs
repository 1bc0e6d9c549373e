//! Placement of tasks on workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::job::JobId;
use plantainlever::shard::report::EndCause;

use super::rig::{Fleet, Rig, accepted, listing, spec, step, worker_id};

/// Guards against a start in a failure domain that operators have taken out of service.
#[test]
fn a_domain_that_is_out_gets_no_task() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.owner.on_domains_out(BTreeSet::from(["domain-1".to_owned()]));
    let id = rig.submit(7, spec(vec![step(12, 1_000)]));
    rig.run(Duration::from_secs(2));
    let used: BTreeSet<_> = rig.starts_of(id).into_iter().map(|(.., worker)| worker).collect();
    assert!(!used.contains(&worker_id(1)) && !used.contains(&worker_id(4)), "{used:?}");
    assert!(rig.store.ended.contains(&id));
}

/// Guards against a start on a draining worker.
#[test]
fn a_draining_worker_gets_no_task() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    rig.run(Duration::from_millis(200));
    rig.fleet.get(0).listing.is_draining = true;
    let id = rig.submit(7, spec(vec![step(6, 1_000)]));
    rig.run(Duration::from_secs(2));
    assert!(rig.starts_of(id).iter().all(|(.., worker)| *worker == worker_id(1)));
}

/// Guards against more tasks of a step on one worker than the caller allows.
#[test]
fn a_step_respects_its_limit_of_tasks_per_worker() {
    let mut rig = Rig::new(Fleet::new(4, 8_000));
    let mut spread = step(8, 1_000);
    spread.max_per_worker = Some(2);
    let id = rig.submit(7, spec(vec![spread]));
    rig.fleet.durations.insert(id, Duration::from_secs(2));
    rig.run(Duration::from_millis(500));
    let mut on = BTreeMap::new();
    for (.., worker) in rig.starts_of(id) {
        *on.entry(worker).or_insert(0) += 1;
    }
    assert_eq!(on.into_values().collect::<Vec<_>>(), [2, 2, 2, 2]);
}

/// Guards against a gang of which only some members start.
#[test]
fn all_members_of_a_gang_start_with_one_run_number() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let first = rig.submit(1, spec(vec![step(5, 1_000)]));
    rig.fleet.durations.insert(first, Duration::from_secs(1));
    rig.run(Duration::from_millis(300));
    let mut gang = step(4, 1_000);
    gang.is_gang = true;
    let id = rig.submit(2, spec(vec![gang]));
    rig.run(Duration::from_millis(300));
    assert_eq!(rig.starts_of(id).len(), 0, "only three cores are free");
    rig.run(Duration::from_secs(2));
    let runs: BTreeSet<u32> = rig.starts_of(id).iter().map(|(_, run, _)| *run).collect();
    assert_eq!((rig.starts_of(id).len(), runs.len()), (4, 1));
    rig.assert_no_breach();
}

/// Guards against a gang that starts without a member whose worker restarted between its reservation and its start: the
/// others wait in vain and end.
#[test]
fn a_gang_does_not_start_without_a_member_whose_worker_has_restarted() {
    let mut rig = Rig::new(Fleet::new(2, 2_000));
    rig.run(Duration::from_millis(200));
    rig.store.is_down = true;
    let mut gang = step(4, 1_000);
    gang.is_gang = true;
    let id = rig.submit(7, spec(vec![gang]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_millis(200));
    let now = rig.fleet.now;
    rig.fleet.get(1).restart(now);
    rig.run(Duration::from_millis(200));
    rig.store.is_down = false;
    rig.run(Duration::from_secs(1));
    let runs: BTreeSet<u32> = rig.starts_of(id).iter().map(|(_, run, _)| *run).collect();
    assert_eq!((rig.starts_of(id).len(), runs.len()), (4, 1));
    rig.assert_no_breach();
}

/// Guards against a step that no worker can take and that blocks a smaller one of the same priority.
#[test]
fn a_step_without_room_does_not_hold_up_the_steps_behind_it() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let wide = rig.submit(1, spec(vec![step(1, 5_000)]));
    let small = rig.submit(2, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.starts_of(wide), []);
    assert!(rig.store.ended.contains(&small));
}

/// Guards against a long-running task that is not started again while more work waits than the fleet can run: a lost
/// task of a service waited for 40 s.
#[test]
fn a_long_running_task_does_not_wait_behind_late_work() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let mut lasting = step(1, 1_000);
    lasting.is_long_running = true;
    let service = rig.submit(1, spec(vec![lasting]));
    rig.fleet.durations.insert(service, Duration::from_secs(600));
    rig.run(Duration::from_millis(300));
    // Each job asks for less than the next, so that a pass tries all of them.
    for id in 2..120 {
        let mut job = accepted(JobId(id), spec(vec![step(2, 3_300 + 5 * id)]));
        job.accepted_unix_ms = 300 + id;
        rig.store.jobs.insert(job.id, std::rc::Rc::clone(&job.spec));
        rig.fleet.durations.insert(job.id, Duration::from_millis(500));
        rig.owner.on_job(job);
    }
    rig.run(Duration::from_secs(8));
    let (task, _, worker) = rig.starts_of(service)[0].clone();
    rig.fleet.workers.get_mut(&worker).unwrap().end(task, EndCause::Failed);
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(service).len(), 2);
}

/// Guards against an order in which every job becomes late under twice the load that the fleet can run: jobs that can
/// still meet their objective go first.
#[test]
fn jobs_that_can_meet_their_objective_go_before_late_ones() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    for id in 0..40 {
        let id = rig.submit(id, spec(vec![step(4, 1_000)]));
        rig.fleet.durations.insert(id, Duration::from_millis(500));
    }
    rig.run(Duration::from_secs(10));
    let now = rig.fleet.now.as_millis() as u64;
    let mut fresh = accepted(JobId(99), spec(vec![step(4, 1_000)]));
    fresh.accepted_unix_ms = now;
    rig.store.jobs.insert(fresh.id, std::rc::Rc::clone(&fresh.spec));
    rig.owner.on_job(fresh);
    rig.run(Duration::from_millis(1_500));
    assert!(rig.store.ended.contains(&JobId(99)));
}

/// Guards against a best-effort task that is throttled for seconds beside a serving task and delays its whole job while
/// another worker is free: steps of 20 tasks took 8 s instead of 5 s.
#[test]
fn a_best_effort_task_that_is_throttled_for_long_moves_to_a_free_worker() {
    let mut rig = Rig::new(Fleet::new(1, 8_000));
    let mut serving = step(1, 6_000);
    serving.is_long_running = true;
    serving.tail_target_ms = Some(50);
    serving.image = Some("service".to_owned());
    let service = rig.submit(1, spec(vec![serving]));
    rig.fleet.durations.insert(service, Duration::from_secs(600));
    rig.run(Duration::from_millis(300));
    let mut best_effort = step(1, 3_000);
    best_effort.uses_leftover_cpu = true;
    best_effort.checkpoints = true;
    best_effort.image = Some("batch".to_owned());
    let job = rig.submit(2, spec(vec![best_effort]));
    rig.fleet.durations.insert(job, Duration::from_secs(60));
    rig.run(Duration::from_millis(300));
    assert_eq!(rig.starts_of(job).len(), 1, "it fits beside the serving task");
    rig.fleet.add(listing(1, 8_000));
    rig.fleet.get(0).percent = 40;
    rig.fleet.get(0).tail_ms = 200;
    rig.run(Duration::from_secs(4));
    let on: Vec<_> = rig.starts_of(job).into_iter().map(|(.., worker)| worker).collect();
    assert_eq!(on, [worker_id(0), worker_id(1)]);
    rig.assert_no_breach();
}

/// Guards against a speculative task that waits for the lease of a worker that does not answer.
#[test]
fn a_speculative_task_of_a_silent_worker_gets_a_second_run() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    rig.run(Duration::from_millis(200));
    let mut twice = step(1, 1_000);
    twice.is_speculative = true;
    let copied = rig.submit(1, spec(vec![twice]));
    let once = rig.submit(2, spec(vec![step(1, 1_000)]));
    for id in [copied, once] {
        rig.fleet.durations.insert(id, Duration::from_millis(1_500));
    }
    rig.run(Duration::from_millis(300));
    let used = rig.starts_of(copied)[0].2.clone();
    rig.fleet.add(listing(1, 4_000));
    rig.fleet.workers.get_mut(&used).unwrap().is_cut = true;
    rig.run(Duration::from_millis(3_000));
    assert_eq!((rig.starts_of(copied).len(), rig.starts_of(once).len()), (2, 1));
    assert!(rig.store.ended.contains(&copied) && !rig.store.ended.contains(&once));
}

/// Guards against jobs that are all spread over all failure domains, so that a cut of any domain delays all of them.
#[test]
fn tasks_of_a_job_run_together_in_one_failure_domain() {
    let mut rig = Rig::new(Fleet::new(9, 8_000));
    rig.run(Duration::from_millis(200));
    let ids: Vec<JobId> = (0..6).map(|id| rig.submit(id, spec(vec![step(6, 1_000)]))).collect();
    rig.run(Duration::from_millis(300));
    let mut homes = BTreeSet::new();
    for id in ids {
        let starts = rig.starts_of(id);
        let domains: BTreeSet<String> =
            starts.iter().map(|(.., w)| rig.fleet.workers[w].listing.domain.clone()).collect();
        assert_eq!((starts.len(), domains.len()), (6, 1));
        homes.extend(domains);
    }
    assert_eq!(homes.len(), 3, "jobs spread over the domains");
}

/// Guards against a fleet without usable workers after an outage of the store during which the VM list could not be
/// read.
#[test]
fn workers_stay_usable_while_the_list_cannot_be_read() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    rig.run(Duration::from_millis(200));
    rig.is_list_down = true;
    rig.run(Duration::from_secs(4));
    let id = rig.submit(7, spec(vec![step(2, 1_000)]));
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.starts_of(id).len(), 2);
}

/// Guards against a start in another pool of workers, or on a worker without the required label.
#[test]
fn a_task_starts_only_in_its_pool_and_with_its_label() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    for index in 0..2 {
        rig.fleet.get(index).listing.service = "other".to_owned();
    }
    // As many tasks as fit on the two workers of the pool that have the label.
    let mut labelled = step(8, 1_000);
    labelled.required_label = Some("rack-1".to_owned());
    let id = rig.submit(1, spec(vec![labelled]));
    let plain = rig.submit(2, spec(vec![step(12, 1_000)]));
    rig.run(Duration::from_secs(2));
    let used = |id| -> BTreeSet<_> { rig.starts_of(id).into_iter().map(|(.., w)| w).collect() };
    assert!(used(id).iter().all(|w| [worker_id(3), worker_id(5)].contains(w)), "{:?}", used(id));
    assert!(used(plain).iter().all(|w| ![worker_id(0), worker_id(1)].contains(w)));
    assert_eq!((rig.starts_of(id).len(), rig.starts_of(plain).len()), (8, 12));
}
