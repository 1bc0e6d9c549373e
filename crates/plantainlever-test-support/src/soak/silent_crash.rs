//! Workers that crash without closing a connection, and are back soon under their IDs. Some are cut off soon after.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::link::Link;

use super::serve::lock;
use super::world::WorkerMode;
use super::{SoakCluster, publish_workers};

/// Salt of the random numbers, so that the other faults of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_51c4;

/// Time between two crashes, in ms.
const INTERVAL_MS: Range<u64> = 300..2_500;

/// Time from a crash to the next incarnation, in ms.
const DOWN_MS: Range<u64> = 100..1_200;

/// Time from the start of an incarnation to the cut of its worker, in ms.
const CUT_AFTER_MS: Range<u64> = 0..1_500;

/// Length of such a cut, in ms; the longer ones outlast all leases.
const CUT_MS: Range<u64> = 1_000..12_000;

/// The crashes of one run.
#[derive(Debug)]
pub(super) struct SilentCrashes {
    rng: StdRng,
    next: Instant,
    /// Crashed workers, with the time at which their next incarnations start.
    down: Vec<(Instant, usize)>,
    /// Cuts of restarted workers that have not ended; `None` without such cuts.
    cuts: Option<Vec<ReturnCut>>,
}

/// Cut of a restarted worker.
#[derive(Clone, Copy, Debug)]
struct ReturnCut {
    begin: Instant,
    end: Instant,
    worker: usize,
    has_begun: bool,
}

impl SilentCrashes {
    pub(super) fn new(seed: u64, has_cuts: bool) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
        Self { rng, next: Instant::now(), down: Vec::new(), cuts: has_cuts.then(Vec::new) }
    }

    /// Restarts the workers that are due, and crashes another one if it is time. Returns the description.
    pub(super) fn change_if_due(&mut self, cluster: &SoakCluster) -> Option<String> {
        let now = Instant::now();
        for (_, index) in self.down.extract_if(.., |(at, _)| *at <= now) {
            restart(cluster, index);
            if let Some(cuts) = &mut self.cuts {
                let mut ms = |range| Duration::from_millis(self.rng.random_range(range));
                let begin = now + ms(CUT_AFTER_MS);
                let end = begin + ms(CUT_MS);
                cuts.push(ReturnCut { begin, end, worker: index, has_begun: false });
            }
        }
        self.cut_returned_workers(cluster, now);
        if now < self.next {
            return None;
        }
        self.next = now + Duration::from_millis(self.rng.random_range(INTERVAL_MS));
        let index = self.rng.random_range(0..cluster.worker_links.len());
        let time = Duration::from_millis(self.rng.random_range(DOWN_MS));
        let mut world = lock(&cluster.world);
        world.advance();
        if world.workers[index].mode == WorkerMode::Dead {
            return None;
        }
        for link in &cluster.worker_links[index] {
            link.silence_open_connections();
            link.silence(true, true);
        }
        world.crash_worker(index, None);
        world.workers[index].keep_listed(now);
        self.down.push((now + time, index));
        Some(format!("worker {index} crashes silently for {time:?}"))
    }

    /// Begins and ends the cuts that are due.
    fn cut_returned_workers(&mut self, cluster: &SoakCluster, now: Instant) {
        let partition = |index: usize, is_cut| {
            cluster.worker_links[index].iter().for_each(|link| link.partition(is_cut));
        };
        let Some(cuts) = &mut self.cuts else { return };
        for cut in cuts.extract_if(.., |cut| cut.end <= now) {
            partition(cut.worker, false);
        }
        for cut in cuts.iter_mut().filter(|cut| !cut.has_begun && cut.begin <= now) {
            cut.has_begun = true;
            partition(cut.worker, true);
        }
    }

    /// Restarts all crashed workers, and ends their cuts.
    pub(super) fn end_all(&mut self, cluster: &SoakCluster) {
        let now = Instant::now();
        self.cuts.iter_mut().flatten().for_each(|cut| cut.end = now);
        self.cut_returned_workers(cluster, now);
        std::mem::take(&mut self.down).into_iter().for_each(|(_, index)| restart(cluster, index));
    }
}

fn restart(cluster: &SoakCluster, index: usize) {
    let mut world = lock(&cluster.world);
    world.workers[index].restart();
    cluster.worker_links[index].iter().for_each(Link::heal);
    publish_workers(&mut world);
}
