//! Simulated workers with the platform's rules for leases, epochs, ends and gangs, and a record of every run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use plantainlever::job::{JobId, JobTaskId, Resources};
use plantainlever::shard::WorkerId;
use plantainlever::shard::report::{EndCause, EndReport, RenewalReport, RunReport, WorkerListing};
use plantainlever::shard::scheduler::{Command, CommandKind, StartRefusal, Timing};

use super::random::Random;
use crate::shard::rig::{Answer, listing};

/// Rate of the slowest clock, in thousandths.
const SLOWEST_RATE: u64 = 980;
/// Longest time from a stop command to the end of the run.
const MAX_STOP_MS: u64 = 300;
/// Time for which a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time after a restart until the VM list shows the new incarnation.
const MAX_LIST_DELAY_MS: u64 = 2_000;

/// Length of the tasks of a job; `None` for tasks that run until they are stopped.
pub type Lengths = BTreeMap<JobId, Option<Duration>>;

/// A run as the worker carried it out, for the invariants and for the trace of a breach.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: JobTaskId,
    pub number: u32,
    pub epoch: u64,
    pub process: String,
    pub worker: WorkerId,
    pub incarnation: u64,
    pub ordered: Duration,
    pub started: Duration,
    /// Time and cause of the end; `None` while the run is active.
    pub ended: Option<(Duration, String)>,
}

#[derive(Clone, Debug)]
struct ActiveRun {
    record: usize,
    number: u32,
    resources: Resources,
    ends_at: Option<Duration>,
    stops_at: Option<Duration>,
    breaks_at: Option<Duration>,
    /// Number of members, for a member of a gang.
    gang: Option<u32>,
}

/// One worker; it keeps its ID over restarts.
#[derive(Debug)]
pub struct SimWorker {
    pub listing: WorkerListing,
    /// Start time of the incarnation that the VM list shows from a time on.
    shown: Vec<(Duration, u64)>,
    born: u64,
    pub down_until: Option<Duration>,
    /// Commands are carried out late and in any order until this time.
    pub slow_until: Duration,
    /// The worker does not reach the VM list from the first time to the second.
    pub unlisted: (Duration, Duration),
    /// Another worker has taken the address.
    pub is_replaced: bool,
    clock: (u64, Duration),
    /// Rate of the clock in thousandths.
    rate: u64,
    kill_delay: Duration,
    epoch: u64,
    expiry_ms: u64,
    runs: BTreeMap<JobTaskId, ActiveRun>,
    ended: Vec<EndReport>,
    next_end: u64,
    over: BTreeMap<JobTaskId, u32>,
    /// Ends that an owner has received.
    delivered: BTreeSet<u64>,
}

impl SimWorker {
    fn new(listing: WorkerListing, kill_time: Duration, random: &mut Random) -> Self {
        let born = listing.incarnation_started_unix_ms.unwrap_or(1);
        let mut worker = Self {
            listing,
            shown: Vec::new(),
            born,
            down_until: None,
            slow_until: Duration::ZERO,
            unlisted: (Duration::ZERO, Duration::ZERO),
            is_replaced: false,
            clock: (0, Duration::ZERO),
            rate: 1_000,
            kill_delay: Duration::ZERO,
            epoch: 0,
            expiry_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
            delivered: BTreeSet::new(),
        };
        worker.begin_incarnation(Duration::ZERO, kill_time, random);
        worker
    }

    fn begin_incarnation(&mut self, now: Duration, kill_time: Duration, random: &mut Random) {
        let origin = [0, random.below(3_000), random.below(2_000_000)][random.index(3)];
        self.clock = (origin, now);
        // The bounds count most: leases that last longest show whose sums are too short.
        let is_latest = random.one_in(2);
        self.rate = if is_latest { SLOWEST_RATE } else { SLOWEST_RATE + random.below(21) };
        let longest_ms = kill_time.as_millis() as u64;
        let kill_ms = if is_latest { longest_ms } else { random.below(longest_ms) };
        self.kill_delay = Duration::from_millis(kill_ms);
        (self.epoch, self.expiry_ms, self.next_end) = (0, 0, 1);
        self.ended.clear();
        self.over.clear();
        self.delivered.clear();
    }

    fn clock_ms(&self, now: Duration) -> u64 {
        let (reading, at) = self.clock;
        reading + now.saturating_sub(at).as_millis() as u64 * self.rate / 1_000
    }

