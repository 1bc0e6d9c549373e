//! Tasks that crash the workers on which they run, and the restart of these workers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::serve::lock;
use super::world::World;
use super::{ATTEMPTS, SoakCluster, publish_workers};

/// Salt of the random numbers, so that the jobs and the other faults of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_dead;

/// Share of jobs with which a series of jobs with a crashing task begins.
const SERIES_PROBABILITY: f64 = 0.008;

/// Number of consecutive jobs of a caller in such a series.
const SERIES_LENGTH: std::ops::RangeInclusive<u32> = 1..=3;

/// Run time of a crashing task until the crash, in ms.
const RUN_TIME_MS: std::ops::Range<u64> = 50..1_000;

/// Time from a crash to the next incarnation of the worker, in ms.
const RESTART_TIME_MS: std::ops::Range<u64> = 2_000..5_000;

/// Pause between two checks for crashed workers.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Number of workers that must have crashed under a task before its job may be shown as failed.
const CRASHES_TO_GIVE_UP: usize = 2;

/// Number of crashes under a crashing task after which its further starts are limited.
pub(super) const MAX_CRASHES: usize = 3;

/// Number of further starts that breaches the limit.
const MAX_STARTS_AFTER_CRASHES: u32 = 3;

/// A task that crashes each worker on which it runs.
#[derive(Clone, Copy, Debug)]
pub struct CrashingTask {
    /// Number of its step in the job.
    pub step: usize,
    /// Number of the task in its step.
    pub index: u16,
    /// Time from a start to the crash.
    pub run_time: Duration,
    /// Time from a crash to the next incarnation of the worker.
    pub restart_time: Duration,
}

/// A crash of a worker.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Time of the crash.
    pub at: Instant,
    /// ID of the worker.
    pub worker: String,
    /// Tasks that ran on the worker.
    pub tasks: Vec<String>,
}

/// Selects the jobs of a caller that get a crashing task.
#[derive(Debug)]
pub(super) struct CrashingTasks {
    rng: StdRng,
    left_in_series: u32,
}

impl CrashingTasks {
    pub(super) fn new(seed: u64, caller: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ SEED_SALT ^ (caller + 1) << 32);
        Self { rng, left_in_series: 0 }
    }

    /// Returns the crashing task of the caller's next job, if it has one. `counts` are the numbers of tasks of its
    /// steps.
    pub(super) fn next(&mut self, counts: &[u16]) -> Option<CrashingTask> {
        if self.left_in_series == 0 && self.rng.random_bool(SERIES_PROBABILITY) {
            self.left_in_series = self.rng.random_range(SERIES_LENGTH);
        }
        self.left_in_series = self.left_in_series.checked_sub(1)?;
        let step = self.rng.random_range(0..counts.len());
        Some(CrashingTask {
            step,
            index: self.rng.random_range(0..counts[step]),
            run_time: Duration::from_millis(self.rng.random_range(RUN_TIME_MS)),
            restart_time: Duration::from_millis(self.rng.random_range(RESTART_TIME_MS)),
        })
    }
}

impl World {
    /// Crashes a worker. Its next incarnation starts after `restart_time`; without it, when the fault ends that has
    /// caused the crash.
    pub fn crash_worker(&mut self, index: usize, restart_time: Option<Duration>) {
        let now = Instant::now();
        let worker = &mut self.workers[index];
        worker.crash(now, restart_time);
        let tasks = worker.runs().keys().cloned().collect();
        self.crashes.push(Crash { at: now, worker: worker.id.clone(), tasks });
    }

    /// Number of workers that have crashed while the task ran on them, whatever caused the crashes.
    fn crashes_under(&self, task: &str) -> usize {
        let ran = |crash: &&Crash| crash.tasks.iter().any(|other| other == task);
        self.crashes.iter().filter(ran).count()
    }

    /// Returns true if a job may be shown as failed: enough workers have crashed under one of its tasks, or one of them
    /// has failed as often as its queue allows.
    #[must_use]
    pub fn may_fail(&self, job: &str) -> bool {
        let is_of_job = |task: &str| task.split('.').next() == Some(job);
        let mut tasks = self.crashes.iter().flat_map(|crash| &crash.tasks);
        tasks.any(|task| is_of_job(task) && self.crashes_under(task) >= CRASHES_TO_GIVE_UP)
            || self.failed_runs.iter().any(|(task, runs)| is_of_job(task) && *runs >= ATTEMPTS)
    }

    /// Returns true if a job has a task that crashes its workers, so that it can't complete.
    #[must_use]
    pub fn has_crashing_task(&self, job: &str) -> bool {
        self.submitted.get(job).is_some_and(|payload| payload.crashing_task.is_some())
    }

    /// Reports a breach if processes in touch have started a crashing task too often after crashes of its workers.
    ///
    /// A start that was sent before the last of these crashes counts when the worker executes it, since the limit has
    /// no time bound; the starts below the limit leave room for these. It does not count if the process was disrupted
    /// between the sending, `held_up` ago, and the execution, or less than the stable window before: then the process
    /// was not in touch.
    pub(super) fn check_start_of_crashing_task(
        &mut self,
        node: usize,
        task: &str,
        held_up: Duration,
    ) {
        let crashes = self.crashes_under(task);
        if crashes < MAX_CRASHES || !self.contact.has_been_in_touch(node, held_up) {
            return;
        }
        let starts = self.starts_after_crashes.entry(task.to_owned()).or_default();
        *starts += 1;
        if *starts == MAX_STARTS_AFTER_CRASHES {
            self.breaches.push(format!(
                "{task} has been started {starts} times by processes in touch after {MAX_CRASHES} \
                 workers had crashed under it, {crashes} by now"
            ));
        }
    }
}

/// Starts the thread that disconnects crashed workers and restarts them in time, until `stop`.
pub(super) fn start(cluster: &SoakCluster, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (world, links, stop) =
        (Arc::clone(&cluster.world), Arc::clone(&cluster.worker_links), Arc::clone(stop));
    std::thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            {
                let mut world = lock(&world);
                world.advance();
                let mut is_directory_changed = false;
                for (worker, links) in world.workers.iter_mut().zip(links.iter()) {
                    if worker.restart_if_due() {
                        links.iter().for_each(crate::link::Link::heal);
                        is_directory_changed = true;
                    } else if worker.is_crashed() {
                        links.iter().for_each(crate::link::Link::cut);
                        is_directory_changed |= worker.unlist_if_due();
                    }
                }
                if is_directory_changed {
                    publish_workers(&mut world);
                }
            }
            std::thread::sleep(CHECK_PERIOD);
        }
    })
}
