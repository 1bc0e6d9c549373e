//! Blocks calls of a process after all its checks, directly before they are sent, as a pause of the process would.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Condvar, Mutex};

use plantainlever::local::worker::DirectWorkers;
use plantainlever::platform::PlatformError;
use plantainlever::platform::worker::{
    CheckpointRequest, Inventory, InventoryRequest, RenewRequest, StartRequest, StartResult,
    StopRequest, ThrottleRequest, WorkerClient,
};

/// All kinds of calls.
pub const ALL_CALLS: &[&str] = &[
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
    blocked: BTreeSet<&'static str>,
    waiting: BTreeMap<&'static str, usize>,
    dead: bool,
}

/// Gate of one process.
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<State>,
    changed: Condvar,
}

impl Gate {
    /// Blocks calls of these kinds, in addition to those already blocked.
    pub fn block(&self, kinds: &[&'static str]) {
        self.state.lock().unwrap().blocked.extend(kinds);
    }

    /// Unblocks all kinds of calls, including those that wait.
    pub fn release(&self) {
        self.state.lock().unwrap().blocked.clear();
        self.changed.notify_all();
    }

    /// Makes every call fail from now on, including those that wait.
    pub fn kill(&self) {
        self.state.lock().unwrap().dead = true;
        self.changed.notify_all();
    }

    /// Returns the number of calls of a kind that wait.
    pub fn waiting(&self, kind: &str) -> usize {
        self.state.lock().unwrap().waiting.get(kind).copied().unwrap_or(0)
    }

    /// Waits while calls of this kind are blocked.
    pub fn wait_open(&self, kind: &'static str) -> Result<(), PlatformError> {
        let mut state = self.state.lock().unwrap();
        *state.waiting.entry(kind).or_default() += 1;
        while state.blocked.contains(kind) && !state.dead {
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

/// Client of the workers whose calls pass a gate.
#[derive(Debug)]
pub struct GatedWorkers {
    pub inner: DirectWorkers,
    pub gate: std::sync::Arc<Gate>,
}

impl WorkerClient for GatedWorkers {
    fn inventory(&self, address: &str, req: &InventoryRequest) -> Result<Inventory, PlatformError> {
        self.gate.wait_open("inventory")?;
        self.inner.inventory(address, req)
    }

    fn start(&self, address: &str, req: &StartRequest) -> Result<StartResult, PlatformError> {
        self.gate.wait_open("start")?;
        self.inner.start(address, req)
    }

    fn renew(&self, address: &str, req: &RenewRequest) -> Result<(), PlatformError> {
        self.gate.wait_open("renew")?;
        self.inner.renew(address, req)
    }

    fn checkpoint(&self, address: &str, req: &CheckpointRequest) -> Result<(), PlatformError> {
        self.gate.wait_open("checkpoint")?;
        self.inner.checkpoint(address, req)
    }

    fn throttle(&self, address: &str, req: &ThrottleRequest) -> Result<(), PlatformError> {
        self.gate.wait_open("throttle")?;
        self.inner.throttle(address, req)
    }

    fn stop(&self, address: &str, req: &StopRequest) -> Result<(), PlatformError> {
        self.gate.wait_open("stop")?;
        self.inner.stop(address, req)
    }
}
