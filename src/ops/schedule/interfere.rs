//! Carries out interference control: throttles, restores and evicts batch work on the VM of a protected service.

use std::time::{Duration, Instant};

use super::event::WorkerCall;
use super::state::SchedulerState;
use crate::catalogue::Class;
use crate::platform::worker::{AttemptState, Inventory, ThrottleRequest};
use crate::policy::interference::control::{Action, Neighbour, Reading};

/// Percentage that removes the limit on an attempt's processors.
const UNLIMITED: u8 = 100;

impl SchedulerState {
    /// Updates the interference model from a full inventory of a worker on the VM of a service, and carries out the
    /// actions of the controller.
    pub(super) fn control_interference(&mut self, name: &str, inventory: &Inventory, at: Instant) {
        let service = self.pool.worker(name).and_then(|worker| worker.service());
        let Some(service) = service.map(str::to_owned) else { return };
        if !self.interference.observe(name, Some(&service), inventory) {
            return;
        }
        let tail = inventory
            .service_p99_us
            .and_then(|p99_us| self.interference.tail(&service, Duration::from_micros(p99_us)));
        let Some(tail) = tail else { return };
        let age_ms = inventory.time_ms.saturating_sub(inventory.measured_at_ms);
        let measured_at = at.checked_sub(Duration::from_millis(age_ms)).unwrap_or(at);
        let neighbours = self.neighbours(inventory);
        let reading =
            Reading { worker: name, service: &service, tail, measured_at, neighbours: &neighbours };
        let actions = self.controller.step(&reading, &self.interference, at);
        for action in actions {
            self.apply_action(name, action, at);
        }
    }

    fn neighbours<'a>(&self, inventory: &'a Inventory) -> Vec<Neighbour<'a>> {
        let is_batch =
            |task| self.tasks.get(task).is_some_and(|task| task.row.class == Class::Batch);
        inventory
            .attempts
            .iter()
            .filter(|report| {
                report.state == AttemptState::Running && is_batch(&report.attempt.task)
            })
            .map(|report| {
                let used = report.usage.unwrap_or(report.resources);
                let cores = used.cpu_millis as f64 / 1000.0;
                Neighbour { attempt: &report.attempt, entry: &report.entry, cores }
            })
            .collect()
    }

    fn apply_action(&mut self, worker: &str, action: Action, now: Instant) {
        let (attempt, percent) = match action {
            Action::Evict { attempt } => {
                return self.evict(&attempt, "evicted to protect a service on the same VM", now);
            }
            Action::Throttle { attempt, percent } => (attempt, percent),
            Action::Unthrottle { attempt } => (attempt, UNLIMITED),
        };
        self.fleet.push(worker, WorkerCall::Throttle(ThrottleRequest { attempt, percent }));
    }
}
