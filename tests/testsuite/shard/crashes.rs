//! Tasks that crash the workers that start them, and restarts of workers for other reasons.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::spec::Schedule;
use plantainlever::job::{JobId, JobSpec, JobState, JobTaskId, StepId, StepSpec};

use super::rig::{Fleet, LEASE, RESTART_TIME, Rig, TICK, spec, step, worker_id};

fn task(job: JobId, step: u16, index: u16) -> JobTaskId {
    JobTaskId { step: StepId { job, occurrence: 0, step }, index }
}

/// Crashes under a task.
fn crashes(rig: &Rig, task: JobTaskId) -> usize {
    rig.fleet.crashes.iter().filter(|(_, crashed, ..)| *crashed == task).count()
}

/// Starts of a task after three workers have crashed under it. Fewer than three are allowed.
fn starts_after_third_crash(rig: &Rig, task: JobTaskId) -> usize {
    crashes(rig, task).saturating_sub(3)
}

/// Submits a job whose first task crashes its workers.
fn submit_deadly(rig: &mut Rig, id: u64, steps: Vec<StepSpec>) -> (JobId, JobTaskId) {
    let id = rig.submit(id, spec(steps));
    let deadly = task(id, 0, 0);
    rig.fleet.deadly.insert(deadly);
    (id, deadly)
}

fn long_running(count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu_millis) }
}

/// Guards against a task that crashes one worker after the other without end. Alone on its worker, it is the only
/// possible cause, so two crashes suffice.
#[test]
fn a_task_that_crashed_two_workers_alone_is_given_up() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(1, 1_000)]);
    rig.run(Duration::from_secs(30));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert_eq!(crashes(&rig, deadly), 2);
    assert_eq!(rig.starts_of(id).len(), 2);
    rig.assert_no_breach();
}

/// Guards against neighbours that fail for the crashes of another job's task: all of them have crashed runs, too.
#[test]
fn jobs_beside_a_task_that_crashes_its_workers_complete() {
    let mut rig = Rig::new(Fleet::new(8, 8_000));
    rig.run(Duration::from_secs(1));
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(3, 1_000)]);
    let others: Vec<JobId> = (20..32).map(|id| rig.submit(id, spec(vec![step(4, 500)]))).collect();
    for other in &others {
        rig.fleet.durations.insert(*other, Duration::from_millis(1_500));
    }
    rig.run(Duration::from_secs(60));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert!(crashes(&rig, deadly) <= 3, "{:?}", rig.fleet.crashes);
    for other in others {
        assert_eq!(rig.stored_state(other), Some(JobState::Completed), "{other}");
    }
    rig.assert_no_breach();
}

/// Guards against the loss of many workers at once: several jobs that crash their workers must not take the fleet down
/// before they are given up.
#[test]
fn several_tasks_that_crash_their_workers_leave_most_workers_up() {
    let mut rig = Rig::new(Fleet::new(24, 8_000));
    rig.run(Duration::from_secs(1));
    let mut deadly = Vec::new();
    let mut others = Vec::new();
    for round in 0..6 {
        deadly.push(submit_deadly(&mut rig, 100 + round, vec![step(2, 1_000)]));
        for other in 0..6 {
            others.push(rig.submit(200 + round * 10 + other, spec(vec![step(4, 1_000)])));
        }
        rig.run(Duration::from_millis(500));
    }
    rig.run(Duration::from_secs(60));
    for (id, task) in deadly {
        assert_eq!(rig.stored_state(id), Some(JobState::Failed));
        assert!(crashes(&rig, task) <= 3, "{:?}", rig.fleet.crashes);
    }
    for other in others {
        assert_eq!(rig.stored_state(other), Some(JobState::Completed), "{other}");
    }
    assert!(rig.fleet.most_down <= 12, "{} of 24 workers down", rig.fleet.most_down);
    rig.assert_no_breach();
}

/// Guards against an owner that forgets the crashes that its predecessor has seen, or counts one of them twice.
#[test]
fn crashes_are_remembered_by_a_new_owner() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(1, 1_000)]);
    rig.run(RESTART_TIME + Duration::from_secs(2));
    assert_eq!(crashes(&rig, deadly), 2);
    let now = rig.fleet.now;
    rig.take_over(now + LEASE);
    rig.run(Duration::from_secs(30));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert_eq!(crashes(&rig, deadly), 2);
}

