//! Evacuates a domain that is out of service as fast as the object store accepts checkpoints, and limits placements for
//! a while after it has returned.

use std::time::Instant;

use super::attempt::Termination;
use super::state::{CachedTask, SchedulerState};
use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;
use crate::policy::evacuation::{EvacuatingAttempt, EvacuationAction, Ramp, next_actions};

const EVACUATION_REASON: &str = "its failure domain is out of service";

impl SchedulerState {
    /// Begins the evictions that the transfer window allows, latency-critical attempts first.
    pub(super) fn evacuate(&mut self, now: Instant) {
        self.was_out = true;
        self.settle_transfers(now);
        self.transfer_window.check(now);
        let residents: Vec<EvacuatingAttempt> =
            self.tasks.values().filter_map(|task| resident(task, now)).collect();
        let is_terminating = |task: &&CachedTask| {
            task.row.class == Class::LatencyCritical
                && task.live.as_ref().is_some_and(|live| live.termination.is_some())
        };
        let latency_critical_in_progress = self.tasks.values().filter(is_terminating).count();
        for action in next_actions(&residents, latency_critical_in_progress, &self.transfer_window)
        {
            if let EvacuationAction::Evict { attempt } = action {
                self.transfer_window.begin(&attempt, now);
                self.transfers.insert(attempt.clone());
                self.evict(&attempt, EVACUATION_REASON, now);
            }
        }
    }

    /// Removes finished transfers from the window: as failed if the stop followed without a checkpoint and the attempt
    /// still runs, else as complete, also if the attempt ended without a checkpoint.
    fn settle_transfers(&mut self, now: Instant) {
        let Self { transfers, tasks, transfer_window, .. } = self;
        transfers.retain(|attempt| {
            let task = tasks.get(&attempt.task).filter(|task| task.row.attempt == attempt.attempt);
            let live = task.and_then(|task| task.live.as_ref());
            match live.and_then(|live| Some((live, live.termination.as_ref()?))) {
                Some((live, (Termination::Checkpointing { .. }, _))) if live.outcome.is_none() => {
                    true
                }
                Some((live, _)) if live.outcome.is_none() && !live.checkpoint_saved => {
                    transfer_window.fail(attempt, now);
                    false
                }
                _ => {
                    transfer_window.complete(attempt, now);
                    false
                }
            }
        });
    }

    /// Returns the number of placements that may be made now: `max`, or fewer while the ramp lasts after the domain has
    /// returned.
    pub(super) fn placement_allowance(&mut self, max: usize, now: Instant) -> usize {
        if std::mem::take(&mut self.was_out) {
            self.ramp = Some(Ramp::new(now));
        }
        let Some(ramp) = &mut self.ramp else { return max };
        match ramp.allowance(now) {
            Some(allowance) => allowance.min(max),
            None => {
                self.ramp = None;
                max
            }
        }
    }

    /// Counts placements against the ramp.
    pub(super) fn count_placements(&mut self, made: usize) {
        if let Some(ramp) = &mut self.ramp {
            ramp.record_starts(made);
        }
    }
}

/// Returns the attempt of a task if it may be evicted. A latency-critical attempt is evicted like batch work, only
/// earlier: its row has one attempt, so no replacement can run beside it.
fn resident(task: &CachedTask, now: Instant) -> Option<EvacuatingAttempt> {
    let live = task.live.as_ref()?;
    if live.termination.is_some() || live.outcome.is_some() || !live.start_maybe_sent {
        return None;
    }
    Some(EvacuatingAttempt {
        attempt: AttemptRef { task: task.row.id.clone(), attempt: task.row.attempt },
        class: task.row.class,
        priority: task.row.priority,
        exclusive: true,
        cores: task.row.resources.cpu_millis as f64 / 1000.0,
        since_checkpoint: now.saturating_duration_since(live.checkpointed_at),
        replaced: false,
    })
}
