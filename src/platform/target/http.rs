//! HTTP client for executors.
//!
//! `ureq` does not resend a request, but its pool takes a connection back as soon as an answer without a body has been
//! read, before the request id can be compared. So each connection has an agent of its own, which is kept for reuse
//! only after a complete answer with the right id and is dropped in all other cases.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ureq::http;
use ureq::{Agent, Body, Error, Timeout};

use super::{
    ExchangeBounds, REQUEST_ID, TargetAnswer, TargetClient, TargetError, TargetHealth,
    TargetRequest,
};
use crate::clock::Clock;
use crate::request::{OUTCOME_HEADER, Outcome};
use crate::telemetry::trace::TRACEPARENT;

/// How long an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Largest health report that is read.
const MAX_HEALTH_BYTES: u64 = 4096;

/// Status with which an executor refuses a request.
const REFUSED_STATUS: u16 = 503;

/// The agents of one executor.
#[derive(Debug, Default)]
struct Connections {
    /// Number of agents in use. Invariant: `busy` plus the length of `idle` is at most the limit of the last exchange.
    busy: u32,
    /// Agents with at most one open connection each.
    idle: Vec<Agent>,
}

/// Client of the executors over HTTP/1.1.
#[derive(Debug)]
pub struct HttpTargets {
    clock: Arc<dyn Clock>,
    max_answer_bytes: usize,
    connections: Mutex<BTreeMap<String, Connections>>,
}

