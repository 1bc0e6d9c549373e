//! Queues of the jobs, and the settings that apply to them.
//!
//! Operators may drop or rename a queue while its jobs run. An accepted job still has to be finished, also by an owner
//! that has never read the config in which the queue was, so each job is stored with the settings of its queue:
//!
//! - `attempts` stays as it was when the job was accepted. It decides when a job fails, so all owners that count the
//!   failures have to use the same number.
//! - All other settings follow the newest config while it has the queue. Without the queue, those apply with which the
//!   job was accepted, because some config has sent the queue to their service.
//!
//! A queue that has the same name at another address is still the same one, unless another queue has taken its
//! address.
//!
//! Earlier versions stored only the name. Such a job takes the settings that its queue has when this owner first sees
//! it configured. Until then its service is unknown, so it does not start, and its failures are counted without a limit.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::job::{JobId, JobState, JobTaskId, StepId};
use crate::shard::queue::{ConfiguredQueues, JobQueue, QueuePolicy};
use crate::telemetry::event::shard as event;

use super::crashes::suspect_of;
use super::ends::failures;
use super::{Job, ShardScheduler};

/// Queue of all jobs that were accepted with the same settings.
#[derive(Debug)]
pub(super) struct SharedQueue {
    accepted: JobQueue,
    /// Settings with which the jobs were accepted; `None` if they were not stored and the queue has not been configured
    /// since.
    accepted_policy: RefCell<Option<QueuePolicy>>,
    /// Settings that apply now.
    in_force: RefCell<Rc<QueuePolicy>>,
    /// Name under which callers reach the queue now; its former name if they can't.
    current_name: RefCell<Rc<str>>,
    /// Callers can reach the queue.
    is_configured: Cell<bool>,
}

impl SharedQueue {
    fn new(accepted: JobQueue, configured: &ConfiguredQueues) -> Self {
        let queue = Self {
            accepted_policy: RefCell::new(accepted.policy.clone()),
            in_force: RefCell::new(Rc::new(unknown_policy())),
            current_name: RefCell::new(Rc::from(accepted.name.as_str())),
            is_configured: Cell::new(true),
            accepted,
        };
        queue.update(configured);
        queue
    }

    /// Name of the queue when the jobs were accepted.
    pub(super) fn name(&self) -> &str {
        &self.accepted.name
    }

    /// Returns the settings that apply to the jobs.
    pub(super) fn policy(&self) -> Rc<QueuePolicy> {
        Rc::clone(&self.in_force.borrow())
    }

    /// Applies a config. Returns true if the settings of the jobs were unknown and are known now.
    fn update(&self, configured: &ConfiguredQueues) -> bool {
        let JobQueue { name, address, .. } = &self.accepted;
        let at_address = address.as_ref().and_then(|address| configured.names.get(address));
        let is_same = at_address.is_none_or(|other| other == name);
        let newest = configured.policies.get(name).filter(|_| is_same);
        self.current_name.replace(Rc::from(at_address.unwrap_or(name).as_str()));
        let mut accepted = self.accepted_policy.borrow_mut();
        let is_adopted = accepted.is_none() && newest.is_some();
        if is_adopted {
            *accepted = newest.cloned();
        }
        let in_force = match (newest, &*accepted) {
            (Some(newest), Some(accepted)) => {
                QueuePolicy { attempts: accepted.attempts, ..newest.clone() }
            }
            (None, Some(accepted)) => accepted.clone(),
            (_, None) => unknown_policy(),
        };
        let was_configured = self.is_configured.replace(at_address.is_some() || newest.is_some());
        if self.is_configured.get() != was_configured {
            self.log_change(&in_force, accepted.is_some());
        }
        self.in_force.replace(Rc::new(in_force));
        is_adopted
    }

    fn log_change(&self, in_force: &QueuePolicy, is_known: bool) {
        let event = if self.is_configured.get() {
            &event::JOB_QUEUE_RESTORED
        } else {
            &event::JOB_QUEUE_DROPPED
        };
        event.emit(format_args!(
            "queue={} service={:?} attempts={} settings={}",
            self.accepted.name,
            in_force.service,
            in_force.attempts,
            if is_known { "accepted" } else { "unknown" }
        ));
    }
}

/// Settings of a queue of which none are known: no worker belongs to its service.
fn unknown_policy() -> QueuePolicy {
    QueuePolicy {
        service: String::new(),
        priority: u32::MAX,
        attempts: u32::MAX,
        stretch: 1.0,
        target_latency_ms: 0,
    }
}

/// Queues of the newest config and of the jobs.
#[derive(Debug, Default)]
pub(super) struct JobQueues {
    configured: ConfiguredQueues,
    /// Queues of the jobs by name; some may have no jobs any more. A name has several if the settings changed between
    /// jobs.
    shared: BTreeMap<String, Vec<Rc<SharedQueue>>>,
}

