//! Sends requests to targets, directly or through a peer.
//!
//! A request goes to one place at a time. After a place that certainly received nothing another one is tried; after any
//! other failure only an idempotent request is repeated, within the retry budget. What the caller is told follows from
//! the life cycle's types in [`crate::request::lifecycle`].

mod exchange;
pub mod executors;
mod forward;
mod place;
mod repeats;
mod slots;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::Context;
use super::membership::{Heartbeats, ShareCell};
use crate::catalogue::Document;
use crate::platform::target::{
    ExchangeBounds, TargetAnswer, TargetClient, TargetError, TargetRequest,
};
use crate::request::Outcome;
use crate::request::lifecycle::{Accepted, Facts, Queued};
use crate::telemetry::Span;
use crate::telemetry::event::request as event;
use exchange::ExchangePool;
use executors::{ExecutorLimits, Slot, SlotEnd};
use forward::ForwardLog;
use place::Tried;
use repeats::RepeatBudget;
use slots::Slots;

/// Longest wait for a connection to an executor.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the deadline in which an executor's late answer is still awaited.
const LATE_WAIT: Duration = Duration::from_secs(5);

/// Periods of health checks after which a report is too old. A leaving executor that no longer answers health checks
/// must get nothing new within 5 s.
const REPORT_PERIODS: u32 = 3;

/// Threads of one round of health checks.
const HEALTH_THREADS: usize = 16;

/// Why the dispatcher could not start.
#[derive(Debug, Error)]
pub enum DispatchError {
    /// No thread.
    #[error("cannot start a dispatch thread; lower limits.front_threads")]
    Thread {
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

/// A caller's request to a service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Unique id.
    pub id: String,
    /// The service.
    pub service: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query below the service, with a leading slash.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// True if the request may be repeated.
    pub idempotent: bool,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Dispatched {
    /// A target answered.
    Completed(TargetAnswer),
    /// No byte of the request reached a target, or the target said that it did not run.
    NotRun {
        /// Why.
        cause: String,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        cause: String,
    },
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct DispatchCounts {
    /// Requests, without their repeats.
    pub first: AtomicU64,
    /// Repeats of idempotent requests.
    pub repeats: AtomicU64,
    /// Answers that came after their deadline.
    pub late: AtomicU64,
}

/// What one place made of a request.
enum Attempt {
    Completed(TargetAnswer),
    NotRun(String),
    Unknown(String),
}

#[derive(Debug)]
struct Inner {
    cx: Context,
    targets: Arc<dyn TargetClient>,
    members: Option<Arc<Heartbeats>>,
    slots: Slots,
    pool: ExchangePool,
    log: ForwardLog,
    counts: DispatchCounts,
    budget: Mutex<RepeatBudget>,
    refusing: AtomicBool,
    in_flight: Arc<AtomicU64>,
}

/// Sends requests. Cloning shares it.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    inner: Arc<Inner>,
    health: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Dispatcher {
    /// Starts the health checks and the exchange threads. Without `members` this process has all slots.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub fn start(
        cx: Context,
        targets: Arc<dyn TargetClient>,
        members: Option<Arc<Heartbeats>>,
    ) -> Result<Self, DispatchError> {
        let shares = members.as_ref().map_or_else(
            || ShareCell::whole(&cx.process, cx.clock.now()),
            |members| members.shares(),
        );
        let limits = ExecutorLimits {
            slots: cx.cfg.limits.slots_per_executor,
            connections: cx.cfg.limits.connections_per_executor,
            report_age: cx.cfg.timing.health_poll() * REPORT_PERIODS,
        };
        let clock = Arc::clone(&cx.clock);
        let slots = Slots::new(&cx.cfg.domain, clock, shares, limits, cx.cfg.limits.queue_length);
        let pool = ExchangePool::start(cx.cfg.limits.front_threads)?;
        let inner = Arc::new(Inner {
            budget: Mutex::new(RepeatBudget::new(cx.cfg.limits.retry_percent)),
            cx,
            targets,
            members,
            slots,
            pool,
            log: ForwardLog::default(),
            counts: DispatchCounts::default(),
            refusing: AtomicBool::new(false),
            in_flight: Arc::default(),
        });
        let checked = Arc::clone(&inner);
        let health = std::thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || checked.check_health())
            .map_err(|source| DispatchError::Thread { source })?;
        Ok(Self { inner, health: Arc::new(Mutex::new(Some(health))) })
    }

    /// Sends a request and waits for its answer until the deadline.
    #[must_use]
    pub fn dispatch(&self, req: &ServiceRequest, span: &Span) -> Dispatched {
        self.inner.dispatch(req, span, true)
    }

    /// True if the service is known: it has a catalogue entry.
    #[must_use]
    pub fn knows(&self, service: &str) -> bool {
        let cache = self.inner.cx.catalogue.snapshot();
        matches!(cache.document(service), Some(Document::Entry(_)))
    }

    /// True unless the process may use no slots, because its peers have not counted it yet or it was paused.
    #[must_use]
    pub fn has_share(&self) -> bool {
        self.inner.slots.has_share()
    }

    /// Free slots of this process.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        self.inner.slots.free_slots()
    }