impl HttpTargets {
    /// Creates a client that reads answers of at most `max_answer_bytes`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, max_answer_bytes: usize) -> Self {
        Self { clock, max_answer_bytes, connections: Mutex::default() }
    }

    /// Number of connections to an executor, idle ones included.
    #[must_use]
    pub fn connections(&self, address: &str) -> u32 {
        let all = self.lock();
        all.get(address)
            .map_or(0, |agents| agents.busy + u32::try_from(agents.idle.len()).unwrap_or(u32::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Connections>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_out(&self, address: &str, limit: u32) -> Option<Agent> {
        let mut all = self.lock();
        let agents = all.entry(address.to_owned()).or_default();
        if agents.busy >= limit {
            return None;
        }
        agents.busy += 1;
        // After a limit was lowered, more connections may be idle than it now allows.
        let idle_limit = usize::try_from(limit - agents.busy).unwrap_or(usize::MAX);
        let agent = agents.idle.pop();
        agents.idle.truncate(idle_limit);
        Some(agent.unwrap_or_else(new_agent))
    }

    fn check_in(&self, address: &str, agent: Option<Agent>) {
        let mut all = self.lock();
        let Some(agents) = all.get_mut(address) else { return };
        agents.busy = agents.busy.saturating_sub(1);
        agents.idle.extend(agent);
        if agents.busy == 0 && agents.idle.is_empty() {
            all.remove(address);
        }
    }
}

impl TargetClient for HttpTargets {
    fn send(
        &self,
        address: &str,
        req: &TargetRequest,
        bounds: ExchangeBounds,
    ) -> Result<TargetAnswer, TargetError> {
        let Some(agent) = self.check_out(address, bounds.connections) else {
            let cause = "all connections of this process are in use".to_owned();
            return Err(TargetError::Withheld { address: address.to_owned(), cause });
        };
        let result =
            exchange(self.clock.as_ref(), &agent, address, req, bounds, self.max_answer_bytes);
        let reusable = matches!(result, Ok(_) | Err(TargetError::Refused { .. }));
        self.check_in(address, reusable.then_some(agent));
        result
    }

    fn health(&self, address: &str, timeout: Duration) -> Result<TargetHealth, TargetError> {
        let call = new_agent()
            .get(format!("http://{address}/health"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("Connection", "close")
            .call();
        let mut answer = call.map_err(|error| failure(address, &error))?;
        if answer.status().as_u16() != 200 {
            return Err(no_answer(address, format!("health status {}", answer.status())));
        }
        let body = answer.body_mut().with_config().limit(MAX_HEALTH_BYTES).read_to_vec();
        let body = body.map_err(|error| failure(address, &error))?;
        serde_json::from_slice(&body).map_err(|error| no_answer(address, error.to_string()))
    }

    fn forget(&self, address: &str) {
        let mut all = self.lock();
        if let Some(agents) = all.get_mut(address) {
            agents.idle.clear();
        }
    }
}

fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        // A proxy from the environment would receive requests that are meant for a target.
        .proxy(None)
        .allow_non_standard_methods(true)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .max_idle_age(MAX_IDLE)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .build();
    Agent::new_with_config(config)
}

fn exchange(
    clock: &dyn Clock,
    agent: &Agent,
    address: &str,
    req: &TargetRequest,
    bounds: ExchangeBounds,
    max_answer_bytes: usize,
) -> Result<TargetAnswer, TargetError> {
    let started = clock.boot();
    let message = build(address, req).map_err(|error| TargetError::Withheld {
        address: address.to_owned(),
        cause: error.to_string(),
    })?;
    let message = agent
        .configure_request(message)
        .timeout_connect(Some(bounds.connect.min(bounds.total)))
        .timeout_global(Some(bounds.total + bounds.late))
        .build();
    let mut answer = agent.run(message).map_err(|error| failure(address, &error))?;
    let body = read_body(&req.method, &mut answer, max_answer_bytes)
        .map_err(|cause| no_answer(address, cause.to_string()))?;
    if clock.boot().saturating_sub(started) > bounds.total {
        return Err(TargetError::Late { address: address.to_owned() });
    }
    let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    if header(REQUEST_ID) != Some(req.request_id.as_str()) {
        return Err(no_answer(address, "the answer belongs to another request".to_owned()));
    }
    let status = answer.status().as_u16();
    let outcome = header(OUTCOME_HEADER);
    if status == REFUSED_STATUS && outcome == Some(&Outcome::NotRun.to_string()) {
        return Err(TargetError::Refused { address: address.to_owned() });
    }
    let headers = answer.headers().iter().filter(|(name, _)| is_forwarded(name.as_str()));
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    Ok(TargetAnswer { status, headers, body })
}

fn build<'a>(
    address: &str,
    req: &'a TargetRequest,
) -> Result<http::Request<&'a [u8]>, http::Error> {
    let mut message = http::Request::builder()
        .method(req.method.as_str())
        .uri(format!("http://{address}{}", req.path))
        .header(REQUEST_ID, &req.request_id)
        .header(TRACEPARENT, &req.traceparent)
        .header("Content-Length", req.body.len());
    for (name, value) in &req.headers {
        message = message.header(name, value);
    }
    message.body(&req.body)
}

/// Why an answer cannot be forwarded.
#[derive(Clone, Debug, thiserror::Error, PartialEq)]
enum IncompleteAnswer {
    /// It has neither a length nor chunks, so its end looks the same as a broken connection.
    #[error("the answer announces no length")]
    NoLength,
    /// The connection broke, the encoding is invalid or the body exceeds the limit.
    #[error("{cause}")]
    Broken {
        /// Error message of `ureq`.
        cause: String,
    },
    /// Its length differs from the one announced.
    #[error("the answer has {received} of {announced} bytes")]
    Short {
        /// Length of the body received, in bytes.
        received: usize,
        /// Value of `Content-Length`.
        announced: usize,
    },
}

/// Reads the body and checks that its length is the one announced.
fn read_body(
    method: &str,
    answer: &mut http::Response<Body>,
    limit: usize,
) -> Result<Vec<u8>, IncompleteAnswer> {
    let announced = answer.headers().get("content-length").cloned();
    let chunked = answer.headers().contains_key("transfer-encoding");
    let has_no_body = method == "HEAD" || matches!(answer.status().as_u16(), 204 | 304);
    if announced.is_none() && !chunked && !has_no_body {
        // Such a body ends with the connection, so a truncated one looks complete.
        return Err(IncompleteAnswer::NoLength);
    }
    let announced = announced.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    // A buffer that grows is copied, and needs up to three times the memory.
    let mut body = Vec::with_capacity(announced.unwrap_or(0).min(limit));
    let limit = u64::try_from(limit).unwrap_or(u64::MAX);
    let mut reader = answer.body_mut().with_config().limit(limit).reader();
    let read = reader.read_to_end(&mut body);
    read.map_err(|error| IncompleteAnswer::Broken { cause: error.to_string() })?;
    match announced {
        Some(length) if length != body.len() && !has_no_body => {
            Err(IncompleteAnswer::Short { received: body.len(), announced: length })
        }
        _ => Ok(body),
    }
}

/// True for an executor's headers that are forwarded to the caller. The others concern a single connection, or this
/// process sets its own.
fn is_forwarded(name: &str) -> bool {
    const NOT_FORWARDED: &[&str] = &[
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "plantainlever-outcome",
        "plantainlever-request-id",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    !NOT_FORWARDED.contains(&name.to_ascii_lowercase().as_str())
}

fn failure(address: &str, error: &Error) -> TargetError {
    if is_before_first_byte(error) {
        not_sent(address, error.to_string())
    } else {
        no_answer(address, error.to_string())
    }
}

/// True for errors that occur while the name is resolved or the connection is made, before a byte is written.
fn is_before_first_byte(error: &Error) -> bool {
    use std::io::ErrorKind;
    match error {
        Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | Error::ConnectionFailed
        | Error::HostNotFound => true,
        Error::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::NetworkDown
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

fn not_sent(address: &str, cause: String) -> TargetError {
    TargetError::NotSent { address: address.to_owned(), cause }
}

fn no_answer(address: &str, cause: String) -> TargetError {
    TargetError::NoAnswer { address: address.to_owned(), cause }
}
