//! Tasks that wait although a worker could run them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobState, Progress, StepSpec};
use plantainlever::shard::report::{EndCause, WorkerListing};

use super::rig::{Fleet, Rig, accepted, listing, spec, step, worker_id};

fn long_running(count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu_millis) }
}

/// Starts `count` workers of 4 cores of which the first is full, submits two jobs that need the rest, and lets all runs
/// on the other workers fail for `fault`. Returns the jobs.
fn run_with_failing_workers(rig: &mut Rig, workers: u32, fault: Duration) -> [JobId; 2] {
    let full = rig.submit(1, spec(vec![long_running(4, 1_000)]));
    rig.fleet.durations.insert(full, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(300));
    for index in 1..workers {
        rig.fleet.add(listing(index, 4_000));
        rig.fleet.get(index).fails_all = true;
    }
    let count = 2 * (workers - 1);
    let jobs = [2, 3].map(|id| rig.submit(id, spec(vec![long_running(count, 1_000)])));
    rig.run(fault);
    for index in 1..workers {
        rig.fleet.get(index).fails_all = false;
    }
    for id in jobs {
        rig.fleet.durations.insert(id, Duration::from_secs(1_000));
    }
    jobs
}

/// Guards against healthy workers that get no tasks after a fault while tasks wait for resources.
#[test]
fn a_worker_gets_tasks_within_two_seconds_of_the_end_of_its_fault() {
    for fault_s in [1, 5, 12, 40] {
        let mut rig = Rig::new(Fleet::new(1, 4_000));
        run_with_failing_workers(&mut rig, 4, Duration::from_secs(fault_s));
        rig.run(Duration::from_secs(2));
        for index in 1..4 {
            assert_eq!(rig.fleet.get(index).runs.len(), 4, "worker {index}, fault {fault_s} s");
        }
        rig.assert_no_breach();
    }
}

/// Guards against a healthy worker that is not used until a probe that takes minutes has ended.
#[test]
fn a_long_probe_ends_the_probation_by_its_progress() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    rig.fleet.get(0).fails_all = true;
    for id in [1, 2] {
        rig.submit(id, spec(vec![long_running(1, 1_000)]));
    }
    rig.run(Duration::from_millis(400));
    for id in [1, 2] {
        rig.owner.on_cancel(rig.fleet.now, JobId(id));
    }
    rig.fleet.get(0).fails_all = false;
    let long = rig.submit(3, spec(vec![step(4, 1_000)]));
    rig.fleet.durations.insert(long, Duration::from_secs(300));
    for percent in [10, 20] {
        rig.fleet.get(0).percent = percent;
        rig.run(Duration::from_millis(1_250));
    }
    assert_eq!(rig.fleet.get(0).runs.len(), 4);
}

/// Guards against a worker that keeps failing and gets many tasks meanwhile.
#[test]
fn a_failing_worker_gets_one_task_at_a_time() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    run_with_failing_workers(&mut rig, 2, Duration::from_secs(2));
    rig.fleet.get(1).fails_all = true;
    let before = rig.fleet.starts.len();
    for id in [2, 3] {
        rig.fleet.durations.insert(JobId(id), Duration::from_millis(100));
    }
    rig.run(Duration::from_secs(10));
    let starts = rig.fleet.starts[before..].iter().filter(|(.., w)| *w == worker_id(1)).count();
    assert!(starts <= 20, "{starts} starts in 10 s");
}

/// Guards against workers full of long-running tasks that are put on probation for failures far apart.
#[test]
fn rare_failures_put_no_worker_on_probation() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    for id in 1..=4 {
        let id = rig.submit(id, spec(vec![long_running(1, 1_000)]));
        rig.fleet.durations.insert(id, Duration::from_secs(1_000));
    }
    rig.run(Duration::from_millis(300));
    for index in 0..3 {
        let task = *rig.fleet.get(0).runs.keys().nth(index).unwrap();
        rig.fleet.get(0).end(task, EndCause::Failed);
        rig.run(Duration::from_millis(200));
        assert_eq!(rig.owner.load(rig.fleet.now).usable_workers, 1, "after failure {index}");
        rig.run(Duration::from_secs(15));
    }
}

/// Guards against a worker that stays on probation for the failures of its previous incarnation.
#[test]
fn a_restarted_worker_is_not_on_probation() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    run_with_failing_workers(&mut rig, 2, Duration::from_secs(12));
    let now = rig.fleet.now;
    rig.fleet.get(1).restart(now);
    rig.run(Duration::from_millis(400));
    assert_eq!(rig.fleet.get(1).runs.len(), 4);
}

/// Guards against a long-running task that is never tried, because many steps that are too large precede it in each
/// pass.
#[test]
fn a_task_behind_many_steps_without_a_worker_starts_at_once() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    // Each step asks for less than the one before, so that none can be skipped for the misses of others.
    for id in 1..100 {
        rig.submit(id, spec(vec![long_running(1, 5_000 - 2 * id)]));
    }
    rig.run(Duration::from_secs(1));
    let small = rig.submit(0xe0, spec(vec![long_running(1, 1_000)]));
    rig.fleet.durations.insert(small, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(200));
    assert_eq!(rig.starts_of(small).len(), 1);
}

