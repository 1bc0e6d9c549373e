//! HTTP server for the stand-ins.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use thiserror::Error;
use tiny_http::{Header, Response, Server};

/// How often an idle server thread checks whether it should stop.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Sent in place of an answer, so that the client closes the connection.
const INVALID_STATUS_LINE: &[u8] = b"\0\r\n\r\n";

/// A handler's reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Send an answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers besides those that the server sets.
        headers: Vec<(String, String)>,
        /// May be empty.
        body: Vec<u8>,
    },
    /// Break the connection without an answer, as a failed service does.
    Drop,
}

impl Reply {
    /// Creates an answer with a JSON body.
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

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
    /// Headers in the order received.
    pub headers: Vec<(String, String)>,
    /// Cut off at the server's limit.
    pub body: Vec<u8>,
    /// Address of the client, which is different for each connection.
    pub remote: Option<SocketAddr>,
}

impl ServerRequest {
    /// Returns the first header with this name, ignoring case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A stand-in could not bind its address.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {cause}")]
pub struct ListenError {
    /// Address to bind, as requested.
    pub address: SocketAddr,
    /// Error message of the system or of the HTTP library.
    pub cause: String,
}

/// A running server, which serves JSON and binary bodies.
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
    /// Serves `handler` with `threads` threads. With port 0 the system picks a free port.
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

    /// The bound address, with the port that the system picked.
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
        match server.recv_timeout(STOP_POLL_PERIOD) {
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
            // Fails if the client has closed the connection; it gets an error of its own.
            let _ = req.respond(response);
        }
        Reply::Drop => drop_connection(req),
    }
}

/// Breaks the connection of a request without an answer.
fn drop_connection(req: tiny_http::Request) {
    // Dropping a request makes tiny_http answer 500. Dropping only its writer leaves the connection open, so the client
    // waits for its timeout. A line that is not HTTP makes the client close the connection at once.
    let mut writer = req.into_writer();
    // Fails if the client has closed the connection already.
    let _ = writer.write_all(INVALID_STATUS_LINE).and_then(|()| writer.flush());
}
