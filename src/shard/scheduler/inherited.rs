//! Tasks that an earlier owner placed on workers that this one has not reached yet.
//!
//! Load: an owner is lost together with some of its workers, or while some are cut off. A task whose recorded worker
//! has not answered may still run there, so it waits until the worker answers or until no lease of a predecessor can be
//! left. All other tasks go on at once.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobId, JobTaskId, Progress, StepId};
use crate::shard::worker::WorkerId;
use crate::telemetry::event::shard as event;

use super::ShardScheduler;

/// Time after a claim in which workers are expected to answer. Only those that are silent for longer are named to a
/// successor: a worker that is named gets no lease until a heartbeat no longer names it.
const ANSWERS_EXPECTED: Duration = Duration::from_millis(1_500);

/// Tasks by the worker that a predecessor recorded, while that worker has not answered.
#[derive(Debug)]
pub(super) struct Inherited {
    claimed: Duration,
    /// When the predecessor's leases have lapsed everywhere.
    pub(super) predecessor_lapsed: Duration,
    workers: BTreeMap<WorkerId, Recorded>,
    /// Worker of each task in `workers`.
    tasks: BTreeMap<JobTaskId, WorkerId>,
    /// Workers that the newest stored heartbeat names as not reached. A successor counts on it that this owner has
    /// granted them nothing.
    pub(super) reported_unreached: BTreeSet<WorkerId>,
    is_done: bool,
}

#[derive(Debug)]
struct Recorded {
    tasks: Vec<JobTaskId>,
    /// When no lease of a predecessor is left there.
    lapsed: Duration,
}

impl Inherited {
    pub(super) fn new(claimed: Duration, predecessor_lapsed: Duration) -> Self {
        Self {
            claimed,
            predecessor_lapsed,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            reported_unreached: BTreeSet::new(),
            is_done: false,
        }
    }

    /// Notes the recorded tasks of a job.
    pub(super) fn add(&mut self, job: JobId, progress: &Progress) {
        for (occurrence, held) in &progress.occurrences {
            for (step, tasks) in held.steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    let Some(worker) = &task.worker else { continue };
                    let step = StepId { job, occurrence: *occurrence, step: step as u16 };
                    let key = JobTaskId { step, index: index as u16 };
                    let id = WorkerId::from(Rc::clone(worker));
                    let lapsed = self.predecessor_lapsed;
                    let recorded = Recorded { tasks: Vec::new(), lapsed };
                    self.workers.entry(id.clone()).or_insert(recorded).tasks.push(key);
                    self.tasks.insert(key, id);
                }
            }
        }
    }

    pub(super) fn has(&self, task: &JobTaskId) -> bool {
        self.tasks.contains_key(task)
    }

    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    /// Notes that a task was found.
    pub(super) fn found(&mut self, task: &JobTaskId) {
        self.tasks.remove(task);
    }

    /// Removes a worker and returns its tasks that were not found.
    fn remove(&mut self, worker: &WorkerId) -> Vec<JobTaskId> {
        let Some(recorded) = self.workers.remove(worker) else { return Vec::new() };
        let mut left = recorded.tasks;
        left.retain(|task| self.tasks.remove(task).is_some());
        left
    }
}

impl ShardScheduler {
    /// Workers that the predecessor could not reach either: it granted nothing there, so the leases end at `lapsed`,
    /// whoever owns the shard.
    pub fn on_unreached_by_predecessor(&mut self, workers: &[WorkerId], lapsed: Duration) {
        for id in workers {
            if let Some(recorded) = self.inherited.workers.get_mut(id) {
                recorded.lapsed = recorded.lapsed.min(lapsed);
            }
        }
    }

    /// Workers with recorded tasks that have not answered, for the heartbeat, with the longest time until the leases
    /// there have lapsed.
    #[must_use]
    pub fn suspects(&self, now: Duration) -> (Vec<String>, Duration) {
        if now.saturating_sub(self.inherited.claimed) < ANSWERS_EXPECTED {
            return (Vec::new(), Duration::ZERO);
        }
        let ids = self.inherited.workers.keys().map(|id| id.as_str().to_owned()).collect();
        let lapsed = self.inherited.workers.values().map(|recorded| recorded.lapsed).max();
        (ids, lapsed.unwrap_or_default().saturating_sub(now))
    }

    /// Notes that a heartbeat that names these workers is about to be written. It may take effect from now on.
    pub fn on_heartbeat_sent(&mut self, suspects: &[String]) {
        self.inherited.reported_unreached.extend(suspects.iter().map(|id| WorkerId::new(id)));
    }

    /// Notes that the newest stored heartbeat names only these workers.
    pub fn on_heartbeat_stored(&mut self, suspects: &[String]) {
        self.inherited.reported_unreached = suspects.iter().map(|id| WorkerId::new(id)).collect();
    }

    /// A worker has listed everything that it runs: tasks that are recorded there and that it does not have may start.
    pub(super) fn on_inherited_known(&mut self, worker: &WorkerId) {
        let left = self.inherited.remove(worker);
        self.release_inherited(left);
    }

    /// Gives up workers on which no lease of a predecessor is left.
    pub(super) fn resolve_inherited(&mut self, now: Duration) {
        let is_over = |recorded: &Recorded| now >= recorded.lapsed;
        let over: Vec<WorkerId> = self
            .inherited
            .workers
            .iter()
            .filter(|(_, recorded)| is_over(recorded))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            let left = self.inherited.remove(&id);
            event::INHERITED_LAPSED.emit(format_args!("worker={id} tasks={}", left.len()));
            self.release_inherited(left);
        }
        if self.inherited.workers.is_empty() && !self.inherited.is_done {
            self.inherited.is_done = true;
            let waited = now.saturating_sub(self.inherited.claimed).as_millis();
            event::TAKEOVER_DONE.emit(format_args!(
                "epoch={} jobs={} waited_ms={waited}",
                self.epoch,
                self.jobs.len()
            ));
        }
    }

    fn release_inherited(&mut self, tasks: Vec<JobTaskId>) {
        let mut jobs = BTreeSet::new();
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.step.job) else { continue };
            if let Some(progress) = job.progress.task_mut(&task) {
                progress.worker = None;
            }
            jobs.insert(task.step.job);
        }
        for id in jobs {
            self.push_ready(id);
        }
    }
}
