//! Simulates the evacuation of a failure domain and its return to service.
//!
//! Three domains of 864 cores are full of batch tasks and run 15 services of 8 cores each. After five minutes one
//! domain is taken out of service, and some time later it returns. Evictions, restores and regular checkpoints share
//! the bandwidth of the object store. A transfer that takes 30 s fails, and an eviction whose checkpoint fails loses
//! the work since the last one. Workers are not modelled individually: a task runs if its domain has enough free cores.

mod store;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plantainlever::catalogue::{Class, Document, Entry};
use plantainlever::platform::worker::AttemptRef;
use plantainlever::policy::evacuation::{
    Destinations, EvacuatingAttempt, EvacuationAction, Headroom, Ramp, TransferWindow, next_actions,
};
use plantainlever::task::TaskId;
use plantainlever::worker::Resources;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::tasks;
use store::{Purpose, Store};

const DOMAINS: usize = 3;
/// Domain that is taken out of service.
const EVACUATED: usize = 0;
const CORES: f64 = 864.0;
const SERVICES: usize = 15;
const SERVICE_CORES: f64 = 8.0;
const OUTAGE_START_S: u64 = 300;
/// Time after the return that is simulated.
const AFTER_RETURN_S: u64 = 600;
const CHECKPOINT_EVERY_S: u64 = 300;
const SERVICE_START_S: u64 = 5;

/// How the domain is evacuated and filled again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evacuation {
    /// The production policy, with a transfer window and a ramp of starts.
    Paced,
    /// Evicts every task at once, and starts every task that fits on return.
    AtOnce,
    /// The production policy without the ramp of starts.
    NoRamp,
}

/// Figures from the start of the outage to the end of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Batch work completed in the domains in service, in core-seconds, minus the work lost in any domain. Work that
    /// the evacuated domain completes until it is empty does not count.
    pub work: f64,
    /// Batch work that the domains in service could complete, in core-seconds.
    pub allowed: f64,
    /// Number of checkpoint transfers that failed.
    pub failed_transfers: u32,
    /// Highest number of concurrent transfers, from the start of the run.
    pub most_transfers: usize,
    /// Seconds in which services were not running, summed over all missing services.
    pub service_gap_s: u64,
    /// Seconds from the start of the outage until the domain had no service left.
    pub services_left_s: u64,
    /// Seconds from the start of the outage until the domain had no task left, waiting ones included.
    pub empty_s: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    /// Reading its checkpoint.
    Restoring,
    Running,
    /// Writing a checkpoint before its eviction.
    Saving,
    /// A service that is starting up.
    Starting {
        until_s: u64,
    },
}

struct Task {
    domain: usize,
    class: Class,
    cores: f64,
    state: State,
    remaining_s: f64,
    unsaved_s: f64,
    has_checkpoint: bool,
    /// ID of the service that this one replaces.
    replaces: Option<u32>,
}

impl Task {
    /// Cores that it uses in its domain.
    fn occupied_cores(&self) -> f64 {
        if self.state == State::Waiting { 0.0 } else { self.cores }
    }
}

struct Simulation {
    evacuation: Evacuation,
    rng: StdRng,
    start: Instant,
    return_s: u64,
    second: u64,
    tasks: BTreeMap<u32, Task>,
    next_id: u32,
    store: Store,
    transfer_windows: Vec<TransferWindow>,
    ramp: Option<Ramp>,
    entry: Entry,
    figures: Figures,
}

/// Simulates an outage of `outage_s` seconds. Runs with equal seeds draw their tasks from the same random numbers.
#[must_use]
pub fn run(evacuation: Evacuation, outage_s: u64, seed: u64) -> Figures {
    let mut run = Simulation::new(evacuation, OUTAGE_START_S + outage_s, seed);
    for second in 0..OUTAGE_START_S + outage_s + AFTER_RETURN_S {
        run.second = second;
        run.add_batch_tasks();
        run.advance_transfers();
        if second == run.return_s && evacuation == Evacuation::Paced {
            run.ramp = Some(Ramp::new(run.now()));
        }
        if run.is_out() {
            run.evacuate();
        }
        run.start_waiting();
        run.advance_tasks();
    }
    run.figures.most_transfers = run.store.max_concurrent;
    run.figures
}

