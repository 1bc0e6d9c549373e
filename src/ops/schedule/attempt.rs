//! A running attempt as its scheduler follows it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::platform::worker::{AttemptReport, AttemptState};
use crate::policy::preemption::CHECKPOINT_WAIT;
use crate::policy::queue::retries_exhausted;
use crate::task::lifecycle::AnyTask;
use crate::task::{Running, Task, TaskRow};

/// How often a stop is repeated until the worker reports the end.
const STOP_REPEAT: Duration = Duration::from_secs(2);

/// Allowance for the drift of a worker's clock, added to the end of a lease before it counts as lapsed.
const DRIFT_ALLOWANCE: Duration = Duration::from_millis(500);

/// How far the start of an attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The row is committed; nothing was sent.
    Assigned,
    /// The start is queued, on its way, or unanswered.
    Starting,
    /// The worker has it.
    Started,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// With success.
    Succeeded,
    /// With a failure of its own, or the worker could not start it.
    Failed(String),
    /// Through no fault of the task.
    Interrupted(String),
}

/// Progress of an eviction or of a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Ending {
    /// A checkpoint was asked for.
    Checkpointing { since: Instant, had: Option<String> },
    /// The stop was sent last at this time.
    Stopping { sent: Option<Instant> },
}

/// What to send for an ending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndingStep {
    Nothing,
    SendStop,
}

/// An attempt on a worker.
#[derive(Clone, Debug)]
pub(super) struct Live {
    /// The worker.
    pub(super) worker: String,
    /// How far the start is.
    pub(super) stage: Stage,
    /// True once a start may have been sent.
    pub(super) sent: bool,
    /// No lease that was granted, as far as this process can know, ends later.
    pub(super) granted_until: Instant,
    /// End of the newest lease that the worker acknowledged.
    pub(super) renewed_until: Instant,
    /// True if it was found at take-over and the worker has not been heard since.
    pub(super) inherited: bool,
    /// When it was assigned, found, or last known to have written a checkpoint.
    pub(super) saved_at: Instant,
    /// Newest complete checkpoint that was reported.
    pub(super) checkpoint: Option<String>,
    /// Set once it has ended on the worker.
    pub(super) outcome: Option<Outcome>,
    /// True if the checkpoint of the ending under way was written.
    pub(super) saved: bool,
    /// Why and how it is being ended.
    pub(super) ending: Option<(Ending, String)>,
}

impl Live {
    /// An attempt whose row was just committed.
    pub(super) fn assigned(worker: &str, now: Instant) -> Self {
        Self {
            worker: worker.to_owned(),
            stage: Stage::Assigned,
            sent: false,
            granted_until: now,
            renewed_until: now,
            inherited: false,
            saved_at: now,
            checkpoint: None,
            outcome: None,
            saved: false,
            ending: None,
        }
    }

    /// An attempt that a predecessor may have started and may still renew until `granted_until`.
    pub(super) fn inherited(worker: &str, now: Instant, granted_until: Instant) -> Self {
        Self {
            stage: Stage::Started,
            sent: true,
            granted_until,
            inherited: true,
            ..Self::assigned(worker, now)
        }
    }

    /// True once the worker must have stopped it.
    pub(super) fn has_lapsed(&self, now: Instant) -> bool {
        self.sent && self.stage != Stage::Starting && now > self.granted_until + DRIFT_ALLOWANCE
    }

    /// True if its lease should be renewed.
    pub(super) fn wants_renewal(&self) -> bool {
        self.stage == Stage::Started && self.outcome.is_none() && self.ending.is_none()
    }

    /// Takes the worker's report.
    pub(super) fn on_report(&mut self, report: &AttemptReport, at: Instant) {
        self.stage = Stage::Started;
        self.inherited = false;
        if report.checkpoint.is_some() && report.checkpoint != self.checkpoint {
            self.checkpoint.clone_from(&report.checkpoint);
            self.saved_at = at;
        }
        let message = || report.message.clone().unwrap_or_else(|| "no message".to_owned());
        let reason = || self.ending.as_ref().map(|(_, reason)| reason.clone());
        self.outcome = match report.state {
            AttemptState::Running => return,
            AttemptState::Succeeded => Some(Outcome::Succeeded),
            AttemptState::Failed => Some(Outcome::Failed(message())),
            AttemptState::Stopped => {
                Some(Outcome::Interrupted(reason().unwrap_or_else(|| "stopped".to_owned())))
            }
            AttemptState::Lapsed => Some(Outcome::Interrupted("its lease lapsed".to_owned())),
        };
    }

    /// Begins to end it: first a checkpoint if `keep_progress`. Returns true if a checkpoint must be asked for.
    pub(super) fn begin_ending(&mut self, reason: &str, keep_progress: bool, now: Instant) -> bool {
        // A start on its way is waited for: until its result is known, neither a report nor a lapse would end it.
        if self.ending.is_some() || self.outcome.is_some() || self.stage == Stage::Starting {
            return false;
        }
        if !self.sent {
            self.outcome = Some(Outcome::Interrupted(reason.to_owned()));
            return false;
        }
        let ending = if keep_progress {
            Ending::Checkpointing { since: now, had: self.checkpoint.clone() }
        } else {
            Ending::Stopping { sent: None }
        };
        self.ending = Some((ending, reason.to_owned()));
        keep_progress
    }

    /// Goes on with an ending.
    pub(super) fn step_ending(&mut self, now: Instant) -> EndingStep {
        if self.outcome.is_some() {
            return EndingStep::Nothing;
        }
        let Some((ending, _)) = &mut self.ending else { return EndingStep::Nothing };
        let due = match ending {
            Ending::Checkpointing { since, had } => {
                *had != self.checkpoint || now >= *since + CHECKPOINT_WAIT
            }
            Ending::Stopping { sent } => sent.is_none_or(|sent| now >= sent + STOP_REPEAT),
        };
        if !due {
            return EndingStep::Nothing;
        }
        if let Ending::Checkpointing { had, .. } = ending {
            self.saved = *had != self.checkpoint;
        }
        *ending = Ending::Stopping { sent: Some(now) };
        EndingStep::SendStop
    }
}

/// The row after an attempt has ended. One write ends the attempt and puts the task back into the queue.
pub(super) fn row_after(
    row: &TaskRow,
    live: &Live,
    max_attempts: u32,
    out_of_use: &BTreeSet<String>,
) -> Option<TaskRow> {
    let AnyTask::Running(task) = AnyTask::from(row.clone()) else { return None };
    let outcome = live.outcome.as_ref()?;
    Some(match outcome {
        Outcome::Succeeded => task.succeed().into_row(),
        _ if row.cancel => task.cancel().into_row(),
        Outcome::Failed(message) => after_failure(task, message, max_attempts, out_of_use),
        Outcome::Interrupted(reason) => {
            task.evict(live.checkpoint.clone(), reason.clone()).into_row()
        }
    })
}

fn after_failure(
    task: Task<Running>,
    message: &str,
    max_attempts: u32,
    out_of_use: &BTreeSet<String>,
) -> TaskRow {
    let pending = task.fail_attempt(message.to_owned());
    match retries_exhausted(pending.row(), max_attempts, out_of_use) {
        Some(reason) => pending.give_up(format!("{reason}; last with: {message}")).into_row(),
        None => pending.into_row(),
    }
}
