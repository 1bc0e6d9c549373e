//! HTTP server with bounds on connections, header size and time, and body size.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest header of a request in bytes.
    pub header_bytes: usize,
    /// Longest time for a header to arrive, also on an idle connection.
    pub header_time: Duration,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a body to arrive.
    pub body_time: Duration,
    /// Connections that are open at the same time; more are closed at once.
    pub connections: usize,
}

/// A request that was read whole.
#[derive(Debug)]
pub struct Received {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Received {
    /// A header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// What a handler answers.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// JSON or text body.
    pub body: Vec<u8>,
    /// When the caller may come back, rounded up to seconds.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// An answer with a JSON body.
    #[must_use]
    pub fn json(status: StatusCode, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: None }
    }

    /// An answer that asks the caller to come back later.
    #[must_use]
    pub fn later(status: StatusCode, after: Duration, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: Some(after) }
    }
}

/// Whether a server still keeps connections open between requests.
pub type StopReceiver = watch::Receiver<bool>;

/// Accepts connections until the listener fails. Once `stop` is true, each connection closes after its current answer.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: StopReceiver,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("a connection could not be accepted: {e}");
                // Out of descriptors: the next try has to wait for a connection to close.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            log::warn!("connection of {peer} closed: {} are open", open.get());
            continue;
        }
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("connection of {peer} stays without TCP_NODELAY: {e}");
        }
        open.set(open.get() + 1);
        let (open, handler, stop) = (Rc::clone(&open), handler.clone(), stop.clone());
        tokio::task::spawn_local(async move {
            serve_connection(TokioIo::new(stream), peer, limits, stop, handler).await;
            open.set(open.get() - 1);
        });
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

async fn serve_connection<H, F>(
    io: TokioIo<tokio::net::TcpStream>,
    peer: SocketAddr,
    limits: ServerLimits,
    mut stop: StopReceiver,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let service = service_fn(move |req| answer(req, limits, handler.clone()));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = stop.wait_for(|is_stopping| *is_stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("connection of {peer} ended: {e}");
    }
}

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

async fn answer<H, F>(
    req: Request<Incoming>,
    limits: ServerLimits,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Received) -> F,
    F: Future<Output = Reply>,
{
    let (head, body) = req.into_parts();
    let read = Limited::new(body, limits.body_bytes).collect();
    let reply = match tokio::time::timeout(limits.body_time, read).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            handler(Received { method: head.method, uri: head.uri, headers: head.headers, body })
                .await
        }
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than the limit")
        }
        Ok(Err(_)) => refusal(StatusCode::BAD_REQUEST, "the body ended early"),
        Err(_) => refusal(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time"),
    };
    Ok(response(reply))
}

fn refusal(status: StatusCode, message: &str) -> Reply {
    let body = serde_json::json!({ "error": message });
    Reply::json(status, body.to_string().into_bytes())
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    if let Some(after) = reply.retry_after {
        headers.insert(
            RETRY_AFTER,
            hyper::header::HeaderValue::from(after.as_millis().div_ceil(1000) as u64),
        );
    }
    response
}
