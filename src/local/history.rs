//! What the stand-ins saw, in order, for the checker that the tests share and for the summary of `dev --once`.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::clock::{Clock, SystemClock};
use crate::platform::table::{CommitResult, Transaction};
use crate::platform::worker::{AttemptRef, AttemptState};
use crate::worker::Resources;

/// An event that a stand-in recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A worker started an attempt.
    AttemptStarted {
        /// The worker.
        worker: String,
        /// Its domain.
        domain: String,
        /// The attempt.
        attempt: AttemptRef,
        /// Catalogue entry.
        entry: String,
        /// What it may use.
        resources: Resources,
        /// Capacity of the worker.
        capacity: Resources,
        /// Checkpoint it resumed from.
        checkpoint: Option<String>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: AttemptRef,
        /// How it ended.
        state: AttemptState,
    },
    /// An executor began to run a request.
    RequestStarted {
        /// The target.
        target: String,
        /// Request id as received.
        request_id: String,
        /// The caller's idempotency key, if any.
        key: Option<String>,
        /// The body.
        body: Vec<u8>,
        /// Requests that occupy a slot, this one included.
        in_flight: u32,
        /// Open connections.
        connections: u32,
    },
    /// An executor finished a request.
    RequestEnded {
        /// The target.
        target: String,
        /// Request id as received.
        request_id: String,
    },
    /// The table decided a transaction.
    Transaction {
        /// The transaction.
        transaction: Transaction,
        /// Its result.
        result: CommitResult,
    },
}

/// The record. Cloning shares it. Times are the clock's boot time, which goes on in a suspension.
#[derive(Clone, Debug)]
pub struct History {
    clock: Arc<dyn Clock>,
    events: Arc<Mutex<Vec<(Duration, HistoryEvent)>>>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(Arc::new(SystemClock))
    }
}

impl History {
    /// An empty record.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, events: Arc::default() }
    }

    /// The clock that events are timed by.
    #[must_use]
    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.clock)
    }

    /// Adds an event with the current time.
    pub fn record(&self, event: HistoryEvent) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that events are in time order.
        events.push((self.clock.boot(), event));
    }

    /// All events so far.
    #[must_use]
    pub fn snapshot(&self) -> Vec<(Duration, HistoryEvent)> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
