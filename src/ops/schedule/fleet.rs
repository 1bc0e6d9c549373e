//! The workers of the domain as the scheduler calls them: queues of calls, clocks and silence.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::event::{ClockBase, QueuedCall, WorkerCall};
use crate::platform::worker::{Inventory, InventoryRequest, WorkerTimeMs};

/// Calls in progress to workers whose last call failed. The other call threads stay free for healthy workers.
const MAX_SUSPECT_CALLS: usize = 4;

/// Polls of a worker without news are this many times rarer, to keep the traffic of control within its budget.
const IDLE_POLL_FACTOR: u32 = 6;

/// A worker counts as busy for this long after its last news.
const IDLE_AFTER: Duration = Duration::from_secs(5);

/// One worker.
#[derive(Debug)]
pub(super) struct WorkerView {
    address: String,
    /// True if the VM list says that it is about to be removed.
    pub(super) draining: bool,
    /// Incarnation of the last full inventory.
    pub(super) incarnation: Option<u64>,
    /// The newest reading of its clock.
    pub(super) base: Option<ClockBase>,
    /// Reports up to this worker time have been taken.
    seen_ms: WorkerTimeMs,
    next_poll: Instant,
    polling: bool,
    /// True if the read on its way asks for all attempts.
    full_poll: bool,
    /// True if a service is measured there: its reports must show the usage of all neighbours.
    pub(super) has_service: bool,
    last_change_at: Instant,
    /// When it answered last.
    pub(super) answered_at: Option<Instant>,
    failures: u32,
    queue: VecDeque<WorkerCall>,
    in_call: bool,
}

impl WorkerView {
    /// True if its inventory has been read and it is not draining.
    pub(super) fn is_usable(&self) -> bool {
        self.incarnation.is_some() && self.seen_ms > 0 && !self.draining
    }

    /// True if no call waits or is in progress.
    pub(super) fn has_no_calls(&self) -> bool {
        self.queue.is_empty() && !self.in_call
    }
}

/// What an inventory is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum InventoryKind {
    /// All attempts are in it.
    Full,
    /// Only changes are in it.
    Changes,
    /// The worker has restarted: the whole inventory must be read.
    Restarted,
}

/// All workers.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    workers: BTreeMap<String, WorkerView>,
}

impl Fleet {
    /// Adds a worker or updates its address.
    pub(super) fn upsert(&mut self, name: &str, address: &str, draining: bool, now: Instant) {
        let view = self.workers.entry(name.to_owned()).or_insert_with(|| WorkerView {
            address: String::new(),
            draining,
            incarnation: None,
            base: None,
            seen_ms: 0,
            next_poll: now,
            polling: false,
            full_poll: false,
            has_service: false,
            last_change_at: now,
            answered_at: None,
            failures: 0,
            queue: VecDeque::new(),
            in_call: false,
        });
        address.clone_into(&mut view.address);
        view.draining = draining;
    }

    /// Removes a worker.
    pub(super) fn remove(&mut self, name: &str) {
        self.workers.remove(name);
    }

    /// Names of the workers.
    pub(super) fn names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// One worker.
    pub(super) fn get(&self, name: &str) -> Option<&WorkerView> {
        self.workers.get(name)
    }

    /// Notes whether a service is measured on a worker.
    pub(super) fn set_service(&mut self, name: &str, has_service: bool) {
        if let Some(view) = self.workers.get_mut(name) {
            view.has_service = has_service;
        }
    }

    /// Adds a call behind the ones that wait. False if the worker is not known.
    pub(super) fn push(&mut self, name: &str, call: WorkerCall) -> bool {
        let Some(view) = self.workers.get_mut(name) else { return false };
        view.queue.push_back(call);
        true
    }

    /// Queues the inventory reads that are due.
    pub(super) fn queue_polls(&mut self, now: Instant, period: Duration) {
        for view in self.workers.values_mut() {
            if view.polling || now < view.next_poll {
                continue;
            }
            view.polling = true;
            let idle = now >= view.last_change_at + IDLE_AFTER;
            view.next_poll = now + if idle { period * IDLE_POLL_FACTOR } else { period };
            view.full_poll = view.seen_ms == 0 || view.has_service;
            let changed_after_ms = if view.full_poll { 0 } else { view.seen_ms };
            let req = InventoryRequest { changed_after_ms };
            view.queue.push_back(WorkerCall::Inventory(req));
        }
    }

    /// Makes the next poll of a worker due at once or after the short period.
    pub(super) fn poll_soon(&mut self, name: &str, now: Instant, period: Duration) {
        if let Some(view) = self.workers.get_mut(name) {
            view.last_change_at = now;
            view.next_poll = view.next_poll.min(now + period);
        }
    }

    /// Passes the calls that may be made now to `send`, which returns a call that the ring did not take.
    pub(super) fn dispatch(
        &mut self,
        epoch: u64,
        mut send: impl FnMut(QueuedCall) -> Result<(), QueuedCall>,
    ) {
        let mut suspect_calls =
            self.workers.values().filter(|view| view.in_call && view.failures > 0).count();
        for (name, view) in &mut self.workers {
            let suspect = view.failures > 0;
            if view.in_call || suspect && suspect_calls >= MAX_SUSPECT_CALLS {
                continue;
            }
            let Some(call) = view.queue.pop_front() else { continue };
            let queued =
                QueuedCall { worker: name.clone(), address: view.address.clone(), epoch, call };
            match send(queued) {
                Ok(()) => {
                    view.in_call = true;
                    suspect_calls += usize::from(suspect);
                }
                Err(queued) => {
                    view.queue.push_front(queued.call);
                    return;
                }
            }
        }
    }

    /// A call has ended.
    pub(super) fn on_end(&mut self, name: &str, answered: bool, at: Instant) {
        let Some(view) = self.workers.get_mut(name) else { return };
        view.in_call = false;
        if answered {
            view.answered_at = Some(at);
            view.failures = 0;
        } else {
            view.failures = view.failures.saturating_add(1);
        }
    }

    /// An inventory read failed.
    pub(super) fn on_poll_failed(&mut self, name: &str) {
        if let Some(view) = self.workers.get_mut(name) {
            view.polling = false;
        }
    }

    /// Takes only the clock of an inventory, which is enough to renew leases.
    pub(super) fn on_clock(&mut self, name: &str, inventory: &Inventory, at: Instant) {
        if let Some(view) = self.workers.get_mut(name) {
            view.polling = false;
            view.base = Some(ClockBase { time_ms: inventory.time_ms, received_at: at });
        }
    }

    /// Takes the clock and the progress of an inventory.
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
            view.seen_ms = 0;
            view.next_poll = at;
            // The clock of the old incarnation says nothing any more.
            view.base = None;
            return Some(InventoryKind::Restarted);
        }
        view.base = Some(ClockBase { time_ms: inventory.time_ms, received_at: at });
        view.incarnation = Some(inventory.incarnation);
        // A change in the millisecond of the answer may have come after it, so that millisecond is read again.
        view.seen_ms = inventory.time_ms.saturating_sub(1);
        Some(if full { InventoryKind::Full } else { InventoryKind::Changes })
    }

    /// Forgets what was read before the predecessor's starts had lapsed.
    pub(super) fn read_all_again(&mut self, now: Instant) {
        for view in self.workers.values_mut() {
            view.seen_ms = 0;
            view.next_poll = now;
        }
    }
}
