//! Gives executor slots to requests, and queues the requests that find none free.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::catalogue::Class;
use crate::clock::Clock;
use crate::ops::membership::CurrentShare;
use crate::platform::target::TargetHealth;
use crate::platform::vms::VmListing;
use crate::policy::admission::{AdmissionQueues, Refusal};

use super::executors::{ExchangeEnd, ExecutorLimits, Executors, Slot};

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoSlot {
    /// The request was not queued.
    Refused(Refusal),
    /// The request was queued, then removed: it missed or would have missed its deadline, or it was shed for a request
    /// of a more urgent class.
    Dropped,
}

#[derive(Debug)]
struct State {
    executors: Executors,
    admission: AdmissionQueues,
    /// The channel of each waiting request by ticket. Invariant: has exactly the tickets in `admission`.
    waiters: BTreeMap<u64, SyncSender<Option<Slot>>>,
    next_ticket: u64,
    listing: Arc<VmListing>,
}

/// The slots that a process uses. No method holds the lock while it waits.
#[derive(Debug)]
pub(super) struct Slots {
    domain: String,
    clock: Arc<dyn Clock>,
    current_share: CurrentShare,
    state: Mutex<State>,
}

impl Slots {
    pub(super) fn new(
        domain: &str,
        clock: Arc<dyn Clock>,
        current_share: CurrentShare,
        limits: ExecutorLimits,
        queue_length: usize,
    ) -> Self {
        let state = State {
            executors: Executors::new(limits),
            admission: AdmissionQueues::new(queue_length),
            waiters: BTreeMap::new(),
            next_ticket: 0,
            listing: Arc::default(),
        };
        Self { domain: domain.to_owned(), clock, current_share, state: Mutex::new(state) }
    }

    /// Updates the executors if `listing` is not the one that was applied last.
    pub(super) fn on_vm_listing(&self, listing: &Arc<VmListing>) {
        let mut state = self.lock();
        if !Arc::ptr_eq(&state.listing, listing) {
            state.listing = Arc::clone(listing);
            state.executors.on_vm_listing(listing, &self.domain);
        }
    }

    pub(super) fn addresses(&self) -> Vec<(String, String)> {
        self.lock().executors.addresses()
    }

    pub(super) fn serves(&self, service: &str) -> bool {
        self.lock().executors.serves(service)
    }

    /// Requests that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.lock().waiters.len()
    }

    pub(super) fn has_share(&self) -> bool {
        self.current_share.get(self.clock.now()).is_some()
    }

    pub(super) fn free_slots(&self) -> u32 {
        let now = self.clock.now();
        if self.current_share.get(now).is_none() {
            return 0;
        }
        self.lock().executors.free_slots(now)
    }

    pub(super) fn on_report(&self, name: &str, asked_at: Instant, report: Option<TargetHealth>) {
        let share = self.current_share.get(self.clock.now());
        let mut state = self.lock();
        state.executors.on_report(name, asked_at, report, share.as_deref());
        self.grant(&mut state);
    }

    /// Takes a free slot without waiting. `None` if there is none, other requests of the service wait for one, or this
    /// process has no share.
    pub(super) fn try_take(&self, service: &str, avoid: &[String]) -> Option<Slot> {
        let now = self.clock.now();
        let share = self.current_share.get(now);
        let mut state = self.lock();
        if state.admission.waiting_for(service) > 0 {
            return None;
        }
        state.executors.take(service, avoid, share.as_deref(), draws(), now)
    }

    /// Takes a slot, and waits for one until `deadline` if none is free.
    pub(super) fn take(
        &self,
        service: &str,
        class: Class,
        deadline: Instant,
    ) -> Result<Slot, NoSlot> {
        if let Some(slot) = self.try_take(service, &[]) {
            return Ok(slot);
        }
        self.wait_in_queue(service, class, deadline, false)
    }

    /// Waits until `deadline` for a slot of a service whose executors are all unusable. A late round of health checks
    /// makes all executors unusable for a moment; refusing at once would then fail every caller.
    pub(super) fn take_when_usable(
        &self,
        service: &str,
        class: Class,
        deadline: Instant,
    ) -> Result<Slot, NoSlot> {
        self.wait_in_queue(service, class, deadline, true)
    }

    fn wait_in_queue(
        &self,
        service: &str,
        class: Class,
        deadline: Instant,
        unusable: bool,
    ) -> Result<Slot, NoSlot> {
        let (tx, rx) = mpsc::sync_channel(1);
        let ticket = self.enqueue(service, class, deadline, unusable, tx)?;
        // A slot may have become free before the request was in the queue.
        self.grant(&mut self.lock());
        let remaining = deadline.saturating_duration_since(self.clock.now());
        if let Ok(granted) = rx.recv_timeout(remaining) {
            return granted.ok_or(NoSlot::Dropped);
        }
        let mut state = self.lock();
        state.admission.remove(service, ticket);
        state.waiters.remove(&ticket);
        drop(state);
        // The slot may have been granted between the timeout and the removal.
        match rx.try_recv() {
            Ok(Some(slot)) => {
                self.release(&slot, None);
                Err(NoSlot::Dropped)
            }
            _ => Err(NoSlot::Dropped),
        }
    }

    /// Releases a slot. `end` is `None` if the slot was not used.
    pub(super) fn release(&self, slot: &Slot, end: Option<ExchangeEnd>) {
        let now = self.clock.now();
        let mut state = self.lock();
        match end {
            Some(end) => state.executors.release(slot, end, now),
            None => state.executors.release_unused(slot),
        }
        self.grant(&mut state);
    }

    fn enqueue(
        &self,
        service: &str,
        class: Class,
        deadline: Instant,
        unusable: bool,
        tx: SyncSender<Option<Slot>>,
    ) -> Result<u64, NoSlot> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut rate = state.executors.rate(service, now);
        // While the executors are unusable or this process has no share, no wait can be estimated. Both usually last
        // only seconds, so one slot is assumed; with none, the request would be refused.
        if unusable || (!self.has_share() && state.executors.serves(service)) {
            rate.slots = rate.slots.max(1);
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let admitted = state
            .admission
            .try_enqueue(service, ticket, class, deadline, now, rate)
            .map_err(NoSlot::Refused)?;
        state.waiters.insert(ticket, tx);
        if let Some(shed) = admitted.shed {
            state.notify(shed, None);
        }
        Ok(ticket)
    }

    /// Gives free slots to waiting requests, and expires those that would miss their deadline.
    fn grant(&self, state: &mut State) {
        let now = self.clock.now();
        let Some(share) = self.current_share.get(now) else { return };
        let services: Vec<String> = state.admission.services().map(str::to_owned).collect();
        for service in services {
            let mean = state.executors.rate(&service, now).mean;
            for late in state.admission.remove_late(&service, now, mean) {
                state.notify(late, None);
            }
            while state.admission.waiting_for(&service) > 0 {
                let slot = state.executors.take(&service, &[], Some(&share), draws(), now);
                let Some(slot) = slot else { break };
                match state.admission.next(&service) {
                    Some(ticket) => state.notify(ticket, Some(slot)),
                    None => state.executors.release_unused(&slot),
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Ends a request's wait and gives it `slot`, or `None` if it gets no slot.
    fn notify(&mut self, ticket: u64, slot: Option<Slot>) {
        if let Some(tx) = self.waiters.remove(&ticket) {
            // Cannot fail: the channel has room for its only message, and its receiver outlives the ticket.
            let _ = tx.try_send(slot);
        }
    }
}

/// Two random numbers for the choice between two executors.
fn draws() -> [u64; 2] {
    [rand::random(), rand::random()]
}
