//! Tail latency of the routing policy and of random choice, with one executor of 65 that is 5 times slower.
//!
//! The policy must beat a baseline that chooses at random among all executors. Random choice among the executors with a
//! free slot is printed for comparison only: its 8 slots limit the slow executor to about 1% of the requests, so the
//! 99th percentile hardly differs from that of the policy.

// Each benchmark uses a part of the model.
#[allow(dead_code)]
mod model;

use std::process::ExitCode;

use model::{Choice, route, routing_arrivals};

fn main() -> ExitCode {
    let mut met = true;
    for load in [0.2, 0.6] {
        let arrivals = routing_arrivals(load, 200_000);
        let fault_free = route(&arrivals, 65, 1, Choice::Policy);
        let slow = route(&arrivals, 65, 5, Choice::Policy);
        let random = route(&arrivals, 65, 5, Choice::Random);
        let random_free = route(&arrivals, 65, 5, Choice::RandomFree);
        let loss = slow.p99_us as f64 / fault_free.p99_us as f64;
        let gain = random.p99_us as f64 / slow.p99_us as f64;
        let gain_free = random_free.p99_us as f64 / slow.p99_us as f64;
        println!("load {load}");
        println!("  p99 fault-free        {} us", fault_free.p99_us);
        println!("  p99 one slow          {} us ({loss:.2} times, at most 1.3)", slow.p99_us);
        println!("  p99 random            {} us ({gain:.2} times, at least 2)", random.p99_us);
        println!("  p99 random free slot  {} us ({gain_free:.2} times)", random_free.p99_us);
        println!("  most in flight        {} (at most 8)", slow.most_in_flight);
        met &= loss <= 1.3 && gain >= 2.0 && slow.most_in_flight <= 8;
    }
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
