//! Runs the event loop of [`crate::net::server`] in a thread of its own.
//!
//! Limits: time and size of a header, idle time of a connection, time and size of a body, number of connections, and
//! number of requests that wait for a front thread. Every answer carries the outcome, including the library's own
//! answers to malformed requests.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::{oneshot, watch};

use crate::config::{REQUEST_BODY_COPIES, Settings};
use crate::net::budget::{BudgetLimits, RequestBudget};
use crate::net::default_header::DefaultHeader;
pub use crate::net::server::BodyError;
use crate::net::server::{Received, Reply, ServerLimits, serve};
use crate::request::{OUTCOME_HEADER, Outcome};
use crate::telemetry::Metrics;

use super::{FrontAnswer, FrontError, spawn};

/// How often a thread that waits for a request checks whether it must stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for the whole body, as a multiple of the read timeout.
const BODY_TIMEOUT_FACTOR: u32 = 2;

/// Largest header of a request; callers send a few hundred bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Length of the queue between the event loop and the accepting thread.
const REQUEST_QUEUE_LENGTH: usize = 64;

/// HTTP server with a bounded queue of received requests.
pub struct HttpServer {
    address: SocketAddr,
    requests: Mutex<Receiver<IncomingRequest>>,
    stop: watch::Sender<bool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Listens on the configured address and starts the server thread.
    pub(super) fn start(cfg: &Settings, metrics: Metrics) -> Result<Self, FrontError> {
        let (address, read_timeout) = (cfg.listen, cfg.timing.read_timeout());
        let listen =
            |cause: std::io::Error| FrontError::Listen { address, cause: cause.to_string() };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(listen)?;
        let listener = {
            let _entered = runtime.enter();
            crate::net::server::listen(address).map_err(listen)?
        };
        let bound = listener.local_addr().map_err(listen)?;
        let limits = ServerLimits {
            header_bytes: MAX_HEADER_BYTES,
            header_time: read_timeout,
            body_bytes: cfg.limits.max_body_bytes,
            body_time: read_timeout * BODY_TIMEOUT_FACTOR,
            connections: cfg.limits.connections,
            default_header: Some(DefaultHeader {
                name: OUTCOME_HEADER,
                value: Outcome::NotRun.as_str(),
            }),
        };
        let memory =
            BudgetLimits { bytes: cfg.limits.request_memory_mb << 20, copies: REQUEST_BODY_COPIES };
        let (tx, rx) = mpsc::sync_channel(REQUEST_QUEUE_LENGTH);
        let (stop, stop_rx) = watch::channel(false);
        let thread = spawn("front-http".to_owned(), move || {
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let budget = RequestBudget::new(memory, metrics);
                let handler = move |req| handle(req, tx.clone());
                serve(listener, limits, budget, stop_rx, handler).await;
            });
        })?;
        let requests = Mutex::new(rx);
        Ok(Self { address: bound, requests, stop, thread: Mutex::new(Some(thread)) })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next request, or `None` if none arrives within [`POLL_INTERVAL`].
    pub(super) fn next(&self) -> Option<IncomingRequest> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        match requests.recv_timeout(POLL_INTERVAL) {
            Ok(req) => Some(req),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                // The server has ended. Without this pause the caller's loop would spin until it is stopped.
                std::thread::sleep(POLL_INTERVAL);
                None
            }
        }
    }

    pub(super) fn close(&self) {
        self.stop.send_replace(true);
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

/// Passes a request to the front threads and waits for the answer.
async fn handle(received: Received, requests: SyncSender<IncomingRequest>) -> Reply {
    let (tx, rx) = oneshot::channel();
    let mut req = Some(IncomingRequest { received, answer: tx });
    while let Some(waiting) = req.take() {
        match requests.try_send(waiting) {
            Ok(()) => {}
            Err(mpsc::TrySendError::Full(waiting)) => {
                req = Some(waiting);
                tokio::time::sleep(QUEUE_FULL_BACKOFF).await;
            }
            Err(mpsc::TrySendError::Disconnected(_)) => return unavailable(Outcome::NotRun),
        }
    }
    match rx.await {
        Ok(answer) => reply(answer),
        // The front thread panicked while it answered the request, or the process stopped before it was answered.
        Err(_) => unavailable(Outcome::Unknown),
    }
}

/// Pause before a request is offered to the full queue again.
const QUEUE_FULL_BACKOFF: Duration = Duration::from_millis(1);

fn reply(answer: FrontAnswer) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = Reply::json(status, answer.body);
    reply.headers = answer.headers;
    reply.headers.push((OUTCOME_HEADER.to_owned(), answer.outcome.to_string()));
    reply
}

fn unavailable(outcome: Outcome) -> Reply {
    let mut reply = Reply::json(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    reply.headers.push((OUTCOME_HEADER.to_owned(), outcome.to_string()));
    reply
}

/// A request that waits for its answer.
#[derive(Debug)]
pub struct IncomingRequest {
    received: Received,
    answer: oneshot::Sender<FrontAnswer>,
}

impl IncomingRequest {
    /// HTTP method in upper case.
    #[must_use]
    pub fn method(&self) -> String {
        self.received.method.as_str().to_ascii_uppercase()
    }

    /// Path and query; `/` if the request names none.
    #[must_use]
    pub fn url(&self) -> &str {
        self.received.uri.path_and_query().map_or("/", |path| path.as_str())
    }

    /// Names in lower case with their values; bytes that are not UTF-8 are replaced.
    #[must_use]
    pub fn headers(&self) -> Vec<(String, String)> {
        let headers = self.received.headers.iter();
        headers
            .map(|(name, value)| {
                (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
            })
            .collect()
    }

    /// Returns the whole body, without copying it.
    ///
    /// # Errors
    ///
    /// If the body is too long, did not arrive in time or is incomplete.
    pub fn body(&self) -> Result<Bytes, BodyError> {
        self.received.body.clone()
    }

    /// Hands the answer to the server, which sends it.
    pub fn respond(self, answer: FrontAnswer) {
        // Fails if the caller has closed its connection; the caller sees that itself.
        let _ = self.answer.send(answer);
    }
}
