//! Starts without an answer that a worker carries out late, after a restart that has made it forget every stop.

use std::time::Duration;

use plantainlever::job::{JobId, JobState, StepSpec};
use plantainlever::shard::lapse::{MAX_COMMAND_DELAY, longest_local_time};

use super::rig::{Fleet, MAX_LEASE, Rig, STOP_TIME, TICK, listing, spec, step, worker_id};

/// Length of the run of a task, longer than any wait in these tests.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time from a start that gets no answer until it is carried out.
const DELAY: Duration = Duration::from_secs(6);
/// Time for a placement pass, a row and a command, and for a renewal that waits for an end.
const MARGIN: Duration = Duration::from_millis(1_500);

/// A shard with one worker, which leaves the start of the only task without an answer. A second worker is added then.
struct LateStart {
    rig: Rig,
    id: JobId,
    sent: Duration,
}

impl LateStart {
    fn new() -> Self {
        Self::with_delay(DELAY)
    }

    fn with_delay(delay: Duration) -> Self {
        Self::of_step(step(1, 1_000), delay)
    }

    /// The step's starts on the first worker are `delay` late, all others are answered.
    fn of_step(step: StepSpec, delay: Duration) -> Self {
        let mut rig = Rig::new(Fleet::new(1, 4_000));
        rig.run(Duration::from_millis(500));
        rig.fleet.get(0).start_delay = Some(delay);
        let id = rig.submit(7, spec(vec![step]));
        rig.fleet.durations.insert(id, RUN_TIME);
        while rig.fleet.get(0).late.is_empty() {
            rig.round();
        }
        rig.fleet.get(0).start_delay = None;
        let sent = rig.fleet.now;
        rig.fleet.add(listing(1, 4_000));
        Self { rig, id, sent }
    }

    /// Takes the first worker's failure domain out of service, so that nothing starts there.
    fn close_domain(&mut self) {
        let domain = self.rig.fleet.get(0).listing.domain.clone();
        self.rig.owner.on_domains_out([domain].into());
    }

    /// Runs up to a time after the start was sent.
    fn run_until(&mut self, after: Duration) {
        let until = self.sent + after;
        while self.rig.fleet.now < until {
            self.rig.round();
        }
    }

    /// Restarts the first worker at the moment at which the start is carried out, so that the owner can't notice it before.
    fn restart_at_arrival(&mut self) {
        self.restart_at(DELAY);
    }

    fn restart_at(&mut self, after: Duration) {
        let restart_time = Duration::from_secs(1);
        self.run_until(after - restart_time);
        self.rig.fleet.restart_time = Some(restart_time);
        self.rig.fleet.crash(&worker_id(0));
        self.run_until(after + TICK * 2);
    }

    /// Workers that have a run of the job.
    fn at_work(&self) -> usize {
        let workers = self.rig.fleet.workers.values();
        workers.flat_map(|w| w.runs.keys()).filter(|task| task.step.job == self.id).count()
    }

    /// Runs until the job has a run, for at most `limit`.
    fn wait_for_run(&mut self, limit: Duration) {
        let until = self.rig.fleet.now + limit;
        while self.at_work() == 0 && self.rig.fleet.now < until {
            self.rig.round();
        }
        assert_eq!(self.at_work(), 1);
    }

    /// Ends the test: nothing ran twice, and the task runs.
    fn assert_runs_once(mut self) {
        self.rig.run(MAX_COMMAND_DELAY);
        self.rig.assert_no_breach();
        assert_eq!(self.at_work(), 1);
    }
}

/// Guards against two runs of a task (review/13): the next incarnation of its worker carries out the start of an earlier run
/// while the task starts elsewhere.
#[test]
fn a_start_that_the_next_incarnation_carries_out_is_the_only_run() {
    let mut case = LateStart::new();
    case.restart_at_arrival();
    case.assert_runs_once();
}

/// Guards against two runs of a task: it had been started elsewhere before its first worker restarted.
#[test]
fn a_task_does_not_run_elsewhere_while_its_start_may_be_carried_out_late() {
    let mut case = LateStart::new();
    case.close_domain();
    case.restart_at_arrival();
    case.rig.owner.on_domains_out([].into());
    case.assert_runs_once();
}

/// Guards against two runs of a task: only the second of two incarnations carries out the start.
#[test]
fn a_start_that_is_carried_out_after_two_restarts_is_the_only_run() {
    // A long-running task is no suspect any more by its second crash.
    let service = StepSpec { is_long_running: true, ..step(1, 1_000) };
    let delay = Duration::from_millis(11_500);
    let mut case = LateStart::of_step(service, delay);
    case.restart_at(Duration::from_secs(5));
    case.restart_at(delay);
    case.assert_runs_once();
}

