//! Limits the concurrent transfers between the workers of a domain and the object store.
//!
//! The bandwidth of the store is shared and unknown, so the window adapts: it grows while transfers are quick and
//! halves when one is slow or fails. Each scheduler keeps its own window; the schedulers do not coordinate.
//!
//! The domain scheduler counts the checkpoints that evictions write. The window can also count the restores of resumed
//! tasks: limiting the starts alone is not enough, because restores that time out begin again and keep the store
//! saturated. A restore is complete when the worker first reports usage of the attempt.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::platform::worker::AttemptRef;

/// Window of a new scheduler, in transfers.
const INITIAL_WINDOW: f64 = 4.0;

/// Largest window of one domain, in transfers.
const MAX_WINDOW: f64 = 64.0;

/// Duration above which a transfer counts as slow. It is far below the transfer timeout of the workers, so that the
/// window shrinks before transfers fail.
const SLOW_TRANSFER: Duration = Duration::from_secs(8);

/// Bounds the concurrent transfers of a domain, like the congestion window of TCP.
#[derive(Clone, Debug)]
pub struct TransferWindow {
    window: f64,
    /// True (slow start) until the first slow or failed transfer. While true, the window doubles with each full round
    /// of transfers.
    in_slow_start: bool,
    in_flight: BTreeMap<AttemptRef, Instant>,
    /// Time of the last decrease. Transfers that began earlier ran under a larger window and cause no second decrease.
    decreased_at: Option<Instant>,
}

impl Default for TransferWindow {
    fn default() -> Self {
        Self {
            window: INITIAL_WINDOW,
            in_slow_start: true,
            in_flight: BTreeMap::new(),
            decreased_at: None,
        }
    }
}

impl TransferWindow {
    /// Number of transfers that may begin now.
    #[must_use]
    pub fn allowance(&self) -> usize {
        (self.window as usize).saturating_sub(self.in_flight.len())
    }

    /// Number of transfers in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds a transfer that begins.
    pub fn begin(&mut self, attempt: &AttemptRef, now: Instant) {
        self.in_flight.insert(attempt.clone(), now);
    }

    /// Removes a successful transfer and grows the window, or shrinks it if the transfer was slow.
    pub fn complete(&mut self, attempt: &AttemptRef, now: Instant) {
        let Some(began) = self.in_flight.remove(attempt) else { return };
        if now.saturating_duration_since(began) > SLOW_TRANSFER {
            self.decrease(began, now);
        } else {
            let growth = if self.in_slow_start { 1.0 } else { 1.0 / self.window };
            self.window = (self.window + growth).min(MAX_WINDOW);
        }
    }

    /// Removes a transfer that failed or timed out and shrinks the window.
    pub fn fail(&mut self, attempt: &AttemptRef, now: Instant) {
        if let Some(began) = self.in_flight.remove(attempt) {
            self.decrease(began, now);
        }
    }

    /// Shrinks the window if a transfer in progress is already slow. Called once per tick.
    pub fn check(&mut self, now: Instant) {
        let oldest = self.in_flight.values().min().copied();
        if let Some(began) = oldest
            && now.saturating_duration_since(began) > SLOW_TRANSFER
        {
            self.decrease(began, now);
        }
    }

    /// Halves the window, at most once for transfers that ran at the same time.
    fn decrease(&mut self, began: Instant, now: Instant) {
        if self.decreased_at.is_some_and(|decreased_at| began < decreased_at) {
            return;
        }
        self.window = (self.window / 2.0).max(1.0);
        self.in_slow_start = false;
        self.decreased_at = Some(now);
    }
}
