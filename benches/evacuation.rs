//! Work completed while a failure domain is evacuated and returns, and during faults with three rules for keeping the
//! hold of a domain.

use plantainlever_test_support::model::evacuation::{self, Evacuation};
use plantainlever_test_support::model::hold::{self, Fault, Holding};

fn main() {
    println!(
        "seed outage_s policy  work/allowed failed most_transfers gap_s services_left_s empty_s"
    );
    for seed in [1, 2, 3] {
        for (outage_s, policy) in runs() {
            let figures = evacuation::run(policy, outage_s, seed);
            let share = figures.work / figures.allowed;
            println!(
                "{seed:4} {outage_s:8} {:7} {:12.4} {:6} {:14} {:5} {:15} {:7}",
                format!("{policy:?}"),
                share,
                figures.failed_transfers,
                figures.most_transfers,
                figures.service_gap_s,
                figures.services_left_s,
                figures.empty_s,
            );
            if policy == Evacuation::Paced {
                assert!(share >= 0.95, "{figures:?}");
                assert_eq!((figures.failed_transfers, figures.service_gap_s), (0, 0));
            }
        }
    }
    compare_holds();
}

fn compare_holds() {
    println!("seed fault             holding    work/no_fault stopped");
    for seed in [1, 2, 3] {
        for fault in
            [Fault::StoreDown, Fault::StoreDownPeerLost, Fault::DomainCut, Fault::StorePathCut]
        {
            for holding in [Holding::TimeAlone, Holding::Claims, Holding::Promises] {
                let figures = hold::run(holding, fault, seed);
                let undisturbed = hold::run(holding, Fault::None, seed);
                println!(
                    "{seed:4} {:17} {:10} {:13.4} {:7}",
                    format!("{fault:?}"),
                    format!("{holding:?}"),
                    figures.work as f64 / undisturbed.work as f64,
                    figures.stopped,
                );
            }
        }
    }
}

/// Every policy with a long outage, and with one so short that evicted tasks still wait when the domain returns.
fn runs() -> impl Iterator<Item = (u64, Evacuation)> {
    let policies = [Evacuation::Paced, Evacuation::NoRamp, Evacuation::AtOnce];
    [600, 120].into_iter().flat_map(move |outage_s| policies.map(|policy| (outage_s, policy)))
}
