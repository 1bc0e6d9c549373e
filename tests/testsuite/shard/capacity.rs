//! Workers whose capacity shrinks and grows while they run tasks. The rig records a breach when a start brings a worker
//! over the capacity that it has at that moment.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobSpec, JobTaskId};
use plantainlever::shard::WorkerId;

use super::rig::{Fleet, LEASE, Rig, listing, spec, step, worker_id};

/// Longer than every test, so that no run ends by itself.
const LONG: Duration = Duration::from_secs(60);
/// A few rounds of the scheduler and the store; tasks that can start do so within it.
const SOON: Duration = Duration::from_millis(200);
/// Length of a stop on the rig's workers, with the rounds until its end is known.
const STOPPED: Duration = Duration::from_millis(500);

/// A fleet of one worker with 4,000 thousandths of a core that has answered its owner.
fn one_worker() -> Rig {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    rig.run(SOON);
    rig
}

/// Submits a job whose runs outlast the test.
fn submit_long(rig: &mut Rig, id: u64, spec: Rc<JobSpec>) -> JobId {
    let id = rig.submit(id, spec);
    rig.fleet.durations.insert(id, LONG);
    id
}

fn best_effort(cpu_millis: u64) -> Rc<JobSpec> {
    let mut step = step(1, cpu_millis);
    step.uses_leftover_cpu = true;
    spec(vec![step])
}

fn set_cpu(rig: &mut Rig, worker: u32, cpu_millis: u64) {
    rig.fleet.get(worker).listing.capacity.cpu_millis = cpu_millis;
}

/// Guards against a start that was reserved before the worker shrank: it was sent once its row was stored, without
/// another look at the capacity.
#[test]
fn a_reserved_run_does_not_start_on_a_worker_that_has_shrunk() {
    let mut rig = one_worker();
    rig.store.is_down = true;
    let id = submit_long(&mut rig, 7, spec(vec![step(4, 1_000)]));
    rig.run(SOON);
    set_cpu(&mut rig, 0, 2_000);
    rig.run(SOON);
    assert_eq!(rig.starts_of(id), []);
    rig.store.is_down = false;
    rig.run(Duration::from_secs(1));
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 2);
}

/// Guards against a gang of which some members start although the worker of another one has shrunk.
#[test]
fn a_gang_with_a_member_that_no_longer_fits_does_not_start() {
    let mut rig = Rig::new(Fleet::new(2, 2_000));
    rig.run(SOON);
    rig.store.is_down = true;
    let mut gang = step(4, 1_000);
    gang.is_gang = true;
    let id = submit_long(&mut rig, 7, spec(vec![gang]));
    rig.run(SOON);
    set_cpu(&mut rig, 1, 1_000);
    rig.run(SOON);
    rig.store.is_down = false;
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.starts_of(id), []);
    set_cpu(&mut rig, 1, 2_000);
    rig.run(SOON);
    rig.assert_no_breach();
    let runs: BTreeSet<u32> = rig.starts_of(id).iter().map(|(_, run, _)| *run).collect();
    assert_eq!((rig.starts_of(id).len(), runs.len()), (4, 1));
}

/// Guards against a task that asks for no processors and starts on a worker with more processors committed than it has:
/// the missing ones counted as none free, and none were asked for.
#[test]
fn a_worker_short_of_processors_gets_no_task_that_asks_for_none() {
    let mut rig = one_worker();
    let running = submit_long(&mut rig, 7, spec(vec![step(4, 1_000)]));
    rig.run(SOON);
    set_cpu(&mut rig, 0, 2_000);
    rig.run(SOON);
    let small = submit_long(&mut rig, 8, spec(vec![step(1, 0)]));
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!((rig.starts_of(running).len(), rig.starts_of(small).len()), (4, 0));
    set_cpu(&mut rig, 0, 4_000);
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(small).len(), 1);
}

