//! Order and placement of waiting tasks.

use std::cmp::Reverse;
use std::fmt::Debug;

use crate::task::TaskRow;
use crate::worker::{Pool, Resources};

/// Chooses workers. The seam to the placement policy.
pub(super) trait Chooser: Debug + Send {
    /// A worker of the pool that has room for the task.
    fn choose(&self, pool: &Pool, row: &TaskRow) -> Option<String>;
}

/// Takes the first worker with room that has not failed the task.
#[derive(Debug)]
pub(super) struct FirstFit;

impl Chooser for FirstFit {
    fn choose(&self, pool: &Pool, row: &TaskRow) -> Option<String> {
        let fits = |name: &String| {
            let worker = pool.worker(name);
            worker.is_some_and(|worker| worker.is_open() && row.resources.fits_in(&worker.free()))
        };
        let mut names = pool.workers().keys().filter(|name| fits(name));
        let untried = names.clone().find(|name| !row.failed_on.contains(*name));
        untried.or_else(|| names.next()).cloned()
    }
}

/// Sorts waiting tasks: latency-critical first, then by priority, then by age.
pub(super) fn order(waiting: &mut [&TaskRow]) {
    waiting.sort_by_key(|row| (row.class, Reverse(row.priority), row.submitted_ms, row.id.clone()));
}

/// Remembers sizes that found no worker, so that a long queue of equal tasks is tried once per tick.
#[derive(Debug, Default)]
pub(super) struct Misses {
    sizes: Vec<Resources>,
}

impl Misses {
    /// True if a task of this size cannot find a worker in this tick.
    pub(super) fn covers(&self, size: &Resources) -> bool {
        self.sizes.iter().any(|missed| missed.fits_in(size))
    }

    /// Notes a size that found no worker.
    pub(super) fn add(&mut self, size: Resources) {
        self.sizes.push(size);
    }
}
