//! State machine of a worker, without threads or I/O. Times are milliseconds of the worker's own clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::worker::{
    AttemptRef, AttemptReport, AttemptState, Inventory, InventoryRequest, RenewRequest,
    StartRequest, StartResult, ThrottleRequest, WorkerTimeMs,
};
use crate::worker::Resources;

/// How long the inventory reports ended attempts.
const REPORT_RETENTION_MS: WorkerTimeMs = 300_000;

/// A start or an end of an attempt, for the history.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The attempt of this request began to run.
    Started(Box<StartRequest>),
    /// The attempt ended in this state.
    Ended(AttemptRef, AttemptState),
}

/// Progress of an attempt, as stored in a checkpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Work done, as run time in milliseconds at full speed.
    pub done_ms: u64,
}

/// Behaviour of an attempt, from the arguments of its task.
#[derive(Clone, Debug, Default, Deserialize)]
struct Behaviour {
    /// Run time in milliseconds at full speed; without it the attempt runs until it is stopped.
    run_ms: Option<u64>,
    /// True if the attempt ends with a failure.
    #[serde(default)]
    fail: bool,
    /// True if the attempt crashes its worker when its run time is over, at once without one.
    #[serde(default)]
    crash: bool,
}

#[derive(Clone, Debug)]
struct Attempt {
    req: StartRequest,
    behaviour: Behaviour,
    state: AttemptState,
    lease_until_ms: WorkerTimeMs,
    /// Work done up to `accumulated_until_ms`, as run time in microseconds at full speed.
    done_us: u64,
    accumulated_until_ms: WorkerTimeMs,
    percent: u8,
    checkpoint: Option<String>,
    changed_ms: WorkerTimeMs,
    message: Option<String>,
}

impl Attempt {
    /// Returns when the work will be done, or the worker crashes, at the current speed; `None` if the attempt runs
    /// until it is stopped.
    fn finish_time_ms(&self) -> Option<WorkerTimeMs> {
        let run_ms = self.behaviour.run_ms.or_else(|| self.behaviour.crash.then_some(0))?;
        let remaining_us = (run_ms * 1000).saturating_sub(self.done_us);
        let percent = u64::from(self.percent.max(1));
        Some(self.accumulated_until_ms + (remaining_us * 100).div_ceil(percent * 1000))
    }

    fn accumulate_work(&mut self, now_ms: WorkerTimeMs) {
        let elapsed_ms = now_ms.saturating_sub(self.accumulated_until_ms);
        self.done_us += elapsed_ms * 10 * u64::from(self.percent);
        self.accumulated_until_ms = now_ms;
    }

    fn report(&self, usage: bool) -> AttemptReport {
        let used = usage && self.state == AttemptState::Running;
        AttemptReport {
            attempt: attempt_ref(&self.req),
            state: self.state,
            entry: self.req.entry.clone(),
            resources: self.req.resources,
            lease_until_ms: self.lease_until_ms,
            checkpoint: self.checkpoint.clone(),
            usage: used.then(|| scaled(&self.req.resources, self.percent)),
            message: self.message.clone(),
        }
    }
}

/// State of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    capacity: Resources,
    incarnation: u64,
    attempts: BTreeMap<AttemptRef, Attempt>,
    /// Attempts that must never run here, with the answer to a start of each.
    tombstones: BTreeMap<AttemptRef, StartResult>,
    service_p99_us: Option<u64>,
}

impl WorkerState {
    /// Creates the state of a worker that has just started and has no attempts.
    #[must_use]
    pub fn new(capacity: Resources, incarnation: u64) -> Self {
        Self {
            capacity,
            incarnation,
            attempts: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            service_p99_us: None,
        }
    }

    /// Sets the tail latency of the service on the same VM that the inventory reports, in microseconds.
    pub fn set_service_p99_us(&mut self, p99_us: Option<u64>) {
        self.service_p99_us = p99_us;
    }

    /// Changes the total resources. Attempts continue.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// True if a running attempt crashes the worker at this time or before.
    #[must_use]
    pub fn is_crash_due(&self, now_ms: WorkerTimeMs) -> bool {
        let is_due = |attempt: &Attempt| {
            attempt.state == AttemptState::Running
                && attempt.behaviour.crash
                && attempt.finish_time_ms().is_some_and(|at| at <= now_ms)
                && attempt.lease_until_ms > now_ms
        };
        self.attempts.values().any(is_due)
    }

