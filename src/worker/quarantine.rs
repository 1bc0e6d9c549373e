//! Takes workers that fail unlike their peers out of use.
//!
//! A failure is evidence against the worker and against the task. The blame is split by who else failed: a failure of an
//! entry whose latest outcomes on other healthy workers are failures too says little about the worker. Failures are kept
//! and judged again whenever evidence arrives, because the outcome elsewhere often comes later; a worker that turns out
//! to be blameless is used again at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::task::TaskId;

/// Blame since the last success at which a worker is out of use.
const BLAME_LIMIT: f64 = 3.0;

/// Failures that are kept and judged per worker.
const FAILURES_KEPT: usize = 16;

/// Smallest blame that is counted. Below it the entry is the likelier cause. Five failures with this blame reach
/// `BLAME_LIMIT`, so a worker that fails everything is out of use after at most five.
const MIN_BLAME: f64 = 0.6;

/// Most attempts that may be unproven or have failed at the same time. Without it a whole batch of starts could fail
/// before the first outcome is known.
const MAX_AT_RISK: usize = 5;

/// Time after which a running attempt counts as proof that its worker can run something. Workers that fail everything
/// do so within seconds.
const PROVEN_AFTER: Duration = Duration::from_secs(10);

/// Time out of use after the first quarantine.
const FIRST_BACKOFF: Duration = Duration::from_secs(60);

/// Longest time out of use.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// Successes in a row that end the probation.
const PROBATION_SUCCESSES: u32 = 3;

/// Whether a worker may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Used like any other.
    InUse,
    /// Takes one task at a time.
    Probation,
    /// Takes nothing until then.
    OutOfUse {
        /// Start of the probation.
        until: Instant,
    },
}

#[derive(Clone, Debug)]
struct Failure {
    task: TaskId,
    entry: String,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Failures since the last success.
    failures: VecDeque<Failure>,
    /// Attempts that have started and not ended, with their start.
    started: BTreeMap<TaskId, Instant>,
    /// Failures for which it was taken out of use.
    causes: VecDeque<Failure>,
    /// End of the time out of use; `None` while in use.
    out_until: Option<Instant>,
    /// Successes since the probation began.
    probation_successes: u32,
    /// Times out of use without a completed probation in between.
    relapses: u32,
}

/// What is known about the health of the workers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    workers: BTreeMap<String, Record>,
    /// For each entry, whether its latest attempt on a worker failed.
    entries: BTreeMap<String, BTreeMap<String, bool>>,
    /// Workers on which a task failed.
    tasks: BTreeMap<TaskId, BTreeSet<String>>,
}

impl Quarantine {
    /// Counts a start, so that few enough attempts are at risk on an unproven worker.
    pub fn record_start(&mut self, worker: &str, task: &TaskId, now: Instant) {
        self.workers.entry(worker.to_owned()).or_default().started.insert(task.clone(), now);
    }

