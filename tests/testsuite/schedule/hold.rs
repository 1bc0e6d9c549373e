//! Random walks over the hold protocol: at most one process schedules a domain at a time, and a rescuer takes over only
//! after every lease of an exclusive task has ended.

use std::collections::BTreeMap;

use super::hold_model::{BrokenRule, Model};

const WALKS: u64 = 4_000;
const STEPS_PER_WALK: usize = 1_500;

/// Number of rare events in the walks, so that walks that exercise nothing are noticed.
#[derive(Debug, Default)]
struct Coverage {
    take_overs: BTreeMap<String, u64>,
    outage_confirmations: u64,
    hand_overs: u64,
}

fn run_walks(broken: BrokenRule, walks: u64) -> Result<Coverage, String> {
    let mut coverage = Coverage::default();
    for seed in 0..walks {
        let mut model = Model::new(seed, broken);
        for step in 0..STEPS_PER_WALK {
            let before = model.table_row();
            let result = model.step().and_then(|()| model.check_take_over(&before));
            result.map_err(|what| format!("seed {seed}, step {step}: {what}"))?;
        }
        for (class, count) in &model.take_overs {
            *coverage.take_overs.entry(format!("{class:?}")).or_default() += count;
        }
        coverage.outage_confirmations += model.outage_confirmations;
        coverage.hand_overs += model.hand_overs;
    }
    Ok(coverage)
}

/// Guards against two schedulers of one domain, under random orders of events.
#[test]
fn one_process_schedules_at_a_time() {
    let coverage = run_walks(BrokenRule::None, WALKS).unwrap();
    println!("{coverage:?}");
    assert_eq!(coverage.take_overs.len(), 3, "{coverage:?}");
    assert!(coverage.outage_confirmations > 100 && coverage.hand_overs > 100, "{coverage:?}");
}

/// Guards against walks that detect nothing: each rule that is broken on purpose must be detected.
#[test]
fn each_broken_rule_is_found() {
    for broken in [
        BrokenRule::ConfirmedAtReceipt,
        BrokenRule::ClaimCountedFromSend,
        BrokenRule::PromisesWithClaimInDoubt,
        BrokenRule::OnePromiseIsEnough,
        BrokenRule::TrustsHandOverAge,
        BrokenRule::HandOverOmitsWrite,
        BrokenRule::LeaseIgnoresRescuers,
    ] {
        let found = run_walks(broken, 3 * WALKS).expect_err(&format!("{broken:?} was not found"));
        println!("{broken:?}: {found}");
    }
}
