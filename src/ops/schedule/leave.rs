//! Empties a domain that is out as fast as the object store takes checkpoints, and fills it by a ramp when it returns.

use std::time::Instant;

use super::attempt::Ending;
use super::core::{Core, Tracked};
use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;
use crate::policy::evacuation::{EvacuationAction, Ramp, Resident, next_actions};

/// Why attempts of a domain that is out are evicted.
const REASON: &str = "its failure domain is out of service";

impl Core {
    /// Begins the evictions that the transfer window allows, services first.
    pub(super) fn leave(&mut self, now: Instant) {
        self.was_out = true;
        self.settle_transfers(now);
        self.transfer_window.check(now);
        let residents: Vec<Resident> =
            self.tasks.values().filter_map(|task| resident(task, now)).collect();
        let ending = |task: &&Tracked| {
            task.row.class == Class::LatencyCritical
                && task.live.as_ref().is_some_and(|live| live.ending.is_some())
        };
        let services_under_way = self.tasks.values().filter(ending).count();
        for action in next_actions(&residents, services_under_way, &self.transfer_window) {
            if let EvacuationAction::Evict { attempt } = action {
                self.transfer_window.begin(&attempt, now);
                self.transfers.insert(attempt.clone());
                self.evict(&attempt, REASON, now);
            }
        }
    }

    /// Tells the transfer window which checkpoints have ended.
    fn settle_transfers(&mut self, now: Instant) {
        let Self { transfers, tasks, transfer_window, .. } = self;
        transfers.retain(|attempt| {
            let task = tasks.get(&attempt.task).filter(|task| task.row.attempt == attempt.attempt);
            let live = task.and_then(|task| task.live.as_ref());
            match live.and_then(|live| Some((live, live.ending.as_ref()?))) {
                Some((live, (Ending::Checkpointing { .. }, _))) if live.outcome.is_none() => true,
                Some((live, _)) if live.outcome.is_none() && !live.saved => {
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

    /// Placements that may be made now; fewer for a while after the domain has returned.
    pub(super) fn placement_allowance(&mut self, most: usize, now: Instant) -> usize {
        if std::mem::take(&mut self.was_out) {
            self.ramp = Some(Ramp::new(now));
        }
        let Some(ramp) = &mut self.ramp else { return most };
        match ramp.allowance(now) {
            Some(allowance) => allowance.min(most),
            None => {
                self.ramp = None;
                most
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

/// An attempt that runs and is not being ended. A service is evicted like batch work, only earlier: its row has one
/// attempt, so no replacement can run beside it.
fn resident(task: &Tracked, now: Instant) -> Option<Resident> {
    let live = task.live.as_ref()?;
    if live.ending.is_some() || live.outcome.is_some() || !live.sent {
        return None;
    }
    Some(Resident {
        attempt: AttemptRef { task: task.row.id.clone(), attempt: task.row.attempt },
        class: task.row.class,
        priority: task.row.priority,
        exclusive: true,
        cores: task.row.resources.cpu_millis as f64 / 1000.0,
        unsaved: now.saturating_duration_since(live.saved_at),
        replaced: false,
    })
}
