//! Incarnations of a worker: what shows that one has ended, and what is known of the next one.
//!
//! An ID names a worker, not one life of it, and a worker that is back under its ID carries out commands that were sent to
//! the earlier incarnation. Facts about one incarnation are therefore never used for the next: its clock, leases, list of
//! runs, ends and answered stops. Three things tell two incarnations apart: the start time in the VM list, the start time
//! in a list of runs, and the clock in any answer, which starts anew with each incarnation and never goes back.

use std::time::Duration;

use crate::job::JobTaskId;
use crate::shard::lapse::{GrantedLease, WorkerClock, longest_local_time};
use crate::shard::worker::{Phase, WorkerId};
use crate::telemetry::event::shard as event;

use super::handover::{Incarnation, ReleaseCause};
use super::renewals::MAX_RETRY_PAUSE;
use super::{Command, CommandKind, ShardScheduler};

/// What shows that a worker has restarted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RestartSign {
    /// Another start time in its entry in the VM list.
    VmList,
    /// Another start time in the list of its runs.
    RunList,
    /// The clock in an answer. A start that the new incarnation has answered is not lost with the earlier one.
    Clock { started: Option<JobTaskId> },
    /// Another worker answered at its address.
    OtherWorker,
}

impl RestartSign {
    /// Name in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::VmList => "vm-list",
            Self::RunList => "run-list",
            Self::Clock { .. } => "clock",
            Self::OtherWorker => "other-worker",
        }
    }

    fn answered_start(&self) -> Option<&JobTaskId> {
        match self {
            Self::Clock { started } => started.as_ref(),
            Self::VmList | Self::RunList | Self::OtherWorker => None,
        }
    }
}

/// Incarnation of a worker that gave an answer, as far as its clock and the command tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnsweredBy {
    /// The newest known one, as the clock proves.
    Newest,
    /// The newest one, or a later one that nothing has shown yet.
    NewestOrLater,
    /// Any: the command was made for an earlier one.
    Unknown,
}

impl ShardScheduler {
    /// Takes over what the clock in an answer tells of the worker, and returns which incarnation gave the answer.
    pub(super) fn observe_clock(
        &mut self,
        now: Duration,
        command: &Command,
        sent: Duration,
        clock_ms: Option<u64>,
    ) -> AnsweredBy {
        let Some(worker) = self.workers.get_mut(&command.worker) else {
            return AnsweredBy::Unknown;
        };
        if command.incarnation != worker.incarnation {
            return AnsweredBy::Unknown;
        }
        let (Some(clock_ms), Some(known)) = (clock_ms, worker.lease.clock()) else {
            return AnsweredBy::NewestOrLater;
        };
        let clock = WorkerClock::new(clock_ms, sent, now);
        if !clock.has_gone_back(known) {
            let is_newest = worker.lease.proves_newest(&clock);
            return if is_newest { AnsweredBy::Newest } else { AnsweredBy::NewestOrLater };
        }
        event::WORKER_CLOCK_WENT_BACK.emit(format_args!(
            "worker={} incarnation={} clock_ms={clock_ms} last_clock_ms={} command={}",
            command.worker,
            Incarnation(worker.incarnation_started_unix_ms),
            known.reading_ms(),
            command.kind
        ));
        let started = match &command.kind {
            CommandKind::Start { task, .. } => Some(*task),
            _ => None,
        };
        self.on_new_incarnation(&command.worker, None, RestartSign::Clock { started }, now);
        if let Some(worker) = self.workers.get_mut(&command.worker) {
            worker.lease.on_reading(clock);
        }
        AnsweredBy::Newest
    }

    /// Removes the runs of the previous incarnation of a worker. Runs that it has not listed may be on the new one, or
    /// their start may still arrive there. They are kept until the new one lists them or answers a stop.
    pub(super) fn on_new_incarnation(
        &mut self,
        worker_id: &WorkerId,
        started_unix_ms: Option<u64>,
        sign: RestartSign,
        now: Duration,
    ) {
        let crashed = self.take_lost_runs(worker_id, sign.answered_start());
        self.log_restart(worker_id, started_unix_ms, sign, now);
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let seen = worker.answered.unwrap_or_default();
        let lost: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Reserved || run.is_listed)
            .map(|(task, _)| *task)
            .collect();
        let longest_lease = longest_local_time(self.timing.max_lease, self.timing.kill_time);
        worker.begin_incarnation(started_unix_ms, now, longest_lease);
        if !worker.late_starts.is_empty() {
            self.last_command_check = Duration::ZERO;
        }
        self.rows.forget_ends(worker_id);
        for task in lost {
            self.drop_run(worker_id, &task);
        }
        self.doubt_unlisted_runs(worker_id, now);
        self.record_crash(worker_id, seen, &crashed);
    }

    /// Marks the answered starts that remain after a restart as in doubt. Stops that the earlier incarnation answered
    /// don't keep a start from taking effect on the new one, so they are sent again.
    fn doubt_unlisted_runs(&mut self, worker_id: &WorkerId, now: Duration) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        for run in worker.runs.values_mut() {
            if matches!(run.phase, Phase::Active | Phase::Stopping) {
                run.phase = Phase::InDoubt;
                run.phase_since = now;
            }
            run.is_stop_in_flight = false;
            run.stop_answered = None;
            run.is_confirmed = false;
            run.may_repeat_start = false;
        }
    }

    /// Doubts the stops that were answered while the start time of the newest incarnation was not known: another one may
    /// have taken its place since, whose clock has not shown it.
    pub(super) fn doubt_stops_before_start_time(&mut self, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        for run in worker.runs.values_mut() {
            run.stop_answered = None;
        }
        for start in worker.late_starts.values_mut() {
            start.is_barred = false;
        }
    }

    /// Handles a worker at whose address another incarnation answers: the recorded one has ended, so none of its
    /// pending commands can take effect any more. The renewal that shows it was sent at `sent`.
    pub(super) fn on_replaced(&mut self, worker_id: &WorkerId, now: Duration, sent: Duration) {
        let is_handled = self
            .workers
            .get(worker_id)
            .is_none_or(|worker| worker.answered.is_none() && worker.runs.is_empty());
        if !is_handled {
            self.on_new_incarnation(worker_id, None, RestartSign::OtherWorker, now);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.answered = None;
        // Another ID answers at the address, and refuses all commands for this one.
        worker.lease = GrantedLease::default();
        worker.next_renewal = now + MAX_RETRY_PAUSE;
        let left: Vec<JobTaskId> = worker.runs.keys().copied().collect();
        self.forget_late_starts_of(worker_id);
        let age = now.saturating_sub(sent);
        self.release_inherited_of(worker_id, ReleaseCause::Replaced, age);
        for task in left {
            self.drop_run(worker_id, &task);
        }
    }
}