/// Guards against two runs of a task: a successor does not know of a start that was settled in the memory of its
/// predecessor.
#[test]
fn a_successor_knows_of_a_late_start_of_a_task_that_waits() {
    let mut case = LateStart::new();
    case.close_domain();
    case.run_until(Duration::from_secs(3));
    let now = case.rig.fleet.now;
    case.rig.take_over(now);
    case.restart_at_arrival();
    case.assert_runs_once();
}

/// Guards against two runs of a task: the worker has answered the repeated start, and the first copy arrives after a
/// restart under the next owner, whose epoch the new incarnation has not seen.
#[test]
fn a_successor_knows_of_a_late_start_of_a_task_that_runs() {
    let mut case = LateStart::new();
    case.run_until(Duration::from_secs(3));
    assert_eq!(case.at_work(), 1);
    let now = case.rig.fleet.now;
    case.rig.take_over(now);
    case.restart_at_arrival();
    case.assert_runs_once();
}

/// Guards against two runs of a task: one member of a gang has a late start, and the gang is placed again elsewhere.
#[test]
fn a_gang_with_a_late_start_of_one_member_runs_once() {
    let gang = StepSpec { is_gang: true, ..step(3, 1_000) };
    let mut case = LateStart::of_step(gang, DELAY);
    // Only one member has a late start.
    case.rig.fleet.get(0).late.truncate(1);
    case.restart_at_arrival();
    case.rig.run(MAX_COMMAND_DELAY);
    case.rig.assert_no_breach();
    assert_eq!(case.at_work(), 3);
}

/// Guards against two runs of a task: its worker leaves the VM list and is back before the start is carried out.
#[test]
fn a_worker_that_left_and_is_back_may_carry_out_a_late_start() {
    let delay = Duration::from_millis(11_500);
    let mut case = LateStart::with_delay(delay);
    case.run_until(Duration::from_secs(1));
    let now = case.rig.fleet.now;
    case.rig.fleet.get(0).restart(now);
    case.rig.fleet.get(0).is_cut = true;
    case.run_until(delay - TICK * 2);
    case.rig.fleet.get(0).is_cut = false;
    case.assert_runs_once();
}

/// Guards against a run that nobody asked for: the start of a cancelled job is carried out late.
#[test]
fn a_late_start_of_a_cancelled_job_is_stopped() {
    let mut case = LateStart::new();
    case.run_until(Duration::from_secs(3));
    let (now, id) = (case.rig.fleet.now, case.id);
    case.rig.owner.on_cancel(now, id);
    case.restart_at_arrival();
    case.rig.run(Duration::from_secs(2));
    case.rig.assert_no_breach();
    assert_eq!(case.at_work(), 0);
}

/// Guards against a start after the end: a task is done before its worker restarts and carries out an earlier copy.
#[test]
fn a_late_start_of_a_task_that_is_done_is_not_carried_out() {
    let mut case = LateStart::new();
    let id = case.id;
    case.rig.fleet.durations.insert(id, Duration::from_millis(1_500));
    case.restart_at_arrival();
    case.rig.run(Duration::from_secs(2));
    case.rig.assert_no_breach();
}

/// Guards against lost time: a sound worker gets a start again that it left without an answer.
#[test]
fn a_start_without_an_answer_is_sent_again() {
    let mut case = LateStart::new();
    case.wait_for_run(Duration::from_millis(500));
    case.run_until(DELAY + TICK * 2);
    case.rig.assert_no_breach();
    let numbers: Vec<u32> = case.rig.starts_of(case.id).iter().map(|(_, run, _)| *run).collect();
    assert_eq!(numbers, [1]);
}

/// Guards against a task that waits without end for a worker that is alive and may not be used.
#[test]
fn a_task_runs_elsewhere_once_its_start_cannot_arrive_any_more() {
    let mut case = LateStart::with_delay(Duration::from_secs(60));
    case.close_domain();
    case.wait_for_run(MAX_COMMAND_DELAY + MARGIN);
    case.rig.assert_no_breach();
}

/// Guards against a task that waits without end for a worker that answers no start.
#[test]
fn a_task_runs_elsewhere_if_its_worker_answers_no_start() {
    let mut case = LateStart::with_delay(Duration::from_secs(60));
    case.rig.fleet.get(0).start_delay = Some(Duration::from_secs(60));
    let copies = Duration::from_millis(7 * 420);
    case.wait_for_run(copies + MAX_COMMAND_DELAY + MARGIN);
    case.rig.assert_no_breach();
}

