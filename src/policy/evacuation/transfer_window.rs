//! How many transfers to the object store run at the same time.
//!
//! The store's bandwidth is shared and not known, so the number follows what the store shows: it grows while transfers
//! are quick and halves when one is slow or fails. Each scheduler learns this alone.
//!
//! Checkpoints of evictions and restores of resumed tasks are counted together. A limit on the starts alone is not
//! enough: restores that time out begin again and keep the store full. A restore ends when the worker first reports
//! usage of the attempt.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::platform::worker::AttemptRef;

/// Transfers at the start.
const START: f64 = 4.0;

/// Most transfers of one domain.
const MOST: f64 = 64.0;

/// Duration above which a transfer counts as slow. It is far below the time after which workers give a transfer up, so
/// that the number falls before transfers fail.
const SLOW: Duration = Duration::from_secs(8);

/// Bounds the concurrent transfers of a domain, like the congestion window of a network protocol.
#[derive(Clone, Debug)]
pub struct TransferWindow {
    window: f64,
    /// Until the first slow transfer the number doubles with each round of transfers.
    is_probing: bool,
    in_flight: BTreeMap<AttemptRef, Instant>,
    /// Transfers that began before this say nothing about the present number.
    decreased_at: Option<Instant>,
}

impl Default for TransferWindow {
    fn default() -> Self {
        Self { window: START, is_probing: true, in_flight: BTreeMap::new(), decreased_at: None }
    }
}

impl TransferWindow {
    /// Transfers that may begin now.
    #[must_use]
    pub fn allowance(&self) -> usize {
        (self.window as usize).saturating_sub(self.in_flight.len())
    }

    /// Transfers under way.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Counts a transfer that begins.
    pub fn begin(&mut self, attempt: &AttemptRef, now: Instant) {
        self.in_flight.insert(attempt.clone(), now);
    }

    /// Counts a transfer that ended well.
    pub fn complete(&mut self, attempt: &AttemptRef, now: Instant) {
        let Some(began) = self.in_flight.remove(attempt) else { return };
        if now.saturating_duration_since(began) > SLOW {
            self.decrease(began, now);
        } else {
            let growth = if self.is_probing { 1.0 } else { 1.0 / self.window };
            self.window = (self.window + growth).min(MOST);
        }
    }

    /// Counts a transfer that failed or timed out.
    pub fn fail(&mut self, attempt: &AttemptRef, now: Instant) {
        if let Some(began) = self.in_flight.remove(attempt) {
            self.decrease(began, now);
        }
    }

    /// Reacts to transfers that are slow but have not ended. Call it once per tick.
    pub fn check(&mut self, now: Instant) {
        let slowest = self.in_flight.values().min().copied();
        if let Some(began) = slowest
            && now.saturating_duration_since(began) > SLOW
        {
            self.decrease(began, now);
        }
    }

    /// Halves the number, at most once for the transfers that ran at the same time.
    fn decrease(&mut self, began: Instant, now: Instant) {
        if self.decreased_at.is_some_and(|decreased_at| began < decreased_at) {
            return;
        }
        self.window = (self.window / 2.0).max(1.0);
        self.is_probing = false;
        self.decreased_at = Some(now);
    }
}
