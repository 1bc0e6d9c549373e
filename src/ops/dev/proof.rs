//! Shows that the site works: one request and one task, over HTTP as a caller sends them.

use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use ureq::Agent;

use super::Dev;
use crate::clock::Clock;
use crate::ops::client::message::TaskView;
use crate::ops::client::{Client, ClientError};
use crate::ops::signals::ShutdownSignal;
use crate::request::OUTCOME;
use crate::task::TaskState;

/// Longest wait for each step. A scheduler takes its domain over about 10 s after the first start.
const STEP_BOUND: Duration = Duration::from_secs(60);

/// Period of the attempts.
const POLL: Duration = Duration::from_millis(100);

/// Timeout of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Run time of the task.
const RUN_MS: u64 = 500;

/// Body of the request, which must come back.
const BODY: &str = "hello from dev";

/// What was shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Proof {
    /// Time from sending the request to its answer, of the attempt that succeeded.
    pub request_time: Duration,
    /// The task after its end.
    pub task: TaskView,
    /// Time from the submission to the end, as seen by polling.
    pub task_time: Duration,
}

/// Why the site does not work.
#[derive(Debug, Error)]
pub enum ProofError {
    /// The catalogue was not accepted.
    #[error("document {name} was not accepted; see the cause, and the log with --verbose")]
    Catalogue {
        /// Name of the document.
        name: String,
        /// The last answer.
        #[source]
        source: Box<ClientError>,
    },
    /// No request was answered.
    #[error("no request to the service echo was answered within {} s, the last one ended with: {last}", STEP_BOUND.as_secs())]
    Request {
        /// What became of the last attempt.
        last: String,
    },
    /// The answer is not the one of the request.
    #[error("the answer to a request is not its own: {found:?} instead of {BODY:?}")]
    WrongAnswer {
        /// The body found.
        found: String,
    },
    /// The task was not accepted.
    #[error("the task was not accepted")]
    Submit {
        /// The last answer.
        #[source]
        source: Box<ClientError>,
    },
    /// The task did not succeed.
    #[error("task {id} did not succeed within {} s, it is {state}: {reason}", STEP_BOUND.as_secs())]
    Task {
        /// Identity.
        id: String,
        /// Its last state.
        state: &'static str,
        /// Its last reason.
        reason: String,
    },
    /// The task's state could not be read.
    #[error("the state of task {id} cannot be read")]
    Show {
        /// Identity.
        id: String,
        /// The last answer.
        #[source]
        source: Box<ClientError>,
    },
    /// A signal arrived first.
    #[error("stopped by a signal before the site was shown to work")]
    Stopped,
}

/// Runs the steps.
pub(super) fn run(
    dev: &Dev,
    clock: &dyn Clock,
    stop: &ShutdownSignal,
) -> Result<Proof, ProofError> {
    let client = Client::new(&dev.address().to_string());
    let steps = Steps { client, clock, stop };
    steps.write_catalogue(dev)?;
    let request_time = steps.send_request()?;
    let (task, task_time) = steps.run_task()?;
    Ok(Proof { request_time, task, task_time })
}

struct Steps<'a> {
    client: Client,
    clock: &'a dyn Clock,
    stop: &'a ShutdownSignal,
}

