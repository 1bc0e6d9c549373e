//! Handles the results of calls to workers: starts, renewals and inventories.

use std::collections::BTreeSet;
use std::time::Instant;

use super::attempt::{Outcome, Stage};
use super::event::{CallResult, FinishedCall};
use super::fleet::InventoryKind;
use super::state::SchedulerState;
use crate::catalogue::Class;
use crate::platform::worker::{AttemptRef, AttemptReport, AttemptState, Inventory, StartResult};
use crate::task::TaskId;
use crate::worker::Commitment;
use crate::worker::quarantine::Quarantine;

impl SchedulerState {
    /// Handles the result of a call. One from an earlier hold is ignored.
    pub(super) fn on_call_finished(&mut self, end: FinishedCall) {
        if !self.knows_epoch(end.epoch) {
            return;
        }
        self.fleet.on_call_ended(&end.worker, end.result.is_answer(), end.at);
        match end.result {
            CallResult::Inventory(inventory) => self.on_inventory(&end.worker, &inventory, end.at),
            CallResult::Started { attempt, answer, lease_end } => {
                self.on_start(&attempt, Some(&answer), lease_end, end.at);
                self.fleet.poll_soon(&end.worker, end.at, self.timing.inventory_poll());
            }
            CallResult::StartUnknown { attempt, lease_end } => {
                self.on_start(&attempt, None, lease_end, end.at);
            }
            CallResult::StartNotSent { attempt, .. } => self.on_start_not_sent(&attempt),
            CallResult::Renewed(attempts) => self.on_renewed(&attempts),
            CallResult::Done => {
                self.fleet.poll_soon(&end.worker, end.at, self.timing.inventory_poll());
            }
            CallResult::Failed => self.fleet.on_call_failed(&end.worker),
        }
    }

    fn on_start(
        &mut self,
        attempt: &AttemptRef,
        answer: Option<&StartResult>,
        lease_end: Instant,
        at: Instant,
    ) {
        let Some(task) = self.tasks.get_mut(&attempt.task) else { return };
        if task.row.attempt != attempt.attempt {
            return;
        }
        let Some(live) = &mut task.live else { return };
        live.granted_until = live.granted_until.max(lease_end);
        live.start_maybe_sent = true;
        let worker = live.worker.clone();
        match answer {
            Some(StartResult::Started) => {
                live.stage = Stage::Started;
                live.renewed_until = live.renewed_until.max(lease_end);
            }
            Some(StartResult::LeaseLapsed) => {
                let reason = "the worker refused a start whose lease had lapsed".to_owned();
                live.outcome.get_or_insert(Outcome::Interrupted(reason));
            }
            Some(StartResult::Failed { message }) => {
                if live.outcome.is_none() {
                    let (id, entry) = (&task.row.id, task.row.entry.as_str());
                    self.quarantine.record_failure(&worker, id, entry, at);
                }
                live.outcome.get_or_insert(Outcome::Failed(message.clone()));
            }
            // The start is repeated, which has no effect if the attempt runs.
            None => live.stage = Stage::Assigned,
        }
        if live.outcome.is_some() {
            self.pool.release(&worker, attempt);
        }
    }

    fn on_start_not_sent(&mut self, attempt: &AttemptRef) {
        let Some(task) = self.tasks.get_mut(&attempt.task) else { return };
        if task.row.attempt != attempt.attempt {
            return;
        }
        if let Some(live) = &mut task.live
            && live.stage == Stage::Starting
        {
            live.stage = Stage::Assigned;
        }
    }

    fn on_renewed(&mut self, attempts: &[AttemptRef]) {
        for attempt in attempts {
            if let Some(task) = self.tasks.get_mut(&attempt.task)
                && task.row.attempt == attempt.attempt
                && let Some(live) = &mut task.live
            {
                live.renewed_until = live.granted_until;
            }
        }
    }