    /// Counts an attempt that ended in neither success nor failure: evicted, cancelled or lapsed.
    pub fn record_stop(&mut self, worker: &str, task: &TaskId) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.started.remove(task);
        }
    }

    /// Counts a success.
    pub fn record_success(&mut self, worker: &str, task: &TaskId, entry: &str, now: Instant) {
        self.tasks.remove(task);
        self.set_outcome(entry, worker, false);
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.started.remove(task);
        record.failures.clear();
        if record.out_until.is_some_and(|until| until <= now) {
            record.probation_successes += 1;
            if record.probation_successes >= PROBATION_SUCCESSES {
                record.reinstate(0);
            }
        }
        self.judge_all(now);
    }

    /// Counts a failure. Evictions, cancellations and lapsed leases are not failures.
    pub fn record_failure(&mut self, worker: &str, task: &TaskId, entry: &str, now: Instant) {
        self.tasks.entry(task.clone()).or_default().insert(worker.to_owned());
        self.set_outcome(entry, worker, true);
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.started.remove(task);
        if record.failures.len() == FAILURES_KEPT {
            record.failures.pop_front();
        }
        record.failures.push_back(Failure { task: task.clone(), entry: entry.to_owned() });
        self.judge_all(now);
    }

    fn set_outcome(&mut self, entry: &str, worker: &str, failed: bool) {
        self.entries.entry(entry.to_owned()).or_default().insert(worker.to_owned(), failed);
    }

    /// Whether a worker may be used.
    #[must_use]
    pub fn standing(&self, worker: &str, now: Instant) -> Standing {
        match self.workers.get(worker).and_then(|record| record.out_until) {
            None => Standing::InUse,
            Some(until) if until <= now => Standing::Probation,
            Some(until) => Standing::OutOfUse { until },
        }
    }

    /// True if a worker that runs `running` attempts may start another one.
    #[must_use]
    pub fn may_start(&self, worker: &str, running: usize, now: Instant) -> bool {
        match self.standing(worker, now) {
            Standing::InUse => self.at_risk(worker, now) < MAX_AT_RISK,
            Standing::Probation => running == 0,
            Standing::OutOfUse { .. } => false,
        }
    }

    /// Workers that are out of use or on probation.
    #[must_use]
    pub fn suspects(&self) -> BTreeSet<String> {
        let suspects = self.workers.iter().filter(|(_, record)| record.out_until.is_some());
        suspects.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets a worker that has left the domain.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
        for entry in self.entries.values_mut() {
            entry.remove(worker);
        }
    }

    /// Forgets a task that has ended for good.
    pub fn forget_task(&mut self, task: &TaskId) {
        self.tasks.remove(task);
    }

    /// At least as many as the attempts that may still turn out to be failures of the worker and those that have; exact
    /// from `MAX_AT_RISK` on.
    fn at_risk(&self, worker: &str, now: Instant) -> usize {
        let Some(record) = self.workers.get(worker) else { return 0 };
        let is_unproven =
            |started: &&Instant| now.saturating_duration_since(**started) < PROVEN_AFTER;
        let unproven = record.started.values().filter(is_unproven).count();
        if unproven + record.failures.len() < MAX_AT_RISK {
            return unproven + record.failures.len();
        }
        let suspects = self.suspects();
        let blames = record.failures.iter().map(|failure| self.blame(worker, failure, &suspects));
        unproven + blames.filter(|blame| *blame >= MIN_BLAME).count()
    }

    fn judge_all(&mut self, now: Instant) {
        let suspects = self.suspects();
        let verdicts: Vec<(String, Verdict)> = self
            .workers
            .iter()
            .map(|(name, record)| (name.clone(), self.judge(name, record, &suspects, now)))
            .filter(|(_, verdict)| *verdict != Verdict::Unchanged)
            .collect();
        for (name, verdict) in verdicts {
            let Some(record) = self.workers.get_mut(&name) else { continue };
            if verdict == Verdict::TakeOut {
                record.take_out(now);
            } else {
                record.reinstate(record.relapses.saturating_sub(1));
            }
        }
    }

    fn judge(
        &self,
        name: &str,
        record: &Record,
        suspects: &BTreeSet<String>,
        now: Instant,
    ) -> Verdict {
        let blame_of = |failure: &Failure| self.blame(name, failure, suspects);
        let counted = |failures: &VecDeque<Failure>| -> f64 {
            failures.iter().map(blame_of).filter(|blame| *blame >= MIN_BLAME).sum()
        };
        match record.out_until {
            // Each failure counts for 1 at most, so this is decided without looking at the other workers.
            None if (record.failures.len() as f64) < BLAME_LIMIT => Verdict::Unchanged,
            None if counted(&record.failures) >= BLAME_LIMIT => Verdict::TakeOut,
            Some(until) if until <= now && counted(&record.failures) >= MIN_BLAME => {
                Verdict::TakeOut
            }
            Some(_) if counted(&record.causes) < MIN_BLAME => Verdict::Reinstate,
            _ => Verdict::Unchanged,
        }
    }

    /// Probability, roughly, that the worker and not the task caused a failure.
    fn blame(&self, worker: &str, failure: &Failure, suspects: &BTreeSet<String>) -> f64 {
        let is_witness = |name: &str| name != worker && !suspects.contains(name);
        let failed_elsewhere =
            self.tasks.get(&failure.task).is_some_and(|on| on.iter().any(|name| is_witness(name)));
        if failed_elsewhere {
            return 0.0;
        }
        let Some(outcomes) = self.entries.get(&failure.entry) else { return 1.0 };
        let witnesses = outcomes.iter().filter(|(name, _)| is_witness(name));
        let (failed, succeeded): (Vec<_>, Vec<_>) = witnesses.partition(|(_, failed)| **failed);
        if failed.len() < 2 {
            return 1.0;
        }
        1.0 - failed.len() as f64 / (failed.len() + succeeded.len()) as f64
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Unchanged,
    TakeOut,
    Reinstate,
}

impl Record {
    fn take_out(&mut self, now: Instant) {
        let factor = 2_u32.saturating_pow(self.relapses);
        self.out_until = Some(now + FIRST_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF));
        self.relapses += 1;
        self.probation_successes = 0;
        self.causes = std::mem::take(&mut self.failures);
    }

    /// Puts the worker back into use. Running attempts stay known.
    fn reinstate(&mut self, relapses: u32) {
        let started = std::mem::take(&mut self.started);
        *self = Self { started, relapses, ..Self::default() };
    }
}
