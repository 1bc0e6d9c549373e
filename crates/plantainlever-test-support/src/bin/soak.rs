//! Runs the soak test from the command line: `soak BINARY SEEDS [FIRST] [SECONDS]`.
//!
//! Runs SEEDS consecutive seeds from FIRST on, or from a random seed, and injects faults for SECONDS in each run.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use plantainlever_test_support::soak::{self, OptionalFaults};

/// Default of SECONDS.
const DEFAULT_FAULT_TIME_S: u64 = 20;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let number = |index: usize| args.get(index).and_then(|text| text.parse::<u64>().ok());
    let (Some(binary), Some(seeds)) = (args.get(1), number(2)) else {
        eprintln!("usage: soak BINARY SEEDS [FIRST] [SECONDS]");
        return ExitCode::from(2);
    };
    let first = number(3).unwrap_or_else(|| rand::random::<u64>() >> 16);
    let fault_time = Duration::from_secs(number(4).unwrap_or(DEFAULT_FAULT_TIME_S));
    let mut failed = 0;
    for seed in first..first + seeds {
        let optional_faults = OptionalFaults::of_seed(seed);
        match soak::run(Path::new(binary), seed, optional_faults, fault_time) {
            Ok(report) => {
                let has_passed = report.breaches.is_empty();
                println!(
                    "seed {seed}: {}; {} accepted, {} refused, {} starts, {} crashes, {} faults, {optional_faults:?}",
                    if has_passed { "passed" } else { "FAILED" },
                    report.accepted,
                    report.refused,
                    report.starts,
                    report.crashes,
                    report.faults.len()
                );
                if !has_passed {
                    failed += 1;
                    for line in report.breaches.iter().chain(&report.faults).chain(&report.logs) {
                        println!("  {line}");
                    }
                }
            }
            Err(e) => {
                failed += 1;
                println!("seed {seed}: not run: {e}");
            }
        }
    }
    println!("{seeds} seeds, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
