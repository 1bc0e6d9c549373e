//! What operators have set: routes to queues, and failure domains that are out of service.

use std::collections::{BTreeMap, BTreeSet};

use crate::shard::QueuePolicy;

/// Where a caller's path leads.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that the caller names.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Queue.
    pub queue: String,
}

/// What operators have set for queues and failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Version that operators gave; 0 if none was read yet.
    pub version: u64,
    /// Routes, the longest prefix first.
    pub routes: Vec<Route>,
    /// Queues by name.
    pub queues: BTreeMap<String, QueuePolicy>,
    /// Failure domains that get no new task.
    pub domains_out: BTreeSet<String>,
}

impl OperatorConfig {
    /// The route with the longest prefix of `path` on `host`, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let matches = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        let route = self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }
}
