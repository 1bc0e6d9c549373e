//! HTTP client with one pool of connections per address.
//!
//! A caller must know whether a request can have had an effect, so a failure says whether the request was sent. A
//! connection on which a call failed or timed out is closed and never used again: an open connection can go silent
//! without a reset.

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

/// Time to open a connection. Addresses are in the same region; a dropped opening packet is sent again after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest body that is read. The store answers lists with at most 1 MB.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Size of the read buffer of a connection. Most answers are a few hundred bytes; memory is paid for.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Why a call has no answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// Nothing was sent, so the call had no effect.
    #[error("not sent: {cause}")]
    NotSent {
        /// What prevented it.
        cause: String,
    },
    /// The request may have taken effect.
    #[error("no answer: {cause}")]
    NoAnswer {
        /// What ended the wait.
        cause: String,
    },
}

/// A request whose body is in memory.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers besides `Host` and the body's.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
}

impl Call {
    /// A request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// A POST of a JSON body.
    #[must_use]
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self { method: Method::POST, path: path.into(), headers: Vec::new(), body }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// Connections to one address.
#[derive(Debug)]
struct Pool {
    /// Calls at the same time; each uses one connection.
    permits: Rc<Semaphore>,
    idle: Vec<Sender>,
}

/// Connection pools by address. Cloning shares the pools.
#[derive(Clone, Debug)]
pub struct Client {
    pools: Rc<RefCell<BTreeMap<SocketAddr, Pool>>>,
    /// Connections per address; further calls wait, since a new connection costs more than a few milliseconds.
    connections: usize,
}

impl Client {
    /// A client with at most `connections` to each address.
    #[must_use]
    pub fn new(connections: usize) -> Self {
        Self { pools: Rc::default(), connections }
    }

    /// Sends a request and reads the whole answer within `timeout`.
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
        let permits = self.permits(address);
        let permit = tokio::time::timeout(timeout, permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(CallError::NotSent { cause: "all connections are in use".to_owned() });
        };
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address, timeout).await?,
        };
        let mut is_fresh = false;
        let outcome = tokio::time::timeout(timeout, async {
            loop {
                match sender.try_send_request(request(address, call)?).await {
                    Ok(answer) => return read(answer).await,
                    // An idle connection that the peer has closed gets one fresh try, as nothing was written.
                    Err(mut e) => {
                        let is_unsent = e.take_message().is_some();
                        let cause = e.error().to_string();
                        match (is_unsent, is_fresh) {
                            (false, _) => return Err(CallError::NoAnswer { cause }),
                            (true, true) => return Err(CallError::NotSent { cause }),
                            (true, false) => sender = connect(address, timeout).await?,
                        }
                        is_fresh = true;
                    }
                }
            }
        })
        .await;
        let late = || CallError::NoAnswer { cause: format!("nothing within {timeout:?}") };
        let answer = outcome.map_err(|_| late())??;
        self.keep(address, sender);
        Ok(answer)
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&address) {
            pool.idle.clear();
        }
    }

    fn permits(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut pools = self.pools.borrow_mut();
        let connections = self.connections;
        let pool = pools.entry(address).or_insert_with(|| Pool {
            permits: Rc::new(Semaphore::new(connections)),
            idle: Vec::new(),
        });
        Rc::clone(&pool.permits)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&address)?;
        while let Some(sender) = pool.idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&address)
            && !sender.is_closed()
        {
            pool.idle.push(sender);
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
    // Without it a small request may wait for the acknowledgement of the previous one.
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

fn request(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
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
    builder.body(Full::new(Bytes::from(call.body.clone()))).map_err(invalid)
}

async fn read(answer: Response<Incoming>) -> Result<Answer, CallError> {
    let (head, body) = answer.into_parts();
    let cut =
        |e: Box<dyn std::error::Error + Send + Sync>| CallError::NoAnswer { cause: e.to_string() };
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(cut)?.to_bytes();
    Ok(Answer { status: head.status, headers: head.headers, body })
}
