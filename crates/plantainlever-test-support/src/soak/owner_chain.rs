//! A series of changes of the owner. Each owner is killed, paused, stopped, loses the store, or is cut off together with
//! its failure domain, soon after it has claimed the shard.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::link::Link;

use super::SoakCluster;
use super::owner_cut::owner;
use super::serve::lock;

/// Salt of the random numbers, so that the jobs of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_c4a1;

/// Number of failure domains.
const DOMAINS: usize = 3;

/// Time from the start of the faults to the first change, so that long-running tasks run by then.
const FIRST_CHANGE: Duration = Duration::from_secs(4);

/// Time between two changes, in ms. A change waits until the shard has an owner that is not disrupted.
const INTERVAL_MS: Range<u64> = 1_500..5_000;

/// Length of a disruption of one process, in ms.
const DISRUPTION_MS: Range<u64> = 2_500..8_000;

/// Length of a cut of a domain, in ms: longer than an owner's right to send commands and the longest lease together.
const DOMAIN_CUT_MS: Range<u64> = 15_000..17_000;

/// Time from a stop of a process to the next start of one on its VM, in ms; a graceful stop takes longer.
const EARLY_RESTART_MS: Range<u64> = 50..1_500;

/// What happens to an owner.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    Signal(&'static str),
    /// It is stopped, and the next process of its VM is started before it has ended.
    EarlyRestart,
    /// The store does not receive its requests, it does not receive the answers, or both.
    StoreLoss {
        requests: bool,
        answers: bool,
    },
    /// The processes and workers of its domain lose the store and all others.
    DomainCut,
}

/// A disruption that lasts until a time.
#[derive(Debug)]
struct Active {
    until: Instant,
    process: usize,
    disruption: Disruption,
}

impl Active {
    fn affects(&self, process: usize) -> bool {
        match self.disruption {
            Disruption::DomainCut => process % DOMAINS == self.process % DOMAINS,
            Disruption::Signal(_) | Disruption::EarlyRestart | Disruption::StoreLoss { .. } => {
                process == self.process
            }
        }
    }
}

/// The changes of one run.
#[derive(Debug)]
pub(super) struct OwnerChain {
    rng: StdRng,
    has_early_restarts: bool,
    next: Instant,
    active: Vec<Active>,
}

impl OwnerChain {
    pub(super) fn new(seed: u64, has_early_restarts: bool) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
        let next = Instant::now() + FIRST_CHANGE;
        Self { rng, has_early_restarts, next, active: Vec::new() }
    }

    /// Numbers of processes and workers of a run.
    pub(super) fn cluster_size(seed: u64) -> (usize, usize) {
        let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
        (rng.random_range(5..=9), rng.random_range(12..=24))
    }

    /// Ends the disruptions that are over, and disrupts the owner if it is time. Returns the description.
    pub(super) fn change_if_due(&mut self, cluster: &mut SoakCluster) -> Option<String> {
        let now = Instant::now();
        self.record_disruptions(cluster);
        let over: Vec<Active> = self.active.extract_if(.., |active| active.until <= now).collect();
        for active in over {
            if !end(cluster, &active) {
                // A graceful stop takes a few seconds.
                self.active.push(active);
            }
        }
        if now < self.next {
            return None;
        }
        let owner = owner(cluster)?;
        if self.active.iter().any(|active| active.affects(owner)) {
            return None;
        }
        let disruption = self.draw_disruption();
        let is_domain_cut = matches!(disruption, Disruption::DomainCut);
        let length = match disruption {
            Disruption::DomainCut => DOMAIN_CUT_MS,
            Disruption::EarlyRestart => EARLY_RESTART_MS,
            Disruption::Signal(_) | Disruption::StoreLoss { .. } => DISRUPTION_MS,
        };
        let length = Duration::from_millis(self.rng.random_range(length));
        let interval = Duration::from_millis(self.rng.random_range(INTERVAL_MS));
        // In most of the cuts the next owner lasts until their end, so that it starts the tasks of the domain elsewhere.
        let is_last = is_domain_cut && self.rng.random_bool(0.75);
        self.next = now + if is_last { length + interval } else { interval };
        self.active.push(Active { until: now + length, process: owner, disruption });
        self.record_disruptions(cluster);
        begin(cluster, owner, disruption);
        Some(format!("the owner, process {owner}: {disruption:?} for {length:?}"))
    }

    fn record_disruptions(&self, cluster: &SoakCluster) {
        for index in 0..cluster.nodes.len() {
            if self.active.iter().any(|active| active.affects(index)) {
                lock(&cluster.world).contact.disrupt_node(index);
            }
        }
    }

    fn draw_disruption(&mut self) -> Disruption {
        let is_cut =
            self.active.iter().any(|active| matches!(active.disruption, Disruption::DomainCut));
        match self.rng.random_range(0..10) {
            0 | 2 if self.has_early_restarts => Disruption::EarlyRestart,
            0 => Disruption::Signal("-KILL"),
            1 => Disruption::Signal("-STOP"),
            2 => Disruption::Signal("-TERM"),
            3 => Disruption::StoreLoss { requests: true, answers: true },
            4 => Disruption::StoreLoss { requests: false, answers: true },
            5 => Disruption::StoreLoss { requests: true, answers: false },
            _ if is_cut => Disruption::Signal("-KILL"),
            _ => Disruption::DomainCut,
        }
    }

    /// Ends all disruptions. Processes that are still stopping are restarted later.
    pub(super) fn end_all(&mut self, cluster: &mut SoakCluster) {
        for active in std::mem::take(&mut self.active) {
            end(cluster, &active);
        }
    }
}

