//! Lease renewals, and processing of the run lists that workers return with them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{JobId, JobTaskId, Resources};
use crate::shard::health::{ProbationCause, ProbeReport};
use crate::shard::interference::{self, ImageId};
use crate::shard::lapse::{WorkerClock, longest_local_time};
use crate::shard::report::{RenewalReport, RunReport};
use crate::shard::worker::{Phase, Run, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::ends::log_restored;
use super::handover::{self, Incarnation, ReleaseCause, RunState};
use super::incarnations::{AnsweredBy, RestartSign};
use super::{Command, CommandKind, CommandOutcome, Job, Reply, ShardScheduler};

/// Pause between an answer and the next renewal of a worker. Renewals have a fixed cost, and the tasks of a step end
/// close together, so one answer then reports several ends.
const RENEWAL_PAUSE: Duration = Duration::from_millis(30);

/// Additional pause while the worker has ends that can't be acknowledged yet: it would answer each renewal at once.
const UNACKED_ENDS_PAUSE: Duration = Duration::from_millis(150);

/// Longest time for which a worker with runs may hold back its answer: well below the lease, so that a new owner finds
/// most leases valid.
pub(super) const MAX_WAIT_WITH_RUNS: Duration = Duration::from_millis(1_000);

/// The same for a worker with both serving and best-effort tasks, whose throttles are adjusted to tail latencies
/// reported each half second.
const MAX_WAIT_WITH_MIXED_RUNS: Duration = Duration::from_millis(500);

/// The same for a worker without runs; its answers only show that it is alive. A task may start meanwhile, after which an
/// answer is expected as from a worker with runs.
const MAX_WAIT_IDLE: Duration = Duration::from_millis(1_300);

/// The same for a worker on probation with a run, so that a probe is judged soon.
const MAX_WAIT_ON_PROBATION: Duration = Duration::from_millis(250);

/// First pause after a renewal without an answer, doubled with each further one up to [`MAX_RETRY_PAUSE`], because each
/// attempt opens a connection.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after renewals without an answer. It bounds the time until a worker that is reachable again is
/// detected.
pub(super) const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause before a stop without an answer is sent again.
pub(super) const STOP_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time between two looks for commands to repeat, which examine all runs.
const COMMAND_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Time without progress after which a task counts as stuck. Tasks take from half a second to some seconds and report
/// progress in percent, so a running one advances several times within it. Tasks at 100 percent and, unless they are
/// probes, best-effort tasks are exempt.
const STUCK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time within which a serving task must report that it is ready; otherwise it is stopped and started on another
/// worker.
const SERVING_START_TIMEOUT: Duration = Duration::from_millis(6_000);

/// Reason for which a renewal has no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalFailure {
    /// The renewal was not sent, or got no answer, a malformed one or one with an unexpected status.
    NoAnswer,
    /// Another incarnation of the worker answers at the address.
    OtherIncarnation,
    /// A higher epoch was seen: the shard has another owner.
    Fenced,
}

/// Whether a run that this owner did not start may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Adoption {
    /// It is the only run of its task.
    Wanted,
    /// Its task must not run there, so it is stopped.
    Unwanted,
}

