//! The truth that the policies do not see.

use std::collections::BTreeMap;

use plantainlever::task::TaskId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WORKERS: usize = 40;
const WORKERS_WITH_SERVICE: usize = 24;
const CORES: u64 = 32;
const SERVICE_CORES: u64 = 8;
const ENTRIES: usize = 10;

/// Cores that arrive to be used, relative to the cores of all workers.
const DEMAND: f64 = 1.2;

/// Mean run time of a task in seconds.
const MEAN_RUN_S: f64 = 120.0;

/// Seconds from the start of one noisy wave to the next, and its length.
const WAVE_EVERY_S: u64 = 300;
const WAVE_S: u64 = 60;

/// Slowdown of a wave relative to the entry's normal one.
const WAVE_FACTOR: f64 = 3.0;

/// A batch entry.
pub struct Entry {
    pub name: String,
    /// Cores that a task really uses.
    pub cores: f64,
    pub declared_millis: u64,
    /// Slowdown per core by service.
    pub slowdown: [f64; 2],
}

/// A worker.
pub struct Host {
    /// Cores for tasks.
    pub cores: u64,
    /// Index of its service.
    pub service: Option<usize>,
}

/// A task to come.
#[derive(Clone)]
pub struct Arrival {
    pub id: TaskId,
    pub entry: usize,
    pub second: u64,
    /// Core-seconds.
    pub work: f64,
}

pub struct World {
    pub services: [&'static str; 2],
    pub hosts: Vec<Host>,
    pub entries: Vec<Entry>,
    arrivals: BTreeMap<u64, Vec<Arrival>>,
    /// Entry of each wave.
    waves: Vec<usize>,
    noise: StdRng,
}

impl World {
    pub fn new(seed: u64, run_s: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries: Vec<Entry> = (0..ENTRIES).map(|number| entry(number, &mut rng)).collect();
        let waves = (0..=run_s / WAVE_EVERY_S).map(|_| rng.random_range(0..ENTRIES)).collect();
        let hosts = (0..WORKERS).map(host).collect();
        let noise = StdRng::seed_from_u64(seed + 1);
        let services = ["booking", "ranking"];
        let mut world = Self { services, hosts, entries, arrivals: BTreeMap::new(), waves, noise };
        world.draw_arrivals(run_s, &mut rng);
        world
    }

    pub fn arrivals_at(&self, second: u64) -> Vec<Arrival> {
        self.arrivals.get(&second).cloned().unwrap_or_default()
    }

    /// Share of its target that the p99 of a worker's service has with these cores used by entry.
    pub fn tail(&self, worker: usize, used: &BTreeMap<usize, f64>, second: u64) -> f64 {
        let Some(service) = self.hosts[worker].service else { return 0.0 };
        let slowdown: f64 =
            used.iter().map(|(entry, cores)| self.slowdown(*entry, service, second) * cores).sum();
        baseline(service, second) * (1.0 + slowdown)
    }

    /// True slowdown per core at this time.
    pub fn slowdown(&self, entry: usize, service: usize, second: u64) -> f64 {
        let is_wave = second % WAVE_EVERY_S < WAVE_S && self.wave_entry(second) == entry;
        self.entries[entry].slowdown[service] * if is_wave { WAVE_FACTOR } else { 1.0 }
    }

    pub fn measurement_noise(&mut self) -> f64 {
        (0.1 * normal(&mut self.noise)).exp()
    }

    fn wave_entry(&self, second: u64) -> usize {
        self.waves[usize::try_from(second / WAVE_EVERY_S).unwrap_or(0)]
    }

    fn draw_arrivals(&mut self, run_s: u64, rng: &mut StdRng) {
        let capacity: u64 = self.hosts.iter().map(|host| host.cores).sum();
        let work = self.entries.iter().map(|entry| entry.cores * MEAN_RUN_S).sum::<f64>();
        let per_second = DEMAND * capacity as f64 / (work / ENTRIES as f64);
        let mut due = 4.0 * MEAN_RUN_S * per_second / 4.0;
        for second in 0..run_s {
            due += per_second;
            while due >= 1.0 {
                due -= 1.0;
                let entry = rng.random_range(0..ENTRIES);
                self.add_arrival(second, entry, rng);
            }
            if second % WAVE_EVERY_S == 0 {
                for _ in 0..30 {
                    self.add_arrival(second, self.wave_entry(second), rng);
                }
            }
        }
    }

    fn add_arrival(&mut self, second: u64, entry: usize, rng: &mut StdRng) {
        let run_s = MEAN_RUN_S * rng.random_range(0.2..1.8);
        let work = self.entries[entry].cores * run_s;
        let due = self.arrivals.entry(second).or_default();
        let id = TaskId::new(format!("{second}-{}", due.len()));
        due.push(Arrival { id, entry, second, work });
    }
}

/// Slowdowns differ by entry and again by pair, each by a log-normal factor.
fn entry(number: usize, rng: &mut StdRng) -> Entry {
    let cores = rng.random_range(1.0..4.0);
    let overstated = rng.random_range(0.8..2.0);
    let general = 0.06 * (0.9 * normal(rng)).exp();
    let mut slowdown = [0.0; 2];
    for pair in &mut slowdown {
        *pair = general * (0.7 * normal(rng)).exp();
    }
    Entry {
        name: format!("batch-{number}"),
        cores,
        declared_millis: (cores * overstated * 1000.0) as u64,
        slowdown,
    }
}

fn host(number: usize) -> Host {
    if number < WORKERS_WITH_SERVICE {
        Host { cores: CORES - SERVICE_CORES, service: Some(number % 2) }
    } else {
        Host { cores: CORES, service: None }
    }
}

/// Share of the target that a service uses alone. The load swings over 20 minutes, the services in turn.
fn baseline(service: usize, second: u64) -> f64 {
    let phase = second as f64 / 1200.0 * std::f64::consts::TAU;
    0.45 + 0.08 * (phase + service as f64 * 2.0).sin()
}

fn normal(rng: &mut StdRng) -> f64 {
    let (u, v): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
