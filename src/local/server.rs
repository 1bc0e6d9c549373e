//! A small HTTP server for the stand-ins.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use thiserror::Error;
use tiny_http::{Header, Response, Server};

/// How often a waiting server thread looks for its stop flag.
const POLL: Duration = Duration::from_millis(50);

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Sent instead of an answer to break a connection.
const BROKEN_LINE: &[u8] = b"\0\r\n\r\n";

/// What a handler answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// An answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Extra headers.
        headers: Vec<(String, String)>,
        /// The body.
        body: Vec<u8>,
    },
    /// Break the connection without an answer.
    Drop,
}

impl Reply {
    /// A JSON answer.
    #[must_use]
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::Answer { status, headers: Vec::new(), body },
            Err(error) => Self::Answer {
                status: 500,
                headers: Vec::new(),
                body: error.to_string().into_bytes(),
            },
        }
    }
}

/// A request as a handler sees it.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers in the order received.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Address of the connection, which tells connections apart.
    pub remote: Option<SocketAddr>,
}

impl ServerRequest {
    /// The first header with this name, in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Why a stand-in could not start.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {cause}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The library's message.
    pub cause: String,
}

/// The server. `Debug` shows its address.
pub struct JsonServer {
    address: SocketAddr,
    server: Arc<Server>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for JsonServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("JsonServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl JsonServer {
    /// Serves `handler` with `threads` threads. Port 0 lets the system pick one.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start<H>(address: SocketAddr, threads: usize, handler: H) -> Result<Self, ListenError>
    where
        H: Fn(&ServerRequest) -> Reply + Send + Sync + 'static,
    {
        let server = Server::http(address)
            .map_err(|error| ListenError { address, cause: error.to_string() })
            .map(Arc::new)?;
        let bound = server.server_addr().to_ip().unwrap_or(address);
        let stop = Arc::new(AtomicBool::new(false));
        let handler = Arc::new(handler);
        let threads = (0..threads)
            .map(|_| {
                let server = Arc::clone(&server);
                let stop = Arc::clone(&stop);
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || serve(&server, &stop, handler.as_ref()))
            })
            .collect();
        Ok(Self { address: bound, server, stop, threads })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving and joins the threads.
    pub fn close(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.server.unblock();
        for thread in self.threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn serve(
    server: &Server,
    stop: &AtomicBool,
    handler: &(impl Fn(&ServerRequest) -> Reply + ?Sized),
) {
    while !stop.load(Ordering::SeqCst) {
        match server.recv_timeout(POLL) {
            Ok(Some(req)) => answer(req, handler),
            Ok(None) => {}
            Err(_) => return,
        }
    }
}

fn answer(mut req: tiny_http::Request, handler: &(impl Fn(&ServerRequest) -> Reply + ?Sized)) {
    let mut body = Vec::new();
    if req.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body).is_err() {
        return;
    }
    let headers = req
        .headers()
        .iter()
        .map(|header| (header.field.to_string(), header.value.to_string()))
        .collect();
    let seen = ServerRequest {
        method: req.method().to_string().to_ascii_uppercase(),
        path: req.url().to_owned(),
        headers,
        body,
        remote: req.remote_addr().copied(),
    };
    match handler(&seen) {
        Reply::Answer { status, headers, body } => {
            let mut response = Response::from_data(body).with_status_code(status);
            for (name, value) in headers {
                if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                    response.add_header(header);
                }
            }
            // The client may have gone away; it will learn from its own error.
            let _ = req.respond(response);
        }
        Reply::Drop => drop_connection(req),
    }
}

/// Breaks the connection of a request without an answer.
fn drop_connection(req: tiny_http::Request) {
    // Dropping a request makes tiny_http answer 500. Dropping only its writer leaves the connection open, and the client
    // waits for its timeout. A line that is no HTTP makes the client close the connection at once.
    let mut writer = req.into_writer();
    // An error means that the client has closed it already.
    let _ = writer.write_all(BROKEN_LINE).and_then(|()| writer.flush());
}
