//! Rules about attempts on workers.

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
                replay.start(*at, worker, domain, attempt);
                replay.commit(worker, attempt, *resources, *capacity);
            }
            HistoryEvent::AttemptEnded { worker, attempt, .. } => replay.end(worker, attempt),
            HistoryEvent::Transaction { transaction, result: CommitResult::Committed { .. } } => {
                replay.write(*at, transaction);
            }
            _ => {}
        }
    }
    replay.broken
}

struct Replay {
    limits: CheckLimits,
    broken: Vec<Broken>,
    started: BTreeSet<AttemptRef>,
    /// Worker and resources of what runs.
    running: BTreeMap<(String, AttemptRef), Resources>,
    /// Tasks that may run in two places.
    shared: BTreeSet<String>,
    ended: BTreeSet<String>,
    out_since: BTreeMap<String, Duration>,
}

impl Replay {
    fn new(limits: CheckLimits) -> Self {
        Self {
            limits,
            broken: Vec::new(),
            started: BTreeSet::new(),
            running: BTreeMap::new(),
            shared: BTreeSet::new(),
            ended: BTreeSet::new(),
            out_since: BTreeMap::new(),
        }
    }

    fn start(&mut self, at: Duration, worker: &str, domain: &str, attempt: &AttemptRef) {
        let task = attempt.task.to_string();
        if !self.started.insert(attempt.clone()) {
            self.broken.push(Broken::StartedTwice {
                task: task.clone(),
                attempt: attempt.attempt,
                worker: worker.to_owned(),
            });
        }
        if self.ended.contains(&task) {
            self.broken
                .push(Broken::StartedAfterEnd { task: task.clone(), worker: worker.to_owned() });
        }
        let other = self.running.keys().find(|(_, running)| running.task == attempt.task);
        if let Some((first, _)) = other.filter(|_| !self.shared.contains(&task)) {
            self.broken.push(Broken::Overlap {
                task: task.clone(),
                first: first.clone(),
                second: worker.to_owned(),
            });
        }
        if let Some(since) = self.out_since.get(domain) {
            let after = at.saturating_sub(*since);
            if after > self.limits.out_of_service_grace {
                self.broken.push(Broken::StartAfterOut { task, domain: domain.to_owned(), after });
            }
        }
    }

    fn commit(
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
            self.broken.push(Broken::OverCapacity {
                worker: worker.to_owned(),
                task: attempt.task.to_string(),
            });
        }
    }

    fn end(&mut self, worker: &str, attempt: &AttemptRef) {
        self.running.remove(&(worker.to_owned(), attempt.clone()));
    }

    fn write(&mut self, at: Duration, transaction: &Transaction) {
        for write in &transaction.writes {
            if let Some(task) = task_put(write) {
                if !task.exclusive {
                    self.shared.insert(task.id.to_string());
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
