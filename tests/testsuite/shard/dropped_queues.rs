//! Jobs whose queue the operators drop, rename or change while they run.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobSpec, JobState, StepSpec};
use plantainlever::shard::report::EndCause;
use plantainlever::shard::{ConfiguredQueues, JobQueue, QueueAddress, QueuePolicy};

use super::rig::{Fleet, QUEUE, Rig, policy, spec, step};

/// Time until a job with an unlimited number of starts has had more than the tests allow.
const LONG: Duration = Duration::from_secs(4);

fn no_queues() -> BTreeMap<String, QueuePolicy> {
    BTreeMap::new()
}

fn queue_with(policy: QueuePolicy) -> BTreeMap<String, QueuePolicy> {
    BTreeMap::from([(QUEUE.to_owned(), policy)])
}

fn two_steps() -> Rc<JobSpec> {
    let second = StepSpec { after: vec![0], ..step(4, 1_000) };
    spec(vec![step(4, 1_000), second])
}

/// A job of one task that runs until the test ends it.
fn submit_long_task(rig: &mut Rig) -> JobId {
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(id, Duration::from_secs(600));
    id
}

/// Ends all runs as failed, and lets the owner read the ends.
fn fail_runs(rig: &mut Rig) {
    for worker in rig.fleet.workers.values_mut() {
        for task in worker.runs.keys().copied().collect::<Vec<_>>() {
            worker.end(task, EndCause::Failed);
        }
    }
    rig.run(Duration::from_millis(400));
}

/// Guards against an accepted job that stands still once a config has dropped its queue.
#[test]
fn a_job_completes_after_its_queue_was_dropped() {
    let mut rig = Rig::new(Fleet::new(4, 4_000));
    let id = rig.submit(7, two_steps());
    rig.run(Duration::from_millis(80));
    assert_eq!(rig.starts_of(id).len(), 4);
    rig.configure(no_queues());
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    rig.assert_no_breach();
}

/// Guards against the same with a new owner, which has never read the config that had the queue.
#[test]
fn a_successor_that_never_had_the_queue_completes_its_jobs() {
    let mut rig = Rig::new(Fleet::new(4, 4_000));
    let id = rig.submit(7, two_steps());
    rig.run(Duration::from_millis(80));
    rig.configure(no_queues());
    let now = rig.fleet.now;
    rig.take_over(now + Duration::from_secs(1));
    rig.run(Duration::from_secs(3));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
    rig.assert_no_breach();
}

/// Guards against a start after the last allowed failure: the queue was away when the run failed, and came back.
#[test]
fn no_run_starts_after_the_last_attempt_failed_while_the_queue_was_dropped() {
    for has_successor in [false, true] {
        let mut rig = Rig::new(Fleet::new(6, 4_000));
        let id = submit_long_task(&mut rig);
        rig.run(Duration::from_millis(200));
        for _ in 0..2 {
            fail_runs(&mut rig);
        }
        assert_eq!(rig.starts_of(id).len(), 3);
        rig.configure(no_queues());
        fail_runs(&mut rig);
        rig.configure(queue_with(policy()));
        if has_successor {
            let now = rig.fleet.now;
            rig.take_over(now + Duration::from_secs(1));
        }
        rig.run(LONG);
        assert_eq!(rig.starts_of(id).len(), 3, "successor: {has_successor}");
        assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    }
}

/// Guards against a job that fails before, or starts after, as many failures as were allowed when it was accepted: two
/// owners with different configs would count up to different limits.
#[test]
fn the_attempts_of_a_job_stay_as_they_were_when_it_was_accepted() {
    for attempts in [1, 2, 9] {
        let mut rig = Rig::new(Fleet::new(12, 4_000));
        let id = submit_long_task(&mut rig);
        rig.run(Duration::from_millis(200));
        rig.configure(queue_with(QueuePolicy { attempts, ..policy() }));
        for _ in 0..5 {
            fail_runs(&mut rig);
        }
        assert_eq!(rig.starts_of(id).len(), 3, "attempts: {attempts}");
        assert_eq!(rig.stored_state(id), Some(JobState::Failed));
    }
}

/// Guards against a failed job that a successor starts again: its predecessor stored the last failure, but not the end
/// of the job.
#[test]
fn a_successor_starts_no_task_whose_last_failure_is_stored() {
    let mut rig = Rig::new(Fleet::new(6, 4_000));
    let id = submit_long_task(&mut rig);
    rig.run(Duration::from_millis(200));
    let row = br#"{"s":"running","n":1,"o":{"0":{"t":["r"],"f":[[0,0,1],[0,0,2],[0,0,3]]}}}"#;
    rig.store.rows.insert(id, row.to_vec());
    let now = rig.fleet.now;
    rig.take_over(now + Duration::from_secs(1));
    rig.run(LONG);
    assert_eq!(rig.starts_of(id).len(), 1);
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
}

