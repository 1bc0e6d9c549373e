//! Tail latency of services and throughput of batch work: the learned policy compared with an oracle, static separation
//! and placement without regard to interference.

use plantainlever_test_support::model::colocation::{self, Policy};

/// Seeds of the workloads; every policy runs with each.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Simulated time of one run in seconds.
const RUN_DURATION_S: u64 = 3000;

fn main() {
    println!(
        "seed policy            work_core_s  vs_oracle vs_static above_target late_seconds throttles evictions"
    );
    for seed in SEEDS {
        let oracle = colocation::run(Policy::Oracle, seed, RUN_DURATION_S);
        let separated = colocation::run(Policy::StaticSeparation, seed, RUN_DURATION_S);
        for policy in [Policy::Learned, Policy::Oracle, Policy::StaticSeparation, Policy::Blind] {
            let figures = colocation::run(policy, seed, RUN_DURATION_S);
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
