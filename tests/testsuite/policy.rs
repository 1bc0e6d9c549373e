//! Tests of the scheduling policies and of the worker pool and quarantine.

mod evacuation;
mod interference;
mod placement;
mod preemption;
mod quarantine;
mod queue;

use plantainlever::catalogue::Class;
use plantainlever::platform::worker::AttemptRef;
use plantainlever::task::TaskId;
use plantainlever::worker::{Commitment, Pool, Resources};

/// A pool of open workers `w0`, `w1`, ... with 16 cores and 64 GiB, `per_rack` to a rack.
pub fn pool(workers: usize, per_rack: usize) -> Pool {
    let mut pool = Pool::default();
    for number in 0..workers {
        let rack = format!("r{}", number / per_rack);
        pool.upsert(&format!("w{number}"), &rack, "127.0.0.1:1", Resources::new(16_000, 65_536, 0));
        pool.set_open(&format!("w{number}"), true);
    }
    pool
}

pub fn attempt(task: &str) -> AttemptRef {
    AttemptRef { task: TaskId::new(task), attempt: 1 }
}

pub fn commitment(entry: &str, class: Class, cpu_millis: u64) -> Commitment {
    let resources = Resources::new(cpu_millis, cpu_millis, 0);
    Commitment { entry: entry.to_owned(), class, priority: 0, resources }
}
