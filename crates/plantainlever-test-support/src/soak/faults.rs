//! Faults, at random times and overlapping.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use super::serve::lock;
use super::world::{StoreMode, WorkerMode};
use super::{Site, list_workers};

/// Longest pause between the begins of two faults.
const PAUSE_MS: u64 = 1_500;

/// What ends a fault.
enum End {
    Process(usize),
    StoreLink(usize),
    WorkerLink(usize),
    Store,
    Worker(usize),
}

/// Plays faults for `length` and says which.
pub(super) fn play(site: &mut Site, rng: &mut StdRng, length: Duration) -> Vec<String> {
    let began = Instant::now();
    let mut ends: Vec<(Instant, End)> = Vec::new();
    let mut next = began;
    let mut played = Vec::new();
    while began.elapsed() < length {
        let now = Instant::now();
        for (_, end) in ends.extract_if(.., |(at, _)| *at <= now) {
            stop(site, &end);
        }
        if now >= next {
            let lasts = Duration::from_millis(rng.random_range(300..6_000));
            let (what, end) = begin(site, rng);
            played.push(format!(
                "{:.1} s: {what} for {:.1} s",
                began.elapsed().as_secs_f64(),
                lasts.as_secs_f64()
            ));
            ends.push((now + lasts, end));
            next = now + Duration::from_millis(rng.random_range(100..PAUSE_MS));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    played
}

fn begin(site: &mut Site, rng: &mut StdRng) -> (String, End) {
    match rng.random_range(0..10) {
        0..=2 => process(site, rng),
        3 | 4 => link(site, rng, true),
        5 | 6 => link(site, rng, false),
        7 => store(site, rng),
        _ => worker(site, rng),
    }
}

fn process(site: &mut Site, rng: &mut StdRng) -> (String, End) {
    let index = rng.random_range(0..site.nodes.len());
    let signal = ["-KILL", "-STOP", "-TERM"][rng.random_range(0..3)];
    site.nodes[index].signal(signal);
    (format!("process {index} gets {signal}"), End::Process(index))
}

fn link(site: &mut Site, rng: &mut StdRng, is_to_store: bool) -> (String, End) {
    let links = if is_to_store { &site.store_links } else { &site.worker_links };
    let index = rng.random_range(0..links.len());
    let link = &links[index];
    let how = match rng.random_range(0..5) {
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
    let (to, end) = if is_to_store {
        ("store of process", End::StoreLink(index))
    } else {
        ("worker", End::WorkerLink(index))
    };
    (format!("link to {to} {index} is {how}"), end)
}

fn store(site: &mut Site, rng: &mut StdRng) -> (String, End) {
    let delay = Duration::from_millis(rng.random_range(100..1_500));
    let mut world = lock(&site.world);
    if rng.random_bool(0.2) {
        world.history_from = world.ver;
        return ("the store forgets its history".to_owned(), End::Store);
    }
    world.store = [
        StoreMode::Busy,
        StoreMode::Silent,
        StoreMode::Slow(delay),
        StoreMode::Lost,
        StoreMode::Late(delay),
    ][rng.random_range(0..5)];
    (format!("the store is {:?}", world.store), End::Store)
}

fn worker(site: &mut Site, rng: &mut StdRng) -> (String, End) {
    let mut world = lock(&site.world);
    let index = rng.random_range(0..world.workers.len());
    let delay = Duration::from_millis(rng.random_range(100..4_000));
    let worker = &mut world.workers[index];
    if worker.mode == WorkerMode::Dead {
        return (format!("worker {index} stays lost"), End::Worker(index));
    }
    if rng.random_bool(0.2) {
        worker.is_draining = true;
        list_workers(&mut world);
        return (format!("worker {index} drains"), End::Worker(index));
    }
    worker.mode =
        [WorkerMode::Dead, WorkerMode::Fails, WorkerMode::Late(delay)][rng.random_range(0..3)];
    let what = format!("worker {index} is {:?}", worker.mode);
    if worker.mode == WorkerMode::Dead {
        site.worker_links[index].cut();
        list_workers(&mut world);
    }
    (what, End::Worker(index))
}

fn stop(site: &mut Site, end: &End) {
    match end {
        End::Process(index) => {
            site.nodes[*index].signal("-CONT");
            // A process that ends gracefully takes a few seconds; then it is started by `heal` or by the next fault's
            // end.
            if let Err(e) = site.nodes[*index].restart() {
                lock(&site.world).breaches.push(format!("process {index} does not start: {e}"));
            }
        }
        End::StoreLink(index) => site.store_links[*index].heal(),
        End::WorkerLink(index) => {
            let is_lost = lock(&site.world).workers[*index].mode == WorkerMode::Dead;
            if !is_lost {
                site.worker_links[*index].heal();
            }
        }
        End::Store => lock(&site.world).store = StoreMode::Well,
        End::Worker(index) => {
            let mut world = lock(&site.world);
            let worker = &mut world.workers[*index];
            if worker.mode == WorkerMode::Dead {
                worker.restart();
                site.worker_links[*index].heal();
            }
            worker.mode = WorkerMode::Well;
            worker.is_draining = false;
            list_workers(&mut world);
        }
    }
}

/// Ends all faults.
pub(super) fn heal(site: &mut Site) -> Result<(), std::io::Error> {
    for index in 0..site.worker_links.len() {
        stop(site, &End::Worker(index));
        stop(site, &End::WorkerLink(index));
    }
    for index in 0..site.nodes.len() {
        stop(site, &End::StoreLink(index));
        stop(site, &End::Process(index));
    }
    stop(site, &End::Store);
    // A process may still be in its graceful stop.
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        for node in &mut site.nodes {
            node.restart()?;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(())
}