/// Guards against a crash that no owner counts: the owner is lost while the worker is down, and the worker answers the
/// next owner with its new incarnation.
#[test]
fn a_crash_during_a_change_of_owner_is_counted() {
    for owners in 1..4_u32 {
        let mut rig = Rig::new(Fleet::new(6, 4_000));
        rig.run(Duration::from_secs(1));
        let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(1, 1_000)]);
        for _ in 0..owners {
            let before = crashes(&rig, deadly);
            while crashes(&rig, deadly) == before && rig.fleet.now < Duration::from_secs(30) {
                rig.round();
            }
            rig.run(Duration::from_millis(200));
            let now = rig.fleet.now;
            rig.take_over(now + LEASE * 2);
        }
        rig.run(Duration::from_secs(60));
        assert_eq!(rig.stored_state(id), Some(JobState::Failed), "{owners} changes");
        assert_eq!(crashes(&rig, deadly), 2, "{owners} changes");
    }
}

/// Guards against a crash that is forgotten or counted twice because the row that records it had to be written again.
#[test]
fn crashes_survive_failed_writes() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(1, 1_000)]);
    rig.run(Duration::from_secs(1));
    rig.store.is_down = true;
    rig.run(RESTART_TIME + Duration::from_millis(500));
    rig.store.is_down = false;
    rig.run(Duration::from_secs(30));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert_eq!(crashes(&rig, deadly), 2);
    // The next owner does not start it again.
    let now = rig.fleet.now;
    rig.take_over(now);
    rig.run(Duration::from_secs(10));
    assert_eq!(crashes(&rig, deadly), 2);
}

/// Guards against crashes that are not counted because the worker restarts only after its lease has lapsed.
#[test]
fn crashes_of_workers_that_are_down_for_longer_than_a_lease_are_counted() {
    let mut rig = Rig::new(Fleet::new(12, 4_000));
    rig.fleet.restart_time = Some(LEASE + Duration::from_secs(4));
    rig.run(Duration::from_secs(1));
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(1, 1_000)]);
    rig.run(Duration::from_secs(90));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert!(starts_after_third_crash(&rig, deadly) < 3, "{:?}", rig.fleet.crashes);
}

/// Guards against a start without an answer that arrives late, crashes the worker and is not counted.
#[test]
fn late_starts_that_crash_a_worker_are_counted() {
    for delay_ms in [60, 300, 1_500] {
        let mut rig = Rig::new(Fleet::new(6, 4_000));
        rig.run(Duration::from_secs(1));
        for index in 0..6 {
            rig.fleet.get(index).start_delay = Some(Duration::from_millis(delay_ms));
        }
        let (id, deadly) = submit_deadly(&mut rig, 7, vec![step(1, 1_000)]);
        rig.run(Duration::from_secs(90));
        let crashed = crashes(&rig, deadly);
        // A start that the stop overtakes is refused, so the task may also never crash a worker.
        assert!(crashed <= 3, "delay {delay_ms} ms: {:?}", rig.fleet.crashes);
        assert!(
            crashed < 2 || rig.stored_state(id) == Some(JobState::Failed),
            "delay {delay_ms} ms: {:?}",
            rig.fleet.crashes
        );
    }
}

/// Guards against speculative runs of a task that crashes its workers: the worker of each run becomes silent, which
/// asks for the next run.
#[test]
fn a_suspect_gets_no_speculative_run() {
    let mut rig = Rig::new(Fleet::new(8, 4_000));
    rig.run(Duration::from_secs(1));
    let steps = vec![StepSpec { is_speculative: true, ..step(1, 1_000) }];
    let (id, deadly) = submit_deadly(&mut rig, 7, steps);
    rig.run(Duration::from_secs(60));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert!(crashes(&rig, deadly) <= 3, "{:?}", rig.fleet.crashes);
}

/// Guards against a long-running task that crashes its workers without end, since its failures are unlimited.
#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![long_running(2, 1_000)]);
    rig.fleet.durations.insert(id, Duration::from_secs(3_600));
    rig.run(Duration::from_secs(60));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert!(crashes(&rig, deadly) <= 3, "{:?}", rig.fleet.crashes);
}