    /// Local time at which the runs are killed unless the lease is renewed.
    fn killed_at(&self) -> Duration {
        let (reading, at) = self.clock;
        let left_ms = self.expiry_ms.saturating_sub(reading) * 1_000 / self.rate;
        at + Duration::from_millis(left_ms) + self.kill_delay
    }

    fn report(&self, now: Duration) -> RenewalReport {
        let active = self.runs.iter().map(|(task, run)| RunReport {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 100,
            load: 0,
        });
        RenewalReport {
            clock_ms: self.clock_ms(now),
            incarnation_started_unix_ms: Some(self.born),
            active: active.collect(),
            ended: self.ended.clone(),
            is_truncated: false,
        }
    }
}

/// A command with its origin.
#[derive(Clone, Debug)]
pub struct Order {
    pub process: String,
    pub epoch: u64,
    pub ordered: Duration,
    pub command: Command,
}

/// All workers, and the runs that they have carried out.
#[derive(Debug)]
pub struct Workers {
    pub workers: BTreeMap<WorkerId, SimWorker>,
    pub records: Vec<RunRecord>,
    pub lengths: Lengths,
    /// Tasks of which an owner has acknowledged a successful end.
    acked_done: BTreeMap<JobTaskId, Duration>,
    /// Breached invariant and the task.
    pub breaches: Vec<(String, JobTaskId)>,
    pub random: Random,
    /// Longest lease, and longest time from its expiry to the kill of its runs.
    timing: Timing,
    next_worker: u32,
    next_born: u64,
}

impl Workers {
    pub fn new(count: u32, cpu_millis: u64, timing: Timing, mut random: Random) -> Self {
        let mut workers = BTreeMap::new();
        for index in 0..count {
            let listing = listing(index, cpu_millis);
            let worker = SimWorker::new(listing, timing.kill_time, &mut random);
            workers.insert(worker.listing.id.clone(), worker);
        }
        Self {
            workers,
            records: Vec::new(),
            lengths: BTreeMap::new(),
            acked_done: BTreeMap::new(),
            breaches: Vec::new(),
            random,
            timing,
            next_worker: count,
            next_born: 2,
        }
    }

    pub fn ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// Returns the VM list at `now`.
    pub fn listed(&self, now: Duration) -> Vec<WorkerListing> {
        let is_listed = |worker: &&SimWorker| {
            !worker.is_replaced && !(worker.unlisted.0..worker.unlisted.1).contains(&now)
        };
        let workers = self.workers.values().filter(is_listed);
        workers
            .map(|worker| {
                let shown = worker.shown.iter().rev().find(|(at, _)| *at <= now);
                WorkerListing {
                    incarnation_started_unix_ms: Some(shown.map_or(1, |(_, born)| *born)),
                    ..worker.listing.clone()
                }
            })
            .collect()
    }

