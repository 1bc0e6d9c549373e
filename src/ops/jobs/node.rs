//! State that the event loop's async tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard, watch};

use crate::clock::Clock;
use crate::port::StoreError;
use crate::shard::ShardMap;
use crate::shard::scheduler::Timing;
use crate::telemetry::Metrics;
use crate::telemetry::event::shard as event;

use super::freshness::Freshness;
use super::operator_config::OperatorConfig;

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Processor share of the VM, in cores.
    pub cpu_share: f64,
    /// Lease of the runs on workers, and the delay of throttles.
    pub timing: Timing,
    /// Size, in bytes, of the largest row that the store accepts.
    pub max_row_bytes: usize,
    /// Time for which the state of an ended job is kept.
    pub keep_ended: Duration,
    /// Time limit of a caller's request that names none.
    pub call_timeout: Duration,
    /// Greatest age at which the operator config may decide on a request or a start.
    pub max_operator_config_age: Duration,
    /// Greatest age at which the VM list may decide on a start.
    pub max_worker_list_age: Duration,
    /// Greatest age at which the list of jobs and cancellations may decide on a start.
    pub max_jobs_age: Duration,
}

/// Longest time for which a request waits until the operator config is confirmed. A slow store takes several hundred
/// milliseconds; callers to whom this takes too long are better served by another process.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(500);

/// State of one process, shared by all async tasks on its event loop.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings; fixed for the lifetime of the process.
    pub cfg: NodeSettings,
    /// Source of local time and of wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Access to the store and the workers.
    pub port: P,
    /// Receives counters, gauges and timings.
    pub metrics: Metrics,
    operator_config: RefCell<Rc<OperatorConfig>>,
    operator_config_freshness: Freshness,
    is_operator_config_unconfirmed: Cell<bool>,
    map: watch::Sender<Option<ShardMap>>,
    stop: watch::Sender<bool>,
    is_store_unavailable: Cell<bool>,
    owned_shards: Cell<u32>,
    claim_lock: Mutex<()>,
}

impl<P> Node<P> {
    /// Creates a process without operator config and shard map; both are read from the store later.
    #[must_use]
    pub fn new(cfg: NodeSettings, clock: Arc<dyn Clock>, port: P, metrics: Metrics) -> Self {
        let started_unix_ms = clock.unix_ms();
        let operator_config_freshness = Freshness::new(cfg.max_operator_config_age);
        Self {
            cfg,
            clock,
            started_unix_ms,
            port,
            metrics,
            operator_config: RefCell::default(),
            operator_config_freshness,
            is_operator_config_unconfirmed: Cell::new(false),
            map: watch::Sender::new(None),
            stop: watch::Sender::new(false),
            is_store_unavailable: Cell::new(false),
            owned_shards: Cell::new(0),
            claim_lock: Mutex::new(()),
        }
    }

    /// The newest operator config that was read, whatever its age; version 0 until one has been read.
    #[must_use]
    pub fn operator_config(&self) -> Rc<OperatorConfig> {
        Rc::clone(&self.operator_config.borrow())
    }

    /// Age and greatest usable age of the operator config.
    #[must_use]
    pub fn operator_config_freshness(&self) -> &Freshness {
        &self.operator_config_freshness
    }

    /// The operator config for a decision. If it is too old, waits for the next read of the operators' rows, at most
    /// until `deadline`; `None` if that does not confirm it.
    pub async fn current_operator_config(&self, deadline: Duration) -> Option<Rc<OperatorConfig>> {
        let freshness = &self.operator_config_freshness;
        let now = self.clock.boot();
        if freshness.require(now) {
            return Some(self.operator_config());
        }
        freshness.next_outcome(MAX_CONFIRMATION_WAIT.min(deadline.saturating_sub(now))).await;
        if freshness.is_current(self.clock.boot()) {
            return Some(self.operator_config());
        }
        self.metrics.count("config.too_old", 1);
        None
    }