impl JobQueues {
    /// Returns the queue of a job that was accepted with `accepted`.
    pub(super) fn of_job(&mut self, accepted: JobQueue) -> Rc<SharedQueue> {
        let of_name = self.shared.entry(accepted.name.clone()).or_default();
        if let Some(queue) = of_name.iter().find(|queue| queue.accepted == accepted) {
            return Rc::clone(queue);
        }
        of_name.retain(|queue| job_count(queue) > 0);
        let queue = Rc::new(SharedQueue::new(accepted, &self.configured));
        of_name.push(Rc::clone(&queue));
        queue
    }

    /// Applies a new config. Returns the queues whose settings were unknown before.
    fn replace(&mut self, configured: ConfiguredQueues) -> Vec<Rc<SharedQueue>> {
        self.configured = configured;
        self.shared.retain(|_, of_name| {
            of_name.retain(|queue| job_count(queue) > 0);
            !of_name.is_empty()
        });
        let queues = self.shared.values().flatten();
        queues.filter(|queue| queue.update(&self.configured)).cloned().collect()
    }

    /// Returns true if a queue of this name is configured or has jobs.
    fn has(&self, name: &str) -> bool {
        self.configured.policies.contains_key(name) || self.shared.contains_key(name)
    }

    /// Number of jobs whose queues callers can't reach.
    pub(super) fn unreachable_jobs(&self) -> usize {
        let queues = self.shared.values().flatten();
        queues.filter(|queue| !queue.is_configured.get()).map(job_count).sum()
    }
}

/// Number of jobs of a queue: each has one reference, and the list of queues another one.
fn job_count(queue: &Rc<SharedQueue>) -> usize {
    Rc::strong_count(queue) - 1
}

impl ShardScheduler {
    /// Replaces the operators' settings of the queues.
    pub fn on_queues(&mut self, queues: impl Into<ConfiguredQueues>) {
        let adopted = self.queues.replace(queues.into());
        self.times.retain(|queue, _| self.queues.has(queue));
        for queue in adopted {
            let of_queue = self.jobs.iter().filter(|(_, job)| Rc::ptr_eq(&job.queue, &queue));
            let ids: Vec<JobId> = of_queue.map(|(id, _)| *id).collect();
            for id in ids {
                self.end_if_over_budget(id);
                self.rerank(id);
            }
        }
        self.is_placement_due = true;
    }

    /// Ends a job of which a task has failed as often as it may. Failures are counted without a limit while that is
    /// unknown, and a previous owner may have stored the last failure without the end of the job.
    pub(super) fn end_if_over_budget(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let attempts = job.queue.policy().attempts as usize;
        if let Some((task, failures)) = most_failed(id, job)
            && failures >= attempts
        {
            event::JOB_ENDED
                .emit(format_args!("job={id} state=failed task={task} failures={failures}"));
            self.end_job(self.now, id, JobState::Failed);
        }
    }

    /// Queues the waiting tasks of a job anew, under the settings that its queue has now.
    fn rerank(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        for occurrence in job.progress.occurrences.keys() {
            for step in 0..job.spec.steps.len() {
                let step = StepId { job: id, occurrence: *occurrence, step: step as u16 };
                self.waiting.remove_step(&step);
            }
        }
        self.queue_ready_tasks(id);
    }

    /// Number of jobs without a schedule of which no task has started, by the current name of their queue.
    #[must_use]
    pub fn pending(&self) -> BTreeMap<String, u64> {
        let mut pending: BTreeMap<Rc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.spec.schedule.is_none() && job.progress.state == JobState::Queued {
                *pending.entry(Rc::clone(&job.queue.current_name.borrow())).or_default() += 1;
            }
        }
        pending.into_iter().map(|(name, count)| (name.to_string(), count)).collect()
    }
}

/// Returns the task of a job that has failed most often and has not succeeded, and how often it has failed; `None` if
/// there is none or the job has ended.
fn most_failed(id: JobId, job: &Job) -> Option<(JobTaskId, usize)> {
    if job.progress.state.is_final() {
        return None;
    }
    let mut failed = BTreeSet::new();
    for (occurrence, begun) in &job.progress.occurrences {
        for (step, tasks) in begun.steps.iter().enumerate() {
            let key = StepId { job: id, occurrence: *occurrence, step: step as u16 };
            let tasks = tasks.iter().enumerate();
            let open = tasks.filter(|(_, task)| !task.is_done && !task.failed_runs.is_empty());
            let open = open.map(|(index, _)| JobTaskId { step: key, index: index as u16 });
            // A gang is counted once.
            failed.extend(open.map(|task| suspect_of(job, &task)));
        }
    }
    let counted = failed.into_iter().map(|task| (task, failures(job, &task)));
    counted.max_by_key(|(_, failures)| *failures)
}
