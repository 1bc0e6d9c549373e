//! What every duty of a process shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::api::status::StatusSources;
use crate::catalogue::cache::SharedCatalogue;
use crate::clock::Clock;
use crate::config::Settings;
use crate::peer::{Directory, Peers};
use crate::platform::group_commit::GroupCommit;
use crate::platform::objects::Objects;
use crate::platform::table::Table;
use crate::platform::vms::{VmList, VmListing};
use crate::platform::worker::WorkerClient;
use crate::telemetry::Metrics;

/// Shared by all threads of a process. Cloning copies references.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings, checked.
    pub cfg: Arc<Settings>,
    /// Name of this process, unique per start.
    pub process: String,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Table transactions, joined into fewer writes.
    pub commits: GroupCommit,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// VM list service.
    pub vms: Arc<dyn VmList>,
    /// Workers' control interface.
    pub workers: Arc<dyn WorkerClient>,
    /// Cache of the catalogue and of the domains' states.
    pub catalogue: SharedCatalogue,
    /// The newest VM list received.
    pub vm_listing: SharedVmListing,
    /// Calls to other entry processes.
    pub peers: Arc<dyn Peers>,
    /// Other entry processes that are known.
    pub directory: Directory,
    /// Duties that show something on the status page.
    pub status: StatusSources,
    /// Metrics.
    pub metrics: Metrics,
    /// Set once a planned stop begins.
    pub stop: StopSignal,
}

/// The newest VM list, shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct SharedVmListing {
    current: Arc<std::sync::RwLock<Arc<VmListing>>>,
}

impl SharedVmListing {
    /// The newest list.
    #[must_use]
    pub fn snapshot(&self) -> Arc<VmListing> {
        Arc::clone(&self.current.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Replaces the list.
    pub fn replace(&self, listing: VmListing) {
        *self.current.write().unwrap_or_else(std::sync::PoisonError::into_inner) =
            Arc::new(listing);
    }
}

/// Two steps of a planned stop, each set once.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    draining: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl StopSignal {
    /// Begins the planned stop: `/readyz` answers 503.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// True once the planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells all duty threads to end.
    pub fn stop(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// True once duty threads must end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}