fn begin(cluster: &mut SoakCluster, owner: usize, disruption: Disruption) {
    match disruption {
        Disruption::Signal(signal) => cluster.nodes[owner].signal(signal),
        Disruption::EarlyRestart => cluster.nodes[owner].signal("-TERM"),
        Disruption::StoreLoss { requests, answers } => {
            cluster.store_links[owner].iter().for_each(|link| link.silence(requests, answers));
        }
        Disruption::DomainCut => {
            domain_links(cluster, owner % DOMAINS).for_each(|link| link.partition(true));
        }
    }
}

/// Returns false if the process has not ended yet, so that it can't be restarted.
fn end(cluster: &mut SoakCluster, active: &Active) -> bool {
    let index = active.process;
    match active.disruption {
        Disruption::Signal(signal) => {
            let node = &mut cluster.nodes[index];
            node.signal("-CONT");
            let restarted = node.restart();
            return report_failure(cluster, index, restarted) || signal == "-STOP";
        }
        Disruption::EarlyRestart => {
            let started = cluster.start_beside(index).map(|()| true);
            report_failure(cluster, index, started);
        }
        Disruption::StoreLoss { .. } => cluster.store_links[index].iter().for_each(Link::heal),
        Disruption::DomainCut => {
            domain_links(cluster, index % DOMAINS).for_each(|link| link.partition(false));
        }
    }
    true
}

/// Reports a breach if a process could not be started. Returns false if it was not started because it has not ended.
fn report_failure(
    cluster: &SoakCluster,
    index: usize,
    result: Result<bool, std::io::Error>,
) -> bool {
    result.unwrap_or_else(|e| {
        lock(&cluster.world).breaches.push(format!("process {index} does not start: {e}"));
        true
    })
}

/// Links across the border of a domain: those from its processes to the store, and those between its processes and the
/// workers of the others, in both ways.
fn domain_links(cluster: &SoakCluster, domain: usize) -> impl Iterator<Item = &Link> {
    let is_inside = move |index: usize| index % DOMAINS == domain;
    let store_links = cluster.store_links.iter().enumerate();
    let to_store = store_links.filter(move |(node, _)| is_inside(*node)).flat_map(|(_, it)| it);
    let to_workers = cluster.worker_links.iter().enumerate().flat_map(move |(worker, links)| {
        let of_nodes = links.iter().enumerate();
        of_nodes
            .filter(move |(node, _)| is_inside(*node) != is_inside(worker))
            .map(|(_, link)| link)
    });
    to_store.chain(to_workers)
}
