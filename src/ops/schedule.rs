//! Obtains the hold of the process's own failure domain and schedules the tasks there.
//!
//! The tick thread makes all decisions and does no I/O; other threads read and write the table and call workers.
//! Bounded queues connect them. The permission to schedule is checked directly before each message that can change a
//! worker is sent, not only when the message is decided.

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

/// Number of threads that call workers, and so of workers that can be called at the same time.
const CALL_THREAD_COUNT: usize = 16;

/// Maximum number of calls that wait for a call thread.
const CALL_QUEUE_CAPACITY: usize = 64;

/// Maximum number of events that wait for the tick thread.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Maximum number of transactions that wait for the writer thread.
const WRITE_QUEUE_CAPACITY: usize = 64;

/// Errors of [`DomainScheduler::start`].
#[derive(Debug, Error)]
pub enum SchedulerError {
    /// The operating system refused to create a thread.
    #[error("cannot start thread {name}; check the limit on threads of this VM")]
    Thread {
        /// Name that the thread would have had.
        name: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
}

/// Scheduler of a failure domain. Each entry process runs one, which schedules only while the process holds the domain.
/// Clones share the same threads.
#[derive(Clone, Debug)]
pub struct DomainScheduler {
    cx: Context,
    holds: SharedHolds,
    status: Arc<Mutex<SchedulerStatus>>,
    last_rows: Arc<Mutex<Vec<Row>>>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl DomainScheduler {
    /// Starts the threads of the scheduler.
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

    /// Returns the state at the last tick with the current hold. In a process that is not the holder, only the domain,
    /// the holder, the epoch and the freshness are set.
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

    /// Answers a holder that cannot reach the table and requests a promise not to claim. A query for another process,
    /// such as a previous one at this address, is never answered with a promise. A probe is answered with true, which
    /// promises nothing.
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

    /// Handles a hand-over message from a stopping holder of the same domain.
    #[must_use]
    pub fn on_hand_over(&self, msg: &HandOver) -> HandOverReply {
        HandOverReply { accepted: handover::accept(&self.cx, &self.holds, msg) }
    }

    /// Ends the threads, then hands the hold over or releases it. Nothing is scheduled once this has begun.
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
