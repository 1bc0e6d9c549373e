//! Renewing leases, and what the workers' lists say.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobTaskId, Resources};
use crate::shard::lapse::WorkerClock;
use crate::shard::report::{RenewalReport, RunReport};
use crate::shard::worker::{Phase, Run, Worker, WorkerId};
use crate::telemetry::event::shard as event;

use super::{Command, CommandKind, CommandOutcome, ShardScheduler};

/// Time for ends to gather before a worker is asked again: each look costs, and a step's tasks end close together.
const GATHER: Duration = Duration::from_millis(30);

/// A worker with an end that is not acknowledged answers at once, so it is asked again only after this long.
const UNACKED_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait of a worker that runs something: well below a lease, so that a successor finds most leases alive.
const BUSY_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait of a worker where serving and best-effort tasks meet: their tails are judged each half second.
const MIXED_WAIT: Duration = Duration::from_millis(500);

/// Longest wait of an idle worker; it only shows that the worker lives.
const IDLE_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after a renewal without an answer, doubled with each further one up to [`LONGEST_MISSED_PAUSE`]: each try
/// opens a connection.
const MISSED_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after renewals without an answer; a worker that returns is found within it.
const LONGEST_MISSED_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause between two stops of one run.
const STOP_PAUSE: Duration = Duration::from_millis(300);

/// Without progress for this long a task is stuck: the shortest tasks take half a second, the longest some seconds, and
/// progress is reported in hundredths.
const STUCK_AFTER: Duration = Duration::from_millis(2_500);

/// A long-running task that is not at work by then is started elsewhere.
const LONG_START_LIMIT: Duration = Duration::from_millis(6_000);

/// Why a renewal has no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalFailure {
    /// Not sent, or no answer.
    NoAnswer,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// A higher epoch was seen: the shard has another owner.
    Fenced,
}

impl ShardScheduler {
    /// Asks for the renewals that are due.
    pub(super) fn request_renewals(&mut self, now: Duration) {
        for (id, worker) in &mut self.workers {
            if worker.is_renewal_in_flight || now < worker.next_renewal {
                continue;
            }
            let is_unacked = worker.acked_end < worker.seen_end;
            if is_unacked && now < worker.next_renewal + UNACKED_PAUSE {
                continue;
            }
            worker.is_renewal_in_flight = true;
            // The first renewal only reads the worker's clock. While a worker does not answer, its lease is not
            // extended: a renewal that arrives late would keep runs alive whose tasks are to go elsewhere. A successor
            // counts on it that a worker that the heartbeat names has no lease of this owner.
            let may_grant = worker.missed == 0 && !self.inherited.reported_unreached.contains(id);
            let clock = worker.clock.filter(|_| may_grant);
            let expiry_ms = clock.map(|clock| clock.expiry_ms(now, self.timing.lease));
            worker.granted_ms = worker.granted_ms.max(expiry_ms.unwrap_or(0));
            // A worker that did not answer is asked for a sign of life only.
            let may_wait = worker.is_known && worker.missed == 0;
            let wait = if may_wait { wait(worker) } else { Duration::ZERO };
            // A worker that did not answer may have started anew, and its ends have other numbers then.
            let acked_end = if worker.missed == 0 { worker.acked_end } else { 0 };
            let kind = CommandKind::Renew { expiry_ms, acked_end, wait };
            self.commands.push(Command {
                worker: id.clone(),
                address: worker.listing.address,
                kind,
            });
        }
    }