/// The same for a worker with more memory committed than it has.
#[test]
fn a_worker_short_of_memory_gets_no_task_that_asks_for_none() {
    let mut rig = one_worker();
    submit_long(&mut rig, 7, spec(vec![step(2, 1_000)]));
    rig.run(SOON);
    rig.fleet.get(0).listing.capacity.memory_mib = 150;
    rig.run(SOON);
    let mut without_memory = step(1, 1_000);
    without_memory.resources.memory_mib = 0;
    let small = submit_long(&mut rig, 8, spec(vec![without_memory]));
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(small), []);
}

/// Guards against a start on a worker that is still over its capacity after one of its runs has ended.
#[test]
fn a_run_that_ends_on_a_shrunk_worker_makes_room_only_below_the_capacity() {
    let mut rig = one_worker();
    for (id, seconds) in [(1, 1), (2, 2), (3, 60), (4, 60)] {
        let id = rig.submit(id, spec(vec![step(1, 1_000)]));
        rig.fleet.durations.insert(id, Duration::from_secs(seconds));
    }
    rig.run(SOON);
    set_cpu(&mut rig, 0, 2_500);
    let waiting =
        [(5, 0), (6, 500)].map(|(id, cpu)| submit_long(&mut rig, id, spec(vec![step(1, cpu)])));
    rig.run(Duration::from_millis(1_500));
    assert_eq!(waiting.map(|id| rig.starts_of(id).len()), [0, 0], "3,000 of 2,500 are committed");
    rig.run(Duration::from_secs(1));
    assert_eq!(waiting.map(|id| rig.starts_of(id).len()), [1, 1]);
    rig.assert_no_breach();
}

/// Guards against a shrunk worker on which runs that are being stopped no longer count.
#[test]
fn runs_that_are_being_stopped_count_on_a_shrunk_worker() {
    let mut rig = one_worker();
    let stopped = submit_long(&mut rig, 7, spec(vec![step(4, 1_000)]));
    rig.run(SOON);
    let now = rig.fleet.now;
    rig.owner.on_cancel(now, stopped);
    set_cpu(&mut rig, 0, 2_000);
    let next = [0, 1_000].map(|cpu| submit_long(&mut rig, 8 + cpu, spec(vec![step(1, cpu)])));
    rig.run(SOON);
    assert_eq!(next.map(|id| rig.starts_of(id).len()), [0, 0]);
    rig.run(STOPPED);
    rig.assert_no_breach();
    assert_eq!(next.map(|id| rig.starts_of(id).len()), [1, 1]);
}

/// Guards against a shrunk worker on which starts without an answer do not count, though they may still be carried out.
#[test]
fn starts_in_doubt_count_on_a_shrunk_worker() {
    for delay_ms in [40, 200, 600, 2_000] {
        let mut rig = one_worker();
        rig.fleet.get(0).start_delay = Some(Duration::from_millis(delay_ms));
        submit_long(&mut rig, 7, spec(vec![step(2, 1_000)]));
        rig.run(Duration::from_millis(60));
        rig.fleet.get(0).start_delay = None;
        set_cpu(&mut rig, 0, 3_000);
        submit_long(&mut rig, 8, spec(vec![step(3, 0)]));
        submit_long(&mut rig, 9, spec(vec![step(3, 1_000)]));
        rig.run(Duration::from_secs(2));
        rig.assert_no_breach();
        assert_eq!(rig.fleet.get(0).runs.len(), 6, "delay of {delay_ms} ms");
    }
}

/// Guards against tasks that wait although a worker has grown.
#[test]
fn waiting_tasks_start_at_once_on_a_worker_that_has_grown() {
    let mut rig = one_worker();
    let id = submit_long(&mut rig, 7, spec(vec![step(6, 1_000)]));
    rig.run(SOON);
    assert_eq!(rig.starts_of(id).len(), 4);
    set_cpu(&mut rig, 0, 6_000);
    rig.run(Duration::from_millis(60));
    assert_eq!(rig.starts_of(id).len(), 6);
    rig.assert_no_breach();
}

