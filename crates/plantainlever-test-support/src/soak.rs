//! A randomized soak test of real `plantainlever node` processes against stand-ins of the platform's protocols, with
//! faults injected from outside the processes.
//!
//! The seed determines the cluster size, the jobs and the faults: links that are cut, silenced in one or both
//! directions, or delayed; open connections that go silent while new ones work; processes that are killed, paused,
//! stopped gracefully and restarted; a store that refuses requests, is silent or slow, loses answers, applies writes
//! late or compacts its change history; workers that are lost, drain, fail every run or execute commands late; tasks
//! that crash their workers, and capacities of workers that change; an owner that is cut off for longer than its leases
//! last, and jobs whose progress takes several rows. Instead of these, a run may have a series of changes of the owner
//! with long-running jobs, workers may crash without closing a connection or leave orders waiting, answers to writes
//! may have newer versions than the writes, and the next start of a process may precede the end of the last one.
//!
//! Faults overlap, and routes are added and removed meanwhile. The stand-ins check each start of a task, and the
//! callers check the job states in the answers. After the last fault every accepted job must end.

mod caller;
pub mod calm;
mod capacity;
pub mod contact;
pub mod crash;
mod crowds;
mod faults;
mod long_running;
mod node;
mod owner_chain;
mod owner_cut;
mod routes;
pub mod serve;
mod silent_crash;
mod start_check;
mod worker_deaths;
pub mod world;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use crate::link::Link;
use owner_chain::OwnerChain;
use serve::{SharedWorld, lock};
use world::{Worker, World};

pub use caller::{Job, Outcome};
pub use node::{NodeProcess, VmLimits};

/// Host of all routes, and path prefix of the one for jobs.
const HOST: &str = "soak.example";
const PREFIX: &str = "/jobs/";

/// Time after the last fault in which every accepted job must end, besides the time for which the work that is left
/// occupies all workers. It covers leases of lost shard owners and workers that lapse one after the other, and
/// quarantines of workers.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);

/// Time in which the first task must start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// CPU of a worker in thousandths of a core, while it is not changed.
const WORKER_CPU: u64 = 4_000;

/// Number of failed runs after which a task fails its job.
const ATTEMPTS: u32 = 50;

/// Salt of the random numbers that select the optional faults of a seed.
const OPTIONAL_FAULTS_SALT: u64 = 0x0517_0f7a;

/// Salt of the random numbers for the delays of orders.
const ORDER_DELAYS_SALT: u64 = 0x0517_de1a;

/// Salt of the random numbers for the changes of an unrelated row.
const UNRELATED_CHANGES_SALT: u64 = 0x0517_0e25;

/// Probability of each of them.
const OPTIONAL_FAULT_PROBABILITY: f64 = 0.75;

/// Faults that not every run has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OptionalFaults {
    /// Some jobs have a task that crashes its workers.
    pub crashing_tasks: bool,
    /// The capacities of the workers change.
    pub capacity_changes: bool,
    /// The owner of the shard is cut off with half of the workers, for longer than its leases last.
    pub owner_cut: bool,
    /// A caller submits jobs whose progress takes several rows.
    pub wide_jobs: bool,
    /// The owners of the shard are disrupted one after the other, in a larger cluster and with long-running jobs. There
    /// are no other random faults, except losses of open connections and the optional ones.
    pub owner_chain: bool,
    /// Workers crash without closing a connection and are back within 1.2 s.
    pub silent_crashes: bool,
    /// Orders wait in the workers before they are executed and answered, and lists of runs before they are sent.
    pub delayed_orders: bool,
    /// Answers of the store to writes have a newer version than that of the write.
    pub newer_versions: bool,
    /// Workers die for good beside disruptions of the owner, in a larger cluster and with long-running jobs. There are no
    /// other faults, except the optional ones. The times until lost tasks run again are bounded.
    pub worker_deaths: bool,
    /// Workers that are back after a silent crash are cut off soon after.
    pub cut_returns: bool,
    /// Crowds of clients hold back the end of their requests; the processes have smaller VMs.
    pub crowds: bool,
    /// In an owner chain, the next start of a process does not wait for the end of the one that is stopping.
    pub early_restarts: bool,
}

impl OptionalFaults {
    /// None of them.
    pub const NONE: Self = Self {
        crashing_tasks: false,
        capacity_changes: false,
        owner_cut: false,
        wide_jobs: false,
        owner_chain: false,
        silent_crashes: false,
        cut_returns: false,
        delayed_orders: false,
        newer_versions: false,
        crowds: false,
        early_restarts: false,
        worker_deaths: false,
    };

