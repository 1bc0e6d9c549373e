//! Status sources of the dispatcher and the domain scheduler.

use crate::catalogue::Class;
use crate::ops::api::status::{QuarantinedWorker, QueueStatus, StatusSource, UnplaceableTask};
use crate::ops::dispatch::Dispatcher;
use crate::ops::schedule::DomainScheduler;

/// Status of the domain scheduler. The task queue is only reported while this process schedules its domain.
#[derive(Debug)]
pub(super) struct SchedulerSource {
    scheduler: DomainScheduler,
}

impl SchedulerSource {
    pub(super) fn new(scheduler: DomainScheduler) -> Self {
        Self { scheduler }
    }
}

impl StatusSource for SchedulerSource {
    fn queues(&self) -> Vec<QueueStatus> {
        let status = self.scheduler.status();
        if !status.scheduling {
            return Vec::new();
        }
        vec![QueueStatus {
            name: "tasks".to_owned(),
            class: Class::Batch,
            waiting: status.waiting,
            running: status.running,
        }]
    }

    fn quarantined(&self) -> Vec<QuarantinedWorker> {
        let status = self.scheduler.status();
        let worker = |(worker, reason): (String, String)| QuarantinedWorker {
            worker,
            domain: status.domain.clone(),
            reason,
        };
        status.quarantined.into_iter().map(worker).collect()
    }

    fn unplaceable(&self) -> Vec<UnplaceableTask> {
        let tasks = self.scheduler.status().unplaceable.into_iter();
        // The scheduler's status has no entry names; `GET /v1/tasks/{id}` returns the entry.
        tasks.map(|(id, reason)| UnplaceableTask { id, entry: String::new(), reason }).collect()
    }
}

/// Status of the dispatcher: the requests of this process.
#[derive(Debug)]
pub(super) struct RequestSource {
    dispatcher: Dispatcher,
}

impl RequestSource {
    pub(super) fn new(dispatcher: Dispatcher) -> Self {
        Self { dispatcher }
    }
}

impl StatusSource for RequestSource {
    fn queues(&self) -> Vec<QueueStatus> {
        let waiting = self.dispatcher.waiting();
        let in_progress = usize::try_from(self.dispatcher.in_flight()).unwrap_or(usize::MAX);
        vec![QueueStatus {
            name: "requests".to_owned(),
            class: Class::LatencyCritical,
            waiting,
            running: in_progress.saturating_sub(waiting),
        }]
    }
}
