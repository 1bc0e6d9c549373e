//! Caller threads that submit jobs, query their states, and cancel some of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use ureq::Agent;

use super::crash::CrashingTasks;
use super::long_running::LongRunningJobs;
use super::serve::{SharedWorld, lock};
use super::world::{Payload, World};
use super::{HOST, OptionalFaults, PREFIX, SoakCluster};

/// Number of caller threads.
const CALLER_THREADS: usize = 4;

/// Timeout of one request, and the deadline that a submission carries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of wide jobs in a run that has any.
const WIDE_JOBS: usize = 2;

/// Deadline of a request for a number of waiting jobs.
const COUNT_DEADLINE: Duration = Duration::from_millis(700);

/// Maximum number of attempts to submit or cancel a job, each at a random process.
const MAX_ATTEMPTS: usize = 5;

/// Outcome of the submission of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// A process accepted the job.
    Accepted,
    /// Every attempt was answered with 429 or 503.
    Refused,
    /// No attempt was accepted, and at least one had no answer or an unexpected one.
    Unknown,
}

/// A job as seen by its caller.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Job {
    /// Random job ID, 16 hexadecimal digits.
    pub id: String,
    /// Outcome of its submission.
    pub outcome: Outcome,
    /// Whether the caller has requested a cancellation. The job may still end in another way.
    pub is_cancel_requested: bool,
}

/// State of a job as a process reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Name of the state in the answer.
    Named(String),
    /// The process answered that no such job exists.
    Absent,
    /// No answer, or an answer without a state.
    Unknown,
}

impl State {
    /// Returns true if the job has ended.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Named(name) if ["completed", "cancelled", "failed"].contains(&name.as_str()))
    }

    /// Returns true if no process may report this state for the accepted job after what has happened so far.
    #[must_use]
    pub fn is_breach(&self, job: &Job, world: &World) -> bool {
        match self {
            Self::Named(name) => match name.as_str() {
                "completed" => world.has_crashing_task(&job.id) || world.is_long_running(&job.id),
                "failed" => !world.may_fail(&job.id),
                "cancelled" => !job.is_cancel_requested,
                _ => false,
            },
            Self::Absent => true,
            Self::Unknown => false,
        }
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    config.into()
}

/// Queries a process for the state of a job.
#[must_use]
pub fn state(front: SocketAddr, id: &str) -> State {
    let url = format!("http://{front}{PREFIX}{id}");
    let Ok(mut answer) = agent().get(url).header("host", HOST).call() else {
        return State::Unknown;
    };
    match answer.status().as_u16() {
        410 => State::Absent,
        200 => {
            let text = answer.body_mut().read_to_string().unwrap_or_default();
            let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            body["state"].as_str().map_or(State::Unknown, |name| State::Named(name.to_owned()))
        }
        _ => State::Unknown,
    }
}

/// Asks a process for the number of waiting jobs of a route's queue, and returns the status of the answer.
#[must_use]
pub fn count_status(front: SocketAddr, prefix: &str) -> Option<u16> {
    let request = agent()
        .get(format!("http://{front}{prefix}"))
        .header("host", HOST)
        .header("x-deadline-ms", COUNT_DEADLINE.as_millis().to_string());
    request.call().ok().map(|answer| answer.status().as_u16())
}

