//! The entry processes that are known, with their addresses.
//!
//! Each process writes a row `member/{domain}/{process}` when it starts and deletes it when it stops. A row may outlive
//! its process, so it tells where a process may be found and never that it is alive.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use serde::{Deserialize, Serialize};

/// Prefix of the member rows.
pub const ROW_PREFIX: &str = "member/";

/// Row key of a process.
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
    /// `IP:PORT` of its peer interface.
    pub peer_address: String,
    /// `IP:PORT` of its interface for callers.
    pub address: String,
}

/// The known processes by name, shared by all threads. This process is included once its row has been read.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    current: Arc<RwLock<Arc<BTreeMap<String, Member>>>>,
}

impl Directory {
    /// The known processes.
    #[must_use]
    pub fn snapshot(&self) -> Arc<BTreeMap<String, Member>> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds or replaces a process.
    pub fn insert(&self, member: Member) {
        self.change(|members| {
            members.insert(member.process.clone(), member);
        });
    }

    /// Removes a process.
    pub fn remove(&self, process: &str) {
        self.change(|members| {
            members.remove(process);
        });
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<String, Member>)) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let mut members = BTreeMap::clone(&current);
        change(&mut members);
        *current = Arc::new(members);
    }
}
