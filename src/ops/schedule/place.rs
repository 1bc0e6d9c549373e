//! Turns the placement decisions of the policies into commitments and row changes.

use std::collections::BTreeSet;
use std::time::Instant;

use super::event::{RowChange, TaskWrite};
use super::state::SchedulerState;
use super::tick::TickInput;
use crate::catalogue::{Class, Document};
use crate::domain::DomainState;
use crate::platform::worker::AttemptRef;
use crate::policy::interference::InterferenceModel;
use crate::policy::placement::{self, NoWorker, PendingTask};
use crate::policy::queue::{Limits, Selection, Unplaceable};
use crate::task::lifecycle::AnyTask;
use crate::task::{TaskId, TaskState};
use crate::telemetry::event::schedule as log;
use crate::worker::{Commitment, Pool};

/// Maximum number of placements in one tick, which bounds the duration of the tick. At the default tick period this is
/// 2,000 a second.
const MAX_PLACEMENTS: usize = 400;

impl SchedulerState {
    /// Places waiting tasks, commits their resources, and plans evictions for urgent tasks that did not fit.
    pub(super) fn place_waiting_tasks(&mut self, input: &TickInput<'_>) -> Vec<RowChange> {
        self.update_latency_targets(input);
        self.update_open_workers(input.now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut limits = self.limits(input);
        self.drop_old_plans(input.now);
        let reserved = self.reserved_workers();
        let selection = self.select(&mut limits, &reserved, input.now);
        self.preempt(&selection.urgent_unplaced, input.now);
        let mut changes: Vec<RowChange> = selection
            .placed
            .iter()
            .filter_map(|(id, worker)| self.assignment(id, worker))
            .collect();
        for (id, reason) in &selection.unplaceable {
            changes.extend(self.unplaceable(id, reason, input));
        }
        changes
    }

    /// Makes one pass over the queue. The queue does not pass the task ID to its callback, so a placeholder ID stands
    /// for each placement until the pass has ended.
    fn select(
        &mut self,
        limits: &mut Limits,
        reserved: &BTreeSet<String>,
        now: Instant,
    ) -> Selection {
        let max = self.placement_allowance(MAX_PLACEMENTS, now);
        let Self { queue, pool, interference, quarantine, .. } = self;
        let mut placed: Vec<(String, AttemptRef, Commitment)> = Vec::new();
        let selection = queue.select(limits, max, |pending_task| {
            let worker = choose(pool, pending_task, reserved, interference)?;
            let number = u32::try_from(placed.len()).unwrap_or(u32::MAX);
            let placeholder = AttemptRef { task: placeholder_id(number), attempt: number };
            let commitment = commitment_of(pending_task);
            pool.commit(&worker, &placeholder, commitment.clone()).map_err(|_| NoWorker::Full)?;
            quarantine.record_start(&worker, &placeholder.task, now);
            let running = pool.worker(&worker).map_or(0, |worker| worker.commitments().len());
            // Closes the worker once its unproven attempts and blamed failures reach the limit.
            if !quarantine.may_start(&worker, running, now) {
                pool.set_open(&worker, false);
            }
            placed.push((worker.clone(), placeholder, commitment));
            Ok(worker)
        });
        self.count_placements(selection.placed.len());
        for ((id, _), (worker, placeholder, commitment)) in selection.placed.iter().zip(placed) {
            self.pool.release(&worker, &placeholder);
            self.quarantine.record_stop(&worker, &placeholder.task);
            self.quarantine.record_start(&worker, id, now);
            let Some(task) = self.tasks.get(id) else { continue };
            let commitment = Commitment { priority: task.row.priority, ..commitment };
            self.pool.adopt(&worker, &task.attempt(), commitment);
        }
        selection
    }

    fn assignment(&self, id: &TaskId, worker: &str) -> Option<RowChange> {
        let task = self.tasks.get(id)?;
        let AnyTask::Unassigned(unassigned) = AnyTask::from(task.row.clone()) else { return None };
        Some(RowChange {
            id: id.clone(),
            revision: task.revision,
            change: TaskWrite::Put(Box::new(unassigned.assign(worker).into_row())),
        })
    }

    /// Moves a task that cannot run here to a domain where it may, or else marks it with the reason.
    fn unplaceable(
        &self,
        id: &TaskId,
        reason: &Unplaceable,
        input: &TickInput<'_>,
    ) -> Option<RowChange> {
        let task = self.tasks.get(id)?;
        let AnyTask::Unassigned(unassigned) = AnyTask::from(task.row.clone()) else { return None };
        let destination = match reason {
            Unplaceable::DomainNotAllowed { .. } => input.destinations_for(&task.row).next(),
            _ => None,
        };
        let change = match destination {
            Some(domain) => TaskWrite::Move(Box::new(unassigned.move_to(domain).into_row())),
            None => {
                TaskWrite::Put(Box::new(unassigned.mark_unplaceable(reason.to_string()).into_row()))
            }
        };
        Some(RowChange { id: id.clone(), revision: task.revision, change })
    }

    /// Makes unplaceable tasks pending again once the catalogue or the total memory of the workers has changed.
    pub(super) fn reconsider_unplaceable(&mut self, input: &TickInput<'_>) -> Vec<RowChange> {
        let capacities = self.pool.workers().values().map(|worker| worker.capacity().memory_mb);
        let inputs = (input.catalogue.revision(), capacities.sum::<u64>());
        if self.reconsidered_at == Some(inputs) {
            return Vec::new();
        }
        self.reconsidered_at = Some(inputs);
        let marked = self
            .tasks
            .values()
            .filter(|task| task.row.state == TaskState::Unplaceable && !task.writing);
        marked
            .filter_map(|task| {
                let AnyTask::Unassigned(unassigned) = AnyTask::from(task.row.clone()) else {
                    return None;
                };
                Some(RowChange {
                    id: task.row.id.clone(),
                    revision: task.revision,
                    change: TaskWrite::Put(Box::new(unassigned.reconsider().into_row())),
                })
            })
            .collect()
    }

    /// Returns the limits of this domain, reduced by the running tasks and the assignments that are being written.
    fn limits(&self, input: &TickInput<'_>) -> Limits {
        let in_service: BTreeSet<String> = input
            .others
            .iter()
            .chain(std::iter::once(&self.domain))
            .filter(|domain| input.catalogue.domain_state(domain) == DomainState::In)
            .cloned()
            .collect();
        let mut limits = Limits::new(input.catalogue.documents(), &self.domain, &in_service);
        let counted = |state| state == TaskState::Running;
        for task in self.tasks.values().filter(|task| counted(task.row.state) || task.assigning) {
            limits.add(&task.row.entry, &task.row.owner, &task.row.resources);
        }
        limits
    }

    /// Opens the workers that may receive attempts and closes the others, by quarantine and inventory.
    fn update_open_workers(&mut self, now: Instant) {
        let names: Vec<String> = self.pool.workers().keys().cloned().collect();
        for name in names {
            let running = self.pool.worker(&name).map_or(0, |worker| worker.commitments().len());
            let usable = self.quarantine.may_start(&name, running, now);
            let known = self.fleet.get(&name).is_some_and(|view| view.is_usable());
            self.pool.set_open(&name, usable && known);
        }
        let suspects = self.quarantine.suspects();
        for name in suspects.difference(&self.suspects) {
            log::WORKER_QUARANTINED.emit(format_args!("{name} in {}", self.domain));
        }
        self.suspects = suspects;
    }

    /// Sets the latency targets of the services in the interference model after a change of the catalogue. Those of
    /// entries that were removed stay.
    fn update_latency_targets(&mut self, input: &TickInput<'_>) {
        if self.latency_targets_at == Some(input.catalogue.revision()) {
            return;
        }
        self.latency_targets_at = Some(input.catalogue.revision());
        for (name, document) in input.catalogue.documents() {
            if let Document::Entry(entry) = document {
                let target = entry.p99_target_ms.map(std::time::Duration::from_millis);
                self.interference.set_target(name, target);
            }
        }
    }
}

/// Chooses a worker. Batch work does not use the workers where evictions make room for urgent tasks.
fn choose(
    pool: &Pool,
    pending_task: &PendingTask<'_>,
    reserved: &BTreeSet<String>,
    interference: &InterferenceModel,
) -> Result<String, NoWorker> {
    if pending_task.class == Class::LatencyCritical || reserved.is_empty() {
        return placement::choose(pool, pending_task, interference).map(str::to_owned);
    }
    let excluded = pending_task.excluded.union(reserved).cloned().collect();
    let pending_task = PendingTask { excluded: &excluded, ..pending_task.clone() };
    match placement::choose(pool, &pending_task, interference) {
        Ok(worker) => Ok(worker.to_owned()),
        Err(NoWorker::AllExcluded) => Err(NoWorker::Full),
        Err(other) => Err(other),
    }
}

/// Returns the ID that stands for a task during a pass over the queue.
fn placeholder_id(number: u32) -> TaskId {
    TaskId::new(format!("placement-{number}"))
}

/// Returns the commitment of a pending task. The priority is filled in after the pass, when the task is known.
fn commitment_of(pending_task: &PendingTask<'_>) -> Commitment {
    Commitment {
        entry: pending_task.entry.to_owned(),
        class: pending_task.class,
        priority: 0,
        resources: pending_task.resources,
    }
}