/// Starts the caller threads. They submit jobs until `stop`, and return all of them.
pub(super) fn start(
    cluster: &SoakCluster,
    seed: u64,
    optional_faults: OptionalFaults,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Job>>> {
    let fronts: Vec<SocketAddr> = cluster.nodes.iter().map(super::NodeProcess::front).collect();
    (0..CALLER_THREADS)
        .map(|number| {
            let (world, stop, fronts) =
                (Arc::clone(&cluster.world), Arc::clone(stop), fronts.clone());
            let mut rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
            let mut crashing_tasks =
                optional_faults.crashing_tasks.then(|| CrashingTasks::new(seed, number as u64));
            let mut long_running_jobs = (optional_faults.owner_chain
                || optional_faults.worker_deaths)
                .then(|| LongRunningJobs::new(seed, number as u64));
            std::thread::spawn(move || {
                let mut jobs = Vec::new();
                let mut wide_jobs_left =
                    if optional_faults.wide_jobs && number == 0 { WIDE_JOBS } else { 0 };
                while !stop.load(Ordering::SeqCst) {
                    let crashing_tasks = crashing_tasks.as_mut();
                    jobs.push(submit_random_job(&world, &fronts, &mut rng, crashing_tasks));
                    // The processes are not ready to accept jobs before the first one is accepted.
                    let is_ready = jobs.iter().any(|job: &Job| job.outcome == Outcome::Accepted);
                    if is_ready && wide_jobs_left > 0 {
                        wide_jobs_left -= 1;
                        jobs.push(submit_wide_job(&world, &fronts, &mut rng));
                    }
                    let long_running_job = long_running_jobs.as_mut().filter(|_| is_ready);
                    if let Some((id, payload)) = long_running_job.and_then(LongRunningJobs::next) {
                        jobs.push(submit_job(&world, &fronts, id, &payload, &mut rng));
                    }
                    std::thread::sleep(Duration::from_millis(rng.random_range(50..400)));
                }
                jobs
            })
        })
        .collect()
}

/// Submits a job whose progress takes several rows.
fn submit_wide_job(world: &SharedWorld, fronts: &[SocketAddr], rng: &mut StdRng) -> Job {
    let id = format!("{:016x}", rng.random::<u64>());
    let payload = Payload {
        cpu: 10,
        ms: rng.random_range(200..2_000),
        counts: vec![300, 300],
        is_long_running: false,
        crashing_task: None,
    };
    submit_job(world, fronts, id, &payload, rng)
}

/// Submits a job with the given ID and content.
fn submit_job(
    world: &SharedWorld,
    fronts: &[SocketAddr],
    id: String,
    payload: &Payload,
    rng: &mut StdRng,
) -> Job {
    lock(world).submitted.insert(id.clone(), payload.clone());
    let outcome = submit(fronts, &id, payload, rng);
    Job { id, outcome, is_cancel_requested: false }
}

/// Submits a random job, and cancels or queries it with some probability.
fn submit_random_job(
    world: &SharedWorld,
    fronts: &[SocketAddr],
    rng: &mut StdRng,
    crashing_tasks: Option<&mut CrashingTasks>,
) -> Job {
    let id = format!("{:016x}", rng.random::<u64>());
    let mut payload = Payload {
        cpu: rng.random_range(1..=3) * 500,
        ms: rng.random_range(50..1_500),
        counts: (0..rng.random_range(1..=3)).map(|_| rng.random_range(1..=4)).collect(),
        is_long_running: false,
        crashing_task: None,
    };
    payload.crashing_task = crashing_tasks.and_then(|tasks| tasks.next(&payload.counts));
    let mut job = submit_job(world, fronts, id, &payload, rng);
    if job.outcome == Outcome::Accepted && rng.random_bool(0.1) {
        job.is_cancel_requested = true;
        cancel(world, fronts, &job.id, rng);
    }
    if job.outcome == Outcome::Accepted && rng.random_bool(0.3) {
        let state = state(fronts[rng.random_range(0..fronts.len())], &job.id);
        let mut world = lock(world);
        if state.is_breach(&job, &world) {
            world.breaches.push(format!("{} is shown as {state:?}", job.id));
        }
    }
    job
}

/// Submits a job at random processes until one accepts it.
fn submit(fronts: &[SocketAddr], id: &str, payload: &Payload, rng: &mut StdRng) -> Outcome {
    let mut outcome = Outcome::Refused;
    for _ in 0..MAX_ATTEMPTS {
        let front = fronts[rng.random_range(0..fronts.len())];
        match post(front, id, payload) {
            Some(status) if (200..300).contains(&status) => return Outcome::Accepted,
            Some(429 | 503) => {}
            _ => outcome = Outcome::Unknown,
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(20..300)));
    }
    outcome
}

fn post(front: SocketAddr, id: &str, payload: &Payload) -> Option<u16> {
    let steps: Vec<serde_json::Value> = payload
        .counts
        .iter()
        .enumerate()
        .map(|(step, count)| {
            let after: Vec<usize> = step.checked_sub(1).into_iter().collect();
            let mut step = serde_json::json!({ "count": count, "cpu": payload.cpu, "mem-mb": 1,
                "estimate-ms": payload.ms, "after": after });
            if payload.is_long_running {
                step["long-running"] = true.into();
            }
            step
        })
        .collect();
    let body = serde_json::json!({ "spec": "soak", "steps": steps }).to_string();
    let request = agent()
        .post(format!("http://{front}{PREFIX}{id}"))
        .header("host", HOST)
        .header("content-type", "application/json")
        .header("x-deadline-ms", REQUEST_TIMEOUT.as_millis().to_string());
    request.send(body).ok().map(|answer| answer.status().as_u16())
}

/// Cancels a job at random processes until one acknowledges it.
pub(super) fn cancel(world: &SharedWorld, fronts: &[SocketAddr], id: &str, rng: &mut StdRng) {
    for _ in 0..MAX_ATTEMPTS {
        let front = fronts[rng.random_range(0..fronts.len())];
        let url = format!("http://{front}{PREFIX}{id}");
        let answer = agent().delete(url).header("host", HOST).call();
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            lock(world).cancelled.insert(id.to_owned(), Instant::now());
            return;
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(20..300)));
    }
}
