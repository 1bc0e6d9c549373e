//! Checks the bounds of the benches on smaller runs of the same model.

// Only the benches use the rest of the model.
#[allow(dead_code)]
#[path = "../../../benches/model.rs"]
mod model;

use model::{Choice, admit, arrivals, route, routing_arrivals};

/// Guards against a policy that keeps sending requests to a slow executor, or sends more than its slots hold.
#[test]
fn one_slow_executor_of_65_raises_p99_by_at_most_30_percent() {
    let arrivals = routing_arrivals(0.6, 60_000);
    let fault_free = route(&arrivals, 65, 1, Choice::Policy);
    let slow = route(&arrivals, 65, 5, Choice::Policy);
    let random = route(&arrivals, 65, 5, Choice::Random);
    assert!(slow.p99_us * 10 <= fault_free.p99_us * 13, "{} {}", slow.p99_us, fault_free.p99_us);
    assert!(random.p99_us >= slow.p99_us * 2, "{} {}", random.p99_us, slow.p99_us);
    assert!(slow.most_in_flight <= 8);
}

/// Guards against goodput that collapses at a load of twice the capacity, and against requests that are admitted and
/// answered after their deadline.
#[test]
fn twice_the_capacity_keeps_goodput_and_deadlines() {
    let arrivals = arrivals(1, 20_000, 10_000.0 / (80.0 * 2.0), 10_000.0);
    let with = admit(&arrivals, 80, 200_000, true);
    let capacity = with.span_us as f64 * 80.0 / 10_000.0;
    assert!(with.good as f64 >= 0.9 * capacity, "{} of {capacity}", with.good);
    assert!(with.broken * 100 <= with.good, "{} broken, {} good", with.broken, with.good);
    let without = admit(&arrivals, 80, 200_000, false);
    assert!(without.good * 2 <= with.good, "{} {}", without.good, with.good);
}
