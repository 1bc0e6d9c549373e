//! Waits until a failure domain that is out runs no task.

use std::time::Duration;

use super::message::{TaskView, domain_state_text};
use super::{Client, ClientError};
use crate::clock::Clock;
use crate::domain::DomainState;
use crate::task::TaskState;
use thiserror::Error;

/// Period of the queries.
const POLL: Duration = Duration::from_millis(500);

/// Until this long after the domain was taken out, a start that was under way may still take effect.
const START_BOUND: Duration = Duration::from_secs(5);

/// Tasks of a failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TasksLeft {
    /// Tasks that run there.
    pub running: usize,
    /// Tasks of the domain that wait for a worker somewhere.
    pub waiting: usize,
}

/// Why the domain is not known to be empty.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EvacuationError {
    /// A query failed.
    #[error("the tasks left in {domain} cannot be counted; the domain is out all the same")]
    Query {
        /// The domain.
        domain: String,
        /// The failed call.
        #[source]
        source: Box<ClientError>,
    },
    /// The domain is in service again.
    #[error(
        "{domain} was set to {} while this command waited; somebody else brought it back",
        domain_state_text(DomainState::In)
    )]
    BroughtBack {
        /// The domain.
        domain: String,
    },
    /// The wait ended first.
    #[error(
        "{running} tasks still run in {domain} after {} s; repeat the command to go on waiting, and see plantainlever status for tasks that fit nowhere else",
        waited.as_secs()
    )]
    TimedOut {
        /// The domain.
        domain: String,
        /// Tasks that still run there.
        running: usize,
        /// How long the command waited.
        waited: Duration,
    },
}

/// Counts the tasks of a domain.
#[must_use]
pub fn count(tasks: &[TaskView], domain: &str) -> TasksLeft {
    let in_domain = || tasks.iter().filter(|task| task.domain == domain);
    TasksLeft {
        running: in_domain().filter(|task| task.state == TaskState::Running).count(),
        waiting: in_domain().filter(|task| task.state.is_waiting()).count(),
    }
}

/// Waits until no task runs in a domain that was just taken out, and none can start any more. `progress` is called with
/// each new count.
///
/// # Errors
///
/// Any [`EvacuationError`].
pub fn wait(
    client: &Client,
    clock: &dyn Clock,
    domain: &str,
    timeout: Duration,
    mut progress: impl FnMut(TasksLeft),
) -> Result<TasksLeft, EvacuationError> {
    let started = clock.now();
    let mut shown = None;
    loop {
        let query =
            |source| EvacuationError::Query { domain: domain.to_owned(), source: Box::new(source) };
        let left = count(&client.tasks().map_err(query)?, domain);
        if shown != Some(left) {
            progress(left);
            shown = Some(left);
        }
        let waited = clock.now().saturating_duration_since(started);
        if left.running == 0 && waited >= START_BOUND {
            return Ok(left);
        }
        let domains = client.domains().map_err(query)?.domains;
        if domains.iter().any(|view| view.name == domain && view.state == DomainState::In) {
            return Err(EvacuationError::BroughtBack { domain: domain.to_owned() });
        }
        if waited >= timeout.max(START_BOUND) {
            let running = left.running;
            return Err(EvacuationError::TimedOut { domain: domain.to_owned(), running, waited });
        }
        clock.sleep(POLL);
    }
}
