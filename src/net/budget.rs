//! Memory that the requests of callers may occupy, as a sum over all connections of a process.
//!
//! Limits per request don't bound the sum: thousands of connections may each hold a legal body back, or wait for their
//! answers at the same time. So each request claims its share before its body is read, keeps it until its answer has
//! been written, and is refused at once if there is none. An announced length is claimed as a whole, a chunked body
//! claims more as it grows. Part of the memory is out of reach of large requests, so that small ones are still served
//! beside them. When a claim fails, bodies that have made no progress for a while are dropped in its favour, the one
//! that has waited longest first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::telemetry::Metrics;
use crate::telemetry::event::request as event;

/// Memory of a request besides its body: headers, decoded form and answer.
pub const REQUEST_BYTES: usize = 32 << 10;

/// Largest body of a request that may use the part of the memory that is reserved for small requests.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// The memory that is reserved for small requests, as a divisor of the whole.
const SMALL_PART: usize = 4;

/// Time without progress after which a body may be dropped in favour of another request.
const STALLED_TIME: Duration = Duration::from_secs(1);

/// Bytes that a body must receive within [`STALLED_TIME`] to count as making progress.
const PROGRESS_BYTES: usize = 1 << 10;

/// First allocation for a body whose length is not announced.
const FIRST_CAPACITY: usize = 4 << 10;

/// Refused bodies of which the rest is read at the same time.
const DISCARDED_BODIES: usize = 4;

/// Bodies in many small frames that are read at the same time. The processor time of such a frame is that of a large one.
const FRAGMENTED_BODIES: usize = 4;

/// Shortest time between two log lines about refused requests.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The memory for requests is claimed by others, or the body takes too much processor time beside others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

/// Size of a [`RequestBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Sum of all requests in bytes.
    pub bytes: usize,
    /// Times that a body is in memory while its request is handled.
    pub copies: usize,
}

impl BudgetLimits {
    /// Smallest sum with which a single body of `body_bytes` is accepted, in bytes. A body whose length is not announced
    /// is copied when it grows.
    #[must_use]
    pub fn smallest(body_bytes: usize, copies: usize) -> usize {
        2 * (REQUEST_BYTES + body_bytes * copies) * SMALL_PART / (SMALL_PART - 1)
    }
}

/// The memory for requests of one process. All its listeners share it, on one event loop.
#[derive(Debug)]
pub struct RequestBudget {
    limits: BudgetLimits,
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    discarded: Arc<Semaphore>,
    fragmented: Arc<Semaphore>,
    /// Bodies that are being read, by the time of their last progress and a number. Invariant: each has its content.
    partial: RefCell<BTreeMap<(Instant, u64), Rc<Partial>>>,
    next_number: Cell<u64>,
    frames: Cell<u64>,
    metrics: Metrics,
    refused: Cell<u64>,
    dropped: Cell<u64>,
    reported: Cell<Option<Instant>>,
}

/// Memory claimed by one request. Dropping it gives the memory back.
#[derive(Debug)]
pub struct RequestShare {
    _permit: OwnedSemaphorePermit,
}

#[derive(Debug)]
struct Partial {
    /// `None` once the body is complete or was dropped in favour of another request.
    content: RefCell<Option<Content>>,
    is_dropped: Notify,
}

#[derive(Debug)]
struct Content {
    buf: Vec<u8>,
    share: RequestShare,
}