impl ShardScheduler {
    /// Queues the renewals that are due.
    pub(super) fn request_renewals(&mut self, now: Duration) {
        let lease = self.lease_length(now);
        for worker in self.workers.values_mut() {
            if worker.is_renewal_in_flight || worker.is_departed || now < worker.next_renewal {
                continue;
            }
            let is_unacked = worker.acked_end < worker.seen_end;
            if is_unacked && now < worker.next_renewal + UNACKED_ENDS_PAUSE {
                continue;
            }
            worker.is_renewal_in_flight = true;
            // The first renewal only reads the worker's clock. A worker that does not answer gets no lease extension,
            // because a renewal that arrives late would keep runs alive whose tasks are to start elsewhere. A worker
            // that the heartbeat names as unreached gets none either, because a successor relies on that.
            let may_grant = worker.unanswered_renewals == 0
                && !self.inherited.reported_unreached.contains(&worker.listing.id)
                && !lease.is_zero();
            let expiry_ms = if may_grant { worker.lease.grant(now, lease) } else { None };
            // A worker that did not answer should answer at once, so that its return is detected early.
            let may_wait = worker.has_listed_runs && worker.unanswered_renewals == 0;
            // While heartbeats fail, leases become short, and their renewals more frequent.
            let wait = if may_wait { max_wait(worker).min(lease / 4) } else { Duration::ZERO };
            // A worker that did not answer may have restarted, which also restarts the numbers of its ends.
            let acked_end = if worker.unanswered_renewals == 0 { worker.acked_end } else { 0 };
            worker.renewal_wait = wait;
            let kind = CommandKind::Renew { expiry_ms, acked_end, wait };
            self.commands.push(worker.command(kind));
        }
    }

