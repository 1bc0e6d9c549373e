//! The workers of one failure domain and the commitments on them.
//!
//! The domain scheduler is the only writer. Nothing outside this module changes a sum, so the sums always equal the
//! commitments, and no commitment is accepted that passes the capacity.

use std::collections::BTreeMap;

use thiserror::Error;

use super::Resources;
use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;

/// Resources promised to one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Commitment {
    /// Catalogue entry of the task.
    pub entry: String,
    /// Class of the task.
    pub class: Class,
    /// Order within the class.
    pub priority: u8,
    /// What is promised.
    pub resources: Resources,
}

/// One worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Rack, for spread.
    rack: String,
    /// `IP:PORT` of its control interface.
    address: String,
    /// Total resources.
    capacity: Resources,
    /// Invariant: the sum over `commitments`.
    committed: Resources,
    commitments: BTreeMap<AttemptRef, Commitment>,
    /// False while the worker must not receive anything new: not yet heard from, quarantined, or leaving.
    open: bool,
}

impl Worker {
    /// Rack of the worker.
    #[must_use]
    pub fn rack(&self) -> &str {
        &self.rack
    }

    /// Address of its control interface.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Total resources.
    #[must_use]
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Sum of the commitments.
    #[must_use]
    pub fn committed(&self) -> &Resources {
        &self.committed
    }

    /// What is left to commit; zero on a closed worker.
    #[must_use]
    pub fn free(&self) -> Resources {
        if self.open { self.capacity.saturating_sub(&self.committed) } else { Resources::default() }
    }

    /// True if the worker may receive new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// The commitments by attempt.
    #[must_use]
    pub fn commitments(&self) -> &BTreeMap<AttemptRef, Commitment> {
        &self.commitments
    }
}

/// Why a commitment was refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CommitError {
    /// No such worker.
    #[error("worker {worker} is not in the pool")]
    UnknownWorker {
        /// The name asked for.
        worker: String,
    },
    /// The worker takes nothing new.
    #[error("worker {worker} takes no new work")]
    Closed {
        /// The worker.
        worker: String,
    },
    /// The capacity would be passed.
    #[error("worker {worker} has {free:?} free, which is less than {asked:?}")]
    TooLarge {
        /// The worker.
        worker: String,
        /// What is free.
        free: Resources,
        /// What was asked for.
        asked: Resources,
    },
}

/// All workers of a domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    workers: BTreeMap<String, Worker>,
}

impl Pool {
    /// Adds a worker, or updates the rack, address and capacity of a known one. A new worker is closed.
    pub fn upsert(&mut self, name: &str, rack: &str, address: &str, capacity: Resources) {
        let worker = self.workers.entry(name.to_owned()).or_insert_with(|| Worker {
            rack: String::new(),
            address: String::new(),
            capacity,
            committed: Resources::default(),
            commitments: BTreeMap::new(),
            open: false,
        });
        rack.clone_into(&mut worker.rack);
        address.clone_into(&mut worker.address);
        worker.capacity = capacity;
    }

    /// Removes a worker and returns its commitments.
    pub fn remove(&mut self, name: &str) -> BTreeMap<AttemptRef, Commitment> {
        self.workers.remove(name).map(|worker| worker.commitments).unwrap_or_default()
    }

    /// Opens or closes a worker for new work. Commitments stay.
    pub fn set_open(&mut self, name: &str, open: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.open = open;
        }
    }

    /// The worker with this name.
    #[must_use]
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// All workers by name.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<String, Worker> {
        &self.workers
    }

    /// Commits resources for a new attempt.
    ///
    /// # Errors
    ///
    /// If the worker is unknown, closed, or has too little left. Committing an attempt again changes nothing.
    pub fn commit(
        &mut self,
        name: &str,
        attempt: &AttemptRef,
        commitment: Commitment,
    ) -> Result<(), CommitError> {
        let worker = self
            .workers
            .get_mut(name)
            .ok_or_else(|| CommitError::UnknownWorker { worker: name.to_owned() })?;
        if worker.commitments.contains_key(attempt) {
            return Ok(());
        }
        if !worker.open {
            return Err(CommitError::Closed { worker: name.to_owned() });
        }
        let free = worker.free();
        if !commitment.resources.fits_in(&free) {
            return Err(CommitError::TooLarge {
                worker: name.to_owned(),
                free,
                asked: commitment.resources,
            });
        }
        worker.committed = worker.committed.saturating_add(&commitment.resources);
        worker.commitments.insert(attempt.clone(), commitment);
        Ok(())
    }

    /// Records a commitment that already exists, as found in a row or an inventory, whatever the capacity says.
    pub fn adopt(&mut self, name: &str, attempt: &AttemptRef, commitment: Commitment) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.commitments.contains_key(attempt) {
            return;
        }
        worker.committed = worker.committed.saturating_add(&commitment.resources);
        worker.commitments.insert(attempt.clone(), commitment);
    }

    /// Releases the commitment of an attempt that has ended.
    pub fn release(&mut self, name: &str, attempt: &AttemptRef) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some(commitment) = worker.commitments.remove(attempt) {
            worker.committed = worker.committed.saturating_sub(&commitment.resources);
        }
    }
}
