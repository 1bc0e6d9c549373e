//! State of one worker, as the scheduler knows it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobTaskId, Resources};

use super::health::{Health, ProbeTier};
use super::interference::{ImageId, Pressures, WorkerInterference};
use super::lapse::GrantedLease;
use super::pick;
use super::report::WorkerListing;

/// ID of a worker in the VM list. A restarted worker may keep it; incarnations are told apart by their start time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerId(Rc<str>);

impl WorkerId {
    /// Wraps an ID from the VM list.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(Rc::from(id))
    }

    /// Returns the ID as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the shared text, for [`crate::job::TaskProgress::worker`].
    #[must_use]
    pub fn shared(&self) -> Rc<str> {
        Rc::clone(&self.0)
    }
}

impl From<Rc<str>> for WorkerId {
    fn from(text: Rc<str>) -> Self {
        Self(text)
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Most start times of earlier incarnations that are kept of a worker.
const MAX_EARLIER_STARTS: usize = 16;

/// State of a run on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Resources are reserved; the start is sent once the job's progress row names the worker.
    Reserved,
    /// The start was sent and has no answer yet.
    Starting,
    /// The outcome of the start is unknown: it may take effect until a stop is answered or its lease has lapsed.
    InDoubt,
    /// The worker has started the run.
    Active,
    /// A stop was requested, and the end is not listed yet.
    Stopping,
}

/// Run that occupies a worker or may do so.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run; higher than those of the task's earlier runs.
    pub number: u32,
    /// State of the run.
    pub phase: Phase,
    /// Resources that count against the worker's capacity; zero if they are unknown.
    pub committed: Resources,
    /// The job of the run is unknown and so are its resources. Nothing may start beside it, whatever the capacity is.
    pub is_size_unknown: bool,
    /// Processors that a best-effort task asks for, in thousandths of a core; 0 for other tasks.
    pub leftover_cpu: u64,
    /// Tail latency target in milliseconds of a serving task; `None` for other tasks.
    pub tail_target_ms: Option<u64>,
    /// Image of the task. Tasks of one image interfere alike.
    pub image: Option<ImageId>,
    /// Local time of the reservation, the start, its answer, or the first listing of the run, whichever is newest.
    pub phase_since: Duration,
    /// Progress in percent, as last reported.
    pub percent: u8,
    /// Local time at which the run started or `percent` last changed.
    pub advanced: Duration,
    /// Tail latency in milliseconds for a serving task, processors in use in thousandths of a core for others, as last
    /// reported.
    pub load: u64,
    /// State of a serving task and its neighbours at its last report; `None` before the first and for other tasks.
    pub last_sample: Option<super::interference::InterferenceSample>,
    /// CPU limit of the run, in percent of the processors that it asks for; 100 for an unthrottled one.
    pub cpu_percent: u8,
    /// Local time of the last change of `cpu_percent`.
    pub throttle_changed_at: Duration,
    /// Local time since which the CPU limit has been so low that the task delays its step; `None` if it is not.
    pub throttled_since: Option<Duration>,
    /// A stop was queued or sent to the newest incarnation and has no outcome yet.
    pub is_stop_in_flight: bool,
    /// Local time at which the last stop was queued; `None` if none was.
    pub stop_queued_at: Option<Duration>,
    /// Local time at which the worker's newest incarnation answered a stop; the run can't start there any more.
    pub stop_answered: Option<Duration>,
    /// The result of the run is not needed, so its task is not queued again.
    pub is_abandoned: bool,
    /// A previous owner started the run, so its lease may be one that a previous owner granted.
    pub is_adopted: bool,
    /// The worker has answered the start or listed the run.
    pub is_started: bool,
    /// The worker's newest incarnation has listed the run. Until then, an earlier or a later one may have it.
    pub is_listed: bool,
    /// Local time at which the start was last queued.
    pub start_queued: Duration,
    /// Copies of the start that were queued.
    pub start_copies: u32,
    /// The start may be sent again: the incarnation that it was made for is the newest one, and has not refused it.
    pub may_repeat_start: bool,
    /// The worker's newest incarnation is known to have the run: it has listed the run, or its clock proves that it answered
    /// the start. Otherwise the start may be carried out late, by an incarnation that nothing has shown.
    pub is_confirmed: bool,
}

