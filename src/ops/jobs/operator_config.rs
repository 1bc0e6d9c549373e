//! Operator config: routes, queues, and failure domains that are closed to new tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::shard::QueuePolicy;

/// Maps requests for a host and path prefix to a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Value of the request's `Host` header, without the port.
    pub host: String,
    /// Path prefix; the rest of the path is the job's ID.
    pub prefix: String,
    /// Name of the queue, a key of [`OperatorConfig::queues`].
    pub queue: String,
}

/// The operators' settings for queues and failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Version that operators assigned; 0 until a config has been read.
    pub version: u64,
    /// Routes in any order; the longest matching prefix applies.
    pub routes: Vec<Route>,
    /// Queues by name.
    pub queues: BTreeMap<String, QueuePolicy>,
    /// Failure domains that receive no new tasks.
    pub domains_out: BTreeSet<String>,
}

impl OperatorConfig {
    /// Returns the route on `host` with the longest prefix of `path`, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let matches = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        let route = self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }
}
