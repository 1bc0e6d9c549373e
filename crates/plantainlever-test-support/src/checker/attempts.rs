//! Invariants of the attempts on workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::local::history::HistoryEvent;
use plantainlever::platform::table::{CommitResult, Transaction};
use plantainlever::platform::worker::AttemptRef;
use plantainlever::worker::Resources;

use super::rows::{domain_change, task_put};
use super::{Broken, CheckLimits};

pub(super) fn check(history: &[(Duration, HistoryEvent)], limits: &CheckLimits) -> Vec<Broken> {
    let mut replay = Replay::new(*limits);
    for (at, event) in history {
        match event {
            HistoryEvent::AttemptStarted {
                worker, domain, attempt, resources, capacity, ..
            } => {
                replay.on_attempt_started(*at, worker, domain, attempt);
                replay.add_resources(worker, attempt, *resources, *capacity);
            }
            HistoryEvent::AttemptEnded { worker, attempt, .. } => {
                replay.on_attempt_ended(worker, attempt)
            }
            HistoryEvent::Transaction { transaction, result: CommitResult::Committed { .. } } => {
                replay.on_commit(*at, transaction);
            }
            _ => {}
        }
    }
    replay.breaches
}

struct Replay {
    limits: CheckLimits,
    breaches: Vec<Broken>,
    started: BTreeSet<AttemptRef>,
    /// Resources of the running attempts, by worker and attempt.
    running: BTreeMap<(String, AttemptRef), Resources>,
    /// Tasks that are not exclusive, so that their attempts may overlap.
    non_exclusive: BTreeSet<String>,
    /// Tasks whose row is in a final state.
    ended: BTreeSet<String>,
    /// By domain that is out of service: time of the commit that took it out.
    out_since: BTreeMap<String, Duration>,
}

impl Replay {
    fn new(limits: CheckLimits) -> Self {
        Self {
            limits,
            breaches: Vec::new(),
            started: BTreeSet::new(),
            running: BTreeMap::new(),
            non_exclusive: BTreeSet::new(),
            ended: BTreeSet::new(),
            out_since: BTreeMap::new(),
        }
    }

    fn on_attempt_started(
        &mut self,
        at: Duration,
        worker: &str,
        domain: &str,
        attempt: &AttemptRef,
    ) {
        let task = attempt.task.to_string();
        if !self.started.insert(attempt.clone()) {
            self.breaches.push(Broken::StartedTwice {
                task: task.clone(),
                attempt: attempt.attempt,
                worker: worker.to_owned(),
            });
        }
        if self.ended.contains(&task) {
            self.breaches
                .push(Broken::StartedAfterEnd { task: task.clone(), worker: worker.to_owned() });
        }
        let other = self.running.keys().find(|(_, running)| running.task == attempt.task);
        if let Some((first, _)) = other.filter(|_| !self.non_exclusive.contains(&task)) {
            self.breaches.push(Broken::Overlap {
                task: task.clone(),
                first: first.clone(),
                second: worker.to_owned(),
            });
        }
        if let Some(since) = self.out_since.get(domain) {
            let after = at.saturating_sub(*since);
            if after > self.limits.out_of_service_grace {
                self.breaches.push(Broken::StartAfterOut {
                    task,
                    domain: domain.to_owned(),
                    after,
                });
            }
        }
    }

    fn add_resources(
        &mut self,
        worker: &str,
        attempt: &AttemptRef,
        resources: Resources,
        capacity: Resources,
    ) {
        self.running.insert((worker.to_owned(), attempt.clone()), resources);
        let on_worker = self.running.iter().filter(|((name, _), _)| name == worker);
        let sum = on_worker.fold(Resources::default(), |sum, (_, used)| sum.saturating_add(used));
        if !sum.fits_in(&capacity) {
            self.breaches.push(Broken::OverCapacity {
                worker: worker.to_owned(),
                task: attempt.task.to_string(),
            });
        }
    }

    fn on_attempt_ended(&mut self, worker: &str, attempt: &AttemptRef) {
        self.running.remove(&(worker.to_owned(), attempt.clone()));
    }

    fn on_commit(&mut self, at: Duration, transaction: &Transaction) {
        for write in &transaction.writes {
            if let Some(task) = task_put(write) {
                if !task.exclusive {
                    self.non_exclusive.insert(task.id.to_string());
                }
                if task.state.is_final() {
                    self.ended.insert(task.id.to_string());
                }
            }
            match domain_change(write) {
                Some((domain, true)) => {
                    self.out_since.entry(domain.to_owned()).or_insert(at);
                }
                Some((domain, false)) => {
                    self.out_since.remove(domain);
                }
                None => {}
            }
        }
    }
}