/// Starts of a task without an answer, which the worker or a later incarnation of it may still carry out.
#[derive(Clone, Copy, Debug)]
pub struct LateStart {
    /// Highest number of a run whose start got no answer.
    pub run: u32,
    /// Local time from which on no copy can be carried out any more.
    pub arrives_until: Duration,
    /// Copies that were sent of these starts.
    pub copies: u32,
    /// The newest incarnation has answered a stop or has listed the end of the run, so it will not carry out a copy.
    pub is_barred: bool,
    /// The worker has refused a later start of the task or left all of its copies without an answer, or the task stood
    /// still there. The task waits until it may use another worker.
    pub is_worker_given_up: bool,
    /// A stop was queued or sent to the newest incarnation and has no outcome yet.
    pub is_stop_in_flight: bool,
    /// Local time at which the last stop was queued for the newest incarnation; `None` if none was.
    pub stop_queued_at: Option<Duration>,
}

impl LateStart {
    /// Creates the state of one copy of a start.
    #[must_use]
    pub fn new(run: u32, arrives_until: Duration) -> Self {
        Self {
            run,
            arrives_until,
            copies: 1,
            is_barred: false,
            is_worker_given_up: false,
            is_stop_in_flight: false,
            stop_queued_at: None,
        }
    }

    /// Adds another start of the task. The copies of the same run are counted as they are sent.
    pub fn merge(&mut self, other: Self) {
        let arrives_until = self.arrives_until.max(other.arrives_until);
        if other.run != self.run {
            let copies = self.copies.saturating_add(other.copies);
            let newest = if other.run > self.run { other } else { *self };
            let is_worker_given_up = self.is_worker_given_up || other.is_worker_given_up;
            *self = Self { copies, is_worker_given_up, ..newest };
        }
        self.arrives_until = arrives_until;
    }
}

/// Worker in the VM list, or one that may still have runs.
#[derive(Debug)]
pub struct Worker {
    /// Newest entry of the worker in the VM list.
    pub listing: WorkerListing,
    /// Local time since which the VM list has not contained the worker. Unchanged while the list can't be read.
    pub unlisted_since: Option<Duration>,
    /// The worker runs nothing and is missing from the VM list. It gets no renewals until it is listed again, and is kept
    /// for as long as a command to it may still be carried out by a later incarnation.
    pub is_departed: bool,
    /// Number of the newest known incarnation, counted by this owner from 0. Commands carry it, so that an outcome is
    /// told from one of a command that was made for an earlier incarnation.
    pub incarnation: u32,
    /// Start time of the newest known incarnation, in milliseconds since the Unix epoch; `None` before the first answer
    /// of the worker, or if it does not report it.
    pub incarnation_started_unix_ms: Option<u64>,
    /// Start times of earlier incarnations, as far as they are known. They need not be lower: the worker's wall clock may
    /// have been set back.
    earlier_starts: BTreeSet<u64>,
    /// Leases that this owner may have granted.
    pub lease: GrantedLease,
    /// The worker has answered a renewal of this epoch, so its runs are known and it refuses commands of previous
    /// owners.
    pub has_listed_runs: bool,
    /// Runs that occupy the worker or may do so.
    pub runs: BTreeMap<JobTaskId, Run>,
    /// Starts without an answer that may still be carried out, by task.
    pub late_starts: BTreeMap<JobTaskId, LateStart>,
    /// Sum of the committed resources of `runs`.
    pub committed: Resources,
    /// Number of runs of unknown size in `runs`.
    runs_of_unknown_size: u32,
    /// Moving average of the share of the worker that the best-effort tasks of each image use. It decays within
    /// [`super::interference::REPORT_WINDOW`], to match the window of a report.
    pub shares: BTreeMap<ImageId, f64>,
    /// Local time up to which `shares` is computed.
    pub shares_updated: Duration,
    /// Results of [`Self::leftover_cpu`] and [`Self::interference`] until the next change or report of the runs.
    estimates: RefCell<Estimates>,
    /// Sequence number of the newest end that was processed; 0 for none.
    pub seen_end: u64,
    /// Sequence number of the newest end that is stored and may be acknowledged; 0 for none.
    pub acked_end: u64,
    /// A renewal was queued or sent to the newest incarnation and has no outcome yet.
    pub is_renewal_in_flight: bool,
    /// Local time at which the next renewal is due.
    pub next_renewal: Duration,
    /// Longest time for which the worker may hold back its answer to the newest renewal.
    pub renewal_wait: Duration,
    /// Local time of the last answer to a start; zero before the first.
    pub start_answered: Duration,
    /// Local time since which the worker has had runs.
    pub busy_since: Duration,
    /// Local time of the last answer to a renewal; `None` before the first and after the worker was replaced.
    pub answered: Option<Duration>,
    /// Consecutive renewals without an answer.
    pub unanswered_renewals: u32,
    /// Failures, missing answers and probation.
    pub health: Health,
    /// Local time of the last change of throttles; initially that of the first listing.
    pub last_throttle_change: Duration,
    /// Local time since which a serving task has been over its tail target; `None` if none is.
    pub over_target_since: Option<Duration>,
}