/// Guards against starts by a new owner on a worker that shrank below what the previous owner had started there.
#[test]
fn a_worker_that_shrinks_across_a_change_of_owner_gets_no_task() {
    let mut rig = one_worker();
    let running = submit_long(&mut rig, 7, spec(vec![step(4, 1_000)]));
    rig.run(SOON);
    set_cpu(&mut rig, 0, 2_500);
    let lapsed = rig.fleet.now + LEASE;
    rig.take_over(lapsed);
    let next = [0, 1_000].map(|cpu| submit_long(&mut rig, 8 + cpu, spec(vec![step(1, cpu)])));
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!(next.map(|id| rig.starts_of(id).len()), [0, 0]);
    assert_eq!(rig.starts_of(running).len(), 4, "nothing with reservations is stopped");
    set_cpu(&mut rig, 0, 5_000);
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!(next.map(|id| rig.starts_of(id).len()), [1, 1]);
}

/// Guards against starts beside a run of unknown size on a worker that has grown since: the run was taken to have the
/// size that the worker had when the run was found.
#[test]
fn a_run_of_unknown_size_still_fills_a_worker_that_grows() {
    let mut rig = one_worker();
    let id = submit_long(&mut rig, 7, spec(vec![step(1, 4_000)]));
    rig.run(SOON);
    rig.store.jobs.remove(&id);
    rig.store.rows.remove(&id);
    let grown = rig.fleet.get(0).listing.capacity;
    rig.fleet.get(0).listing.capacity.memory_mib /= 2;
    set_cpu(&mut rig, 0, 2_000);
    let now = rig.fleet.now;
    rig.take_over(now);
    let next = submit_long(&mut rig, 8, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_millis(100));
    rig.fleet.get(0).listing.capacity = grown;
    rig.run(Duration::from_millis(100));
    assert_eq!(rig.starts_of(next), []);
    rig.run(STOPPED);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(next).len(), 1);
}

/// Runs a task that reserves two cores beside a best-effort task that asks for one and a half, both with progress
/// `percent`, on a worker of four cores; then adds a second worker and changes the first one.
fn shrink_beside_best_effort(
    percent: u8,
    shrink: impl FnOnce(&mut Rig),
) -> [Vec<(JobTaskId, u32, WorkerId)>; 2] {
    let mut rig = one_worker();
    rig.fleet.get(0).percent = percent;
    let reserved = submit_long(&mut rig, 7, spec(vec![step(1, 2_000)]));
    let filling = submit_long(&mut rig, 8, best_effort(1_500));
    rig.run(SOON);
    rig.fleet.add(listing(1, 4_000));
    rig.run(SOON);
    shrink(&mut rig);
    rig.run(Duration::from_secs(1));
    rig.assert_no_breach();
    [reserved, filling].map(|id| rig.starts_of(id))
}

/// Guards against a best-effort task that takes processors that others have reserved, on a worker that has shrunk.
#[test]
fn a_best_effort_task_leaves_a_worker_that_has_no_processors_left_for_it() {
    let [reserved, filling] = shrink_beside_best_effort(10, |rig| set_cpu(rig, 0, 2_000));
    assert_eq!(reserved.len(), 1, "tasks with reservations stay");
    assert_eq!(filling.last().map(|(.., worker)| worker.clone()), Some(worker_id(1)));
}

/// The same for memory.
#[test]
fn a_best_effort_task_leaves_a_worker_that_has_no_memory_left_for_it() {
    let [reserved, filling] = shrink_beside_best_effort(10, |rig| {
        rig.fleet.get(0).listing.capacity.memory_mib = 150;
    });
    assert_eq!(reserved.len(), 1, "tasks with reservations stay");
    assert_eq!(filling.last().map(|(.., worker)| worker.clone()), Some(worker_id(1)));
}

