//! Property test of the time from the death of a worker to the next runs of its tasks, while owners are lost, cut off,
//! paused or stopped around it.
//!
//! The same simulation is checked against both bounds of each wait for leases: no two runs of a task overlap, and no task
//! waits for longer than callers are promised.

use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobSpec, StepSpec};
use plantainlever::shard::WorkerId;
use plantainlever::shard::ownership::OWNERSHIP_LEASE_DURATION;
use plantainlever::shard::scheduler::Timing;
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::PrintOnPanic;
use super::process::Process;
use super::random::Random;
use super::scenario::submit;
use super::workers::Workers;
use super::world::{STORE, World};
use crate::shard::rig::step;

/// Seeds of a usual run of the tests, for each deployment.
const SEEDS: u64 = 60;
/// Time from the end of a run to the next one that callers are promised.
const AFTER_LAST_RUN: Duration = Duration::from_secs(9);
/// The same from the end of a disruption.
const AFTER_DISRUPTION: Duration = Duration::from_secs(7);
const WORKERS: u32 = 16;
const WORKER_CPU_MILLIS: u64 = 4_000;
/// Time at which the worker dies. All tasks run by then.
const DEATH: Duration = Duration::from_secs(20);
/// Time from the last disruption to the last check.
const SETTLED: Duration = Duration::from_secs(25);
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// What happens to an owner.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Its process is killed and starts again after a time.
    Kill,
    /// Its process is killed and does not start again.
    KillForGood,
    /// It is cut off from everybody.
    Cut,
    CutFromStore,
    /// It is cut off from everybody but some workers, which it keeps alive.
    CutWithWorkers,
    Pause,
    PlannedStop,
}

const LOSSES: [Loss; 7] = [
    Loss::Kill,
    Loss::KillForGood,
    Loss::Cut,
    Loss::CutFromStore,
    Loss::CutWithWorkers,
    Loss::Pause,
    Loss::PlannedStop,
];

fn timing(hold_max_ms: u64, kill_ms: u64) -> Timing {
    let max_lease = Duration::from_millis(hold_max_ms);
    Timing {
        lease: max_lease.min(OWNERSHIP_LEASE_DURATION),
        max_lease,
        kill_time: Duration::from_millis(kill_ms),
        throttle_delay: Duration::from_millis(100),
    }
}

/// One simulation; its events follow from the seed.
struct Recovery {
    world: Rc<World>,
    random: Random,
    timing: Timing,
    vms: Vec<String>,
    processes: Vec<Process>,
    restarts: Vec<(Duration, String)>,
    /// Ends of the disruptions.
    calm_from: Duration,
    log: Vec<String>,
}

impl Recovery {
    fn new(seed: u64, timing: Timing, tasks: &Rc<LocalSet>) -> Self {
        let mut random = Random::new(seed);
        let workers_random = Random::new(random.next());
        let workers = Workers::new(WORKERS, WORKER_CPU_MILLIS, timing, workers_random);
        let world = World::new(tasks, workers, Random::new(random.next()));
        world.is_calm.set(true);
        let vms: Vec<String> = (0..4).map(|index| format!("p{index}")).collect();
        let processes = vms.iter().map(|vm| Process::start(&world, vm, timing)).collect();
        let (restarts, log) = (Vec::new(), Vec::new());
        Self { world, random, timing, vms, processes, restarts, calm_from: DEATH, log }
    }

