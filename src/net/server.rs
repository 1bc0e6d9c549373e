//! HTTP server with bounds on connections, on the size and arrival time of headers and bodies, and on the memory of all
//! requests together.

mod connections;
mod stream;

use std::convert::Infallible;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::budget::{Exhausted, PartialBody, RequestBudget, RequestShare};
use super::default_header::{DefaultHeader, DefaultHeaderStream};
use crate::telemetry::event::request as event;

use connections::{Connection, Connections};
use stream::CallerStream;

/// Limits that protect a server from too many, too large and too slow requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest header of a request in bytes.
    pub header_bytes: usize,
    /// Longest time for a header to arrive, which is also the longest idle time of a connection.
    pub header_time: Duration,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a body to arrive.
    pub body_time: Duration,
    /// Most connections that are open at the same time. A further one takes the place of the one that has waited longest
    /// for its caller, or is refused if handlers work for all of them.
    pub connections: usize,
    /// Header that is added to answers that `hyper` writes itself; `None` to add none.
    pub default_header: Option<DefaultHeader>,
}

/// Error while the body of a request was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is longer than [`ServerLimits::body_bytes`].
    TooLarge,
    /// The body did not arrive within [`ServerLimits::body_time`].
    TooSlow,
    /// The body is incomplete or malformed.
    Broken,
    /// What the request needs is claimed by others. No handler gets this error.
    Exhausted,
}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> Self {
        Self::Exhausted
    }
}

/// Time after which a caller may retry a request that was refused for the sake of others.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl BodyError {
    /// An answer with the matching status and an error message.
    #[must_use]
    pub fn reply(self) -> Reply {
        let (status, message) = match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than the limit"),
            Self::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time"),
            Self::Broken => (StatusCode::BAD_REQUEST, "the body ended early"),
            Self::Exhausted => {
                (StatusCode::SERVICE_UNAVAILABLE, "too many requests are in progress; not accepted")
            }
        };
        let body = serde_json::json!({ "error": message }).to_string().into_bytes();
        match self {
            Self::Exhausted => Reply::retry_later(status, REFUSED_RETRY_AFTER, body),
            _ => Reply::json(status, body),
        }
    }
}

/// A request whose header is complete. Its body may have failed to arrive.
#[derive(Debug)]
pub struct Received {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// The whole body, or why it could not be read. Clones of it keep the request's share of the memory.
    pub body: Result<Bytes, BodyError>,
}

impl Received {
    /// Returns the value of a header; `None` if it is missing or is not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Answer of a handler.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body. It is sent as `application/json` unless `headers` has another type.
    pub body: Vec<u8>,
    /// Time after which the caller may retry, rounded up to seconds for the header `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Further headers. One with an invalid name or value is left out.
    pub headers: Vec<(String, String)>,
}

impl Reply {
    /// An answer with a JSON body.
    #[must_use]
    pub fn json(status: StatusCode, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: None, headers: Vec::new() }
    }

    /// An answer that asks the caller to retry after a time.
    #[must_use]
    pub fn retry_later(status: StatusCode, after: Duration, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: Some(after), headers: Vec::new() }
    }
}

/// Turns true when a server has to stop.
pub type StopReceiver = watch::Receiver<bool>;

