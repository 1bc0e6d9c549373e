//! Jobs that run until they are cancelled. All of their tasks must run after the faults; then the jobs are cancelled, and
//! their tasks must end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::serve::lock;
use super::world::{Payload, WorkerMode, World};
use super::{COMPLETION_TIMEOUT, Job, NodeProcess, Outcome, SoakCluster, caller};

/// Salt of the random numbers, so that the other jobs of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_1046;

/// Probability that a caller submits such a job after another one, and number of them per caller.
const PROBABILITY: f64 = 0.5;
const JOBS_PER_CALLER: usize = 3;

/// Time in which the tasks must end once the cancellation is acknowledged: those on workers that the owner does not
/// reach end with their leases.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Selects when a caller submits such a job.
#[derive(Debug)]
pub(super) struct LongRunningJobs {
    rng: StdRng,
    left: usize,
}

impl LongRunningJobs {
    pub(super) fn new(seed: u64, caller: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ SEED_SALT ^ (caller + 1) << 32);
        Self { rng, left: JOBS_PER_CALLER }
    }

    /// Returns the ID and the content of the job to submit now, if there is one.
    pub(super) fn next(&mut self) -> Option<(String, Payload)> {
        if self.left == 0 || !self.rng.random_bool(PROBABILITY) {
            return None;
        }
        self.left -= 1;
        let payload = Payload {
            cpu: 500,
            ms: 1_000,
            counts: vec![self.rng.random_range(3..=6)],
            is_long_running: true,
            crashing_task: None,
        };
        Some((format!("{:016x}", self.rng.random::<u64>()), payload))
    }
}

impl World {
    /// Returns true if the tasks of a job run until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self, job: &str) -> bool {
        self.submitted.get(job).is_some_and(|payload| payload.is_long_running)
    }

    /// Number of tasks of a job that run on workers that are up.
    fn running_tasks(&mut self, job: &str) -> usize {
        self.advance();
        let workers = self.workers.iter().filter(|worker| worker.mode != WorkerMode::Dead);
        let runs = workers.flat_map(|worker| worker.runs().keys());
        runs.filter(|task| task.split('.').next() == Some(job)).count()
    }
}

/// Waits until all tasks of the accepted jobs run, cancels the jobs, and waits until none of their tasks runs. Reports a
/// breach for each job that does not run, can't be cancelled or goes on.
pub(super) fn end(cluster: &SoakCluster, jobs: &mut [Job]) {
    let is_accepted = |job: &&mut Job| {
        job.outcome == Outcome::Accepted && lock(&cluster.world).is_long_running(&job.id)
    };
    let mut jobs: Vec<&mut Job> = jobs.iter_mut().filter(is_accepted).collect();
    let fronts: Vec<SocketAddr> = cluster.nodes.iter().map(NodeProcess::front).collect();
    let is_running = |job: &Job| {
        let (running, all, may_fail) = {
            let mut world = lock(&cluster.world);
            let running = world.running_tasks(&job.id);
            (running, world.submitted[&job.id].counts[0], world.may_fail(&job.id))
        };
        // A job whose workers have crashed may have failed for that.
        running == usize::from(all) || may_fail && caller::state(fronts[0], &job.id).is_final()
    };
    for job in wait_for(COMPLETION_TIMEOUT, &jobs, is_running) {
        lock(&cluster.world).breaches.push(format!("{job} does not run after the faults"));
    }
    let mut rng = StdRng::seed_from_u64(SEED_SALT);
    for job in &mut jobs {
        job.is_cancel_requested = true;
        caller::cancel(&cluster.world, &fronts, &job.id, &mut rng);
        if !lock(&cluster.world).cancelled.contains_key(&job.id) {
            lock(&cluster.world).breaches.push(format!("{} can't be cancelled", job.id));
        }
    }
    let is_gone = |job: &Job| lock(&cluster.world).running_tasks(&job.id) == 0;
    for job in wait_for(END_TIMEOUT, &jobs, is_gone) {
        lock(&cluster.world).breaches.push(format!("{job} runs after it was cancelled"));
    }
}

/// Waits until the condition has held for each job, and returns the IDs of those for which it has not.
fn wait_for(
    timeout: Duration,
    jobs: &[&mut Job],
    is_fulfilled: impl Fn(&Job) -> bool,
) -> Vec<String> {
    let deadline = Instant::now() + timeout;
    let mut pending: Vec<&Job> = jobs.iter().map(|job| &**job).collect();
    loop {
        pending.retain(|job| !is_fulfilled(job));
        if pending.is_empty() || Instant::now() >= deadline {
            return pending.into_iter().map(|job| job.id.clone()).collect();
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
