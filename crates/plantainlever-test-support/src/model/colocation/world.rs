//! Ground truth of the colocation model: workers, entries, slowdowns, arrivals and measurement noise.
//!
//! Only the oracle reads it; the other policies see measurements.

use std::collections::BTreeMap;

use plantainlever::task::TaskId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WORKERS: usize = 40;
const WORKERS_WITH_SERVICE: usize = 24;
const CORES: u64 = 32;
const SERVICE_CORES: u64 = 8;
const ENTRIES: usize = 10;

/// Cores that the arriving tasks need on average, relative to the cores of all workers.
const DEMAND: f64 = 1.2;

/// Mean run time of a task at full speed.
const MEAN_RUN_S: f64 = 120.0;

/// Period and length of the waves in which one entry causes more slowdown.
const WAVE_EVERY_S: u64 = 300;
const WAVE_S: u64 = 60;

/// Slowdown by the entry of a wave relative to its usual one.
const WAVE_FACTOR: f64 = 3.0;

/// A batch entry.
pub struct Entry {
    pub name: String,
    /// Cores that a task uses at full speed.
    pub cores: f64,
    /// Declared size in thousandths of a core, 0.8 to 2 times the real one.
    pub declared_millis: u64,
    /// By service: slowdown that each used core causes.
    pub slowdown: [f64; 2],
}

/// A simulated worker.
pub struct Host {
    /// Cores available to batch tasks.
    pub cores: u64,
    /// Index of the service whose executor it runs, if any.
    pub service: Option<usize>,
}

/// A task that arrives during the run.
#[derive(Clone)]
pub struct Arrival {
    pub id: TaskId,
    pub entry: usize,
    pub second: u64,
    /// Work in core-seconds.
    pub work: f64,
}

pub struct World {
    pub services: [&'static str; 2],
    pub hosts: Vec<Host>,
    pub entries: Vec<Entry>,
    arrivals: BTreeMap<u64, Vec<Arrival>>,
    /// Index of the entry of each wave.
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

    /// True p99 of a worker's service as a share of its target, given the cores used by entry; 0 without a service.
    pub fn tail(&self, worker: usize, used: &BTreeMap<usize, f64>, second: u64) -> f64 {
        let Some(service) = self.hosts[worker].service else { return 0.0 };
        let slowdown: f64 =
            used.iter().map(|(entry, cores)| self.slowdown(*entry, service, second) * cores).sum();
        baseline(service, second) * (1.0 + slowdown)
    }

    /// True slowdown per used core at a time, waves included.
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
        let mut due_arrivals = 4.0 * MEAN_RUN_S * per_second / 4.0;
        for second in 0..run_s {
            due_arrivals += per_second;
            while due_arrivals >= 1.0 {
                due_arrivals -= 1.0;
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
        let arrivals = self.arrivals.entry(second).or_default();
        let id = TaskId::new(format!("{second}-{}", arrivals.len()));
        arrivals.push(Arrival { id, entry, second, work });
    }
}

/// Draws an entry. Its slowdowns vary by a log-normal factor per entry and by another one per pair of entry and
/// service.
fn entry(number: usize, rng: &mut StdRng) -> Entry {
    let cores = rng.random_range(1.0..4.0);
    let declared_factor = rng.random_range(0.8..2.0);
    let entry_slowdown = 0.06 * (0.9 * normal(rng)).exp();
    let mut slowdown = [0.0; 2];
    for pair in &mut slowdown {
        *pair = entry_slowdown * (0.7 * normal(rng)).exp();
    }
    Entry {
        name: format!("batch-{number}"),
        cores,
        declared_millis: (cores * declared_factor * 1000.0) as u64,
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

/// Tail of a service without neighbours. The load oscillates with a period of 20 minutes and a phase per service.
fn baseline(service: usize, second: u64) -> f64 {
    let phase = second as f64 / 1200.0 * std::f64::consts::TAU;
    0.45 + 0.08 * (phase + service as f64 * 2.0).sin()
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn normal(rng: &mut StdRng) -> f64 {
    let (u, v): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
