//! Changes the capacities of workers during a soak.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::serve::lock;
use super::{SoakCluster, WORKER_CPU, publish_workers};

/// Salt of the random numbers, so that the other faults of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_ca9a;

/// Shortest and longest time between two changes, in ms.
const INTERVAL_MS: std::ops::Range<u64> = 200..1_500;

/// Granularity of the capacities in thousandths of a core; that of the tasks.
const CPU_UNIT: u64 = 500;

/// Changes the capacity of a random worker at random times. A changed capacity lasts until the worker's next change.
#[derive(Debug)]
pub(super) struct CapacityChanges {
    rng: StdRng,
    next: Instant,
}

impl CapacityChanges {
    pub(super) fn new(seed: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed ^ SEED_SALT), next: Instant::now() }
    }

    /// Changes the capacity of a worker if a change is due, and returns the description.
    pub(super) fn change_if_due(&mut self, cluster: &SoakCluster) -> Option<String> {
        if Instant::now() < self.next {
            return None;
        }
        self.next = Instant::now() + Duration::from_millis(self.rng.random_range(INTERVAL_MS));
        let mut world = lock(&cluster.world);
        let index = self.rng.random_range(0..world.workers.len());
        let cpu = self.rng.random_range(1..=WORKER_CPU / CPU_UNIT) * CPU_UNIT;
        let worker = &mut world.workers[index];
        let description = format!("capacity of worker {index}: {} -> {cpu}", worker.capacity());
        worker.set_capacity(cpu);
        publish_workers(&mut world);
        Some(description)
    }
}

/// Gives all workers their full capacity.
pub(super) fn restore_all(cluster: &SoakCluster) {
    let mut world = lock(&cluster.world);
    for worker in &mut world.workers {
        worker.set_capacity(WORKER_CPU);
    }
    publish_workers(&mut world);
}
