//! Smoke test of `dev`: sends one request and runs one task over HTTP, as a caller does.

use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use ureq::Agent;

use super::Dev;
use crate::clock::Clock;
use crate::ops::client::message::TaskView;
use crate::ops::client::{Client, ClientError};
use crate::ops::signals::ShutdownSignal;
use crate::request::OUTCOME_HEADER;
use crate::task::TaskState;

/// Longest time for each step. A scheduler takes over its domain about 10 s after the first start.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between the attempts of a step.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of one attempt of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Run time that the task is submitted with.
const TASK_RUN_MS: u64 = 500;

/// Body of the request, which the response must echo.
const REQUEST_BODY: &str = "hello from dev";

/// Times and task of a successful smoke test.
#[derive(Clone, Debug, PartialEq)]
pub struct SmokeTestReport {
    /// Time from sending the request to its response, for the attempt that succeeded.
    pub request_time: Duration,
    /// The task after its end.
    pub task: TaskView,
    /// Time from the submission of the task to its end, as observed by polling.
    pub task_time: Duration,
}

/// Why the smoke test failed.
#[derive(Debug, Error)]
pub enum SmokeTestError {
    /// A document of the catalogue was not accepted.
    #[error(
        "document {name} was not accepted; see the cause below, or run with --verbose for the log"
    )]
    Catalogue {
        /// Name of the document.
        name: String,
        /// Error of the last attempt.
        #[source]
        source: Box<ClientError>,
    },
    /// `/readyz` or the request did not succeed in time.
    #[error("no request to the service echo was answered within {} s, the last one ended with: {last}", STEP_TIMEOUT.as_secs())]
    Request {
        /// Error of the last attempt.
        last: String,
    },
    /// The response does not echo the request's body.
    #[error("the response does not echo the request: found {found:?}, expected {REQUEST_BODY:?}")]
    WrongAnswer {
        /// Body of the response.
        found: String,
    },
    /// The task was not accepted.
    #[error("the task was not accepted")]
    Submit {
        /// Error of the last attempt.
        #[source]
        source: Box<ClientError>,
    },
    /// The task failed or did not end in time.
    #[error("task {id} did not succeed within {} s, it is {state}: {reason}", STEP_TIMEOUT.as_secs())]
    Task {
        /// Task ID.
        id: String,
        /// Last known state of the task.
        state: &'static str,
        /// Last known reason of that state.
        reason: String,
    },
    /// The task's state could not be read.
    #[error("the state of task {id} cannot be read")]
    Show {
        /// Task ID.
        id: String,
        /// Error of the last attempt.
        #[source]
        source: Box<ClientError>,
    },
    /// A signal arrived before the end.
    #[error("stopped by a signal before the smoke test was complete")]
    Stopped,
}

/// Writes the catalogue, sends a request and runs a task.
pub(super) fn run(
    dev: &Dev,
    clock: &dyn Clock,
    stop: &ShutdownSignal,
) -> Result<SmokeTestReport, SmokeTestError> {
    let client = Client::new(&dev.address().to_string());
    let steps = Steps { client, clock, stop };
    steps.write_catalogue(dev)?;
    let request_time = steps.send_request()?;
    let (task, task_time) = steps.run_task()?;
    Ok(SmokeTestReport { request_time, task, task_time })
}

struct Steps<'a> {
    client: Client,
    clock: &'a dyn Clock,
    stop: &'a ShutdownSignal,
}

