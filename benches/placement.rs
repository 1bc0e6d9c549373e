//! Time of one placement by number of workers and of one pass over a queue of 10,000 tasks, and the start latency and
//! lost work of preemption.

use std::time::Duration;

use plantainlever_test_support::model::placement::{
    Situation, domain, median_cost, median_cost_without_index, queue_cost,
};
use plantainlever_test_support::model::urgent::{self, Preemption};

/// Numbers of workers: a small domain, the planned size, four times it, and all workers of the planned fleet in one
/// domain.
const WORKER_COUNTS: [usize; 4] = [10, 81, 325, 1300];

/// Limit of the time from the arrival of an urgent task on a full domain to its start.
const URGENT_LIMIT: Duration = Duration::from_millis(6300);

const REPETITIONS: usize = 2000;

/// Limit of the time of one placement with 81 workers and 600 running tasks.
const PLACEMENT_LIMIT: Duration = Duration::from_micros(200);

/// Limit of the time of one scheduler tick.
const TICK_LIMIT: Duration = Duration::from_millis(100);

fn main() {
    println!("workers situation      median_us");
    for workers in WORKER_COUNTS {
        for situation in [Situation::Room, Situation::NoResources, Situation::TailsAtLimit] {
            let cost = median_cost(&mut domain(workers), situation, REPETITIONS);
            println!(
                "{workers:7} {:13} {:10.1}",
                format!("{situation:?}"),
                cost.as_secs_f64() * 1e6
            );
            // The limit applies to the planned size only; the other sizes show the growth.
            assert!(workers != 81 || cost <= PLACEMENT_LIMIT, "{situation:?} took {cost:?}");
        }
        let repetitions = REPETITIONS / workers;
        let cost = median_cost_without_index(&domain(workers), repetitions.max(3));
        println!("{workers:7} WithoutIndex  {:10.1}", cost.as_secs_f64() * 1e6);
    }
    let cost = queue_cost(&domain(81), 10_000);
    println!("{cost:?}");
    for tick in [cost.cancellation_tick, cost.full_pass, cost.distinct_pass] {
        assert!(tick <= TICK_LIMIT, "a tick took {tick:?}");
    }
    assert_eq!(cost.started_after_cancel, 0);
    println!("seed preemption     arrived started slowest_s lost_core_s");
    for seed in [1, 2, 3] {
        for preemption in [Preemption::LeastLost, Preemption::YoungestFirst, Preemption::Off] {
            let figures = urgent::run(preemption, seed);
            println!(
                "{seed:4} {:14} {:7} {:7} {:9.2} {:11.0}",
                format!("{preemption:?}"),
                figures.arrived,
                figures.started,
                figures.slowest_start.as_secs_f64(),
                figures.lost,
            );
            if preemption == Preemption::LeastLost {
                assert_eq!(figures.started, figures.arrived);
                assert!(figures.slowest_start <= URGENT_LIMIT, "{figures:?}");
            }
        }
    }
}