    /// Processes the outcome of a renewal that was sent at `sent`.
    pub fn on_renewal(
        &mut self,
        now: Duration,
        command: &Command,
        sent: Duration,
        outcome: Result<RenewalReport, RenewalFailure>,
    ) {
        let worker_id = &command.worker;
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if command.incarnation == worker.incarnation {
            worker.is_renewal_in_flight = false;
        } else if !is_of_newest_incarnation(worker, &outcome) {
            // The earlier incarnation has ended, and another renewal is on its way to the newest one.
            if outcome == Err(RenewalFailure::Fenced) {
                self.on_fenced(worker_id);
            }
            return;
        }
        let report = match outcome {
            Ok(report) => report,
            Err(failure) => return self.on_renewal_failure(now, worker_id, sent, failure),
        };
        let clock = WorkerClock::new(report.clock_ms, sent, now);
        let started = worker.incarnation_started_unix_ms.zip(report.incarnation_started_unix_ms);
        let is_new_incarnation = match started {
            Some((known, reported)) => known != reported,
            // The clock alone has shown the newest incarnation, or the worker does not report start times.
            None => worker.lease.clock().is_some_and(|known| clock.has_gone_back(known)),
        };
        if started.is_none() && !is_new_incarnation {
            self.doubt_stops_before_start_time(worker_id);
        }
        if is_new_incarnation {
            let started = report.incarnation_started_unix_ms;
            self.on_new_incarnation(worker_id, started, RestartSign::RunList, now);
        }
        self.adopt_unknown_leases(now, worker_id, report.incarnation_started_unix_ms);
        self.resolve_lapsed_runs(worker_id, report.incarnation_started_unix_ms);
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if worker.unanswered_renewals >= SILENT_AFTER_MISSED {
            event::WORKER_ANSWERS
                .emit(format_args!("worker={worker_id} missed={}", worker.unanswered_renewals));
        }
        worker.incarnation_started_unix_ms =
            report.incarnation_started_unix_ms.or(worker.incarnation_started_unix_ms);
        worker.lease.on_reading(clock);
        interference::update_shares(worker, now);
        worker.answered = Some(now);
        worker.unanswered_renewals = 0;
        worker.health.unanswered_starts = 0;
        worker.next_renewal = if worker.has_listed_runs { now + RENEWAL_PAUSE } else { now };
        worker.has_listed_runs = true;
        self.process_ends(now, worker_id, &report);
        self.process_active(now, worker_id, sent, &report);
        if !report.is_truncated {
            let age = now.saturating_sub(sent);
            self.release_inherited_of(worker_id, ReleaseCause::Listed, age);
        }
        self.adjust_throttles(now, worker_id);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.invalidate_estimates();
        }
        self.is_placement_due = true;
    }

    fn on_renewal_failure(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        sent: Duration,
        failure: RenewalFailure,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let doublings = worker.unanswered_renewals.min(MAX_RETRY_DOUBLINGS);
        worker.next_renewal = now + (FIRST_RETRY_PAUSE * 2_u32.pow(doublings)).min(MAX_RETRY_PAUSE);
        match failure {
            RenewalFailure::Fenced => self.on_fenced(worker_id),
            RenewalFailure::OtherIncarnation => self.on_replaced(worker_id, now, sent),
            RenewalFailure::NoAnswer => {
                worker.unanswered_renewals += 1;
                let is_first = worker.unanswered_renewals == 1;
                if worker.unanswered_renewals == SILENT_AFTER_MISSED {
                    event::WORKER_SILENT.emit(format_args!(
                        "worker={worker_id} missed={} runs={} epoch={} incarnation={} {}",
                        worker.unanswered_renewals,
                        worker.runs.len(),
                        self.epoch,
                        Incarnation(worker.incarnation_started_unix_ms),
                        handover::newest_lease(worker, now, self.timing.kill_time)
                    ));
                }
                if is_first {
                    self.queue_speculative_runs(worker_id);
                }
            }
        }
    }

    pub(super) fn on_fenced(&mut self, worker_id: &WorkerId) {
        if !self.is_fenced {
            event::FENCED.emit(format_args!("worker={worker_id} epoch={}", self.epoch));
        }
        self.is_fenced = true;
    }

    fn process_ends(&mut self, now: Duration, worker_id: &WorkerId, report: &RenewalReport) {
        for end in &report.ended {
            let Some(worker) = self.workers.get_mut(worker_id) else { return };
            if end.number <= worker.seen_end {
                continue;
            }
            worker.seen_end = end.number;
            self.on_end(now, worker_id, end);
        }
    }

    fn process_active(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        sent: Duration,
        report: &RenewalReport,
    ) {
        let mut listed: Vec<(JobTaskId, u32)> = Vec::with_capacity(report.active.len());
        let mut adopted = Vec::new();
        for run in &report.active {
            listed.push((run.task, run.run));
            if self.update_run(now, worker_id, run) == Some(Adoption::Wanted) {
                adopted.push((run.task, run.run));
            }
        }
        listed.sort_unstable();
        self.log_adopted(worker_id, &adopted, now.saturating_sub(sent));
        let Some(worker) = self.workers.get(worker_id) else { return };
        let is_gone = |task: &JobTaskId, run: &Run| {
            if listed.binary_search(&(*task, run.number)).is_ok() || report.is_truncated {
                return false;
            }
            match run.phase {
                Phase::Active => run.phase_since < sent,
                Phase::Stopping | Phase::InDoubt => run.stop_answered.is_some_and(|at| at < sent),
                Phase::Reserved | Phase::Starting => false,
            }
        };
        let gone: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| is_gone(task, run))
            .map(|(task, _)| *task)
            .collect();
        for task in gone {
            let Some(worker) = self.workers.get(worker_id) else { return };
            let Some(run) = worker.runs.get(&task) else { continue };
            event::RUN_GONE.emit(format_args!(
                "task={task} worker={worker_id} cause=not-listed {}",
                RunState(Some(run))
            ));
            let number = run.number;
            let is_recorded =
                worker.late_starts.get(&task).is_some_and(|start| start.run >= number);
            if !run.is_started && !is_recorded {
                // The start may still get no answer.
                self.record_unanswered_start(now, worker_id, &task, number);
            }
            self.bar_late_start(worker_id, &task, number);
            self.drop_run(worker_id, &task);
        }
        if !report.is_truncated {
            self.forget_arrived_starts(worker_id, sent);
        }
        self.stop_unanswered_starts(now, worker_id, sent);
        self.judge_probe(now, worker_id);
        self.stop_stuck(now, worker_id);
    }

    /// Updates a run from the worker's list of active runs. Returns how a run that this owner did not start was adopted.
    fn update_run(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        listed: &RunReport,
    ) -> Option<Adoption> {
        let task = listed.task;
        self.on_run_listed(worker_id, &task, listed.run);
        let worker = self.workers.get_mut(worker_id)?;
        let Some(run) = worker.runs.get_mut(&task) else {
            return Some(self.adopt(now, worker_id, listed));
        };
        if run.number != listed.run {
            return None;
        }
        let was_confirmed = std::mem::replace(&mut run.is_confirmed, true);
        run.is_started = true;
        run.is_listed = true;
        if matches!(run.phase, Phase::Starting | Phase::InDoubt) && run.stop_queued_at.is_none() {
            run.phase = Phase::Active;
            run.phase_since = now;
        }
        if run.percent != listed.percent {
            run.percent = listed.percent;
            run.advanced = now;
        }
        run.load = listed.load;
        if !was_confirmed {
            self.record_start_answered(&task, listed.run);
        }
        if listed.checkpoint.is_empty() {
            return None;
        }
        let progress =
            self.jobs.get_mut(&task.step.job).and_then(|job| job.progress.task_mut(&task));
        if let Some(progress) = progress.filter(|progress| progress.checkpoint != listed.checkpoint)
        {
            progress.checkpoint.clone_from(&listed.checkpoint);
        }
        None
    }

    /// Takes over a run that this owner did not start, or stops it if its task must not run there.
    fn adopt(&mut self, now: Duration, worker_id: &WorkerId, listed: &RunReport) -> Adoption {
        let task = listed.task;
        let other = self.live.get(&task).and_then(|workers| workers.first()).cloned();
        let is_live = other.is_some();
        let mut run = new_run(listed.run, Phase::Active, now);
        run.is_adopted = true;
        run.is_started = true;
        run.is_listed = true;
        run.is_confirmed = true;
        let worker = self.workers.get(worker_id);
        let incarnation = worker.and_then(|worker| worker.incarnation_started_unix_ms);
        let mut is_wanted = false;
        let mut is_step_known = false;
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let is_final = job.progress.state.is_final();
            if let Some(step) = job.spec.steps.get(usize::from(task.step.step)) {
                set_step_attributes(&mut run, step, job.images[usize::from(task.step.step)]);
                is_step_known = true;
            }
            if let Some(progress) = job.progress.task_mut(&task) {
                progress.last_run = progress.last_run.max(listed.run);
                if !is_live {
                    progress.worker = Some(worker_id.shared());
                    progress.worker_started_unix_ms = incarnation;
                    progress.is_start_unanswered = false;
                }
                if !listed.checkpoint.is_empty() {
                    progress.checkpoint.clone_from(&listed.checkpoint);
                }
                is_wanted = !progress.is_done && !is_final && !is_live;
            }
        }
        run.is_size_unknown = !is_step_known;
        run.percent = listed.percent;
        run.load = listed.load;
        let Some(worker) = self.workers.get_mut(worker_id) else { return Adoption::Unwanted };
        worker.add_run(task, run);
        self.live.entry(task).or_default().push(worker_id.clone());
        self.inherited.record_found(&task);
        self.waiting.remove(&task);
        if is_wanted {
            event::RUN_ADOPTED
                .emit(format_args!("task={task} run={} worker={worker_id}", listed.run));
            Adoption::Wanted
        } else {
            event::RUN_UNWANTED.emit(format_args!(
                "task={task} run={} worker={worker_id} epoch={} incarnation={} last_run={} also_on={}",
                listed.run,
                self.epoch,
                Incarnation(incarnation),
                self.last_run(&task),
                other.as_ref().map_or("-", WorkerId::as_str)
            ));
            self.stop_run(now, worker_id, &task, true);
            Adoption::Unwanted
        }
    }

    /// Stops runs whose start got no answer, that a later list does not contain, and whose start is not sent again: an
    /// earlier copy may still arrive.
    fn stop_unanswered_starts(&mut self, now: Duration, worker_id: &WorkerId, sent: Duration) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let may_repeat = self.may_repeat_starts(now, worker_id, worker);
        let is_lost = |task: &JobTaskId, run: &Run| {
            let is_missing = run.phase == Phase::InDoubt && run.phase_since < sent;
            is_missing
                && run.stop_queued_at.is_none()
                && !(may_repeat && self.may_repeat_start(task, run))
        };
        let lost: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| is_lost(task, run))
            .map(|(task, _)| *task)
            .collect();
        for task in lost {
            self.stop_run(now, worker_id, &task, false);
        }
    }

    /// Ends the probation of a worker if its probe shows that it works.
    fn judge_probe(&mut self, now: Duration, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some((task, number)) = worker.health.probe() else { return };
        let Some(run) = worker.runs.get(&task).filter(|run| run.number == number) else { return };
        if run.phase != Phase::Active {
            return;
        }
        let report = ProbeReport {
            active_for: now.saturating_sub(run.phase_since),
            has_advanced: run.advanced > run.phase_since,
            is_ready: run.percent >= 100 && is_long_running(&self.jobs, &task),
        };
        let restored = worker.health.on_probe_report(report, now);
        log_restored(worker_id, restored);
    }

    /// Stops tasks that make no progress, so that they start again on other workers.
    fn stop_stuck(&mut self, now: Duration, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let is_stuck = |task: &JobTaskId, run: &Run| {
            let is_probe = worker.health.is_probe(task, run.number);
            let idle = now.saturating_sub(run.advanced.max(run.throttle_changed_at));
            match run.tail_target_ms {
                Some(_) => run.percent < 100 && idle >= SERVING_START_TIMEOUT,
                // A throttled best-effort task may make no progress on a healthy worker.
                None if run.leftover_cpu > 0 && (!is_probe || run.cpu_percent < 100) => false,
                None => run.percent < 100 && idle >= STUCK_TIMEOUT,
            }
        };
        let stuck: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| run.phase == Phase::Active && is_stuck(task, run))
            .map(|(task, _)| *task)
            .collect();
        if stuck.is_empty() {
            return;
        }
        for task in &stuck {
            if let Some(run) = worker.runs.get(task) {
                worker.health.fail_probe(task, run.number, now);
            }
        }
        if worker.health.begin_probation(ProbationCause::NoProgress, now) {
            event::WORKER_ON_PROBATION
                .emit(format_args!("worker={worker_id} cause=no-progress task={}", stuck[0]));
        }
        for task in stuck {
            if let Some(job) = self.jobs.get_mut(&task.step.job) {
                job.avoid_worker(&task, worker_id);
            }
            self.give_up_worker(worker_id, &task);
            self.stop_run(now, worker_id, &task, false);
        }
    }

    /// Stops the long-running tasks of a draining worker, so that they start elsewhere before the worker leaves. Other
    /// tasks run to their end.
    pub(super) fn on_draining(&mut self, worker_id: &WorkerId, now: Duration) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        event::WORKER_DRAINING.emit(format_args!("worker={worker_id} runs={}", worker.runs.len()));
        let moved: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Active)
            .map(|(task, _)| *task)
            .filter(|task| self.is_moved_from_draining(task))
            .collect();
        for task in moved {
            self.stop_run(now, worker_id, &task, false);
        }
    }

    fn is_moved_from_draining(&self, task: &JobTaskId) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return true };
        let step = job.spec.steps.get(usize::from(task.step.step));
        step.is_none_or(|step| step.is_long_running)
    }

    /// Removes runs on workers that do not answer once their leases have certainly lapsed, and unlisted workers without
    /// such runs once no command to them can take effect any more.
    ///
    /// A successor may have extended a lease on a worker that only it can reach. A lease therefore counts as lapsed
    /// only if this process is confirmed as owner up to the lease's end.
    pub(super) fn resolve_lapsed(&mut self, now: Duration, confirmed: Duration) {
        let owned_until = now.min(confirmed);
        let longest_lease = longest_local_time(self.timing.max_lease, self.timing.kill_time);
        let mut lapsed = Vec::new();
        let (mut departed, mut forgotten) = (Vec::new(), Vec::new());
        for (id, worker) in self.workers.iter() {
            let is_silent = worker.unanswered_renewals > 0 || worker.answered.is_none();
            if !is_silent || !worker.lease.has_ended(owned_until, self.timing.kill_time) {
                continue;
            }
            let late_end = worker.lease.end_on_unknown_incarnation(longest_lease);
            let is_over = |(task, run): &(&JobTaskId, &Run)| {
                // A confirmed run may be on a later incarnation as well.
                let is_confirmed = run.is_confirmed && !worker.late_starts.contains_key(task);
                let is_settled = is_confirmed || run.phase == Phase::Reserved;
                let may_start_late = !is_settled && late_end.is_some_and(|end| owned_until < end);
                // Adopted runs may hold leases granted by a previous owner.
                let has_earlier_lease = run.is_adopted && now < self.inherited.predecessor_lapsed;
                !may_start_late && !has_earlier_lease
            };
            let over = worker.runs.iter().filter(is_over);
            lapsed.extend(over.map(|(task, _)| (id.clone(), *task)));
            let is_unlisted = worker.unlisted_for(now) >= UNLISTED_RETENTION;
            let is_empty = worker.runs.iter().all(|run| is_over(&run));
            if is_unlisted && is_empty && !worker.is_renewal_in_flight {
                if !worker.is_departed {
                    departed.push(id.clone());
                }
                if late_end.is_none_or(|end| now >= end) && worker.late_starts.is_empty() {
                    forgotten.push(id.clone());
                }
            }
        }
        for (worker_id, task) in lapsed {
            if let Some(worker) = self.workers.get(&worker_id) {
                let ms_ago = |at: Duration| now.saturating_sub(at).as_millis().to_string();
                event::RUN_GONE.emit(format_args!(
                    "task={task} worker={worker_id} cause=lease-lapsed answered_ms_ago={} incarnation={} {} {}",
                    worker.answered.map_or("-".to_owned(), ms_ago),
                    Incarnation(worker.incarnation_started_unix_ms),
                    RunState(worker.runs.get(&task)),
                    handover::newest_lease(worker, now, self.timing.kill_time)
                ));
            }
            self.keep_lapsed_run(&worker_id, &task);
            self.drop_run(&worker_id, &task);
            self.mark_lapsed(&[task]);
        }
        for id in departed {
            event::WORKER_GONE.emit(format_args!("worker={id}"));
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.is_departed = true;
            }
        }
        for id in forgotten {
            self.workers.remove(&id);
            // Its inherited tasks still wait until the leases of previous owners have lapsed.
        }
    }

    /// Queues again the starts and stops that got no answer. `confirmed` is the newest time at which this process was
    /// certainly the owner.
    pub(super) fn repeat_commands(&mut self, now: Duration, confirmed: Duration) {
        if now.saturating_sub(self.last_command_check) < COMMAND_CHECK_PERIOD {
            return;
        }
        self.last_command_check = now;
        self.forget_lapsed_starts(now.min(confirmed));
        self.stop_late_starts(now);
        self.repeat_starts(now);
        let is_due = |run: &Run| {
            let is_wanted =
                run.stop_queued_at.is_some_and(|at| now.saturating_sub(at) >= STOP_RETRY_PAUSE);
            is_wanted && !run.is_stop_in_flight && run.stop_answered.is_none()
        };
        let mut due = Vec::new();
        for (id, worker) in self.workers.iter() {
            due.extend(
                worker
                    .runs
                    .iter()
                    .filter(|(_, run)| is_due(run))
                    .map(|(task, _)| (id.clone(), *task)),
            );
        }
        for (worker_id, task) in due {
            self.stop_run(now, &worker_id, &task, false);
        }
    }

    /// Processes the outcome of a stop command.
    pub fn on_stop(
        &mut self,
        now: Duration,
        command: &Command,
        sent: Duration,
        reply: Reply<CommandOutcome>,
    ) {
        let CommandKind::Stop { task, run } = &command.kind else { return };
        let outcome = reply.outcome;
        let worker_id = &command.worker;
        let answered_by = self.observe_clock(now, command, sent, reply.clock_ms);
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let current = worker.runs.get_mut(task).filter(|current| current.number == *run);
        if let Some(current) = current.filter(|_| answered_by != AnsweredBy::Unknown) {
            current.is_stop_in_flight = false;
            if outcome == CommandOutcome::Done {
                current.stop_answered = Some(now);
                // Renew at once: the end is listed soon, and a waiting renewal returns with it.
                worker.next_renewal = worker.next_renewal.min(now);
            }
        }
        let late = worker.late_starts.get_mut(task).filter(|start| start.run <= *run);
        if let Some(start) = late.filter(|_| answered_by != AnsweredBy::Unknown) {
            start.is_stop_in_flight = false;
            start.is_barred |= outcome == CommandOutcome::Done;
            self.is_placement_due = true;
        }
        if outcome == CommandOutcome::Fenced {
            self.on_fenced(worker_id);
        }
    }
}

