//! Requests and tasks at the same time, while a domain is evacuated and returns, and entry processes crash and freeze.

use plantainlever::domain::DomainState;
use plantainlever_test_support::caller::{CallerPlan, Callers, summary};
use plantainlever_test_support::wait;

use super::rig::{
    BOOKING, MAX_WAIT, accepted, addresses, assert_guarantees, builder, running, scheduler_of,
    submit, tasks, wait_succeeded,
};

/// Guards against tasks and requests that are lost, run twice or run in the wrong place under several faults in one
/// run.
#[test]
fn a_domain_is_evacuated_and_returns_while_processes_crash_and_freeze() {
    let mut site = builder(&["north", "pass", "coast"]).start().unwrap();
    let operator = site.entries()[0].client();
    let callers = Callers::start(&CallerPlan::posting_to(BOOKING), &addresses(&site));
    let mut ids = submit(&site.entries()[2].client(), 20, 3_000);
    ids.extend(submit(&operator, 20, 3_000));
    wait::until_true(
        "tasks run",
        MAX_WAIT,
        || running(&operator, &ids) > 10,
        || format!("{:?}", tasks(&operator, &ids)),
    );

    accepted("pass is taken out", || operator.set_domain("pass", DomainState::Out));
    wait::until("pass is empty", MAX_WAIT, || {
        let left = tasks(&operator, &ids)?;
        let left = left.iter().filter(|task| task.domain == "pass" && task.worker.is_some());
        match left.count() {
            0 => Ok(()),
            count => Err(format!("{count} tasks run there")),
        }
    });

    let scheduler = scheduler_of(&operator, "coast").unwrap();
    let frozen = site.entries_of("coast").find(|entry| entry.process.process() == scheduler);
    let frozen = frozen.unwrap().process.pid();
    let is_frozen =
        |entry: &&plantainlever_test_support::site::SiteEntry| entry.process.pid() == frozen;
    site.entries().iter().find(is_frozen).unwrap().process.pause().unwrap();
    wait::until_true(
        "a successor schedules coast",
        MAX_WAIT,
        || scheduler_of(&operator, "coast").is_some_and(|now| now != scheduler),
        || format!("{:?}", scheduler_of(&operator, "coast")),
    );
    site.entries().iter().find(is_frozen).unwrap().process.resume().unwrap();

    site.entries()[1].process.kill().unwrap();
    accepted("pass is taken in", || operator.set_domain("pass", DomainState::In));
    site.start_entry("north").unwrap();

    wait_succeeded(&operator, &ids);
    let before = callers.completed();
    wait::until_true(
        "requests go on",
        MAX_WAIT,
        || callers.completed() > before + 50,
        || callers.completed().to_string(),
    );
    let records = callers.close();
    assert_guarantees(&site, &records);
    let completed = records.iter().filter(|record| record.is_completed()).count();
    assert!(completed * 10 >= records.len() * 9, "{:?}", summary(&records));
}