impl Simulation {
    fn new(evacuation: Evacuation, return_s: u64, seed: u64) -> Self {
        let Document::Entry(entry) = tasks::entry(Class::Batch, Resources::new(1, 1, 0)) else {
            unreachable!("tasks::entry builds an entry")
        };
        let mut run = Self {
            evacuation,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            return_s,
            second: 0,
            tasks: BTreeMap::new(),
            next_id: 0,
            store: Store::default(),
            transfer_windows: (0..DOMAINS).map(|_| TransferWindow::default()).collect(),
            ramp: None,
            entry,
            figures: Figures::default(),
        };
        for domain in 0..DOMAINS {
            for _ in 0..SERVICES {
                run.add(domain, Class::LatencyCritical, SERVICE_CORES, State::Running);
            }
        }
        run
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.second)
    }

    fn is_out(&self) -> bool {
        (OUTAGE_START_S..self.return_s).contains(&self.second)
    }

    fn is_in_service(&self, domain: usize) -> bool {
        domain != EVACUATED || !self.is_out()
    }

    fn add(&mut self, domain: usize, class: Class, cores: f64, state: State) -> u32 {
        self.next_id += 1;
        let remaining_s = match class {
            Class::LatencyCritical => f64::INFINITY,
            Class::Batch => self.rng.random_range(120.0..1200.0),
        };
        let unsaved_s = 0.0;
        let task = Task {
            domain,
            class,
            cores,
            state,
            remaining_s,
            unsaved_s,
            has_checkpoint: false,
            replaces: None,
        };
        self.tasks.insert(self.next_id, task);
        self.next_id
    }

    /// Keeps at least 250 batch tasks waiting in every domain in service, but in the evacuated one only before the
    /// outage.
    fn add_batch_tasks(&mut self) {
        for domain in 0..DOMAINS {
            let waiting = |task: &&Task| task.domain == domain && task.state == State::Waiting;
            let waiting = self.tasks.values().filter(waiting).count();
            if self.is_in_service(domain) && domain != EVACUATED || self.second < OUTAGE_START_S {
                for _ in waiting..250 {
                    let cores = f64::from(self.rng.random_range(2..=6));
                    self.add(domain, Class::Batch, cores, State::Waiting);
                }
            }
        }
    }

    fn evacuate(&mut self) {
        self.move_waiting(EVACUATED);
        if self.evacuation == Evacuation::AtOnce {
            self.evacuate_at_once();
        } else {
            self.evacuate_gradually();
        }
        let remaining: Vec<&Task> =
            self.tasks.values().filter(|task| task.domain == EVACUATED).collect();
        if remaining.iter().any(|task| task.class == Class::LatencyCritical) {
            self.figures.services_left_s = self.second - OUTAGE_START_S + 1;
        }
        if !remaining.is_empty() {
            self.figures.empty_s = self.second - OUTAGE_START_S + 1;
        }
    }

    fn evacuate_gradually(&mut self) {
        let mut residents = Vec::new();
        let mut services_under_way = 0;
        for (id, task) in self.tasks.iter().filter(|(_, task)| task.domain == EVACUATED) {
            if !matches!(task.state, State::Running) {
                continue;
            }
            let replacement =
                self.tasks.values().find(|replacement| replacement.replaces == Some(*id));
            let replaced = replacement.is_some_and(|task| task.state == State::Running);
            if replacement.is_some() && !replaced {
                services_under_way += 1;
                continue;
            }
            residents.push(EvacuatingAttempt {
                attempt: attempt(*id),
                class: task.class,
                priority: 0,
                exclusive: task.class == Class::Batch,
                cores: task.cores,
                since_checkpoint: Duration::from_secs_f64(task.unsaved_s),
                replaced,
            });
        }
        for action in
            next_actions(&residents, services_under_way, &self.transfer_windows[EVACUATED])
        {
            match action {
                EvacuationAction::Replace { attempt } => self.replace(task_id(&attempt)),
                EvacuationAction::Stop { attempt } => drop(self.tasks.remove(&task_id(&attempt))),
                EvacuationAction::Evict { attempt } => self.evict(task_id(&attempt)),
            }
        }
    }

    fn evacuate_at_once(&mut self) {
        let here = self.tasks.iter().filter(|(_, task)| {
            task.domain == EVACUATED && matches!(task.state, State::Running | State::Restoring)
        });
        let here: Vec<(u32, Class)> = here.map(|(id, task)| (*id, task.class)).collect();
        for (id, class) in here {
            match class {
                Class::LatencyCritical => {
                    self.replace(id);
                    self.tasks.remove(&id);
                }
                Class::Batch => self.evict(id),
            }
        }
    }

    /// Starts a replacement of a service in another domain, and evicts the batch tasks there with the least unsaved
    /// work to free its cores.
    fn replace(&mut self, id: u32) {
        let mut destinations = self.destinations();
        let size = resources(SERVICE_CORES);
        let Some(domain) = destinations.assign(&self.entry, &size).and_then(parse_domain) else {
            return;
        };
        let new = self.add(domain, Class::LatencyCritical, SERVICE_CORES, State::Waiting);
        if let Some(task) = self.tasks.get_mut(&new) {
            task.replaces = Some(id);
        }
        let mut victims: Vec<(u32, f64, f64)> = self
            .tasks
            .iter()
            .filter(|(_, task)| {
                task.domain == domain && task.class == Class::Batch && task.state == State::Running
            })
            .map(|(id, task)| (*id, task.unsaved_s * task.cores, task.cores))
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut freed = 0.0;
        for (victim, _, cores) in victims {
            if freed >= SERVICE_CORES {
                break;
            }
            freed += cores;
            self.evict(victim);
        }
    }

    fn evict(&mut self, id: u32) {
        let now = self.now();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.state = State::Saving;
        self.transfer_windows[task.domain].begin(&attempt(id), now);
        self.store.begin(id, Purpose::Evict, task.cores, self.second);
    }

    fn destinations(&self) -> Destinations {
        let domains = (0..DOMAINS).filter(|domain| self.is_in_service(*domain));
        Destinations::new(
            domains.map(|domain| (domain.to_string(), self.headroom(domain))).collect(),
        )
    }

    fn headroom(&self, domain: usize) -> Headroom {
        let here = self.tasks.values().filter(|task| task.domain == domain);
        let used: f64 = here.clone().map(Task::occupied_cores).sum();
        let waiting = here.filter(|task| task.state == State::Waiting).map(|task| task.cores).sum();
        Headroom {
            capacity: resources(CORES),
            free: resources(CORES - used),
            waiting: resources(waiting),
            largest: resources(32.0),
        }
    }

    fn move_waiting(&mut self, from: usize) {
        let mut destinations = self.destinations();
        let waiting =
            self.tasks.values_mut().filter(|t| t.domain == from && t.state == State::Waiting);
        for task in waiting {
            let assigned = destinations.assign(&self.entry, &resources(task.cores));
            if let Some(domain) = assigned.and_then(parse_domain) {
                task.domain = domain;
            }
        }
    }

    /// Moves waiting tasks from full domains to domains with free cores.
    fn rebalance(&mut self) {
        let mut destinations = self.destinations();
        let waiting = self.tasks.values_mut().filter(|task| task.state == State::Waiting);
        for task in waiting {
            let size = resources(task.cores);
            let own = task.domain.to_string();
            if let Some(domain) =
                destinations.reassign(&own, &self.entry, &size).and_then(parse_domain)
            {
                task.domain = domain;
            }
        }
    }

    fn start_waiting(&mut self) {
        self.rebalance();
        let now = self.now();
        let mut allowance = [usize::MAX; DOMAINS];
        if let Some(ramp) = &mut self.ramp {
            allowance[EVACUATED] = ramp.allowance(now).unwrap_or(usize::MAX);
        }
        let has_transfer_window = self.evacuation != Evacuation::AtOnce;
        let mut started = 0;
        let mut order: Vec<(Class, u32)> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.state == State::Waiting)
            .map(|(id, task)| (task.class, *id))
            .collect();
        order.sort_unstable();
        let mut free: Vec<f64> = (0..DOMAINS)
            .map(|domain| {
                let here = self.tasks.values().filter(|task| task.domain == domain);
                CORES - here.map(Task::occupied_cores).sum::<f64>()
            })
            .collect();
        for (_, id) in order {
            let Some(task) = self.tasks.get_mut(&id) else { continue };
            let domain = task.domain;
            let is_out =
                domain == EVACUATED && (OUTAGE_START_S..self.return_s).contains(&self.second);
            if is_out || task.cores > free[domain] || allowance[domain] == 0 {
                if task.class == Class::LatencyCritical {
                    // Cores that are freed for a service are reserved for it.
                    free[domain] = 0.0;
                }
                continue;
            }
            if task.has_checkpoint && has_transfer_window {
                if self.transfer_windows[domain].allowance() == 0 {
                    continue;
                }
                self.transfer_windows[domain].begin(&attempt(id), now);
            }
            free[domain] -= task.cores;
            allowance[domain] -= 1;
            started += usize::from(domain == EVACUATED);
            task.state = if task.class == Class::LatencyCritical {
                State::Starting { until_s: self.second + SERVICE_START_S }
            } else if task.has_checkpoint {
                self.store.begin(id, Purpose::Restore, task.cores, self.second);
                State::Restoring
            } else {
                State::Running
            };
        }
        if let Some(ramp) = &mut self.ramp {
            ramp.record_starts(started);
        }
    }

    fn advance_transfers(&mut self) {
        let now = self.now();
        let ended = self.store.advance(self.second);
        for (id, purpose, is_ok) in ended {
            if !is_ok && self.second >= OUTAGE_START_S {
                self.figures.failed_transfers += 1;
            }
            let Some(task) = self.tasks.get_mut(&id) else { continue };
            let transfer_window = &mut self.transfer_windows[task.domain];
            match (purpose, is_ok) {
                (Purpose::Regular, _) => {}
                (_, true) => transfer_window.complete(&attempt(id), now),
                (_, false) => transfer_window.fail(&attempt(id), now),
            }
            match (purpose, is_ok) {
                (Purpose::Evict | Purpose::Regular, true) => {
                    task.has_checkpoint = true;
                    task.unsaved_s = 0.0;
                }
                (Purpose::Evict, false) => {
                    task.remaining_s += task.unsaved_s;
                    if self.second >= OUTAGE_START_S {
                        self.figures.work -= task.unsaved_s * task.cores;
                    }
                    task.unsaved_s = 0.0;
                }
                (Purpose::Restore, true) => task.state = State::Running,
                (Purpose::Restore, false) => task.state = State::Waiting,
                (Purpose::Regular, false) => {}
            }
            if purpose == Purpose::Evict {
                task.state = State::Waiting;
            }
        }
        for transfer_window in &mut self.transfer_windows {
            transfer_window.check(now);
        }
    }

    fn advance_tasks(&mut self) {
        let is_out = self.is_out();
        let mut ended = Vec::new();
        for (id, task) in &mut self.tasks {
            if matches!(task.state, State::Starting { until_s } if until_s <= self.second) {
                task.state = State::Running;
            }
            if task.state != State::Running || task.class == Class::LatencyCritical {
                continue;
            }
            task.remaining_s -= 1.0;
            task.unsaved_s += 1.0;
            let is_counted = task.domain != EVACUATED || !is_out;
            if self.second >= OUTAGE_START_S && is_counted {
                self.figures.work += task.cores;
            }
            if task.remaining_s <= 0.0 {
                ended.push(*id);
            } else if (self.second + u64::from(*id)).is_multiple_of(CHECKPOINT_EVERY_S) {
                self.store.begin(*id, Purpose::Regular, task.cores, self.second);
            }
        }
        for id in ended {
            self.tasks.remove(&id);
        }
        if self.second >= OUTAGE_START_S {
            let domains = (0..DOMAINS).filter(|domain| self.is_in_service(*domain)).count();
            let services = (DOMAINS * SERVICES) as f64 * SERVICE_CORES;
            self.figures.allowed += domains as f64 * CORES - services;
            let is_running =
                |task: &&Task| task.class == Class::LatencyCritical && task.state == State::Running;
            let running = self.tasks.values().filter(is_running).count();
            self.figures.service_gap_s += (DOMAINS * SERVICES).saturating_sub(running) as u64;
        }
    }
}

fn attempt(id: u32) -> AttemptRef {
    AttemptRef { task: TaskId::new(id.to_string()), attempt: 1 }
}

fn task_id(attempt: &AttemptRef) -> u32 {
    attempt.task.as_str().parse().unwrap_or_default()
}

fn parse_domain(domain: &str) -> Option<usize> {
    domain.parse().ok()
}

fn resources(cores: f64) -> Resources {
    let millis = (cores.max(0.0) * 1000.0) as u64;
    Resources::new(millis, millis, 0)
}
