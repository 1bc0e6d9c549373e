//! Holds the own failure domain and schedules its tasks.
//!
//! One thread decides and never waits for anything outside; others read the table, write it, and call workers. They are
//! joined by bounded rings. The permission to schedule is checked before each message, not only when it is decided.

mod attempt;
mod batch;
mod calls;
mod evacuation;
mod event;
mod fleet;
mod handover;
mod hold_controller;
mod interfere;
mod lists;
mod place;
mod preempt;
mod probe;
mod reports;
mod rescue;
mod run;
mod shared;
mod state;
pub mod status;
mod tick;
mod writer;

use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use thiserror::Error;

use self::calls::Caller;
use self::hold_controller::HoldController;
use self::rescue::Rescue;
use self::run::Runner;
use self::shared::{Role, SharedHolds};
pub use self::status::SchedulerStatus;
use crate::ops::Context;
use crate::peer::{HandOver, HandOverReply, HoldAnswer, HoldQuery};
use crate::platform::table::Row;

/// Threads that call workers.
const CALL_THREAD_COUNT: usize = 16;

/// Calls that wait for a thread.
const CALL_QUEUE_CAPACITY: usize = 64;

/// Events that wait for the tick thread.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Batches that wait for the writer thread.
const WRITE_QUEUE_CAPACITY: usize = 64;

/// Why the scheduler could not start.
#[derive(Debug, Error)]
pub enum SchedulerError {
    /// A thread could not be created.
    #[error("cannot start thread {name}; check the limit on threads of this VM")]
    Thread {
        /// Name of the thread.
        name: String,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

/// The scheduler of a process. It schedules while the process holds its domain. Cloning shares it.
#[derive(Clone, Debug)]
pub struct DomainScheduler {
    cx: Context,
    holds: SharedHolds,
    status: Arc<Mutex<SchedulerStatus>>,
    last_rows: Arc<Mutex<Vec<Row>>>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl DomainScheduler {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// If a thread cannot be created.
    pub fn start(cx: &Context) -> Result<Self, SchedulerError> {
        let holds = SharedHolds::new(cx);
        let domain = cx.cfg.domain.clone();
        let status = Arc::new(Mutex::new(SchedulerStatus {
            domain: domain.clone(),
            ..SchedulerStatus::default()
        }));
        let last_rows = Arc::default();
        let (events_tx, events) = sync_channel(EVENT_QUEUE_CAPACITY);
        let (calls, calls_rx) = sync_channel(CALL_QUEUE_CAPACITY);
        let (writes, writes_rx) = sync_channel(WRITE_QUEUE_CAPACITY);
        let mut threads = Vec::new();
        let queued_calls = Arc::new(Mutex::new(calls_rx));
        for index in 0..CALL_THREAD_COUNT {
            let caller = Caller {
                cx: cx.clone(),
                holds: holds.clone(),
                domain: domain.clone(),
                queue: Arc::clone(&queued_calls),
                events: events_tx.clone(),
            };
            threads.push(spawn(format!("worker-call-{index}"), move || caller.run())?);
        }
        let (writer_cx, writer_events) = (cx.clone(), events_tx.clone());
        threads.push(spawn("task-writer".to_owned(), move || {
            writer::run(&writer_cx, &writes_rx, &writer_events);
        })?);
        let controller = HoldController::new(cx.clone(), holds.clone(), domain.clone(), events_tx);
        threads.push(spawn("hold".to_owned(), move || controller.run())?);
        let rescue = Rescue::new(cx.clone(), holds.clone());
        threads.push(spawn("rescue".to_owned(), move || rescue.run())?);
        let runner = Runner {
            cx: cx.clone(),
            holds: holds.clone(),
            domain,
            events,
            calls,
            writes,
            status: Arc::clone(&status),
            last_rows: Arc::clone(&last_rows),
        };
        threads.push(spawn("schedule".to_owned(), move || runner.run())?);
        let threads = Arc::new(Mutex::new(threads));
        Ok(Self { cx: cx.clone(), holds, status, last_rows, threads })
    }

    /// The state at the last tick, and the holder as last read.
    #[must_use]
    pub fn status(&self) -> SchedulerStatus {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let now = self.cx.clock.now();
        let cache = self.cx.catalogue.snapshot();
        status.freshness_ms = cache.age(now).map(status::millis);
        match self.holds.lock().get(&self.cx.cfg.domain) {
            Some(Role::Holder(holding)) => {
                status.holder = Some(holding.row().holder.clone());
                status.epoch = holding.epoch();
                status.scheduling = holding.may_schedule(now);
            }
            Some(Role::Candidate(candidate)) => {
                let row = candidate.row();
                status = SchedulerStatus {
                    domain: status.domain,
                    holder: row.map(|row| row.holder.clone()),
                    epoch: row.map_or(0, |row| row.epoch),
                    freshness_ms: status.freshness_ms,
                    ..SchedulerStatus::default()
                };
            }
            None => {}
        }
        status
    }

    /// Answers a holder that cannot reach the table. A question to another process is never answered with a promise.
    #[must_use]
    pub fn on_hold_query(&self, query: &HoldQuery) -> HoldAnswer {
        if query.addressee != self.cx.process {
            return HoldAnswer { promised: false };
        }
        if query.epoch == probe::PROBE_EPOCH {
            return HoldAnswer { promised: true };
        }
        let now = self.cx.clock.now();
        let promised = self
            .holds
            .with_candidate(&query.domain, |candidate| {
                candidate.on_query(query.epoch, query.class, now)
            })
            .unwrap_or(false);
        HoldAnswer { promised }
    }

    /// Takes over from a process of the same domain that stops.
    #[must_use]
    pub fn on_hand_over(&self, msg: &HandOver) -> HandOverReply {
        HandOverReply { accepted: handover::accept(&self.cx, &self.holds, msg) }
    }

    /// Hands over the hold, and ends the threads. Nothing is scheduled once this has begun.
    pub fn close(self) {
        self.cx.stop.stop();
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        for thread in threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
        let rows =
            std::mem::take(&mut *self.last_rows.lock().unwrap_or_else(PoisonError::into_inner));
        handover::hand_over_or_release(&self.cx, &self.holds, &rows);
    }
}

fn spawn(
    name: String,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, SchedulerError> {
    std::thread::Builder::new()
        .name(name.clone())
        .spawn(run)
        .map_err(|source| SchedulerError::Thread { name, source })
}
