//! Processor time of the scheduler of a shard for one second of a day's traffic, by number of workers and kind of work.

use plantainlever_test_support::model::owner_load::mean_load;

/// Numbers of workers; 1,336 is the size at which a deployment aims, for the slope.
const WORKER_COUNTS: [usize; 4] = [66, 350, 490, 1_336];

const SECONDS: u32 = 10;

fn main() {
    println!("workers  starts reports estimates rounds_us answers_us rows_us changes_us us/start");
    for workers in WORKER_COUNTS {
        let load = mean_load(workers, SECONDS, 1);
        let sum = load.rounds + load.answers + load.rows + load.changes;
        println!(
            "{workers:7} {:7} {:7} {:9} {:9} {:10} {:7} {:10} {:8.1}",
            load.starts,
            load.reports,
            load.estimates,
            load.rounds.as_micros(),
            load.answers.as_micros(),
            load.rows.as_micros(),
            load.changes.as_micros(),
            sum.as_micros() as f64 / load.starts.max(1) as f64
        );
    }
}
