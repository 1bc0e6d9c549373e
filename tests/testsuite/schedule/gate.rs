//! Holds back the calls of a process at the last moment, after all its checks, as a pause of the process does.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Condvar, Mutex};

use plantainlever::local::worker::DirectWorkers;
use plantainlever::platform::PlatformError;
use plantainlever::platform::worker::{
    CheckpointRequest, Inventory, InventoryRequest, RenewRequest, StartRequest, StartResult,
    StopRequest, ThrottleRequest, WorkerClient,
};

/// All kinds of calls.
pub const ALL: &[&str] = &[
    "read",
    "commit",
    "operation",
    "inventory",
    "start",
    "renew",
    "checkpoint",
    "throttle",
    "stop",
];

#[derive(Debug, Default)]
struct State {
    held: BTreeSet<&'static str>,
    waiting: BTreeMap<&'static str, usize>,
    dead: bool,
}

/// The gate of one process.
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<State>,
    changed: Condvar,
}

impl Gate {
    /// Holds calls of these kinds back.
    pub fn hold(&self, kinds: &[&'static str]) {
        self.state.lock().unwrap().held.extend(kinds);
    }

    /// Lets everything through, what waits included.
    pub fn release(&self) {
        self.state.lock().unwrap().held.clear();
        self.changed.notify_all();
    }

    /// From now on no call has any effect.
    pub fn kill(&self) {
        self.state.lock().unwrap().dead = true;
        self.changed.notify_all();
    }

    /// Calls of a kind that wait.
    pub fn waiting(&self, kind: &str) -> usize {
        self.state.lock().unwrap().waiting.get(kind).copied().unwrap_or(0)
    }

    pub fn pass(&self, kind: &'static str) -> Result<(), PlatformError> {
        let mut state = self.state.lock().unwrap();
        *state.waiting.entry(kind).or_default() += 1;
        while state.held.contains(kind) && !state.dead {
            state = self.changed.wait(state).unwrap();
        }
        *state.waiting.entry(kind).or_default() -= 1;
        if state.dead {
            return Err(PlatformError::Unreachable {
                service: "gate",
                address: kind.to_owned(),
                cause: "the process is dead".to_owned(),
            });
        }
        Ok(())
    }
}

/// Workers behind a gate.
#[derive(Debug)]
pub struct GatedWorkers {
    pub inner: DirectWorkers,
    pub gate: std::sync::Arc<Gate>,
}

impl WorkerClient for GatedWorkers {
    fn inventory(&self, address: &str, req: &InventoryRequest) -> Result<Inventory, PlatformError> {
        self.gate.pass("inventory")?;
        self.inner.inventory(address, req)
    }

    fn start(&self, address: &str, req: &StartRequest) -> Result<StartResult, PlatformError> {
        self.gate.pass("start")?;
        self.inner.start(address, req)
    }

    fn renew(&self, address: &str, req: &RenewRequest) -> Result<(), PlatformError> {
        self.gate.pass("renew")?;
        self.inner.renew(address, req)
    }

    fn checkpoint(&self, address: &str, req: &CheckpointRequest) -> Result<(), PlatformError> {
        self.gate.pass("checkpoint")?;
        self.inner.checkpoint(address, req)
    }

    fn throttle(&self, address: &str, req: &ThrottleRequest) -> Result<(), PlatformError> {
        self.gate.pass("throttle")?;
        self.inner.throttle(address, req)
    }

    fn stop(&self, address: &str, req: &StopRequest) -> Result<(), PlatformError> {
        self.gate.pass("stop")?;
        self.inner.stop(address, req)
    }
}
