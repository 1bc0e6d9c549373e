//! Services' tails and batch throughput: the policy against an oracle, static separation and blind placement.

use plantainlever_test_support::model::colocation::{self, Policy};

/// Seeds of the compared runs.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Length of a run in seconds.
const RUN_S: u64 = 3000;

fn main() {
    println!(
        "seed policy            work_core_s  vs_oracle vs_static above_target late_seconds throttles evictions"
    );
    for seed in SEEDS {
        let oracle = colocation::run(Policy::Oracle, seed, RUN_S);
        let separated = colocation::run(Policy::StaticSeparation, seed, RUN_S);
        for policy in [Policy::Learned, Policy::Oracle, Policy::StaticSeparation, Policy::Blind] {
            let figures = colocation::run(policy, seed, RUN_S);
            println!(
                "{seed:4} {:17} {:12.0} {:10.3} {:9.3} {:12.5} {:12.4} {:9} {:9}",
                format!("{policy:?}"),
                figures.work,
                figures.work / oracle.work,
                figures.work / separated.work,
                figures.above_target,
                figures.late_seconds,
                figures.throttles,
                figures.evictions,
            );
            if policy == Policy::Learned {
                assert!(figures.above_target <= 0.01, "a service's p99 is above its target");
                assert!(figures.work >= 0.9 * oracle.work, "below 90% of the oracle");
                assert!(figures.work >= 1.5 * separated.work, "below 1.5 times separation");
            }
        }
    }
}