    /// Requests that wait for a slot of this process.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.inner.slots.waiting()
    }

    /// Requests in progress, of callers and of peers.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.inner.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the guard is dropped. A planned stop waits for it.
    #[must_use]
    pub fn track(&self) -> InFlight {
        InFlight::new(&self.inner.in_flight)
    }

    /// Refuses every new request as `not-run` from now on. Requests in progress go on.
    pub fn refuse(&self) {
        self.inner.refusing.store(true, Ordering::SeqCst);
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> &DispatchCounts {
        &self.inner.counts
    }

    /// Joins the threads. The context's stop signal must have been set.
    pub fn close(self) {
        let health = self.health.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(health) = health {
            // A panic of the thread has been reported by the panic hook.
            let _ = health.join();
        }
        self.inner.pool.close();
    }
}

/// Counts a request in progress until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU64>);

impl InFlight {
    fn new(count: &Arc<AtomicU64>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Inner {
    fn dispatch(self: &Arc<Self>, req: &ServiceRequest, span: &Span, forward: bool) -> Dispatched {
        // Counted before the flag is read: a stop that sees no request in progress has refused all later ones.
        let _in_flight = InFlight::new(&self.in_flight);
        if self.refusing.load(Ordering::SeqCst) {
            return Dispatched::NotRun { cause: "this process is stopping".to_owned() };
        }
        self.slots.follow(&self.cx.vm_listing.snapshot());
        let facts =
            Facts { id: req.id.clone(), deadline: req.deadline, idempotent: req.idempotent };
        let mut queued = Accepted::new(facts).queue();
        self.counts.first.fetch_add(1, Ordering::Relaxed);
        self.budget().on_first();
        let mut tried = Tried::default();
        loop {
            let attempt = match self.place(req, span, forward, &mut tried) {
                Ok(attempt) => attempt,
                Err(no_place) => return end(queued, no_place.to_string()),
            };
            let dispatched = queued.dispatch();
            queued = match attempt {
                Attempt::Completed(answer) => {
                    let _ = dispatched.complete();
                    return Dispatched::Completed(answer);
                }
                Attempt::NotRun(cause) => {
                    tried.cause = cause;
                    dispatched.not_run()
                }
                Attempt::Unknown(cause) => match dispatched.unknown() {
                    Ok(queued) if self.may_repeat() => {
                        tried.cause = cause;
                        queued
                    }
                    Ok(queued) => return end(queued, cause),
                    Err(_) => return Dispatched::Unknown { cause },
                },
            };
        }
    }

    /// Sends a request on a slot and waits for the answer until the deadline.
    fn send(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        slot: &Slot,
        tried: &mut Tried,
    ) -> Attempt {
        let target_span = span.child("target");
        let message = TargetRequest {
            request_id: format!("{}-{}", req.id, tried.count),
            method: req.method.clone(),
            path: req.path.clone(),
            headers: req.headers.clone(),
            body: req.body.clone(),
            traceparent: target_span.traceparent(),
        };
        tried.executors.push(slot.executor.clone());
        let remaining = req.deadline.saturating_duration_since(self.cx.clock.now());
        let (tx, rx) = mpsc::sync_channel(1);
        let inner = Arc::clone(self);
        let exchange_slot = slot.clone();
        let job = Box::new(move || {
            let result = inner.exchange(&exchange_slot, &message, remaining);
            // The caller may have stopped waiting at its deadline.
            let _ = tx.send(result);
        });
        if self.pool.submit(job).is_err() {
            self.slots.release(slot, None);
            return Attempt::NotRun("all exchange threads are busy".to_owned());
        }
        let result = rx.recv_timeout(remaining);
        target_span.close();
        match result {
            Ok(Ok(answer)) => Attempt::Completed(answer),
            Ok(Err(error)) => match error {
                TargetError::NotSent { .. }
                | TargetError::Refused { .. }
                | TargetError::Withheld { .. } => Attempt::NotRun(error.to_string()),
                TargetError::NoAnswer { .. } | TargetError::Late { .. } => {
                    Attempt::Unknown(error.to_string())
                }
            },
            Err(_) => Attempt::Unknown(format!("no answer of {} in time", slot.executor)),
        }
    }

    /// Runs in an exchange thread. The slot is given back here, whether or not the caller still waits.
    fn exchange(
        &self,
        slot: &Slot,
        message: &TargetRequest,
        remaining: Duration,
    ) -> Result<TargetAnswer, TargetError> {
        let bounds = ExchangeBounds {
            connect: CONNECT_TIMEOUT,
            total: remaining,
            late: LATE_WAIT,
            connections: slot.connections,
        };
        let started = self.cx.clock.boot();
        let result = self.targets.send(&slot.address, message, bounds);
        let latency = self.cx.clock.boot().saturating_sub(started);
        let end = match &result {
            Ok(_) => Some(SlotEnd::Finished { latency }),
            Err(TargetError::Late { .. }) => {
                self.counts.late.fetch_add(1, Ordering::Relaxed);
                self.cx.metrics.count("request.late", 1);
                event::LATE_ANSWER
                    .emit(format_args!("request={} target={}", message.request_id, slot.executor));
                Some(SlotEnd::Finished { latency })
            }
            Err(TargetError::NotSent { .. }) => Some(SlotEnd::NotSent),
            Err(TargetError::Refused { .. }) => Some(SlotEnd::Refused),
            Err(TargetError::Withheld { .. }) => None,
            Err(TargetError::NoAnswer { .. }) => Some(SlotEnd::Open),
        };
        self.slots.release(slot, end);
        result
    }

    fn budget(&self) -> MutexGuard<'_, RepeatBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spends from the retry budget: repeats stay within a share of the first attempts.
    fn may_repeat(&self) -> bool {
        let allowed = self.budget().spend();
        if allowed {
            self.counts.repeats.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Checks all executors once per period until the process stops.
    fn check_health(&self) {
        let period = self.cx.cfg.timing.health_poll();
        while !self.cx.stop.is_stopped() {
            self.slots.follow(&self.cx.vm_listing.snapshot());
            let addresses = Mutex::new(self.slots.addresses().into_iter());
            std::thread::scope(|scope| {
                for _ in 0..HEALTH_THREADS {
                    scope.spawn(|| self.check_some(&addresses));
                }
            });
            if let Some(members) = &self.members {
                members.set_free_slots(self.slots.free_slots());
            }
            self.wait_period(period);
        }
    }

    fn check_some(&self, addresses: &Mutex<std::vec::IntoIter<(String, String)>>) {
        loop {
            let next = addresses.lock().unwrap_or_else(PoisonError::into_inner).next();
            let Some((name, address)) = next else { return };
            let asked_at = self.cx.clock.now();
            let report = self.targets.health(&address, CONNECT_TIMEOUT);
            if report.is_err() {
                self.targets.forget(&address);
            }
            self.slots.on_report(&name, asked_at, report.ok());
        }
    }

    /// Waits for the next round, or less if the VM list shows something new.
    fn wait_period(&self, period: Duration) {
        const STEP: Duration = Duration::from_millis(50);
        let started = self.cx.clock.now();
        let listing = self.cx.vm_listing.snapshot();
        // Slots are used once a report has come after they were gained, so a new share asks for reports at once.
        let had_share = self.slots.has_share();
        while self.cx.clock.now().saturating_duration_since(started) < period
            && !self.cx.stop.is_stopped()
            && Arc::ptr_eq(&listing, &self.cx.vm_listing.snapshot())
            && self.slots.has_share() == had_share
        {
            self.cx.clock.sleep(STEP.min(period));
        }
    }
}

fn end(queued: Queued, cause: String) -> Dispatched {
    match queued.give_up().outcome {
        Outcome::NotRun => Dispatched::NotRun { cause },
        Outcome::Unknown | Outcome::Completed => Dispatched::Unknown { cause },
    }
}
