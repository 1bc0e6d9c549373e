//! An owner whose processor is too slow for its work, in controlled time: each command and each answer advances the clock
//! by what it costs.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobSpec};
use plantainlever::ops::jobs::layout::{self, HeartbeatRow, StoredJob};
use plantainlever::port::Commit;
use plantainlever::shard::ShardId;
use plantainlever::shard::scheduler::Timing;
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::process::{Process, START_UNIX_MS, URGENT_QUEUE};
use super::random::Random;
use super::workers::Workers;
use super::world::World;
use crate::shard::rig::{QUEUE, step};

const WORKERS: u32 = 40;
const WORKER_CPU_MILLIS: u64 = 8_000;
/// Processor time of a command or of its answer, of which the owner can just process as many as the jobs need.
const CALL_COST: Duration = Duration::from_micros(500);
const TIMING: Timing = Timing {
    lease: Duration::from_secs(5),
    max_lease: Duration::from_secs(6),
    kill_time: Duration::from_millis(400),
    throttle_delay: Duration::from_millis(100),
};
/// Time from the first job to the last.
const LENGTH: Duration = Duration::from_secs(15);
/// Longest time until an urgent job begins: the fixed part of its objective.
const URGENT_START: Duration = Duration::from_millis(500);

fn submit(world: &World, queue: &str, id: u64, tasks: u32, length: Duration) {
    let id = JobId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let spec =
        JobSpec { payload: "payload".to_owned(), steps: vec![step(tasks, 1_000)], schedule: None };
    world.workers.borrow_mut().lengths.insert(id, Some(length));
    let accepted_unix_ms = START_UNIX_MS + world.now().as_millis() as u64;
    let queue = queue.to_owned();
    let stored = StoredJob { queue, address: None, policy: None, accepted_unix_ms, spec };
    let shard = ShardId(0);
    let key = layout::job_row(shard, id);
    let commit = Commit {
        partition: layout::job_partition(shard, id),
        expected: vec![(key.clone(), 0)],
        writes: vec![(key, serde_json::to_vec(&stored).unwrap())],
        ..Commit::default()
    };
    world.apply("caller", &commit);
}

/// What callers and a successor see of an owner.
#[derive(Debug, Default)]
struct Outcome {
    /// Times from the submission of the urgent jobs to their first starts; `None` for a job that never began.
    urgent_starts: Vec<Option<Duration>>,
    /// Workers that a heartbeat has named as silent.
    silent: BTreeSet<String>,
    claims: usize,
    started: usize,
}

/// Runs the same jobs with an owner on which each command costs `slowdown` times [`CALL_COST`].
fn play(slowdown: u32) -> Outcome {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let tasks = Rc::new(LocalSet::new());
    tasks.block_on(&runtime.unwrap(), async {
        let workers = Workers::new(WORKERS, WORKER_CPU_MILLIS, TIMING, Random::new(1));
        let world = World::new(&tasks, workers, Random::new(2));
        world.is_calm.set(true);
        let _process = Process::start(&world, "p0", TIMING);
        sleep(Duration::from_secs(5)).await;
        world.call_cost.set(CALL_COST * slowdown);
        let began = world.now();
        let mut outcome = Outcome::default();
        let mut urgent = Vec::new();
        let mut number = 0;
        while world.now() < began + LENGTH {
            number += 1;
            submit(&world, QUEUE, number, 40, Duration::from_millis(400));
            if number % 5 == 0 {
                number += 1;
                submit(&world, URGENT_QUEUE, number, 3, Duration::from_millis(200));
                let id = JobId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                urgent.push((id, world.now()));
            }
            sleep(Duration::from_millis(100)).await;
            let owners = world.read(layout::OWNERS_TABLE, &layout::shard_partition(ShardId(0)));
            let heartbeat = owners.rows.iter().find(|row| row.id.key == layout::HEARTBEAT_KEY);
            let heartbeat: HeartbeatRow =
                serde_json::from_slice(heartbeat.unwrap().value.as_ref().unwrap()).unwrap();
            outcome.silent.extend(heartbeat.suspects);
        }
        sleep(Duration::from_secs(3)).await;
        let workers = world.workers.borrow();
        for (id, submitted) in urgent {
            let starts = workers.records.iter().filter(|run| run.task.step.job == id);
            let first = starts.map(|run| run.started - submitted).min();
            outcome.urgent_starts.push(first);
        }
        outcome.claims = world.claims();
        outcome.started = workers.records.len();
        outcome
    })
}

/// Guards against urgent jobs that start late behind others, and against workers that count as silent because the owner is
/// late itself.
#[test]
fn a_slow_owner_starts_urgent_jobs_in_time_and_takes_no_sound_worker_for_silent() {
    let outcomes = [1, 2, 3].map(play);
    for (slowdown, outcome) in (1..).zip(&outcomes) {
        println!("slowdown {slowdown}: {outcome:?}");
    }
    for (slowdown, outcome) in (1..).zip(outcomes) {
        assert_eq!(outcome.claims, 1);
        assert_eq!(outcome.silent, BTreeSet::new(), "slowdown {slowdown}");
        let is_late = |start: &&Option<Duration>| start.is_none_or(|start| start > URGENT_START);
        let late: Vec<_> = outcome.urgent_starts.iter().filter(is_late).collect();
        assert!(late.is_empty(), "slowdown {slowdown}: {late:?}");
    }
}
