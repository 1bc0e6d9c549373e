//! Quarantine of workers whose tasks fail while the same tasks or entries succeed on other workers.
//!
//! A failure can be caused by the worker or by the task. The worker's share of the blame depends on its peers: if the
//! latest outcomes of the entry on other healthy workers are failures too, the worker is unlikely to be the cause.
//! Failures are kept and evaluated again after each new outcome, because outcomes on other workers often arrive later.
//! A worker whose failures turn out to be caused by the tasks is reinstated at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::task::TaskId;

/// Sum of the blame since the last success at which a worker is quarantined.
const BLAME_LIMIT: f64 = 3.0;

/// Failures that are kept and evaluated per worker.
const MAX_FAILURES_KEPT: usize = 16;

/// Smallest blame that is counted; below it the entry is the likelier cause. Five failures with this blame reach
/// `BLAME_LIMIT`, so a worker whose failures all count is quarantined after at most five.
const MIN_BLAME: f64 = 0.6;

/// Maximum number of attempts on one worker that are unproven, plus failures blamed on it. Without this limit, a whole
/// batch of starts could fail before the first outcome is known.
const MAX_AT_RISK: usize = 5;

/// Running time after which an attempt is no longer unproven. Workers that fail every task do so within seconds.
const PROVEN_AFTER: Duration = Duration::from_secs(10);

/// Duration of the first quarantine; each further one lasts twice as long.
const FIRST_BACKOFF: Duration = Duration::from_secs(60);

/// Longest duration of a quarantine.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// Successes after which the probation ends.
const PROBATION_SUCCESSES: u32 = 3;

/// Whether a worker may be given new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Neither quarantined nor on probation.
    Normal,
    /// May run one task at a time.
    Probation,
    /// Must not start tasks.
    Quarantined {
        /// Time at which the quarantine ends and the probation begins.
        until: Instant,
    },
}

#[derive(Clone, Debug)]
struct Failure {
    task: TaskId,
    entry: String,
}

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// Failures since the last success, quarantine or reinstatement; at most the latest [`MAX_FAILURES_KEPT`].
    failures: VecDeque<Failure>,
    /// Start times of the running attempts, by task.
    started: BTreeMap<TaskId, Instant>,
    /// Failures that caused the current quarantine or probation.
    quarantine_failures: VecDeque<Failure>,
    /// End of the quarantine; `None` for a normal worker. A time in the past means probation.
    quarantined_until: Option<Instant>,
    /// Successes since the probation began.
    probation_successes: u32,
    /// Quarantines since the last completed probation, without those that were revoked. Each doubles the next duration.
    backoff_exponent: u32,
}

/// Health of the workers of a domain, from the outcomes of their attempts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    workers: BTreeMap<String, WorkerRecord>,
    /// Latest outcome of each entry on each worker; true if it failed.
    latest_outcomes: BTreeMap<String, BTreeMap<String, bool>>,
    /// Workers on which each unfinished task has failed.
    failed_on: BTreeMap<TaskId, BTreeSet<String>>,
}

impl Quarantine {
    /// Records a start, which counts as unproven until the attempt ends or has run long enough.
    pub fn record_start(&mut self, worker: &str, task: &TaskId, now: Instant) {
        self.workers.entry(worker.to_owned()).or_default().started.insert(task.clone(), now);
    }

