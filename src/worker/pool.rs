//! The workers of one failure domain and the resources committed on them.
//!
//! The domain scheduler is the only writer. Only this module changes the sums, so they always equal the commitments,
//! and a new commitment beyond the capacity is refused. The index of entries follows every change of the commitments
//! and services, because all changes are made by methods of [`Pool`].

pub mod index;

use std::collections::BTreeMap;

use thiserror::Error;

use self::index::{EntryIndex, Resident};
use super::Resources;
use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;

/// Resources committed to one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Commitment {
    /// Name of the task's catalogue entry.
    pub entry: String,
    /// Class of the catalogue entry.
    pub class: Class,
    /// Priority within the class; higher goes first.
    pub priority: u8,
    /// Resources that the attempt may use.
    pub resources: Resources,
}

/// A VM that runs tasks, with its capacity and commitments.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Rack, over which tasks of one entry are spread.
    rack: String,
    /// `IP:PORT` of its control interface.
    address: String,
    /// Total resources.
    capacity: Resources,
    /// Invariant: the sum over `commitments`.
    committed: Resources,
    commitments: BTreeMap<AttemptRef, Commitment>,
    /// Service whose executor runs on the same VM. The pool commits no resources for it.
    service: Option<String>,
    /// Invariant: the counts over `commitments` and `service` by entry.
    residents: Vec<Resident>,
    /// False while the worker must not receive new work, for example before its first report or in quarantine.
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

    /// Resources that can still be committed; zero on a closed worker.
    #[must_use]
    pub fn free(&self) -> Resources {
        if self.open { self.capacity.saturating_sub(&self.committed) } else { Resources::default() }
    }

    /// True if the worker may receive new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Commitments of the attempts that run or are about to start on the worker.
    #[must_use]
    pub fn commitments(&self) -> &BTreeMap<AttemptRef, Commitment> {
        &self.commitments
    }

    /// Service whose executor runs on the same VM. The pool commits no resources for it.
    #[must_use]
    pub fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Number of commitments by entry; the service of the VM counts as one.
    #[must_use]
    pub fn residents(&self) -> &[Resident] {
        &self.residents
    }

    /// Yields the entry of each commitment and of the service, with repetitions.
    fn entry_names(&self) -> impl Iterator<Item = &str> {
        let committed = self.commitments.values().map(|commitment| commitment.entry.as_str());
        committed.chain(self.service.as_deref())
    }

    fn add_resident(&mut self, added: Resident) {
        match self.residents.iter_mut().find(|resident| resident.entry == added.entry) {
            Some(resident) => resident.count += added.count,
            None => self.residents.push(added),
        }
    }

    fn remove_resident(&mut self, entry: index::EntryNumber) {
        let Some(at) = self.residents.iter().position(|resident| resident.entry == entry) else {
            return;
        };
        self.residents[at].count -= 1;
        if self.residents[at].count == 0 {
            self.residents.swap_remove(at);
        }
    }
}

/// Reason why a commitment was refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CommitError {
    /// The pool has no worker with this name.
    #[error("worker {worker} is not in the pool")]
    UnknownWorker {
        /// Requested name.
        worker: String,
    },
    /// The worker is closed for new work.
    #[error("worker {worker} takes no new work")]
    Closed {
        /// Name of the closed worker.
        worker: String,
    },
    /// The commitment exceeds the free resources.
    #[error("worker {worker} has {free:?} free, and {asked:?} does not fit")]
    TooLarge {
        /// Name of the worker.
        worker: String,
        /// Uncommitted resources of the worker.
        free: Resources,
        /// Resources of the refused commitment.
        asked: Resources,
    },
}

/// All workers of a domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    workers: BTreeMap<String, Worker>,
    /// Invariant: counts exactly the commitments and services of all workers.
    entries: EntryIndex,
}

impl Pool {
    /// Adds a worker, or updates the rack, address and capacity of a known one. A new worker is closed.
    pub fn upsert(&mut self, name: &str, rack: &str, address: &str, capacity: Resources) {
        let worker = self.workers.entry(name.to_owned()).or_insert_with(|| Worker {
            rack: rack.to_owned(),
            address: String::new(),
            capacity,
            committed: Resources::default(),
            commitments: BTreeMap::new(),
            service: None,
            residents: Vec::new(),
            open: false,
        });
        if worker.rack != rack {
            for entry in worker.entry_names() {
                // The entry is added to the new rack first, because at zero commitments it would lose its number.
                self.entries.add(entry, rack);
                self.entries.subtract(entry, &worker.rack);
            }
        }
        rack.clone_into(&mut worker.rack);
        address.clone_into(&mut worker.address);
        worker.capacity = capacity;
    }

    /// Removes a worker and returns its commitments.
    pub fn remove(&mut self, name: &str) -> BTreeMap<AttemptRef, Commitment> {
        let Some(worker) = self.workers.remove(name) else { return BTreeMap::new() };
        for entry in worker.entry_names() {
            self.entries.subtract(entry, &worker.rack);
        }
        worker.commitments
    }

    /// Sets the service whose executor shares the VM, from the VM list. The executor needs no commitment, but placement
    /// protects its tail latency.
    pub fn set_service(&mut self, name: &str, service: Option<&str>) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.service.as_deref() == service {
            return;
        }
        if let Some(old) = worker.service.take()
            && let Some(entry) = self.entries.subtract(&old, &worker.rack)
        {
            worker.remove_resident(entry);
        }
        if let Some(new) = service {
            let entry = self.entries.add(new, &worker.rack);
            worker.add_resident(Resident { entry, class: Class::LatencyCritical, count: 1 });
            worker.service = Some(new.to_owned());
        }
    }

    /// Opens or closes a worker for new work. Commitments stay.
    pub fn set_open(&mut self, name: &str, open: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.open = open;
        }
    }

    /// Returns the worker with this name.
    #[must_use]
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// All workers by name.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<String, Worker> {
        &self.workers
    }

    /// Index of the entries that have commitments or executors on the workers.
    #[must_use]
    pub fn entries(&self) -> &EntryIndex {
        &self.entries
    }

    /// Commits resources for a new attempt.
    ///
    /// # Errors
    ///
    /// If the worker is unknown or closed, or has too little free. Committing an attempt again changes nothing.
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
        Self::insert(&mut self.entries, worker, attempt, commitment);
        Ok(())
    }

    /// Records the commitment of an attempt found in a row or an inventory. The capacity is not checked, because the
    /// attempt may already use the resources.
    pub fn adopt(&mut self, name: &str, attempt: &AttemptRef, commitment: Commitment) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.commitments.contains_key(attempt) {
            return;
        }
        Self::insert(&mut self.entries, worker, attempt, commitment);
    }

    /// Releases the commitment of an attempt that has ended.
    pub fn release(&mut self, name: &str, attempt: &AttemptRef) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(commitment) = worker.commitments.remove(attempt) else { return };
        worker.committed = worker.committed.saturating_sub(&commitment.resources);
        if let Some(entry) = self.entries.subtract(&commitment.entry, &worker.rack) {
            worker.remove_resident(entry);
        }
    }

    fn insert(
        entries: &mut EntryIndex,
        worker: &mut Worker,
        attempt: &AttemptRef,
        commitment: Commitment,
    ) {
        worker.committed = worker.committed.saturating_add(&commitment.resources);
        let entry = entries.add(&commitment.entry, &worker.rack);
        worker.add_resident(Resident { entry, class: commitment.class, count: 1 });
        worker.commitments.insert(attempt.clone(), commitment);
    }
}
