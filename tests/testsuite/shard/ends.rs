//! Ended runs: order of steps, failures, acknowledgements and the end of jobs.

use std::time::Duration;

use plantainlever::job::progress::Progress;
use plantainlever::job::{JobId, JobState};
use plantainlever::shard::report::EndCause;

use super::rig::{Fleet, Rig, spec, step};

fn state(rig: &Rig, id: JobId) -> JobState {
    Progress::decode_state(&rig.store.rows[&id]).unwrap()
}

/// Guards against a step that starts before the steps it depends on have succeeded.
#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut rig = Rig::new(Fleet::new(2, 8_000));
    let mut second = step(3, 1_000);
    second.after = vec![0];
    let id = rig.submit(7, spec(vec![step(4, 1_000), second]));
    rig.run(Duration::from_secs(2));
    let steps: Vec<u16> = rig.starts_of(id).iter().map(|(task, ..)| task.step.step).collect();
    assert_eq!(steps, [0, 0, 0, 0, 1, 1, 1]);
    assert_eq!(state(&rig, id), JobState::Completed);
    rig.assert_no_breach();
}

/// Guards against a start before the job's row is stored: a new owner would not know of the run and start the task
/// again.
#[test]
fn nothing_starts_while_the_row_cannot_be_written() {
    let mut rig = Rig::new(Fleet::new(2, 8_000));
    rig.store.is_down = true;
    let id = rig.submit(7, spec(vec![step(2, 1_000)]));
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(id), []);
    rig.store.is_down = false;
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(id).len(), 2);
}

/// Guards against an end that its worker forgets before it is stored. After a failed write, a smaller batch
/// acknowledged ends of jobs that it did not contain, and a new owner ran their tasks again.
#[test]
fn ends_are_acknowledged_only_once_all_their_rows_are_written() {
    let mut rig = Rig::new(Fleet::new(4, 8_000));
    let ids: Vec<JobId> = (0..12).map(|id| rig.submit(id, spec(vec![step(2, 1_000)]))).collect();
    rig.run(Duration::from_millis(100));
    rig.store.is_down = true;
    rig.run(Duration::from_millis(400));
    rig.store.is_down = false;
    rig.store.batch = 3;
    // One write succeeds, then the owner is replaced.
    rig.write();
    rig.round();
    let now = rig.fleet.now;
    rig.store.batch = 24;
    rig.take_over(now);
    rig.run(Duration::from_secs(3));
    rig.assert_no_breach();
    for id in ids {
        assert_eq!(state(&rig, id), JobState::Completed, "{id}");
    }
}

/// Guards against acknowledgements of ends that were not processed. A worker restarted with the same ID, and the stored
/// numbers of its earlier ends acknowledged the first ends of the new incarnation.
#[test]
fn ends_of_an_earlier_incarnation_acknowledge_none_of_the_next() {
    let mut rig = Rig::new(Fleet::new(1, 8_000));
    let first = rig.submit(1, spec(vec![step(4, 1_000)]));
    rig.run(Duration::from_millis(80));
    assert_eq!(rig.starts_of(first).len(), 4);
    rig.store.is_down = true;
    rig.run(Duration::from_millis(400));
    let now = rig.fleet.now;
    rig.fleet.get(0).restart(now);
    rig.run(Duration::from_millis(400));
    rig.store.is_down = false;
    rig.run(Duration::from_millis(400));
    let next = rig.submit(2, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(next).len(), 1);
    assert_eq!(state(&rig, next), JobState::Completed);
}

/// Guards against a job that fails before its attempts are used up. An owner stored a failure and was killed before it
/// acknowledged the end, and the next owner counted the same end again.
#[test]
fn a_failure_is_counted_once_over_a_change_of_owner() {
    let mut rig = Rig::new(Fleet::new(1, 8_000));
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(3));
    rig.run(Duration::from_millis(200));
    let (task, ..) = rig.starts_of(id)[0].clone();
    // The worker lists the same end to each owner, because none lives long enough to acknowledge it.
    rig.fleet.get(0).end(task, EndCause::Failed);
    let listed = rig.fleet.get(0).ended.clone();
    for _ in 0..5 {
        rig.run(Duration::from_millis(60));
        rig.fleet.get(0).ended.clone_from(&listed);
        let now = rig.fleet.now;
        rig.take_over(now);
    }
    rig.run(Duration::from_secs(5));
    assert_eq!(state(&rig, id), JobState::Completed);
}

