//! Workers that die for good shortly before or after a disruption of the owner. Their long-running tasks must run again
//! in time, which is measured from the death to the next run.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::link::Link;

use super::SoakCluster;
use super::owner_cut::owner;
use super::serve::lock;
use super::world::{WorkerMode, World};

/// Salt of the random numbers, so that the jobs of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_dead;

/// Time from the start of the faults to the first death, so that long-running tasks run by then.
const FIRST_DEATH: Duration = Duration::from_secs(6);

/// Time from one death to the next. Their disruptions must not overlap, and each task must have time to run again.
const INTERVAL: Duration = Duration::from_secs(16);

/// Time from the death to the disruption of the owner; before the death if negative, in ms.
const DISRUPTION_AFTER_MS: Range<i64> = -2_000..2_500;

/// Length of the disruption, in ms.
const DISRUPTION_MS: Range<u64> = 500..3_000;

/// Time from the death of its worker within which a task must run again.
const AFTER_DEATH: Duration = Duration::from_secs(9);

/// The same from the end of the disruption.
const AFTER_DISRUPTION: Duration = Duration::from_secs(7);

/// What happens to the owner.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// It is killed, and the next process of its VM starts at the end.
    Kill,
    /// It is stopped and continues.
    Pause,
    StoreLoss,
}

/// What is due at a time.
#[derive(Clone, Copy, Debug)]
enum Event {
    Death,
    Begin(Disruption, Duration),
    End(Disruption, usize),
}

/// The deaths of one run, and the tasks that have to run again.
#[derive(Debug)]
pub(super) struct WorkerDeaths {
    rng: StdRng,
    next: Instant,
    due: Vec<(Instant, Event)>,
    /// Time of the death of the worker that ran the task last, by task.
    lost: BTreeMap<String, Instant>,
    /// End of the last disruption of an owner, or a time before it.
    calm_from: Instant,
    longest_wait: Duration,
}

