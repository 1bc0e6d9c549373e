//! The scheduler's view of one worker.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobId, JobTaskId, Resources};

use super::lapse::WorkerClock;
use super::report::WorkerListing;

/// Identity of one incarnation of a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerId(Rc<str>);

impl WorkerId {
    /// Wraps an identity from the VM list.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(Rc::from(id))
    }

    /// The identity as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The shared text, for a job's progress.
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

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Room is reserved, and the start waits until the job's row names the worker.
    Reserved,
    /// The start was sent and has no answer yet.
    Starting,
    /// The start's outcome is unknown: it may still be carried out until a stop is answered or its lease has lapsed.
    Unsettled,
    /// The worker has it.
    Active,
    /// A stop was asked for, and the end is not listed yet.
    Stopping,
}

/// A run that occupies a worker, or may.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run.
    pub number: u32,
    /// Where it stands.
    pub phase: Phase,
    /// What it occupies.
    pub committed: Resources,
    /// Processors that it uses of what others leave, in thousandths of a core.
    pub leftover_cpu: u64,
    /// Tail latency that it must keep, for a serving task.
    pub tail_target_ms: Option<u64>,
    /// What it runs; tasks of one image interfere alike.
    pub image: Option<Rc<str>>,
    /// When the worker answered the start or first listed the run.
    pub seen: Duration,
    /// Progress in percent, as last reported.
    pub percent: u8,
    /// When `percent` or the checkpoint last changed.
    pub advanced: Duration,
    /// Tail latency in ms or processors in use, as last reported.
    pub load: u64,
    /// For a serving task: what it felt at its last report.
    pub felt: Option<super::interference::Felt>,
    /// Share of its processors that it may use, in percent.
    pub cpu_percent: u8,
    /// When that share was last changed.
    pub throttled_at: Duration,
    /// Since when the throttle is so strong that the task holds up its step.
    pub throttled_since: Option<Duration>,
    /// A stop is to be sent, or its answer is awaited.
    pub is_stop_in_flight: bool,
    /// When the last stop was sent.
    pub stop_sent: Option<Duration>,
    /// The worker has answered a stop: the run can't begin any more.
    pub stop_answered: Option<Duration>,
    /// Nobody waits for the run's end; it is not to be started again.
    pub is_abandoned: bool,
    /// A predecessor has started it, so its lease may be one of the predecessor's.
    pub is_adopted: bool,
}

/// How a worker treats what it starts, learned from ends.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failed runs since the last success, by job, so that one bad job doesn't condemn a worker.
    failed_jobs: Vec<JobId>,
    /// No task until then.
    pub quarantined_until: Duration,
    /// Length of the last quarantine.
    quarantine: Duration,
    /// Commands without an answer since the last answered one.
    pub unanswered: u32,
}

/// Jobs that must have failed on a worker, with no success between, before it is quarantined. Two: a hopeless job is
/// one.
const FAILED_JOBS_LIMIT: usize = 2;
/// First quarantine; doubled each time up to [`MAX_QUARANTINE`]. About the length of a short fault.
const FIRST_QUARANTINE: Duration = Duration::from_secs(4);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(30);

impl Health {
    /// Notes that a run succeeded.
    pub fn on_done(&mut self) {
        self.failed_jobs.clear();
        self.quarantine = Duration::ZERO;
    }

    /// Notes that a run of a job failed. Returns true if this begins a quarantine.
    pub fn on_failed(&mut self, job: JobId, now: Duration) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() < FAILED_JOBS_LIMIT {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Begins a quarantine; each one in a row lasts longer.
    pub fn quarantine(&mut self, now: Duration) {
        self.quarantine = (self.quarantine * 2).clamp(FIRST_QUARANTINE, MAX_QUARANTINE);
        self.quarantined_until = now + self.quarantine;
        // One more failure after the quarantine begins the next one.
        self.failed_jobs.truncate(FAILED_JOBS_LIMIT - 1);
    }

    /// True if the worker is to get no task.
    #[must_use]
    pub fn is_quarantined(&self, now: Duration) -> bool {
        now < self.quarantined_until
    }
}

/// The scheduler's view of one worker.
#[derive(Debug)]
pub struct Worker {
    /// As the VM list has it.
    pub listing: WorkerListing,
    /// Since when the lists that were read lack it. Nothing is known while the list can't be read.
    pub unlisted_since: Option<Duration>,
    /// Start of the incarnation that the worker reported itself.
    pub incarnation_started_unix_ms: Option<u64>,
    /// Newest reading of its clock.
    pub clock: Option<WorkerClock>,
    /// Highest lease expiry, on its clock, that any message of this process has carried.
    pub granted_ms: u64,
    /// It has answered a renewal of this epoch, so its runs are known and commands of predecessors are refused.
    pub is_known: bool,
    /// Runs that occupy it, or may.
    pub runs: BTreeMap<JobTaskId, Run>,
    /// Sum over `runs`.
    pub committed: Resources,
    /// Share of the worker that best-effort tasks of each image have used of late, as an average that forgets within
    /// [`super::interference::REPORT_WINDOW`]: what a report shows is about as old.
    pub shares: BTreeMap<Rc<str>, f64>,
    /// Number of the newest end that was processed.
    pub seen_end: u64,
    /// Number of the newest end that is stored and may be acknowledged.
    pub acked_end: u64,
    /// A renewal is in flight.
    pub is_renewal_in_flight: bool,
    /// When the next renewal is due.
    pub next_renewal: Duration,
    /// When it last answered a renewal.
    pub answered: Option<Duration>,
    /// Renewals in a row without an answer.
    pub missed: u32,
    /// How it treats what it starts.
    pub health: Health,
    /// When the throttles of its tasks were last adjusted.
    pub judged: Duration,
    /// Since when a serving task has been over its tail target.
    pub over_target_since: Option<Duration>,
}

impl Worker {
    /// A worker that has just been listed.
    #[must_use]
    pub fn new(listing: WorkerListing, now: Duration) -> Self {
        Self {
            listing,
            unlisted_since: None,
            incarnation_started_unix_ms: None,
            clock: None,
            granted_ms: 0,
            is_known: false,
            runs: BTreeMap::new(),
            committed: Resources::default(),
            shares: BTreeMap::new(),
            seen_end: 0,
            acked_end: 0,
            is_renewal_in_flight: false,
            next_renewal: now,
            answered: None,
            missed: 0,
            health: Health::default(),
            judged: now,
            over_target_since: None,
        }
    }

    /// Adds a run and what it occupies.
    pub fn add_run(&mut self, task: JobTaskId, run: Run) {
        self.remove_run(&task);
        self.committed = self.committed.plus(&run.committed);
        self.runs.insert(task, run);
    }

    /// Removes a run and frees what it occupied.
    pub fn remove_run(&mut self, task: &JobTaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.committed = self.committed.minus(&run.committed);
        Some(run)
    }

    /// How long the lists that were read have lacked it.
    #[must_use]
    pub fn unlisted_for(&self, now: Duration) -> Duration {
        self.unlisted_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// What is neither committed nor possibly occupied.
    #[must_use]
    pub fn room(&self) -> Resources {
        self.listing.capacity.minus(&self.committed)
    }

    /// Tasks of a step that occupy the worker.
    #[must_use]
    pub fn tasks_of(&self, step: &crate::job::StepId) -> u32 {
        let first = JobTaskId { step: *step, index: 0 };
        let last = JobTaskId { step: *step, index: u16::MAX };
        u32::try_from(self.runs.range(first..=last).count()).unwrap_or(u32::MAX)
    }
}
