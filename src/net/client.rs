//! HTTP client with one connection pool per address.
//!
//! A caller must know whether a request can have had an effect, so an error tells whether the request was sent. A
//! connection on which a call failed or timed out is closed and never reused, because an open connection can go silent
//! without a reset. All connections of a path can go silent together, and an idle one shows it only once it is used.
//! [`OnSilence`] determines whether the idle ones are closed too.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Time limit for opening a connection. Addresses are in the same region, but a lost SYN packet is sent again only
/// after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest body that is read. The store's lists have at most 1 MB per answer.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// `hyper`'s buffer of a connection may grow to 16 times this size. Most answers have a few hundred bytes, and memory
/// is billed.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Error of a call, by whether the request can have taken effect.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// The request was not sent, so it had no effect.
    #[error("not sent: {cause}")]
    NotSent {
        /// Why the request could not be sent.
        cause: String,
    },
    /// The request may have been sent and may have taken effect.
    #[error("no answer: {cause}")]
    NoAnswer {
        /// Why no complete answer arrived.
        cause: String,
    },
}

/// A request whose body is in memory.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, except `Host` and those that describe the body.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body; empty if there is none.
    pub body: Bytes,
}

impl Call {
    /// Creates a GET request.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Creates a POST request with a JSON body.
    #[must_use]
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self { method: Method::POST, path: path.into(), headers: Vec::new(), body: body.into() }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// An HTTP answer that was received whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers of the answer.
    pub headers: HeaderMap,
    /// The body; empty if there is none.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// What happens to the idle connections of an address after a call there got no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OnSilence {
    /// They are kept. For peers that leave single calls unanswered.
    KeepIdle,
    /// Those are closed that have not been used successfully since the call began.
    CloseIdle,
}

/// A connection without a call in progress.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// Value of [`Pool::calls`] when the last answer on this connection was complete.
    answered: u64,
}

/// Connections to one address.
#[derive(Debug)]
struct Pool {
    /// One permit per call in progress, which uses one connection.
    permits: Rc<Semaphore>,
    idle: Vec<Idle>,
    /// Number of calls that have been given a connection. Orders the starts and ends of calls.
    calls: u64,
}

/// Connection pools by address. Cloning shares the pools.
#[derive(Clone, Debug)]
pub struct Client {
    pools: Rc<RefCell<BTreeMap<SocketAddr, Pool>>>,
    /// Connections per address. Further calls wait for a free one, since a new connection costs more than a wait of a
    /// few milliseconds.
    max_connections: usize,
    on_silence: OnSilence,
}

impl Client {
    /// Creates a client with at most `max_connections` to each address.
    #[must_use]
    pub fn new(max_connections: usize, on_silence: OnSilence) -> Self {
        Self { pools: Rc::default(), max_connections, on_silence }
    }

    /// Sends a request and reads the whole answer. `timeout` applies to all that precedes the sending together (the wait
    /// for a free connection, and opening a new one, at most `CONNECT_TIMEOUT`), and separately to the exchange.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the request can have had an effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let began = Instant::now();
        let left = || timeout.saturating_sub(began.elapsed());
        let permits = self.permits(address);
        let permit = tokio::time::timeout(timeout, permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(CallError::NotSent { cause: "all connections are in use".to_owned() });
        };
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address, left()).await?,
        };
        let exchange = Exchange::begin(self, address);
        let mut is_reconnected = false;
        let outcome = tokio::time::timeout(timeout, async {
            loop {
                match sender.try_send_request(build_request(address, call)?).await {
                    Ok(answer) => return read_answer(answer).await,
                    // The peer may have closed an idle connection. If nothing was written, the request is sent once
                    // more, on a new connection.
                    Err(mut e) => {
                        let is_unsent = e.take_message().is_some();
                        let cause = e.error().to_string();
                        match (is_unsent, is_reconnected) {
                            (false, _) => return Err(CallError::NoAnswer { cause }),
                            (true, true) => return Err(CallError::NotSent { cause }),
                            (true, false) => sender = connect(address, left()).await?,
                        }
                        is_reconnected = true;
                    }
                }
            }
        })
        .await;
        let timeout_error =
            || CallError::NoAnswer { cause: format!("no response within {timeout:?}") };
        let answer = outcome.map_err(|_| timeout_error())??;
        exchange.end(sender);
        Ok(answer)
    }

    /// Closes the idle connections to an address, for example once a call to it has failed.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&address) {
            pool.idle.clear();
        }
    }

    fn permits(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut pools = self.pools.borrow_mut();
        let max_connections = self.max_connections;
        let pool = pools.entry(address).or_insert_with(|| Pool {
            permits: Rc::new(Semaphore::new(max_connections)),
            idle: Vec::new(),
            calls: 0,
        });
        Rc::clone(&pool.permits)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&address)?;
        while let Some(Idle { sender, .. }) = pool.idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

/// A call that has a connection. If it is dropped before its end, the call got no answer, also because its caller has
/// stopped waiting.
#[derive(Debug)]
struct Exchange<'a> {
    client: &'a Client,
    address: SocketAddr,
    /// Value of [`Pool::calls`] when the call began.
    number: u64,
    is_answered: bool,
}

impl<'a> Exchange<'a> {
    fn begin(client: &'a Client, address: SocketAddr) -> Self {
        let mut number = 0;
        if let Some(pool) = client.pools.borrow_mut().get_mut(&address) {
            pool.calls += 1;
            number = pool.calls;
        }
        Self { client, address, number, is_answered: false }
    }

    /// Returns the connection to the pool after a complete answer.
    fn end(mut self, sender: Sender) {
        self.is_answered = true;
        if let Some(pool) = self.client.pools.borrow_mut().get_mut(&self.address)
            && !sender.is_closed()
        {
            pool.idle.push(Idle { sender, answered: pool.calls });
        }
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if self.is_answered || self.client.on_silence == OnSilence::KeepIdle {
            return;
        }
        if let Some(pool) = self.client.pools.borrow_mut().get_mut(&self.address) {
            pool.idle.retain(|idle| idle.answered >= self.number);
        }
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<Sender, CallError> {
    let not_sent = |cause: String| CallError::NotSent { cause };
    let within = timeout.min(CONNECT_TIMEOUT);
    let stream = tokio::time::timeout(within, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent(format!("no connection within {within:?}")))?
        .map_err(|e| not_sent(e.to_string()))?;
    // With Nagle's algorithm, a small request may wait for the acknowledgement of the previous one.
    stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES * 16)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(e.to_string()))?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            log::trace!("connection to {address} ended: {e}");
        }
    });
    Ok(sender)
}

fn build_request(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header("host", address.to_string());
    for (name, value) in &call.headers {
        builder = builder.header(*name, value);
    }
    if !call.body.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    let invalid = |e: hyper::http::Error| CallError::NotSent { cause: e.to_string() };
    builder.body(Full::new(call.body.clone())).map_err(invalid)
}

async fn read_answer(answer: Response<Incoming>) -> Result<Answer, CallError> {
    let (head, body) = answer.into_parts();
    let incomplete =
        |e: Box<dyn std::error::Error + Send + Sync>| CallError::NoAnswer { cause: e.to_string() };
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(incomplete)?.to_bytes();
    Ok(Answer { status: head.status, headers: head.headers, body })
}
