//! Size and encoding time of a job's progress rows by number of tasks, with every task placed and a checkpoint each.

use std::rc::Rc;
use std::time::{Duration, Instant};

use plantainlever::job::progress::{MAX_TASKS_PER_ROW, ProgressRow};
use plantainlever::job::{JobId, JobSpec, JobState, JobTaskId, Progress, StepId, StepSpec};

/// Steps and tasks per step; the last is the largest job that is accepted.
const JOBS: [(u16, u16); 3] = [(1, 200), (2, 2_000), (64, 2_000)];

/// Size, in bytes, of the largest row of the users' deployments.
const ROW_BYTES: usize = 65_536;

/// Workers over which the tasks are spread.
const WORKERS: u16 = 490;

/// Rounds of which the fastest counts.
const ROUNDS: usize = 10;

/// Limit of the time in which one row is encoded. Rows are written at most every 10 ms, 48 at a time.
const ROW_LIMIT: Duration = Duration::from_micros(200);

fn main() {
    println!("  tasks rows largest_bytes bytes_per_task row_us all_ms");
    for (steps, count) in JOBS {
        let progress = placed_job(steps, count);
        let mut rows = progress.rows_of(0);
        rows.push(ProgressRow::Head);
        let mut all = Duration::MAX;
        let mut encoded: Vec<usize> = Vec::new();
        for _ in 0..ROUNDS {
            let began = Instant::now();
            let contents = rows.iter().filter_map(|row| progress.encode_row(*row, ROW_BYTES));
            encoded = contents.map(|row| row.bytes.len()).collect();
            all = all.min(began.elapsed());
        }
        let tasks = usize::from(steps) * usize::from(count);
        let largest = encoded.iter().copied().max().unwrap_or(0);
        let row_time = all / rows.len() as u32;
        println!(
            "{tasks:7} {:4} {largest:13} {:14.1} {:6.1} {:6.1}",
            rows.len(),
            encoded.iter().sum::<usize>() as f64 / tasks as f64,
            row_time.as_secs_f64() * 1e6,
            all.as_secs_f64() * 1e3,
        );
        assert!(largest <= ROW_BYTES);
        assert!(row_time <= ROW_LIMIT, "a row took {row_time:?}");
    }
}

/// Progress of a job whose tasks have all been placed and have saved a checkpoint.
fn placed_job(steps: u16, count: u16) -> Progress {
    let step = StepSpec { count: u32::from(count), ..StepSpec::default() };
    let spec =
        JobSpec { payload: String::new(), steps: vec![step; usize::from(steps)], schedule: None };
    let mut progress = Progress::for_job(&spec, MAX_TASKS_PER_ROW);
    progress.state = JobState::Running;
    progress.begin_occurrence(&spec);
    for step in 0..steps {
        for index in 0..count {
            let step = StepId { job: JobId(7), occurrence: 0, step };
            let Some(task) = progress.task_mut(&JobTaskId { step, index }) else { continue };
            let worker = index.wrapping_mul(7) % WORKERS;
            task.worker = Some(Rc::from(format!("i-7f3a91{worker:04x}")));
            task.worker_started_unix_ms = Some(1_760_000_000_000 + u64::from(worker));
            task.last_run = 20_001;
            task.checkpoint = "00000bb87a21d94b".to_owned();
        }
    }
    progress
}
