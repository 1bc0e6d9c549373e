//! Directory of the entry processes and their addresses.
//!
//! Each process writes a row `member/{domain}/{process}` when it starts and deletes it when it stops. After a crash,
//! the row stays until a peer deletes it. So a row gives a process's address but is no sign that it is alive.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use serde::{Deserialize, Serialize};

/// Prefix of the table rows that hold a [`Member`].
pub const ROW_PREFIX: &str = "member/";

/// Table key of the row for a process.
#[must_use]
pub fn row_key(domain: &str, process: &str) -> String {
    format!("{ROW_PREFIX}{domain}/{process}")
}

/// Content of a member row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the process, unique per start.
    pub process: String,
    /// Failure domain of the process.
    pub domain: String,
    /// `IP:PORT` on which the process listens for peers.
    pub peer_address: String,
    /// `IP:PORT` on which the process listens for callers.
    pub address: String,
}

/// The listed processes of all domains by name, alive or not. Includes this process once its row has been read. Clones
/// share the same state.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    current: Arc<RwLock<Arc<BTreeMap<String, Member>>>>,
}

impl Directory {
    /// The processes that are listed now.
    #[must_use]
    pub fn snapshot(&self) -> Arc<BTreeMap<String, Member>> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds or replaces a process.
    pub fn insert(&self, member: Member) {
        self.update(|members| {
            members.insert(member.process.clone(), member);
        });
    }

    /// Removes a process. Does nothing if it is not listed.
    pub fn remove(&self, process: &str) {
        self.update(|members| {
            members.remove(process);
        });
    }

    fn update(&self, update: impl FnOnce(&mut BTreeMap<String, Member>)) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let mut members = BTreeMap::clone(&current);
        update(&mut members);
        *current = Arc::new(members);
    }
}
