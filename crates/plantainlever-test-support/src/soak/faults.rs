//! Injects faults at random times; they may overlap.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::serve::lock;
use super::world::{StoreMode, WorkerMode};
use super::{SoakCluster, publish_workers};

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

/// Injects faults for `fault_time`, besides the random ones of `rng` losses of open connections, and returns their descriptions.
pub(super) fn inject(
    cluster: &mut SoakCluster,
    rng: &mut StdRng,
    seed: u64,
    fault_time: Duration,
) -> Vec<String> {
    let start = Instant::now();
    let mut loss_rng = StdRng::seed_from_u64(seed ^ CONNECTION_LOSS_SALT);
    let mut next_loss = start;
    let mut active_faults: Vec<(Instant, FaultyComponent)> = Vec::new();
    let mut next = start;
    let mut descriptions = Vec::new();
    while start.elapsed() < fault_time {
        let now = Instant::now();
        for (_, component) in active_faults.extract_if(.., |(at, _)| *at <= now) {
            restore(cluster, &component);
        }
        if now >= next_loss {
            let description = silence_open_connections(cluster, &mut loss_rng);
            descriptions.push(format!("{:.1} s: {description}", start.elapsed().as_secs_f64()));
            let interval_ms = loss_rng.random_range(CONNECTION_LOSS_INTERVAL_MS);
            next_loss = now + Duration::from_millis(interval_ms);
        }
        if now >= next {
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
    descriptions
}

/// Silences the open connections of a random link for good; new ones work.
fn silence_open_connections(cluster: &SoakCluster, rng: &mut StdRng) -> String {
    let (links, link_end) = if rng.random_bool(0.8) {
        (&cluster.store_links, "store of process")
    } else {
        (&cluster.worker_links, "worker")
    };
    let index = rng.random_range(0..links.len());
    links[index].silence_open_connections();
    format!("open connections to {link_end} {index} are silent")
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
    let links = if is_to_store { &cluster.store_links } else { &cluster.worker_links };
    let index = rng.random_range(0..links.len());
    let link = &links[index];
    let condition = match rng.random_range(0..5) {
        0 => {
            link.cut();
            "cut"
        }
        1 => {
            link.silence(true, true);
            "silent"
        }
        2 => {
            link.silence(false, true);
            "without answers"
        }
        3 => {
            link.silence(true, false);
            "without requests"
        }
        _ => {
            link.delay(Duration::from_millis(rng.random_range(20..400)));
            "slow"
        }
    };
    let (link_end, component) = if is_to_store {
        ("store of process", FaultyComponent::StoreLink(index))
    } else {
        ("worker", FaultyComponent::WorkerLink(index))
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
    let description = format!("worker {index} is {:?}", worker.mode);
    if worker.mode == WorkerMode::Dead {
        cluster.worker_links[index].cut();
        publish_workers(&mut world);
    }
    (description, FaultyComponent::Worker(index))
}

/// Ends a fault: restarts the process or restores the component.
fn restore(cluster: &mut SoakCluster, component: &FaultyComponent) {
    match component {
        FaultyComponent::Process(index) => {
            cluster.nodes[*index].signal("-CONT");
            // A graceful stop takes a few seconds. A process that is still stopping is restarted by `end_all`, or when
            // its next fault ends.
            if let Err(e) = cluster.nodes[*index].restart() {
                lock(&cluster.world).breaches.push(format!("process {index} does not start: {e}"));
            }
        }
        FaultyComponent::StoreLink(index) => cluster.store_links[*index].heal(),
        FaultyComponent::WorkerLink(index) => {
            let is_lost = lock(&cluster.world).workers[*index].mode == WorkerMode::Dead;
            if !is_lost {
                cluster.worker_links[*index].heal();
            }
        }
        FaultyComponent::Store => lock(&cluster.world).store = StoreMode::Well,
        FaultyComponent::Worker(index) => {
            let mut world = lock(&cluster.world);
            let worker = &mut world.workers[*index];
            if worker.mode == WorkerMode::Dead {
                worker.restart();
                cluster.worker_links[*index].heal();
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
    // A process may still be stopping gracefully; it is restarted once it has exited.
    let deadline = Instant::now() + Duration::from_secs(8);
    while Instant::now() < deadline {
        for node in &mut cluster.nodes {
            node.restart()?;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(())
}
