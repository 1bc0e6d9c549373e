//! Store outages, racing edits by operators, and frozen processes.

use std::time::{Duration, Instant};

use plantainlever::catalogue::Document;
use plantainlever::local::HistoryEvent;
use plantainlever::platform::worker::AttemptState;
use plantainlever_test_support::caller::{CallerPlan, Callers, summary};
use plantainlever_test_support::wait;

use super::rig::{
    BOOKING, MAX_WAIT, RECOMPUTE, addresses, assert_guarantees, builder, running, submit, tasks,
    wait_listed, wait_succeeded,
};

/// Maximum time until a change of the catalogue applies in every process.
const MAX_PROPAGATION: Duration = Duration::from_secs(7);

/// Longer than a task lease, so that running tasks need renewals while the store is down.
const OUTAGE_DURATION: Duration = Duration::from_secs(20);

fn is_interruption(event: &HistoryEvent) -> bool {
    matches!(event, HistoryEvent::AttemptEnded { state, .. } if *state != AttemptState::Succeeded)
}

/// Guards against requests that fail, or running tasks that are interrupted, because the store is down.
#[test]
fn requests_and_tasks_continue_while_the_store_is_down() {
    let site = builder(&["north", "coast"]).start().unwrap();
    let client = site.entries()[0].client();
    let ids = submit(&client, 6, 30_000);
    wait::until_true("tasks run", MAX_WAIT, || running(&client, &ids) == 6, String::new);
    let callers = Callers::start(&CallerPlan::posting_to(BOOKING), &addresses(&site));
    // Promises can confirm a hold only once its lists name the other processes.
    wait_listed(&site, "north");
    wait_listed(&site, "coast");
    site.table_faults().set_down(true);
    let before = callers.completed();
    wait::holds_for("no attempt is interrupted", OUTAGE_DURATION, || {
        let history = site.history().snapshot();
        !history.iter().any(|(_, event)| is_interruption(event))
    });
    let during = callers.completed() - before;
    site.table_faults().set_down(false);
    let tasks = wait_succeeded(&client, &ids);
    let records = callers.close();
    assert_guarantees(&site, &records);
    assert!(during > 200, "{during} requests in {OUTAGE_DURATION:?}: {:?}", summary(&records));
    let attempts: Vec<u32> = tasks.iter().map(|task| task.attempt).collect();
    assert_eq!(attempts, vec![1; 6], "running tasks must survive the outage");
}

/// Guards against edits that are lost between racing operators, and changes that reach a process late or not at all.
#[test]
fn racing_edits_reach_every_process_within_seconds() {
    let mut site = builder(&["north", "coast"]).start().unwrap();
    let clients: Vec<_> = site.entries().iter().map(|entry| entry.client()).collect();
    site.table_faults().lose_answers(3);
    let mut accepted = 0;
    for round in 1..=8_u8 {
        let current = wait::until("the document is read", MAX_WAIT, || {
            match clients[0].document(RECOMPUTE) {
                Ok(Some(found)) => Ok(found),
                other => Err(format!("{other:?}")),
            }
        });
        let edit = |priority: u8| {
            let Document::Entry(mut entry) = current.document.clone() else { unreachable!() };
            entry.priority = priority;
            Document::Entry(entry)
        };
        let won: Vec<bool> = std::thread::scope(|scope| {
            let racing: Vec<_> = [(1, round), (3, round + 1)]
                .into_iter()
                .map(|(index, priority)| {
                    let client = &clients[index];
                    let document = edit(priority);
                    scope.spawn(move || {
                        client.put_document(RECOMPUTE, &document, current.revision).is_ok()
                    })
                })
                .collect();
            racing.into_iter().map(|edit| edit.join().unwrap()).collect()
        });
        assert!(won.iter().filter(|won| **won).count() <= 1, "both edits of one revision won");
        if won.iter().any(|won| *won) {
            accepted += 1;
            let since = Instant::now();
            wait::until("the change is everywhere", MAX_PROPAGATION, || {
                let seen = |client: &plantainlever::ops::client::Client| {
                    let found = client.document(RECOMPUTE).ok().flatten();
                    found.map_or(0, |found| found.revision)
                };
                let behind =
                    clients.iter().filter(|client| seen(client) <= current.revision).count();
                if behind == 0 {
                    Ok(())
                } else {
                    Err(format!("{behind} after {:?}", since.elapsed()))
                }
            });
        }
    }
    assert!(accepted >= 4, "{accepted} of 8 races had a winner");
    let last = clients[0].document(RECOMPUTE).unwrap().unwrap();
    let fresh = site.start_entry("north").unwrap().client();
    wait::until("a new process has the newest revision", MAX_PROPAGATION, || {
        match fresh.document(RECOMPUTE) {
            Ok(Some(found)) if found == last => Ok(()),
            other => Err(format!("{other:?}")),
        }
    });
    assert_guarantees(&site, &[]);
}

/// Guards against tasks that are lost or run twice when all entry processes of a domain freeze for longer than the hold
/// time, a rescuer moves the tasks to another domain, and the frozen processes resume.
#[test]
fn a_frozen_domain_is_rescued_and_resumes_without_a_double_run() {
    let site = builder(&["north", "coast"]).start().unwrap();
    let rescuer = site.entries_of("north").next().unwrap().client();
    let ids = submit(&site.entries_of("coast").next().unwrap().client(), 6, 12_000);
    wait::until_true("tasks run", MAX_WAIT, || running(&rescuer, &ids) == 6, String::new);
    // Without a named rescuer the take-over needs the force time.
    wait_listed(&site, "coast");
    for entry in site.entries_of("coast") {
        entry.process.pause().unwrap();
    }
    wait::until("the tasks run in the other domain", MAX_WAIT, || {
        let tasks = tasks(&rescuer, &ids)?;
        let moved = tasks.iter().filter(|task| task.domain == "north" && task.worker.is_some());
        match moved.count() {
            6 => Ok(()),
            count => Err(format!("{count} of 6: {tasks:?}")),
        }
    });
    for entry in site.entries_of("coast") {
        entry.process.resume().unwrap();
    }
    let done = wait_succeeded(&rescuer, &ids);
    assert!(done.iter().all(|task| task.attempt == 2), "each resumes once: {done:?}");
    assert_guarantees(&site, &[]);
}
