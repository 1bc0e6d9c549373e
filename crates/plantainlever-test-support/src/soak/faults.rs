//! Injects faults at random times; they may overlap.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::link::Link;

use super::capacity::{self, CapacityChanges};
use super::owner_chain::OwnerChain;
use super::owner_cut::OwnerCut;
use super::serve::lock;
use super::silent_crash::SilentCrashes;
use super::worker_deaths::WorkerDeaths;
use super::world::{StoreMode, WorkerMode};
use super::{OptionalFaults, SoakCluster, publish_workers};

/// Upper bound of the time between the starts of two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 1_500;

/// Shortest and longest time between two losses of all open connections of a link.
const CONNECTION_LOSS_INTERVAL_MS: std::ops::Range<u64> = 1_000..6_000;

/// Salt of the random numbers for these losses, so that the other faults of a seed do not depend on them.
const CONNECTION_LOSS_SALT: u64 = 0x0517_51e7;

/// Component that a fault affects and that is restored when the fault ends.
enum FaultyComponent {
    Process(usize),
    StoreLink(usize),
    WorkerLink(usize),
    Store,
    Worker(usize),
}

/// Injects faults for `fault_time`, besides the random ones of `rng` losses of open connections, and returns their
/// descriptions.
pub(super) fn inject(
    cluster: &mut SoakCluster,
    rng: &mut StdRng,
    seed: u64,
    optional_faults: OptionalFaults,
    fault_time: Duration,
) -> Vec<String> {
    let start = Instant::now();
    let mut loss_rng = StdRng::seed_from_u64(seed ^ CONNECTION_LOSS_SALT);
    let mut next_loss = start;
    let mut capacity_changes = optional_faults.capacity_changes.then(|| CapacityChanges::new(seed));
    let mut owner_cut = optional_faults.owner_cut.then(OwnerCut::new);
    let mut owner_chain =
        optional_faults.owner_chain.then(|| OwnerChain::new(seed, optional_faults.early_restarts));
    let mut silent_crashes = optional_faults
        .silent_crashes
        .then(|| SilentCrashes::new(seed, optional_faults.cut_returns));
    let mut worker_deaths = optional_faults.worker_deaths.then(|| WorkerDeaths::new(seed));
    let has_random_faults = owner_chain.is_none() && worker_deaths.is_none();
    let mut active_faults: Vec<(Instant, FaultyComponent)> = Vec::new();
    let mut next = start;
    let mut descriptions = Vec::new();
    while start.elapsed() < fault_time {
        let now = Instant::now();
        for (_, component) in active_faults.extract_if(.., |(at, _)| *at <= now) {
            restore(cluster, &component);
        }
        for (_, component) in &active_faults {
            record_disruption(cluster, component);
        }
        let changes = [
            capacity_changes.as_mut().and_then(|it| it.change_if_due(cluster)),
            owner_cut.as_mut().and_then(|it| it.change_if_due(cluster)),
            owner_chain.as_mut().and_then(|it| it.change_if_due(cluster)),
            silent_crashes.as_mut().and_then(|it| it.change_if_due(cluster)),
            worker_deaths.as_mut().and_then(|it| it.change_if_due(cluster)),
        ];
        for change in changes.into_iter().flatten() {
            descriptions.push(format!("{:.1} s: {change}", start.elapsed().as_secs_f64()));
        }
        if now >= next_loss && worker_deaths.is_none() {
            let description = silence_open_connections(cluster, &mut loss_rng);
            descriptions.push(format!("{:.1} s: {description}", start.elapsed().as_secs_f64()));
            let interval_ms = loss_rng.random_range(CONNECTION_LOSS_INTERVAL_MS);
            next_loss = now + Duration::from_millis(interval_ms);
        }
        if now >= next && has_random_faults {
            let duration = Duration::from_millis(rng.random_range(300..6_000));
            let (description, component) = start_random_fault(cluster, rng);
            descriptions.push(format!(
                "{:.1} s: {description} for {:.1} s",
                start.elapsed().as_secs_f64(),
                duration.as_secs_f64()
            ));
            active_faults.push((now + duration, component));
            next = now + Duration::from_millis(rng.random_range(100..MAX_FAULT_INTERVAL_MS));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if let Some(mut worker_deaths) = worker_deaths {
        descriptions.push(worker_deaths.end_all(cluster));
    }
    if let Some(mut silent_crashes) = silent_crashes {
        silent_crashes.end_all(cluster);
    }
    if let Some(mut owner_chain) = owner_chain {
        owner_chain.end_all(cluster);
    }
    descriptions
}

/// Records that the component's process or the store is disrupted.
fn record_disruption(cluster: &SoakCluster, component: &FaultyComponent) {
    let contact = &mut lock(&cluster.world).contact;
    match component {
        FaultyComponent::Process(index) | FaultyComponent::StoreLink(index) => {
            contact.disrupt_node(*index);
        }
        FaultyComponent::Store => contact.disrupt_store(),
        FaultyComponent::WorkerLink(_) | FaultyComponent::Worker(_) => {}
    }
}

/// Silences the open connections of a process to the store, or of all processes to a worker, for good; new ones work.
fn silence_open_connections(cluster: &SoakCluster, rng: &mut StdRng) -> String {
    let is_to_store = rng.random_bool(0.8);
    let (links, link_end) = links(cluster, is_to_store);
    let index = rng.random_range(0..links.len());
    links[index].iter().for_each(Link::silence_open_connections);
    if is_to_store {
        record_disruption(cluster, &FaultyComponent::StoreLink(index));
    }
    format!("open connections to {link_end} {index} are silent")
}

/// Returns the links from each process to the store, or from all processes to each worker, and what they lead to.
fn links(cluster: &SoakCluster, is_to_store: bool) -> (&[Vec<Link>], &'static str) {
    if is_to_store {
        (&cluster.store_links, "store of process")
    } else {
        (&cluster.worker_links, "worker")
    }
}

fn start_random_fault(cluster: &mut SoakCluster, rng: &mut StdRng) -> (String, FaultyComponent) {
    match rng.random_range(0..10) {
        0..=2 => start_process_fault(cluster, rng),
        3 | 4 => start_link_fault(cluster, rng, true),
        5 | 6 => start_link_fault(cluster, rng, false),
        7 => start_store_fault(cluster, rng),
        _ => start_worker_fault(cluster, rng),
    }
}

fn start_process_fault(cluster: &mut SoakCluster, rng: &mut StdRng) -> (String, FaultyComponent) {
    let index = rng.random_range(0..cluster.nodes.len());
    let signal = ["-KILL", "-STOP", "-TERM"][rng.random_range(0..3)];
    cluster.nodes[index].signal(signal);
    (format!("process {index} gets {signal}"), FaultyComponent::Process(index))
}

fn start_link_fault(
    cluster: &mut SoakCluster,
    rng: &mut StdRng,
    is_to_store: bool,
) -> (String, FaultyComponent) {
    let (links, link_end) = links(cluster, is_to_store);
    let index = rng.random_range(0..links.len());
    let links = &links[index];
    let condition = match rng.random_range(0..5) {
        0 => {
            links.iter().for_each(Link::cut);
            "cut"
        }
        1 => {
            links.iter().for_each(|link| link.silence(true, true));
            "silent"
        }
        2 => {
            links.iter().for_each(|link| link.silence(false, true));
            "without answers"
        }
        3 => {
            links.iter().for_each(|link| link.silence(true, false));
            "without requests"
        }
        _ => {
            let delay = Duration::from_millis(rng.random_range(20..400));
            links.iter().for_each(|link| link.delay(delay));
            "slow"
        }
    };
    let component = if is_to_store {
        FaultyComponent::StoreLink(index)
    } else {
        FaultyComponent::WorkerLink(index)
    };
    (format!("link to {link_end} {index} is {condition}"), component)
}

fn start_store_fault(cluster: &mut SoakCluster, rng: &mut StdRng) -> (String, FaultyComponent) {
    let delay = Duration::from_millis(rng.random_range(100..1_500));
    let mut world = lock(&cluster.world);
    if rng.random_bool(0.2) {
        world.compacted_up_to = world.version;
        return ("the store forgets its history".to_owned(), FaultyComponent::Store);
    }
    world.store = [
        StoreMode::Busy,
        StoreMode::Silent,
        StoreMode::Slow(delay),
        StoreMode::Lost,
        StoreMode::Late(delay),
    ][rng.random_range(0..5)];
    (format!("the store is {:?}", world.store), FaultyComponent::Store)
}

fn start_worker_fault(cluster: &mut SoakCluster, rng: &mut StdRng) -> (String, FaultyComponent) {
    let mut world = lock(&cluster.world);
    let index = rng.random_range(0..world.workers.len());
    let delay = Duration::from_millis(rng.random_range(100..4_000));
    world.advance();
    let worker = &mut world.workers[index];
    if worker.mode == WorkerMode::Dead {
        return (format!("worker {index} stays lost"), FaultyComponent::Worker(index));
    }
    if rng.random_bool(0.2) {
        worker.is_draining = true;
        publish_workers(&mut world);
        return (format!("worker {index} drains"), FaultyComponent::Worker(index));
    }
    worker.mode =
        [WorkerMode::Dead, WorkerMode::Fails, WorkerMode::Late(delay)][rng.random_range(0..3)];
    let mode = worker.mode;
    if mode == WorkerMode::Dead {
        world.crash_worker(index, None);
        cluster.worker_links[index].iter().for_each(Link::cut);
        publish_workers(&mut world);
    }
    (format!("worker {index} is {mode:?}"), FaultyComponent::Worker(index))
}

/// Ends a fault: restarts the process or restores the component.
fn restore(cluster: &mut SoakCluster, component: &FaultyComponent) {
    record_disruption(cluster, component);
    match component {
        FaultyComponent::Process(index) => {
            cluster.nodes[*index].signal("-CONT");
            // A graceful stop takes a few seconds. A process that is still stopping is restarted by `end_all`, or when
            // its next fault ends.
            if let Err(e) = cluster.nodes[*index].restart() {
                lock(&cluster.world).breaches.push(format!("process {index} does not start: {e}"));
            }
        }
        FaultyComponent::StoreLink(index) => {
            cluster.store_links[*index].iter().for_each(Link::heal);
        }
        FaultyComponent::WorkerLink(index) => {
            let is_lost = lock(&cluster.world).workers[*index].mode == WorkerMode::Dead;
            if !is_lost {
                cluster.worker_links[*index].iter().for_each(Link::heal);
            }
        }
        FaultyComponent::Store => lock(&cluster.world).store = StoreMode::Well,
        FaultyComponent::Worker(index) => {
            let mut world = lock(&cluster.world);
            let worker = &mut world.workers[*index];
            // A worker that a task has crashed restarts at its own time.
            if worker.is_crashed() {
                return;
            }
            if worker.mode == WorkerMode::Dead {
                worker.restart();
                cluster.worker_links[*index].iter().for_each(Link::heal);
            }
            worker.mode = WorkerMode::Well;
            worker.is_draining = false;
            publish_workers(&mut world);
        }
    }
}

/// Ends all faults and restarts every process that has ended.
pub(super) fn end_all(cluster: &mut SoakCluster) -> Result<(), std::io::Error> {
    for index in 0..cluster.worker_links.len() {
        restore(cluster, &FaultyComponent::Worker(index));
        restore(cluster, &FaultyComponent::WorkerLink(index));
    }
    for index in 0..cluster.nodes.len() {
        restore(cluster, &FaultyComponent::StoreLink(index));
        restore(cluster, &FaultyComponent::Process(index));
    }
    restore(cluster, &FaultyComponent::Store);
    capacity::restore_all(cluster);
    // A process may still be stopping gracefully; it is restarted once it has exited.
    let deadline = Instant::now() + Duration::from_secs(8);
    while Instant::now() < deadline {
        for (index, node) in cluster.nodes.iter_mut().enumerate() {
            if node.restart()? {
                lock(&cluster.world).contact.disrupt_node(index);
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(())
}
