//! Operator config: routes, queues, and failure domains that are closed to new tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::shard::{ConfiguredQueues, JobQueue, QueueAddress, QueuePolicy};

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

impl Route {
    fn address(&self) -> QueueAddress {
        QueueAddress { host: self.host.clone(), prefix: self.prefix.clone() }
    }
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

    /// Returns the queues with their addresses.
    #[must_use]
    pub fn configured_queues(&self) -> ConfiguredQueues {
        let names = self.routes.iter().map(|route| (route.address(), route.queue.clone()));
        ConfiguredQueues { policies: self.queues.clone(), names: names.collect() }
    }

    /// Returns a queue as it is stored with a job that it accepts.
    #[must_use]
    pub fn job_queue(&self, name: &str) -> JobQueue {
        let route = self.routes.iter().find(|route| route.queue == name);
        JobQueue {
            name: name.to_owned(),
            address: route.map(Route::address),
            policy: self.queues.get(name).cloned(),
        }
    }
}