/// Listens on an address, with small buffers in the kernel: what callers send or leave unread there counts as memory of
/// the machine. Must be called within a runtime.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit both sizes.
    for set in [TcpSocket::set_recv_buffer_size, TcpSocket::set_send_buffer_size] {
        if let Err(e) = set(&socket, SOCKET_BUFFER_BYTES) {
            log::debug!("the buffers of connections to {address} keep their size: {e}");
        }
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Size of the kernel's buffers of a connection, in each direction. Linux reserves twice as much.
const SOCKET_BUFFER_BYTES: u32 = 16 << 10;

/// Connections that the kernel completes before they are accepted.
const BACKLOG: u32 = 1_024;

/// Accepts connections until `stop` is true. Then each connection closes after its current answer, and the function
/// returns once all are closed or `DRAIN_TIMEOUT` has passed.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    budget: Rc<RequestBudget>,
    stop: StopReceiver,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let connections = Connections::new(limits.connections, budget.metrics().clone());
    let mut stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|is_stopping| *is_stopping) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                event::ACCEPT_FAILED.emit(format_args!("cause={e}"));
                // The process may be out of file descriptors; a connection has to close first.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(connection) = connections.admit().await else {
            refuse(stream, limits.default_header);
            continue;
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("connection of {peer} stays without TCP_NODELAY: {e}");
        }
        let (handler, stop, budget) = (handler.clone(), stop.clone(), Rc::clone(&budget));
        tokio::task::spawn_local(async move {
            let place = Rc::new(connection);
            let stream = DefaultHeaderStream::new(
                stream,
                limits.default_header,
                Arc::clone(place.is_answering()),
            );
            let io = TokioIo::new(CallerStream::new(stream, Rc::clone(&place)));
            serve_connection(io, peer, place, limits, budget, stop, handler).await;
        });
    }
    drop(listener);
    let mut left = DRAIN_TIMEOUT;
    while connections.open() > 0 && !left.is_zero() {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        left = left.saturating_sub(DRAIN_POLL_PERIOD);
    }
}

/// Memory of a connection besides its request, at most, in bytes: `hyper`'s buffers and state, and what the kernel keeps
/// of bytes that are not read yet.
pub const CONNECTION_BYTES: usize = 64 << 10;

/// Longest time for requests in flight after a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two checks whether the requests in flight have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Pause after a failed accept, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers a connection for which there is no place, and closes it.
fn refuse(stream: TcpStream, default_header: Option<DefaultHeader>) {
    let default_header = default_header.map(|it| format!("{}: {}\r\n", it.name, it.value));
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {}\r\n{}Connection: close\r\nContent-Length: 0\r\n\r\n",
        REFUSED_RETRY_AFTER.as_secs(),
        default_header.unwrap_or_default()
    );
    // Best effort: the caller also learns from the end of the connection that nothing was accepted.
    let _ = stream.into_std().and_then(|stream| (&stream).write(answer.as_bytes()));
}