/// Guards against a long-running task that fails for unrelated crashes in the course of hours.
#[test]
fn a_long_running_task_that_outlives_several_workers_is_kept() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let id = rig.submit(7, spec(vec![long_running(1, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(3_600));
    for _ in 0..5 {
        rig.run(Duration::from_secs(10));
        let (_, _, worker) = rig.starts_of(id).pop().unwrap();
        rig.fleet.crash(&worker);
    }
    rig.run(Duration::from_secs(10));
    assert_eq!(rig.stored_state(id), Some(JobState::Running));
    assert_eq!(rig.starts_of(id).len(), 6);
}

/// Guards against a gang whose members crash their workers: its members share their runs, so they are given up
/// together, and several members on one worker count as one crash.
#[test]
fn a_gang_that_crashes_its_workers_is_given_up() {
    let mut rig = Rig::new(Fleet::new(12, 4_000));
    rig.run(Duration::from_secs(1));
    let gang = StepSpec { is_gang: true, ..step(3, 1_000) };
    let (id, deadly) = submit_deadly(&mut rig, 7, vec![gang]);
    rig.fleet.durations.insert(id, Duration::from_secs(20));
    rig.run(Duration::from_secs(90));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert_eq!(crashes(&rig, deadly), 2, "{:?}", rig.fleet.crashes);
    let runs: BTreeSet<u32> = rig.starts_of(id).iter().map(|(_, run, _)| *run).collect();
    assert_eq!(runs.len(), 2);
    rig.assert_no_breach();
}

/// Guards against a job with a schedule whose tasks crash workers in each occurrence.
#[test]
fn a_scheduled_job_with_a_task_that_crashes_its_workers_fails() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let schedule = Schedule { first_unix_ms: 1_500, interval_ms: 20_000, occurrences: 4 };
    let spec =
        JobSpec { payload: String::new(), steps: vec![step(1, 1_000)], schedule: Some(schedule) };
    let id = rig.submit(7, Rc::new(spec));
    for occurrence in 0..4 {
        let step = StepId { job: id, occurrence, step: 0 };
        rig.fleet.deadly.insert(JobTaskId { step, index: 0 });
    }
    rig.run(Duration::from_secs(90));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert_eq!(rig.fleet.crashes.len(), 2, "{:?}", rig.fleet.crashes);
}

/// Guards against crashes that are counted for workers that leave as announced.
#[test]
fn runs_on_draining_workers_are_not_counted_as_crashed() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(10));
    for _ in 0..5 {
        rig.run(Duration::from_secs(1));
        let (_, _, worker) = rig.starts_of(id).pop().unwrap();
        rig.fleet.workers.get_mut(&worker).unwrap().listing.is_draining = true;
        rig.run(Duration::from_millis(500));
        let left = rig.fleet.workers.get_mut(&worker).unwrap();
        left.restart(rig.fleet.now);
        left.listing.is_draining = false;
    }
    rig.run(Duration::from_secs(20));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    assert_eq!(rig.starts_of(id).len(), 6);
}

/// Guards against crashes that are counted for workers that were only unreachable: the lease of their runs lapses, and
/// they return as the same incarnation.
#[test]
fn runs_on_unreachable_workers_are_not_counted_as_crashed() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    rig.run(Duration::from_secs(1));
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(3));
    for _ in 0..5 {
        rig.run(Duration::from_secs(1));
        let (_, _, worker) = rig.starts_of(id).pop().unwrap();
        rig.fleet.workers.get_mut(&worker).unwrap().is_cut = true;
        rig.run(LEASE + Duration::from_secs(1));
        rig.fleet.workers.get_mut(&worker).unwrap().is_cut = false;
    }
    rig.run(Duration::from_secs(30));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
}

/// Guards against jobs that fail because a failure domain lost its power several times.
#[test]
fn the_crash_of_a_whole_domain_is_not_counted() {
    let mut rig = Rig::new(Fleet::new(24, 4_000));
    rig.run(Duration::from_secs(1));
    let ids: Vec<JobId> = (10..16).map(|id| rig.submit(id, spec(vec![step(8, 1_000)]))).collect();
    for id in &ids {
        rig.fleet.durations.insert(*id, Duration::from_secs(20));
    }
    for round in 0..6 {
        rig.run(Duration::from_secs(2));
        for index in (0..24).filter(|index| index % 3 == round % 3) {
            rig.fleet.crash(&worker_id(index));
        }
        rig.run(RESTART_TIME + Duration::from_millis(100));
    }
    rig.run(Duration::from_secs(60));
    for id in ids {
        assert_eq!(rig.stored_state(id), Some(JobState::Completed), "{id}");
    }
}

/// Guards against jobs that fail because many workers, spread over the fleet, crash behind a partition twice.
#[test]
fn crashes_of_many_workers_at_once_are_not_counted() {
    let mut rig = Rig::new(Fleet::new(40, 4_000));
    rig.run(Duration::from_secs(1));
    let ids: Vec<JobId> = (10..20).map(|id| rig.submit(id, spec(vec![step(8, 1_000)]))).collect();
    for id in &ids {
        rig.fleet.durations.insert(*id, Duration::from_secs(20));
    }
    for _ in 0..4 {
        rig.run(Duration::from_secs(2));
        let used: BTreeSet<_> = rig.fleet.starts.iter().rev().map(|(.., w)| w.clone()).collect();
        for worker in used.iter().take(8) {
            rig.fleet.crash(worker);
        }
        rig.run(RESTART_TIME + Duration::from_millis(100));
    }
    rig.run(Duration::from_secs(60));
    for id in ids {
        assert_eq!(rig.stored_state(id), Some(JobState::Completed), "{id}");
    }
}

