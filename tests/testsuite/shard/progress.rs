//! Stored progress of jobs, job descriptions and IDs.

use std::rc::Rc;

use arbtest::arbtest;
use plantainlever::job::progress::{Progress, ProgressError};
use plantainlever::job::{JobId, JobSpec, JobState, JobTaskId, SpecError, StepId, StepSpec};

use super::rig::{spec, step};

fn task(step: u16, index: u16) -> JobTaskId {
    JobTaskId { step: StepId { job: JobId(1), occurrence: 0, step }, index }
}

/// Guards against progress that is lost or changed by storing it.
#[test]
fn stored_progress_is_decoded_unchanged() {
    let spec = spec(vec![step(5, 100), step(30, 100)]);
    arbtest(|u| {
        let mut progress = Progress::new();
        progress.begin_occurrence(&spec);
        progress.state = JobState::Running;
        for step in 0..2_u16 {
            for index in 0..spec.steps[usize::from(step)].count as u16 {
                let key = task(step, index);
                let held = progress.task_mut(&key).unwrap();
                held.failed_runs =
                    (0..u.int_in_range(0..=4)?).map(|run| run * 10_000 + 1).collect();
                held.crashed_runs = (0..u.int_in_range(0..=3)?)
                    .map(|run| (run * 10_000 + 1, Rc::from(format!("w{run}"))))
                    .collect();
                held.mass_crashed_runs = (0..u.int_in_range(0..=2)?)
                    .map(|run| (run * 10_000 + 2, Rc::from(format!("w{run}"))))
                    .collect();
                held.doubtful_crashed_runs = (0..u.int_in_range(0..=2)?)
                    .map(|run| (run * 10_000 + 3, Rc::from(format!("w{run}"))))
                    .collect();
                if u.arbitrary()? {
                    held.worker = Some(Rc::from(format!("w{}", index % 3)));
                    held.worker_started_unix_ms = Some(1_760_000_000_000 + u64::from(index % 4));
                    held.last_run = u.int_in_range(1..=40_000)?;
                }
                if u.arbitrary()? {
                    held.checkpoint = format!("checkpoint {index}");
                }
                if u.arbitrary()? {
                    progress.set_done(&key);
                }
            }
        }
        let stored = Progress::decode(&spec, &progress.encode()).unwrap();
        for step in 0..2_u16 {
            for index in 0..spec.steps[usize::from(step)].count as u16 {
                let (a, b) = (progress.task(&task(step, index)), stored.task(&task(step, index)));
                let (a, b) = (a.unwrap(), b.unwrap());
                assert_eq!(a.is_done, b.is_done);
                if !a.is_done {
                    assert_eq!((&a.failed_runs, &a.checkpoint), (&b.failed_runs, &b.checkpoint));
                    assert_eq!(a.crashed_runs, b.crashed_runs);
                    assert_eq!(a.mass_crashed_runs, b.mass_crashed_runs);
                    assert_eq!(a.doubtful_crashed_runs, b.doubtful_crashed_runs);
                    assert_eq!(a.worker, b.worker);
                    assert_eq!(a.worker_started_unix_ms, b.worker_started_unix_ms);
                    assert_eq!(a.last_run, b.last_run);
                }
            }
            let steps = (&progress.occurrences[&0], &stored.occurrences[&0]);
            assert_eq!(steps.0.is_step_done(step), steps.1.is_step_done(step));
        }
        Ok(())
    });
}

/// Guards against rows of the previous release that a new owner can't read.
#[test]
fn rows_without_crashed_runs_and_incarnations_are_decoded() {
    let spec = spec(vec![step(2, 100)]);
    let row = br#"{"s":"running","n":1,"o":{"0":{"t":["d."],"f":[[0,1,4]],"w":{"w1":[[0,1]]}}}}"#;
    let progress = Progress::decode(&spec, row).unwrap();
    let held = progress.task(&task(0, 1)).unwrap();
    assert_eq!(held.worker.as_deref(), Some("w1"));
    assert_eq!(held.worker_started_unix_ms, None);
    assert!(held.crashed_runs.is_empty());
    assert!(held.failed_runs.contains(&4));
}

/// Guards against a row of another job that is decoded as this one's.
#[test]
fn a_row_with_other_steps_is_refused() {
    let other = spec(vec![step(2, 100)]);
    let mut progress = Progress::new();
    progress.begin_occurrence(&other);
    let wanted = spec(vec![step(3, 100)]);
    assert_eq!(Progress::decode(&wanted, &progress.encode()), Err(ProgressError::Mismatch));
    assert!(matches!(Progress::decode(&wanted, b"{"), Err(ProgressError::Malformed { .. })));
}

/// Guards against accepting a description that the scheduler can't carry out.
#[test]
fn invalid_job_specs_are_refused_with_the_step() {
    let check =
        |steps: Vec<StepSpec>| JobSpec { payload: String::new(), steps, schedule: None }.check();
    assert_eq!(check(Vec::new()), Err(SpecError::StepCount { found: 0 }));
    assert_eq!(check(vec![step(0, 1)]), Err(SpecError::TaskCount { step: 0, found: 0 }));
    let mut late = step(1, 1);
    late.after = vec![1];
    assert_eq!(check(vec![step(1, 1), late]), Err(SpecError::NotEarlier { step: 1, after: 1 }));
}

/// Guards against two spellings of one ID.
#[test]
fn job_ids_are_16_lower_case_hexadecimal_digits() {
    assert_eq!("5c0e7a21d94b36f8".parse(), Ok(JobId(0x5c0e_7a21_d94b_36f8)));
    for bad in ["", "5c0e", "5C0E7A21D94B36F8", "+c0e7a21d94b36f8", "5c0e7a21d94b36f8.0"] {
        assert!(bad.parse::<JobId>().is_err(), "{bad}");
    }
    let key: JobTaskId = "5c0e7a21d94b36f8.3.1.17".parse().unwrap();
    assert_eq!(key.to_string(), "5c0e7a21d94b36f8.3.1.17");
    assert!("5c0e7a21d94b36f8.3.1".parse::<JobTaskId>().is_err());
}
