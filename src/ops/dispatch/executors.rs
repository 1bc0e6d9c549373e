//! What a process knows of the executors of its domain, and its slots there.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::peer::membership::Share;
use crate::platform::target::TargetHealth;
use crate::platform::vms::{VmListing, VmRole, VmState};
use crate::policy::admission::ServiceRate;
use crate::policy::routing::{self, TargetLoad};

/// Bounds that the executors share.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorLimits {
    /// Slots of an executor, over all entry processes.
    pub slots: u32,
    /// Connections of an executor, over all entry processes.
    pub connections: u32,
    /// Greatest age of a report at which an executor takes new requests.
    pub report_age: Duration,
}

/// A slot that a request occupies.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// Name of the executor.
    pub executor: String,
    /// Its address.
    pub address: String,
    /// Connections that this process may have there.
    pub connections: u32,
}

/// How an exchange ended, as far as the slot is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotEnd {
    /// The executor has finished the request.
    Finished {
        /// How long it took.
        latency: Duration,
    },
    /// The executor never had the request.
    NotSent,
    /// The executor takes nothing at present.
    Refused,
    /// The executor may still run it.
    Open,
}

#[derive(Debug)]
struct Executor {
    address: String,
    service: String,
    /// True if the VM list shows it as live.
    live: bool,
    /// Last report with the time before it was asked for.
    report: Option<(Instant, TargetHealth)>,
    /// When it last refused a request or a connection. Only a later report brings it back.
    refused: Option<Instant>,
    /// Requests of this process that occupy a slot, open ones included.
    in_flight: u32,
    /// Requests without an answer that may still run, and when the last of them ended here.
    open: (u32, Option<Instant>),
    /// This process's part of the slots by the share that was applied last.
    part: u32,
    /// This process's part of the connections.
    connections: u32,
    /// Slots that this process may use, at most `part`. Grows only by a report taken after the change of the share.
    slots: u32,
    latency: Duration,
}

/// The executors of the own domain by name.
#[derive(Debug)]
pub struct Executors {
    limits: ExecutorLimits,
    /// The share that the executors' parts follow; `None` after a change of the executors.
    applied: Option<Share>,
    by_name: BTreeMap<String, Executor>,
}

impl Executors {
    /// Starts with none.
    #[must_use]
    pub fn new(limits: ExecutorLimits) -> Self {
        Self { limits, applied: None, by_name: BTreeMap::new() }
    }

    /// Follows the VM list. An executor that is no longer listed is forgotten once nothing is in flight there.
    pub fn follow(&mut self, listing: &VmListing, domain: &str) {
        self.applied = None;
        for executor in self.by_name.values_mut() {
            executor.live = false;
        }
        for vm in listing.vms.iter().filter(|vm| vm.role == VmRole::Target && vm.domain == domain) {
            let Some(service) = &vm.service else { continue };
            let executor = self.by_name.entry(vm.name.clone()).or_insert_with(|| Executor {
                address: vm.address.clone(),
                service: service.clone(),
                live: false,
                report: None,
                refused: None,
                in_flight: 0,
                open: (0, None),
                part: 0,
                connections: 0,
                slots: 0,
                latency: Duration::ZERO,
            });
            if executor.address != vm.address {
                // A replaced VM under the same name starts without a report.
                executor.address.clone_from(&vm.address);
                executor.report = None;
            }
            executor.service.clone_from(service);
            executor.live = vm.state == VmState::Live;
        }
        self.by_name.retain(|_, executor| executor.live || executor.in_flight > 0);
    }

    /// Addresses to ask for a report, by name.
    #[must_use]
    pub fn addresses(&self) -> Vec<(String, String)> {
        let live = self.by_name.iter().filter(|(_, executor)| executor.live);
        live.map(|(name, executor)| (name.clone(), executor.address.clone())).collect()
    }

    /// Takes a report that was asked for at `asked_at`; `None` if there was no answer.
    pub fn on_report(
        &mut self,
        name: &str,
        asked_at: Instant,
        report: Option<TargetHealth>,
        share: Option<&Share>,
    ) {
        let limits = self.limits;
        if let Some(share) = share {
            self.apply(share);
        }
        let Some(executor) = self.by_name.get_mut(name) else { return };
        let Some(report) = report else {
            executor.refused = Some(asked_at);
            return;
        };
        let free = report.slots.min(limits.slots).saturating_sub(report.in_flight);
        if executor.open.1.is_some_and(|ended| ended < asked_at) && free >= executor.open.0 {
            executor.in_flight = executor.in_flight.saturating_sub(executor.open.0);
            executor.open = (0, None);
        }
        if let Some(share) = share {
            // Slots that another process had may still be occupied by its last requests.
            let gain = executor.part - executor.slots;
            if gain > 0 && asked_at > share.since && free >= gain {
                executor.slots = executor.part;
            }
        }
        executor.report = Some((asked_at, report));
    }