/// Returns true if the outcome of a renewal is a report of the newest known incarnation, whichever one the renewal was
/// made for.
fn is_of_newest_incarnation(
    worker: &Worker,
    outcome: &Result<RenewalReport, RenewalFailure>,
) -> bool {
    let started = outcome.as_ref().ok().and_then(|report| report.incarnation_started_unix_ms);
    started.is_some() && started == worker.incarnation_started_unix_ms
}

/// Bounds the exponent: after 3 doublings the pause exceeds [`MAX_RETRY_PAUSE`].
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// Consecutive renewals without an answer after which the worker is logged as silent.
const SILENT_AFTER_MISSED: u32 = 2;

/// Time for which an unlisted worker without runs is kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(4);

/// Longest time for which a worker may hold back its answer to a renewal.
pub(super) fn max_wait(worker: &Worker) -> Duration {
    if worker.runs.is_empty() {
        return MAX_WAIT_IDLE;
    }
    if worker.health.is_on_probation() {
        return MAX_WAIT_ON_PROBATION;
    }
    let is_serving = worker.runs.values().any(|run| run.tail_target_ms.is_some());
    let is_best_effort = worker.runs.values().any(|run| run.leftover_cpu > 0);
    if is_serving && is_best_effort { MAX_WAIT_WITH_MIXED_RUNS } else { MAX_WAIT_WITH_RUNS }
}