    /// Takes the outcome of a renewal that was sent at `sent`.
    pub fn on_renewal(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        sent: Duration,
        outcome: Result<RenewalReport, RenewalFailure>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.is_renewal_in_flight = false;
        let report = match outcome {
            Ok(report) => report,
            Err(failure) => return self.on_renewal_failure(now, worker_id, failure),
        };
        let is_new_incarnation = worker.incarnation_started_unix_ms.is_some()
            && report.incarnation_started_unix_ms.is_some()
            && worker.incarnation_started_unix_ms != report.incarnation_started_unix_ms;
        if is_new_incarnation {
            self.on_new_incarnation(worker_id, now);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if worker.missed >= MISSED_REPORTED {
            event::WORKER_ANSWERS.emit(format_args!("worker={worker_id} missed={}", worker.missed));
        }
        worker.incarnation_started_unix_ms =
            report.incarnation_started_unix_ms.or(worker.incarnation_started_unix_ms);
        worker.clock = Some(WorkerClock::new(report.clock_ms, now));
        worker.answered = Some(now);
        worker.missed = 0;
        worker.health.unanswered = 0;
        worker.next_renewal = if worker.is_known { now + GATHER } else { now };
        worker.is_known = true;
        self.take_ends(now, worker_id, &report);
        self.take_active(now, worker_id, sent, &report);
        if !report.is_cut {
            self.on_inherited_known(worker_id);
        }
        self.adjust_throttles(now, worker_id);
        self.is_placement_due = true;
    }

    fn on_renewal_failure(&mut self, now: Duration, worker_id: &WorkerId, failure: RenewalFailure) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let doublings = worker.missed.min(MISSED_DOUBLINGS);
        worker.next_renewal = now + (MISSED_PAUSE * 2_u32.pow(doublings)).min(LONGEST_MISSED_PAUSE);
        match failure {
            RenewalFailure::Fenced => self.on_fenced(worker_id),
            RenewalFailure::OtherIncarnation => self.on_replaced(worker_id, now),
            RenewalFailure::NoAnswer => {
                worker.missed += 1;
                let is_first = worker.missed == 1;
                if worker.missed == MISSED_REPORTED {
                    event::WORKER_SILENT.emit(format_args!(
                        "worker={worker_id} missed={} runs={}",
                        worker.missed,
                        worker.runs.len()
                    ));
                }
                if is_first {
                    self.copy_speculative(worker_id);
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

    /// Drops what the earlier incarnation of a worker ran. Starts that may still arrive stay until a stop is answered.
    pub(super) fn on_new_incarnation(&mut self, worker_id: &WorkerId, now: Duration) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        event::WORKER_RESTARTED.emit(format_args!("worker={worker_id} runs={}", worker.runs.len()));
        let lost: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| {
                matches!(run.phase, Phase::Reserved | Phase::Active | Phase::Stopping)
            })
            .map(|(task, _)| *task)
            .collect();
        worker.incarnation_started_unix_ms = None;
        worker.clock = None;
        worker.granted_ms = 0;
        worker.is_known = false;
        worker.seen_end = 0;
        worker.acked_end = 0;
        worker.next_renewal = now;
        self.rows.forget_ends(worker_id);
        for task in lost {
            self.drop_run(worker_id, &task);
        }
    }

    /// Another incarnation answers at the address: this one is over, and nothing that is sent to it is ever carried
    /// out.
    fn on_replaced(&mut self, worker_id: &WorkerId, now: Duration) {
        let is_noted = self
            .workers
            .get(worker_id)
            .is_none_or(|worker| worker.answered.is_none() && worker.runs.is_empty());
        if !is_noted {
            self.on_new_incarnation(worker_id, now);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.answered = None;
        worker.next_renewal = now + LONGEST_MISSED_PAUSE;
        let left: Vec<JobTaskId> = worker.runs.keys().copied().collect();
        self.on_inherited_known(worker_id);
        for task in left {
            self.drop_run(worker_id, &task);
        }
    }

    fn take_ends(&mut self, now: Duration, worker_id: &WorkerId, report: &RenewalReport) {
        for end in &report.ended {
            let Some(worker) = self.workers.get_mut(worker_id) else { return };
            if end.number <= worker.seen_end {
                continue;
            }
            worker.seen_end = end.number;
            self.on_end(now, worker_id, end);
        }
    }

    fn take_active(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        sent: Duration,
        report: &RenewalReport,
    ) {
        let mut listed = BTreeSet::new();
        for run in &report.active {
            listed.insert((run.task, run.run));
            self.take_run(now, worker_id, run);
        }
        let Some(worker) = self.workers.get(worker_id) else { return };
        let is_gone = |task: &JobTaskId, run: &Run| {
            if listed.contains(&(*task, run.number)) || report.is_cut {
                return false;
            }
            match run.phase {
                Phase::Active => run.seen < sent,
                Phase::Stopping | Phase::Unsettled => run.stop_answered.is_some_and(|at| at < sent),
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
            event::RUN_GONE.emit(format_args!("task={task} worker={worker_id} cause=not-listed"));
            self.drop_run(worker_id, &task);
        }
        self.settle_unknown_starts(now, worker_id, sent);
        self.stop_stuck(now, worker_id);
    }

    /// Takes a run that is listed as active.
    fn take_run(&mut self, now: Duration, worker_id: &WorkerId, listed: &RunReport) {
        let task = listed.task;
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(run) = worker.runs.get_mut(&task) else {
            return self.adopt(now, worker_id, listed);
        };
        if run.number != listed.run {
            return;
        }
        if matches!(run.phase, Phase::Starting | Phase::Unsettled) && run.stop_sent.is_none() {
            run.phase = Phase::Active;
            run.seen = now;
        }
        if run.percent != listed.percent {
            run.percent = listed.percent;
            run.advanced = now;
        }
        run.load = listed.load;
        if listed.checkpoint.is_empty() {
            return;
        }
        let progress =
            self.jobs.get_mut(&task.step.job).and_then(|job| job.progress.task_mut(&task));
        if let Some(progress) = progress.filter(|progress| progress.checkpoint != listed.checkpoint)
        {
            progress.checkpoint.clone_from(&listed.checkpoint);
        }
    }

    /// Takes over a run that this process did not start, or stops it if its task is not to run there.
    fn adopt(&mut self, now: Duration, worker_id: &WorkerId, listed: &RunReport) {
        let task = listed.task;
        let is_live = self.live.contains_key(&task);
        let mut run = new_run(listed.run, Phase::Active, now);
        run.is_adopted = true;
        let mut is_wanted = false;
        let mut is_described = false;
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let is_final = job.progress.state.is_final();
            if let Some(step) = job.spec.steps.get(usize::from(task.step.step)) {
                describe(&mut run, step);
                is_described = true;
            }
            if let Some(progress) = job.progress.task_mut(&task) {
                progress.last_run = progress.last_run.max(listed.run);
                if !is_live {
                    progress.worker = Some(worker_id.shared());
                }
                if !listed.checkpoint.is_empty() {
                    progress.checkpoint.clone_from(&listed.checkpoint);
                }
                is_wanted = !progress.is_done && !is_final && !is_live;
            }
        }
        if let Some(worker) = self.workers.get(worker_id).filter(|_| !is_described) {
            // What a run of a forgotten job occupies is not known, so nothing starts beside it.
            run.committed = worker.listing.capacity;
        }
        run.percent = listed.percent;
        run.load = listed.load;
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.add_run(task, run);
        self.live.entry(task).or_default().push(worker_id.clone());
        self.inherited.found(&task);
        self.waiting.remove(&task);
        if is_wanted {
            event::RUN_ADOPTED
                .emit(format_args!("task={task} run={} worker={worker_id}", listed.run));
        } else {
            event::RUN_UNWANTED
                .emit(format_args!("task={task} run={} worker={worker_id}", listed.run));
            self.stop_run(now, worker_id, &task, true);
        }
    }

    /// A start whose answer was lost and that a later list doesn't have may still arrive, so it is stopped first.
    fn settle_unknown_starts(&mut self, now: Duration, worker_id: &WorkerId, sent: Duration) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let is_lost =
            |run: &Run| run.phase == Phase::Unsettled && run.stop_sent.is_none() && run.seen < sent;
        let lost: Vec<JobTaskId> =
            worker.runs.iter().filter(|(_, run)| is_lost(run)).map(|(task, _)| *task).collect();
        for task in lost {
            self.stop_run(now, worker_id, &task, false);
        }
    }

    /// Stops tasks that make no progress; they go elsewhere.
    fn stop_stuck(&mut self, now: Duration, worker_id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let is_stuck = |run: &Run| {
            let idle = now.saturating_sub(run.advanced.max(run.throttled_at));
            match run.tail_target_ms {
                Some(_) => run.percent < 100 && idle >= LONG_START_LIMIT,
                None => run.leftover_cpu == 0 && run.percent < 100 && idle >= STUCK_AFTER,
            }
        };
        let stuck: Vec<JobTaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Active && is_stuck(run))
            .map(|(task, _)| *task)
            .collect();
        if stuck.is_empty() {
            return;
        }
        if !worker.health.is_quarantined(now) {
            worker.health.quarantine(now);
            event::WORKER_QUARANTINED
                .emit(format_args!("worker={worker_id} cause=no-progress task={}", stuck[0]));
        }
        for task in stuck {
            self.stop_run(now, worker_id, &task, false);
        }
    }

    /// A draining worker ends what it runs when it leaves: what lasts, or can resume, moves in time.
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

    /// Drops runs whose lease has certainly lapsed on workers that don't answer, and workers that are gone.
    ///
    /// A successor may have extended a lease on a worker that only it reaches, so this process must have been the owner
    /// at the lease's end.
    pub(super) fn resolve_lapsed(&mut self, now: Duration, confirmed: Duration) {
        let owned_until = now.min(confirmed);
        let mut lapsed = Vec::new();
        let mut gone = Vec::new();
        for (id, worker) in &self.workers {
            let is_silent = worker.missed > 0 || worker.answered.is_none();
            let has_lapsed =
                worker.clock.is_none_or(|clock| owned_until >= clock.lapsed_at(worker.granted_ms));
            if !is_silent || !has_lapsed {
                continue;
            }
            // This owner may have granted nothing yet to runs that it took over.
            let is_over = |run: &Run| !run.is_adopted || now >= self.inherited.predecessor_lapsed;
            let over = worker.runs.iter().filter(|(_, run)| is_over(run));
            lapsed.extend(over.map(|(task, _)| (id.clone(), *task)));
            let is_unlisted = worker.unlisted_for(now) >= FORGET_AFTER;
            let is_empty = worker.runs.values().all(is_over);
            if is_unlisted && is_empty && !worker.is_renewal_in_flight {
                gone.push(id.clone());
            }
        }
        for (worker_id, task) in lapsed {
            event::RUN_GONE.emit(format_args!("task={task} worker={worker_id} cause=lease-lapsed"));
            self.drop_run(&worker_id, &task);
        }
        for id in gone {
            event::WORKER_GONE.emit(format_args!("worker={id}"));
            self.workers.remove(&id);
            // A suspect stays one until the predecessor's leases have lapsed.
        }
    }

    /// Repeats stops that were not answered.
    pub(super) fn repeat_stops(&mut self, now: Duration) {
        let is_due = |run: &Run| {
            let is_wanted = run.stop_sent.is_some_and(|at| now.saturating_sub(at) >= STOP_PAUSE);
            is_wanted && !run.is_stop_in_flight && run.stop_answered.is_none()
        };
        let mut due = Vec::new();
        for (id, worker) in &self.workers {
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

    /// Takes the outcome of a stop.
    pub fn on_stop(
        &mut self,
        now: Duration,
        worker_id: &WorkerId,
        task: &JobTaskId,
        run: u32,
        outcome: CommandOutcome,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if let Some(held) = worker.runs.get_mut(task).filter(|held| held.number == run) {
            held.is_stop_in_flight = false;
            if outcome == CommandOutcome::Done {
                held.stop_answered = Some(now);
                // The end is listed soon; a waiting renewal returns with it.
                worker.next_renewal = worker.next_renewal.min(now);
            }
        }
        if outcome == CommandOutcome::Fenced {
            self.on_fenced(worker_id);
        }
    }
}

/// Doublings after which the pause is longer than the longest.
const MISSED_DOUBLINGS: u32 = 3;

/// Renewals without an answer in a row that are worth a log line.
const MISSED_REPORTED: u32 = 2;

/// A worker that is not listed any more and whose leases have lapsed is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(4);

/// How long a worker may hold its answer back.
fn wait(worker: &Worker) -> Duration {
    if worker.runs.is_empty() {
        return IDLE_WAIT;
    }
    let is_serving = worker.runs.values().any(|run| run.tail_target_ms.is_some());
    let is_best_effort = worker.runs.values().any(|run| run.leftover_cpu > 0);
    if is_serving && is_best_effort { MIXED_WAIT } else { BUSY_WAIT }
}

/// A run of which only the number is known.
pub(super) fn new_run(number: u32, phase: Phase, now: Duration) -> Run {
    Run {
        number,
        phase,
        committed: Resources::default(),
        leftover_cpu: 0,
        tail_target_ms: None,
        image: None,
        seen: now,
        percent: 0,
        advanced: now,
        load: 0,
        felt: None,
        cpu_percent: 100,
        throttled_at: now,
        throttled_since: None,
        is_stop_in_flight: false,
        stop_sent: None,
        stop_answered: None,
        is_abandoned: false,
        is_adopted: false,
    }
}

/// Fills in what a run of a step occupies.
pub(super) fn describe(run: &mut Run, step: &crate::job::StepSpec) {
    run.committed = step.committed();
    run.leftover_cpu = if step.uses_leftover_cpu { step.resources.cpu_millis } else { 0 };
    run.tail_target_ms = step.tail_target_ms;
    run.image = step.image.as_deref().map(Rc::from);
}
