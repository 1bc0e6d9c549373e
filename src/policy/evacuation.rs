//! Decides how a failure domain is evacuated, and how fast it is filled after its return.
//!
//! Latency-critical (urgent) attempts go first: one that may run twice is replaced in another domain before it is
//! stopped here, an exclusive one is evicted. The domain scheduler passes all attempts as exclusive. Batch work follows
//! at the rate at which the object store accepts checkpoints, because a checkpoint that times out loses the work since
//! the previous one. After the return of a domain its start rate is ramped up.

pub mod destination;
pub mod transfer_window;

use std::time::{Duration, Instant};

pub use destination::{Destinations, Headroom};
pub use transfer_window::TransferWindow;

use crate::catalogue::Class;
use crate::platform::worker::AttemptRef;

/// Start rate of a returned domain at the beginning of the ramp.
const RAMP_START_PER_S: f64 = 4.0;

/// Time in which the start rate of a returned domain doubles.
const RAMP_DOUBLING: Duration = Duration::from_secs(5);

/// Start rate at which the ramp ends; equals the peak start rate of a fleet of the planned size.
const RAMP_END_PER_S: f64 = 200.0;

/// Starts that can accumulate while the rate is lower than this per second. Later, the starts of one second can.
const RAMP_BURST: f64 = 8.0;

/// A running attempt in a domain that is being evacuated.
#[derive(Clone, Debug, PartialEq)]
pub struct EvacuatingAttempt {
    /// Task and attempt number.
    pub attempt: AttemptRef,
    /// Class of the catalogue entry.
    pub class: Class,
    /// Priority within the class; higher goes first.
    pub priority: u8,
    /// True if two attempts of the task must never run at the same time.
    pub exclusive: bool,
    /// Cores committed to the attempt.
    pub cores: f64,
    /// Time since the last checkpoint; the work of this time is lost if the attempt is stopped without another one.
    pub since_checkpoint: Duration,
    /// True once a replacement runs in another domain.
    pub replaced: bool,
}

/// Next action for an attempt in a domain that is being evacuated.
#[derive(Clone, Debug, PartialEq)]
pub enum EvacuationAction {
    /// Start another attempt of the task in another domain; this one runs on until the replacement runs.
    Replace {
        /// Attempt to replace.
        attempt: AttemptRef,
    },
    /// Stop an attempt whose replacement runs.
    Stop {
        /// Attempt to stop.
        attempt: AttemptRef,
    },
    /// Request a checkpoint, stop the attempt and requeue the task in another domain.
    Evict {
        /// Attempt to evict.
        attempt: AttemptRef,
    },
}

/// Returns the next actions for a domain that is being evacuated. `residents` are the attempts without an action in
/// progress, `latency_critical_in_progress` is the number of latency-critical attempts with one, and `transfer_window`
/// bounds the checkpoints that may begin. Exclusive latency-critical attempts are evicted before all batch work, and
/// batch attempts by priority, then by most work since the last checkpoint.
#[must_use]
pub fn next_actions(
    residents: &[EvacuatingAttempt],
    latency_critical_in_progress: usize,
    transfer_window: &TransferWindow,
) -> Vec<EvacuationAction> {
    let is_latency_critical =
        |resident: &&EvacuatingAttempt| resident.class == Class::LatencyCritical;
    let mut actions = Vec::new();
    for resident in
        residents.iter().filter(is_latency_critical).filter(|resident| !resident.exclusive)
    {
        let attempt = resident.attempt.clone();
        actions.push(if resident.replaced {
            EvacuationAction::Stop { attempt }
        } else {
            EvacuationAction::Replace { attempt }
        });
    }
    let latency_critical_left =
        residents.iter().filter(is_latency_critical).any(|resident| !resident.replaced)
            || latency_critical_in_progress > 0;
    let mut evictable: Vec<&EvacuatingAttempt> = residents
        .iter()
        .filter(|resident| match resident.class {
            Class::LatencyCritical => resident.exclusive,
            Class::Batch => !latency_critical_left,
        })
        .collect();
    // The most unsaved work goes first, because the VMs may stop before the last attempt has written its checkpoint.
    evictable.sort_by(|a, b| {
        let at_risk =
            |resident: &EvacuatingAttempt| resident.since_checkpoint.as_secs_f64() * resident.cores;
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

/// Token bucket for the task starts in a returned domain, with a rate that doubles every `RAMP_DOUBLING`.
#[derive(Clone, Debug)]
pub struct Ramp {
    returned_at: Instant,
    refilled_at: Instant,
    /// Starts that may be made now.
    tokens: f64,
}

impl Ramp {
    /// Begins a ramp at the time at which the domain returned to service.
    #[must_use]
    pub fn new(returned_at: Instant) -> Self {
        Self { returned_at, refilled_at: returned_at, tokens: 0.0 }
    }

    /// Starts allowed now; `None` once the ramp has ended and starts are no longer limited.
    pub fn allowance(&mut self, now: Instant) -> Option<usize> {
        let age = now.saturating_duration_since(self.returned_at);
        let doublings = age.as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
        let rate = RAMP_START_PER_S * doublings.exp2();
        if rate >= RAMP_END_PER_S {
            return None;
        }
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let max_tokens = RAMP_BURST.max(rate);
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(max_tokens);
        Some(self.tokens as usize)
    }

    /// Deducts starts that were made.
    pub fn record_starts(&mut self, starts: usize) {
        self.tokens = (self.tokens - starts as f64).max(0.0);
    }
}
