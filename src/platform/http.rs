//! HTTP clients of the services that a deployment provides.
//!
//! Callers decide by the [`PlatformError`] whether they may repeat a call, so the mapping is strict: only an invalid
//! address or an error of the resolver or the connector, all of which occur before anything is written, counts as
//! unreachable. After any other failure except a 4xx status, for example a broken pooled connection or a 5xx status,
//! the call may have had an effect.

mod clients;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::config::Config;
use ureq::http::header::{ETAG, IF_NONE_MATCH};
use ureq::http::{Response, Uri};
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{ConnectionDetails, Connector, NextTimeout, TcpConnector};

use super::PlatformError;
use crate::telemetry::Metrics;

pub use clients::{HttpObjects, HttpTable, HttpVmList, HttpWorkers};

/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// Longest part of an answer's body that is copied into an error message.
const MAX_MESSAGE_CHARS: usize = 300;

/// Idle connections that a client keeps. A domain has about 80 workers, each polled once a second.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// Idle connections that a client keeps to one address.
const MAX_IDLE_CONNECTIONS_PER_ADDRESS: usize = 8;

/// Wraps an error that occurred before anything was written.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
struct ConnectFailed {
    cause: String,
}

impl ConnectFailed {
    fn wrap(cause: &impl ToString) -> ureq::Error {
        ureq::Error::Other(Box::new(Self { cause: cause.to_string() }))
    }
}

/// Accepts only numeric addresses. The resolver of `ureq` starts a thread per call.
#[derive(Debug)]
struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _: &Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().map_or("", |authority| authority.as_str());
        let address = authority.parse().map_err(|_| {
            ConnectFailed::wrap(&format!("{authority:?} is not an address of the form IP:PORT"))
        })?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}

/// Opens TCP connections and wraps its errors in [`ConnectFailed`], to distinguish them from later ones.
#[derive(Debug, Default)]
struct MarkingConnector {
    tcp: TcpConnector,
}

impl Connector for MarkingConnector {
    type Out = <TcpConnector as Connector<()>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        self.tcp.connect(details, chained).map_err(|error| ConnectFailed::wrap(&error))
    }
}

/// HTTP client of one service. Sends the request of each call once.
#[derive(Clone, Debug)]
struct HttpClient {
    /// Name of the service in error messages.
    service: &'static str,
    agent: Agent,
    /// Timeout of a whole call, connecting included.
    timeout: Duration,
    metrics: Metrics,
}

impl HttpClient {
    fn new(service: &'static str, timeout: Duration, metrics: Metrics) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            // With a proxy from the environment, a connection would not prove that the service was reached.
            .proxy(None)
            .timeout_global(Some(timeout))
            // Half of the time, so that a relay can still be tried before the caller's deadline.
            .timeout_connect(Some(timeout / 2))
            // The bandwidth of a process's control traffic is limited, headers included, and no service reads these.
            .user_agent("")
            .accept("")
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_ADDRESS)
            .build();
        let agent = Agent::with_parts(config, MarkingConnector::default(), NumericResolver);
        Self { service, agent, timeout, metrics }
    }

    /// Posts JSON and decodes the answer.
    fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        req: &Q,
    ) -> Result<A, PlatformError> {
        let (status, answer) = self.send(address, path, req)?;
        self.decode(status, &answer)
    }

    /// Posts JSON and ignores the content of the answer.
    fn command(
        &self,
        address: &str,
        path: &str,
        req: &impl Serialize,
    ) -> Result<(), PlatformError> {
        let (status, answer) = self.send(address, path, req)?;
        self.check(status, &answer)
    }

    fn send(
        &self,
        address: &str,
        path: &str,
        req: &impl Serialize,
    ) -> Result<(u16, Vec<u8>), PlatformError> {
        let body = serde_json::to_vec(req).map_err(|error| self.refused(0, &error.to_string()))?;
        let sent = self
            .agent
            .post(format!("http://{address}{path}"))
            .header("Content-Type", "application/json")
            .send(&body[..]);
        self.read_answer(address, sent)
    }

    /// Puts a body and ignores the content of the answer.
    fn put(&self, address: SocketAddr, path: &str, body: &[u8]) -> Result<(), PlatformError> {
        let sent = self.agent.put(format!("http://{address}{path}")).send(body);
        let (status, answer) = self.read_answer(&address.to_string(), sent)?;
        self.check(status, &answer)
    }

    /// Gets a path and returns the status and the body.
    fn get(&self, address: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), PlatformError> {
        let sent = self.agent.get(format!("http://{address}{path}")).call();
        self.read_answer(&address.to_string(), sent)
    }

    /// Gets a path unless it still has the entity tag `known`. Returns the status, the new tag and the body.
    fn get_changed(
        &self,
        address: SocketAddr,
        path: &str,
        known: Option<&str>,
    ) -> Result<(u16, Option<String>, Vec<u8>), PlatformError> {
        let mut req = self.agent.get(format!("http://{address}{path}"));
        if let Some(known) = known {
            req = req.header(IF_NONE_MATCH, known);
        }
        let sent = req.call();
        let tag = sent.as_ref().ok().and_then(|response| response.headers().get(ETAG));
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let (status, body) = self.read_answer(&address.to_string(), sent)?;
        Ok((status, tag, body))
    }

    fn read_answer(
        &self,
        address: &str,
        sent: Result<Response<ureq::Body>, ureq::Error>,
    ) -> Result<(u16, Vec<u8>), PlatformError> {
        let mut response = sent.map_err(|error| self.call_error(address, error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
        Ok((status, body.map_err(|error| self.no_answer(error.to_string()))?))
    }

    fn call_error(&self, address: &str, error: ureq::Error) -> PlatformError {
        match error {
            ureq::Error::Other(other) if other.is::<ConnectFailed>() => {
                PlatformError::Unreachable {
                    service: self.service,
                    address: address.to_owned(),
                    cause: other.to_string(),
                }
            }
            // The address is not a URL, which is found before any connection.
            ureq::Error::BadUri(_) | ureq::Error::Http(_) => PlatformError::Unreachable {
                service: self.service,
                address: address.to_owned(),
                cause: error.to_string(),
            },
            error => self.no_answer(error.to_string()),
        }
    }

    fn no_answer(&self, cause: String) -> PlatformError {
        PlatformError::NoAnswer { service: self.service, waited: self.timeout, cause }
    }

    fn refused(&self, status: u16, message: &str) -> PlatformError {
        let message = message.chars().take(MAX_MESSAGE_CHARS).collect();
        PlatformError::Refused { service: self.service, status, message }
    }

    /// Maps the status: 2xx is success and 4xx a refusal. Any other, such as a 5xx, counts as no answer, because the
    /// protocols do not state that it had no effect.
    fn check(&self, status: u16, body: &[u8]) -> Result<(), PlatformError> {
        let message = String::from_utf8_lossy(body);
        match status {
            200..=299 => Ok(()),
            400..=499 => Err(self.refused(status, &message)),
            _ => {
                let message: String = message.chars().take(MAX_MESSAGE_CHARS).collect();
                Err(self.no_answer(format!("status {status}: {message}")))
            }
        }
    }

    fn decode<A: DeserializeOwned>(&self, status: u16, body: &[u8]) -> Result<A, PlatformError> {
        self.check(status, body)?;
        serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
            service: self.service,
            cause: error.to_string(),
        })
    }
}