    /// Those that concern single tasks and workers.
    pub const TASKS_AND_WORKERS: Self =
        Self { crashing_tasks: true, capacity_changes: true, ..Self::NONE };

    /// Those that concern the owner and its rows.
    pub const OWNER_AND_ROWS: Self = Self { owner_cut: true, wide_jobs: true, ..Self::NONE };

    /// Those with the given names, which are separated by commas and are those of the fields. `None` if there is
    /// another name.
    #[must_use]
    pub fn from_names(names: &str) -> Option<Self> {
        let mut faults = Self::NONE;
        for name in names.split(',') {
            *match name {
                "crashing_tasks" => &mut faults.crashing_tasks,
                "capacity_changes" => &mut faults.capacity_changes,
                "owner_cut" => &mut faults.owner_cut,
                "wide_jobs" => &mut faults.wide_jobs,
                "owner_chain" => &mut faults.owner_chain,
                "silent_crashes" => &mut faults.silent_crashes,
                "cut_returns" => &mut faults.cut_returns,
                "delayed_orders" => &mut faults.delayed_orders,
                "newer_versions" => &mut faults.newer_versions,
                "worker_deaths" => &mut faults.worker_deaths,
                "crowds" => &mut faults.crowds,
                "early_restarts" => &mut faults.early_restarts,
                _ => return None,
            } = true;
        }
        Some(faults)
    }

    /// Those of a run with this seed.
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ OPTIONAL_FAULTS_SALT);
        Self {
            crashing_tasks: rng.random_bool(OPTIONAL_FAULT_PROBABILITY),
            capacity_changes: rng.random_bool(OPTIONAL_FAULT_PROBABILITY),
            owner_cut: rng.random_bool(OPTIONAL_FAULT_PROBABILITY),
            wide_jobs: rng.random_bool(OPTIONAL_FAULT_PROBABILITY),
            ..Self::NONE
        }
    }
}

/// Result of a soak run.
#[derive(Debug)]
pub struct Report {
    /// Seed with which the run can be repeated.
    pub seed: u64,
    /// Breaches of an invariant; empty if the run passed.
    pub breaches: Vec<String>,
    /// Number of jobs that some process accepted.
    pub accepted: usize,
    /// Number of jobs of which every submission was refused.
    pub refused: usize,
    /// Number of task starts that workers executed.
    pub starts: usize,
    /// Number of crashes of workers.
    pub crashes: usize,
    /// Descriptions of the injected faults, in order.
    pub faults: Vec<String>,
    /// Last log lines of all processes, for the diagnosis of a failed run.
    pub logs: Vec<String>,
}

/// Processes, links and stand-ins of a soak run.
#[derive(Debug)]
pub(crate) struct SoakCluster {
    binary: PathBuf,
    vm_limits: VmLimits,
    pub(crate) world: SharedWorld,
    pub(crate) nodes: Vec<NodeProcess>,
    /// Processes that were stopping when the next ones were started in their places.
    replaced_nodes: Vec<NodeProcess>,
    /// By process: its link to the store.
    pub(crate) store_links: Vec<Vec<Link>>,
    /// By worker: the links to it, one from each process.
    pub(crate) worker_links: Arc<Vec<Vec<Link>>>,
}

/// Thread that serves the stand-ins of the store and the workers.
#[derive(Debug)]
struct StandIns {
    stop: watch::Sender<bool>,
    thread: JoinHandle<Result<(), std::io::Error>>,
}

impl StandIns {
    /// Starts the thread. Returns it with the addresses: for each process that of the store, then those of the workers.
    fn start(
        world: &SharedWorld,
        nodes: usize,
        workers: usize,
    ) -> Result<(Self, Vec<SocketAddr>), std::io::Error> {
        let (stop, stopped) = watch::channel(false);
        let (tx, rx) = mpsc::channel();
        let world = Arc::clone(world);
        let thread = std::thread::spawn(move || serve::run(&world, nodes, workers, &tx, &stopped));
        let not_started = |_| std::io::Error::other("the stand-ins did not start");
        let addresses = rx.recv().map_err(not_started)?;
        Ok((Self { stop, thread }, addresses))
    }

    fn close(self) -> Result<(), std::io::Error> {
        self.stop.send_replace(true);
        let panicked = |_| Err(std::io::Error::other("the thread has panicked"));
        self.thread.join().unwrap_or_else(panicked)
    }
}