/// Estimates for the placement of best-effort tasks; `None` until they are needed.
#[derive(Debug, Default)]
struct Estimates {
    leftover_cpu: Option<i64>,
    interference: Option<Rc<WorkerInterference>>,
}

impl Worker {
    /// Creates the state of a worker that has just been listed.
    #[must_use]
    pub fn new(listing: WorkerListing, now: Duration) -> Self {
        Self {
            listing,
            unlisted_since: None,
            is_departed: false,
            incarnation: 0,
            incarnation_started_unix_ms: None,
            earlier_starts: BTreeSet::new(),
            lease: GrantedLease::default(),
            has_listed_runs: false,
            runs: BTreeMap::new(),
            late_starts: BTreeMap::new(),
            committed: Resources::default(),
            runs_of_unknown_size: 0,
            shares: BTreeMap::new(),
            shares_updated: now,
            estimates: RefCell::default(),
            seen_end: 0,
            acked_end: 0,
            is_renewal_in_flight: false,
            next_renewal: now,
            renewal_wait: Duration::ZERO,
            start_answered: Duration::ZERO,
            busy_since: now,
            answered: None,
            unanswered_renewals: 0,
            health: Health::default(),
            last_throttle_change: now,
            over_target_since: None,
        }
    }

    /// Forgets what belongs to the incarnation that was the newest one: its clock and leases, the numbers of its ends,
    /// its list of runs, the stops that it has answered, its health and the renewal on its way to it. The caller decides which runs remain. `longest_lease`
    /// is the longest local time that a lease on the worker can take.
    pub fn begin_incarnation(
        &mut self,
        started_unix_ms: Option<u64>,
        now: Duration,
        longest_lease: Duration,
    ) {
        self.incarnation += 1;
        self.keep_earlier_start(self.incarnation_started_unix_ms);
        self.incarnation_started_unix_ms = started_unix_ms;
        self.lease.begin_incarnation(now, longest_lease);
        self.has_listed_runs = false;
        self.seen_end = 0;
        self.acked_end = 0;
        self.is_renewal_in_flight = false;
        self.unanswered_renewals = 0;
        self.next_renewal = now;
        self.health = Health::default();
        for start in self.late_starts.values_mut() {
            (start.is_barred, start.is_stop_in_flight) = (false, false);
            start.stop_queued_at = None;
        }
    }

    /// Replaces the entry in the VM list.
    pub fn set_listing(&mut self, listing: WorkerListing) {
        let listed = self.listing.incarnation_started_unix_ms;
        if listed != listing.incarnation_started_unix_ms {
            self.keep_earlier_start(listed);
        }
        self.listing = listing;
    }

    fn keep_earlier_start(&mut self, started_unix_ms: Option<u64>) {
        self.earlier_starts.extend(started_unix_ms);
        while self.earlier_starts.len() > MAX_EARLIER_STARTS {
            self.earlier_starts.pop_first();
        }
    }

    /// Returns true if an entry in the VM list shows an incarnation after the newest known one. An entry that was seen
    /// before is old, whatever its start time is.
    #[must_use]
    pub fn is_new_incarnation(&self, entry: &WorkerListing) -> bool {
        let listed = entry.incarnation_started_unix_ms;
        let known = self.incarnation_started_unix_ms;
        let is_old = listed == self.listing.incarnation_started_unix_ms
            || listed.is_some_and(|started| self.earlier_starts.contains(&started));
        listed.is_some() && known.is_some() && listed > known && !is_old
    }

