//! What the status page shows of the scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::state::SchedulerState;
use super::tick::View;
use crate::domain::hold::holding::Holding;
use crate::task::TaskState;
use crate::worker::quarantine::Standing;

/// Most unplaceable tasks that the status names.
const MAX_UNPLACEABLE: usize = 100;

/// State of a domain's scheduler at its last tick.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SchedulerStatus {
    /// The domain.
    pub domain: String,
    /// Process that schedules it, as far as this process knows.
    pub holder: Option<String>,
    /// Epoch of the hold.
    pub epoch: u64,
    /// True if this process is the holder and has permission to schedule.
    pub scheduling: bool,
    /// Age of the catalogue cache in milliseconds.
    pub freshness_ms: Option<u64>,
    /// Tasks that wait for a worker.
    pub waiting: usize,
    /// Tasks that run.
    pub running: usize,
    /// Time of the last tick in microseconds.
    pub tick_us: u64,
    /// Time of the longest tick under the present hold in microseconds.
    pub longest_tick_us: u64,
    /// Workers that are out of use because everything fails on them, with the reason.
    pub quarantined: BTreeMap<String, String>,
    /// Tasks that can never run, with the reason.
    pub unplaceable: BTreeMap<String, String>,
}

/// The status after a tick.
pub(super) fn status(
    state: &SchedulerState,
    holding: &Holding,
    view: &View<'_>,
) -> SchedulerStatus {
    let count = |wanted: fn(TaskState) -> bool| {
        state.tasks.values().filter(|task| wanted(task.row.state)).count()
    };
    let unplaceable = state
        .tasks
        .values()
        .filter(|task| task.row.state == TaskState::Unplaceable)
        .take(MAX_UNPLACEABLE)
        .map(|task| (task.row.id.to_string(), task.row.reason.clone().unwrap_or_default()))
        .collect();
    let quarantined = state.out_of_use.iter().map(|name| {
        let standing = match state.quarantine.standing(name, view.now) {
            Standing::InUse => "in use".to_owned(),
            Standing::Probation => "on probation, one task at a time".to_owned(),
            Standing::OutOfUse { until } => {
                let left = until.saturating_duration_since(view.now).as_secs();
                format!("fails what other workers run; out of use for {left} s")
            }
        };
        (name.clone(), standing)
    });
    SchedulerStatus {
        domain: state.domain.clone(),
        holder: Some(holding.row().holder.clone()),
        epoch: state.epoch(),
        scheduling: holding.may_schedule(view.now),
        freshness_ms: view.catalogue.age(view.now).map(millis),
        waiting: count(TaskState::is_waiting),
        running: count(|state| state == TaskState::Running),
        tick_us: 0,
        longest_tick_us: state.longest_tick_us,
        quarantined: quarantined.collect(),
        unplaceable,
    }
}

/// Whole milliseconds.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
