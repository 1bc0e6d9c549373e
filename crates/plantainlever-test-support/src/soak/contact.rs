//! Which processes are in touch with the platform: neither they nor the store were disrupted for a while.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without a disruption after which a process or the store counts as stable; the platform's `stable-window-ms`.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Last disruptions of the processes and the store. Faults of a worker or its links are the worker's own and disrupt
/// no process.
#[derive(Debug, Default)]
pub struct Contact {
    /// By process: last moment at which it or its link to the store was disrupted.
    nodes: BTreeMap<usize, Instant>,
    store: Option<Instant>,
}

impl Contact {
    /// Records that a process, or its link to the store, is disrupted now.
    pub fn disrupt_node(&mut self, node: usize) {
        self.nodes.insert(node, Instant::now());
    }

    /// Records that the store is disrupted now.
    pub fn disrupt_store(&mut self) {
        self.store = Some(Instant::now());
    }

    /// Returns true if a process has been in touch from `since` ago until now.
    #[must_use]
    pub fn has_been_in_touch(&self, node: usize, since: Duration) -> bool {
        let disruptions = self.nodes.get(&node).into_iter().chain(&self.store);
        disruptions.map(Instant::elapsed).all(|elapsed| elapsed >= STABLE_WINDOW + since)
    }
}
