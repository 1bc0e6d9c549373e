//! An attempt as the domain scheduler tracks it: start, leases, termination and outcome.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::platform::worker::{AttemptReport, AttemptState};
use crate::policy::preemption::CHECKPOINT_WAIT;
use crate::policy::queue::retries_exhausted;
use crate::task::lifecycle::AnyTask;
use crate::task::{Running, Task, TaskRow};

/// Period at which a stop is repeated until the worker reports the end.
const STOP_RETRY_PERIOD: Duration = Duration::from_secs(2);

/// Allowance for the drift of a worker's clock, added to the end of a lease before it counts as lapsed.
const CLOCK_DRIFT_ALLOWANCE: Duration = Duration::from_millis(500);

/// Progress of the start of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The row is committed, and no start is queued or in progress. A start whose answer was lost returns here.
    Assigned,
    /// The start is queued or in progress.
    Starting,
    /// The worker has accepted the start or reported the attempt, or a predecessor assigned it.
    Started,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// The task completed.
    Succeeded,
    /// The attempt failed by itself, or the worker could not start it. The text is the worker's message.
    Failed(String),
    /// The attempt was stopped or lost through no fault of the task. The text is the reason.
    Interrupted(String),
}

/// Progress of the termination of an attempt, for an eviction or a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Termination {
    /// A checkpoint was requested at `since`, when `previous` was the newest one.
    Checkpointing { since: Instant, previous: Option<String> },
    /// The last stop was queued at `sent`; `None` if none was.
    Stopping { sent: Option<Instant> },
}

/// Message that is due for an attempt that is being ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TerminationAction {
    Nothing,
    SendStop,
}

/// Attempt of a task whose row is `running`. It stays until a row with another state is committed, so it may have ended
/// on its worker.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub(super) worker: String,
    pub(super) stage: Stage,
    /// True once a start may have been sent.
    pub(super) start_maybe_sent: bool,
    /// Latest possible end of any lease that this process or a predecessor may have granted.
    pub(super) granted_until: Instant,
    /// End of the newest lease that the worker acknowledged. A renewal sets it to `granted_until`, an upper bound that
    /// may come from the leases of a predecessor.
    pub(super) renewed_until: Instant,
    /// True if its row was not assigned by this scheduler and its worker has not reported it yet.
    pub(super) inherited: bool,
    /// When a new checkpoint was last reported; before the first report, when the attempt was assigned or found.
    pub(super) checkpointed_at: Instant,
    /// Newest complete checkpoint that the worker reported.
    pub(super) checkpoint: Option<String>,
    /// Set once the attempt has ended, or counts as ended, on its worker.
    pub(super) outcome: Option<Outcome>,
    /// True if the checkpoint requested for the termination was written in time.
    pub(super) checkpoint_saved: bool,
    /// Progress of the termination and its reason; `None` if none has begun.
    pub(super) termination: Option<(Termination, String)>,
}

impl RunningAttempt {
    /// Creates an attempt whose row was just committed.
    pub(super) fn assigned(worker: &str, now: Instant) -> Self {
        Self {
            worker: worker.to_owned(),
            stage: Stage::Assigned,
            start_maybe_sent: false,
            granted_until: now,
            renewed_until: now,
            inherited: false,
            checkpointed_at: now,
            checkpoint: None,
            outcome: None,
            checkpoint_saved: false,
            termination: None,
        }
    }

    /// Creates an attempt that a predecessor may have started, with leases that may end as late as `granted_until`.
    pub(super) fn inherited(worker: &str, now: Instant, granted_until: Instant) -> Self {
        Self {
            stage: Stage::Started,
            start_maybe_sent: true,
            granted_until,
            inherited: true,
            ..Self::assigned(worker, now)
        }
    }

    /// Returns true once every lease has certainly ended, so that the worker must have stopped the attempt.
    pub(super) fn has_lapsed(&self, now: Instant) -> bool {
        self.start_maybe_sent
            && self.stage != Stage::Starting
            && now > self.granted_until + CLOCK_DRIFT_ALLOWANCE
    }