/// Runs the soak with a seed, and injects faults for `fault_time`, the optional ones as given.
///
/// # Errors
///
/// If a process or a stand-in cannot be started.
pub fn run(
    binary: &Path,
    seed: u64,
    optional_faults: OptionalFaults,
    fault_time: Duration,
) -> Result<Report, std::io::Error> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut worker_count = rng.random_range(4..=9);
    let mut node_count = rng.random_range(2..=5);
    if optional_faults.owner_chain || optional_faults.worker_deaths {
        (node_count, worker_count) = OwnerChain::cluster_size(seed);
    }
    let world: SharedWorld = Arc::new(Mutex::new(World::default()));
    lock(&world).began = Some(Instant::now());
    let random = |salt: u64| StdRng::seed_from_u64(seed ^ salt);
    lock(&world).order_delays = optional_faults.delayed_orders.then(|| random(ORDER_DELAYS_SALT));
    lock(&world).unrelated_changes =
        optional_faults.newer_versions.then(|| random(UNRELATED_CHANGES_SALT));
    let (stand_ins, addresses) = StandIns::start(&world, node_count, worker_count)?;
    let limits = if optional_faults.crowds { crowds::VM_LIMITS } else { VmLimits::default() };
    let mut cluster = start_cluster(binary, &world, node_count, limits, &addresses)?;
    let stop_callers = Arc::new(AtomicBool::new(false));
    let callers = caller::start(&cluster, seed, optional_faults, &stop_callers);
    let stop_restarts = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let restarts = crash::start(&cluster, &stop_restarts);
    let mut faults = Vec::new();
    if wait_for_first_start(&cluster) {
        lock(&world).faults_began = Some(Instant::now());
        let routes = routes::start(&cluster, seed, &stop_callers);
        let crowds = optional_faults.crowds.then(|| crowds::start(&cluster, seed, &stop_callers));
        faults = faults::inject(&mut cluster, &mut rng, seed, optional_faults, fault_time);
        faults::end_all(&mut cluster)?;
        stop_callers.store(true, Ordering::SeqCst);
        if routes.join().is_err() {
            lock(&world).breaches.push("the thread that changes routes has panicked".to_owned());
        }
        match crowds.map(JoinHandle::join) {
            Some(Ok(sent)) => faults.extend(sent),
            Some(Err(_)) => {
                lock(&world).breaches.push("the thread that sends crowds has panicked".to_owned());
            }
            None => {}
        }
        crowds::check_memory(&mut cluster);
    } else {
        lock(&world).breaches.push(format!("no task started within {STARTUP_TIMEOUT:?}"));
    }
    stop_callers.store(true, Ordering::SeqCst);
    let mut jobs = Vec::new();
    for caller in callers {
        jobs.extend(caller.join().unwrap_or_default());
    }
    long_running::end(&cluster, &mut jobs);
    wait_for_jobs(&cluster, &jobs);
    check_refused_jobs(&world, &jobs);
    stop_restarts.store(true, Ordering::SeqCst);
    if restarts.join().is_err() {
        lock(&world).breaches.push("the thread that restarts workers has panicked".to_owned());
    }
    let nodes = cluster.replaced_nodes.iter().chain(&cluster.nodes);
    let logs = nodes.flat_map(NodeProcess::last_log_lines).collect();
    drop(cluster);
    let server_result = stand_ins.close();
    let mut world = lock(&world);
    if let Err(e) = server_result {
        world.breaches.push(format!("the stand-ins ended with {e}"));
    }
    faults.extend(world.describe_owners());
    faults.extend(world.crashes.iter().map(|crash| {
        let after_s = crash.at.duration_since(start).as_secs_f64();
        format!("crash {after_s:.1} s after the start: {} with {:?}", crash.worker, crash.tasks)
    }));
    Ok(Report {
        seed,
        breaches: std::mem::take(&mut world.breaches),
        accepted: jobs.iter().filter(|job| job.outcome == Outcome::Accepted).count(),
        refused: jobs.iter().filter(|job| job.outcome == Outcome::Refused).count(),
        starts: world.starts.len(),
        crashes: world.crashes.len(),
        faults,
        logs,
    })
}

impl SoakCluster {
    /// Starts the next process of a VM beside the one that is stopping there, with other ports.
    pub(crate) fn start_beside(&mut self, index: usize) -> Result<(), std::io::Error> {
        let store = self.store_links[index][0].address();
        let next = NodeProcess::start(&self.binary, index, store, self.vm_limits)?;
        self.replaced_nodes.push(std::mem::replace(&mut self.nodes[index], next));
        Ok(())
    }
}

