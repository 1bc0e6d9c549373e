//! Planned stops of entry processes and targets under load.

use std::time::Duration;

use plantainlever::platform::vms::{VmRole, VmState};
use plantainlever_test_support::caller::{AttemptOutcome, CallerPlan, Callers, summary};
use plantainlever_test_support::wait;

use super::rig::{
    BOOKING, MAX_WAIT, addresses, assert_guarantees, builder, running, submit, wait_succeeded,
};

/// Time after which a leaving target must receive no new requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(5);

fn plan() -> CallerPlan {
    CallerPlan { path: "/?sleep_ms=50".to_owned(), ..CallerPlan::posting_to(BOOKING) }
}

/// Guards against a rolling replacement of entry processes that breaks off requests or interrupts running tasks.
#[test]
fn a_rolling_replacement_interrupts_no_request_or_task() {
    let mut site = builder(&["north"]).start().unwrap();
    let callers = Callers::start(&plan(), &addresses(&site));
    let ids = submit(&site.entries()[0].client(), 8, 6_000);
    let client = site.entries()[1].client();
    wait::until_true("tasks run", MAX_WAIT, || running(&client, &ids) == 8, String::new);
    for index in 0..2 {
        site.start_entry("north").unwrap();
        callers.set_entries(&addresses(&site));
        site.entries()[index].process.terminate().unwrap();
        let status = site.entries_mut()[index].process.wait(MAX_WAIT).unwrap();
        assert_eq!(status.code(), Some(0), "{}", site.entries()[index].process.log().join("\n"));
    }
    let client = site.entries()[3].client();
    let tasks = wait_succeeded(&client, &ids);
    let records = callers.close();
    assert_guarantees(&site, &records);
    let cut = records.iter().flat_map(|record| &record.attempts);
    let cut = cut.filter(|attempt| attempt.outcome == AttemptOutcome::ConnectionFailed).count();
    assert_eq!(cut, 0, "{:?}", summary(&records));
    assert!(records.iter().all(|record| record.is_completed()), "{:?}", summary(&records));
    let attempts: Vec<u32> = tasks.iter().map(|task| task.attempt).collect();
    assert_eq!(attempts, vec![1; 8], "a hand-over must not interrupt tasks");
}

/// Guards against a leaving target that still receives requests because the VM list is out of date.
#[test]
fn a_leaving_target_receives_no_new_requests() {
    let site = builder(&["north"]).start().unwrap();
    let callers = Callers::start(&plan(), &addresses(&site));
    wait::until_true("requests run", MAX_WAIT, || callers.completed() > 20, String::new);
    site.vm_faults().set_lag(Duration::from_secs(30));
    let name = format!("{BOOKING}-north-1");
    site.vms().set_state(VmRole::Target, &name, VmState::Leaving);
    site.targets()[&name].set_leaving(true);
    let left = std::time::Instant::now();
    wait::holds_for("every request is completed", MAX_DRAIN_DELAY, || {
        let finished = callers.finished();
        callers.completed() >= finished
    });
    let refused = site.targets()[&name].refused();
    let before = callers.completed();
    wait::until_true("requests go on", MAX_WAIT, || callers.completed() > before + 50, String::new);
    assert_eq!(site.targets()[&name].refused(), refused, "work was sent after 5 s");
    let records = callers.close();
    assert_guarantees(&site, &records);
    assert!(records.iter().all(|record| record.is_completed()), "{:?}", summary(&records));
    assert!(left.elapsed() < MAX_WAIT);
}
