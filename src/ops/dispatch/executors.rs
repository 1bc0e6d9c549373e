//! State of the executors of the domain, and the slots that this process uses at each.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::peer::membership::Share;
use crate::platform::target::TargetHealth;
use crate::platform::vms::{VmListing, VmRole, VmState};
use crate::policy::admission::ServiceRate;
use crate::policy::routing::{self, TargetLoad};

/// Limits that apply to each executor.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorLimits {
    /// Slots of an executor, over all entry processes.
    pub slots: u32,
    /// Connections of an executor, over all entry processes.
    pub connections: u32,
    /// An executor whose last health report is this old or older gets no new requests.
    pub max_report_age: Duration,
}

/// A slot that a request occupies.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// Name of the executor's VM.
    pub executor: String,
    /// `IP:PORT` of the executor.
    pub address: String,
    /// Most connections that this process may have to the executor.
    pub connections: u32,
}

/// How an exchange ended, which determines when its slot is free again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExchangeEnd {
    /// The executor has finished the request.
    Finished {
        /// Duration of the exchange.
        latency: Duration,
    },
    /// The request did not reach the executor.
    NotSent,
    /// The executor refused the request.
    Refused,
    /// The exchange ended without an answer; the executor may still run the request and occupy the slot.
    Unanswered,
}

#[derive(Debug)]
struct Executor {
    address: String,
    service: String,
    /// True if the VM list shows the VM as live.
    live: bool,
    /// Last health report, with the time at which it was requested.
    report: Option<(Instant, TargetHealth)>,
    /// When a request was last refused or not delivered, or when the last failed health check began. The executor is
    /// unusable until a health check that began later succeeds.
    failed_at: Option<Instant>,
    /// Requests of this process that occupy a slot, including unanswered ones.
    in_flight: u32,
    /// Number of requests whose exchange ended without an answer and which may still run, and when the last of these
    /// exchanges ended.
    unanswered: (u32, Option<Instant>),
    /// Slots assigned to this process by the share that was applied last.
    share_slots: u32,
    /// Connections assigned to this process by the same share.
    connections: u32,
    /// Slots that this process may use, at most `share_slots`. Grows only on a report requested after the share
    /// changed.
    slots: u32,
    /// Moving average over the finished exchanges; zero before the first.
    latency: Duration,
}

/// The executors of this process's domain, by name.
#[derive(Debug)]
pub struct Executors {
    limits: ExecutorLimits,
    /// The share from which the executors' slots were computed; `None` after a change of the executors.
    applied_share: Option<Share>,
    by_name: BTreeMap<String, Executor>,
}

impl Executors {
    /// Creates an empty set; [`Self::on_vm_listing`] adds the executors.
    #[must_use]
    pub fn new(limits: ExecutorLimits) -> Self {
        Self { limits, applied_share: None, by_name: BTreeMap::new() }
    }

