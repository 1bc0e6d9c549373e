//! An object store whose bandwidth is shared by all transfers.

use std::collections::BTreeMap;

/// Bandwidth in GB/s. The regular checkpoints of three full domains use about half of it.
const BANDWIDTH: f64 = 5.0;

/// Size of a checkpoint in GB per core of its task.
const GB_PER_CORE: f64 = 0.3;

/// Seconds after which a transfer fails.
const TIMEOUT_S: u64 = 30;

/// Why a checkpoint is transferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    Regular,
    Evict,
    Restore,
}

struct Transfer {
    left_gb: f64,
    began_s: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    transfers: BTreeMap<(u32, Purpose), Transfer>,
    /// Most concurrent transfers.
    pub most: usize,
}

impl Store {
    pub fn begin(&mut self, id: u32, purpose: Purpose, cores: f64, second: u64) {
        let transfer = Transfer { left_gb: cores * GB_PER_CORE, began_s: second };
        self.transfers.insert((id, purpose), transfer);
        self.most = self.most.max(self.transfers.len());
    }

    /// Moves one second on and returns the transfers that ended, with whether each one succeeded.
    pub fn advance(&mut self, second: u64) -> Vec<(u32, Purpose, bool)> {
        let share = BANDWIDTH / self.transfers.len().max(1) as f64;
        let mut ended = Vec::new();
        for ((id, purpose), transfer) in &mut self.transfers {
            transfer.left_gb -= share;
            let is_done = transfer.left_gb <= 0.0;
            if is_done || second - transfer.began_s >= TIMEOUT_S {
                ended.push((*id, *purpose, is_done));
            }
        }
        for (id, purpose, _) in &ended {
            self.transfers.remove(&(*id, *purpose));
        }
        ended
    }
}
