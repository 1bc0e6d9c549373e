//! Runs the soak test from the command line: `soak BINARY SEEDS [FIRST] [SECONDS]`.
//!
//! Runs SEEDS consecutive seeds from FIRST on, or from a random seed, and injects faults for SECONDS in each run.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use plantainlever_test_support::soak;

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
        match soak::run(Path::new(binary), seed, fault_time) {
            Ok(report) if report.breaches.is_empty() => println!(
                "seed {seed}: passed; {} accepted, {} refused, {} starts, {} faults",
                report.accepted,
                report.refused,
                report.starts,
                report.faults.len()
            ),
            Ok(report) => {
                failed += 1;
                println!("seed {seed}: FAILED");
                for line in report.breaches.iter().chain(&report.faults).chain(&report.logs) {
                    println!("  {line}");
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
