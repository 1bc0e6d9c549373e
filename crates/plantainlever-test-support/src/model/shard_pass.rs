//! Measures the time of one placement pass of a shard whose fleet is full.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use plantainlever::job::{JobId, JobSpec, Resources, StepSpec};
use plantainlever::shard::scheduler::{
    AcceptedJob, CommandKind, CommandOutcome, Reply, StartOutcome, Timing,
};
use plantainlever::shard::{
    JobQueue, QueuePolicy, RenewalReport, ShardScheduler, WorkerId, WorkerListing,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub(super) const POOL: &str = "pool";
const LONG_RUNNING: &str = "services";
const BATCH: &str = "batch";
const WORKER_CPU_MILLIS: u64 = 32_000;
const ROUND: Duration = Duration::from_millis(20);

/// Measured passes.
#[derive(Clone, Copy, Debug)]
pub struct PassCost {
    /// Waiting tasks.
    pub waiting: usize,
    /// Median time of a tick with one placement pass.
    pub median: Duration,
}

/// Fills `workers` with long-running tasks, queues more of them and best-effort tasks, and measures `passes` passes in
/// which nothing can start.
#[must_use]
pub fn median_full_pass(workers: usize, passes: usize, seed: u64) -> PassCost {
    let mut rng = StdRng::seed_from_u64(seed);
    let timing = Timing {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(6),
        kill_time: Duration::from_millis(400),
        throttle_delay: Duration::from_millis(100),
    };
    let mut owner = ShardScheduler::new(1, timing, Duration::ZERO, Duration::ZERO);
    let queue = |priority| QueuePolicy {
        service: POOL.to_owned(),
        priority,
        attempts: 4,
        stretch: 2.0,
        target_latency_ms: 500,
    };
    owner.on_queues(BTreeMap::from([
        (LONG_RUNNING.to_owned(), queue(0)),
        (BATCH.to_owned(), queue(2)),
    ]));
    let listed: Vec<WorkerListing> = (0..workers).map(listing).collect();
    let mut now = Duration::ZERO;
    // Nearly three times as many long-running tasks as fit, in steps of 14, and 20 best-effort tasks for each worker.
    for id in 0..workers {
        owner.on_job(job(id as u64 * 2, LONG_RUNNING, long_running(&mut rng)));
        owner.on_job(job(id as u64 * 2 + 1, BATCH, best_effort(&mut rng)));
    }
    for _ in 0..100 {
        now += ROUND;
        owner.on_listing(now, listed.clone());
        owner.tick(now, 0, now);
        answer(&mut owner, now);
        if owner.take_rows(workers * 2, false).is_some() {
            owner.on_written(now);
        }
    }
    let mut times = Vec::new();
    for _ in 0..passes {
        now += ROUND;
        owner.on_listing(now, listed.clone());
        let begin = Instant::now();
        owner.tick(now, 0, now);
        times.push(begin.elapsed());
        answer(&mut owner, now);
    }
    times.sort();
    let waiting = owner.load(now).waiting_tasks.values().sum();
    PassCost { waiting, median: times[times.len() / 2] }
}

fn answer(owner: &mut ShardScheduler, now: Duration) {
    for command in owner.take_commands() {
        match &command.kind {
            CommandKind::Renew { .. } => {
                // A truncated list ends no run that it does not contain.
                let report = RenewalReport {
                    clock_ms: now.as_millis() as u64,
                    incarnation_started_unix_ms: Some(1),
                    is_truncated: true,
                    ..RenewalReport::default()
                };
                owner.on_renewal(now, &command, now, Ok(report));
            }
            CommandKind::Start { .. } => {
                owner.on_start(now, &command, now, Reply::without_clock(StartOutcome::Started));
            }
            CommandKind::Stop { .. } => {
                owner.on_stop(now, &command, now, Reply::without_clock(CommandOutcome::Done));
            }
            CommandKind::Throttle { .. } => {
                owner.on_throttle(now, &command, now, Reply::without_clock(CommandOutcome::Done));
            }
        }
    }
}

pub(super) fn listing(index: usize) -> WorkerListing {
    WorkerListing {
        id: WorkerId::new(&format!("worker-{index:04}")),
        incarnation_started_unix_ms: Some(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
        domain: format!("domain-{}", index % 3),
        service: POOL.to_owned(),
        labels: vec![format!("rack-{}", index / 20)],
        capacity: Resources { cpu_millis: WORKER_CPU_MILLIS, memory_mib: 125_000, accelerators: 0 },
        is_draining: false,
    }
}

fn long_running(rng: &mut StdRng) -> StepSpec {
    let cpu_millis = 50 * rng.random_range(60..=200);
    StepSpec {
        count: 14,
        resources: Resources {
            cpu_millis,
            memory_mib: rng.random_range(6_000..=18_000),
            accelerators: 0,
        },
        is_long_running: true,
        max_per_worker: Some(1),
        image: Some(format!("service-{}", rng.random_range(0..4))),
        tail_target_ms: Some(50),
        ..StepSpec::default()
    }
}

fn best_effort(rng: &mut StdRng) -> StepSpec {
    StepSpec {
        count: 20,
        resources: Resources {
            cpu_millis: 50 * rng.random_range(40..=140),
            memory_mib: rng.random_range(500..=4_000),
            accelerators: 0,
        },
        estimate_ms: 1_700,
        uses_leftover_cpu: true,
        image: Some(format!("batch-{}", rng.random_range(0..4))),
        ..StepSpec::default()
    }
}

fn job(id: u64, queue: &str, step: StepSpec) -> AcceptedJob {
    let spec = JobSpec { payload: String::new(), steps: vec![step], schedule: None };
    // Spreads the jobs of both queues over the order of IDs.
    let id = JobId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    AcceptedJob { id, queue: JobQueue::named(queue), accepted_unix_ms: 0, spec: Rc::new(spec) }
}
