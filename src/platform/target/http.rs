//! HTTP client for executors.
//!
//! `ureq` does not resend a request, but its pool returns a connection as soon as an answer without a body has been
//! read, before the request id can be compared. Here every connection therefore has an agent of its own, which is kept
//! for reuse only after an answer that was whole and carried the right id, and is dropped in every other case.

use std::collections::BTreeMap;
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

/// Time that an idle connection is kept.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Largest health report.
const MAX_HEALTH_BYTES: u64 = 4096;

/// Status of an executor that does not take a request.
const REFUSED_STATUS: u16 = 503;

/// Connections to one executor.
#[derive(Debug, Default)]
struct Connections {
    /// Agents in use. Invariant: `busy` plus the length of `idle` is at most the bound given with each exchange.
    busy: u32,
    /// Agents with at most one open connection each.
    idle: Vec<Agent>,
}

/// Executors over HTTP/1.1.
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

    /// Connections to an executor, idle ones included.
    #[must_use]
    pub fn connections(&self, address: &str) -> u32 {
        let all = self.lock();
        all.get(address).map_or(0, |of| of.busy + u32::try_from(of.idle.len()).unwrap_or(u32::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Connections>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_out(&self, address: &str, limit: u32) -> Option<Agent> {
        let mut all = self.lock();
        let of = all.entry(address.to_owned()).or_default();
        if of.busy >= limit {
            return None;
        }
        of.busy += 1;
        // A smaller share may leave more idle connections than the bound now allows.
        let idle_limit = usize::try_from(limit - of.busy).unwrap_or(usize::MAX);
        let agent = of.idle.pop();
        of.idle.truncate(idle_limit);
        Some(agent.unwrap_or_else(new_agent))
    }

    fn check_in(&self, address: &str, agent: Option<Agent>) {
        let mut all = self.lock();
        let Some(of) = all.get_mut(address) else { return };
        of.busy = of.busy.saturating_sub(1);
        of.idle.extend(agent);
        if of.busy == 0 && of.idle.is_empty() {
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
        if let Some(of) = all.get_mut(address) {
            of.idle.clear();
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
    let whole = read_whole(&req.method, &mut answer, max_answer_bytes)
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
    let headers = answer.headers().iter().filter(|(name, _)| is_passed_on(name.as_str()));
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    Ok(TargetAnswer { status, headers, body: whole })
}

fn build(address: &str, req: &TargetRequest) -> Result<http::Request<Vec<u8>>, http::Error> {
    let mut message = http::Request::builder()
        .method(req.method.as_str())
        .uri(format!("http://{address}{}", req.path))
        .header(REQUEST_ID, &req.request_id)
        .header(TRACEPARENT, &req.traceparent)
        .header("Content-Length", req.body.len());
    for (name, value) in &req.headers {
        message = message.header(name, value);
    }
    message.body(req.body.clone())
}

/// Why an answer cannot be passed on.
#[derive(Clone, Debug, thiserror::Error, PartialEq)]
enum NotWhole {
    /// Its end cannot be told from a broken connection.
    #[error("the answer announces no length")]
    NoLength,
    /// The connection or the encoding broke, or the body is over the limit.
    #[error("{cause}")]
    Broken {
        /// The library's message.
        cause: String,
    },
    /// It has fewer bytes than announced.
    #[error("the answer has {received} of {announced} bytes")]
    Short {
        /// Bytes received.
        received: usize,
        /// Bytes announced.
        announced: usize,
    },
}

/// Reads the body and compares its length with the one announced.
fn read_whole(
    method: &str,
    answer: &mut http::Response<Body>,
    limit: usize,
) -> Result<Vec<u8>, NotWhole> {
    let announced = answer.headers().get("content-length").cloned();
    let chunked = answer.headers().contains_key("transfer-encoding");
    let has_no_body = method == "HEAD" || matches!(answer.status().as_u16(), 204 | 304);
    if announced.is_none() && !chunked && !has_no_body {
        // Such a body ends with the connection, so a truncated one looks whole.
        return Err(NotWhole::NoLength);
    }
    let limit = u64::try_from(limit).unwrap_or(u64::MAX);
    let body = answer.body_mut().with_config().limit(limit).read_to_vec();
    let body = body.map_err(|error| NotWhole::Broken { cause: error.to_string() })?;
    let announced = announced.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    match announced {
        Some(length) if length != body.len() && !has_no_body => {
            Err(NotWhole::Short { received: body.len(), announced: length })
        }
        _ => Ok(body),
    }
}

/// True for headers of an executor that the caller may see. The others concern one connection or are set anew.
fn is_passed_on(name: &str) -> bool {
    const OWN: &[&str] = &[
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
    !OWN.contains(&name.to_ascii_lowercase().as_str())
}

fn failure(address: &str, error: &Error) -> TargetError {
    if is_before_first_byte(error) {
        not_sent(address, error.to_string())
    } else {
        no_answer(address, error.to_string())
    }
}

/// True for errors that only occur while a connection is being made or the request is checked.
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