impl WorkerDeaths {
    pub(super) fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed ^ SEED_SALT),
            next: now + FIRST_DEATH,
            due: Vec::new(),
            lost: BTreeMap::new(),
            calm_from: now,
            longest_wait: Duration::ZERO,
        }
    }

    /// Does what is due, and checks the tasks that wait. Returns the description.
    pub(super) fn change_if_due(&mut self, cluster: &mut SoakCluster) -> Option<String> {
        let now = Instant::now();
        self.check_waits(cluster);
        if now >= self.next {
            self.next = now + INTERVAL;
            let begin = now + Duration::from_millis(DISRUPTION_AFTER_MS.start.unsigned_abs());
            let after_ms = self.rng.random_range(DISRUPTION_AFTER_MS);
            let offset = Duration::from_millis(after_ms.unsigned_abs());
            let at = if after_ms < 0 { begin - offset } else { begin + offset };
            let kinds = [Disruption::Kill, Disruption::Pause, Disruption::StoreLoss];
            let kind = kinds[self.rng.random_range(0..kinds.len())];
            let length = Duration::from_millis(self.rng.random_range(DISRUPTION_MS));
            self.due.push((begin, Event::Death));
            self.due.push((at, Event::Begin(kind, length)));
        }
        let index = self.due.iter().position(|(at, _)| *at <= now)?;
        let (_, event) = self.due.swap_remove(index);
        self.act(cluster, event)
    }

    fn act(&mut self, cluster: &mut SoakCluster, event: Event) -> Option<String> {
        let now = Instant::now();
        match event {
            Event::Death => self.end_worker(cluster),
            Event::Begin(kind, length) => {
                let Some(owner) = owner(cluster) else {
                    // The shard has no owner at the moment.
                    self.due.push((now + Duration::from_millis(100), event));
                    return None;
                };
                match kind {
                    Disruption::Kill => cluster.nodes[owner].signal("-KILL"),
                    Disruption::Pause => cluster.nodes[owner].signal("-STOP"),
                    Disruption::StoreLoss => {
                        let links = &cluster.store_links[owner];
                        links.iter().for_each(|link| link.silence(true, true));
                    }
                }
                lock(&cluster.world).contact.disrupt_node(owner);
                self.calm_from = now + length;
                self.due.push((now + length, Event::End(kind, owner)));
                Some(format!("the owner, process {owner}: {kind:?} for {length:?}"))
            }
            Event::End(kind, owner) => {
                match kind {
                    Disruption::Kill => match cluster.nodes[owner].restart() {
                        Ok(true) => {}
                        Ok(false) => {
                            self.due.push((now + Duration::from_millis(20), event));
                            return None;
                        }
                        Err(e) => {
                            let breach = format!("process {owner} does not start: {e}");
                            lock(&cluster.world).breaches.push(breach);
                        }
                    },
                    Disruption::Pause => cluster.nodes[owner].signal("-CONT"),
                    Disruption::StoreLoss => cluster.store_links[owner].iter().for_each(Link::heal),
                }
                lock(&cluster.world).contact.disrupt_node(owner);
                self.calm_from = self.calm_from.max(now);
                None
            }
        }
    }

    /// Ends the worker with the most long-running tasks for good. Its address refuses connections, or it is silent.
    fn end_worker(&mut self, cluster: &SoakCluster) -> Option<String> {
        let mut world = lock(&cluster.world);
        world.advance();
        let is_up = |index: &usize| world.workers[*index].mode != WorkerMode::Dead;
        let up: Vec<usize> = (0..world.workers.len()).filter(is_up).collect();
        // The others must have room for all tasks.
        if up.len() <= world.workers.len().div_ceil(2) {
            return None;
        }
        let index = up.into_iter().max_by_key(|index| long_running_tasks(&world, *index).len())?;
        let lost = long_running_tasks(&world, index);
        let is_silent = self.rng.random_bool(0.5);
        for link in &cluster.worker_links[index] {
            if is_silent {
                link.silence_open_connections();
                link.silence(true, true);
            } else {
                link.cut();
            }
        }
        let now = Instant::now();
        world.crash_worker(index, None);
        world.workers[index].keep_listed(now);
        let description = format!("worker {index} dies with {lost:?}, silent: {is_silent}");
        self.lost.extend(lost.into_iter().map(|task| (task, now)));
        Some(description)
    }

    /// Reports a breach for each task that has waited for too long, and forgets those that run again or need not.
    fn check_waits(&mut self, cluster: &SoakCluster) {
        if self.lost.is_empty() {
            return;
        }
        let now = Instant::now();
        let world = &mut *lock(&cluster.world);
        world.advance();
        let workers = world.workers.iter().filter(|worker| worker.mode != WorkerMode::Dead);
        let running: Vec<&String> = workers.flat_map(|worker| worker.runs().keys()).collect();
        for (task, died) in std::mem::take(&mut self.lost) {
            let job = task.split('.').next().unwrap_or_default();
            let waited = now - died;
            if running.contains(&&task) {
                self.longest_wait = self.longest_wait.max(waited);
            } else if world.cancelled.contains_key(job) {
            } else if now > (died + AFTER_DEATH).max(self.calm_from + AFTER_DISRUPTION) {
                world
                    .breaches
                    .push(format!("{task} does not run {waited:?} after its worker died"));
            } else {
                self.lost.insert(task, died);
            }
        }
    }

    /// Waits until all lost tasks run or have waited for too long, and ends the disruptions. Returns the longest wait.
    pub(super) fn end_all(&mut self, cluster: &mut SoakCluster) -> String {
        self.due.retain(|(_, event)| matches!(event, Event::End(..)));
        while !self.lost.is_empty() || !self.due.is_empty() {
            self.next = Instant::now() + INTERVAL;
            self.change_if_due(cluster);
            std::thread::sleep(Duration::from_millis(20));
        }
        format!("longest wait of a task after the death of its worker: {:?}", self.longest_wait)
    }
}

fn long_running_tasks(world: &World, worker: usize) -> Vec<String> {
    let runs = world.workers[worker].runs().keys();
    let is_long_running =
        |task: &&String| task.split('.').next().is_some_and(|job| world.is_long_running(job));
    runs.filter(is_long_running).cloned().collect()
}
