//! Measures what the scheduler of a shard costs its owner for each second of a day's traffic, by kind of work.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use plantainlever::job::{JobId, JobSpec, JobTaskId, Resources, StepSpec};
use plantainlever::shard::report::{EndCause, EndReport, RenewalReport, RunReport};
use plantainlever::shard::scheduler::{
    AcceptedJob, Command, CommandKind, CommandOutcome, Reply, StartOutcome, Timing,
};
use plantainlever::shard::{JobQueue, QueuePolicy, ShardScheduler, WorkerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::shard_pass::{POOL, listing};

const SERVING: &str = "services";
const URGENT: &str = "urgent";
const BATCH: &str = "batch";
const ROUND: Duration = Duration::from_millis(20);
/// Time between two reads of the VM list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Tasks that start each second, for each worker.
const STARTS_PER_WORKER: f64 = 2.5;
/// Time before the measurement.
const WARM_UP: Duration = Duration::from_secs(4);

/// Work of the owner in one second of traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerLoad {
    /// Rounds of the scheduler.
    pub rounds: Duration,
    /// Processing of answers of workers.
    pub answers: Duration,
    /// Rows and their outcome.
    pub rows: Duration,
    /// VM lists and new jobs.
    pub changes: Duration,
    /// Starts that were sent.
    pub starts: u64,
    /// Answers to renewals.
    pub reports: u64,
    /// Estimates of the interference on a worker.
    pub estimates: u64,
}

/// A worker that carries out all commands at once.
#[derive(Debug, Default)]
struct FakeWorker {
    /// Runs with their number and end; `None` for a task that lasts.
    runs: BTreeMap<JobTaskId, (u32, Option<Duration>)>,
    ended: Vec<EndReport>,
    next_end: u64,
    /// Renewal that waits for an end, with the time at which it is answered at the latest.
    waiting: Option<(Command, Duration)>,
}

struct World {
    owner: ShardScheduler,
    workers: BTreeMap<WorkerId, FakeWorker>,
    lengths: BTreeMap<JobId, Option<Duration>>,
    rng: StdRng,
    load: OwnerLoad,
}

/// Plays `seconds` of traffic on `workers` workers and returns the mean work of one second.
#[must_use]
pub fn mean_load(workers: usize, seconds: u32, seed: u64) -> OwnerLoad {
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
        (SERVING.to_owned(), queue(0)),
        (URGENT.to_owned(), queue(0)),
        (BATCH.to_owned(), queue(2)),
    ]));
    let listed: Vec<_> = (0..workers).map(listing).collect();
    let mut world = World {
        owner,
        workers: listed.iter().map(|w| (w.id.clone(), FakeWorker::default())).collect(),
        lengths: BTreeMap::new(),
        rng: StdRng::seed_from_u64(seed),
        load: OwnerLoad::default(),
    };
    for _ in 0..workers / 5 {
        world.submit(Duration::ZERO, SERVING);
    }
    let mut due = 0.0;
    let mut now = Duration::ZERO;
    let mut before = (OwnerLoad::default(), 0);
    while now < WARM_UP + Duration::from_secs(seconds.into()) {
        now += ROUND;
        if now == WARM_UP {
            before = (world.load, world.owner.estimate_count());
        }
        if now.as_millis().is_multiple_of(LIST_PERIOD.as_millis()) || now == ROUND {
            let entries = listed.clone();
            let began = Instant::now();
            world.owner.on_listing(now, entries);
            world.load.changes += began.elapsed();
        }
        due += STARTS_PER_WORKER * workers as f64 * ROUND.as_secs_f64();
        while due >= 1.0 {
            let queue = if world.rng.random_bool(0.3) { URGENT } else { BATCH };
            due -= f64::from(world.submit(now, queue));
        }
        world.round(now);
    }
    let (load, seconds) = (world.load, seconds);
    let (before, estimates) = before;
    OwnerLoad {
        rounds: (load.rounds - before.rounds) / seconds,
        answers: (load.answers - before.answers) / seconds,
        rows: (load.rows - before.rows) / seconds,
        changes: (load.changes - before.changes) / seconds,
        starts: (load.starts - before.starts) / u64::from(seconds),
        reports: (load.reports - before.reports) / u64::from(seconds),
        estimates: (world.owner.estimate_count() - estimates) / u64::from(seconds),
    }
}