    /// Applies a VM list. Removes each executor that it does not show as live, unless a request is in flight there; a
    /// later list then removes it.
    pub fn on_vm_listing(&mut self, listing: &VmListing, domain: &str) {
        self.applied_share = None;
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
                failed_at: None,
                in_flight: 0,
                unanswered: (0, None),
                share_slots: 0,
                connections: 0,
                slots: 0,
                latency: Duration::ZERO,
            });
            if executor.address != vm.address {
                // The VM was replaced under the same name, so the old report does not apply.
                executor.address.clone_from(&vm.address);
                executor.report = None;
            }
            executor.service.clone_from(service);
            executor.live = vm.state == VmState::Live;
        }
        self.by_name.retain(|_, executor| executor.live || executor.in_flight > 0);
    }

    /// Names and addresses of the live executors, for health checks.
    #[must_use]
    pub fn addresses(&self) -> Vec<(String, String)> {
        let live = self.by_name.iter().filter(|(_, executor)| executor.live);
        live.map(|(name, executor)| (name.clone(), executor.address.clone())).collect()
    }

    /// Records the report of a health check that began at `asked_at`; `None` if it got no answer.
    pub fn on_report(
        &mut self,
        name: &str,
        asked_at: Instant,
        report: Option<TargetHealth>,
        share: Option<&Share>,
    ) {
        let limits = self.limits;
        if let Some(share) = share {
            self.apply_share(share);
        }
        let Some(executor) = self.by_name.get_mut(name) else { return };
        let Some(report) = report else {
            executor.failed_at = Some(asked_at);
            return;
        };
        let free = report.slots.min(limits.slots).saturating_sub(report.in_flight);
        if executor.unanswered.1.is_some_and(|ended| ended < asked_at)
            && free >= executor.unanswered.0
        {
            executor.in_flight = executor.in_flight.saturating_sub(executor.unanswered.0);
            executor.unanswered = (0, None);
        }
        if let Some(share) = share {
            // Requests of the process that had the gained slots before may still occupy them.
            let gain = executor.share_slots - executor.slots;
            if gain > 0 && asked_at > share.members_changed_at && free >= gain {
                executor.slots = executor.share_slots;
            }
        }
        executor.report = Some((asked_at, report));
    }

    /// Takes a free slot of a service at an executor that is not in `avoid`. `None` if there is none or this process
    /// has no share. `draws` are two random numbers for the choice between two executors.
    pub fn take(
        &mut self,
        service: &str,
        avoid: &[String],
        share: Option<&Share>,
        draws: [u64; 2],
        now: Instant,
    ) -> Option<Slot> {
        let share = share?;
        self.apply_share(share);
        let candidates: Vec<(&String, TargetLoad)> = self
            .by_name
            .iter()
            .filter(|(name, executor)| {
                executor.service == service
                    && !avoid.contains(name)
                    && executor.is_usable(now, self.limits.max_report_age)
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

    /// Releases a slot after an exchange. The slot of an unanswered request stays occupied until a later report shows
    /// enough free slots.
    pub fn release(&mut self, slot: &Slot, end: ExchangeEnd, now: Instant) {
        let Some(executor) = self.by_name.get_mut(&slot.executor) else { return };
        match end {
            ExchangeEnd::Unanswered => {
                executor.unanswered = (executor.unanswered.0 + 1, Some(now));
                return;
            }
            ExchangeEnd::Finished { latency } => {
                executor.latency = routing::average(executor.latency, latency);
            }
            ExchangeEnd::NotSent | ExchangeEnd::Refused => executor.failed_at = Some(now),
        }
        executor.in_flight = executor.in_flight.saturating_sub(1);
    }

    /// Releases a slot on which nothing was sent.
    pub fn release_unused(&mut self, slot: &Slot) {
        if let Some(executor) = self.by_name.get_mut(&slot.executor) {
            executor.in_flight = executor.in_flight.saturating_sub(1);
        }
    }

    /// Slots of this process for a service, and the mean latency of its executors; zero before the first measurement.
    #[must_use]
    pub fn rate(&self, service: &str, now: Instant) -> ServiceRate {
        let usable = || {
            let of_service = self.by_name.values().filter(|executor| executor.service == service);
            of_service.filter(|executor| executor.is_usable(now, self.limits.max_report_age))
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
            .filter(|executor| executor.is_usable(now, self.limits.max_report_age));
        usable.map(|executor| executor.slots.saturating_sub(executor.in_flight)).sum()
    }

    /// True if the VM list shows a live executor of the service in this domain.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.by_name.values().any(|executor| executor.live && executor.service == service)
    }

    /// Recomputes the slots after a change of the share. Lost slots are given up at once; gained slots become usable in
    /// [`Self::on_report`].
    fn apply_share(&mut self, share: &Share) {
        if self.applied_share.as_ref() == Some(share) {
            return;
        }
        let limits = self.limits;
        for (name, executor) in &mut self.by_name {
            executor.share_slots = share.slots(limits.slots, name);
            executor.connections = share.connections(limits.connections, limits.slots, name);
            executor.slots = executor.slots.min(executor.share_slots);
        }
        self.applied_share = Some(share.clone());
    }
}

impl Executor {
    fn is_usable(&self, now: Instant, max_report_age: Duration) -> bool {
        let Some((asked_at, report)) = &self.report else { return false };
        let fresh = now.saturating_duration_since(*asked_at) < max_report_age;
        let failed = self.failed_at.is_some_and(|failed_at| failed_at >= *asked_at);
        self.live && fresh && !report.leaving && !failed
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