impl RequestBudget {
    /// Creates a budget that is wholly unclaimed.
    #[must_use]
    pub fn new(limits: BudgetLimits, metrics: Metrics) -> Rc<Self> {
        let small = limits.bytes / SMALL_PART;
        let semaphore = |bytes: usize| Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS)));
        Rc::new(Self {
            limits,
            small: semaphore(small),
            large: semaphore(limits.bytes - small),
            discarded: Arc::new(Semaphore::new(DISCARDED_BODIES)),
            fragmented: Arc::new(Semaphore::new(FRAGMENTED_BODIES)),
            partial: RefCell::default(),
            next_number: Cell::new(0),
            frames: Cell::new(0),
            metrics,
            refused: Cell::new(0),
            dropped: Cell::new(0),
            reported: Cell::new(None),
        })
    }

    /// Frames of bodies that were handled so far.
    #[must_use]
    pub fn frames(&self) -> u64 {
        self.frames.get()
    }

    /// Sink of the metrics of the listeners.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Bytes that are claimed.
    #[must_use]
    pub fn claimed(&self) -> usize {
        let free = self.small.available_permits() + self.large.available_permits();
        self.limits.bytes.saturating_sub(free)
    }

    /// Claims the memory of a request whose body has the announced length, or an unknown one.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if too much is claimed by other requests that make progress.
    pub fn start_body(self: &Rc<Self>, announced: Option<usize>) -> Result<PartialBody, Exhausted> {
        let share = self.claim(announced.unwrap_or(0)).ok_or_else(|| self.refuse())?;
        let buf = Vec::with_capacity(announced.unwrap_or(0));
        let partial = Rc::new(Partial {
            content: RefCell::new(Some(Content { buf, share })),
            is_dropped: Notify::new(),
        });
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (Instant::now(), number);
        self.partial.borrow_mut().insert(key, Rc::clone(&partial));
        Ok(PartialBody { budget: Rc::clone(self), key, partial, received: 0, progress: 0 })
    }

    /// Permission to read the rest of a refused body. `None` while enough others are read.
    pub(super) fn start_discarding(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.discarded).try_acquire_owned().ok()
    }

    /// Claims the memory of a request with a body of `length` bytes.
    fn claim(&self, length: usize) -> Option<RequestShare> {
        let bytes = length.checked_mul(self.limits.copies)?.checked_add(REQUEST_BYTES)?;
        let bytes = u32::try_from(bytes).ok()?;
        let is_small = length <= SMALL_BODY_BYTES;
        let acquire = |pool: &Arc<Semaphore>| Arc::clone(pool).try_acquire_many_owned(bytes).ok();
        let try_claim = || {
            let small = is_small.then(|| acquire(&self.small)).flatten();
            small.or_else(|| acquire(&self.large)).map(|permit| RequestShare { _permit: permit })
        };
        loop {
            if let Some(share) = try_claim() {
                return Some(share);
            }
            if !self.drop_stalled() {
                return None;
            }
        }
    }

    /// Drops the body that has waited longest. False if none has waited for [`STALLED_TIME`].
    fn drop_stalled(&self) -> bool {
        let mut all = self.partial.borrow_mut();
        let Some(oldest) = all.first_entry() else { return false };
        if oldest.key().0.elapsed() < STALLED_TIME {
            return false;
        }
        let partial = oldest.remove();
        drop(all);
        partial.content.take();
        partial.is_dropped.notify_one();
        self.dropped.set(self.dropped.get() + 1);
        self.metrics.count("callers.bodies_dropped", 1);
        self.report();
        true
    }

    fn refuse(&self) -> Exhausted {
        self.refused.set(self.refused.get() + 1);
        self.metrics.count("callers.refused", 1);
        self.report();
        Exhausted
    }

    /// Logs what was refused since the last line, unless that was shortly before.
    fn report(&self) {
        let now = Instant::now();
        if self.reported.get().is_some_and(|last| now - last < REPORT_PERIOD) {
            return;
        }
        self.reported.set(Some(now));
        self.metrics.gauge("callers.request_bytes", self.claimed() as u64);
        event::REQUESTS_REFUSED.emit(format_args!(
            "refused={} dropped={} claimed_bytes={} limit_bytes={}",
            self.refused.take(),
            self.dropped.take(),
            self.claimed(),
            self.limits.bytes
        ));
    }
}

/// A body that is being read. Dropping it gives its memory back.
#[derive(Debug)]
pub struct PartialBody {
    budget: Rc<RequestBudget>,
    /// Key in [`RequestBudget::partial`]: time of the last progress, and number.
    key: (Instant, u64),
    partial: Rc<Partial>,
    received: usize,
    /// Bytes received at the last progress.
    progress: usize,
}

impl PartialBody {
    /// Adds the next bytes. Returns true if so many have arrived that the body counts as making progress.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the body was dropped in favour of another request, or must grow and there is no memory for it.
    pub fn append(&mut self, data: &[u8]) -> Result<bool, Exhausted> {
        self.budget.frames.set(self.budget.frames.get() + 1);
        self.received += data.len();
        let has_progress = self.received - self.progress >= PROGRESS_BYTES;
        if has_progress {
            self.progress = self.received;
            self.renew_key();
        }
        let mut content = self.partial.content.take().ok_or(Exhausted)?;
        let needed = content.buf.len() + data.len();
        if needed > content.buf.capacity() {
            let capacity = needed.max(2 * content.buf.capacity()).max(FIRST_CAPACITY);
            // The old share is kept meanwhile, because both buffers exist until the content is copied.
            let share = self.budget.claim(capacity).ok_or_else(|| self.budget.refuse())?;
            content.buf.reserve_exact(capacity - content.buf.len());
            content.share = share;
        }
        content.buf.extend_from_slice(data);
        self.partial.content.replace(Some(content));
        Ok(has_progress)
    }

    /// Permission to go on with a body that arrives in many small frames.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] while enough other such bodies are read.
    pub(super) fn start_fragmented(&self) -> Result<OwnedSemaphorePermit, Exhausted> {
        let permit = Arc::clone(&self.budget.fragmented).try_acquire_owned();
        permit.map_err(|_| self.budget.refuse())
    }

    /// Waits until the body is dropped in favour of another request.
    pub async fn dropped(&self) {
        self.partial.is_dropped.notified().await;
    }

    /// Ends the reading. The bytes keep the share until all their clones are dropped.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the body was dropped in favour of another request.
    pub fn finish(self) -> Result<(Bytes, Arc<RequestShare>), Exhausted> {
        let content = self.partial.content.take().ok_or(Exhausted)?;
        let share = Arc::new(content.share);
        let owner = SharedBuf { buf: content.buf, _share: Arc::clone(&share) };
        Ok((Bytes::from_owner(owner), share))
    }

    fn renew_key(&mut self) {
        let mut all = self.budget.partial.borrow_mut();
        let Some(partial) = all.remove(&self.key) else { return };
        self.key.0 = Instant::now();
        all.insert(self.key, partial);
    }
}

impl Drop for PartialBody {
    fn drop(&mut self) {
        self.budget.partial.borrow_mut().remove(&self.key);
    }
}

/// Bytes that keep a share.
#[derive(Debug)]
struct SharedBuf {
    buf: Vec<u8>,
    _share: Arc<RequestShare>,
}

impl AsRef<[u8]> for SharedBuf {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
