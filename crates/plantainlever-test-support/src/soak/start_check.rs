//! Checks each start of a task. For runs on two workers at the same time, describes both runs and what the store says of
//! the task.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::Value;

use super::world::{Payload, StartOrder, Worker, WorkerMode, World};

/// Time after the acknowledged cancellation of a job in which starts of its tasks may still be decided; the platform's
/// `cancel_ms`.
const CANCEL_TIME: Duration = Duration::from_secs(3);

impl World {
    /// Reports a breach for each other worker on which the task runs when an order starts it on a worker.
    pub(super) fn check_overlap(
        &mut self,
        index: usize,
        (task, run): (&str, u32),
        order: StartOrder,
    ) {
        let now = Instant::now();
        let others = self.workers.iter().enumerate().filter_map(|(other, worker)| {
            let is_up = other != index && worker.mode != WorkerMode::Dead;
            Some((worker, worker.runs().get(task).filter(|_| is_up)?))
        });
        let breaches: Vec<String> = others
            .map(|(worker, first)| {
                format!(
                    "{task} already runs on another worker: {}; {}; {}",
                    self.describe_run(worker, first.number, first.order, first.started_at),
                    self.describe_run(&self.workers[index], run, order, now),
                    self.describe_rows(task),
                )
            })
            .collect();
        self.breaches.extend(breaches);
    }

    /// Reports a breach if the task has completed with an acknowledged end, has an unfinished predecessor step, or
    /// belongs to a job that had been cancelled when the start was decided, `held_up` ago.
    pub(super) fn check_start(&mut self, task: &str, payload: &Payload, held_up: Duration) {
        // An unacknowledged end may be lost with its worker, and then the task must run again.
        if self.completed_tasks.get(task) == Some(&true) {
            self.breaches.push(format!("{task} started again after its end was acknowledged"));
        }
        let parts: Vec<&str> = task.split('.').collect();
        let step: usize = parts[2].parse().unwrap_or_default();
        if step > 0 {
            let is_done = |i: u16| {
                self.completed_tasks.contains_key(&format!("{}.0.{}.{i}", parts[0], step - 1))
            };
            if !(0..payload.counts[step - 1]).all(is_done) {
                self.breaches.push(format!("{task} started before step {}", step - 1));
            }
        }
        let cancelled = self.cancelled.get(parts[0]);
        if cancelled.is_some_and(|at| at.elapsed() > CANCEL_TIME + held_up) {
            self.breaches.push(format!("{task} started after its job was cancelled"));
        }
    }

    /// Seconds from the start of the faults; negative before it.
    pub(super) fn seconds(&self, at: Instant) -> f64 {
        let origin = self.faults_began.unwrap_or(at);
        at.saturating_duration_since(origin).as_secs_f64()
            - origin.saturating_duration_since(at).as_secs_f64()
    }

    fn describe_run(
        &self,
        worker: &Worker,
        run: u32,
        order: StartOrder,
        started_at: Instant,
    ) -> String {
        format!(
            "run {run} of process {} in epoch {}, ordered {:.3} s, started {:.3} s, on {} of {} (born {}, lease left \
             {} ms)",
            order.node,
            order.epoch,
            self.seconds(order.at),
            self.seconds(started_at),
            worker.id,
            worker.domain,
            worker.incarnation_started_unix_ms,
            worker.lease_left_ms(),
        )
    }

    /// Describes the stored rows that name a worker of the task, which has the name JOB.K.STEP.INDEX.
    fn describe_rows(&self, task: &str) -> String {
        let mut parts = task.splitn(3, '.');
        let (Some(job), Some(occurrence), Some(task)) = (parts.next(), parts.next(), parts.next())
        else {
            return "no task name".to_owned();
        };
        let rows: Vec<String> = self
            .rows
            .iter()
            .filter(|((table, _, key), _)| {
                table.starts_with("progress-") && key.split('.').next() == Some(job)
            })
            .flat_map(|((.., key), (version, value))| {
                let row: Value = value
                    .as_ref()
                    .and_then(|value| BASE64_STANDARD.decode(value).ok())
                    .and_then(|bytes| serde_json::from_slice(&bytes).ok())
                    .unwrap_or_default();
                // A job with many tasks has rows with a part of the tasks each.
                let of_head = &row["o"][occurrence]["w"];
                let placements = if of_head.is_object() { of_head } else { &row["w"] };
                let workers = placements.as_object().cloned().unwrap_or_default();
                workers
                    .into_iter()
                    .filter(|(_, tasks)| names_task(tasks, task))
                    .map(|(worker, _)| format!("row {key} of version {version} names {worker}"))
                    .collect::<Vec<_>>()
            })
            .collect();
        if rows.is_empty() { "no row names a worker".to_owned() } else { rows.join(", ") }
    }
}

/// Returns true if a list of `[STEP, INDEX]` has the task STEP.INDEX.
fn names_task(tasks: &Value, task: &str) -> bool {
    let is_task = |pair: &Value| format!("{}.{}", pair[0], pair[1]) == task;
    tasks.as_array().is_some_and(|tasks| tasks.iter().any(is_task))
}
