//! Sends requests to targets, directly or through a peer.
//!
//! A target is a VM that serves requests ([`VmRole::Target`](crate::platform::vms::VmRole::Target)); the process that
//! serves them there is its executor. A request is sent on one route at a time: a slot of an executor or a peer. If a
//! route certainly received nothing, the next one is tried. After any other failure only an idempotent request is
//! retried, within the retry budget. If a request ends without an answer, the typestate in
//! [`crate::request::lifecycle`] determines whether its outcome is `not-run` or `unknown`.

mod exchange;
pub mod executors;
mod forward;
mod retry_budget;
mod route;
mod slots;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use thiserror::Error;

use super::Context;
use super::membership::{CurrentShare, Heartbeats};
use crate::catalogue::Document;
use crate::platform::target::{
    ExchangeBounds, TargetAnswer, TargetClient, TargetError, TargetRequest,
};
use crate::request::Outcome;
use crate::request::lifecycle::{Accepted, Queued, RequestInfo};
use crate::telemetry::Span;
use crate::telemetry::event::request as event;
use exchange::ExchangePool;
use executors::{ExchangeEnd, ExecutorLimits, Slot};
use forward::ForwardFailures;
use retry_budget::DispatchRetryBudget;
use route::TriedRoutes;
use slots::Slots;

/// Timeout of a connection attempt to an executor.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its deadline an exchange still waits for the executor's answer.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An executor gets no new requests once its last health report is this many health check periods old. A leaving
/// executor that no longer answers health checks must get none after 5 s.
const MAX_REPORT_AGE_PERIODS: u32 = 3;

/// Threads that share one round of health checks.
const HEALTH_CHECK_THREADS: usize = 16;

/// Why the dispatcher could not start.
#[derive(Debug, Error)]
pub enum DispatchError {
    /// The health check thread or an exchange thread could not be started.
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
    /// Unique ID. Each route gets it with the number of the route appended.
    pub id: String,
    /// Name of the service's catalogue entry.
    pub service: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query below the service, with a leading slash.
    pub path: String,
    /// Headers that are passed on to the target.
    pub headers: Vec<(String, String)>,
    /// The whole body, at most `limits.max_body_bytes` long.
    pub body: Bytes,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
    /// True if the request may be sent again although an earlier attempt may have run.
    pub idempotent: bool,
}

/// Outcome of a request, with the answer or the cause.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutcome {
    /// A target answered.
    Completed(TargetAnswer),
    /// No byte of the request reached a target, or the target reported that the request did not run.
    NotRun {
        /// Why the last route failed or no further route was found.
        cause: String,
    },
    /// The request may have run.
    Unknown {
        /// Why no answer is known.
        cause: String,
    },
}

/// Counts since the process started.
#[derive(Debug, Default)]
pub struct DispatchCounts {
    /// Requests, including those forwarded by peers. Retries are not counted.
    pub requests: AtomicU64,
    /// Retries of idempotent requests that may have run.
    pub retries: AtomicU64,
    /// Answers of executors that came after the deadline of their request.
    pub late: AtomicU64,
}

/// Result of sending a request on one route.
enum RouteResult {
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
    forward_failures: ForwardFailures,
    counts: DispatchCounts,
    retry_budget: Mutex<DispatchRetryBudget>,
    refusing: AtomicBool,
    in_flight: Arc<AtomicU64>,
}

