//! The workers of the domain: their queues of calls, their polls, clocks and failures.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::event::{ClockReading, QueuedCall, WorkerCall};
use crate::platform::worker::{Inventory, InventoryRequest, WorkerTimeMs};

/// Maximum number of calls in progress to workers whose last call failed, which leaves the other call threads to
/// healthy workers.
const MAX_UNRESPONSIVE_CALLS: usize = 4;

/// Factor by which the poll period of an idle worker is longer, to keep the control traffic within its budget.
const IDLE_POLL_FACTOR: u32 = 6;

/// Time without a change after which a worker counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(5);

/// State of one worker in the scheduler.
#[derive(Debug)]
pub(super) struct WorkerView {
    address: String,
    /// True if the VM list announces its removal.
    pub(super) draining: bool,
    /// Incarnation of the last inventory that was handled; `None` before the first.
    pub(super) incarnation: Option<u64>,
    /// Newest reading of its clock; `None` before the first, and after a restart.
    pub(super) clock: Option<ClockReading>,
    /// Time on the worker's clock up to which reports have been handled; 0 if the whole inventory must be read.
    handled_until_ms: WorkerTimeMs,
    next_poll: Instant,
    polling: bool,
    /// True if the poll in progress asks for all attempts.
    full_poll: bool,
    /// True if a protected service runs on the same VM. All polls then ask for all attempts, because interference
    /// control needs the usage of all neighbours.
    pub(super) has_protected_service: bool,
    /// When an attempt was last reported, or expected, to change.
    last_change_at: Instant,
    /// When it last answered a call.
    pub(super) answered_at: Option<Instant>,
    /// Failed calls since the last answer.
    failures: u32,
    queue: VecDeque<WorkerCall>,
    call_in_progress: bool,
}

impl WorkerView {
    /// Returns true if its inventory has been read and it is not draining.
    pub(super) fn is_usable(&self) -> bool {
        self.incarnation.is_some() && self.handled_until_ms > 0 && !self.draining
    }

    /// Returns true if no call waits or is in progress.
    pub(super) fn has_no_calls(&self) -> bool {
        self.queue.is_empty() && !self.call_in_progress
    }
}

/// Content of an inventory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum InventoryKind {
    /// All attempts of the worker.
    Full,
    /// Only attempts that changed since the previous inventory.
    Changes,
    /// Changes of a worker that has restarted. They are not handled; the whole inventory must be read.
    Restarted,
}

/// Workers of the domain by name.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    workers: BTreeMap<String, WorkerView>,
}

impl Fleet {
    /// Adds a worker, or updates its address and whether it is draining.
    pub(super) fn upsert(&mut self, name: &str, address: &str, draining: bool, now: Instant) {
        let view = self.workers.entry(name.to_owned()).or_insert_with(|| WorkerView {
            address: String::new(),
            draining,
            incarnation: None,
            clock: None,
            handled_until_ms: 0,
            next_poll: now,
            polling: false,
            full_poll: false,
            has_protected_service: false,
            last_change_at: now,
            answered_at: None,
            failures: 0,
            queue: VecDeque::new(),
            call_in_progress: false,
        });
        address.clone_into(&mut view.address);
        view.draining = draining;
    }

    /// Removes a worker and its queued calls.
    pub(super) fn remove(&mut self, name: &str) {
        self.workers.remove(name);
    }

    pub(super) fn names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    pub(super) fn get(&self, name: &str) -> Option<&WorkerView> {
        self.workers.get(name)
    }

    /// Sets whether a protected service runs on the VM of a worker.
    pub(super) fn set_service(&mut self, name: &str, has_protected_service: bool) {
        if let Some(view) = self.workers.get_mut(name) {
            view.has_protected_service = has_protected_service;
        }
    }

    /// Queues a call behind the others of a worker. Returns false if the worker is not known.
    pub(super) fn push(&mut self, name: &str, call: WorkerCall) -> bool {
        let Some(view) = self.workers.get_mut(name) else { return false };
        view.queue.push_back(call);
        true
    }

