//! Waits until no task runs in a failure domain that was taken out of service.

use std::time::Duration;

use super::message::TaskView;
use super::{Client, ClientError};
use crate::clock::Clock;
use crate::domain::DomainState;
use crate::task::TaskState;
use thiserror::Error;

/// Period of the queries for the tasks left.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Time after a domain is taken out of service within which a start already in progress may still take effect.
const IN_FLIGHT_START_LIMIT: Duration = Duration::from_secs(5);

/// Number of tasks of a failure domain that run or wait. Unplaceable tasks are not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemainingTasks {
    /// Tasks that run in the domain.
    pub running: usize,
    /// Tasks of this domain that wait; they may be placed in any domain.
    pub waiting: usize,
}

/// Why the wait ended before the domain was empty.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EvacuationError {
    /// A query failed.
    #[error("cannot count the tasks left in {domain}; the domain stays out of service")]
    Query {
        /// Name of the domain.
        domain: String,
        /// Error of the call.
        #[source]
        source: Box<ClientError>,
    },
    /// The domain was put back into service during the wait.
    #[error("{domain} was put back into service by another command while this one waited")]
    BackInService {
        /// Name of the domain.
        domain: String,
    },
    /// The timeout passed.
    #[error(
        "{running} tasks still run in {domain} after {} s; repeat the command to keep waiting, and see \"plantainlever status\" for tasks that fit no other domain",
        waited.as_secs()
    )]
    TimedOut {
        /// Name of the domain.
        domain: String,
        /// Number of tasks that still run in the domain.
        running: usize,
        /// How long the command waited.
        waited: Duration,
    },
}

/// Counts the running and waiting tasks of a domain. `tasks` may contain tasks of other domains.
#[must_use]
pub fn count(tasks: &[TaskView], domain: &str) -> RemainingTasks {
    let in_domain = || tasks.iter().filter(|task| task.domain == domain);
    RemainingTasks {
        running: in_domain().filter(|task| task.state == TaskState::Running).count(),
        waiting: in_domain().filter(|task| task.state.is_waiting()).count(),
    }
}

/// Waits until no task runs in a domain that was just taken out of service, and none can start there any more. Calls
/// `progress` whenever the counts change.
///
/// # Errors
///
/// Any [`EvacuationError`].
pub fn wait(
    client: &Client,
    clock: &dyn Clock,
    domain: &str,
    timeout: Duration,
    mut progress: impl FnMut(RemainingTasks),
) -> Result<RemainingTasks, EvacuationError> {
    let started = clock.now();
    let mut reported = None;
    loop {
        let query =
            |source| EvacuationError::Query { domain: domain.to_owned(), source: Box::new(source) };
        let left = count(&client.tasks().map_err(query)?, domain);
        if reported != Some(left) {
            progress(left);
            reported = Some(left);
        }
        let waited = clock.now().saturating_duration_since(started);
        if left.running == 0 && waited >= IN_FLIGHT_START_LIMIT {
            return Ok(left);
        }
        let domains = client.domains().map_err(query)?.domains;
        if domains.iter().any(|view| view.name == domain && view.state == DomainState::In) {
            return Err(EvacuationError::BackInService { domain: domain.to_owned() });
        }
        if waited >= timeout.max(IN_FLIGHT_START_LIMIT) {
            let running = left.running;
            return Err(EvacuationError::TimedOut { domain: domain.to_owned(), running, waited });
        }
        clock.sleep(POLL_PERIOD);
    }
}