/// Sends requests to targets. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    inner: Arc<Inner>,
    health_thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Dispatcher {
    /// Starts the health checks and the exchange threads. Without `members`, this process uses all slots of the
    /// executors of its domain.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub fn start(
        cx: Context,
        targets: Arc<dyn TargetClient>,
        members: Option<Arc<Heartbeats>>,
    ) -> Result<Self, DispatchError> {
        let share = members.as_ref().map_or_else(
            || CurrentShare::whole(&cx.process, cx.clock.now()),
            |members| members.current_share(),
        );
        let limits = ExecutorLimits {
            slots: cx.cfg.limits.slots_per_executor,
            connections: cx.cfg.limits.connections_per_executor,
            max_report_age: cx.cfg.timing.health_poll() * MAX_REPORT_AGE_PERIODS,
        };
        let clock = Arc::clone(&cx.clock);
        let slots = Slots::new(&cx.cfg.domain, clock, share, limits, cx.cfg.limits.queue_length);
        let pool = ExchangePool::start(cx.cfg.limits.front_threads)?;
        let inner = Arc::new(Inner {
            retry_budget: Mutex::new(DispatchRetryBudget::new(cx.cfg.limits.retry_percent)),
            cx,
            targets,
            members,
            slots,
            pool,
            forward_failures: ForwardFailures::default(),
            counts: DispatchCounts::default(),
            refusing: AtomicBool::new(false),
            in_flight: Arc::default(),
        });
        let health_inner = Arc::clone(&inner);
        let health_thread = std::thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || health_inner.check_health())
            .map_err(|source| DispatchError::Thread { source })?;
        Ok(Self { inner, health_thread: Arc::new(Mutex::new(Some(health_thread))) })
    }

    /// Sends a request and waits for its answer until the deadline, or up to 500 ms longer if it has to connect to a
    /// peer.
    #[must_use]
    pub fn dispatch(&self, req: &ServiceRequest, span: &Span) -> DispatchOutcome {
        self.inner.dispatch(req, span, true)
    }

    /// True if the service has a catalogue entry.
    #[must_use]
    pub fn has_entry(&self, service: &str) -> bool {
        let cache = self.inner.cx.catalogue.snapshot();
        matches!(cache.document(service), Some(Document::Entry(_)))
    }

    /// False while this process may use no slots: not all peers count it as a member yet, it was paused, or its
    /// heartbeats have not been answered recently.
    #[must_use]
    pub fn has_share(&self) -> bool {
        self.inner.slots.has_share()
    }

    /// Free slots of this process over all usable executors; 0 without a share.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        self.inner.slots.free_slots()
    }

    /// Requests that wait for a slot of this process.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.inner.slots.waiting()
    }

    /// Requests in progress, of callers and of peers. One that is both tracked by [`Self::track`] and being dispatched
    /// counts twice.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.inner.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the guard is dropped. A planned stop waits for it.
    #[must_use]
    pub fn track(&self) -> InFlight {
        InFlight::new(&self.inner.in_flight)
    }

    /// Refuses every new request as `not-run` from now on. Requests in progress continue.
    pub fn refuse(&self) {
        self.inner.refusing.store(true, Ordering::SeqCst);
    }

    /// Counts since the process started.
    #[must_use]
    pub fn counts(&self) -> &DispatchCounts {
        &self.inner.counts
    }

    /// Joins the threads. The context's stop signal must have been set.
    pub fn close(self) {
        let thread = self.health_thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
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
    fn dispatch(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        may_forward: bool,
    ) -> DispatchOutcome {
        // Counted before the flag is read, so that no request starts after a stop has seen none in progress.
        let _in_flight = InFlight::new(&self.in_flight);
        if self.refusing.load(Ordering::SeqCst) {
            return DispatchOutcome::NotRun { cause: "this process is stopping".to_owned() };
        }
        self.slots.on_vm_listing(&self.cx.vm_listing.snapshot());
        let info =
            RequestInfo { id: req.id.clone(), deadline: req.deadline, idempotent: req.idempotent };
        let mut queued = Accepted::new(info).queue();
        self.counts.requests.fetch_add(1, Ordering::Relaxed);
        self.retry_budget().on_first_attempt();
        let mut tried = TriedRoutes::default();
        loop {
            let result = match self.try_next_route(req, span, may_forward, &mut tried) {
                Ok(result) => result,
                Err(no_route) => return end_unanswered(queued, no_route.to_string()),
            };
            let dispatched = queued.dispatch();
            queued = match result {
                RouteResult::Completed(answer) => {
                    let _ = dispatched.complete();
                    return DispatchOutcome::Completed(answer);
                }
                RouteResult::NotRun(cause) => {
                    tried.last_cause = cause;
                    dispatched.not_run()
                }
                RouteResult::Unknown(cause) => match dispatched.unknown() {
                    Ok(queued) if self.try_spend_retry() => {
                        tried.last_cause = cause;
                        queued
                    }
                    Ok(queued) => return end_unanswered(queued, cause),
                    Err(_) => return DispatchOutcome::Unknown { cause },
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
        tried: &mut TriedRoutes,
    ) -> RouteResult {
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
            return RouteResult::NotRun("all exchange threads are busy".to_owned());
        }
        let result = rx.recv_timeout(remaining);
        target_span.close();
        match result {
            Ok(Ok(answer)) => RouteResult::Completed(answer),
            Ok(Err(error)) => match error {
                TargetError::NotSent { .. }
                | TargetError::Refused { .. }
                | TargetError::Withheld { .. } => RouteResult::NotRun(error.to_string()),
                TargetError::NoAnswer { .. } | TargetError::Late { .. } => {
                    RouteResult::Unknown(error.to_string())
                }
            },
            Err(_) => RouteResult::Unknown(format!(
                "no answer from {} before the deadline",
                slot.executor
            )),
        }
    }

    /// Sends a request to an executor and waits for the answer, in an exchange thread. Releases the slot, whether or
    /// not the caller still waits.
    fn exchange(
        &self,
        slot: &Slot,
        message: &TargetRequest,
        remaining: Duration,
    ) -> Result<TargetAnswer, TargetError> {
        let bounds = ExchangeBounds {
            connect: CONNECT_TIMEOUT,
            total: remaining,
            late: LATE_ANSWER_TIMEOUT,
            connections: slot.connections,
        };
        let started = self.cx.clock.boot();
        let result = self.targets.send(&slot.address, message, bounds);
        let latency = self.cx.clock.boot().saturating_sub(started);
        let end = match &result {
            Ok(_) => Some(ExchangeEnd::Finished { latency }),
            Err(TargetError::Late { .. }) => {
                self.counts.late.fetch_add(1, Ordering::Relaxed);
                self.cx.metrics.count("request.late", 1);
                event::LATE_ANSWER
                    .emit(format_args!("request={} target={}", message.request_id, slot.executor));
                Some(ExchangeEnd::Finished { latency })
            }
            Err(TargetError::NotSent { .. }) => Some(ExchangeEnd::NotSent),
            Err(TargetError::Refused { .. }) => Some(ExchangeEnd::Refused),
            Err(TargetError::Withheld { .. }) => None,
            Err(TargetError::NoAnswer { .. }) => Some(ExchangeEnd::Unanswered),
        };
        self.slots.release(slot, end);
        result
    }

    fn retry_budget(&self) -> MutexGuard<'_, DispatchRetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spends and counts one retry. False if the retry budget is used up.
    fn try_spend_retry(&self) -> bool {
        let allowed = self.retry_budget().try_spend();
        if allowed {
            self.counts.retries.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Checks all executors once per period until the process stops.
    fn check_health(&self) {
        let period = self.cx.cfg.timing.health_poll();
        while !self.cx.stop.is_stopped() {
            self.slots.on_vm_listing(&self.cx.vm_listing.snapshot());
            let addresses = Mutex::new(self.slots.addresses().into_iter());
            std::thread::scope(|scope| {
                for _ in 0..HEALTH_CHECK_THREADS {
                    scope.spawn(|| self.check_remaining(&addresses));
                }
            });
            if let Some(members) = &self.members {
                members.set_free_slots(self.slots.free_slots());
            }
            self.wait_period(period);
        }
    }

    /// Checks executors until none of the round is left. Several threads share `addresses`.
    fn check_remaining(&self, addresses: &Mutex<std::vec::IntoIter<(String, String)>>) {
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

    /// Waits for one period, or until the VM list or the availability of a share changes.
    fn wait_period(&self, period: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        let started = self.cx.clock.now();
        let listing = self.cx.vm_listing.snapshot();
        // Gained slots may be used only after a later report, so a new share starts the next round at once.
        let had_share = self.slots.has_share();
        while self.cx.clock.now().saturating_duration_since(started) < period
            && !self.cx.stop.is_stopped()
            && Arc::ptr_eq(&listing, &self.cx.vm_listing.snapshot())
            && self.slots.has_share() == had_share
        {
            self.cx.clock.sleep(POLL_INTERVAL.min(period));
        }
    }
}

fn end_unanswered(queued: Queued, cause: String) -> DispatchOutcome {
    match queued.end_unanswered().outcome {
        Outcome::NotRun => DispatchOutcome::NotRun { cause },
        Outcome::Unknown | Outcome::Completed => DispatchOutcome::Unknown { cause },
    }
}