impl World {
    /// Submits a job of a queue. Returns the number of its tasks.
    fn submit(&mut self, now: Duration, queue: &str) -> u32 {
        let rng = &mut self.rng;
        let id = JobId(rng.random());
        let (step, length_ms) = match queue {
            SERVING => (
                StepSpec {
                    count: 14,
                    resources: resources(50 * rng.random_range(60..=140)),
                    is_long_running: true,
                    max_per_worker: Some(1),
                    image: Some(format!("service-{}", rng.random_range(0..10))),
                    tail_target_ms: Some(50),
                    ..StepSpec::default()
                },
                None,
            ),
            URGENT => (
                StepSpec {
                    count: rng.random_range(3..=16),
                    resources: resources(5_000),
                    estimate_ms: 800,
                    ..StepSpec::default()
                },
                Some(800),
            ),
            _ => (
                StepSpec {
                    count: rng.random_range(10..=30),
                    resources: resources(50 * rng.random_range(40..=100)),
                    estimate_ms: 1_700,
                    uses_leftover_cpu: true,
                    image: Some(format!("batch-{}", rng.random_range(0..18))),
                    ..StepSpec::default()
                },
                Some(1_700),
            ),
        };
        let count = step.count;
        self.lengths.insert(id, length_ms.map(Duration::from_millis));
        let spec = Rc::new(JobSpec { payload: String::new(), steps: vec![step], schedule: None });
        let accepted_unix_ms = now.as_millis() as u64;
        let began = Instant::now();
        self.owner.on_job(AcceptedJob {
            id,
            queue: JobQueue::named(queue),
            accepted_unix_ms,
            spec,
        });
        self.load.changes += began.elapsed();
        count
    }

    fn round(&mut self, now: Duration) {
        self.end_runs(now);
        let began = Instant::now();
        self.owner.tick(now, now.as_millis() as u64, now);
        self.load.rounds += began.elapsed();
        self.carry_out_commands(now);
        let began = Instant::now();
        while let Some(batch) = self.owner.take_rows(48, false) {
            self.owner.on_written(now);
            if batch.rows.len() < 48 {
                break;
            }
        }
        self.load.rows += began.elapsed();
        self.carry_out_commands(now);
    }

    /// Ends the runs that are over, and answers the renewals that wait for an end.
    fn end_runs(&mut self, now: Duration) {
        let mut answered = Vec::new();
        for worker in self.workers.values_mut() {
            let over = worker.runs.extract_if(.., |_, (_, end)| end.is_some_and(|end| end <= now));
            for (task, (run, _)) in over {
                worker.next_end += 1;
                worker.ended.push(EndReport {
                    number: worker.next_end,
                    task,
                    run,
                    cause: EndCause::Done,
                    checkpoint: String::new(),
                });
            }
            let is_due = |(_, at): &mut (Command, Duration)| !worker.ended.is_empty() || *at <= now;
            answered.extend(worker.waiting.take_if(is_due));
        }
        for (command, _) in answered {
            self.answer(now, &command);
        }
    }

    fn answer(&mut self, now: Duration, command: &Command) {
        let worker = &self.workers[&command.worker];
        let active = worker.runs.iter().map(|(task, (run, _))| RunReport {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            load: 20 + (now.as_millis() as u64 + u64::from(task.index)) % 17,
        });
        let report = RenewalReport {
            clock_ms: now.as_millis() as u64,
            incarnation_started_unix_ms: Some(1),
            active: active.collect(),
            ended: worker.ended.clone(),
            is_truncated: false,
        };
        let began = Instant::now();
        self.owner.on_renewal(now, command, now, Ok(report));
        self.load.answers += began.elapsed();
        self.load.reports += 1;
    }

    fn carry_out_commands(&mut self, now: Duration) {
        let clock_ms = now.as_millis() as u64;
        for command in self.owner.take_commands() {
            let Some(worker) = self.workers.get_mut(&command.worker) else { continue };
            let began = match &command.kind {
                CommandKind::Renew { acked_end, wait, .. } => {
                    worker.ended.retain(|end| end.number > *acked_end);
                    worker.waiting = Some((command.clone(), now + *wait));
                    continue;
                }
                CommandKind::Start { task, run, .. } => {
                    let length = self.lengths.get(&task.step.job).copied().flatten();
                    worker.runs.insert(*task, (*run, length.map(|length| now + length)));
                    self.load.starts += 1;
                    let began = Instant::now();
                    let reply = Reply { outcome: StartOutcome::Started, clock_ms: Some(clock_ms) };
                    self.owner.on_start(now, &command, now, reply);
                    began
                }
                CommandKind::Stop { task, .. } => {
                    worker.runs.remove(task);
                    let began = Instant::now();
                    let reply = Reply { outcome: CommandOutcome::Done, clock_ms: Some(clock_ms) };
                    self.owner.on_stop(now, &command, now, reply);
                    began
                }
                CommandKind::Throttle { .. } => {
                    let began = Instant::now();
                    let reply = Reply { outcome: CommandOutcome::Done, clock_ms: Some(clock_ms) };
                    self.owner.on_throttle(now, &command, now, reply);
                    began
                }
            };
            self.load.answers += began.elapsed();
        }
    }
}

fn resources(cpu_millis: u64) -> Resources {
    Resources { cpu_millis, memory_mib: 4_000, accelerators: 0 }
}