    /// Crashes a worker without a sign. It is back after `down` under its ID.
    pub fn crash(&mut self, id: &WorkerId, now: Duration, down: Duration) {
        self.advance(now);
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.is_replaced) else {
            return;
        };
        worker.down_until.get_or_insert(now + down);
        self.lose_runs(id, now, "crashed");
    }

    /// Replaces a worker by one with another ID at the same address.
    pub fn replace(&mut self, id: &WorkerId, now: Duration) {
        self.advance(now);
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.is_replaced) else {
            return;
        };
        worker.is_replaced = true;
        let old = worker.listing.clone();
        self.lose_runs(id, now, "replaced");
        let new = WorkerListing {
            id: WorkerId::new(&format!("w{}", self.next_worker)),
            incarnation_started_unix_ms: Some(self.next_born),
            ..old
        };
        self.next_worker += 1;
        self.next_born += 1;
        let mut worker = SimWorker::new(new.clone(), self.timing.kill_time, &mut self.random);
        worker.shown.push((now, worker.born));
        worker.clock.1 = now;
        self.workers.insert(new.id, worker);
    }

    fn lose_runs(&mut self, id: &WorkerId, now: Duration, cause: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let lost = std::mem::take(&mut worker.runs);
        for (task, run) in lost {
            self.records[run.record].ended = Some((now, cause.to_owned()));
            self.break_gang(&task, run.number, run.gang, now);
        }
    }

    /// Ends what is over and restarts what is due.
    pub fn advance(&mut self, now: Duration) {
        for id in self.ids() {
            let worker = self.workers.get_mut(&id).unwrap();
            if let Some(at) = worker.down_until.filter(|until| *until <= now) {
                worker.down_until = None;
                worker.born = self.next_born;
                self.next_born += 1;
                worker.begin_incarnation(at, self.timing.kill_time, &mut self.random);
                let delay = Duration::from_millis(self.random.below(MAX_LIST_DELAY_MS));
                // The entry is written by the worker itself, so it can be there before any answer.
                let delay = if self.random.one_in(3) { Duration::ZERO } else { delay };
                worker.shown.push((at + delay, worker.born));
            }
        }
        while let Some((at, id, task, cause)) = self.next_end(now) {
            self.end(&id, &task, cause, at);
        }
    }

    /// Returns the earliest end that is due.
    fn next_end(&self, now: Duration) -> Option<(Duration, WorkerId, JobTaskId, EndCause)> {
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let killed_at = worker.killed_at();
            for (task, run) in &worker.runs {
                let due = [
                    (Some(killed_at), EndCause::LeaseExpired),
                    (run.stops_at, EndCause::Stopped),
                    (run.breaks_at, EndCause::GangBroken),
                    (run.ends_at, EndCause::Done),
                ];
                let first = due.into_iter().filter_map(|(at, cause)| Some((at?, cause)));
                if let Some((at, cause)) = first.min_by_key(|(at, _)| *at) {
                    ends.push((at, id, task, cause));
                }
            }
        }
        let end = ends.into_iter().filter(|(at, ..)| *at <= now).min_by_key(|(at, ..)| *at);
        end.map(|(at, id, task, cause)| (at, id.clone(), *task, cause))
    }

    fn end(&mut self, id: &WorkerId, task: &JobTaskId, cause: EndCause, at: Duration) {
        let worker = self.workers.get_mut(id).unwrap();
        let Some(run) = worker.runs.remove(task) else { return };
        let is_alone = cause == EndCause::GangBroken && run.ends_at.is_none();
        let over = worker.over.entry(*task).or_default();
        *over = (*over).max(run.number);
        worker.ended.push(EndReport {
            number: worker.next_end,
            task: *task,
            run: run.number,
            cause: if is_alone { EndCause::GangIncomplete } else { cause },
            checkpoint: String::new(),
        });
        worker.next_end += 1;
        self.records[run.record].ended = Some((at, format!("{cause:?}")));
        if cause != EndCause::Done {
            self.break_gang(task, run.number, run.gang, at);
        }
    }

    /// Ends the other members of a gang soon.
    fn break_gang(&mut self, task: &JobTaskId, number: u32, gang: Option<u32>, at: Duration) {
        if gang.is_none() {
            return;
        }
        for worker in self.workers.values_mut() {
            for (other, run) in &mut worker.runs {
                if other.step == task.step && run.number == number {
                    run.breaks_at = Some(run.breaks_at.map_or(at, |broken| broken.min(at)));
                }
            }
        }
    }

    /// Carries out a command. Returns `None` if the worker is down.
    pub fn carry_out(&mut self, order: &Order, now: Duration) -> Option<Answer> {
        self.advance(now);
        let worker = self.workers.get_mut(&order.command.worker)?;
        if worker.down_until.is_some() {
            return None;
        }
        if worker.is_replaced {
            return Some(Answer::OtherIncarnation);
        }
        if order.epoch < worker.epoch {
            return Some(Answer::Fenced);
        }
        worker.epoch = order.epoch;
        let clock_ms = worker.clock_ms(now);
        let longest_ms = clock_ms + self.timing.max_lease.as_millis() as u64;
        match &order.command.kind {
            CommandKind::Renew { expiry_ms, acked_end, .. } => {
                let expiry_ms = expiry_ms.unwrap_or(0).min(longest_ms);
                worker.expiry_ms = worker.expiry_ms.max(expiry_ms);
                for end in worker.ended.extract_if(.., |end| end.number <= *acked_end) {
                    if end.cause == EndCause::Done && worker.delivered.contains(&end.number) {
                        self.acked_done.entry(end.task).or_insert(now);
                    }
                }
                Some(Answer::Done)
            }
            CommandKind::Start { task, run, expiry_ms, .. } => {
                if *expiry_ms <= clock_ms {
                    return Some(Answer::Refused(StartRefusal::Late));
                }
                worker.expiry_ms = worker.expiry_ms.max((*expiry_ms).min(longest_ms));
                if worker.runs.get(task).is_some_and(|active| active.number == *run) {
                    return Some(Answer::Done);
                }
                let is_newer_active =
                    worker.runs.get(task).is_some_and(|active| active.number > *run);
                if is_newer_active || worker.over.get(task).is_some_and(|over| run <= over) {
                    return Some(Answer::Refused(StartRefusal::Old));
                }
                self.start(order, now);
                Some(Answer::Done)
            }
            CommandKind::Stop { task, run } => {
                let over = worker.over.entry(*task).or_default();
                *over = (*over).max(*run);
                if let Some(held) = worker.runs.get_mut(task).filter(|held| held.number == *run) {
                    let delay = Duration::from_millis(self.random.below(MAX_STOP_MS));
                    held.stops_at.get_or_insert(now + delay);
                }
                Some(Answer::Done)
            }
            CommandKind::Throttle { .. } => Some(Answer::Done),
        }
    }

    fn start(&mut self, order: &Order, now: Duration) {
        let CommandKind::Start { task, run, spec, .. } = &order.command.kind else { return };
        let id = &order.command.worker;
        let step = &spec.steps[usize::from(task.step.step)];
        let record = self.records.len();
        self.records.push(RunRecord {
            task: *task,
            number: *run,
            epoch: order.epoch,
            process: order.process.clone(),
            worker: id.clone(),
            incarnation: self.workers[id].born,
            ordered: order.ordered,
            started: now,
            ended: None,
        });
        if self.workers.values().any(|worker| worker.runs.contains_key(task)) {
            self.breaches.push(("two runs at the same time".to_owned(), *task));
        }
        if self.acked_done.contains_key(task) {
            self.breaches.push(("a start after an acknowledged end".to_owned(), *task));
        }
        let resources = step.committed();
        let worker = self.workers.get_mut(id).unwrap();
        let taken = worker.runs.values().fold(resources, |sum, run| sum.add(&run.resources));
        if !taken.fits(&worker.listing.capacity) {
            self.breaches.push((format!("{id} is over its capacity"), *task));
        }
        let length = self.lengths.get(&task.step.job).copied().flatten();
        let gang = step.is_gang.then_some(step.count);
        let active = ActiveRun {
            record,
            number: *run,
            resources,
            ends_at: length.filter(|_| gang.is_none()).map(|length| now + length),
            stops_at: None,
            breaks_at: gang.map(|_| now + GANG_TIMEOUT),
            gang,
        };
        worker.runs.insert(*task, active);
        let Some(members) = gang else { return };
        let is_member = |other: &JobTaskId, active: &ActiveRun| {
            other.step == task.step && active.number == *run
        };
        let present = self.workers.values().flat_map(|worker| &worker.runs);
        if present.filter(|(other, active)| is_member(other, active)).count() as u32 == members {
            for worker in self.workers.values_mut() {
                for (other, active) in &mut worker.runs {
                    if is_member(other, active) {
                        active.ends_at = length.map(|length| now + length);
                        active.breaks_at = None;
                    }
                }
            }
        }
    }

    /// Returns the report of a worker with `born`; `None` if another incarnation has taken its place.
    pub fn report(&mut self, id: &WorkerId, born: u64, now: Duration) -> Option<RenewalReport> {
        self.advance(now);
        let worker = self.workers.get_mut(id)?;
        let is_there = worker.born == born && worker.down_until.is_none() && !worker.is_replaced;
        is_there.then(|| worker.report(now))
    }

    /// Records that an owner has received ends of a worker.
    pub fn record_delivery(&mut self, id: &WorkerId, report: &RenewalReport) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if Some(worker.born) == report.incarnation_started_unix_ms {
            worker.delivered.extend(report.ended.iter().map(|end| end.number));
        }
    }

    pub fn clock_ms(&self, id: &WorkerId, now: Duration) -> u64 {
        self.workers.get(id).map_or(0, |worker| worker.clock_ms(now))
    }

    pub fn born(&self, id: &WorkerId) -> u64 {
        self.workers.get(id).map_or(0, |worker| worker.born)
    }

    /// Describes all runs of a task, one per line.
    pub fn runs_of(&self, task: &JobTaskId) -> String {
        let mut text = String::new();
        for run in self.records.iter().filter(|run| run.task == *task) {
            let ended = match &run.ended {
                Some((at, cause)) => format!("{cause} at {at:?}"),
                None => "active".to_owned(),
            };
            let _ = writeln!(
                text,
                "  run {} epoch {} by {} on {} incarnation {} ordered {:?} started {:?}, {ended}",
                run.number,
                run.epoch,
                run.process,
                run.worker,
                run.incarnation,
                run.ordered,
                run.started
            );
        }
        text
    }
}
