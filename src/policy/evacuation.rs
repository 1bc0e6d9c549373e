//! Decides how a failure domain is emptied and filled again.
//!
//! Services go first: each is started elsewhere before it is stopped here. Batch work follows at the rate at which the
//! object store takes checkpoints, because a checkpoint that times out loses the work since the one before. A domain
//! that returns is filled by a ramp, and starts that read a checkpoint also wait for the transfer window of the same
//! store.

pub mod destination;
pub mod transfer_window;

use std::time::{Duration, Instant};

pub use destination::{Destinations, Headroom};
pub use transfer_window::TransferWindow;

use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;

/// Starts per second that a returned domain begins with.
const RAMP_START_PER_S: f64 = 4.0;

/// Time in which the allowed rate of a returned domain doubles.
const RAMP_DOUBLING: Duration = Duration::from_secs(5);

/// Starts per second at which the ramp ends, the peak rate of the coming size.
const RAMP_END_PER_S: f64 = 200.0;

/// Starts that may be saved up while there is nothing to start.
const RAMP_BURST: f64 = 8.0;

/// An attempt in a domain that is left.
#[derive(Clone, Debug, PartialEq)]
pub struct Resident {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Class of its entry.
    pub class: Class,
    /// Order within the class.
    pub priority: u8,
    /// True if its task must never run in two places.
    pub exclusive: bool,
    /// Cores that it occupies.
    pub cores: f64,
    /// Time since its last checkpoint.
    pub unsaved: Duration,
    /// True once a replacement runs in another domain.
    pub replaced: bool,
}

/// What to do next with an attempt of a domain that is left.
#[derive(Clone, Debug, PartialEq)]
pub enum EvacuationAction {
    /// Start another attempt of the task elsewhere and leave this one running until that one runs.
    Replace {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Stop the attempt: its replacement runs.
    Stop {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Ask for a checkpoint, stop the attempt and requeue the task elsewhere.
    Evict {
        /// The attempt.
        attempt: AttemptRef,
    },
}

/// Decides the next actions of a domain that is left. `residents` are the attempts for which no action is under way;
/// `transfer_window` says how many checkpoints may begin.
///
/// Attempts that may not run twice are evicted, services among them before all batch work. Among batch work the one
/// with the most unsaved work goes first, because the VMs may leave before the last one is saved.
#[must_use]
pub fn next_actions(
    residents: &[Resident],
    services_under_way: usize,
    transfer_window: &TransferWindow,
) -> Vec<EvacuationAction> {
    let is_service = |resident: &&Resident| resident.class == Class::LatencyCritical;
    let mut actions = Vec::new();
    for resident in residents.iter().filter(is_service).filter(|resident| !resident.exclusive) {
        let attempt = resident.attempt.clone();
        actions.push(if resident.replaced {
            EvacuationAction::Stop { attempt }
        } else {
            EvacuationAction::Replace { attempt }
        });
    }
    let services_left = residents.iter().filter(is_service).any(|resident| !resident.replaced)
        || services_under_way > 0;
    let mut evictable: Vec<&Resident> = residents
        .iter()
        .filter(|resident| match resident.class {
            Class::LatencyCritical => resident.exclusive,
            Class::Batch => !services_left,
        })
        .collect();
    evictable.sort_by(|a, b| {
        let at_risk = |resident: &Resident| resident.unsaved.as_secs_f64() * resident.cores;
        (a.class, std::cmp::Reverse(a.priority))
            .cmp(&(b.class, std::cmp::Reverse(b.priority)))
            .then_with(|| at_risk(b).total_cmp(&at_risk(a)))
            .then_with(|| a.attempt.cmp(&b.attempt))
    });
    let evictions = evictable.into_iter().take(transfer_window.allowance());
    actions.extend(
        evictions.map(|resident| EvacuationAction::Evict { attempt: resident.attempt.clone() }),
    );
    actions
}

/// Starts that a returned domain may make.
#[derive(Clone, Debug)]
pub struct Ramp {
    returned_at: Instant,
    counted_to: Instant,
    /// Starts allowed and not yet made.
    tokens: f64,
}

impl Ramp {
    /// Begins when the domain is in service again.
    #[must_use]
    pub fn new(returned_at: Instant) -> Self {
        Self { returned_at, counted_to: returned_at, tokens: 0.0 }
    }

    /// Starts allowed now; `None` once the ramp has ended and the domain is like any other.
    pub fn allowance(&mut self, now: Instant) -> Option<usize> {
        let age = now.saturating_duration_since(self.returned_at);
        let doublings = age.as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
        let rate = RAMP_START_PER_S * doublings.exp2();
        if rate >= RAMP_END_PER_S {
            return None;
        }
        let passed = now.saturating_duration_since(self.counted_to);
        self.counted_to = now;
        let most = RAMP_BURST.max(rate);
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(most);
        Some(self.tokens as usize)
    }

    /// Counts starts that were made.
    pub fn count(&mut self, starts: usize) {
        self.tokens = (self.tokens - starts as f64).max(0.0);
    }
}
