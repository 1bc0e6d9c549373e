//! Order of waiting steps, and the step times that it is based on.

use std::time::Duration;

use plantainlever::job::{JobId, JobTaskId, StepId};
use plantainlever::shard::queue::{Rank, WaitingTask, WaitingTasks};
use plantainlever::shard::times::StepTimeRatios;

const NOW: u64 = 100_000;

const WAITING: WaitingTask = WaitingTask { is_new: true, since: Duration::ZERO };

fn task(job: u64) -> JobTaskId {
    JobTaskId { step: StepId { job: JobId(job), occurrence: 0, step: 0 }, index: 0 }
}

/// Rank of a step that should start in `start_in_ms`, of a job with an objective of 10 s.
fn rank(start_in_ms: i64, is_begun: bool) -> Rank {
    Rank {
        priority: 1,
        start_by_unix_ms: Some(NOW.saturating_add_signed(start_in_ms)),
        objective_ms: 10_000,
        is_begun,
    }
}

fn order(ranks: &[Rank]) -> Vec<u64> {
    let mut waiting = WaitingTasks::default();
    for (job, rank) in ranks.iter().enumerate() {
        waiting.push(*rank, task(job as u64), WAITING);
    }
    waiting.ordered(NOW).into_iter().map(|(step, _)| step.job.0).collect()
}

/// Guards against jobs that begin and end late while fresh ones wait until they are late too, under more load than the
/// fleet can run.
#[test]
fn begun_jobs_and_those_with_time_left_go_first() {
    let ranks = [
        rank(-25_000, false), // expired
        rank(-5_000, false),  // late
        rank(-1_500, true),   // late, though begun
        rank(500, false),     // at risk
        rank(4_000, false),
        rank(2_000, false),
        rank(-500, true),
        Rank { start_by_unix_ms: None, ..rank(0, false) }, // long-running
    ];
    assert_eq!(order(&ranks), [7, 6, 5, 4, 3, 2, 1, 0]);
}

/// Guards against waiting tasks that fall behind other jobs once the first task of their job has started.
#[test]
fn waiting_tasks_of_a_job_move_up_when_it_begins() {
    let mut waiting = WaitingTasks::default();
    waiting.push(rank(2_000, false), task(1), WAITING);
    waiting.push(rank(4_000, false), task(2), WAITING);
    waiting.begin(JobId(2));
    let order: Vec<u64> = waiting.ordered(NOW).into_iter().map(|(step, _)| step.job.0).collect();
    assert_eq!(order, [2, 1]);
}

/// Guards against predictions from estimates that are too short, and against objectives that grow with the load.
#[test]
fn typical_times_follow_the_load_and_unloaded_ones_do_not() {
    let mut times = StepTimeRatios::default();
    for step in 0..400 {
        times.observe(if step % 2 == 0 { 1_300.0 } else { 3_000.0 }, 1_000.0);
    }
    assert!((2_000.0..2_300.0).contains(&times.typical_ms(1_000.0)), "{times:?}");
    assert!((1_200.0..1_450.0).contains(&times.unloaded_ms(1_000.0)), "{times:?}");
}
