//! Runs the soak test from the command line: `soak BINARY SEEDS [FIRST] [SECONDS] [FAULTS]`.
//!
//! Runs SEEDS consecutive seeds from FIRST on, or from a random seed if FIRST is `random`, and injects faults for SECONDS
//! in each run. FAULTS are names of optional faults, separated by commas; with it the faults of each run are printed, and
//! without it the seeds select the optional ones.

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
        eprintln!("usage: soak BINARY SEEDS [FIRST] [SECONDS] [FAULTS]");
        return ExitCode::from(2);
    };
    let selected_faults = match args.get(5).map(|names| OptionalFaults::from_names(names)) {
        Some(None) => {
            eprintln!("FAULTS are names of fields of OptionalFaults, separated by commas");
            return ExitCode::from(2);
        }
        Some(faults) => faults,
        None => None,
    };
    let first = number(3).unwrap_or_else(|| rand::random::<u64>() >> 16);
    let fault_time = Duration::from_secs(number(4).unwrap_or(DEFAULT_FAULT_TIME_S));
    let mut failed = 0;
    for seed in first..first + seeds {
        let optional_faults = selected_faults.unwrap_or_else(|| OptionalFaults::of_seed(seed));
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
                let print = |lines: &[String]| lines.iter().for_each(|line| println!("  {line}"));
                print(&report.breaches);
                if !has_passed || selected_faults.is_some() {
                    print(&report.faults);
                }
                if !has_passed {
                    failed += 1;
                    print(&report.logs);
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