/// Guards against a speculative run that finds no other worker and makes steps of the same size be skipped.
#[test]
fn a_miss_for_its_own_run_skips_no_other_step() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let copied = StepSpec { is_speculative: true, ..step(1, 1_000) };
    let copied = rig.submit(1, spec(vec![copied]));
    rig.fleet.durations.insert(copied, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(300));
    rig.fleet.get(0).is_cut = true;
    rig.run(Duration::from_millis(100));
    rig.fleet.get(0).is_cut = false;
    rig.run(Duration::from_secs(1));
    let other = rig.submit(2, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_millis(200));
    assert_eq!((rig.starts_of(copied).len(), rig.starts_of(other).len()), (1, 1));
}

/// Guards against jobs with high IDs whose rows are not written while those with lower IDs change all the time.
#[test]
fn every_changed_row_is_written_while_others_change_all_the_time() {
    let mut rig = Rig::new(Fleet::new(4, 8_000));
    rig.store.batch = 1;
    let after = |index: u16| index.checked_sub(1).into_iter().collect();
    let chain = (0..60).map(|index| StepSpec { after: after(index), ..step(1, 100) });
    for id in 1..17 {
        rig.submit(id, spec(chain.clone().collect()));
    }
    rig.run(Duration::from_secs(1));
    let last = rig.submit(0xff, spec(vec![long_running(1, 100)]));
    rig.fleet.durations.insert(last, Duration::from_secs(1_000));
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.starts_of(last).len(), 1);
}

/// Guards against a job that runs again because its end was forgotten before those of older jobs.
#[test]
fn the_newest_of_many_ended_jobs_is_not_forgotten_first() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let spec = spec(vec![step(1, 1_000)]);
    let ended = Progress { state: JobState::Completed, ..Progress::new() }.encode();
    for id in (0..=20_000).rev() {
        let job = accepted(JobId(id), Rc::clone(&spec));
        rig.owner.on_job_with_progress(job, &ended.clone().into()).unwrap();
    }
    rig.owner.on_job(accepted(JobId(0), spec));
    assert_eq!(rig.owner.load(rig.fleet.now).jobs, 0);
}

/// Runs rounds for `length`; runs of the jobs end as failed 300 ms after their start, on any worker.
fn run_with_failing_jobs(rig: &mut Rig, length: Duration, failing: &[JobId]) {
    let until = rig.fleet.now + length;
    let mut begun = BTreeMap::new();
    while rig.fleet.now < until {
        let now = rig.fleet.now;
        for worker in rig.fleet.workers.values_mut() {
            let runs: Vec<_> = worker.runs.iter().map(|(task, run)| (*task, run.number)).collect();
            for (task, run) in runs.into_iter().filter(|(task, _)| failing.contains(&task.step.job))
            {
                if now - *begun.entry((task, run)).or_insert(now) >= Duration::from_millis(300) {
                    worker.end(task, EndCause::Failed);
                }
            }
        }
        rig.round();
    }
}

/// Puts the worker of a fleet with one worker on probation by two jobs that fail there and are cancelled then.
fn put_on_probation(rig: &mut Rig) {
    let jobs = [1, 2].map(|id| rig.submit(id, spec(vec![long_running(1, 1_000)])));
    for id in jobs {
        rig.fleet.durations.insert(id, Duration::from_secs(1_000));
    }
    run_with_failing_jobs(rig, Duration::from_millis(700), &jobs);
    for id in jobs {
        rig.owner.on_cancel(rig.fleet.now, id);
    }
    assert_eq!(rig.owner.load(rig.fleet.now).usable_workers, 0);
}

/// Guards against a worker that stays on probation because every waiting task has failed there.
#[test]
fn a_task_that_has_failed_may_end_the_probation() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    rig.fleet.get(0).fails_all = true;
    let jobs = [1, 2].map(|id| rig.submit(id, spec(vec![step(1, 1_000)])));
    rig.run(Duration::from_millis(250));
    rig.fleet.get(0).fails_all = false;
    rig.run(Duration::from_secs(3));
    assert!(jobs.iter().all(|id| rig.store.ended.contains(id)));
}

/// Guards against a worker that stays on probation because only gangs wait for it.
#[test]
fn a_gang_may_end_the_probation() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    put_on_probation(&mut rig);
    let gang = rig.submit(3, spec(vec![StepSpec { is_gang: true, ..step(2, 1_000) }]));
    rig.run(Duration::from_secs(3));
    assert!(rig.store.ended.contains(&gang));
}

