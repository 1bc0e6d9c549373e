//! Size of the owner's heartbeat.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use plantainlever::job::{JobId, JobState, JobTaskId, StepId};
use plantainlever::ops::jobs::accept::Submission;
use plantainlever::ops::jobs::heartbeat::{Heartbeat, MAX_PARTS};
use plantainlever::ops::jobs::layout::{self, HeartbeatRow};

use super::flow::{assert_no_breach, job, run, until, wait_for, wait_for_state};
use super::port::{World, start};
use crate::shard::rig::{Fleet, QUEUE, ROW_BYTES};

/// Guards against a shard without an owner: the heartbeat named more starts without an answer than fit into a row.
#[test]
fn starts_without_an_answer_do_not_make_the_heartbeat_larger_than_a_row() {
    run(async {
        const SMALL_ROW_BYTES: usize = 4_096;
        const DELAY: Duration = Duration::from_secs(4);
        let world = World::new(Fleet::new(30, 32_000));
        world.row_bytes.set(SMALL_ROW_BYTES);
        let nodes = [start(&world, "a"), start(&world, "b"), start(&world, "c")];
        wait_for("an owner", async || nodes.iter().any(|node| node.owned_shards() == 1)).await;
        for worker in world.fleet.borrow_mut().workers.values_mut() {
            worker.start_delay = Some(DELAY);
        }
        let id = JobId(7);
        world.fleet.borrow_mut().durations.insert(id, Duration::from_millis(500));
        assert_eq!(nodes[0].submit(id, QUEUE, job(600), until()).await, Submission::Accepted);
        let late = || world.fleet.borrow().workers.values().map(|w| w.late.len()).sum::<usize>();
        wait_for("starts without an answer", async || late() > 250).await;
        for worker in world.fleet.borrow_mut().workers.values_mut() {
            worker.renewal_delay = Some(DELAY);
        }
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            let owner = nodes.iter().find(|node| node.owned_shards() == 1);
            let owner = owner.expect("the shard has lost its owner");
            owner.port.is_cut.set(true);
            let is_next = |node: &&_| !Rc::ptr_eq(node, owner);
            wait_for("the next owner", async || {
                nodes.iter().filter(is_next).any(|node| node.owned_shards() == 1)
            })
            .await;
        }
        for worker in world.fleet.borrow_mut().workers.values_mut() {
            (worker.start_delay, worker.renewal_delay) = (None, None);
        }
        let last = nodes.iter().find(|node| !node.port.is_cut.get()).unwrap();
        wait_for_state(last, id, JobState::Completed).await;
        let sent = world.sent.borrow();
        let writes = sent.iter().flat_map(|commit| &commit.writes);
        let heartbeats = writes.filter(|(key, _)| key.key == layout::HEARTBEAT_KEY);
        let largest = heartbeats.map(|(_, value)| value.len()).max().unwrap_or(0);
        assert!(largest <= SMALL_ROW_BYTES, "a heartbeat has {largest} bytes");
        assert_no_breach(&world);
    });
}

/// Heartbeat of an owner that has heard nothing from its workers and has no answer to its starts.
fn heartbeat(workers: usize, starts: usize) -> HeartbeatRow {
    let name = |worker: usize| format!("rota-desk-windhoek-depot-{worker}");
    let task = |index: usize| {
        let job = JobId((index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        JobTaskId { step: StepId { job, occurrence: 0, step: 1 }, index: index as u16 }
    };
    let mut unanswered: Vec<String> = (0..starts).map(|index| task(index).to_string()).collect();
    unanswered.sort();
    HeartbeatRow {
        beat: 17,
        pending: BTreeMap::from([(QUEUE.to_owned(), 12)]),
        suspects: (0..workers).map(name).collect(),
        suspects_lapse_in_ms: 8_250,
        suspect_lapses_in_ms: (0..workers as u64).collect(),
        unknown_leases_ms: (0..workers).map(|worker| (name(worker), 10_500)).collect(),
        unanswered_starts: unanswered,
        ..HeartbeatRow::default()
    }
}

fn sizes(heartbeat: &Heartbeat) -> Vec<usize> {
    let parts = heartbeat.parts.iter().map(|part| serde_json::to_vec(part).unwrap().len());
    [serde_json::to_vec(&heartbeat.row).unwrap().len()].into_iter().chain(parts).collect()
}

/// Guards against a heartbeat that the store refuses, and against names that a successor does not get.
#[test]
fn a_heartbeat_of_any_size_fits_into_rows_and_keeps_its_names() {
    for (workers, starts) in [(0, 0), (66, 200), (490, 1_200), (490, 12_000), (1_336, 12_000)] {
        let whole = heartbeat(workers, starts);
        let divided = Heartbeat::divide(heartbeat(workers, starts), ROW_BYTES);
        let sizes = sizes(&divided);
        assert!(sizes.iter().all(|bytes| *bytes <= ROW_BYTES), "{sizes:?}");
        assert!(sizes.iter().sum::<usize>() * 4 / 3 < 900_000, "{sizes:?}");
        assert_eq!(divided.suspects().len(), workers);
        assert!(!divided.row.has_unnamed_starts);
        let Heartbeat { mut row, parts } = divided;
        assert_eq!(row.parts as usize, parts.len());
        parts.into_iter().for_each(|part| row.append(part));
        assert_eq!(row.unknown_leases_ms, whole.unknown_leases_ms);
        assert_eq!(row.unanswered_starts, whole.unanswered_starts);
        assert_eq!(row.suspects, whole.suspects);
        assert_eq!(row.suspect_lapses_in_ms, whole.suspect_lapses_in_ms);
    }
}

/// Guards against starts that a successor takes for answered, because even several rows could not name them.
#[test]
fn a_heartbeat_that_can_not_name_all_starts_says_so() {
    let divided = Heartbeat::divide(heartbeat(1_336, 40_000), ROW_BYTES);
    assert!(divided.row.has_unnamed_starts);
    assert!(sizes(&divided).iter().all(|bytes| *bytes <= ROW_BYTES));
    assert_eq!(divided.parts.len(), MAX_PARTS);
    let Heartbeat { mut row, parts } = divided;
    parts.into_iter().for_each(|part| row.append(part));
    assert_eq!(row.unknown_leases_ms.len(), 1_336);
}