fn start_cluster(
    binary: &Path,
    world: &SharedWorld,
    node_count: usize,
    vm_limits: VmLimits,
    addresses: &[SocketAddr],
) -> Result<SoakCluster, std::io::Error> {
    let by_node: Vec<&[SocketAddr]> = addresses.chunks(addresses.len() / node_count).collect();
    // The first address of a process is the store's, the others are the workers'.
    let links = |index: usize| {
        by_node.iter().map(|of_node| Link::to(of_node[index])).collect::<Result<Vec<_>, _>>()
    };
    let worker_links = (1..by_node[0].len()).map(links).collect::<Result<Vec<_>, _>>()?;
    {
        let mut world = lock(world);
        for (index, links) in worker_links.iter().enumerate() {
            let addresses = links.iter().map(|link| link.address().to_string()).collect();
            world.workers.push(Worker::new(index, addresses, WORKER_CPU));
        }
        (0..node_count).for_each(|node| world.contact.disrupt_node(node));
        publish_workers(&mut world);
    }
    routes::publish(world, 1, &[]);
    let store_links = links(0)?;
    let nodes = store_links
        .iter()
        .enumerate()
        .map(|(index, link)| NodeProcess::start(binary, index, link.address(), vm_limits))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(SoakCluster {
        binary: binary.to_owned(),
        vm_limits,
        world: Arc::clone(world),
        nodes,
        replaced_nodes: Vec::new(),
        store_links: store_links.into_iter().map(|link| vec![link]).collect(),
        worker_links: Arc::new(worker_links),
    })
}

/// Writes the directory entry of each worker to the store, and removes the entries of lost ones.
pub(crate) fn publish_workers(world: &mut World) {
    let entries: Vec<(String, Option<String>)> = world
        .workers
        .iter()
        .map(|worker| {
            let entry = serde_json::json!({ "service": "pool", "address": worker.addresses[0],
                "zone": worker.domain, "state": if worker.is_draining { "draining" } else { "ready" },
                "capacity": { "cpu": worker.capacity(), "mem-mb": 1_000_000, "gpu": 0 },
                "labels": ["a", "rack"], "born": worker.incarnation_started_unix_ms, "version": "v1",
                "slots": 8, "seq": 1 });
            let value = worker.is_listed().then(|| BASE64_STANDARD.encode(entry.to_string()));
            (worker.id.clone(), value)
        })
        .collect();
    for (id, value) in entries {
        world.put_row("servers", &id, value);
    }
}

fn wait_for_first_start(cluster: &SoakCluster) -> bool {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while Instant::now() < deadline {
        if !lock(&cluster.world).starts.is_empty() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Waits until every accepted job has ended. Jobs that have not ended in time or are shown in a wrong state are
/// breaches.
fn wait_for_jobs(cluster: &SoakCluster, jobs: &[Job]) {
    let timeout = COMPLETION_TIMEOUT + lock(&cluster.world).time_for_work_left(jobs);
    let deadline = Instant::now() + timeout;
    let mut pending: BTreeSet<&Job> =
        jobs.iter().filter(|job| job.outcome == Outcome::Accepted).collect();
    let mut last_seen = String::new();
    while !pending.is_empty() && Instant::now() < deadline {
        for node in &cluster.nodes {
            pending.retain(|job| {
                let state = caller::state(node.front(), &job.id);
                if !state.is_final() {
                    last_seen = format!("{}: {state:?}", job.id);
                }
                let mut world = lock(&cluster.world);
                let is_breach = state.is_breach(job, &world);
                if is_breach {
                    world.breaches.push(format!("{} is shown as {state:?}", job.id));
                }
                !state.is_final() && !is_breach
            });
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    for job in pending {
        let breach = format!(
            "{} has not ended {timeout:?} after the faults; seen last: {last_seen}",
            job.id
        );
        lock(&cluster.world).breaches.push(breach);
    }
}

/// Reports a breach for each refused job that has run.
fn check_refused_jobs(world: &SharedWorld, jobs: &[Job]) {
    let mut world = lock(world);
    let started = world.started_jobs();
    for job in jobs.iter().filter(|job| job.outcome == Outcome::Refused) {
        if started.contains(&job.id) {
            world.breaches.push(format!("{} was refused and has run", job.id));
        }
    }
}