    fn on_inventory(&mut self, name: &str, inventory: &Inventory, at: Instant) {
        // An inventory read before the predecessor's start leases had lapsed may miss an attempt that the worker
        // accepted later.
        if !self.ready || !self.loaded {
            self.fleet.on_clock(name, inventory, at);
            return;
        }
        let Some(kind) = self.fleet.on_inventory(name, inventory, at) else { return };
        if kind == InventoryKind::Restarted {
            self.pool.set_open(name, false);
            return;
        }
        if let Some(worker) = self.pool.worker(name) {
            let (rack, address) = (worker.rack().to_owned(), worker.address().to_owned());
            self.pool.upsert(name, &rack, &address, inventory.capacity);
        }
        for report in &inventory.attempts {
            self.on_report(name, report, at);
        }
        if kind == InventoryKind::Full {
            self.end_unreported(name, inventory);
            self.control_interference(name, inventory, at);
        }
    }

    fn on_report(&mut self, name: &str, report: &AttemptReport, at: Instant) {
        let running = report.state == AttemptState::Running;
        if !running {
            // An attempt that has ended on its worker uses no resources there, even if its row is still `running`.
            self.pool.release(name, &report.attempt);
            self.orphans.remove(&(name.to_owned(), report.attempt.clone()));
        }
        let known = self.tasks.get_mut(&report.attempt.task).filter(|task| {
            task.row.attempt == report.attempt.attempt
                && task.live.as_ref().is_some_and(|live| live.worker == name)
        });
        match known {
            Some(task) => {
                let Some(live) = &mut task.live else { return };
                let fresh = live.outcome.is_none();
                live.on_report(report, at);
                if fresh {
                    let (id, entry) = (&task.row.id, task.row.entry.as_str());
                    record_outcome(
                        &mut self.quarantine,
                        name,
                        id,
                        entry,
                        live.outcome.as_ref(),
                        at,
                    );
                }
            }
            None if running => self.adopt_orphan(name, report),
            None => {}
        }
    }

    /// Adopts an attempt without a row, or whose row names another attempt or worker. It is stopped, and its resources
    /// count until the worker reports the end.
    fn adopt_orphan(&mut self, name: &str, report: &AttemptReport) {
        let commitment = Commitment {
            entry: report.entry.clone(),
            class: Class::Batch,
            priority: 0,
            resources: report.resources,
        };
        self.pool.adopt(name, &report.attempt, commitment);
        self.orphans.insert((name.to_owned(), report.attempt.clone()));
    }

    /// Ends the attempts that a full inventory does not list: they never started there, or were lost when the worker
    /// restarted.
    fn end_unreported(&mut self, name: &str, inventory: &Inventory) {
        let reported: BTreeSet<&AttemptRef> =
            inventory.attempts.iter().map(|report| &report.attempt).collect();
        let ended: Vec<TaskId> = self
            .tasks
            .values()
            .filter(|task| {
                let live = task.live.as_ref();
                live.is_some_and(|live| live.worker == name && live.stage == Stage::Started)
                    && !reported.contains(&task.attempt())
            })
            .map(|task| task.row.id.clone())
            .collect();
        for id in ended {
            self.mark_interrupted(&id, "the worker does not have it");
        }
        let gone: Vec<_> = self
            .orphans
            .iter()
            .filter(|(worker, attempt)| worker == name && !reported.contains(attempt))
            .cloned()
            .collect();
        for orphan in gone {
            self.pool.release(&orphan.0, &orphan.1);
            self.orphans.remove(&orphan);
        }
    }

    /// Counts an attempt as ended without a report of its worker.
    pub(super) fn mark_interrupted(&mut self, id: &TaskId, reason: &str) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        let attempt = task.attempt();
        let Some(live) = &mut task.live else { return };
        live.outcome.get_or_insert_with(|| Outcome::Interrupted(reason.to_owned()));
        let worker = live.worker.clone();
        self.quarantine.record_stop(&worker, id);
        self.pool.release(&worker, &attempt);
    }
}

/// Records an outcome in the quarantine. Interruptions count neither for nor against a worker.
fn record_outcome(
    quarantine: &mut Quarantine,
    worker: &str,
    task: &TaskId,
    entry: &str,
    outcome: Option<&Outcome>,
    at: Instant,
) {
    match outcome {
        Some(Outcome::Succeeded) => quarantine.record_success(worker, task, entry, at),
        Some(Outcome::Failed(_)) => quarantine.record_failure(worker, task, entry, at),
        Some(Outcome::Interrupted(_)) => quarantine.record_stop(worker, task),
        None => {}
    }
}