    /// Queues the polls that are due.
    pub(super) fn queue_polls(&mut self, now: Instant, period: Duration) {
        for view in self.workers.values_mut() {
            if view.polling || now < view.next_poll {
                continue;
            }
            view.polling = true;
            let idle = now >= view.last_change_at + IDLE_AFTER;
            view.next_poll = now + if idle { period * IDLE_POLL_FACTOR } else { period };
            view.full_poll = view.handled_until_ms == 0 || view.has_protected_service;
            let changed_after_ms = if view.full_poll { 0 } else { view.handled_until_ms };
            let req = InventoryRequest { changed_after_ms };
            view.queue.push_back(WorkerCall::Inventory(req));
        }
    }

    /// Makes the next poll of a worker due within `period`, because a change is expected there.
    pub(super) fn poll_soon(&mut self, name: &str, now: Instant, period: Duration) {
        if let Some(view) = self.workers.get_mut(name) {
            view.last_change_at = now;
            view.next_poll = view.next_poll.min(now + period);
        }
    }

    /// Passes the first call of each worker without one in progress to `send`, which returns the call if the queue of
    /// the call threads is full.
    pub(super) fn dispatch(
        &mut self,
        epoch: u64,
        mut send: impl FnMut(QueuedCall) -> Result<(), QueuedCall>,
    ) {
        let mut unresponsive_calls =
            self.workers.values().filter(|view| view.call_in_progress && view.failures > 0).count();
        for (name, view) in &mut self.workers {
            let unresponsive = view.failures > 0;
            if view.call_in_progress || unresponsive && unresponsive_calls >= MAX_UNRESPONSIVE_CALLS
            {
                continue;
            }
            let Some(call) = view.queue.pop_front() else { continue };
            let queued =
                QueuedCall { worker: name.clone(), address: view.address.clone(), epoch, call };
            match send(queued) {
                Ok(()) => {
                    view.call_in_progress = true;
                    unresponsive_calls += usize::from(unresponsive);
                }
                Err(queued) => {
                    view.queue.push_front(queued.call);
                    return;
                }
            }
        }
    }

    /// Handles the end of a call.
    pub(super) fn on_call_ended(&mut self, name: &str, answered: bool, at: Instant) {
        let Some(view) = self.workers.get_mut(name) else { return };
        view.call_in_progress = false;
        if answered {
            view.answered_at = Some(at);
            view.failures = 0;
        } else {
            view.failures = view.failures.saturating_add(1);
        }
    }

    /// Handles a failed call of any kind; another poll may then be queued.
    pub(super) fn on_call_failed(&mut self, name: &str) {
        if let Some(view) = self.workers.get_mut(name) {
            view.polling = false;
        }
    }

    /// Handles only the clock of an inventory, which is enough to renew leases.
    pub(super) fn on_clock(&mut self, name: &str, inventory: &Inventory, at: Instant) {
        if let Some(view) = self.workers.get_mut(name) {
            view.polling = false;
            view.clock = Some(ClockReading { time_ms: inventory.time_ms, received_at: at });
        }
    }

    /// Handles the clock, the incarnation and the time range of an inventory. Returns `None` if the worker is not
    /// known.
    pub(super) fn on_inventory(
        &mut self,
        name: &str,
        inventory: &Inventory,
        at: Instant,
    ) -> Option<InventoryKind> {
        let view = self.workers.get_mut(name)?;
        view.polling = false;
        if !inventory.attempts.is_empty() {
            view.last_change_at = at;
        }
        let full = view.full_poll;
        if !full && view.incarnation != Some(inventory.incarnation) {
            view.handled_until_ms = 0;
            view.next_poll = at;
            // The new incarnation may have started its clock anew.
            view.clock = None;
            return Some(InventoryKind::Restarted);
        }
        view.clock = Some(ClockReading { time_ms: inventory.time_ms, received_at: at });
        view.incarnation = Some(inventory.incarnation);
        // A change may have followed the answer in the same millisecond, so that millisecond is read again.
        view.handled_until_ms = inventory.time_ms.saturating_sub(1);
        Some(if full { InventoryKind::Full } else { InventoryKind::Changes })
    }

    /// Makes all workers report their whole inventories again. An inventory read before the predecessor's start leases
    /// had lapsed may miss an attempt that the worker accepted later.
    pub(super) fn read_all_again(&mut self, now: Instant) {
        for view in self.workers.values_mut() {
            view.handled_until_ms = 0;
            view.next_poll = now;
        }
    }
}