    /// Records the end of an attempt that neither succeeded nor failed: it was evicted or cancelled, or its lease
    /// lapsed.
    pub fn record_stop(&mut self, worker: &str, task: &TaskId) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.started.remove(task);
        }
    }

    /// Records a success, which clears the failures of the task and of the worker.
    pub fn record_success(&mut self, worker: &str, task: &TaskId, entry: &str, now: Instant) {
        self.failed_on.remove(task);
        self.set_outcome(entry, worker, false);
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.started.remove(task);
        record.failures.clear();
        if record.quarantined_until.is_some_and(|until| until <= now) {
            record.probation_successes += 1;
            if record.probation_successes >= PROBATION_SUCCESSES {
                record.reinstate(0);
            }
        }
        self.update_standings(now);
    }

    /// Records a failure. Evictions, cancellations and lapsed leases are not failures.
    pub fn record_failure(&mut self, worker: &str, task: &TaskId, entry: &str, now: Instant) {
        self.failed_on.entry(task.clone()).or_default().insert(worker.to_owned());
        self.set_outcome(entry, worker, true);
        let record = self.workers.entry(worker.to_owned()).or_default();
        record.started.remove(task);
        if record.failures.len() == MAX_FAILURES_KEPT {
            record.failures.pop_front();
        }
        record.failures.push_back(Failure { task: task.clone(), entry: entry.to_owned() });
        self.update_standings(now);
    }

    fn set_outcome(&mut self, entry: &str, worker: &str, failed: bool) {
        self.latest_outcomes.entry(entry.to_owned()).or_default().insert(worker.to_owned(), failed);
    }

    /// Returns whether a worker may be given new tasks.
    #[must_use]
    pub fn standing(&self, worker: &str, now: Instant) -> Standing {
        match self.workers.get(worker).and_then(|record| record.quarantined_until) {
            None => Standing::Normal,
            Some(until) if until <= now => Standing::Probation,
            Some(until) => Standing::Quarantined { until },
        }
    }

    /// True if a worker that runs `running` attempts may start another one.
    #[must_use]
    pub fn may_start(&self, worker: &str, running: usize, now: Instant) -> bool {
        match self.standing(worker, now) {
            Standing::Normal => self.at_risk(worker, now) < MAX_AT_RISK,
            Standing::Probation => running == 0,
            Standing::Quarantined { .. } => false,
        }
    }

    /// Workers in quarantine or on probation.
    #[must_use]
    pub fn suspects(&self) -> BTreeSet<String> {
        let suspects = self.workers.iter().filter(|(_, record)| record.quarantined_until.is_some());
        suspects.map(|(name, _)| name.clone()).collect()
    }

    /// Discards the state of a worker that was removed from the domain.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
        for entry in self.latest_outcomes.values_mut() {
            entry.remove(worker);
        }
    }

    /// Discards the failures of a task in a final state.
    pub fn forget_task(&mut self, task: &TaskId) {
        self.failed_on.remove(task);
    }

    /// Number of unproven attempts plus failures blamed on the worker. Counts all failures without evaluating the blame
    /// if the total is below `MAX_AT_RISK`, because the result is then below the limit either way.
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

    fn update_standings(&mut self, now: Instant) {
        let suspects = self.suspects();
        let changes: Vec<(String, StandingChange)> = self
            .workers
            .iter()
            .map(|(name, record)| {
                (name.clone(), self.standing_change(name, record, &suspects, now))
            })
            .filter(|(_, change)| *change != StandingChange::Unchanged)
            .collect();
        for (name, change) in changes {
            let Some(record) = self.workers.get_mut(&name) else { continue };
            if change == StandingChange::Quarantine {
                record.quarantine(now);
            } else {
                record.reinstate(record.backoff_exponent.saturating_sub(1));
            }
        }
    }

    fn standing_change(
        &self,
        name: &str,
        record: &WorkerRecord,
        suspects: &BTreeSet<String>,
        now: Instant,
    ) -> StandingChange {
        let blame_of = |failure: &Failure| self.blame(name, failure, suspects);
        let counted = |failures: &VecDeque<Failure>| -> f64 {
            failures.iter().map(blame_of).filter(|blame| *blame >= MIN_BLAME).sum()
        };
        match record.quarantined_until {
            // The blame of a failure is at most 1, so too few failures need no evaluation against other workers.
            None if (record.failures.len() as f64) < BLAME_LIMIT => StandingChange::Unchanged,
            None if counted(&record.failures) >= BLAME_LIMIT => StandingChange::Quarantine,
            Some(until) if until <= now && counted(&record.failures) >= MIN_BLAME => {
                StandingChange::Quarantine
            }
            Some(_) if counted(&record.quarantine_failures) < MIN_BLAME => {
                StandingChange::Reinstate
            }
            _ => StandingChange::Unchanged,
        }
    }

    /// Rough probability that the worker, and not the task, caused a failure.
    fn blame(&self, worker: &str, failure: &Failure, suspects: &BTreeSet<String>) -> f64 {
        let is_healthy_peer = |name: &str| name != worker && !suspects.contains(name);
        let failed_elsewhere = self
            .failed_on
            .get(&failure.task)
            .is_some_and(|on| on.iter().any(|name| is_healthy_peer(name)));
        if failed_elsewhere {
            return 0.0;
        }
        let Some(outcomes) = self.latest_outcomes.get(&failure.entry) else { return 1.0 };
        let peer_outcomes = outcomes.iter().filter(|(name, _)| is_healthy_peer(name));
        let (failed, succeeded): (Vec<_>, Vec<_>) = peer_outcomes.partition(|(_, failed)| **failed);
        if failed.len() < 2 {
            return 1.0;
        }
        1.0 - failed.len() as f64 / (failed.len() + succeeded.len()) as f64
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StandingChange {
    Unchanged,
    Quarantine,
    Reinstate,
}

impl WorkerRecord {
    fn quarantine(&mut self, now: Instant) {
        let factor = 2_u32.saturating_pow(self.backoff_exponent);
        self.quarantined_until = Some(now + FIRST_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF));
        self.backoff_exponent += 1;
        self.probation_successes = 0;
        self.quarantine_failures = std::mem::take(&mut self.failures);
    }

    /// Ends the quarantine or probation. The running attempts are kept.
    fn reinstate(&mut self, backoff_exponent: u32) {
        let started = std::mem::take(&mut self.started);
        *self = Self { started, backoff_exponent, ..Self::default() };
    }
}
