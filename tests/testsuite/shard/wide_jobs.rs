//! Jobs with more tasks than a row of the store can describe.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use arbtest::arbtest;
use plantainlever::job::progress::{ProgressRow, TaskProgress};
use plantainlever::job::spec::Schedule;
use plantainlever::job::{JobId, JobSpec, JobState, JobTaskId, Progress, StepId};

use super::rig::{Fleet, ROW_BYTES, Rig, accepted, spec, step};

/// Submits a job of two steps of `count` small tasks, which all fit into the fleet at the same time.
fn submit_wide(rig: &mut Rig, count: u32, length: Duration) -> JobId {
    let id = rig.submit(7, spec(vec![step(count, 100), step(count, 100)]));
    rig.fleet.durations.insert(id, length);
    id
}

/// Guards against a row that grows beyond the store's limit with the tasks that run at the same time.
#[test]
fn rows_of_a_job_of_4000_tasks_stay_below_the_limit() {
    let mut rig = Rig::new(Fleet::new(24, 32_000));
    rig.store.batch = 48;
    let id = submit_wide(&mut rig, 2_000, Duration::from_secs(4));
    rig.run(Duration::from_secs(3));
    assert_eq!(rig.starts_of(id).len(), 4_000);
    assert!(rig.store.largest_row <= ROW_BYTES, "{}", rig.store.largest_row);
    rig.run(Duration::from_secs(4));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    rig.assert_no_breach();
}

/// Guards against tasks that run twice or are lost because a new owner does not read all rows of a job.
#[test]
fn a_new_owner_continues_a_wide_job() {
    let mut rig = Rig::new(Fleet::new(24, 32_000));
    let id = submit_wide(&mut rig, 1_000, Duration::from_secs(2));
    for length_ms in [60, 140, 700, 1_500] {
        rig.run(Duration::from_millis(length_ms));
        let now = rig.fleet.now;
        rig.take_over(now);
    }
    rig.run(Duration::from_secs(8));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    assert_eq!(rig.starts_of(id).len(), 2_000);
    rig.assert_no_breach();
}

/// Guards against a shard that can't recover a wide job that an earlier version has stored in a single row, at any
/// moment of the change to several rows.
#[test]
fn a_wide_job_in_a_single_row_is_divided_by_the_next_owner() {
    for rounds in [0, 1, 2, 3, 5, 50] {
        for batch in [2, 3, 48] {
            let mut rig = Rig::new(Fleet::new(24, 32_000));
            let id = submit_wide(&mut rig, 600, Duration::from_secs(3));
            rig.run(Duration::from_millis(600));
            assert_eq!(rig.starts_of(id).len(), 1_200);
            // Replace the rows by what an earlier version would have stored.
            let spec = Rc::clone(&rig.store.jobs[&id]);
            let parts = rig.store.parts.remove(&id).unwrap();
            let mut progress = Progress::decode_rows(&spec, &rig.store.rows[&id], &parts).unwrap();
            assert!(progress.tasks_per_row.is_some());
            progress.tasks_per_row = None;
            rig.store.rows.insert(id, progress.encode());
            rig.store.batch = batch;
            let now = rig.fleet.now;
            rig.take_over(now);
            for _ in 0..rounds {
                rig.round();
            }
            // The owner is replaced during the change. Some workers are silent, so their tasks are known from rows only.
            for worker in rig.fleet.workers.values_mut().filter(|worker| !worker.runs.is_empty()) {
                worker.is_cut = true;
            }
            let later = rig.fleet.now + Duration::from_secs(6);
            rig.take_over(later);
            rig.run(Duration::from_secs(1));
            rig.store.batch = 48;
            for worker in rig.fleet.workers.values_mut() {
                worker.is_cut = false;
            }
            rig.run(Duration::from_secs(12));
            rig.assert_no_breach();
            assert_eq!(rig.stored_state(id), Some(JobState::Completed), "{rounds} {batch}");
        }
    }
}

