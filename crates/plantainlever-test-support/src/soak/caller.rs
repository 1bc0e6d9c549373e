//! Callers: they submit jobs, ask for their states, and cancel some.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use ureq::Agent;

use super::serve::{Shared, lock};
use super::world::Payload;
use super::{HOST, PREFIX, Site};

/// Callers at the same time.
const CALLERS: usize = 4;

/// Time for one answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Attempts to hand a job in, at any process.
const ATTEMPTS: usize = 5;

/// What became of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// An attempt was accepted.
    Accepted,
    /// Every attempt was refused.
    Refused,
    /// Some attempt had no answer.
    Unknown,
}

/// A job as its caller knows it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Job {
    /// Identity.
    pub id: String,
    /// What became of it.
    pub outcome: Outcome,
    /// Its cancellation was asked for.
    pub is_cancelled: bool,
}

/// What a process says of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// A state by name.
    Named(String),
    /// There is no such job.
    Absent,
    /// No answer, or one that says nothing.
    Unknown,
}

impl State {
    /// True if the job has ended.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Named(name) if name == "completed" || name == "cancelled")
    }

    /// True if an accepted job must never be shown so.
    #[must_use]
    pub fn is_wrong(&self, job: &Job) -> bool {
        match self {
            Self::Named(name) => name == "failed" || name == "cancelled" && !job.is_cancelled,
            Self::Absent => true,
            Self::Unknown => false,
        }
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    config.into()
}

/// Asks a process for the state of a job.
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

/// Starts the callers; they go on until `is_over`.
pub(super) fn start(
    site: &Site,
    seed: u64,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Job>>> {
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(super::NodeProcess::front).collect();
    (0..CALLERS)
        .map(|number| {
            let (world, is_over, fronts) =
                (Arc::clone(&site.world), Arc::clone(is_over), fronts.clone());
            let mut rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
            std::thread::spawn(move || {
                let mut jobs = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    jobs.push(play(&world, &fronts, &mut rng));
                    std::thread::sleep(Duration::from_millis(rng.random_range(50..400)));
                }
                jobs
            })
        })
        .collect()
}

fn play(world: &Shared, fronts: &[SocketAddr], rng: &mut StdRng) -> Job {
    let id = format!("{:016x}", rng.random::<u64>());
    let payload = Payload {
        cpu: rng.random_range(1..=3) * 500,
        ms: rng.random_range(50..1_500),
        counts: (0..rng.random_range(1..=3)).map(|_| rng.random_range(1..=4)).collect(),
    };
    lock(world).sent.insert(id.clone(), payload.clone());
    let outcome = submit(fronts, &id, &payload, rng);
    let mut job = Job { id, outcome, is_cancelled: false };
    if job.outcome == Outcome::Accepted && rng.random_bool(0.1) {
        job.is_cancelled = true;
        cancel(world, fronts, &job.id, rng);
    }
    if job.outcome == Outcome::Accepted && rng.random_bool(0.3) {
        let state = state(fronts[rng.random_range(0..fronts.len())], &job.id);
        if state.is_wrong(&job) {
            lock(world).breaches.push(format!("{} is shown as {state:?}", job.id));
        }
    }
    job
}

/// Hands a job in until an attempt is accepted.
fn submit(fronts: &[SocketAddr], id: &str, payload: &Payload, rng: &mut StdRng) -> Outcome {
    let mut outcome = Outcome::Refused;
    for _ in 0..ATTEMPTS {
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
            serde_json::json!({ "count": count, "cpu": payload.cpu, "mem-mb": 1,
                "estimate-ms": payload.ms, "after": after })
        })
        .collect();
    let body = serde_json::json!({ "spec": "soak", "steps": steps }).to_string();
    let request = agent()
        .post(format!("http://{front}{PREFIX}{id}"))
        .header("host", HOST)
        .header("content-type", "application/json")
        .header("x-deadline-ms", TIMEOUT.as_millis().to_string());
    request.send(body).ok().map(|answer| answer.status().as_u16())
}

fn cancel(world: &Shared, fronts: &[SocketAddr], id: &str, rng: &mut StdRng) {
    for _ in 0..ATTEMPTS {
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