    /// Takes a free slot of a service. `None` if there is none.
    pub fn take(
        &mut self,
        service: &str,
        avoid: &[String],
        share: Option<&Share>,
        draws: [u64; 2],
        now: Instant,
    ) -> Option<Slot> {
        let share = share?;
        self.apply(share);
        let candidates: Vec<(&String, TargetLoad)> = self
            .by_name
            .iter()
            .filter(|(name, executor)| {
                executor.service == service
                    && !avoid.contains(name)
                    && executor.is_usable(now, self.limits.report_age)
            })
            .map(|(name, executor)| (name, executor.load()))
            .collect();
        let loads: Vec<TargetLoad> = candidates.iter().map(|(_, load)| *load).collect();
        let name = candidates[routing::choose(&loads, draws)?].0.clone();
        let executor = self.by_name.get_mut(&name)?;
        executor.in_flight += 1;
        let address = executor.address.clone();
        Some(Slot { executor: name, address, connections: executor.connections })
    }

    /// Gives a slot back.
    pub fn release(&mut self, slot: &Slot, end: SlotEnd, now: Instant) {
        let Some(executor) = self.by_name.get_mut(&slot.executor) else { return };
        match end {
            SlotEnd::Open => {
                executor.open = (executor.open.0 + 1, Some(now));
                return;
            }
            SlotEnd::Finished { latency } => {
                executor.latency = routing::average(executor.latency, latency);
            }
            SlotEnd::NotSent | SlotEnd::Refused => executor.refused = Some(now),
        }
        executor.in_flight = executor.in_flight.saturating_sub(1);
    }

    /// Gives a slot back that was not used.
    pub fn release_unused(&mut self, slot: &Slot) {
        if let Some(executor) = self.by_name.get_mut(&slot.executor) {
            executor.in_flight = executor.in_flight.saturating_sub(1);
        }
    }

    /// How fast a service works now.
    #[must_use]
    pub fn rate(&self, service: &str, now: Instant) -> ServiceRate {
        let usable = || {
            let of_service = self.by_name.values().filter(|executor| executor.service == service);
            of_service.filter(|executor| executor.is_usable(now, self.limits.report_age))
        };
        let slots = usable().map(|executor| executor.slots).sum();
        let measured = usable().filter(|executor| !executor.latency.is_zero());
        let (sum, count) = measured.fold((Duration::ZERO, 0), |(sum, count), executor| {
            (sum + executor.latency, count + 1)
        });
        ServiceRate { slots, mean: if count == 0 { Duration::ZERO } else { sum / count } }
    }

    /// Free slots over all usable executors.
    #[must_use]
    pub fn free_slots(&self, now: Instant) -> u32 {
        let usable = self
            .by_name
            .values()
            .filter(|executor| executor.is_usable(now, self.limits.report_age));
        usable.map(|executor| executor.slots.saturating_sub(executor.in_flight)).sum()
    }

    /// True if the VM list shows an executor of the service in the own domain.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.by_name.values().any(|executor| executor.live && executor.service == service)
    }

    /// Follows a change of the share. Slots that are lost are not used again; slots that are gained wait for a report.
    fn apply(&mut self, share: &Share) {
        if self.applied.as_ref() == Some(share) {
            return;
        }
        let limits = self.limits;
        for (name, executor) in &mut self.by_name {
            executor.part = share.slots(limits.slots, name);
            executor.connections = share.connections(limits.connections, limits.slots, name);
            executor.slots = executor.slots.min(executor.part);
        }
        self.applied = Some(share.clone());
    }
}

impl Executor {
    fn is_usable(&self, now: Instant, report_age: Duration) -> bool {
        let Some((asked_at, report)) = &self.report else { return false };
        let fresh = now.saturating_duration_since(*asked_at) < report_age;
        let refused = self.refused.is_some_and(|refused| refused >= *asked_at);
        self.live && fresh && !report.leaving && !refused
    }

    fn load(&self) -> TargetLoad {
        let reported = self.report.as_ref().map_or(0, |(_, report)| report.in_flight);
        TargetLoad {
            in_flight: self.in_flight,
            reported: reported.saturating_sub(self.in_flight),
            slots: self.slots,
            latency: self.latency,
        }
    }
}
