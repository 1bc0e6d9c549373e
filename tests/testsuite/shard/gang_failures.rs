//! Failed runs of gangs. All members share a run, so a run that fails is one failure, however many members report it.

use std::collections::BTreeSet;
use std::time::Duration;

use plantainlever::job::{JobId, JobState, JobTaskId, StepId, StepSpec};
use plantainlever::shard::report::EndCause;

use super::rig::{Fleet, Rig, policy, spec, step};

const MEMBERS: u32 = 4;

/// Time after which the owner has read and stored the ends of a run.
const STORED: Duration = Duration::from_millis(400);

fn gang() -> StepSpec {
    StepSpec { is_gang: true, ..step(MEMBERS, 1_000) }
}

/// Submits a job with a gang that runs until the test ends it, and starts it.
fn start_gang(rig: &mut Rig, before: Vec<StepSpec>) -> JobId {
    let mut steps = before;
    steps.push(gang());
    let id = rig.submit(7, spec(steps));
    rig.fleet.durations.insert(id, Duration::from_secs(600));
    rig.run(STORED);
    id
}

fn members(rig: &Rig, id: JobId) -> Vec<JobTaskId> {
    let starts = rig.starts_of(id);
    let gang = starts.iter().map(|(task, ..)| task.step.step).max().unwrap();
    let members: BTreeSet<_> = starts.iter().map(|(task, ..)| *task).collect();
    members.into_iter().filter(|task| task.step.step == gang).collect()
}

fn end(rig: &mut Rig, task: &JobTaskId, cause: EndCause) {
    for worker in rig.fleet.workers.values_mut() {
        worker.end(*task, cause);
    }
}

/// Numbers of the runs of the gang that were started.
fn runs(rig: &Rig, id: JobId) -> BTreeSet<u32> {
    let members = members(rig, id);
    let starts = rig.starts_of(id);
    starts.iter().filter(|(task, ..)| members.contains(task)).map(|(_, run, _)| *run).collect()
}

fn take_over(rig: &mut Rig) {
    let now = rig.fleet.now;
    rig.take_over(now + Duration::from_secs(1));
}

/// Fails runs of the gang with `fail` until the job has ended, and checks that it was after all attempts and no more.
fn assert_fails_after_all_attempts(
    rig: &mut Rig,
    id: JobId,
    fail: impl Fn(&mut Rig, &[JobTaskId]),
) {
    let attempts = policy().attempts as usize;
    for failed in 1..=attempts {
        assert_eq!(runs(rig, id).len(), failed);
        assert_eq!(rig.stored_state(id), Some(JobState::Running), "{failed} of {attempts}");
        let members = members(rig, id);
        fail(rig, &members);
        rig.run(Duration::from_secs(2));
    }
    assert_eq!(runs(rig, id).len(), attempts);
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    rig.assert_no_breach();
}

/// Guards against a gang that is given up after one run, because the failures of its members were added up.
#[test]
fn the_failures_of_all_members_in_one_run_count_once() {
    let mut rig = Rig::new(Fleet::new(8, 4_000));
    let id = start_gang(&mut rig, Vec::new());
    assert_fails_after_all_attempts(&mut rig, id, |rig, members| {
        for task in members {
            end(rig, task, EndCause::Failed);
        }
    });
}

/// Guards against a run that is not counted because only one member failed.
#[test]
fn a_run_counts_if_one_member_fails_and_the_others_are_broken() {
    let mut rig = Rig::new(Fleet::new(8, 4_000));
    let id = start_gang(&mut rig, Vec::new());
    assert_fails_after_all_attempts(&mut rig, id, |rig, members| {
        end(rig, &members[1], EndCause::Failed);
        for task in members {
            end(rig, task, EndCause::GangBroken);
        }
    });
}

/// Guards against a run that is counted again for each report of its members' ends.
#[test]
fn failures_of_one_run_that_arrive_one_by_one_count_once() {
    let mut rig = Rig::new(Fleet::new(8, 4_000));
    let id = start_gang(&mut rig, Vec::new());
    assert_fails_after_all_attempts(&mut rig, id, |rig, members| {
        for task in members {
            end(rig, task, EndCause::Failed);
            rig.run(STORED);
        }
    });
}

