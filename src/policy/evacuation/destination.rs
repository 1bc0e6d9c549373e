//! Which other domain gets a task, by headroom.

use std::collections::BTreeMap;

use crate::catalogue::Entry;
use crate::worker::Resources;

/// What a domain has left, as its scheduler last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Headroom {
    /// Resources of its open workers.
    pub capacity: Resources,
    /// Uncommitted resources of its open workers.
    pub free: Resources,
    /// What its waiting tasks ask for.
    pub waiting: Resources,
    /// Capacity of its largest worker.
    pub largest: Resources,
}

/// The domains in service, less what was assigned to them since their reports.
#[derive(Clone, Debug, Default)]
pub struct Destinations {
    domains: BTreeMap<String, Headroom>,
}

impl Destinations {
    /// Starts from reports. The caller leaves out domains that are out of service or not heard from.
    #[must_use]
    pub fn new(domains: BTreeMap<String, Headroom>) -> Self {
        Self { domains }
    }

    /// Assigns a task to the allowed domain with the most headroom and counts it there. Domains whose largest worker
    /// could not hold the task are left out; `None` if that leaves none.
    pub fn assign(&mut self, entry: &Entry, resources: &Resources) -> Option<&str> {
        self.assign_where(resources, |name, _| entry.allows_domain(name))
    }

    /// Finds a better domain for a task that waits in `own`: one that has room for it beyond what waits there. `None` if
    /// it should stay. A task is not moved to wait elsewhere, so that domains do not pass tasks back and forth.
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
    /// Share of the scarcest resource that is left after the task; negative if tasks already wait for more than that.
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
