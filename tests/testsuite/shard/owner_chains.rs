//! Property test of chains of owners: several processes take over a shard from one another, while processes, workers
//! and the ways between them fail.
//!
//! The processes run the real `ops::jobs` through its ports, on the paused clock of tokio, so that claims, loads, rows,
//! heartbeats and the checks before each command are under test and not a copy of them. A minute of simulated time takes
//! well under a second, so a simulation of the scheduler alone would gain little.

mod port;
mod process;
pub mod random;
mod recovery;
mod saturation;
mod scenario;
mod workers;
mod world;

use scenario::{Summary, simulate};

/// Seeds of a usual run of the tests.
const SEEDS: u64 = 16;

/// Guards against tasks that run twice, start again after they are done or exceed a worker's capacity, and against jobs
/// that never end, after any chain of owners. `OWNER_CHAINS_SEEDS=FROM..TO` runs other seeds.
#[test]
fn tasks_run_once_under_any_chain_of_owners() {
    let seeds = std::env::var("OWNER_CHAINS_SEEDS").ok().map_or(0..SEEDS, |seeds| {
        let (from, to) = seeds.split_once("..").unwrap();
        from.parse().unwrap()..to.parse().unwrap()
    });
    let (mut total, mut failures) = (Summary::default(), Vec::new());
    for seed in seeds {
        let seed = PrintOnPanic { seed };
        match simulate(seed.seed) {
            Ok(summary) => {
                total.claims += summary.claims;
                total.runs += summary.runs;
                total.end_time = total.end_time.max(summary.end_time);
            }
            Err(breach) => failures.push(breach),
        }
    }
    println!("{total:?}");
    assert!(failures.is_empty(), "{} failures\n{}", failures.len(), failures.join("\n"));
}

/// Names the seed of a simulation that panics.
struct PrintOnPanic {
    seed: u64,
}

impl Drop for PrintOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.seed);
        }
    }
}
