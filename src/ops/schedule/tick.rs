//! Decisions of one tick of the scheduler.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::attempt::{Stage, TerminationAction, row_after};
use super::event::{RowChange, TaskWrite, WorkerCall};
use super::state::{SchedulerState, commitment};
use crate::catalogue::cache::CatalogueCache;
use crate::domain::DomainState;
use crate::domain::hold::holding::Holding;
use crate::platform::vms::{VmListing, VmRole, VmState};
use crate::platform::worker::{
    AttemptRef, CheckpointRequest, RenewRequest, StartRequest, StopRequest,
};
use crate::task::lifecycle::AnyTask;
use crate::task::{TaskId, TaskRow, TaskState};

/// How long the rows of ended tasks are kept for callers.
const ENDED_TASK_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of rows of ended tasks that one tick deletes.
const MAX_ROW_DELETES: usize = 100;

/// Inputs of a tick from the rest of the process.
#[derive(Debug)]
pub(super) struct TickInput<'a> {
    pub(super) now: Instant,
    pub(super) holding: &'a Holding,
    pub(super) catalogue: &'a CatalogueCache,
    pub(super) vms: &'a VmListing,
    /// The other domains, in the order of the settings, including those out of service.
    pub(super) others: &'a [String],
}

impl TickInput<'_> {
    fn is_out(&self, domain: &str) -> bool {
        self.catalogue.domain_state(domain) == DomainState::Out
    }

    /// Returns the other domains that are in service and where the task may run.
    pub(super) fn destinations_for<'a>(
        &'a self,
        row: &'a TaskRow,
    ) -> impl Iterator<Item = &'a String> {
        self.others
            .iter()
            .filter(|domain| !self.is_out(domain) && is_allowed(self.catalogue, row, domain))
    }
}

impl SchedulerState {
    /// Decides the changes of this tick, and queues calls to workers.
    pub(super) fn tick(&mut self, input: &TickInput<'_>) -> Vec<RowChange> {
        if !input.holding.may_schedule(input.now) || !self.loaded {
            return Vec::new();
        }
        self.update_ready(input.now);
        self.sync_workers(input);
        self.fleet.queue_polls(input.now, self.timing.inventory_poll());
        // Inherited leases are renewed already during the wait for the predecessor's starts, which is about as long as
        // these leases still last.
        self.queue_renewals(input);
        if !self.ready {
            return Vec::new();
        }
        self.interrupt_lapsed(input.now);
        self.stop_orphans();
        let out = input.is_out(&self.domain);
        self.begin_terminations(input, out);
        if out {
            self.evacuate(input.now);
        }
        self.advance_terminations(input.now);
        let mut changes = self.ended_rows(input);
        changes.extend(self.rows_past_retention(input.now));
        if out {
            changes.extend(self.moves(input));
        } else if input.catalogue.is_fresh(input.now, self.timing.freshness()) {
            changes.extend(self.reconsider_unplaceable(input));
            changes.extend(self.place_waiting_tasks(input));
            self.queue_starts();
        }
        changes
    }

    /// Sets `ready` once no worker can accept a start of the predecessor any more, one start window after the
    /// take-over.
    fn update_ready(&mut self, now: Instant) {
        if !self.ready && now >= self.takeover.at + self.timing.start_window() {
            self.ready = true;
            self.fleet.read_all_again(now);
        }
    }

