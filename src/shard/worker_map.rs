//! Workers of a shard, by ID and by position.

use std::cell::Cell;

use super::worker::{Worker, WorkerId};

/// Workers in the order of their IDs. A placement pass looks at hundreds of workers for each step, so it refers to them
/// by position, which costs no comparison of IDs.
#[derive(Debug, Default)]
pub struct WorkerMap {
    /// Sorted by ID, without duplicates.
    #[expect(clippy::vec_box, reason = "an insertion moves pointers only")]
    workers: Vec<Box<Worker>>,
    /// Position that was found last. Several look-ups of the same worker usually follow each other.
    last: Cell<usize>,
}

impl WorkerMap {
    fn find(&self, id: &WorkerId) -> Result<usize, usize> {
        let last = self.last.get();
        if self.workers.get(last).is_some_and(|worker| worker.listing.id == *id) {
            return Ok(last);
        }
        let found = self.workers.binary_search_by(|worker| worker.listing.id.cmp(id));
        self.last.set(found.unwrap_or(0));
        found
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.find(id).ok().map(|position| &*self.workers[position])
    }

    /// Returns a worker.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.find(id).ok().map(|position| &mut *self.workers[position])
    }

    /// Returns the worker at a position, which is valid until workers are added or removed.
    #[must_use]
    pub fn at(&self, position: usize) -> &Worker {
        &self.workers[position]
    }

    /// Adds a worker, or replaces the one with its ID.
    pub fn insert(&mut self, worker: Worker) {
        match self.find(&worker.listing.id) {
            Ok(position) => *self.workers[position] = worker,
            Err(position) => self.workers.insert(position, Box::new(worker)),
        }
    }

    /// Removes a worker, if it is known. The positions of those behind it change.
    pub fn remove(&mut self, id: &WorkerId) {
        if let Ok(position) = self.find(id) {
            self.workers.remove(position);
        }
    }

    /// Number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns true if there is no worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Iterates over the workers in the order of their IDs.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|worker| &**worker)
    }

    /// Iterates over the workers in the order of their IDs.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut().map(|worker| &mut **worker)
    }

    /// Iterates over the workers with their IDs.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.values().map(|worker| (&worker.listing.id, worker))
    }
}