    async fn run_until(&mut self, until: Duration) -> Result<(), String> {
        loop {
            let now = self.world.now();
            let breach = self.world.workers.borrow().breaches.first().cloned();
            if let Some((invariant, task)) = breach {
                let runs = self.world.workers.borrow().runs_of(&task);
                return Err(format!("{invariant}: {task}\n{runs}{}", self.log.join("\n")));
            }
            let due: Vec<_> = self.restarts.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, vm) in due {
                self.log.push(format!("{now:?} {vm} starts"));
                self.processes.push(Process::start(&self.world, &vm, self.timing));
            }
            if now >= until {
                return Ok(());
            }
            let next = self.restarts.iter().map(|(at, _)| *at).min().unwrap_or(until);
            sleep(CHECK_PERIOD.min(until - now).min(next.saturating_sub(now))).await;
        }
    }

    fn lose_owner(&mut self) {
        let (now, owner) = (self.world.now(), self.world.owner());
        let loss = LOSSES[self.random.index(LOSSES.len())];
        let mut end = now;
        let processes = self.processes.iter().filter(|process| process.vm == owner);
        match loss {
            Loss::Kill | Loss::KillForGood | Loss::PlannedStop => {
                let after = self.random.between(200, 3_000);
                let is_planned = matches!(loss, Loss::PlannedStop);
                for process in processes {
                    if is_planned { process.node.begin_stop() } else { process.kill() }
                }
                if !is_planned {
                    self.processes.retain(|process| process.vm != owner);
                }
                if matches!(loss, Loss::Kill) {
                    end += after;
                    self.restarts.push((end, owner.clone()));
                }
            }
            Loss::Pause => {
                let length = self.random.between(500, 6_000);
                processes.for_each(|process| process.pause(length));
                end += length;
            }
            Loss::Cut | Loss::CutFromStore | Loss::CutWithWorkers => {
                let length = self.random.between(500, 16_000);
                let ids = self.world.workers.borrow().ids();
                let mut others: Vec<String> = ids.iter().map(|id| id.as_str().to_owned()).collect();
                let mut inside = vec![owner.clone()];
                match loss {
                    Loss::CutFromStore => others.clear(),
                    Loss::CutWithWorkers => {
                        inside.extend(others.extract_if(.., |_| self.random.one_in(4)))
                    }
                    _ => {}
                }
                others.extend(self.vms.iter().filter(|vm| **vm != owner).cloned());
                others.push(STORE.to_owned());
                for one in &inside {
                    for other in &others {
                        self.world.cut(one, other, length);
                        self.world.cut(other, one, length);
                    }
                }
                end += length;
            }
        }
        self.calm_from = self.calm_from.max(end);
        self.log.push(format!("{now:?} {loss:?} of {owner} until {end:?}"));
    }

    /// Ends a worker for good. Returns the tasks that it ran.
    fn end_worker(&mut self, id: &WorkerId) {
        let now = self.world.now();
        let mut workers = self.world.workers.borrow_mut();
        workers.crash(id, now, Duration::from_secs(1_000));
        let unlisted_after = self.random.between(1_000, 3_000);
        let worker = workers.workers.get_mut(id).unwrap();
        worker.unlisted = (now + unlisted_after, now + Duration::from_secs(1_000));
        self.log.push(format!("{now:?} {id} dies"));
    }

    /// Returns the longest time that a task of a dead worker waited beyond its bound, with a description.
    fn check_waits(&self) -> Result<Duration, String> {
        let workers = self.world.workers.borrow();
        let mut longest = Duration::ZERO;
        for lost in &workers.records {
            let Some((died, cause)) = &lost.ended else { continue };
            if cause != "crashed" {
                continue;
            }
            let next = workers.records.iter().filter(|run| run.task == lost.task);
            let next = next.filter(|run| run.started > *died).map(|run| run.started).min();
            let bound = (*died + AFTER_LAST_RUN).max(self.calm_from + AFTER_DISRUPTION);
            match next {
                Some(next) if next <= bound => longest = longest.max(next - *died),
                next => {
                    return Err(format!(
                        "{} died at {died:?} and started at {next:?}, later than {bound:?}\n{}{}\n{}",
                        lost.task,
                        workers.runs_of(&lost.task),
                        self.world.history_of(&lost.task),
                        self.log.join("\n")
                    ));
                }
            }
        }
        Ok(longest)
    }
}

async fn run(seed: u64, timing: Timing, tasks: &Rc<LocalSet>) -> Result<Duration, String> {
    let mut recovery = Recovery::new(seed, timing, tasks);
    let long_running = StepSpec { is_long_running: true, ..step(16, 400) };
    let specs = [(vec![long_running], None), (vec![step(16, 400)], Some(Duration::from_secs(300)))];
    recovery.run_until(Duration::from_secs(5)).await?;
    for (id, (steps, length)) in (1..).zip(specs) {
        let spec = JobSpec { payload: "payload".to_owned(), steps, schedule: None };
        submit(&recovery.world, JobId(id), spec, length);
    }
    let mut at = DEATH - Duration::from_secs(4) + recovery.random.between(0, 8_000);
    let worker = {
        let ids = recovery.world.workers.borrow().ids();
        ids[recovery.random.index(ids.len())].clone()
    };
    let losses = 1 + recovery.random.below(3);
    let mut is_dead = false;
    for _ in 0..losses {
        if at >= DEATH && !is_dead {
            recovery.run_until(DEATH).await?;
            recovery.end_worker(&worker);
            is_dead = true;
        }
        recovery.run_until(at).await?;
        recovery.lose_owner();
        at += recovery.random.between(3_000, 9_000);
    }
    if !is_dead {
        recovery.run_until(DEATH.max(recovery.world.now())).await?;
        recovery.end_worker(&worker);
    }
    recovery.run_until(recovery.calm_from + SETTLED).await?;
    recovery.check_waits()
}

fn assert_waits(timing: Timing) {
    let seeds = std::env::var("RECOVERY_SEEDS").ok().map_or(0..SEEDS, |seeds| {
        let (from, to) = seeds.split_once("..").unwrap();
        from.parse().unwrap()..to.parse().unwrap()
    });
    let mut failures = Vec::new();
    let mut waits = Vec::new();
    for seed in seeds {
        let guard = PrintOnPanic { seed };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        let tasks = Rc::new(LocalSet::new());
        match tasks.block_on(&runtime.unwrap(), run(guard.seed, timing, &tasks)) {
            Ok(wait) => waits.push(wait),
            Err(breach) => failures.push(format!("seed {seed}: {breach}")),
        }
    }
    waits.sort();
    println!("longest waits {:?}", waits.iter().rev().take(5).collect::<Vec<_>>());
    assert!(failures.is_empty(), "{} failures\n{}", failures.len(), failures.join("\n"));
}

/// Guards against tasks that run twice, or that wait too long after the death of their worker, with leases of 6 s.
#[test]
fn tasks_of_a_dead_worker_run_again_in_time_with_short_leases() {
    assert_waits(timing(6_000, 400));
}

/// The same with workers that accept leases of 10 s.
#[test]
fn tasks_of_a_dead_worker_run_again_in_time_with_long_leases() {
    assert_waits(timing(10_000, 250));
}
