//! The role of this process in each domain, shared by the threads of the scheduler and the peer interface.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::domain::hold::Delays;
use crate::domain::hold::candidate::Candidate;
use crate::domain::hold::holding::Holding;
use crate::ops::Context;
use crate::platform::table::Revision;
use crate::task::TaskRow;

/// Role of this process in one domain.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Candidate(Candidate),
    Holder(Holding),
}

/// Hold received in a hand-over message, which waits for the hold thread.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHandOver {
    pub(super) epoch: u64,
    pub(super) at: Instant,
    pub(super) tasks: Vec<(TaskRow, Revision)>,
}

/// Roles by domain.
#[derive(Clone, Debug)]
pub(super) struct SharedHolds {
    roles: Arc<Mutex<BTreeMap<String, Role>>>,
    hand_over: Arc<Mutex<Option<ReceivedHandOver>>>,
}

impl SharedHolds {
    /// Makes this process a candidate in every domain of the settings.
    pub(super) fn new(cx: &Context) -> Self {
        let delays = delays(cx);
        let candidate = |domain: &String| {
            (domain.clone(), Role::Candidate(Candidate::new(&cx.process, delays)))
        };
        Self {
            roles: Arc::new(Mutex::new(cx.cfg.domains.iter().map(candidate).collect())),
            hand_over: Arc::default(),
        }
    }

    /// Removes and returns the hold received in a hand-over message since the last call.
    pub(super) fn take_hand_over(&self) -> Option<ReceivedHandOver> {
        self.hand_over.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Stores a hold received in a hand-over message for the hold thread.
    pub(super) fn put_hand_over(&self, handed: ReceivedHandOver) {
        *self.hand_over.lock().unwrap_or_else(PoisonError::into_inner) = Some(handed);
    }

    /// Locks all roles. The call threads need the lock before each message, so it must not be held during I/O.
    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Role>> {
        self.roles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true while this process may schedule the domain under this epoch.
    pub(super) fn may_schedule(&self, domain: &str, epoch: u64, now: Instant) -> bool {
        match self.lock().get(domain) {
            Some(Role::Holder(holding)) => holding.epoch() == epoch && holding.may_schedule(now),
            _ => false,
        }
    }

    /// Returns a copy of the hold, if this process is the holder.
    pub(super) fn holding(&self, domain: &str) -> Option<Holding> {
        match self.lock().get(domain) {
            Some(Role::Holder(holding)) => Some(holding.clone()),
            _ => None,
        }
    }

    /// Calls `act` with this process's candidacy to hold a domain, and returns the result. Returns `None` if this
    /// process already holds the domain, or if the domain is not in the settings.
    pub(super) fn with_candidate<R>(
        &self,
        domain: &str,
        act: impl FnOnce(&mut Candidate) -> R,
    ) -> Option<R> {
        match self.lock().get_mut(domain) {
            Some(Role::Candidate(candidate)) => Some(act(candidate)),
            _ => None,
        }
    }

    /// Calls `act` with this process's hold of a domain, and returns the result. Returns `None` if this process does
    /// not hold the domain, or if the domain is not in the settings.
    pub(super) fn with_holding<R>(
        &self,
        domain: &str,
        act: impl FnOnce(&mut Holding) -> R,
    ) -> Option<R> {
        match self.lock().get_mut(domain) {
            Some(Role::Holder(holding)) => Some(act(holding)),
            _ => None,
        }
    }

    /// Replaces the role in a domain.
    pub(super) fn set(&self, domain: &str, role: Role) {
        self.lock().insert(domain.to_owned(), role);
    }
}

/// Returns the delays of claims from the settings.
pub(super) fn delays(cx: &Context) -> Delays {
    Delays {
        successor: cx.cfg.timing.scheduler_lease(),
        rescuer: cx.cfg.timing.hold_time(),
        unlisted: cx.cfg.timing.force_time(),
    }
}