/// Guards against jobs that fail by their own fault and take every probe, so that other tasks do not run.
#[test]
fn tasks_that_have_not_failed_are_the_first_probes() {
    let mut rig = Rig::new(Fleet::new(1, 16_000));
    let good = rig.submit(0xe0, spec(vec![long_running(4, 1_000)]));
    rig.fleet.durations.insert(good, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(300));
    let failing = [1, 2].map(|id| rig.submit(id, spec(vec![long_running(1, 1_000)])));
    for id in failing {
        rig.fleet.durations.insert(id, Duration::from_secs(1_000));
    }
    run_with_failing_jobs(&mut rig, Duration::from_secs(1), &failing);
    let task = *rig.fleet.get(0).runs.keys().find(|task| task.step.job == good).unwrap();
    rig.fleet.get(0).end(task, EndCause::Stopped);
    run_with_failing_jobs(&mut rig, Duration::from_secs(3), &failing);
    assert_eq!(rig.starts_of(good).len(), 5);
}

/// Guards against a best-effort probe that is halted beside a serving task and keeps all others from its worker.
#[test]
fn a_throttled_probe_leaves_its_place_to_another_task() {
    let mut rig = Rig::new(Fleet::new(1, 16_000));
    let image = |name: &str| Some(name.to_owned());
    let serving = long_running(1, 4_000);
    let serving = StepSpec { tail_target_ms: Some(50), image: image("service"), ..serving };
    let serving = rig.submit(9, spec(vec![serving]));
    rig.fleet.durations.insert(serving, Duration::from_secs(1_000));
    rig.fleet.get(0).tail_ms = 10;
    rig.run(Duration::from_millis(400));
    put_on_probation(&mut rig);
    rig.fleet.get(0).percent = 0;
    let batch = StepSpec { uses_leftover_cpu: true, image: image("batch"), ..step(1, 2_000) };
    let batch = rig.submit(4, spec(vec![batch]));
    rig.fleet.durations.insert(batch, Duration::from_secs(1_000));
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(batch).len(), 1);
    rig.fleet.get(0).tail_ms = 80;
    let waiting = rig.submit(5, spec(vec![long_running(1, 1_000)]));
    rig.fleet.durations.insert(waiting, Duration::from_secs(1_000));
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.starts_of(waiting).len(), 1);
}

/// Guards against a pass that ends at the same step each time, because those before it examine many workers in vain.
#[test]
fn a_task_behind_steps_that_examine_many_workers_starts() {
    let mut rig = Rig::new(Fleet::default());
    for index in 0..600 {
        let rack = format!("rack-{}", index / 20);
        rig.fleet
            .add(WorkerListing { labels: vec!["a".to_owned(), rack], ..listing(index, 4_000) });
    }
    rig.run(Duration::from_millis(300));
    let without_worker =
        StepSpec { required_label: Some("none".to_owned()), ..long_running(2, 1_000) };
    for id in 1..4 {
        rig.submit(id, spec(vec![without_worker.clone()]));
    }
    let gang = StepSpec { is_gang: true, is_tightly_coupled: true, ..without_worker };
    rig.submit(4, spec(vec![gang]));
    let last = rig.submit(0xe0, spec(vec![long_running(1, 1_000)]));
    rig.fleet.durations.insert(last, Duration::from_secs(1_000));
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.starts_of(last).len(), 1);
}

/// Guards against services that stay incomplete while the resources that become free go to new ones: a task of a
/// service that had lost its run waited for 30 s.
#[test]
fn a_task_that_has_lost_its_run_goes_before_new_ones_and_later_ones() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let [first, second] = [0xf0, 0xe0].map(|id| rig.submit(id, spec(vec![long_running(2, 1_000)])));
    for id in [first, second] {
        rig.fleet.durations.insert(id, Duration::from_secs(1_000));
    }
    rig.run(Duration::from_millis(300));
    let new = rig.submit(1, spec(vec![long_running(2, 1_000)]));
    rig.fleet.durations.insert(new, Duration::from_secs(1_000));
    rig.owner.allow_starts(false);
    for id in [first, second] {
        let task = *rig.fleet.get(0).runs.keys().find(|task| task.step.job == id).unwrap();
        rig.fleet.get(0).end(task, EndCause::Stopped);
        rig.run(Duration::from_millis(100));
    }
    rig.fleet.get(0).listing.capacity.cpu_millis = 3_000;
    rig.run(Duration::from_millis(100));
    rig.owner.allow_starts(true);
    rig.run(Duration::from_millis(100));
    assert_eq!([first, second, new].map(|id| rig.starts_of(id).len()), [3, 2, 0]);
}

/// Guards against a new owner that takes tasks that have lost a run for new ones.
#[test]
fn a_new_owner_places_tasks_that_have_lost_a_run_before_new_ones() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let displaced = rig.submit(0xf0, spec(vec![long_running(4, 1_000)]));
    rig.fleet.durations.insert(displaced, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(300));
    let new = rig.submit(1, spec(vec![long_running(2, 1_000)]));
    rig.fleet.durations.insert(new, Duration::from_secs(1_000));
    rig.run(Duration::from_millis(100));
    rig.owner.allow_starts(false);
    let task = *rig.fleet.get(0).runs.keys().next().unwrap();
    rig.fleet.get(0).end(task, EndCause::Failed);
    rig.run(Duration::from_millis(300));
    let lapsed = rig.fleet.now;
    rig.take_over(lapsed);
    rig.run(Duration::from_millis(300));
    assert_eq!([displaced, new].map(|id| rig.starts_of(id).len()), [5, 0]);
}