/// Guards against more runs than a queue allows. A new owner read the newest failure of a task first and then ignored
/// an older one, listed by another worker, as already counted. Only a speculative task can have several failures that
/// are not stored, since each start waits for the row with the failures before it.
#[test]
fn failures_are_counted_in_any_order() {
    let mut rig = Rig::new(Fleet::new(3, 8_000));
    let mut twice = step(1, 1_000);
    twice.is_speculative = true;
    let id = rig.submit(7, spec(vec![twice]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_millis(200));
    let (task, _, first) = rig.starts_of(id)[0].clone();
    rig.fleet.workers.get_mut(&first).unwrap().is_cut = true;
    rig.run(Duration::from_secs(3));
    assert_eq!(rig.starts_of(id).len(), 2, "a copy");
    let (.., newest) = rig.starts_of(id).last().unwrap().clone();
    // From here on nothing is stored, so no end is acknowledged.
    rig.store.is_down = true;
    for worker in [&first, &newest] {
        rig.fleet.workers.get_mut(worker).unwrap().end(task, EndCause::Failed);
    }
    rig.run(Duration::from_millis(200));
    rig.store.is_down = false;
    let now = rig.fleet.now;
    rig.take_over(now + Duration::from_secs(1));
    // The workers answer one after the other, the one with the newest failure first.
    for worker in rig.fleet.workers.values_mut() {
        worker.is_cut = worker.listing.id != newest;
    }
    rig.run(Duration::from_millis(100));
    for worker in rig.fleet.workers.values_mut() {
        worker.is_cut = false;
    }
    for _ in 0..100 {
        rig.run(Duration::from_millis(60));
        for worker in rig.fleet.workers.values_mut().filter(|worker| !worker.runs.is_empty()) {
            worker.end(task, EndCause::Failed);
        }
    }
    assert_eq!(rig.starts_of(id).len(), 3);
    assert_eq!(state(&rig, id), JobState::Failed);
}

/// Guards against failures that are lost or counted twice when several owners follow each other: a worker lists its
/// ends to each new owner again.
#[test]
fn failures_are_counted_once_by_several_owners() {
    let mut rig = Rig::new(Fleet::new(3, 8_000));
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(60));
    rig.run(Duration::from_millis(200));
    for worker in rig.fleet.workers.values_mut() {
        worker.keeps_ends = true;
    }
    for failure in 0..3 {
        rig.store.is_down = failure == 2;
        let (task, _, worker) = rig.starts_of(id).last().unwrap().clone();
        rig.fleet.workers.get_mut(&worker).unwrap().end(task, EndCause::Failed);
        rig.run(Duration::from_millis(400));
    }
    assert_eq!(rig.starts_of(id).len(), 3);
    rig.store.is_down = false;
    let now = rig.fleet.now;
    rig.take_over(now + Duration::from_secs(1));
    rig.run(Duration::from_secs(4));
    assert_eq!(rig.starts_of(id).len(), 3);
    assert_eq!(state(&rig, id), JobState::Failed);
}

/// Guards against a job whose runs all fail that is retried for ever or holds up other jobs.
#[test]
fn a_job_whose_runs_all_fail_fails_after_its_attempts() {
    let mut rig = Rig::new(Fleet::new(6, 8_000));
    let hopeless = rig.submit(1, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(hopeless, Duration::from_secs(60));
    let fine = rig.submit(2, spec(vec![step(1, 1_000)]));
    for _ in 0..200 {
        rig.round();
        for worker in rig.fleet.workers.values_mut() {
            let own: Vec<_> =
                worker.runs.keys().filter(|task| task.step.job == hopeless).copied().collect();
            for task in own {
                worker.end(task, EndCause::Failed);
            }
        }
    }
    assert_eq!(rig.starts_of(hopeless).len(), 3);
    assert_eq!(state(&rig, hopeless), JobState::Failed);
    assert_eq!(state(&rig, fine), JobState::Completed);
}

/// Guards against tasks of a cancelled job that start or keep running.
#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(20, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(2));
    rig.run(Duration::from_millis(500));
    let before = rig.starts_of(id).len();
    assert_eq!(before, 8);
    let now = rig.fleet.now;
    rig.owner.on_cancel(now, id);
    rig.run(Duration::from_secs(6));
    assert_eq!(rig.starts_of(id).len(), before);
    assert!(rig.fleet.workers.values().all(|worker| worker.runs.is_empty()));
    assert_eq!(state(&rig, id), JobState::Cancelled);
}

/// Guards against a worker whose runs all fail and use up the attempts of jobs.
#[test]
fn jobs_complete_beside_a_worker_whose_runs_all_fail() {
    let mut rig = Rig::new(Fleet::new(6, 8_000));
    rig.fleet.get(2).fails_all = true;
    let ids: Vec<JobId> = (0..20).map(|id| rig.submit(id, spec(vec![step(2, 3_000)]))).collect();
    rig.run(Duration::from_secs(5));
    for id in ids {
        assert_eq!(state(&rig, id), JobState::Completed, "{id}");
    }
}

/// Guards against a job that is shown as completed while one of its tasks has not succeeded.
#[test]
fn a_job_is_shown_as_completed_only_once_all_its_tasks_have_succeeded() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let mut second = step(3, 1_000);
    second.after = vec![0];
    let id = rig.submit(7, spec(vec![step(5, 1_000), second]));
    let mut is_failed_once = false;
    while rig.fleet.now < Duration::from_secs(5) {
        rig.round();
        let is_completed =
            rig.store.rows.get(&id).is_some_and(|_| state(&rig, id) == JobState::Completed);
        let done = rig.fleet.done.iter().filter(|task| task.step.job == id).count();
        assert!(!is_completed || done == 8, "completed with {done} tasks");
        let runs = rig.fleet.workers.values_mut().find(|worker| !worker.runs.is_empty());
        if let Some(worker) = runs.filter(|_| !is_failed_once) {
            let task = *worker.runs.keys().next().unwrap();
            worker.end(task, EndCause::Failed);
            is_failed_once = true;
        }
    }
    assert!(is_failed_once);
    assert_eq!(state(&rig, id), JobState::Completed);
}
