//! What the duties of one process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard, watch};

use crate::clock::Clock;
use crate::shard::ShardMap;
use crate::shard::scheduler::Timing;
use crate::telemetry::Metrics;
use crate::telemetry::event::shard as event;

use super::operator_config::OperatorConfig;

/// What a process is told about itself.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Share of a core that the VM has.
    pub cpu_share: f64,
    /// Periods that the platform sets.
    pub timing: Timing,
    /// How long the state of an ended job is kept.
    pub keep_ended: Duration,
    /// Longest time for a caller's call if it names none.
    pub call_timeout: Duration,
}

/// Shared by the duties of a process.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings.
    pub cfg: NodeSettings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Store and workers.
    pub port: P,
    /// Metrics.
    pub metrics: Metrics,
    operator_config: RefCell<Rc<OperatorConfig>>,
    map: watch::Sender<Option<ShardMap>>,
    stop: watch::Sender<bool>,
    is_store_unavailable: Cell<bool>,
    owned: Cell<u32>,
    claim_lock: Mutex<()>,
}

impl<P> Node<P> {
    /// A process that knows nothing yet.
    #[must_use]
    pub fn new(cfg: NodeSettings, clock: Arc<dyn Clock>, port: P, metrics: Metrics) -> Self {
        let started_unix_ms = clock.unix_ms();
        Self {
            cfg,
            clock,
            started_unix_ms,
            port,
            metrics,
            operator_config: RefCell::default(),
            map: watch::Sender::new(None),
            stop: watch::Sender::new(false),
            is_store_unavailable: Cell::new(false),
            owned: Cell::new(0),
            claim_lock: Mutex::new(()),
        }
    }

    /// What operators have set; version 0 if nothing was read yet.
    #[must_use]
    pub fn operator_config(&self) -> Rc<OperatorConfig> {
        Rc::clone(&self.operator_config.borrow())
    }

    /// Puts a newer operator config in force. An older version never replaces a newer one.
    pub fn replace_operator_config(&self, operator_config: OperatorConfig) {
        let old = self.operator_config();
        if operator_config.version < old.version || operator_config == *old {
            return;
        }
        event::QUEUES_CHANGED.emit(format_args!(
            "version={} before={} routes={} queues={} domains_out={:?}",
            operator_config.version,
            old.version,
            operator_config.routes.len(),
            operator_config.queues.len(),
            operator_config.domains_out
        ));
        *self.operator_config.borrow_mut() = Rc::new(operator_config);
    }

    /// How jobs and workers are divided, once that is known.
    #[must_use]
    pub fn map(&self) -> Option<ShardMap> {
        *self.map.borrow()
    }

    /// Notes how jobs and workers are divided.
    pub fn set_map(&self, map: ShardMap) {
        self.map.send_replace(Some(map));
    }

    /// True once callers' jobs can be accepted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.operator_config.borrow().version > 0 && self.map().is_some() && !self.is_stopping()
    }

    /// Begins the planned stop.
    pub fn begin_stop(&self) {
        self.stop.send_replace(true);
    }

    /// True once a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Told when a planned stop begins.
    #[must_use]
    pub fn stop_receiver(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Waits until no other claim of this process is under way.
    pub async fn lock_claims(&self) -> MutexGuard<'_, ()> {
        self.claim_lock.lock().await
    }

    /// Number of shards that this process owns.
    #[must_use]
    pub fn owned(&self) -> u32 {
        self.owned.get()
    }

    /// Changes the number of shards that this process owns.
    pub fn set_owned(&self, owned: u32) {
        self.owned.set(owned);
    }

    /// Notes whether a call to the store succeeded; logs changes.
    pub fn record_store_result(&self, failure: Option<&crate::port::StoreError>) {
        if failure.is_some() {
            self.metrics.count("store.failed", 1);
        }
        match failure {
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
