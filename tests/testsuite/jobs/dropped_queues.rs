//! Jobs whose route the operators drop or rename, in several processes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;

use plantainlever::job::{JobId, JobSpec, JobState, StepSpec};
use plantainlever::ops::jobs::accept::{Lookup, Submission};
use plantainlever::ops::jobs::{OperatorConfig, Route, layout};
use plantainlever::port::{Commit, CommitOutcome};
use plantainlever::shard::ShardId;

use super::flow::{assert_no_breach, job, run, until, wait_for, wait_for_state};
use super::port::{World, start};
use crate::shard::rig::{Fleet, QUEUE, listing, policy, spec, step};

/// Returns a config with a route from one prefix to a queue, or without routes.
fn config(version: u64, queue: Option<&str>) -> OperatorConfig {
    let route = |queue: &str| Route {
        host: "host".to_owned(),
        prefix: "/prefix/".to_owned(),
        queue: queue.to_owned(),
    };
    OperatorConfig {
        version,
        routes: queue.map(route).into_iter().collect(),
        queues: queue.map(|queue| (queue.to_owned(), policy())).into_iter().collect(),
        ..OperatorConfig::default()
    }
}

/// Guards against accepted work that is lost with the config of its queue: the process that knew it is cut off, and its
/// successor has only read the config without the queue.
#[test]
fn a_process_that_never_had_the_queue_completes_its_jobs() {
    run(async {
        let world = World::new(Fleet::new(3, 4_000));
        let a = start(&world, "a");
        let id = JobId(7);
        world.fleet.borrow_mut().durations.insert(id, Duration::from_millis(1_500));
        let second = StepSpec { after: vec![0], ..step(2, 1_000) };
        let two_steps = Rc::unwrap_or_clone(spec(vec![step(2, 1_000), second]));
        assert_eq!(a.submit(id, QUEUE, two_steps, until()).await, Submission::Accepted);
        wait_for("the first step", async || world.fleet.borrow().starts.len() == 2).await;
        a.replace_operator_config(config(2, None));
        a.port.is_cut.set(true);
        let b = start(&world, "b");
        b.replace_operator_config(config(2, None));
        wait_for_state(&b, id, JobState::Completed).await;
        assert_eq!(world.fleet.borrow().starts.len(), 4);
        assert_no_breach(&world);
    });
}

/// Guards against callers who lose their jobs, or run them twice, when operators give another name to the route.
#[test]
fn callers_reach_their_jobs_under_the_new_name_of_the_route() {
    run(async {
        let world = World::new(Fleet::new(0, 0));
        let node = start(&world, "a");
        node.replace_operator_config(config(2, Some(QUEUE)));
        let (kept, cancelled) = (JobId(7), JobId(8));
        for id in [kept, cancelled] {
            assert_eq!(node.submit(id, QUEUE, job(1), until()).await, Submission::Accepted);
        }
        let is_pending = async |queue: &str, count| {
            wait_for("a number of waiting jobs", async || {
                node.pending(queue, until()).await == Lookup::Found(count)
            })
            .await;
        };
        is_pending(QUEUE, 2).await;
        node.replace_operator_config(config(3, Some("renamed")));
        is_pending("renamed", 2).await;
        assert_eq!(node.job_state(kept, until()).await, Lookup::Found(JobState::Queued));
        assert_eq!(node.submit(kept, "renamed", job(1), until()).await, Submission::Accepted);
        assert_eq!(node.cancel(cancelled, until()).await, Lookup::Found(()));
        is_pending("renamed", 1).await;
        world.fleet.borrow_mut().add(listing(0, 4_000));
        wait_for_state(&node, kept, JobState::Completed).await;
        wait_for_state(&node, cancelled, JobState::Cancelled).await;
        assert_eq!(node.submit(kept, "renamed", job(1), until()).await, Submission::Accepted);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(world.fleet.borrow().starts.len(), 1);
    });
}

/// Guards against jobs that nobody can cancel because their route is gone.
#[test]
fn a_job_of_a_dropped_route_can_be_cancelled() {
    run(async {
        let world = World::new(Fleet::new(1, 4_000));
        let node = start(&world, "a");
        let id = JobId(7);
        world.fleet.borrow_mut().durations.insert(id, Duration::from_secs(60));
        assert_eq!(node.submit(id, QUEUE, job(1), until()).await, Submission::Accepted);
        wait_for_state(&node, id, JobState::Running).await;
        node.replace_operator_config(config(2, None));
        assert_eq!(node.cancel(id, until()).await, Lookup::Found(()));
        wait_for_state(&node, id, JobState::Cancelled).await;
    });
}

/// Row of an accepted job, as the version before the settings of the queue were stored has it.
#[derive(Debug, Deserialize)]
struct EarlierJob {
    queue: String,
    accepted_unix_ms: u64,
    spec: JobSpec,
}

/// Guards against jobs that are lost while processes of two versions run side by side.
#[test]
fn rows_of_this_version_and_of_the_one_before_can_be_read_by_both() {
    run(async {
        let world = World::new(Fleet::new(0, 0));
        let node = start(&world, "a");
        node.replace_operator_config(config(2, Some(QUEUE)));
        let (new, earlier) = (JobId(7), JobId(8));
        assert_eq!(node.submit(new, QUEUE, job(1), until()).await, Submission::Accepted);
        let row = world.value(&layout::jobs_table(ShardId(0)), &new.to_string()).unwrap();
        let read: EarlierJob = serde_json::from_slice(&row).unwrap();
        assert_eq!((read.queue.as_str(), &read.spec), (QUEUE, &job(1)));
        let fields = BTreeMap::from([
            ("queue", serde_json::json!(read.queue)),
            ("accepted_unix_ms", serde_json::json!(read.accepted_unix_ms)),
            ("spec", serde_json::json!(read.spec)),
        ]);
        let commit = Commit {
            partition: layout::job_partition(ShardId(0), earlier),
            writes: vec![(
                layout::job_row(ShardId(0), earlier),
                serde_json::to_vec(&fields).unwrap(),
            )],
            ..Commit::default()
        };
        assert!(matches!(world.apply(&commit), CommitOutcome::Applied { .. }));
        world.fleet.borrow_mut().add(listing(0, 4_000));
        for id in [new, earlier] {
            wait_for_state(&node, id, JobState::Completed).await;
        }
    });
}
