//! State shared by the components of a process.

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

/// Clients, caches and settings shared by all threads of a process. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings that have passed all checks.
    pub cfg: Arc<Settings>,
    /// Name of this process, unique per start.
    pub process: String,
    /// Clock; a manual one in tests.
    pub clock: Arc<dyn Clock>,
    /// Client of the table service, which relays calls through peers if the service cannot be reached.
    pub table: Arc<dyn Table>,
    /// Batches table transactions into fewer writes.
    pub commits: GroupCommit,
    /// Client of the object store.
    pub objects: Arc<dyn Objects>,
    /// Client of the VM list service.
    pub vms: Arc<dyn VmList>,
    /// Client of the workers' control interface.
    pub workers: Arc<dyn WorkerClient>,
    /// Cache of the catalogue and of the domains' states.
    pub catalogue: SharedCatalogue,
    /// The last VM list received; empty before the first one.
    pub vm_listing: SharedVmListing,
    /// Client of other entry processes.
    pub peers: Arc<dyn Peers>,
    /// Addresses of the known entry processes, this one included once its member row was read.
    pub directory: Directory,
    /// Components that contribute to `GET /v1/status`.
    pub status: StatusSources,
    /// Sink of this process's metrics.
    pub metrics: Metrics,
    /// Set once a planned stop begins.
    pub stop: StopState,
}

/// The last VM list received, shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct SharedVmListing {
    current: Arc<std::sync::RwLock<Arc<VmListing>>>,
}

impl SharedVmListing {
    /// Returns the last list.
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

/// The two stages of a planned stop: draining, then stopped. Neither is ever reset.
#[derive(Clone, Debug, Default)]
pub struct StopState {
    draining: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl StopState {
    /// Begins the planned stop: `/readyz` returns 503 from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// True once the planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells the components' threads to end.
    pub fn stop(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// True once the components' threads must end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}
