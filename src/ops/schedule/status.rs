//! State of the scheduler for the status page.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::state::SchedulerState;
use super::tick::TickInput;
use crate::domain::hold::holding::Holding;
use crate::task::TaskState;
use crate::worker::quarantine::Standing;

/// Maximum number of unplaceable tasks in the status.
const MAX_UNPLACEABLE: usize = 100;

/// State of a domain scheduler at its last tick.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SchedulerStatus {
    /// Name of the process's own failure domain.
    pub domain: String,
    /// Process that schedules the domain by the hold row as last read; `None` if there is no row or none was read.
    pub holder: Option<String>,
    /// Epoch of the hold; 0 if there is no row or none was read.
    pub epoch: u64,
    /// True if this process is the holder and has permission to schedule.
    pub scheduling: bool,
    /// Age of the catalogue cache in milliseconds; `None` before the first read.
    pub freshness_ms: Option<u64>,
    /// Number of tasks that wait for a worker. This and all the following are zero or empty unless the process is the
    /// holder.
    pub waiting: usize,
    /// Number of tasks with an attempt that runs or is being started.
    pub running: usize,
    /// Duration of the last tick in microseconds.
    pub tick_us: u64,
    /// Duration of the longest tick under the current hold in microseconds.
    pub longest_tick_us: u64,
    /// Standing of the workers in quarantine or on probation, as text, by name.
    pub quarantined: BTreeMap<String, String>,
    /// Reasons of the tasks that cannot run, by task ID; at most 100.
    pub unplaceable: BTreeMap<String, String>,
}

/// Returns the status after a tick. The caller sets `tick_us`.
pub(super) fn status(
    state: &SchedulerState,
    holding: &Holding,
    input: &TickInput<'_>,
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
    let quarantined = state.suspects.iter().map(|name| {
        let standing = match state.quarantine.standing(name, input.now) {
            Standing::Normal => "in use".to_owned(),
            Standing::Probation => "on probation, one task at a time".to_owned(),
            Standing::Quarantined { until } => {
                let left = until.saturating_duration_since(input.now).as_secs();
                format!("fails what other workers run; out of use for {left} s")
            }
        };
        (name.clone(), standing)
    });
    SchedulerStatus {
        domain: state.domain.clone(),
        holder: Some(holding.row().holder.clone()),
        epoch: state.epoch(),
        scheduling: holding.may_schedule(input.now),
        freshness_ms: input.catalogue.age(input.now).map(millis),
        waiting: count(TaskState::is_waiting),
        running: count(|state| state == TaskState::Running),
        tick_us: 0,
        longest_tick_us: state.longest_tick_us,
        quarantined: quarantined.collect(),
        unplaceable,
    }
}

/// Converts a duration to whole milliseconds, saturating at the maximum.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