/// Guards against a version that does not know divided jobs: it must refuse the row instead of taking the job for one
/// whose tasks have all succeeded.
#[test]
fn the_head_of_a_divided_job_does_not_look_like_an_undivided_one() {
    let spec = spec(vec![step(300, 100)]);
    let mut progress = Progress::for_job(&spec, 200);
    progress.begin_occurrence(&spec);
    progress.state = JobState::Running;
    let head = String::from_utf8(progress.encode()).unwrap();
    assert_eq!(head, r#"{"s":"running","n":1,"o":{"0":{"t":[]}},"k":200,"p":[[0,0]]}"#);
}

/// Guards against a gang that never starts because its members are stored in several rows.
#[test]
fn a_gang_larger_than_a_row_starts_as_a_whole() {
    let mut rig = Rig::new(Fleet::new(24, 32_000));
    rig.store.batch = 2;
    let mut gang = step(500, 100);
    gang.is_gang = true;
    let id = rig.submit(7, spec(vec![step(30, 100), gang]));
    rig.fleet.durations.insert(id, Duration::from_secs(1));
    rig.run(Duration::from_secs(6));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    assert_eq!(rig.starts_of(id).len(), 530);
    rig.assert_no_breach();
}

/// Guards against an occurrence that a new owner begins again although some of its tasks are placed, because the head
/// that lists it was not stored with them.
#[test]
fn occurrences_of_a_divided_job_run_once() {
    for takeover_ms in [1_020, 1_040, 1_060, 1_100, 1_300] {
        let mut rig = Rig::new(Fleet::new(8, 32_000));
        let schedule = Schedule { first_unix_ms: 0, interval_ms: 1_000, occurrences: 4 };
        let spec =
            JobSpec { schedule: Some(schedule), ..JobSpec::clone(&spec(vec![step(90, 100)])) };
        let id = rig.submit(7, Rc::new(spec));
        rig.run(Duration::from_millis(takeover_ms));
        let now = rig.fleet.now;
        rig.take_over(now);
        rig.run(Duration::from_secs(5));
        assert_eq!(rig.stored_state(id), Some(JobState::Completed));
        assert_eq!(rig.starts_of(id).len(), 360);
        // Rows of the last occurrence are removed with the head, after the state need no longer be kept.
        let is_last = |row: &ProgressRow| matches!(row, ProgressRow::Tasks { occurrence: 3, .. });
        assert!(rig.store.parts[&id].keys().all(is_last), "{:?}", rig.store.parts[&id].keys());
        rig.assert_no_breach();
    }
}

/// Guards against a job that fails because its workers return long checkpoints.
#[test]
fn checkpoints_that_do_not_fit_are_left_out() {
    let spec = spec(vec![step(300, 100)]);
    let mut progress = Progress::for_job(&spec, 200);
    progress.begin_occurrence(&spec);
    let task = |index| JobTaskId { step: StepId { job: JobId(7), occurrence: 0, step: 0 }, index };
    for index in 0..200 {
        let length = if index % 3 == 0 { 2_000 } else { 16 };
        progress.task_mut(&task(index)).unwrap().checkpoint = "c".repeat(length);
    }
    let row = ProgressRow::Tasks { occurrence: 0, part: 0 };
    let encoded = progress.encode_row(row, ROW_BYTES).unwrap();
    assert!(encoded.bytes.len() <= ROW_BYTES);
    assert!((35..45).contains(&encoded.dropped_checkpoints), "{}", encoded.dropped_checkpoints);
    let parts = BTreeMap::from([(row, encoded.bytes)]);
    let stored = Progress::decode_rows(&spec, &progress.encode(), &parts).unwrap();
    for index in (0..200).filter(|index| index % 3 != 0) {
        assert_eq!(stored.task(&task(index)).unwrap().checkpoint.len(), 16);
    }
}

/// Guards against progress that is lost or changed by dividing it among several rows.
#[test]
fn divided_progress_is_decoded_unchanged() {
    let spec = spec(vec![step(130, 100), step(1, 100), step(75, 100)]);
    arbtest(|u| {
        let per_row = u.int_in_range(1..=100)?;
        let mut progress = Progress::for_job(&spec, per_row);
        progress.begin_occurrence(&spec);
        for step in 0..3_u16 {
            for index in 0..spec.steps[usize::from(step)].count as u16 {
                let key = JobTaskId { step: StepId { job: JobId(7), occurrence: 0, step }, index };
                let held = progress.task_mut(&key).unwrap();
                if u.ratio(1, 3)? {
                    held.worker = Some(Rc::from(format!("w{}", index % 5)));
                    held.worker_started_unix_ms = Some(1_760_000_000_000);
                    held.last_run = u.int_in_range(1..=40_000)?;
                }
                if u.ratio(1, 9)? {
                    held.failed_runs.insert(3);
                    held.crashed_runs.insert(4, Rc::from("w1"));
                }
                if u.ratio(1, 9)? {
                    progress.set_done(&key);
                }
            }
        }
        let rows = progress
            .rows_of(0)
            .into_iter()
            .filter_map(|row| Some((row, progress.encode_row(row, usize::MAX)?.bytes)));
        let stored = Progress::decode_rows(&spec, &progress.encode(), &rows.collect()).unwrap();
        // Runs of tasks that have succeeded are not stored.
        let mut expected = progress.clone();
        for tasks in &mut expected.occurrences.get_mut(&0).unwrap().steps {
            for task in tasks.iter_mut().filter(|task| task.is_done) {
                *task = TaskProgress { is_done: true, last_run: 1, ..TaskProgress::default() };
            }
        }
        assert_eq!(stored, expected);
        Ok(())
    });
}

/// Guards against a job of the largest size that is accepted but can't be stored or decoded.
#[test]
fn a_job_of_128000_tasks_is_stored_and_read() {
    let steps = (0..64).map(|_| step(2_000, 100)).collect();
    let spec = spec(steps);
    let mut rig = Rig::new(Fleet::new(20, 32_000));
    rig.store.batch = 48;
    let id = JobId(7);
    rig.store.jobs.insert(id, Rc::clone(&spec));
    rig.owner.on_job(accepted(id, spec));
    rig.fleet.durations.insert(id, Duration::from_millis(400));
    rig.run(Duration::from_secs(2));
    let now = rig.fleet.now;
    rig.take_over(now);
    rig.run(Duration::from_secs(2));
    assert!(rig.starts_of(id).len() > 12_800, "{}", rig.starts_of(id).len());
    assert!(rig.store.largest_row <= ROW_BYTES, "{}", rig.store.largest_row);
    rig.assert_no_breach();
}