/// Creates a run of which only the number is known.
pub(super) fn new_run(number: u32, phase: Phase, now: Duration) -> Run {
    Run {
        number,
        phase,
        committed: Resources::default(),
        is_size_unknown: false,
        leftover_cpu: 0,
        tail_target_ms: None,
        image: None,
        phase_since: now,
        percent: 0,
        advanced: now,
        load: 0,
        last_sample: None,
        cpu_percent: 100,
        throttle_changed_at: now,
        throttled_since: None,
        is_stop_in_flight: false,
        stop_queued_at: None,
        stop_answered: None,
        is_abandoned: false,
        is_adopted: false,
        is_started: false,
        is_listed: false,
        start_queued: now,
        start_copies: 0,
        may_repeat_start: false,
        is_confirmed: false,
    }
}

/// Sets the resources, tail target and image of a run from its step.
pub(super) fn set_step_attributes(
    run: &mut Run,
    step: &crate::job::StepSpec,
    image: Option<ImageId>,
) {
    run.committed = step.committed();
    run.leftover_cpu = if step.uses_leftover_cpu { step.resources.cpu_millis } else { 0 };
    run.tail_target_ms = step.tail_target_ms;
    run.image = image;
}

fn is_long_running(jobs: &BTreeMap<JobId, Job>, task: &JobTaskId) -> bool {
    let step =
        jobs.get(&task.step.job).and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
    step.is_some_and(|step| step.is_long_running)
}