async fn serve_connection<H, F>(
    io: TokioIo<CallerStream<DefaultHeaderStream<TcpStream>>>,
    peer: SocketAddr,
    place: Rc<Connection>,
    limits: ServerLimits,
    budget: Rc<RequestBudget>,
    mut stop: StopReceiver,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let of_request = Rc::clone(&place);
    let service = service_fn(move |req| {
        handle_request(req, Rc::clone(&of_request), limits, Rc::clone(&budget), handler.clone())
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .title_case_headers(true)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    tokio::pin!(connection);
    let mut is_stopping = false;
    let ended = loop {
        tokio::select! {
            // First, so that no handler begins to work for the connection.
            biased;
            () = place.closed() => {
                log::debug!("connection of {peer} closed in favour of another");
                return;
            }
            _ = stop.wait_for(|is_stopping| *is_stopping), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            ended = &mut connection => break ended,
        }
    };
    if let Err(e) = ended {
        log::debug!("connection of {peer} ended: {e}");
    }
}

/// Smallest buffer size that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8192;

async fn handle_request<H, F>(
    req: Request<Incoming>,
    place: Rc<Connection>,
    limits: ServerLimits,
    budget: Rc<RequestBudget>,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Received) -> F,
    F: Future<Output = Reply>,
{
    let (head, mut body) = req.into_parts();
    let read = read_body(&head.headers, &mut body, &place, limits, &budget).await;
    if let Err(BodyError::TooLarge | BodyError::Exhausted) = read {
        discard(body, limits, &budget);
    }
    let (body, share) = match read {
        Ok((body, share)) => (Ok(body), Some(share)),
        Err(BodyError::Exhausted) => {
            return Ok(response(BodyError::Exhausted.reply(), limits, &place, None));
        }
        Err(e) => (Err(e), None),
    };
    let received = Received { method: head.method, uri: head.uri, headers: head.headers, body };
    place.begin_handling();
    let reply = handler(received).await;
    place.wait();
    Ok(response(reply, limits, &place, share))
}

async fn read_body(
    headers: &HeaderMap,
    body: &mut Incoming,
    place: &Connection,
    limits: ServerLimits,
    budget: &Rc<RequestBudget>,
) -> Result<(Bytes, Arc<RequestShare>), BodyError> {
    let announced = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    if announced.is_some_and(|length: u64| length > limits.body_bytes as u64) {
        return Err(BodyError::TooLarge);
    }
    let announced = announced.and_then(|length| usize::try_from(length).ok());
    let partial = budget.start_body(announced)?;
    let whole = collect(body, partial, place, limits.body_bytes);
    tokio::time::timeout(limits.body_time, whole).await.unwrap_or(Err(BodyError::TooSlow))
}

async fn collect(
    body: &mut Incoming,
    mut partial: PartialBody,
    place: &Connection,
    max_bytes: usize,
) -> Result<(Bytes, Arc<RequestShare>), BodyError> {
    let (mut length, mut frames) = (0, 0);
    let mut fragmented = None;
    loop {
        let frame = tokio::select! {
            biased;
            () = partial.dropped() => return Err(BodyError::Exhausted),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        frames += 1;
        if fragmented.is_none() && is_fragmented(frames, length) {
            fragmented = Some(partial.start_fragmented()?);
        }
        if frames.is_multiple_of(FRAMES_PER_TURN) {
            // Renewals and heartbeats run on the same thread.
            tokio::task::yield_now().await;
        }
        let has_progress = partial.append(&data)?;
        if has_progress {
            place.wait();
        }
    }
    Ok(partial.finish()?)
}

/// Reads and discards some of a refused body while the answer is sent. A connection that closes with unread bytes is
/// reset, and a caller that is still writing may then lose the answer.
fn discard(mut body: Incoming, limits: ServerLimits, budget: &RequestBudget) {
    let Some(permit) = budget.start_discarding() else { return };
    tokio::task::spawn_local(async move {
        let _permit = permit;
        let rest = async {
            let (mut bytes, mut frames) = (0, 0);
            let max_bytes = limits.body_bytes + DISCARD_MARGIN_BYTES;
            while bytes < max_bytes && !is_fragmented(frames, bytes) {
                let Some(Ok(frame)) = body.frame().await else { return };
                bytes += frame.data_ref().map_or(0, Bytes::len);
                frames += 1;
            }
        };
        // At the time limit the connection closes, as it does at the others.
        let _ = tokio::time::timeout(limits.body_time, rest).await;
    });
}

/// Bytes of a refused body that are read, in addition to the size of the largest legal one.
const DISCARD_MARGIN_BYTES: usize = 1 << 20;

/// True if a body arrives in so small frames that they take much more processor time than its length warrants.
fn is_fragmented(frames: usize, bytes: usize) -> bool {
    frames > FREE_FRAMES + bytes / MIN_FRAME_BYTES
}

/// Frames of a body that are read before it is the turn of other work.
const FRAMES_PER_TURN: usize = 16;

/// Frames of any length that every body may have.
const FREE_FRAMES: usize = 64;

/// Mean length of further frames, below which a body counts as fragmented.
const MIN_FRAME_BYTES: usize = 256;

/// Body of an answer, which keeps the share of its request until it is written.
struct AnswerBody {
    buf: Vec<u8>,
    _share: Option<Arc<RequestShare>>,
    is_answering: Arc<AtomicBool>,
}

impl AsRef<[u8]> for AnswerBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.is_answering.store(false, Ordering::SeqCst);
    }
}

fn response(
    reply: Reply,
    limits: ServerLimits,
    place: &Connection,
    share: Option<Arc<RequestShare>>,
) -> Response<Full<Bytes>> {
    let is_answering = Arc::clone(place.is_answering());
    is_answering.store(true, Ordering::SeqCst);
    let body = AnswerBody { buf: reply.body, _share: share, is_answering };
    let mut response = Response::new(Full::new(Bytes::from_owner(body)));
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let defaults = limits.default_header.map(|header| (header.name, header.value));
    let own = reply.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in defaults.into_iter().chain(own) {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value)) {
            headers.insert(name, value);
        }
    }
    if let Some(after) = reply.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.as_millis().div_ceil(1000) as u64));
    }
    response
}
