//! A randomized soak of real `plantainlever node` processes on the platform's protocols, with faults from outside of
//! them.
//!
//! A seed decides the sizes, the jobs and the faults: links that are cut, silenced one way or both, or slowed;
//! processes that are killed, paused, stopped gracefully and started again; a store that refuses, is silent or slow,
//! loses answers, applies writes late or forgets its history; workers that are lost, fail everything or carry out
//! commands late. Faults overlap. The stand-ins check each start, and the callers check the answers. After the faults
//! every accepted job must end.

mod caller;
mod faults;
mod node;
pub mod serve;
pub mod world;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use crate::link::Link;
use serve::{Shared, lock};
use world::{Worker, World};

pub use caller::{Job, Outcome};
pub use node::NodeProcess;

/// Host and path of the one route.
const HOST: &str = "soak.example";
const PREFIX: &str = "/jobs/";

/// Longest time from the last fault until every accepted job has ended: leases of lost owners and workers lapse one
/// after the other, and quarantines of workers end.
const SETTLE: Duration = Duration::from_secs(60);

/// Longest time for the first process to take jobs.
const START: Duration = Duration::from_secs(30);

/// What a soak found.
#[derive(Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Broken promises; empty if all were kept.
    pub breaches: Vec<String>,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs of which no attempt was accepted or left open.
    pub refused: usize,
    /// Starts that workers carried out.
    pub starts: usize,
    /// Faults, in order.
    pub faults: Vec<String>,
    /// Last lines of the processes, for a seed that failed.
    pub logs: Vec<String>,
}

/// Processes, links and workers of a run.
pub(crate) struct Site {
    pub(crate) world: Shared,
    pub(crate) nodes: Vec<NodeProcess>,
    /// From each process to the store.
    pub(crate) store_links: Vec<Link>,
    /// From all processes to each worker.
    pub(crate) worker_links: Vec<Link>,
}

/// Runs a seed with faults for `length`.
///
/// # Errors
///
/// If the machine does not let the processes or the stand-ins start.
pub fn run(binary: &Path, seed: u64, length: Duration) -> Result<Report, std::io::Error> {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = rng.random_range(4..=9);
    let count = rng.random_range(2..=5);
    let world: Shared = Arc::new(Mutex::new(World::default()));
    let (stop, stopped) = watch::channel(false);
    let (tx, rx) = mpsc::channel();
    let serving = Arc::clone(&world);
    let platform = std::thread::spawn(move || serve::run(&serving, workers, &tx, &stopped));
    let gone = |_| std::io::Error::other("the stand-ins did not start");
    let addresses = rx.recv().map_err(gone)?;
    let mut site = begin(binary, &world, count, &addresses)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = caller::start(&site, seed, &is_over);
    let mut faults = Vec::new();
    if wait_for_owner(&site) {
        faults = faults::play(&mut site, &mut rng, length);
        faults::heal(&mut site)?;
    } else {
        lock(&world).breaches.push("no process takes jobs".to_owned());
    }
    is_over.store(true, Ordering::SeqCst);
    let mut jobs = Vec::new();
    for caller in callers {
        jobs.extend(caller.join().unwrap_or_default());
    }
    settle(&site, &jobs);
    judge(&world, &jobs);
    let logs = site.nodes.iter().flat_map(NodeProcess::last_lines).collect();
    drop(site);
    stop.send_replace(true);
    let ended = platform.join();
    let mut world = lock(&world);
    if !matches!(ended, Ok(Ok(()))) {
        world.breaches.push(format!("the stand-ins ended with {ended:?}"));
    }
    Ok(Report {
        seed,
        breaches: std::mem::take(&mut world.breaches),
        accepted: jobs.iter().filter(|job| job.outcome == Outcome::Accepted).count(),
        refused: jobs.iter().filter(|job| job.outcome == Outcome::Refused).count(),
        starts: world.starts.len(),
        faults,
        logs,
    })
}

fn begin(
    binary: &Path,
    world: &Shared,
    count: usize,
    addresses: &[SocketAddr],
) -> Result<Site, std::io::Error> {
    let worker_links =
        addresses[1..].iter().map(|to| Link::to(*to)).collect::<Result<Vec<_>, _>>()?;
    {
        let mut world = lock(world);
        for (index, link) in worker_links.iter().enumerate() {
            world.workers.push(Worker::new(index, link.address().to_string(), 4_000));
        }
        list_workers(&mut world);
        let config = serde_json::json!({ "version": 1, "routes": [{ "name": "queue", "host": HOST,
            "path-prefix": PREFIX, "service": "pool", "priority": 0, "attempts": 50,
            "stretch": 2.0, "target-latency-ms": 1_000 }] });
        world.put("op", "config", Some(BASE64_STANDARD.encode(config.to_string())));
    }
    let store_links = (0..count).map(|_| Link::to(addresses[0])).collect::<Result<Vec<_>, _>>()?;
    let nodes = store_links
        .iter()
        .enumerate()
        .map(|(index, link)| NodeProcess::start(binary, index, link.address()))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Site { world: Arc::clone(world), nodes, store_links, worker_links })
}

/// Writes the entries of the workers; the entry of a lost one is removed.
pub(crate) fn list_workers(world: &mut World) {
    let entries: Vec<(String, Option<String>)> = world
        .workers
        .iter()
        .map(|worker| {
            let is_gone = worker.mode == world::WorkerMode::Dead;
            let entry = serde_json::json!({ "service": "pool", "address": worker.address,
                "zone": worker.domain, "state": if worker.is_draining { "draining" } else { "ready" },
                "capacity": { "cpu": worker.capacity, "mem-mb": 1_000_000, "gpu": 0 },
                "labels": ["a", "rack"], "born": worker.born, "version": "v1", "slots": 8, "seq": 1 });
            let value = (!is_gone).then(|| BASE64_STANDARD.encode(entry.to_string()));
            (worker.id.clone(), value)
        })
        .collect();
    for (id, value) in entries {
        world.put("servers", &id, value);
    }
}

fn wait_for_owner(site: &Site) -> bool {
    let until = Instant::now() + START;
    while Instant::now() < until {
        if !lock(&site.world).starts.is_empty() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Waits until every accepted job has ended.
fn settle(site: &Site, jobs: &[Job]) {
    let until = Instant::now() + SETTLE;
    let mut left: BTreeSet<&Job> =
        jobs.iter().filter(|job| job.outcome == Outcome::Accepted).collect();
    let mut seen = String::new();
    while !left.is_empty() && Instant::now() < until {
        for node in &site.nodes {
            left.retain(|job| {
                let state = caller::state(node.front(), &job.id);
                if !state.is_final() {
                    seen = format!("{}: {state:?}", job.id);
                }
                let is_wrong = state.is_wrong(job);
                if is_wrong {
                    let breach = format!("{} is shown as {state:?}", job.id);
                    lock(&site.world).breaches.push(breach);
                }
                !state.is_final() && !is_wrong
            });
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    for job in left {
        let breach =
            format!("{} has not ended {SETTLE:?} after the faults; seen last: {seen}", job.id);
        lock(&site.world).breaches.push(breach);
    }
}

/// Jobs that were refused must not have run.
fn judge(world: &Shared, jobs: &[Job]) {
    let mut world = lock(world);
    let started = world.started_jobs();
    for job in jobs.iter().filter(|job| job.outcome == Outcome::Refused) {
        if started.contains(&job.id) {
            world.breaches.push(format!("{} was refused and has run", job.id));
        }
    }
}
