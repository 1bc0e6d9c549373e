//! Chooses the domain for a task that leaves another domain, by headroom.

use std::collections::BTreeMap;

use crate::catalogue::Entry;
use crate::worker::Resources;

/// Resources and waiting work of a domain, from its scheduler's last report.
#[derive(Clone, Debug, PartialEq)]
pub struct Headroom {
    /// Total resources of the open workers.
    pub capacity: Resources,
    /// Uncommitted resources of the open workers.
    pub free: Resources,
    /// Total resources that the waiting tasks request.
    pub waiting: Resources,
    /// Capacity of the largest worker.
    pub largest: Resources,
}

/// Headroom of the domains in service, updated by each assignment since their reports.
#[derive(Clone, Debug, Default)]
pub struct Destinations {
    domains: BTreeMap<String, Headroom>,
}

impl Destinations {
    /// Creates the set from reports. The caller leaves out domains that are out of service or have not reported.
    #[must_use]
    pub fn new(domains: BTreeMap<String, Headroom>) -> Self {
        Self { domains }
    }

    /// Assigns a task to the allowed domain with the most headroom and adds it to the waiting work there. Returns
    /// `None` if no allowed domain has a worker that is large enough.
    pub fn assign(&mut self, entry: &Entry, resources: &Resources) -> Option<&str> {
        self.assign_where(resources, |name, _| entry.allows_domain(name))
    }

    /// Finds a domain for a task that waits in `own` where it can start at once: one with free resources for the task
    /// and for all tasks that wait there. Returns `None` if the task should stay. Tasks are never moved to another
    /// queue to wait, because full domains would then pass them back and forth.
    pub fn reassign(&mut self, own: &str, entry: &Entry, resources: &Resources) -> Option<&str> {
        let better = self.assign_where(resources, |name, headroom| {
            name != own && entry.allows_domain(name) && headroom.share_left(resources) >= 0.0
        });
        let better = better?.to_owned();
        if let Some(headroom) = self.domains.get_mut(own) {
            headroom.waiting = headroom.waiting.saturating_sub(resources);
        }
        self.domains.get_key_value(&better).map(|(name, _)| name.as_str())
    }

    fn assign_where(
        &mut self,
        resources: &Resources,
        allows: impl Fn(&str, &Headroom) -> bool,
    ) -> Option<&str> {
        let (name, headroom) = self
            .domains
            .iter_mut()
            .filter(|(name, headroom)| {
                resources.fits_in(&headroom.largest) && allows(name, headroom)
            })
            .max_by(|a, b| {
                let by_headroom = a.1.share_left(resources).total_cmp(&b.1.share_left(resources));
                by_headroom.then_with(|| b.0.cmp(a.0))
            })?;
        headroom.waiting = headroom.waiting.saturating_add(resources);
        Some(name)
    }
}

impl Headroom {
    /// Free share of the scarcest resource after the waiting tasks and this one; negative if they do not all fit.
    fn share_left(&self, task: &Resources) -> f64 {
        let asked = self.waiting.saturating_add(task);
        let left = |capacity: u64, free: u64, asked: u64| {
            (free as f64 - asked as f64) / capacity.max(1) as f64
        };
        let cpu = left(self.capacity.cpu_millis, self.free.cpu_millis, asked.cpu_millis);
        let memory = left(self.capacity.memory_mb, self.free.memory_mb, asked.memory_mb);
        if task.accelerators == 0 {
            return cpu.min(memory);
        }
        let accelerators =
            left(self.capacity.accelerators, self.free.accelerators, asked.accelerators);
        cpu.min(memory).min(accelerators)
    }
}
