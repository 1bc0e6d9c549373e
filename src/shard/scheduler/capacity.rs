//! Workers whose capacity changes while they run tasks.
//!
//! No task starts on a worker that has shrunk below what is committed there. Tasks with reservations stay, because a
//! stop would lose their work. Best-effort tasks use what the others leave, so they are moved until the others have
//! what they reserved.

use std::time::Duration;

use crate::job::{JobTaskId, Resources};
use crate::shard::pick;
use crate::shard::worker::{Phase, Run, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::ShardScheduler;
use super::throttling::max_move_percent;

/// Resources that a worker will have to spare once its pending stops are complete.
#[derive(Debug)]
struct Balance {
    capacity: Resources,
    committed: Resources,
    /// Estimated unused processors in thousandths of a core; negative if they are overcommitted.
    leftover_cpu: i64,
}

impl Balance {
    fn of(worker: &Worker) -> Self {
        let mut balance = Self {
            capacity: worker.listing.capacity,
            committed: worker.committed,
            leftover_cpu: pick::leftover_cpu(worker),
        };
        for run in worker.runs.values().filter(|run| run.phase == Phase::Stopping) {
            balance.remove(run);
        }
        balance
    }

    fn remove(&mut self, run: &Run) {
        self.committed = self.committed.saturating_sub(&run.committed);
        self.leftover_cpu += pick::estimated_use(run) as i64;
    }

    /// Returns true if the end of a best-effort run would free resources that the other runs lack.
    fn is_relieved_by(&self, run: &Run) -> bool {
        let Self { capacity, committed, .. } = self;
        let lacks_cpu = self.leftover_cpu < 0 || committed.cpu_millis > capacity.cpu_millis;
        let lacks_memory = committed.memory_mib > capacity.memory_mib;
        let lacks_accelerators = committed.accelerators > capacity.accelerators;
        (lacks_cpu && run.leftover_cpu > 0)
            || (lacks_memory && run.committed.memory_mib > 0)
            || (lacks_accelerators && run.committed.accelerators > 0)
    }
}

impl ShardScheduler {
    /// Processes a change of a worker's capacity from `before` to the listed one.
    pub(super) fn on_capacity_changed(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        before: &Resources,
    ) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let capacity = &worker.listing.capacity;
        event::WORKER_RESIZED.emit(format_args!(
            "worker={worker_id} before={before:?} capacity={capacity:?} committed={:?} runs={}",
            worker.committed,
            worker.runs.len()
        ));
        if !before.fits(capacity) {
            self.move_best_effort(now, worker_id);
        }
    }

    /// Moves best-effort tasks away from a worker on which other tasks lack what they reserved: reserved runs first,
    /// then those with the least progress.
    ///
    /// Tasks that are about to end stay. So do gangs, because the end of one member ends those on other workers too.
    pub(super) fn move_best_effort(&mut self, now: Duration, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let mut candidates: Vec<(&JobTaskId, &Run)> = worker
            .runs
            .iter()
            .filter(|(task, run)| run.leftover_cpu > 0 && self.is_movable(task, run))
            .collect();
        candidates.sort_by_key(|(_, run)| (run.phase != Phase::Reserved, run.percent));
        let mut balance = Balance::of(worker);
        let mut moved = Vec::new();
        for (task, run) in candidates {
            if balance.is_relieved_by(run) {
                balance.remove(run);
                moved.push(*task);
            }
        }
        for task in moved {
            event::TASK_MOVED.emit(format_args!("task={task} worker={worker_id} cause=shrunk"));
            self.stop_run(now, worker_id, &task, false);
        }
    }

    fn is_movable(&self, task: &JobTaskId, run: &Run) -> bool {
        let step = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        if step.is_some_and(|step| step.is_gang) {
            return false;
        }
        match run.phase {
            Phase::Reserved => true,
            Phase::Active => run.percent < max_move_percent(step),
            Phase::Starting | Phase::InDoubt | Phase::Stopping => false,
        }
    }
}
