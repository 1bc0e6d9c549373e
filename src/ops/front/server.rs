//! The HTTP server, and all that is known of `tiny_http`.
//!
//! Bounds that hold:
//!
//! - A caller that is silent for `read_timeout` in the middle of a request, or on an idle connection, is disconnected.
//!   `tiny_http` sets no timeout; an accepted socket inherits the one of the listening socket on Linux.
//! - The time of a whole body is bounded in [`IncomingRequest::read_body`].
//! - The requests that wait are bounded by the front's ring.
//!
//! Bounds that `tiny_http` 0.12 gives no means to set:
//!
//! - Connections: each has a thread of its own, without a limit.
//! - Header time and size: the server reads lines of any length and number, and only the silence between two reads is
//!   bounded, so a caller that sends a byte at a time keeps its thread.
//! - Its own answers to a malformed request line or header (400), an unknown expectation (417) and an HTTP version
//!   (505) have no body and no outcome.
//! - A request that is dropped before its body was read allocates a buffer of the announced length. See
//!   [`MAX_DISCARD_BYTES`].

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tiny_http::{Header, Response, Server};

use super::{FrontAnswer, FrontError, spawn};
use crate::request::OUTCOME;
use crate::telemetry::event::request as event;

/// How often a waiting thread looks whether it must end.
const POLL: Duration = Duration::from_millis(50);

/// Longest announced body that is read and discarded. `tiny_http` allocates the announced length when it drops an
/// unread request, and an allocation that fails ends the process; a longer one is never dropped, which costs its
/// connection and thread until the process ends.
const MAX_DISCARD_BYTES: usize = 64 << 20;

/// Periods of the read timeout in which a whole body must arrive.
const BODY_PERIODS: u32 = 2;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// The connection ended or the body is malformed.
    Broken,
}

/// The server.
pub struct HttpServer {
    address: SocketAddr,
    read_timeout: Duration,
    server: Server,
    stop: Arc<AtomicBool>,
    keep_accepting: Mutex<Option<JoinHandle<()>>>,
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Listens on `address`.
    pub(super) fn start(address: SocketAddr, read_timeout: Duration) -> Result<Self, FrontError> {
        let listen = |cause: String| FrontError::Listen { address, cause };
        let listener = TcpListener::bind(address).map_err(|error| listen(error.to_string()))?;
        let bound = listener.local_addr().map_err(|error| listen(error.to_string()))?;
        set_inherited_timeout(&listener, read_timeout)
            .map_err(|error| listen(error.to_string()))?;
        let server =
            Server::from_listener(listener, None).map_err(|error| listen(error.to_string()))?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let keep_accepting = spawn("front-keep-accepting".to_owned(), move || {
            keep_accepting(bound, read_timeout / 3, &stopped);
        })?;
        Ok(Self {
            address: bound,
            read_timeout,
            server,
            stop,
            keep_accepting: Mutex::new(Some(keep_accepting)),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next request, or `None` after a short wait.
    pub(super) fn next(&self) -> Option<IncomingRequest> {
        match self.server.recv_timeout(POLL) {
            Ok(Some(req)) => Some(IncomingRequest { req, read_timeout: self.read_timeout }),
            Ok(None) => None,
            Err(error) => {
                // The library ends its accepting thread after any error of `accept`.
                event::ACCEPT_FAILED.emit(format_args!("{error}; restart the process"));
                None
            }
        }
    }

    pub(super) fn close(&self) {
        self.stop.store(true, Ordering::SeqCst);
        let thread = self.keep_accepting.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

/// Accepted sockets inherit the timeout. The stream type is the only safe way to set it on a listening socket.
fn set_inherited_timeout(listener: &TcpListener, timeout: Duration) -> std::io::Result<()> {
    let cloned = OwnedFd::from(listener.try_clone()?);
    TcpStream::from(cloned).set_read_timeout(Some(timeout))
}

/// Connects to the own address once per period. The timeout of the listening socket also ends `accept`, and the library
/// stops to accept after that; a connection within the timeout prevents it.
fn keep_accepting(bound: SocketAddr, period: Duration, stop: &AtomicBool) {
    let mut address = bound;
    if bound.ip().is_unspecified() {
        address.set_ip(match bound.ip() {
            IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::LOCALHOST),
            IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::LOCALHOST),
        });
    }
    while !stop.load(Ordering::SeqCst) {
        let started = Instant::now();
        // A failure shows as the end of accepting, which is logged.
        let _ = TcpStream::connect_timeout(&address, period);
        while started.elapsed() < period && !stop.load(Ordering::SeqCst) {
            std::thread::sleep(POLL);
        }
    }
}

/// A request whose header has been read.
pub struct IncomingRequest {
    req: tiny_http::Request,
    read_timeout: Duration,
}

impl IncomingRequest {
    /// HTTP method in upper case.
    #[must_use]
    pub fn method(&self) -> String {
        self.req.method().to_string().to_ascii_uppercase()
    }

    /// Path and query.
    #[must_use]
    pub fn url(&self) -> &str {
        self.req.url()
    }

    /// Headers in the order received.
    #[must_use]
    pub fn headers(&self) -> Vec<(String, String)> {
        let headers = self.req.headers().iter();
        headers.map(|header| (header.field.to_string(), header.value.to_string())).collect()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// If it is longer than `limit` bytes, does not arrive in time or is not whole.
    pub fn read_body(&mut self, limit: usize) -> Result<Vec<u8>, BodyError> {
        let announced = self.req.body_length();
        if announced.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge);
        }
        let deadline = Instant::now() + self.read_timeout * BODY_PERIODS;
        let reader = self.req.as_reader();
        let mut body = Vec::new();
        let mut buf = [0; 16 << 10];
        loop {
            match reader.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => body.extend_from_slice(&buf[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) if is_timeout(&error) => return Err(BodyError::TooSlow),
                Err(_) => return Err(BodyError::Broken),
            }
            if body.len() > limit {
                return Err(BodyError::TooLarge);
            }
            if Instant::now() >= deadline {
                return Err(BodyError::TooSlow);
            }
        }
        match announced {
            Some(length) if length != body.len() => Err(BodyError::Broken),
            _ => Ok(body),
        }
    }

    /// Sends an answer.
    pub fn respond(self, answer: &FrontAnswer) {
        let mut response =
            Response::from_data(answer.body.as_slice()).with_status_code(answer.status);
        let outcome = (OUTCOME.to_owned(), answer.outcome.to_string());
        for (name, value) in answer.headers.iter().chain([&outcome]) {
            if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                response.add_header(header);
            }
        }
        if self.req.body_length().is_some_and(|length| length > MAX_DISCARD_BYTES) {
            event::BODY_ABANDONED.emit(format_args!("bytes={:?}", self.req.body_length()));
            let stream = self.req.upgrade("none", response);
            std::mem::forget(stream);
            return;
        }
        // The caller may have gone away; it learns from its own error.
        let _ = self.req.respond(response);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