    /// Ends attempts whose work is done or whose lease has expired, and removes attempts that ended long ago.
    pub fn advance(&mut self, now_ms: WorkerTimeMs) -> Vec<AttemptEvent> {
        let mut events = Vec::new();
        for (attempt_ref, attempt) in &mut self.attempts {
            if attempt.state != AttemptState::Running {
                continue;
            }
            let finish = attempt.finish_time_ms().filter(|_| !attempt.behaviour.crash);
            let finish = finish.filter(|finish| *finish <= now_ms);
            let expiry = (attempt.lease_until_ms <= now_ms).then_some(attempt.lease_until_ms);
            let (at_ms, state) = match (finish, expiry) {
                (Some(finish), expiry) if expiry.is_none_or(|expiry| finish <= expiry) => {
                    (finish, final_state(&attempt.behaviour))
                }
                (_, Some(expiry)) => (expiry, AttemptState::Lapsed),
                _ => continue,
            };
            attempt.accumulate_work(at_ms);
            attempt.state = state;
            attempt.changed_ms = now_ms;
            if state == AttemptState::Failed {
                attempt.message = Some("the task asked to fail".to_owned());
            }
            events.push(AttemptEvent::Ended(attempt_ref.clone(), state));
        }
        self.attempts.retain(|_, attempt| {
            attempt.state == AttemptState::Running
                || attempt.changed_ms + REPORT_RETENTION_MS > now_ms
        });
        events
    }

    /// Starts an attempt with the progress of its checkpoint. Returns an event only if it was not started before.
    pub fn start(
        &mut self,
        req: &StartRequest,
        progress: Progress,
        now_ms: WorkerTimeMs,
    ) -> (StartResult, Option<AttemptEvent>) {
        let attempt_ref = attempt_ref(req);
        if let Some(answer) = self.tombstones.get(&attempt_ref) {
            return (answer.clone(), None);
        }
        if self.attempts.contains_key(&attempt_ref) {
            return (StartResult::Started, None);
        }
        if req.lease_until_ms <= now_ms || req.incarnation != self.incarnation {
            self.tombstones.insert(attempt_ref, StartResult::LeaseLapsed);
            return (StartResult::LeaseLapsed, None);
        }
        let behaviour = Behaviour::deserialize(&req.args).unwrap_or_default();
        self.attempts.insert(
            attempt_ref,
            Attempt {
                req: req.clone(),
                behaviour,
                state: AttemptState::Running,
                lease_until_ms: req.lease_until_ms,
                done_us: progress.done_ms * 1000,
                accumulated_until_ms: now_ms,
                percent: 100,
                checkpoint: req.checkpoint.clone(),
                changed_ms: now_ms,
                message: None,
            },
        );
        (StartResult::Started, Some(AttemptEvent::Started(Box::new(req.clone()))))
    }

    /// Refuses a start, and later starts of the same attempt. Has no effect on an attempt that has started.
    pub fn fail_start(&mut self, req: &StartRequest, message: &str) -> StartResult {
        let answer = StartResult::Failed { message: message.to_owned() };
        let attempt_ref = attempt_ref(req);
        if self.attempts.contains_key(&attempt_ref) {
            return StartResult::Started;
        }
        self.tombstones.entry(attempt_ref).or_insert(answer).clone()
    }

    /// Extends the leases of the attempts; unknown ones are ignored.
    pub fn renew(&mut self, req: &RenewRequest) {
        for attempt_ref in &req.attempts {
            if let Some(attempt) = self.attempts.get_mut(attempt_ref) {
                attempt.lease_until_ms = attempt.lease_until_ms.max(req.lease_until_ms);
            }
        }
    }

