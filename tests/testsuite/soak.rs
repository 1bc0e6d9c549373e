//! Short runs of the soak: seeds that once failed, and one more. By hand and with fresh seeds: see CONTRIBUTING.md.

use std::path::Path;
use std::time::Duration;

use plantainlever_test_support::soak;

fn keeps_its_promises(seed: u64, length: Duration) {
    let binary = Path::new(env!("CARGO_BIN_EXE_plantainlever"));
    let report = soak::run(binary, seed, length).unwrap();
    let story = [report.faults.as_slice(), report.logs.as_slice()].concat().join("\n");
    assert_eq!(report.breaches, Vec::<String>::new(), "seed {seed}:\n{story}");
    assert!(report.accepted > 0 && report.starts > 0, "{report:?}");
}

/// Seed 3: ends of a worker's earlier incarnation, stored after it had started anew, acknowledged the first ends of the
/// next one.
#[test]
fn seed_3_keeps_its_promises() {
    keeps_its_promises(3, Duration::from_secs(15));
}

/// Never failed: a short run for each change.
#[test]
fn a_short_soak_keeps_its_promises() {
    keeps_its_promises(1, Duration::from_secs(6));
}