    /// Adds a run and commits its resources.
    pub fn add_run(&mut self, task: JobTaskId, run: Run) {
        self.remove_run(&task);
        if self.runs.is_empty() {
            self.busy_since = run.phase_since;
        }
        self.committed = self.committed.add(&run.committed);
        self.runs_of_unknown_size += u32::from(run.is_size_unknown);
        self.runs.insert(task, run);
        self.invalidate_estimates();
    }

    /// Removes a run and frees its resources.
    pub fn remove_run(&mut self, task: &JobTaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.committed = self.committed.saturating_sub(&run.committed);
        self.runs_of_unknown_size -= u32::from(run.is_size_unknown);
        self.invalidate_estimates();
        Some(run)
    }

    /// Discards what was estimated from the runs, after a report or another change of them or of the capacity.
    pub fn invalidate_estimates(&mut self) {
        *self.estimates.get_mut() = Estimates::default();
    }

    /// Returns the result of [`pick::leftover_cpu`].
    #[must_use]
    pub fn leftover_cpu(&self) -> i64 {
        let mut estimates = self.estimates.borrow_mut();
        *estimates.leftover_cpu.get_or_insert_with(|| pick::leftover_cpu(self))
    }

    /// Returns the interference on the worker by the pressures that were known at its last report or change.
    #[must_use]
    pub fn interference(&self, pressures: &Pressures) -> Rc<WorkerInterference> {
        let mut estimates = self.estimates.borrow_mut();
        let interference = &mut estimates.interference;
        Rc::clone(interference.get_or_insert_with(|| Rc::new(pressures.worker_interference(self))))
    }

    /// Returns true if the VM list has another incarnation than the one that last answered.
    #[must_use]
    pub fn is_other_incarnation_listed(&self) -> bool {
        let listed = self.listing.incarnation_started_unix_ms;
        listed
            .zip(self.incarnation_started_unix_ms)
            .is_some_and(|(listed, answered)| listed != answered)
    }

    /// Returns true if the newest incarnation may carry out a start that has no run in `runs`, and so commits no resources.
    #[must_use]
    pub fn may_start_late(&self) -> bool {
        let mut starts = self.late_starts.iter();
        starts.any(|(task, start)| !start.is_barred && !self.runs.contains_key(task))
    }

    /// Returns for how long the VM list has not contained the worker; zero if it does.
    #[must_use]
    pub fn unlisted_for(&self, now: Duration) -> Duration {
        self.unlisted_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns true if the capacity covers what is committed to runs and `more` in each dimension. A capacity may
    /// shrink below what is committed; then no run fits, not even one that asks for nothing. None fits beside a run of
    /// unknown size either.
    #[must_use]
    pub fn has_room_for(&self, more: &Resources) -> bool {
        !self.has_run_of_unknown_size() && self.committed.add(more).fits(&self.listing.capacity)
    }

    /// Returns true if the resources of a run on the worker are unknown.
    #[must_use]
    pub fn has_run_of_unknown_size(&self) -> bool {
        self.runs_of_unknown_size > 0
    }

    /// Returns true if more is committed to runs than the worker has, because its capacity has shrunk.
    #[must_use]
    pub fn is_overcommitted(&self) -> bool {
        !self.committed.fits(&self.listing.capacity)
    }

    /// Returns the capacity that is not committed to runs; zero in each dimension if no run fits.
    #[must_use]
    pub fn free(&self) -> Resources {
        if !self.has_room_for(&Resources::default()) {
            return Resources::default();
        }
        self.listing.capacity.saturating_sub(&self.committed)
    }

    /// Returns which tasks may start as a probe on a worker on probation; `None` if none may. A probe that is throttled
    /// shows nothing, so another one may start beside it.
    #[must_use]
    pub fn probe_tier(&self, now: Duration) -> Option<ProbeTier> {
        let is_active = |(task, number): (JobTaskId, u32)| {
            self.runs.get(&task).is_some_and(|run| run.number == number && run.cpu_percent == 100)
        };
        let tier = self.health.probe_tier(now)?;
        if self.health.probe().is_some_and(is_active) { None } else { Some(tier) }
    }

    /// Returns the number of runs of a step's tasks on the worker.
    #[must_use]
    pub fn tasks_of(&self, step: &crate::job::StepId) -> u32 {
        let first = JobTaskId { step: *step, index: 0 };
        let last = JobTaskId { step: *step, index: u16::MAX };
        u32::try_from(self.runs.range(first..=last).count()).unwrap_or(u32::MAX)
    }
}
