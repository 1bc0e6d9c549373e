//! Short runs of the soak test with fixed seeds: those that once failed, and one more. CONTRIBUTING.md describes longer
//! runs with random seeds.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use plantainlever_test_support::soak::{self, OptionalFaults, Report};

/// Held by a running soak: while a process of it is down, another soak could be given its port.
static RUNNING: Mutex<()> = Mutex::new(());

fn assert_no_breaches(seed: u64, optional_faults: OptionalFaults, fault_time: Duration) -> Report {
    let binary = Path::new(env!("CARGO_BIN_EXE_plantainlever"));
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let report = soak::run(binary, seed, optional_faults, fault_time).unwrap();
    let details = [report.faults.as_slice(), report.logs.as_slice()].concat().join("\n");
    assert_eq!(report.breaches, Vec::<String>::new(), "seed {seed}:\n{details}");
    assert!(report.accepted > 0 && report.starts > 0, "{report:?}");
    report
}

/// Guards against a shard owner that stores run ends of a worker's previous incarnation after the worker has restarted,
/// and thereby acknowledges the first ends of the next incarnation.
#[test]
fn soak_with_seed_3_has_no_breaches() {
    assert_no_breaches(3, OptionalFaults::NONE, Duration::from_secs(15));
}

/// Guards against a process that goes on by an old configuration while it can't read the store.
#[test]
fn soak_with_seed_1000_has_no_breaches() {
    assert_no_breaches(1000, OptionalFaults::NONE, Duration::from_secs(20));
}

/// Short run with a seed that has never failed.
#[test]
fn short_soak_has_no_breaches() {
    assert_no_breaches(1, OptionalFaults::NONE, Duration::from_secs(6));
}

/// Guards against a task that goes on crashing workers, a job that fails for its neighbours, and starts over a capacity
/// that has shrunk.
#[test]
fn soak_with_crashing_tasks_and_changing_capacities_has_no_breaches() {
    let report = assert_no_breaches(60, OptionalFaults::TASKS_AND_WORKERS, Duration::from_secs(15));
    assert!(report.crashes > 0, "{report:?}");
}

/// Guards against tasks that run twice after the owner was cut off with some workers, and against a wide job that stops
/// its shard.
#[test]
fn soak_with_a_cut_off_owner_and_wide_jobs_has_no_breaches() {
    let report = assert_no_breaches(70, OptionalFaults::OWNER_AND_ROWS, Duration::from_secs(20));
    // Two wide jobs of 600 tasks each.
    assert!(report.starts > 1_200, "{report:?}");
}

/// Guards against processes that run out of memory, and against leases that are not renewed in time, while crowds of
/// clients hold back the end of their requests.
#[test]
fn soak_with_crowds_has_no_breaches() {
    let optional_faults = OptionalFaults { crowds: true, ..OptionalFaults::NONE };
    let report = assert_no_breaches(4100, optional_faults, Duration::from_secs(15));
    assert!(report.faults.iter().any(|fault| fault.contains("connections, ")), "{report:?}");
}

/// Guards against tasks that run twice, or no longer run, after changes of the owner in a row, some of them while a
/// failure domain is cut off.
#[test]
fn soak_with_a_chain_of_owners_has_no_breaches() {
    let optional_faults = OptionalFaults { owner_chain: true, ..OptionalFaults::NONE };
    let report = assert_no_breaches(9102, optional_faults, Duration::from_secs(30));
    let changes = report.faults.iter().filter(|fault| fault.contains("the owner, process"));
    assert!(changes.count() >= 3, "{report:?}");
}