    /// Updates the workers and the services on their VMs from the VM list. A worker that is no longer listed stays
    /// until it has no attempts.
    fn sync_workers(&mut self, input: &TickInput<'_>) {
        let listed: BTreeMap<&str, _> = input
            .vms
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Worker && vm.domain == self.domain)
            .map(|vm| (vm.name.as_str(), vm))
            .collect();
        let services: BTreeMap<&str, &str> = input
            .vms
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Target && vm.domain == self.domain)
            .filter_map(|vm| Some((vm.name.as_str(), vm.service.as_deref()?)))
            .collect();
        for (name, vm) in &listed {
            let draining = vm.state == VmState::Leaving;
            self.fleet.upsert(name, &vm.address, draining, input.now);
            let capacity = self.pool.worker(name).map(|worker| *worker.capacity());
            self.pool.upsert(name, &vm.rack, &vm.address, capacity.unwrap_or_default());
            if capacity.is_none() {
                self.adopt_running_attempts(name);
            }
            let service = services.get(name).copied();
            self.pool.set_service(name, service);
            let protected = service.is_some_and(|name| self.interference.is_protected(name));
            self.fleet.set_service(name, protected);
            if draining {
                self.pool.set_open(name, false);
            }
        }
        for name in self.fleet.names() {
            let in_use = self.pool.worker(&name).is_some_and(|w| !w.commitments().is_empty());
            if listed.contains_key(name.as_str()) {
                continue;
            }
            self.pool.set_open(&name, false);
            if !in_use {
                self.fleet.remove(&name);
                self.pool.remove(&name);
                self.quarantine.forget_worker(&name);
                self.interference.forget_worker(&name);
                self.controller.forget_worker(&name);
            }
        }
    }

    /// Commits the resources of the attempts that the rows assign to a worker that has just been listed.
    fn adopt_running_attempts(&mut self, name: &str) {
        for task in self.tasks.values() {
            if task.live.as_ref().is_some_and(|live| live.worker == name && live.outcome.is_none())
            {
                self.pool.adopt(name, &task.attempt(), commitment(&task.row));
            }
        }
    }

    fn interrupt_lapsed(&mut self, now: Instant) {
        let lapsed: Vec<TaskId> = self
            .tasks
            .values()
            .filter(|task| {
                let live = task.live.as_ref();
                live.is_some_and(|live| live.outcome.is_none() && live.has_lapsed(now))
            })
            .map(|task| task.row.id.clone())
            .collect();
        for id in lapsed {
            self.mark_interrupted(&id, "its lease lapsed while the worker was silent");
        }
    }

    fn stop_orphans(&mut self) {
        for (worker, attempt) in &self.orphans {
            let idle = self.fleet.get(worker).is_some_and(|view| view.has_no_calls());
            if idle {
                self.fleet.push(worker, WorkerCall::Stop(StopRequest { attempt: attempt.clone() }));
            }
        }
    }

    /// Begins to end cancelled attempts, those on draining workers, and those not yet sent in a domain out of service.
    fn begin_terminations(&mut self, input: &TickInput<'_>, out: bool) {
        for task in self.tasks.values_mut() {
            let attempt = task.attempt();
            let Some(live) = &mut task.live else { continue };
            if live.outcome.is_some() || live.termination.is_some() {
                continue;
            }
            let draining = self.fleet.get(&live.worker).is_some_and(|worker| worker.draining);
            let (reason, keep_progress) = if task.row.cancel {
                ("cancelled", false)
            } else if out && !live.start_maybe_sent {
                ("its failure domain is out of service", true)
            } else if draining {
                ("its worker is leaving", true)
            } else {
                continue;
            };
            if live.begin_termination(reason, keep_progress, input.now) {
                let req = CheckpointRequest { attempt };
                self.fleet.push(&live.worker, WorkerCall::Checkpoint(req));
            }
        }
    }

    fn advance_terminations(&mut self, now: Instant) {
        for task in self.tasks.values_mut() {
            let attempt = task.attempt();
            let Some(live) = &mut task.live else { continue };
            if live.advance_termination(now) == TerminationAction::SendStop {
                self.fleet.push(&live.worker, WorkerCall::Stop(StopRequest { attempt }));
            }
        }
    }

    /// Queues a renewal for each worker that has leases due and no other calls: for one kind of lease per tick, so the
    /// other kind waits for a later tick. A silent worker gets none, so that its leases lapse.
    fn queue_renewals(&mut self, input: &TickInput<'_>) {
        let now = input.now;
        let task_end = now + self.timing.task_lease();
        let exclusive_end = input.holding.exclusive_until().map_or(now, |end| end.min(task_end));
        let shared_end = now + self.timing.force_time();
        let mut by_worker: BTreeMap<(String, bool), (bool, Vec<AttemptRef>)> = BTreeMap::new();
        for task in self.tasks.values() {
            let Some(live) = task.live.as_ref().filter(|live| live.wants_renewal()) else {
                continue;
            };
            let lease = if task.row.exclusive {
                self.timing.task_lease()
            } else {
                self.timing.force_time()
            };
            let due = live.renewed_until < now + lease / 2;
            let key = (live.worker.clone(), task.row.exclusive);
            let entry = by_worker.entry(key).or_default();
            entry.0 |= due;
            entry.1.push(task.attempt());
        }
        for ((worker, exclusive), (due, attempts)) in by_worker {
            let end = if exclusive { exclusive_end } else { shared_end };
            if due && end > now {
                self.queue_renewal(&worker, attempts, end, now);
            }
        }
    }

    fn queue_renewal(
        &mut self,
        worker: &str,
        attempts: Vec<AttemptRef>,
        end: Instant,
        now: Instant,
    ) {
        let silence_limit = self.timing.inventory_poll() * 8;
        let Some(view) = self.fleet.get(worker) else { return };
        let heard = view.answered_at.is_some_and(|at| now < at + silence_limit);
        let (true, true, Some(clock)) = (heard, view.has_no_calls(), view.clock) else { return };
        for attempt in &attempts {
            if let Some(live) =
                self.tasks.get_mut(&attempt.task).and_then(|task| task.live.as_mut())
            {
                live.granted_until = live.granted_until.max(end);
            }
        }
        let req = RenewRequest { lease_until_ms: clock.worker_time(end), attempts };
        self.fleet.push(worker, WorkerCall::Renew(req));
    }

    /// Returns the row changes of attempts that have ended.
    fn ended_rows(&self, input: &TickInput<'_>) -> Vec<RowChange> {
        self.tasks
            .values()
            .filter(|task| !task.writing)
            .filter_map(|task| {
                let live = task.live.as_ref()?;
                let max_attempts = max_attempts(input.catalogue, &task.row.entry);
                let row = row_after(&task.row, live, max_attempts, &self.suspects)?;
                Some(RowChange {
                    id: task.row.id.clone(),
                    revision: task.revision,
                    change: TaskWrite::Put(Box::new(row)),
                })
            })
            .collect()
    }

    /// Returns the deletions of rows whose tasks ended more than [`ENDED_TASK_RETENTION`] ago.
    fn rows_past_retention(&self, now: Instant) -> Vec<RowChange> {
        let old =
            |ended_at: Instant| now.saturating_duration_since(ended_at) >= ENDED_TASK_RETENTION;
        self.tasks
            .values()
            .filter(|task| !task.writing && task.ended_at.is_some_and(old))
            .take(MAX_ROW_DELETES)
            .map(|task| RowChange {
                id: task.row.id.clone(),
                revision: task.revision,
                change: TaskWrite::Delete,
            })
            .collect()
    }

    /// Queues the starts of committed assignments.
    fn queue_starts(&mut self) {
        for task in self.tasks.values_mut() {
            let attempt = task.attempt();
            let Some(live) = &mut task.live else { continue };
            let due = live.stage == Stage::Assigned && live.outcome.is_none();
            if !due || live.termination.is_some() || task.row.cancel {
                continue;
            }
            let view = self.fleet.get(&live.worker);
            let Some((clock, incarnation)) = view.and_then(|view| view.clock.zip(view.incarnation))
            else {
                continue;
            };
            let req = StartRequest {
                task: attempt.task,
                attempt: attempt.attempt,
                entry: task.row.entry.clone(),
                args: task.row.args.clone(),
                resources: task.row.resources,
                checkpoint: task.row.checkpoint.clone(),
                incarnation,
                lease_until_ms: 0,
            };
            if self.fleet.push(&live.worker, WorkerCall::Start(Box::new(req), clock)) {
                live.stage = Stage::Starting;
            }
        }
    }

    /// Returns the moves of waiting and unplaceable tasks to other domains.
    fn moves(&self, input: &TickInput<'_>) -> Vec<RowChange> {
        let mut changes = Vec::new();
        for task in self.tasks.values() {
            let waits = task.row.state.is_waiting() || task.row.state == TaskState::Unplaceable;
            if !waits || task.writing {
                continue;
            }
            let destinations: Vec<&String> = input.destinations_for(&task.row).collect();
            let AnyTask::Unassigned(unassigned) = AnyTask::from(task.row.clone()) else { continue };
            if destinations.is_empty() {
                continue;
            }
            let destination = destinations[changes.len() % destinations.len()];
            changes.push(RowChange {
                id: task.row.id.clone(),
                revision: task.revision,
                change: TaskWrite::Move(Box::new(unassigned.move_to(destination).into_row())),
            });
        }
        changes
    }
}

fn max_attempts(catalogue: &CatalogueCache, entry: &str) -> u32 {
    match catalogue.document(entry) {
        Some(crate::catalogue::Document::Entry(entry)) => entry.limits.max_attempts,
        _ => 5,
    }
}

fn is_allowed(catalogue: &CatalogueCache, row: &TaskRow, domain: &str) -> bool {
    match catalogue.document(&row.entry) {
        Some(crate::catalogue::Document::Entry(entry)) => entry.allows_domain(domain),
        _ => true,
    }
}