/// Guards against a run that counts twice, or not at all, because the owner changes between the ends of its members,
/// with and without an acknowledgement of those that were stored.
#[test]
fn a_failed_run_counts_once_over_a_change_of_owner() {
    for keeps_ends in [false, true] {
        for stores_ends in [false, true] {
            let mut rig = Rig::new(Fleet::new(12, 4_000));
            let id = start_gang(&mut rig, Vec::new());
            for worker in rig.fleet.workers.values_mut() {
                worker.keeps_ends = keeps_ends;
            }
            assert_fails_after_all_attempts(&mut rig, id, |rig, members| {
                rig.store.is_down = !stores_ends;
                for task in &members[..2] {
                    end(rig, task, EndCause::Failed);
                }
                rig.run(STORED);
                rig.store.is_down = false;
                take_over(rig);
                rig.run(STORED);
                for task in &members[2..] {
                    end(rig, task, EndCause::Failed);
                }
                rig.run(Duration::from_secs(3));
            });
        }
    }
}

/// Guards against a run that counts twice because its members are recorded in two rows, of which the owner stored one.
#[test]
fn a_failed_run_counts_once_if_its_members_are_in_two_rows() {
    let mut rig = Rig::new(Fleet::new(60, 8_000));
    rig.store.batch = 1;
    // Rows have 200 tasks, so the gang has two members in each of two rows.
    let id = rig.submit(7, spec(vec![step(198, 100), gang()]));
    rig.fleet.durations.insert(id, Duration::from_secs(600));
    rig.run(Duration::from_secs(2));
    assert_fails_after_all_attempts(&mut rig, id, |rig, members| {
        for task in members {
            end(rig, task, EndCause::Failed);
        }
        for _ in 0..8 {
            rig.round();
        }
        take_over(rig);
        rig.run(Duration::from_secs(4));
    });
}

/// Guards against a gang that goes back to the worker on which it has failed, while others are idle.
#[test]
fn no_member_of_a_gang_returns_to_the_worker_on_which_one_has_failed() {
    let mut rig = Rig::new(Fleet::new(4, 4_000));
    let id = start_gang(&mut rig, Vec::new());
    let members = members(&rig, id);
    let (_, _, failed) = rig.starts_of(id)[1].clone();
    end(&mut rig, &members[1], EndCause::Failed);
    for task in &members {
        end(&mut rig, task, EndCause::GangBroken);
    }
    rig.run(STORED);
    let starts = rig.starts_of(id);
    assert_eq!(starts.len(), 8);
    assert!(starts[4..].iter().all(|(.., worker)| *worker != failed), "{starts:?}");
}

/// Guards against a sound gang that is given up because two of its workers were lost in one run.
#[test]
fn two_workers_that_crash_in_one_run_count_as_one_crash_of_the_gang() {
    let mut rig = Rig::new(Fleet::new(15, 2_000));
    rig.fleet.restart_time = Some(Duration::from_secs(1));
    let id = start_gang(&mut rig, Vec::new());
    let used: BTreeSet<_> = rig.starts_of(id).into_iter().map(|(.., worker)| worker).collect();
    assert_eq!(used.len(), 2);
    for worker in &used {
        rig.fleet.crash(worker);
    }
    rig.fleet.durations.insert(id, Duration::from_secs(4));
    rig.run(Duration::from_secs(20));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    rig.assert_no_breach();
}

/// Guards against a gang that crashes its workers and is started without end.
#[test]
fn a_gang_that_crashes_all_its_workers_is_given_up_after_two_runs() {
    let mut rig = Rig::new(Fleet::new(15, 2_000));
    rig.fleet.restart_time = Some(Duration::from_secs(1));
    let id = rig.submit(7, spec(vec![gang()]));
    let members = (0..MEMBERS as u16)
        .map(|index| JobTaskId { step: StepId { job: id, occurrence: 0, step: 0 }, index });
    rig.fleet.deadly.extend(members);
    rig.run(Duration::from_secs(30));
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    assert_eq!(runs(&rig, id).len(), 2);
    rig.assert_no_breach();
}
