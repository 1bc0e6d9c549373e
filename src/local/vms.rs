//! VM list kept in memory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use super::server::{JsonServer, ListenError, Reply, ServerRequest};
use crate::platform::PlatformError;
use crate::platform::vms::{Vm, VmList, VmListing, VmRole, VmState};

/// The list, shared by threads. Cloning shares it.
#[derive(Clone, Debug, Default)]
pub struct MemoryVms {
    listing: Arc<Mutex<VmListing>>,
}

impl MemoryVms {
    /// Adds a VM, or replaces the one of the same name and role.
    pub fn insert(&self, vm: Vm) {
        self.change(|vms| {
            vms.retain(|held| held.role != vm.role || held.name != vm.name);
            vms.push(vm);
        });
    }

    /// Sets the state of a VM.
    pub fn set_state(&self, role: VmRole, name: &str, state: VmState) {
        self.change(|vms| {
            for vm in vms.iter_mut().filter(|vm| vm.role == role && vm.name == name) {
                vm.state = state;
            }
        });
    }

    /// Removes a VM.
    pub fn remove(&self, role: VmRole, name: &str) {
        self.change(|vms| vms.retain(|vm| vm.role != role || vm.name != name));
    }

    /// Answers a request of the VM list protocol.
    #[must_use]
    pub fn answer(&self, req: &ServerRequest) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/vms") => Reply::json(200, &self.snapshot()),
            _ => Reply::json(404, &"the VM list has no such path"),
        }
    }

    /// Serves the VM list protocol.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn serve(&self, address: SocketAddr, threads: usize) -> Result<JsonServer, ListenError> {
        let vms = self.clone();
        JsonServer::start(address, threads, move |req| vms.answer(req))
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        change(&mut self.listing.lock().unwrap_or_else(PoisonError::into_inner).vms);
    }

    fn snapshot(&self) -> VmListing {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl VmList for MemoryVms {
    fn list(&self) -> Result<VmListing, PlatformError> {
        Ok(self.snapshot())
    }
}
