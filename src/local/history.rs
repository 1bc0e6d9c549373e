//! History of the events in the stand-ins, for the checker that the tests share and for the summary of `dev --once`.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::clock::{Clock, SystemClock};
use crate::platform::table::{CommitResult, Transaction};
use crate::platform::worker::{AttemptRef, AttemptState};
use crate::worker::Resources;

/// An event in a stand-in.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A worker started an attempt.
    AttemptStarted {
        /// Name of the worker.
        worker: String,
        /// Failure domain of the worker.
        domain: String,
        /// Task and attempt number.
        attempt: AttemptRef,
        /// Name of the catalogue entry.
        entry: String,
        /// Resources reserved for the attempt.
        resources: Resources,
        /// Total resources of the worker.
        capacity: Resources,
        /// Name of the checkpoint that it resumed from; `None` if it started from the beginning.
        checkpoint: Option<String>,
    },
    /// An attempt ended, or was lost in a restart of its worker.
    AttemptEnded {
        /// Name of the worker.
        worker: String,
        /// Task and attempt number.
        attempt: AttemptRef,
        /// Any state but `Running`; `Lapsed` for an attempt lost in a restart.
        state: AttemptState,
    },
    /// An executor began to run a request.
    RequestStarted {
        /// Name of the target.
        target: String,
        /// Value of the request id header, empty without one.
        request_id: String,
        /// The caller's idempotency key, if any.
        key: Option<String>,
        /// Body of the request.
        body: Vec<u8>,
        /// Requests that occupy a slot at the start, this one included.
        in_flight: u32,
        /// Open connections to the executor at the start, those of health checks included.
        connections: u32,
    },
    /// An executor finished a request.
    RequestEnded {
        /// Name of the target.
        target: String,
        /// Value of the request id header, empty without one.
        request_id: String,
    },
    /// The table decided a transaction, once per operation id.
    Transaction {
        /// The transaction as received.
        transaction: Transaction,
        /// The table's decision.
        result: CommitResult,
    },
}

/// The events with their times, in order. Clones share them. Times are the clock's boot time, which also passes while
/// the machine is suspended.
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
    /// Creates an empty history that takes its times from `clock`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, events: Arc::default() }
    }

    /// Returns the clock that gives the times of the events.
    #[must_use]
    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.clock)
    }

    /// Adds an event with the current time.
    pub fn record(&self, event: HistoryEvent) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that the events are in time order.
        events.push((self.clock.boot(), event));
    }

    /// Returns all events so far, each with its time.
    #[must_use]
    pub fn snapshot(&self) -> Vec<(Duration, HistoryEvent)> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