/// Guards against a job of a row without settings, written by an earlier version, that is lost or started without a
/// service: it waits for its queue, and its failures meanwhile count.
#[test]
fn a_job_stored_without_settings_waits_for_its_queue() {
    let mut rig = Rig::new(Fleet::new(4, 4_000));
    rig.job_queue = JobQueue::named(QUEUE);
    rig.configure(no_queues());
    let id = rig.submit(7, two_steps());
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.starts_of(id).len(), 0);
    assert_eq!(rig.owner.load(rig.fleet.now).unreachable_jobs, 1);
    rig.configure(queue_with(policy()));
    rig.run(Duration::from_millis(100));
    assert_eq!(rig.starts_of(id).len(), 4);
    assert_eq!(rig.owner.load(rig.fleet.now).unreachable_jobs, 0);
    // From here on its settings are known.
    rig.configure(no_queues());
    rig.run(Duration::from_secs(2));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
}

/// Guards against a start after the last allowed failure of a job without settings: the limit was unknown when it
/// failed.
#[test]
fn the_failures_of_a_job_stored_without_settings_count_once_its_queue_is_back() {
    let mut rig = Rig::new(Fleet::new(8, 4_000));
    rig.job_queue = JobQueue::named(QUEUE);
    let id = submit_long_task(&mut rig);
    rig.run(Duration::from_millis(200));
    for _ in 0..2 {
        fail_runs(&mut rig);
    }
    assert_eq!(rig.starts_of(id).len(), 3);
    rig.configure(no_queues());
    let now = rig.fleet.now;
    rig.take_over(now + Duration::from_secs(1));
    rig.run(Duration::from_millis(400));
    fail_runs(&mut rig);
    assert_eq!(rig.stored_state(id), Some(JobState::Running));
    rig.configure(queue_with(policy()));
    rig.run(LONG);
    assert_eq!(rig.starts_of(id).len(), 3);
    assert_eq!(rig.stored_state(id), Some(JobState::Failed));
}

/// Guards against jobs that lose their precedence over other work once their queue is dropped.
#[test]
fn jobs_of_a_dropped_queue_keep_their_priority() {
    let mut rig = Rig::new(Fleet::new(1, 1_000));
    let long = rig.submit(1, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(long, Duration::from_secs(1));
    rig.run(Duration::from_millis(200));
    let urgent = QueuePolicy { priority: 0, ..policy() };
    rig.configure(BTreeMap::from([
        (QUEUE.to_owned(), policy()),
        ("urgent".to_owned(), urgent.clone()),
    ]));
    let usual: Vec<JobId> = (10..20).map(|id| rig.submit(id, spec(vec![step(1, 1_000)]))).collect();
    rig.job_queue = JobQueue { policy: Some(urgent), ..JobQueue::named("urgent") };
    rig.configure(queue_with(policy()));
    let first = rig.submit(30, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_secs(3));
    let order: Vec<JobId> = rig.fleet.starts.iter().map(|(task, ..)| task.step.job).collect();
    assert_eq!(order[..2], [long, first]);
    assert_eq!(order.len(), 2 + usual.len());
}

/// Guards against callers that are told of no waiting jobs after a config has given another name to their queue, and
/// against jobs that change the service because another queue took the name of theirs.
#[test]
fn a_queue_is_counted_by_its_address_and_keeps_its_jobs() {
    let address = |prefix: &str| QueueAddress { host: "h".to_owned(), prefix: prefix.to_owned() };
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    rig.job_queue.address = Some(address("/a/"));
    rig.owner.allow_starts(false);
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    let rename = |names: &[(&str, &str)], policies: &[(&str, &str)]| ConfiguredQueues {
        policies: policies
            .iter()
            .map(|(name, service)| {
                ((*name).to_owned(), QueuePolicy { service: (*service).to_owned(), ..policy() })
            })
            .collect(),
        names: names.iter().map(|(prefix, name)| (address(prefix), (*name).to_owned())).collect(),
    };
    let pending = |rig: &Rig| rig.owner.pending().into_iter().collect::<Vec<_>>();
    assert_eq!(pending(&rig), [(QUEUE.to_owned(), 1)]);
    rig.owner.on_queues(rename(&[("/a/", "new")], &[("new", "elsewhere")]));
    assert_eq!(pending(&rig), [("new".to_owned(), 1)]);
    assert_eq!(rig.owner.load(rig.fleet.now).unreachable_jobs, 0);
    let swapped = [("/a/", "new"), ("/b/", QUEUE)];
    rig.owner.on_queues(rename(&swapped, &[("new", "elsewhere"), (QUEUE, "elsewhere")]));
    assert_eq!(pending(&rig), [("new".to_owned(), 1)]);
    rig.owner.allow_starts(true);
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
}

/// Guards against jobs that wait for a pool that operators have replaced: while its queue is configured, a job follows
/// the queue to another service.
#[test]
fn a_job_follows_its_queue_to_another_service() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    rig.configure(queue_with(QueuePolicy { service: "empty".to_owned(), ..policy() }));
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.run(Duration::from_millis(400));
    assert_eq!(rig.starts_of(id).len(), 0);
    rig.configure(queue_with(policy()));
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.stored_state(id), Some(JobState::Completed));
}
