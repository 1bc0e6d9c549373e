//! In-memory VM list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::server::{JsonServer, ListenError, Reply, ServerRequest};
use crate::platform::PlatformError;
use crate::platform::vms::{Vm, VmList, VmListing, VmRole, VmState};

/// VM list in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct MemoryVms {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    listing: VmListing,
    /// Random part of the entity tags, so that they differ from those of an earlier list at the same address.
    tag_prefix: u64,
    /// Incremented by each change.
    version: u64,
}

impl Default for State {
    fn default() -> Self {
        Self { listing: VmListing::default(), tag_prefix: rand::random(), version: 0 }
    }
}

impl MemoryVms {
    /// Adds a VM, or replaces the one of the same name and role.
    pub fn insert(&self, vm: Vm) {
        self.change(|vms| {
            vms.retain(|listed| listed.role != vm.role || listed.name != vm.name);
            vms.push(vm);
        });
    }

    /// Sets the state of a VM; an unknown VM is ignored.
    pub fn set_state(&self, role: VmRole, name: &str, state: VmState) {
        self.change(|vms| {
            for vm in vms.iter_mut().filter(|vm| vm.role == role && vm.name == name) {
                vm.state = state;
            }
        });
    }

    /// Removes a VM, if it is listed.
    pub fn remove(&self, role: VmRole, name: &str) {
        self.change(|vms| vms.retain(|vm| vm.role != role || vm.name != name));
    }

    /// Answers a request of the VM list protocol.
    #[must_use]
    pub fn answer(&self, req: &ServerRequest) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/vms") => self.answer_list(req.header("If-None-Match")),
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

    fn answer_list(&self, known: Option<&str>) -> Reply {
        let (tag, listing) = {
            let state = self.lock();
            let tag = format!("\"{:x}-{}\"", state.tag_prefix, state.version);
            (tag, state.listing.clone())
        };
        if known == Some(tag.as_str()) {
            return Reply::Answer { status: 304, headers: Vec::new(), body: Vec::new() };
        }
        let mut reply = Reply::json(200, &listing);
        if let Reply::Answer { headers, .. } = &mut reply {
            headers.push(("ETag".to_owned(), tag));
        }
        reply
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut state = self.lock();
        change(&mut state.listing.vms);
        state.version += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VmList for MemoryVms {
    fn list(&self) -> Result<VmListing, PlatformError> {
        Ok(self.lock().listing.clone())
    }
}
