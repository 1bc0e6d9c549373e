//! Shares of limits and quotas that one domain may use.
//!
//! A limit is divided among the domains that are in service and that the entry allows. The remainder goes to the first
//! domains by name, so the shares add up to the limit exactly and a limit of 1 is usable in one domain.

use std::collections::{BTreeMap, BTreeSet};

use super::{Unplaceable, Waiting};
use crate::catalogue::{Document, Entry};
use crate::worker::Resources;

/// Reason why the limits do not allow a task to start.
#[derive(Clone, Debug, PartialEq)]
pub enum Limited {
    /// A limit is currently reached.
    Reached,
    /// The task can never start under the current limits.
    Never(Unplaceable),
}

/// Limits of one domain and their current use. Rebuilt from the catalogue cache on each tick.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    domain: String,
    entries: BTreeMap<String, EntryShare>,
    owners: BTreeMap<String, OwnerShare>,
}

#[derive(Clone, Debug)]
struct EntryShare {
    allowed_here: bool,
    /// Number of domains that share the limit.
    domains: u64,
    max_running: Option<u64>,
    running: u64,
}

#[derive(Clone, Debug)]
struct OwnerShare {
    quota: Resources,
    used: Resources,
}

impl Limits {
    /// Computes the shares of `domain`. `in_service` holds the names of the domains in service.
    #[must_use]
    pub fn new(
        documents: &BTreeMap<String, Document>,
        domain: &str,
        in_service: &BTreeSet<String>,
    ) -> Self {
        let mut limits = Self { domain: domain.to_owned(), ..Self::default() };
        for (name, document) in documents {
            match document {
                Document::Entry(entry) => {
                    limits.entries.insert(name.clone(), EntryShare::new(entry, domain, in_service));
                }
                Document::Owner(owner) => {
                    let (rank, count) = rank_among(in_service.iter(), domain);
                    let quota = divide_resources(&owner.quota, rank, count);
                    let share = OwnerShare { quota, used: Resources::default() };
                    limits.owners.insert(name.clone(), share);
                }
            }
        }
        limits
    }

    /// Adds a running task to the use of its entry and owner.
    pub fn add(&mut self, entry: &str, owner: &str, resources: &Resources) {
        if let Some(share) = self.entries.get_mut(entry) {
            share.running += 1;
        }
        if let Some(share) = self.owners.get_mut(owner) {
            share.used = share.used.saturating_add(resources);
        }
    }

    /// Checks whether the limits allow a task to start now.
    ///
    /// # Errors
    ///
    /// [`Limited`] tells whether waiting can help.
    pub fn check(&self, task: &Waiting) -> Result<(), Limited> {
        let Some(entry) = self.entries.get(&task.entry) else {
            return Err(Limited::Never(Unplaceable::NoEntry { entry: task.entry.clone() }));
        };
        self.check_entry(entry, task)?;
        match self.owners.get(&task.owner) {
            Some(owner) => check_owner(owner, task),
            None => Ok(()),
        }
    }

    fn check_entry(&self, share: &EntryShare, task: &Waiting) -> Result<(), Limited> {
        if !share.allowed_here {
            return Err(Limited::Never(Unplaceable::DomainNotAllowed {
                entry: task.entry.clone(),
                domain: self.domain.clone(),
            }));
        }
        match share.max_running {
            Some(0) => Err(Limited::Never(Unplaceable::NoShare {
                entry: task.entry.clone(),
                domains: share.domains,
            })),
            Some(max_running) if share.running >= max_running => Err(Limited::Reached),
            _ => Ok(()),
        }
    }
}

fn check_owner(share: &OwnerShare, task: &Waiting) -> Result<(), Limited> {
    if !task.resources.fits_in(&share.quota) {
        return Err(Limited::Never(Unplaceable::AboveQuota {
            owner: task.owner.clone(),
            resources: task.resources,
            share: share.quota,
        }));
    }
    if !share.used.saturating_add(&task.resources).fits_in(&share.quota) {
        return Err(Limited::Reached);
    }
    Ok(())
}

impl EntryShare {
    fn new(entry: &Entry, domain: &str, in_service: &BTreeSet<String>) -> Self {
        let sharing = in_service.iter().filter(|name| entry.allows_domain(name));
        let (rank, domains) = rank_among(sharing, domain);
        Self {
            allowed_here: entry.allows_domain(domain),
            domains,
            max_running: entry.limits.max_running.map(|limit| divide(limit, rank, domains)),
            running: 0,
        }
    }
}

/// Position of `domain` among the names, `None` if it is not one of them, and the number of names.
fn rank_among<'a>(names: impl Iterator<Item = &'a String>, domain: &str) -> (Option<u64>, u64) {
    let mut rank = None;
    let mut count = 0;
    for name in names {
        if name == domain {
            rank = Some(count);
        }
        count += 1;
    }
    (rank, count)
}

fn divide(limit: u64, rank: Option<u64>, count: u64) -> u64 {
    let Some(rank) = rank else { return 0 };
    limit / count + u64::from(rank < limit % count)
}

fn divide_resources(quota: &Resources, rank: Option<u64>, count: u64) -> Resources {
    Resources::new(
        divide(quota.cpu_millis, rank, count),
        divide(quota.memory_mb, rank, count),
        divide(quota.accelerators, rank, count),
    )
}