    /// Returns true if its lease should be renewed.
    pub(super) fn wants_renewal(&self) -> bool {
        self.stage == Stage::Started && self.outcome.is_none() && self.termination.is_none()
    }

    /// Handles the worker's report of the attempt, received at `at`.
    pub(super) fn on_report(&mut self, report: &AttemptReport, at: Instant) {
        self.stage = Stage::Started;
        self.inherited = false;
        if report.checkpoint.is_some() && report.checkpoint != self.checkpoint {
            self.checkpoint.clone_from(&report.checkpoint);
            self.checkpointed_at = at;
        }
        let message = || report.message.clone().unwrap_or_else(|| "no message".to_owned());
        let reason = || self.termination.as_ref().map(|(_, reason)| reason.clone());
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

    /// Begins to end the attempt, with a checkpoint before the stop if `keep_progress`. Returns true if the caller must
    /// request that checkpoint.
    pub(super) fn begin_termination(
        &mut self,
        reason: &str,
        keep_progress: bool,
        now: Instant,
    ) -> bool {
        // Waits for a start in progress: until its result is known, neither a report nor a lapsed lease would end the
        // attempt.
        if self.termination.is_some() || self.outcome.is_some() || self.stage == Stage::Starting {
            return false;
        }
        if !self.start_maybe_sent {
            self.outcome = Some(Outcome::Interrupted(reason.to_owned()));
            return false;
        }
        let termination = if keep_progress {
            Termination::Checkpointing { since: now, previous: self.checkpoint.clone() }
        } else {
            Termination::Stopping { sent: None }
        };
        self.termination = Some((termination, reason.to_owned()));
        keep_progress
    }

    /// Returns the message that is due for the termination: the stop, once the checkpoint was written or has taken too
    /// long, and its repetitions.
    pub(super) fn advance_termination(&mut self, now: Instant) -> TerminationAction {
        if self.outcome.is_some() {
            return TerminationAction::Nothing;
        }
        let Some((termination, _)) = &mut self.termination else {
            return TerminationAction::Nothing;
        };
        let due = match termination {
            Termination::Checkpointing { since, previous } => {
                *previous != self.checkpoint || now >= *since + CHECKPOINT_WAIT
            }
            Termination::Stopping { sent } => {
                sent.is_none_or(|sent| now >= sent + STOP_RETRY_PERIOD)
            }
        };
        if !due {
            return TerminationAction::Nothing;
        }
        if let Termination::Checkpointing { previous, .. } = termination {
            self.checkpoint_saved = *previous != self.checkpoint;
        }
        *termination = Termination::Stopping { sent: Some(now) };
        TerminationAction::SendStop
    }
}

/// Returns the row after an attempt has ended; `None` if it has not. One write ends the attempt and either requeues or
/// ends the task, so no crash can come between the two.
pub(super) fn row_after(
    row: &TaskRow,
    live: &RunningAttempt,
    max_attempts: u32,
    suspects: &BTreeSet<String>,
) -> Option<TaskRow> {
    let AnyTask::Running(task) = AnyTask::from(row.clone()) else { return None };
    let outcome = live.outcome.as_ref()?;
    Some(match outcome {
        Outcome::Succeeded => task.succeed().into_row(),
        _ if row.cancel => task.cancel().into_row(),
        Outcome::Failed(message) => after_failure(task, message, max_attempts, suspects),
        Outcome::Interrupted(reason) => {
            task.evict(live.checkpoint.clone(), reason.clone()).into_row()
        }
    })
}

fn after_failure(
    task: Task<Running>,
    message: &str,
    max_attempts: u32,
    suspects: &BTreeSet<String>,
) -> TaskRow {
    let unassigned = task.fail_attempt(message.to_owned());
    match retries_exhausted(unassigned.row(), max_attempts, suspects) {
        Some(reason) => {
            unassigned.fail_permanently(format!("{reason}; last with: {message}")).into_row()
        }
        None => unassigned.into_row(),
    }
}
