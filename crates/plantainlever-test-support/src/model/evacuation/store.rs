//! An object store whose bandwidth is shared equally by all transfers.

use std::collections::BTreeMap;

/// Total bandwidth. The regular checkpoints of three full domains use about half of it.
const BANDWIDTH_GB_PER_S: f64 = 5.0;

/// Size of a checkpoint per core of its task.
const GB_PER_CORE: f64 = 0.3;

/// Time after which a transfer fails.
const TRANSFER_TIMEOUT_S: u64 = 30;

/// Reason for the transfer of a checkpoint: periodic write, write before an eviction, or read on restart.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    Regular,
    Evict,
    Restore,
}

struct Transfer {
    remaining_gb: f64,
    started_s: u64,
}

/// The simulated object store.
#[derive(Default)]
pub struct Store {
    transfers: BTreeMap<(u32, Purpose), Transfer>,
    /// Highest number of concurrent transfers so far.
    pub max_concurrent: usize,
}

impl Store {
    pub fn begin(&mut self, id: u32, purpose: Purpose, cores: f64, second: u64) {
        let transfer = Transfer { remaining_gb: cores * GB_PER_CORE, started_s: second };
        self.transfers.insert((id, purpose), transfer);
        self.max_concurrent = self.max_concurrent.max(self.transfers.len());
    }

    /// Advances by one second. Returns the transfers that ended and whether each one succeeded.
    pub fn advance(&mut self, second: u64) -> Vec<(u32, Purpose, bool)> {
        let share = BANDWIDTH_GB_PER_S / self.transfers.len().max(1) as f64;
        let mut ended = Vec::new();
        for ((id, purpose), transfer) in &mut self.transfers {
            transfer.remaining_gb -= share;
            let is_done = transfer.remaining_gb <= 0.0;
            if is_done || second - transfer.started_s >= TRANSFER_TIMEOUT_S {
                ended.push((*id, *purpose, is_done));
            }
        }
        for (id, purpose, _) in &ended {
            self.transfers.remove(&(*id, *purpose));
        }
        ended
    }
}
