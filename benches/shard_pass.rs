//! Time of one placement pass of a shard by number of workers, on a full fleet.

use std::time::Duration;

use plantainlever_test_support::model::shard_pass::median_full_pass;

/// Numbers of workers of a shard; 600 is the most that one has.
const WORKER_COUNTS: [usize; 3] = [66, 490, 600];

const PASSES: usize = 150;

/// Limit of the time of a pass with 490 workers. Passes are at least 10 ms apart.
const PASS_LIMIT: Duration = Duration::from_millis(5);

fn main() {
    println!("workers waiting  median_us");
    for workers in WORKER_COUNTS {
        let cost = median_full_pass(workers, PASSES, 1);
        println!("{workers:7} {:7} {:10.1}", cost.waiting, cost.median.as_secs_f64() * 1e6);
        assert!(workers != 490 || cost.median <= PASS_LIMIT, "a pass took {:?}", cost.median);
    }
}
