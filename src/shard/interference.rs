//! Keeps serving tasks within their tail target beside tasks that use leftover processors.
//!
//! Load: disturbance differs by pair of images, changes within seconds, and is seen only in the reported tails. A worker
//! whose serving tasks are close to their target has its filling tasks slowed at once and steeply, because a breach of a
//! few seconds counts against the service; they get their pace back in small steps once the tails are well below.

use std::time::Duration;

use crate::job::TaskKey;

use super::worker::{Phase, Worker};

/// Tail in percent of the target above which filling tasks are slowed.
const SLOW_ABOVE_PERCENT: u64 = 92;
/// Tail in percent of the target above which filling tasks are stopped from working at once.
const HALT_ABOVE_PERCENT: u64 = 125;
/// Tail in percent of the target below which filling tasks get pace back.
const RECOVER_BELOW_PERCENT: u64 = 75;
/// Step by which pace comes back, in percent of full speed.
const RECOVERY_STEP: u8 = 25;
/// Reports cover half a second, and a pace takes effect after `pace_delay`: no second step before both have passed.
const REPORT_WINDOW: Duration = Duration::from_millis(500);

/// A change of pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceChange {
    /// The filling task.
    pub task: TaskKey,
    /// New share at which it may work, in percent.
    pub percent: u8,
}

/// Worst tail of the serving tasks of a worker, in percent of its target.
#[must_use]
pub fn worst_tail_percent(worker: &Worker) -> Option<u64> {
    let serving = worker.runs.values().filter(|run| run.phase == Phase::Active);
    serving.filter_map(|run| Some(run.load * 100 / run.tail_target_ms?.max(1))).max()
}

/// Judges a worker after a report and returns the changes of pace to order.
pub fn judge(worker: &mut Worker, now: Duration, pace_delay: Duration) -> Vec<PaceChange> {
    let Some(tail) = worst_tail_percent(worker) else {
        worker.over_target_since = None;
        return restore_all(worker, now);
    };
    if tail >= 100 {
        worker.over_target_since.get_or_insert(now);
    } else {
        worker.over_target_since = None;
    }
    if now.saturating_sub(worker.judged) < REPORT_WINDOW + pace_delay {
        return Vec::new();
    }
    let target = |pace: u8| {
        if tail > HALT_ABOVE_PERCENT {
            0
        } else if tail > SLOW_ABOVE_PERCENT {
            if pace > RECOVERY_STEP { pace / 2 } else { 0 }
        } else if tail < RECOVER_BELOW_PERCENT {
            pace.saturating_add(RECOVERY_STEP).min(100)
        } else {
            pace
        }
    };
    let changes = set_paces(worker, now, target);
    if !changes.is_empty() {
        worker.judged = now;
    }
    changes
}

fn restore_all(worker: &mut Worker, now: Duration) -> Vec<PaceChange> {
    set_paces(worker, now, |_| 100)
}

fn set_paces(worker: &mut Worker, now: Duration, target: impl Fn(u8) -> u8) -> Vec<PaceChange> {
    let mut changes = Vec::new();
    for (task, run) in &mut worker.runs {
        let percent = target(run.pace);
        if run.leftover_cpu == 0 || run.phase != Phase::Active || percent == run.pace {
            continue;
        }
        run.pace = percent;
        run.paced = now;
        changes.push(PaceChange { task: *task, percent });
    }
    if !changes.is_empty() {
        worker.sum_leftover();
    }
    changes
}
