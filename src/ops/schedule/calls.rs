//! The threads that call workers.
//!
//! The tick thread hands over at most one call per worker at a time, so a slow worker occupies one thread only. The
//! permission to schedule is checked here, directly before each message, because the process may have been paused since
//! the tick decided. Inventory reads need no permission. Before a start, the freshness of the catalogue is checked too.

use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};

use super::event::{CallResult, ClockReading, Event, FinishedCall, QueuedCall, WorkerCall};
use super::shared::SharedHolds;
use crate::domain::DomainState;
use crate::ops::Context;
use crate::platform::worker::{AttemptRef, StartRequest};

/// State of a call thread. All call threads share one queue.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) cx: Context,
    pub(super) holds: SharedHolds,
    pub(super) domain: String,
    pub(super) queue: Arc<Mutex<Receiver<QueuedCall>>>,
    pub(super) events: SyncSender<Event>,
}

impl Caller {
    /// Runs until the queue is closed.
    pub(super) fn run(&self) {
        loop {
            let next = self.queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(queued) = next else { return };
            let result = self.perform(&queued);
            let end = FinishedCall {
                worker: queued.worker,
                epoch: queued.epoch,
                at: self.cx.clock.now(),
                result,
            };
            if self.events.send(Event::CallFinished(end)).is_err() {
                return;
            }
        }
    }

    fn perform(&self, queued: &QueuedCall) -> CallResult {
        let workers = &self.cx.workers;
        let address = queued.address.as_str();
        if let WorkerCall::Inventory(req) = &queued.call {
            return workers
                .inventory(address, req)
                .map_or(CallResult::Failed, CallResult::Inventory);
        }
        if !self.holds.may_schedule(&self.domain, queued.epoch, self.cx.clock.now()) {
            return not_made(&queued.call);
        }
        let outcome = match &queued.call {
            WorkerCall::Inventory(_) => return CallResult::Failed,
            WorkerCall::Start(req, clock) => return self.start(address, req, *clock),
            WorkerCall::Renew(req) => {
                return workers
                    .renew(address, req)
                    .map_or(CallResult::Failed, |()| CallResult::Renewed(req.attempts.clone()));
            }
            WorkerCall::Checkpoint(req) => workers.checkpoint(address, req),
            WorkerCall::Throttle(req) => workers.throttle(address, req),
            WorkerCall::Stop(req) => workers.stop(address, req),
        };
        outcome.map_or(CallResult::Failed, |()| CallResult::Done)
    }

    /// Sends a start if the domain is known to be in service. The first lease ends one start window after the newest
    /// confirmation of that, so the worker refuses a start that is delivered late.
    fn start(&self, address: &str, req: &StartRequest, clock: ClockReading) -> CallResult {
        let attempt = attempt_of(req);
        let not_sent =
            |unreachable| CallResult::StartNotSent { attempt: attempt.clone(), unreachable };
        let timing = &self.cx.cfg.timing;
        let cache = self.cx.catalogue.snapshot();
        let fresh = cache.is_fresh(self.cx.clock.now(), timing.freshness());
        if !fresh || cache.domain_state(&self.domain) == DomainState::Out {
            return not_sent(false);
        }
        let Some(confirmed_at) = cache.confirmed_at() else { return not_sent(false) };
        let lease_end = confirmed_at + timing.start_window();
        let req = StartRequest { lease_until_ms: clock.worker_time(lease_end), ..req.clone() };
        match self.cx.workers.start(address, &req) {
            Ok(answer) => CallResult::Started { attempt, answer, lease_end },
            Err(error) if error.had_no_effect() => not_sent(true),
            Err(_) => CallResult::StartUnknown { attempt, lease_end },
        }
    }
}

fn attempt_of(req: &StartRequest) -> AttemptRef {
    AttemptRef { task: req.task.clone(), attempt: req.attempt }
}

fn not_made(call: &WorkerCall) -> CallResult {
    match call {
        WorkerCall::Start(req, _) => {
            CallResult::StartNotSent { attempt: attempt_of(req), unreachable: false }
        }
        _ => CallResult::Failed,
    }
}