/// Guards against work that is lost without need: a best-effort task stays where the rest still has what it reserved,
/// or where the task is about to end.
#[test]
fn a_best_effort_task_stays_if_it_fits_or_is_about_to_end() {
    for (percent, cpu_millis) in [(10, 3_500), (90, 2_000)] {
        let [reserved, filling] =
            shrink_beside_best_effort(percent, |rig| set_cpu(rig, 0, cpu_millis));
        assert_eq!((reserved.len(), filling.len()), (1, 1), "{percent} % of {cpu_millis}");
    }
}

/// Guards against more stops than the shrunk worker needs: tasks that are being stopped still use it, but not for long.
/// A gang stays, because its members on other workers would end with the one here.
#[test]
fn no_more_best_effort_tasks_leave_than_the_worker_lacks() {
    for (is_gang, stopped) in [(false, 1), (true, 0)] {
        let mut rig = one_worker();
        rig.fleet.get(0).percent = 10;
        submit_long(&mut rig, 7, spec(vec![step(1, 2_000)]));
        let mut filling = step(2, 1_000);
        (filling.uses_leftover_cpu, filling.is_gang) = (true, is_gang);
        let filling = submit_long(&mut rig, 8, spec(vec![filling]));
        rig.run(SOON);
        assert_eq!(rig.starts_of(filling).len(), 2);
        rig.fleet.add(listing(1, 4_000));
        set_cpu(&mut rig, 0, 3_000);
        rig.run(Duration::from_secs(1));
        rig.assert_no_breach();
        assert_eq!(rig.starts_of(filling).len(), 2 + stopped, "gang: {is_gang}");
    }
}

/// Guards against a best-effort task that was starting when its worker shrank and was not looked at again.
#[test]
fn a_best_effort_task_that_was_starting_leaves_a_worker_that_has_shrunk() {
    let mut rig = one_worker();
    rig.fleet.get(0).percent = 10;
    submit_long(&mut rig, 7, spec(vec![step(1, 2_000)]));
    rig.run(SOON);
    // The start is carried out in the round after this one, which is too late to take it back.
    let filling = submit_long(&mut rig, 8, best_effort(1_500));
    rig.round();
    rig.fleet.add(listing(1, 4_000));
    rig.fleet.get(0).listing.capacity.memory_mib = 150;
    rig.run(Duration::from_secs(1));
    let on: Vec<WorkerId> = rig.starts_of(filling).into_iter().map(|(.., id)| id).collect();
    assert_eq!(on.last(), Some(&worker_id(1)));
    assert!(rig.fleet.get(0).runs.keys().all(|task| task.step.job != filling));
}

/// Guards against starts on a restarted worker by the capacity that its previous incarnation had: the VM list shows the
/// new one a moment after it answers.
#[test]
fn a_restarted_worker_gets_no_task_before_its_new_capacity_is_listed() {
    let mut rig = one_worker();
    rig.is_list_down = true;
    let now = rig.fleet.now;
    rig.fleet.get(0).restart(now);
    set_cpu(&mut rig, 0, 2_000);
    rig.run(SOON);
    let id = submit_long(&mut rig, 7, spec(vec![step(4, 1_000)]));
    rig.run(SOON);
    assert_eq!(rig.starts_of(id), []);
    rig.is_list_down = false;
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(id).len(), 2);
}

/// Guards against an estimate of unused processors by an earlier capacity.
#[test]
fn a_best_effort_task_waits_for_the_processors_of_a_shrunk_worker() {
    let mut rig = one_worker();
    submit_long(&mut rig, 7, spec(vec![step(1, 2_000)]));
    rig.run(SOON);
    set_cpu(&mut rig, 0, 2_000);
    rig.run(SOON);
    let filling = submit_long(&mut rig, 8, best_effort(1_500));
    rig.run(SOON);
    assert_eq!(rig.starts_of(filling), []);
    set_cpu(&mut rig, 0, 4_000);
    rig.run(SOON);
    rig.assert_no_breach();
    assert_eq!(rig.starts_of(filling).len(), 1);
}