    /// Begins a checkpoint and returns the name of the object and its content; `None` if the attempt does not run.
    pub fn begin_checkpoint(
        &mut self,
        attempt_ref: &AttemptRef,
        now_ms: WorkerTimeMs,
    ) -> Option<(String, Progress)> {
        let attempt = self.attempts.get_mut(attempt_ref)?;
        if attempt.state != AttemptState::Running {
            return None;
        }
        attempt.accumulate_work(now_ms);
        let name = format!(
            "checkpoint-{}-{}-{now_ms}-{}",
            attempt_ref.task, attempt_ref.attempt, self.incarnation
        );
        Some((name, Progress { done_ms: attempt.done_us / 1000 }))
    }

    /// Reports a checkpoint, once its object is complete in the store.
    pub fn finish_checkpoint(
        &mut self,
        attempt_ref: &AttemptRef,
        name: &str,
        now_ms: WorkerTimeMs,
    ) {
        if let Some(attempt) = self.attempts.get_mut(attempt_ref) {
            attempt.checkpoint = Some(name.to_owned());
            attempt.changed_ms = now_ms;
        }
    }

    /// Limits the speed of an attempt; an unknown attempt is ignored.
    pub fn throttle(&mut self, req: &ThrottleRequest, now_ms: WorkerTimeMs) {
        if let Some(attempt) = self.attempts.get_mut(&req.attempt) {
            attempt.accumulate_work(now_ms);
            attempt.percent = req.percent.clamp(1, 100);
        }
    }

    /// Stops an attempt. If it has not started, a later start of it fails.
    pub fn stop(&mut self, attempt_ref: &AttemptRef, now_ms: WorkerTimeMs) -> Option<AttemptEvent> {
        match self.attempts.get_mut(attempt_ref) {
            Some(attempt) if attempt.state == AttemptState::Running => {
                attempt.accumulate_work(now_ms);
                attempt.state = AttemptState::Stopped;
                attempt.changed_ms = now_ms;
                Some(AttemptEvent::Ended(attempt_ref.clone(), AttemptState::Stopped))
            }
            Some(_) => None,
            None => {
                let message = "stopped before it started".to_owned();
                self.tombstones
                    .entry(attempt_ref.clone())
                    .or_insert(StartResult::Failed { message });
                None
            }
        }
    }

    /// Returns the worker's resources and attempts. `measured_at_ms` is reported as given.
    #[must_use]
    pub fn inventory(
        &self,
        req: &InventoryRequest,
        now_ms: WorkerTimeMs,
        measured_at_ms: WorkerTimeMs,
    ) -> Inventory {
        let all = req.changed_after_ms == 0;
        let attempts = self
            .attempts
            .values()
            .filter(|attempt| all || attempt.changed_ms > req.changed_after_ms)
            .map(|attempt| attempt.report(true))
            .collect();
        Inventory {
            time_ms: now_ms,
            incarnation: self.incarnation,
            capacity: self.capacity,
            attempts,
            service_p99_us: self.service_p99_us,
            measured_at_ms,
        }
    }

    /// Returns the attempts that were running at the last [`WorkerState::advance`].
    pub fn running(&self) -> impl Iterator<Item = &AttemptRef> {
        let running =
            |(_, attempt): &(&AttemptRef, &Attempt)| attempt.state == AttemptState::Running;
        self.attempts.iter().filter(running).map(|(attempt_ref, _)| attempt_ref)
    }

    /// True if the attempt is known and its report has not changed after `time_ms`.
    #[must_use]
    pub fn is_unchanged_since(&self, attempt: &AttemptRef, time_ms: WorkerTimeMs) -> bool {
        self.attempts.get(attempt).is_some_and(|attempt| attempt.changed_ms <= time_ms)
    }

    /// Total resources, used ones included.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.capacity
    }
}

fn final_state(behaviour: &Behaviour) -> AttemptState {
    if behaviour.fail { AttemptState::Failed } else { AttemptState::Succeeded }
}

fn attempt_ref(req: &StartRequest) -> AttemptRef {
    AttemptRef { task: req.task.clone(), attempt: req.attempt }
}

fn scaled(resources: &Resources, percent: u8) -> Resources {
    Resources { cpu_millis: resources.cpu_millis * u64::from(percent) / 100, ..*resources }
}

/// Decodes the content of a checkpoint object; an invalid one counts as no progress.
#[must_use]
pub fn decode_progress(body: &[u8]) -> Progress {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    Progress::deserialize(value).unwrap_or_default()
}