impl Steps<'_> {
    /// Retries `attempt` until it succeeds, for at most [`STEP_TIMEOUT`]. Returns the last error.
    fn retry<T, E>(&self, mut attempt: impl FnMut() -> Result<T, E>) -> Result<T, RetryError<E>> {
        let started = self.clock.now();
        loop {
            if self.stop.is_requested() {
                return Err(RetryError::Stopped);
            }
            match attempt() {
                Ok(value) => return Ok(value),
                Err(error) if self.clock.now().duration_since(started) >= STEP_TIMEOUT => {
                    return Err(RetryError::Failed(error));
                }
                Err(_) => self.clock.sleep(RETRY_DELAY),
            }
        }
    }

    fn write_catalogue(&self, dev: &Dev) -> Result<(), SmokeTestError> {
        for document in dev.documents() {
            let put = || {
                // If the response to a put was lost, the next attempt finds the document.
                match self.client.document(&document.name)? {
                    Some(current) if current.document == document.document => Ok(()),
                    current => {
                        let revision = current.map_or(0, |current| current.revision);
                        self.client.put_document(&document.name, &document.document, revision)
                    }
                }
            };
            self.retry(put).map_err(|ended| match ended {
                RetryError::Stopped => SmokeTestError::Stopped,
                RetryError::Failed(error) => SmokeTestError::Catalogue {
                    name: document.name.clone(),
                    source: Box::new(error),
                },
            })?;
        }
        Ok(())
    }

    /// Waits until `/readyz` succeeds, so that the measured time does not include the start.
    fn wait_ready(&self, agent: &Agent) -> Result<(), SmokeTestError> {
        let url = format!("http://{}/readyz", self.client.server());
        let ready = self.retry(|| {
            let answer = agent.get(&url).call().map_err(|error| error.to_string())?;
            if answer.status().is_success() { Ok(()) } else { Err(answer.status().to_string()) }
        });
        ready.map_err(|ended| match ended {
            RetryError::Stopped => SmokeTestError::Stopped,
            RetryError::Failed(last) => SmokeTestError::Request { last },
        })
    }

    fn send_request(&self) -> Result<Duration, SmokeTestError> {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        let agent: Agent = config.into();
        let url = format!("http://{}/v1/services/echo/hello", self.client.server());
        self.wait_ready(&agent)?;
        let answered = self.retry(|| {
            let sent_at = self.clock.now();
            let mut answer =
                agent.put(&url).send(REQUEST_BODY).map_err(|error| error.to_string())?;
            let body = answer.body_mut().read_to_string().map_err(|error| error.to_string())?;
            let time = self.clock.now().duration_since(sent_at);
            let outcome =
                answer.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
            if answer.status().is_success() && outcome == Some("completed") {
                Ok((time, body))
            } else {
                Err(format!("{} {}", answer.status(), body))
            }
        });
        match answered {
            Ok((time, body)) if body == REQUEST_BODY => Ok(time),
            Ok((_, found)) => Err(SmokeTestError::WrongAnswer { found }),
            Err(RetryError::Stopped) => Err(SmokeTestError::Stopped),
            Err(RetryError::Failed(last)) => Err(SmokeTestError::Request { last }),
        }
    }

    fn run_task(&self) -> Result<(TaskView, Duration), SmokeTestError> {
        let args = json!({ "run_ms": TASK_RUN_MS });
        // Only a response with status 503 is retried, because a submission without a response may have been accepted.
        let submitted = self.retry(|| match self.client.submit("count", &args) {
            Err(error @ ClientError::Refused { status: 503, .. }) => Err(error),
            other => Ok(other),
        });
        let submitted = match submitted {
            Ok(result) => {
                result.map_err(|error| SmokeTestError::Submit { source: Box::new(error) })?
            }
            Err(RetryError::Stopped) => return Err(SmokeTestError::Stopped),
            Err(RetryError::Failed(error)) => {
                return Err(SmokeTestError::Submit { source: Box::new(error) });
            }
        };
        let submitted_at = self.clock.now();
        let ended = self.retry(|| match self.client.task(&submitted.id) {
            Ok(task) if task.state.is_final() => Ok(task),
            other => Err(Box::new(other)),
        });
        let time = self.clock.now().duration_since(submitted_at);
        let task = match ended {
            Ok(task) => task,
            Err(RetryError::Stopped) => return Err(SmokeTestError::Stopped),
            Err(RetryError::Failed(last)) => last.map_err(|error| {
                let source = Box::new(error);
                SmokeTestError::Show { id: submitted.id, source }
            })?,
        };
        if task.state != TaskState::Succeeded {
            let state = crate::ops::client::message::state_text(task.state);
            let reason = task.reason.unwrap_or_else(|| "unknown reason".to_owned());
            return Err(SmokeTestError::Task { id: task.id, state, reason });
        }
        Ok((task, time))
    }
}

/// Why a retry loop ended without success.
enum RetryError<E> {
    Stopped,
    Failed(E),
}