    /// Replaces the operator config, unless the new one has a lower version or is equal.
    pub fn replace_operator_config(&self, operator_config: OperatorConfig) {
        let old = self.operator_config();
        if operator_config.version < old.version || operator_config == *old {
            return;
        }
        event::QUEUES_CHANGED.emit(format_args!(
            "version={} before={} age_ms={} routes={} queues={} domains_out={:?}",
            operator_config.version,
            old.version,
            self.operator_config_age_ms(),
            operator_config.routes.len(),
            operator_config.queues.len(),
            operator_config.domains_out
        ));
        *self.operator_config.borrow_mut() = Rc::new(operator_config);
    }

    /// Records the outcome of a read of the operators' rows that was sent at `sent`, once its rows are applied. Logs
    /// when such reads begin to fail and when they succeed again.
    pub fn record_operator_config_read(&self, sent: Duration, failure: Option<&StoreError>) {
        let age_ms = self.operator_config_age_ms();
        match failure {
            None => {
                self.operator_config_freshness.confirm(sent);
                if self.is_operator_config_unconfirmed.replace(false) {
                    event::QUEUES_CONFIRMED.emit(format_args!("after_ms={age_ms}"));
                }
            }
            Some(e) => {
                self.operator_config_freshness.fail(sent);
                if !self.is_operator_config_unconfirmed.replace(true) {
                    let waited_ms = self.clock.boot().saturating_sub(sent).as_millis();
                    event::QUEUES_UNCONFIRMED
                        .emit(format_args!("age_ms={age_ms} waited_ms={waited_ms} cause={e}"));
                }
            }
        }
    }

    /// Milliseconds since the operator config was last known to contain all changes; `never` before the first read.
    #[must_use]
    pub fn operator_config_age_ms(&self) -> String {
        self.operator_config_freshness.age_ms(self.clock.boot())
    }

    /// Division of jobs and workers into shards; `None` until it is known.
    #[must_use]
    pub fn map(&self) -> Option<ShardMap> {
        *self.map.borrow()
    }

    /// Sets the division of jobs and workers into shards.
    pub fn set_map(&self, map: ShardMap) {
        self.map.send_replace(Some(map));
    }

    /// True if jobs can be accepted: operator config and shard map are known, and no planned stop has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.operator_config.borrow().version > 0 && self.map().is_some() && !self.is_stopping()
    }

    /// Begins the planned stop. It can't be undone.
    pub fn begin_stop(&self) {
        self.stop.send_replace(true);
    }

    /// True once a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// A receiver that turns true when a planned stop begins.
    #[must_use]
    pub fn stop_receiver(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Waits until no other claim of this process is in progress, and blocks further ones until the guard is dropped.
    pub async fn lock_claims(&self) -> MutexGuard<'_, ()> {
        self.claim_lock.lock().await
    }

    /// Number of shards that this process owns.
    #[must_use]
    pub fn owned_shards(&self) -> u32 {
        self.owned_shards.get()
    }

    /// Sets the number of shards that this process owns.
    pub fn set_owned_shards(&self, owned: u32) {
        self.owned_shards.set(owned);
    }

    /// Records the result of a call to the store, and logs when the store becomes unavailable or available again.
    pub fn record_store_result(&self, failure: Option<&StoreError>) {
        if failure.is_some() {
            self.metrics.count("store.failed", 1);
        }
        match failure {
            // The store answers, and says that the call will never succeed.
            Some(StoreError::Rejected { .. }) => {}
            Some(e) if !self.is_store_unavailable.get() => {
                self.is_store_unavailable.set(true);
                event::STORE_LOST.emit(format_args!("cause={e}"));
            }
            None if self.is_store_unavailable.get() => {
                self.is_store_unavailable.set(false);
                event::STORE_REGAINED.emit(format_args!("vm={}", self.cfg.vm));
            }
            _ => {}
        }
    }
}