/// Guards against a longer wait than for a start without an answer on a worker that is lost for good.
#[test]
fn a_task_whose_worker_is_lost_waits_no_longer_than_its_start_and_lease_may_last() {
    let mut case = LateStart::new();
    case.run_until(Duration::from_secs(2));
    case.rig.fleet.get(0).is_cut = true;
    // The last renewal was sent shortly before.
    case.wait_for_run(MAX_COMMAND_DELAY + longest_local_time(MAX_LEASE, STOP_TIME) + MARGIN);
    case.rig.assert_no_breach();
}

/// Guards against a task that waits for another worker after a failure, which it may not use for seconds.
#[test]
fn a_task_that_fails_runs_again_at_once_on_the_worker_of_its_late_start() {
    let mut case = LateStart::with_delay(Duration::from_secs(60));
    let id = case.id;
    case.rig.fleet.durations.insert(id, Duration::from_secs(2));
    case.wait_for_run(Duration::from_millis(500));
    case.rig.fleet.get(0).fails_all = true;
    case.rig.run(Duration::from_secs(2));
    case.rig.fleet.get(0).fails_all = false;
    case.rig.run(Duration::from_secs(3));
    case.rig.assert_no_breach();
    assert!(case.rig.store.ended.contains(&id));
    assert_eq!(case.rig.starts_of(id).len(), 2);
}

/// Guards against a job that fails by a faulty worker: the last attempt of its task waits for another one.
#[test]
fn the_last_attempt_of_a_task_waits_for_another_worker() {
    let mut case = LateStart::with_delay(Duration::from_secs(60));
    let id = case.id;
    case.rig.fleet.durations.insert(id, Duration::from_millis(500));
    case.rig.fleet.get(0).fails_all = true;
    case.rig.run(MAX_COMMAND_DELAY + MARGIN * 2);
    case.rig.assert_no_breach();
    assert_eq!(case.rig.stored_state(id), Some(JobState::Completed));
}

/// Starts a shard with one worker that has a serving task, and beside it a best-effort task. `delay_first` leaves the first
/// copy of the start of the latter without an answer.
fn rig_with_best_effort_task(delay_first: bool) -> (Rig, JobId) {
    let mut rig = Rig::new(Fleet::new(1, 8_000));
    let serving = StepSpec {
        is_long_running: true,
        tail_target_ms: Some(50),
        image: Some("service".to_owned()),
        ..step(1, 6_000)
    };
    let service = rig.submit(1, spec(vec![serving]));
    rig.fleet.durations.insert(service, RUN_TIME);
    rig.run(Duration::from_millis(300));
    rig.fleet.get(0).start_delay = delay_first.then_some(RUN_TIME);
    let best_effort = StepSpec {
        uses_leftover_cpu: true,
        checkpoints: true,
        image: Some("batch".to_owned()),
        ..step(1, 1_000)
    };
    let job = rig.submit(2, spec(vec![best_effort]));
    rig.fleet.durations.insert(job, RUN_TIME);
    rig.run(TICK * 4);
    rig.fleet.get(0).start_delay = None;
    rig.run(Duration::from_millis(500));
    assert_eq!(rig.starts_of(job).len(), 1);
    (rig, job)
}

/// Slows the tasks down so much that best-effort tasks are throttled for long.
fn throttle(rig: &mut Rig) {
    rig.fleet.add(listing(1, 8_000));
    rig.fleet.get(0).percent = 40;
    rig.fleet.get(0).tail_ms = 200;
    rig.run(Duration::from_secs(4));
    rig.assert_no_breach();
}

/// Guards against a task that is stopped because it is throttled, and then has to wait since it may run nowhere else.
#[test]
fn a_throttled_task_with_a_late_start_goes_on() {
    let (mut rig, job) = rig_with_best_effort_task(true);
    throttle(&mut rig);
    let runs = &rig.fleet.get(0).runs;
    assert!(runs.iter().any(|(task, run)| task.step.job == job && run.stops_at.is_none()));
}

/// Guards against throttled tasks that are not moved to a free worker because another task waits, which may not use it.
#[test]
fn a_task_that_waits_for_its_late_start_does_not_keep_others_from_moving() {
    let (mut rig, job) = rig_with_best_effort_task(false);
    rig.fleet.get(0).start_delay = Some(RUN_TIME);
    let waiting = rig.submit(3, spec(vec![step(1, 1_000)]));
    rig.run(TICK * 3);
    rig.fleet.get(0).start_delay = None;
    rig.owner.on_domains_out([rig.fleet.get(0).listing.domain.clone()].into());
    throttle(&mut rig);
    let on: Vec<_> = rig.starts_of(job).into_iter().map(|(.., worker)| worker).collect();
    assert_eq!(on, [worker_id(0), worker_id(1)]);
    assert_eq!(rig.starts_of(waiting).len(), 0);
}