impl Steps<'_> {
    /// Repeats `attempt` while it says so, until the bound. The last failure is returned.
    fn repeat<T, E>(&self, mut attempt: impl FnMut() -> Result<T, E>) -> Result<T, Ended<E>> {
        let started = self.clock.now();
        loop {
            if self.stop.is_requested() {
                return Err(Ended::Stopped);
            }
            match attempt() {
                Ok(value) => return Ok(value),
                Err(error) if self.clock.now().duration_since(started) >= STEP_BOUND => {
                    return Err(Ended::Failed(error));
                }
                Err(_) => self.clock.sleep(POLL),
            }
        }
    }

    fn write_catalogue(&self, dev: &Dev) -> Result<(), ProofError> {
        for document in dev.documents() {
            let put = || {
                // A put whose answer was lost is found by the next attempt.
                match self.client.document(&document.name)? {
                    Some(held) if held.document == document.document => Ok(()),
                    held => {
                        let revision = held.map_or(0, |held| held.revision);
                        self.client.put_document(&document.name, &document.document, revision)
                    }
                }
            };
            self.repeat(put).map_err(|ended| match ended {
                Ended::Stopped => ProofError::Stopped,
                Ended::Failed(error) => {
                    ProofError::Catalogue { name: document.name.clone(), source: Box::new(error) }
                }
            })?;
        }
        Ok(())
    }

    /// Waits until the balancer would send requests here, so that the time shown is that of a request.
    fn wait_ready(&self, agent: &Agent) -> Result<(), ProofError> {
        let url = format!("http://{}/readyz", self.client.server());
        let ready = self.repeat(|| {
            let answer = agent.get(&url).call().map_err(|error| error.to_string())?;
            if answer.status().is_success() { Ok(()) } else { Err(answer.status().to_string()) }
        });
        ready.map_err(|ended| match ended {
            Ended::Stopped => ProofError::Stopped,
            Ended::Failed(last) => ProofError::Request { last },
        })
    }

    fn send_request(&self) -> Result<Duration, ProofError> {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        let agent: Agent = config.into();
        let url = format!("http://{}/v1/services/echo/hello", self.client.server());
        self.wait_ready(&agent)?;
        let answered = self.repeat(|| {
            let sent_at = self.clock.now();
            let mut answer = agent.put(&url).send(BODY).map_err(|error| error.to_string())?;
            let body = answer.body_mut().read_to_string().map_err(|error| error.to_string())?;
            let time = self.clock.now().duration_since(sent_at);
            let outcome = answer.headers().get(OUTCOME).and_then(|value| value.to_str().ok());
            if answer.status().is_success() && outcome == Some("completed") {
                Ok((time, body))
            } else {
                Err(format!("{} {}", answer.status(), body))
            }
        });
        match answered {
            Ok((time, body)) if body == BODY => Ok(time),
            Ok((_, found)) => Err(ProofError::WrongAnswer { found }),
            Err(Ended::Stopped) => Err(ProofError::Stopped),
            Err(Ended::Failed(last)) => Err(ProofError::Request { last }),
        }
    }

    fn run_task(&self) -> Result<(TaskView, Duration), ProofError> {
        let args = json!({ "run_ms": RUN_MS });
        // Only a refusal is repeated, because a submission without an answer may have been accepted.
        let submitted = self.repeat(|| match self.client.submit("count", &args) {
            Err(error @ ClientError::Refused { status: 503, .. }) => Err(error),
            other => Ok(other),
        });
        let submitted = match submitted {
            Ok(result) => result.map_err(|error| ProofError::Submit { source: Box::new(error) })?,
            Err(Ended::Stopped) => return Err(ProofError::Stopped),
            Err(Ended::Failed(error)) => {
                return Err(ProofError::Submit { source: Box::new(error) });
            }
        };
        let submitted_at = self.clock.now();
        let ended = self.repeat(|| match self.client.task(&submitted.id) {
            Ok(task) if task.state.is_final() => Ok(task),
            other => Err(Box::new(other)),
        });
        let time = self.clock.now().duration_since(submitted_at);
        let task = match ended {
            Ok(task) => task,
            Err(Ended::Stopped) => return Err(ProofError::Stopped),
            Err(Ended::Failed(last)) => last.map_err(|error| {
                let source = Box::new(error);
                ProofError::Show { id: submitted.id, source }
            })?,
        };
        if task.state != TaskState::Succeeded {
            let state = crate::ops::client::message::state_text(task.state);
            let reason = task.reason.unwrap_or_else(|| "no reason is known".to_owned());
            return Err(ProofError::Task { id: task.id, state, reason });
        }
        Ok((task, time))
    }
}

/// Why an attempt is not repeated any more.
enum Ended<E> {
    Stopped,
    Failed(E),
}
