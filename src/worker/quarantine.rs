//! Takes workers that fail unlike their peers out of use.
//!
//! A failure is evidence against the worker and against the task. The blame is split by who else failed: a failure of an
//! entry that mostly fails on other healthy workers too says little about the worker. Failures are kept and judged again
//! whenever evidence arrives, because the outcome elsewhere often comes later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::task::TaskId;

/// Blame since the last success at which a worker is out of use.
const BLAME_LIMIT: f64 = 3.0;

/// Failures that are kept and judged per worker. With `BLAME_LIMIT` it bounds the failures of a worker that fails
/// everything: five with a blame of 0.6 each are enough.
const FAILURES_KEPT: usize = 16;

/// Smallest blame that is counted. Below it the entry is the likelier cause.
const MIN_BLAME: f64 = 0.6;

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
    /// End of the time out of use; `None` while in use.
    out_until: Option<Instant>,
    /// Successes since the probation began.
    probation_successes: u32,
    /// Times out of use without a completed probation in between.
    relapses: u32,
}

/// Successes and failures of an entry by worker.
#[derive(Clone, Debug, Default)]
struct EntryRecord {
    by_worker: BTreeMap<String, (u32, u32)>,
}

/// What is known about the health of the workers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    workers: BTreeMap<String, Record>,
    entries: BTreeMap<String, EntryRecord>,
    /// Workers on which a task failed.
    tasks: BTreeMap<TaskId, BTreeSet<String>>,
}

impl Quarantine {
    /// Counts a success.
    pub fn record_success(&mut self, worker: &str, task: &TaskId, entry: &str, now: Instant) {
        self.tasks.remove(task);
        self.entries
            .entry(entry.to_owned())
            .or_default()
            .by_worker
            .entry(worker.to_owned())
            .or_default()
            .0 += 1;
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.failures.clear();
        if record.out_until.is_some_and(|until| until <= now) {
            record.probation_successes += 1;
            if record.probation_successes >= PROBATION_SUCCESSES {
                *record = Record::default();
            }
        }
        self.judge_all(now);
    }

    /// Counts a failure. Evictions, cancellations and lapsed leases are not failures.
    pub fn record_failure(&mut self, worker: &str, task: &TaskId, entry: &str, now: Instant) {
        self.tasks.entry(task.clone()).or_default().insert(worker.to_owned());
        self.entries
            .entry(entry.to_owned())
            .or_default()
            .by_worker
            .entry(worker.to_owned())
            .or_default()
            .1 += 1;
        let record = self.workers.entry(worker.to_owned()).or_default();
        if record.failures.len() == FAILURES_KEPT {
            record.failures.pop_front();
        }
        record.failures.push_back(Failure { task: task.clone(), entry: entry.to_owned() });
        self.judge_all(now);
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
            Standing::InUse => true,
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
            entry.by_worker.remove(worker);
        }
    }

    /// Forgets a task that has ended for good.
    pub fn forget_task(&mut self, task: &TaskId) {
        self.tasks.remove(task);
    }

    fn judge_all(&mut self, now: Instant) {
        let suspects = self.suspects();
        let guilty: Vec<String> = self
            .workers
            .iter()
            .filter(|(name, record)| self.is_guilty(name, record, &suspects, now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in guilty {
            if let Some(record) = self.workers.get_mut(&name) {
                record.take_out(now);
            }
        }
    }

    fn is_guilty(
        &self,
        name: &str,
        record: &Record,
        suspects: &BTreeSet<String>,
        now: Instant,
    ) -> bool {
        let blames = record.failures.iter().map(|failure| self.blame(name, failure, suspects));
        let blame: f64 = blames.filter(|blame| *blame >= MIN_BLAME).sum();
        match record.out_until {
            None => blame >= BLAME_LIMIT,
            Some(until) => until <= now && blame >= MIN_BLAME,
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
        let Some(entry) = self.entries.get(&failure.entry) else { return 1.0 };
        let witnesses = entry.by_worker.iter().filter(|(name, _)| is_witness(name));
        let (mut succeeded, mut failed, mut failing_workers) = (0, 0, 0);
        for (_, (successes, failures)) in witnesses {
            succeeded += successes;
            failed += failures;
            failing_workers += u32::from(failures > successes);
        }
        if failing_workers < 2 {
            return 1.0;
        }
        1.0 - f64::from(failed) / f64::from(failed + succeeded)
    }
}

impl Record {
    fn take_out(&mut self, now: Instant) {
        let factor = 2_u32.saturating_pow(self.relapses);
        self.out_until = Some(now + FIRST_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF));
        self.relapses += 1;
        self.probation_successes = 0;
        self.failures.clear();
    }
}
