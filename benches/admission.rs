//! Goodput of admission control and of a plain queue, at a load of twice the capacity.

// Each benchmark uses a part of the model.
#[allow(dead_code)]
mod model;

use std::process::ExitCode;

use model::{admit, arrivals};

fn main() -> ExitCode {
    // Times are in microseconds. A request takes 10 ms on average and has a deadline 200 ms after its arrival. Requests
    // arrive at 2.0 times the rate that the 80 slots can serve.
    let arrivals = arrivals(1, 100_000, 10_000.0 / (80.0 * 2.0), 10_000.0);
    let with = admit(&arrivals, 80, 200_000, true);
    let without = admit(&arrivals, 80, 200_000, false);
    let capacity = |span_us: u64| span_us as f64 * 80.0 / 10_000.0;
    let goodput = with.good as f64 / capacity(with.span_us);
    let baseline = without.good as f64 / capacity(without.span_us);
    let kept = with.good as f64 / (with.good + with.broken) as f64;
    println!("goodput        {goodput:.3} of the capacity (at least 0.9)");
    println!("goodput queue  {baseline:.3} of the capacity");
    println!("deadlines kept {kept:.4} of the admitted (at least 0.99)");
    println!("refused        {} of {}", with.refused, arrivals.len());
    if goodput >= 0.9 && kept >= 0.99 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
