//! The open connections of a listener, and which of them makes room for a new one.
//!
//! A connection that has sent no complete request may never send one. If it kept its place, a few thousand such
//! connections would shut out all other callers. So at the limit the connection that has waited longest is closed: for
//! the next request, for the rest of a header or body, or for the caller to read an answer. Connections whose requests
//! are being handled stay open.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::telemetry::Metrics;
use crate::telemetry::event::request as event;

/// Most connections whose callers don't read an answer. What they leave unread occupies the kernel's buffers.
const MAX_BLOCKED_WRITES: usize = 64;

/// Shortest time between two log lines about closed connections.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Connections of one listener.
#[derive(Debug)]
pub(super) struct Connections {
    limit: usize,
    open: Cell<usize>,
    next_number: Cell<u64>,
    /// Connections that no handler works for, by the time since which they wait and by number.
    waiting: RefCell<BTreeMap<(Instant, u64), Rc<Notify>>>,
    /// Connections whose callers do not read what is sent, by the time since which they don't and by number.
    blocked: RefCell<BTreeMap<(Instant, u64), Rc<Notify>>>,
    /// Notified when a connection has closed.
    has_closed: Notify,
    metrics: Metrics,
    closed: Cell<u64>,
    refused: Cell<u64>,
    reported: Cell<Option<Instant>>,
}

/// An open connection. Dropping it frees its place.
#[derive(Debug)]
pub(super) struct Connection {
    all: Rc<Connections>,
    number: u64,
    /// `None` while a handler works for it.
    waits_since: Cell<Option<Instant>>,
    /// `None` while the caller reads what is sent.
    blocked_since: Cell<Option<Instant>>,
    /// True while the answer of a handler is written.
    is_answering: Arc<AtomicBool>,
    is_closed: Rc<Notify>,
}

impl Connections {
    pub(super) fn new(limit: usize, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            limit,
            open: Cell::new(0),
            next_number: Cell::new(0),
            waiting: RefCell::default(),
            blocked: RefCell::default(),
            has_closed: Notify::new(),
            metrics,
            closed: Cell::new(0),
            refused: Cell::new(0),
            reported: Cell::new(None),
        })
    }

    /// Number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes a place, after closing another connection if necessary. `None` if handlers work for all of them.
    pub(super) async fn admit(self: &Rc<Self>) -> Option<Connection> {
        if self.open.get() >= self.limit && !self.close_longest_waiting() {
            self.refused.set(self.refused.get() + 1);
            self.metrics.count("callers.connections_refused", 1);
            self.report();
            return None;
        }
        // An earlier end of another connection may have left a notification.
        while self.open.get() >= self.limit {
            self.has_closed.notified().await;
        }
        self.open.set(self.open.get() + 1);
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Connection {
            all: Rc::clone(self),
            number,
            waits_since: Cell::new(None),
            blocked_since: Cell::new(None),
            is_answering: Arc::default(),
            is_closed: Rc::default(),
        };
        connection.wait();
        Some(connection)
    }

    fn close_longest_waiting(&self) -> bool {
        let Some((_, is_closed)) = self.waiting.borrow_mut().pop_first() else { return false };
        self.close(&is_closed);
        true
    }

    fn close(&self, is_closed: &Notify) {
        is_closed.notify_one();
        self.closed.set(self.closed.get() + 1);
        self.metrics.count("callers.connections_closed", 1);
        self.report();
    }

    /// Logs what was closed and refused since the last line, unless that was shortly before.
    fn report(&self) {
        let now = Instant::now();
        if self.reported.get().is_some_and(|last| now - last < REPORT_PERIOD) {
            return;
        }
        self.reported.set(Some(now));
        self.metrics.gauge("callers.connections", self.open.get() as u64);
        event::CONNECTIONS_CLOSED.emit(format_args!(
            "closed={} refused={} open={} limit={}",
            self.closed.take(),
            self.refused.take(),
            self.open.get(),
            self.limit
        ));
    }
}

impl Connection {
    /// Set from the end of a handler until its answer is written.
    pub(super) fn is_answering(&self) -> &Arc<AtomicBool> {
        &self.is_answering
    }

    /// Waits until the connection must close to make room for another.
    pub(super) async fn closed(&self) {
        self.is_closed.notified().await;
    }

    /// A handler begins to work for the connection, which can't be closed meanwhile.
    pub(super) fn begin_handling(&self) {
        if let Some(since) = self.waits_since.take() {
            self.all.waiting.borrow_mut().remove(&(since, self.number));
        }
    }

    /// The connection waits for its caller from now on: at its begin, after a handler, and after progress of a body.
    pub(super) fn wait(&self) {
        self.begin_handling();
        let now = Instant::now();
        self.waits_since.set(Some(now));
        self.all.waiting.borrow_mut().insert((now, self.number), Rc::clone(&self.is_closed));
    }
}

impl Connection {
    /// The caller has not read what was sent before, so a write has to wait. If there are too many such connections,
    /// closes the one that has waited longest.
    pub(super) fn begin_blocked_write(&self) {
        if self.blocked_since.get().is_some() {
            return;
        }
        let now = Instant::now();
        self.blocked_since.set(Some(now));
        let mut blocked = self.all.blocked.borrow_mut();
        blocked.insert((now, self.number), Rc::clone(&self.is_closed));
        if blocked.len() > MAX_BLOCKED_WRITES
            && let Some((_, is_closed)) = blocked.pop_first()
        {
            drop(blocked);
            self.all.close(&is_closed);
        }
    }

    /// The caller reads.
    pub(super) fn end_blocked_write(&self) {
        if let Some(since) = self.blocked_since.take() {
            self.all.blocked.borrow_mut().remove(&(since, self.number));
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.begin_handling();
        self.end_blocked_write();
        self.all.open.set(self.all.open.get() - 1);
        self.all.has_closed.notify_one();
    }
}