/// Guards against jobs that fail because a failure domain lost its power together with the owner, twice: the next owner
/// finds all of its workers restarted at once.
#[test]
fn the_crash_of_a_domain_and_the_owner_is_not_counted() {
    let mut rig = Rig::new(Fleet::new(24, 4_000));
    rig.run(Duration::from_secs(1));
    let ids: Vec<JobId> = (10..16).map(|id| rig.submit(id, spec(vec![step(8, 1_000)]))).collect();
    for id in &ids {
        rig.fleet.durations.insert(*id, Duration::from_secs(20));
    }
    for round in 0..4 {
        rig.run(Duration::from_secs(2));
        for index in (0..24).filter(|index| index % 3 == round % 3) {
            rig.fleet.crash(&worker_id(index));
        }
        let now = rig.fleet.now;
        rig.take_over(now + LEASE * 2);
        rig.run(RESTART_TIME + Duration::from_millis(100));
    }
    rig.run(Duration::from_secs(60));
    for id in ids {
        assert_eq!(rig.stored_state(id), Some(JobState::Completed), "{id}");
    }
}

/// Guards against suspects that wait for one another for long: a job whose tasks were beside a crash completes soon.
#[test]
fn the_suspects_of_a_job_complete_soon() {
    let mut rig = Rig::new(Fleet::new(6, 8_000));
    rig.run(Duration::from_secs(1));
    let id = rig.submit(7, spec(vec![step(6, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_millis(800));
    rig.run(Duration::from_millis(300));
    let used: BTreeMap<_, _> = rig.starts_of(id).into_iter().map(|s| (s.2, s.0)).collect();
    rig.fleet.crash(used.keys().next().unwrap());
    rig.run(RESTART_TIME + Duration::from_secs(8));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    assert!(rig.starts_of(id).len() <= 12);
}

/// Guards against services that wait beside free resources, because the tasks of a crashed worker are tried one by one.
#[test]
fn long_running_tasks_start_soon_on_a_worker_that_is_back_from_a_crash() {
    for (jobs, tasks, active_ms) in [(24, 1, 5_000), (2, 12, 5_000), (24, 1, 1_000), (2, 12, 1_000)]
    {
        let mut rig = Rig::new(Fleet::new(6, 4_000));
        for id in 1..=jobs {
            let id = rig.submit(id, spec(vec![long_running(tasks, 1_000)]));
            rig.fleet.durations.insert(id, Duration::from_secs(1_000));
        }
        rig.run(Duration::from_millis(300 + active_ms));
        let now = rig.fleet.now;
        rig.fleet.get(0).restart(now);
        rig.run(Duration::from_secs(3));
        let runs = rig.fleet.get(0).runs.len();
        assert_eq!(runs, 4, "{jobs} jobs of {tasks} tasks, active for {active_ms} ms");
    }
}

/// Guards against a task that waits beside free resources of a worker on which a suspect is on trial.
#[test]
fn an_overdue_task_starts_beside_a_suspect_on_trial() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    let suspect = rig.submit(1, spec(vec![long_running(1, 1_000)]));
    rig.fleet.durations.insert(suspect, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(200));
    let on = rig.starts_of(suspect)[0].2.clone();
    let full = rig.submit(2, spec(vec![long_running(20, 1_000)]));
    rig.fleet.durations.insert(full, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(200));
    let now = rig.fleet.now;
    rig.fleet.workers.get_mut(&on).unwrap().restart(now);
    let waiting = rig.submit(3, spec(vec![long_running(2, 1_000)]));
    rig.fleet.durations.insert(waiting, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(2_200));
    assert_eq!(rig.starts_of(waiting).len(), 2);
    rig.assert_no_breach();
}

/// Guards against tasks that crash as many workers at the same time as a loss of power does, and are never counted.
#[test]
fn tasks_that_crash_many_workers_at_once_are_given_up() {
    let mut rig = Rig::new(Fleet::new(48, 4_000));
    rig.run(Duration::from_secs(1));
    let alone = StepSpec { max_per_worker: Some(1), ..step(1, 3_000) };
    let deadly: Vec<_> =
        (1..=12).map(|id| submit_deadly(&mut rig, id, vec![alone.clone()])).collect();
    let gang = StepSpec { is_gang: true, max_per_worker: Some(1), ..step(8, 3_000) };
    let gang = rig.submit(20, spec(vec![gang]));
    rig.fleet.deadly.extend((0..8).map(|index| task(gang, 0, index)));
    rig.run(Duration::from_secs(120));
    for (id, task) in deadly {
        assert_eq!(rig.stored_state(id), Some(JobState::Failed), "{id}");
        assert!(starts_after_third_crash(&rig, task) < 3, "{:?}", rig.fleet.crashes);
    }
    assert_eq!(rig.stored_state(gang), Some(JobState::Failed));
    assert!(starts_after_third_crash(&rig, task(gang, 0, 0)) < 3);
}

/// Guards against a sound job that is shown as failed: a start that was lost when many workers crashed at once counted
/// as a crash under its task, and one further crash was enough to give the task up.
#[test]
fn a_lost_start_among_many_crashes_does_not_convict() {
    let mut rig = Rig::new(Fleet::new(60, 1_000));
    rig.run(Duration::from_secs(1));
    for worker in rig.fleet.workers.values_mut() {
        worker.start_delay = Some(Duration::from_secs(600));
    }
    let ids: Vec<JobId> = (0..7).map(|id| rig.submit(id, spec(vec![step(1, 1_000)]))).collect();
    for id in &ids {
        rig.fleet.durations.insert(*id, Duration::from_secs(40));
    }
    // The workers crash before the starts reach them, 7 of 60 at about the same time.
    rig.run(TICK * 2);
    let lost: Vec<_> =
        rig.fleet.workers.values().filter(|worker| !worker.late.is_empty()).collect();
    let lost: Vec<_> = lost.iter().map(|worker| worker.listing.id.clone()).collect();
    assert_eq!(lost.len(), 7);
    for worker in rig.fleet.workers.values_mut() {
        worker.start_delay = None;
    }
    for worker in &lost {
        rig.fleet.crash(worker);
    }
    rig.run(RESTART_TIME + Duration::from_secs(7));
    // A worker crashes under each of the tasks, one after the other.
    for id in &ids {
        let (task, _, worker) = rig.starts_of(*id).pop().unwrap();
        assert!(rig.fleet.workers[&worker].runs.contains_key(&task));
        rig.fleet.crash(&worker);
        rig.run(RESTART_TIME + Duration::from_secs(1));
    }
    rig.run(Duration::from_secs(60));
    for id in &ids {
        assert_eq!(rig.stored_state(*id), Some(JobState::Completed), "{id}");
    }
    rig.assert_no_breach();
}

/// Guards against a task that crashes its workers and is started without end because none of its starts is answered
/// and other workers crash at the same time.
#[test]
fn a_task_that_crashes_its_workers_amid_many_crashes_is_given_up() {
    let mut rig = Rig::new(Fleet::new(60, 1_000));
    rig.run(Duration::from_secs(1));
    let deadly: Vec<_> =
        (0..7).map(|id| submit_deadly(&mut rig, id, vec![step(1, 1_000)])).collect();
    rig.run(Duration::from_secs(60));
    for (id, task) in deadly {
        assert_eq!(rig.stored_state(id), Some(JobState::Failed), "{id}");
        assert!(starts_after_third_crash(&rig, task) < 3, "{:?}", rig.fleet.crashes);
    }
    rig.assert_no_breach();
}

/// Guards against sound jobs that are shown as failed because many workers crash at once, twice: each task was the only
/// one on its worker both times, but so were those on the other workers.
#[test]
fn two_crashes_among_many_do_not_convict() {
    let mut rig = Rig::new(Fleet::new(60, 1_000));
    rig.run(Duration::from_secs(1));
    let ids: Vec<JobId> = (0..7).map(|id| rig.submit(id, spec(vec![step(1, 1_000)]))).collect();
    for id in &ids {
        rig.fleet.durations.insert(*id, Duration::from_secs(10));
    }
    for _ in 0..2 {
        rig.run(Duration::from_millis(1_500));
        let used = rig.fleet.workers.iter().filter(|(_, worker)| !worker.runs.is_empty());
        let used: Vec<_> = used.map(|(id, _)| id.clone()).collect();
        assert_eq!(used.len(), 7);
        for worker in &used {
            rig.fleet.crash(worker);
        }
        rig.run(RESTART_TIME);
    }
    rig.run(Duration::from_secs(20));
    for id in &ids {
        assert_eq!(rig.stored_state(*id), Some(JobState::Completed), "{id}");
    }
    rig.assert_no_breach();
}
