//! Health of a worker: whether it gets tasks, judged by what its runs do.
//!
//! A worker on which runs of several jobs fail, or whose runs make no progress, is put on probation. From then on it
//! gets one task at a time, as a probe, until a probe has shown that it works. Probation has no fixed length: a worker
//! may be healthy again right after its fault was noticed, and one that is kept out by the clock stays empty while
//! tasks wait. Ends of runs that had started before the probation neither prolong nor end it.
//!
//! A probe may fail by its own fault, so tasks without a failure go first ([`ProbeTier`]). If none of them fits for a
//! while, any task may be the probe: otherwise a worker would stay empty if only its own former tasks wait.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{JobId, JobTaskId};

/// Jobs that must have failed on a worker within [`FAILURE_MEMORY`], without a success in between, before it is put on
/// probation. One is not enough, because a job may fail everywhere.
const FAILED_JOBS_LIMIT: usize = 2;

/// Time for which a failure counts. A worker with nothing but long-running tasks has no successes, and each of these
/// may fail at times.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Pause after a probe that failed, which bounds the work that a faulty worker wastes.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// The same for the next probe if it may be a task that has failed before, so that the others have precedence.
const RETRY_PROBE_PAUSE: Duration = Duration::from_millis(500);

/// The same if it may be any task.
const ANY_PROBE_PAUSE: Duration = Duration::from_millis(1_500);

/// Time for which a long-running probe that is ready must have run before its worker counts as healthy.
const READY_PROBE_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a probe must run and make progress before its worker counts as healthy, if the task takes longer.
const LONG_PROBE_TIME: Duration = Duration::from_millis(1_500);

/// Tasks that may be probes, in the order in which a worker on probation takes them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ProbeTier {
    /// Tasks that have not failed and may be tried again if they do.
    Fresh,
    /// Tasks that have failed on a worker and may be tried again if they do so once more.
    Retried,
    /// All tasks, also members of gangs and those in their last attempt.
    Any,
}

/// Why a worker was put on probation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbationCause {
    /// Runs of several jobs failed.
    FailedRuns,
    /// A run made no progress.
    NoProgress,
    /// The worker refused a start as unhealthy or invalid.
    RefusedStart,
}

/// Run of a probe, as reported.
#[derive(Clone, Copy, Debug)]
pub struct ProbeReport {
    /// Time since the worker reported the run first, or answered its start.
    pub active_for: Duration,
    /// The run has made progress since it started.
    pub has_advanced: bool,
    /// The run is a long-running task that has reported that it is ready.
    pub is_ready: bool,
}

#[derive(Clone, Debug)]
struct Probation {
    cause: ProbationCause,
    began: Duration,
    /// Newest probe, as task and run number; `None` before the first.
    probe: Option<(JobTaskId, u32)>,
    /// Local time at which the probation began or the last probe failed.
    last_failure: Duration,
    probes: u32,
}

/// Probation that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Restored {
    /// Time on probation.
    pub after: Duration,
    /// Number of probes started.
    pub probes: u32,
}

/// Health of a worker, derived from its runs and from unanswered starts.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Jobs with a failed run since the last success, with the local time of the newest. Counted by job, so that one
    /// bad job does not affect a worker.
    failed_jobs: BTreeMap<JobId, Duration>,
    probation: Option<Probation>,
    /// Starts since the last answer that were not sent or got no answer.
    pub unanswered_starts: u32,
}

impl Health {
    /// Returns true if the worker gets no tasks other than probes.
    #[must_use]
    pub fn is_on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Returns true if the worker is on probation and the run is its newest probe.
    #[must_use]
    pub fn is_probe(&self, task: &JobTaskId, run: u32) -> bool {
        self.probe() == Some((*task, run))
    }

    /// Returns the newest probe of a worker on probation, as task and run number.
    #[must_use]
    pub fn probe(&self) -> Option<(JobTaskId, u32)> {
        self.probation.as_ref()?.probe
    }

    /// Returns which tasks may be the next probe; `None` if none may yet. The caller checks that no probe is active.
    #[must_use]
    pub fn probe_tier(&self, now: Duration) -> Option<ProbeTier> {
        let pause = now.saturating_sub(self.probation.as_ref()?.last_failure);
        if pause >= ANY_PROBE_PAUSE {
            Some(ProbeTier::Any)
        } else if pause >= RETRY_PROBE_PAUSE {
            Some(ProbeTier::Retried)
        } else {
            (pause >= PROBE_PAUSE).then_some(ProbeTier::Fresh)
        }
    }

    /// Records that a run was reserved as a probe.
    pub fn begin_probe(&mut self, task: JobTaskId, run: u32) {
        if let Some(probation) = &mut self.probation {
            probation.probe = Some((task, run));
            probation.probes += 1;
        }
    }

    /// Records that a probe has failed, did not start, or made no progress. Has no effect for other runs.
    pub fn fail_probe(&mut self, task: &JobTaskId, run: u32, now: Duration) {
        if let Some(probation) = &mut self.probation
            && probation.probe == Some((*task, run))
        {
            probation.probe = None;
            probation.last_failure = now;
        }
    }

    /// Puts the worker on probation. Returns false if it was already.
    pub fn begin_probation(&mut self, cause: ProbationCause, now: Duration) -> bool {
        if self.probation.is_some() {
            return false;
        }
        let probation = Probation { cause, began: now, probe: None, last_failure: now, probes: 0 };
        self.probation = Some(probation);
        true
    }

    /// Records that a run succeeded. Returns the probation if this ends it.
    pub fn on_done(&mut self, task: &JobTaskId, run: u32, now: Duration) -> Option<Restored> {
        if self.probation.is_some() {
            return if self.is_probe(task, run) { self.restore(now) } else { None };
        }
        self.failed_jobs.clear();
        None
    }

    /// Records that a run of a job failed. Returns true if this begins a probation.
    pub fn on_failed(&mut self, task: &JobTaskId, run: u32, now: Duration) -> bool {
        self.fail_probe(task, run, now);
        self.failed_jobs.retain(|_, failed| now.saturating_sub(*failed) < FAILURE_MEMORY);
        self.failed_jobs.insert(task.step.job, now);
        self.failed_jobs.len() >= FAILED_JOBS_LIMIT
            && self.begin_probation(ProbationCause::FailedRuns, now)
    }

    /// Judges a report on the newest probe. Returns the probation if this ends it.
    pub fn on_probe_report(&mut self, report: ProbeReport, now: Duration) -> Option<Restored> {
        let probation = self.probation.as_ref()?;
        let is_healthy = match probation.cause {
            _ if report.is_ready => report.active_for >= READY_PROBE_TIME,
            ProbationCause::NoProgress => report.has_advanced,
            ProbationCause::FailedRuns | ProbationCause::RefusedStart => {
                report.has_advanced && report.active_for >= LONG_PROBE_TIME
            }
        };
        if is_healthy { self.restore(now) } else { None }
    }

    /// Ends the probation. One more failed job begins the next one, unless a success precedes it.
    fn restore(&mut self, now: Duration) -> Option<Restored> {
        let probation = self.probation.take()?;
        while self.failed_jobs.len() >= FAILED_JOBS_LIMIT {
            self.failed_jobs.pop_first();
        }
        Some(Restored { after: now.saturating_sub(probation.began), probes: probation.probes })
    }
}
