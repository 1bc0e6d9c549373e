//! In-memory executor, which runs requests in threads.
//!
//! It answers with the request's body, after N milliseconds if the query has `sleep_ms=N`. It reads and writes its
//! sockets itself, because the faults need control over individual bytes and connections that an HTTP library hides.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use super::history::{History, HistoryEvent};
use super::server::ListenError;
use crate::platform::target::{REQUEST_ID, TargetHealth};
use crate::request::OUTCOME_HEADER;
use crate::telemetry::trace::TRACEPARENT;

/// Number of requests that an executor runs at the same time.
pub const SLOTS: u32 = 8;

/// Largest request body; the connection of a larger one is closed.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Fault of an executor.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// Works normally.
    #[default]
    None,
    /// Runs each request for this much longer.
    Slow(Duration),
    /// Runs the request, sends half of the answer's body and closes the connection.
    Truncated,
    /// Reads the request and closes the connection without running it.
    CloseBefore,
    /// Runs the request and closes the connection without an answer.
    CloseAfter,
    /// Runs the request and answers with the id of another request.
    WrongId,
    /// Answers and closes the connection, without `Connection: close` in the answer.
    CloseIdle,
    /// Accepts connections and reads nothing.
    NeverReads,
    /// Answers requests but closes the connection on a health check.
    NoHealth,
}

#[derive(Debug)]
struct Shared {
    name: String,
    history: History,
    fault: Mutex<TargetFault>,
    leaving: AtomicBool,
    stopped: AtomicBool,
    in_flight: AtomicU32,
    connections: AtomicU32,
    peak_connections: AtomicU32,
    refused: AtomicU64,
    sockets: Mutex<Vec<TcpStream>>,
    traces: Mutex<Vec<String>>,
}

/// A running executor.
#[derive(Debug)]
pub struct LocalTarget {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Message {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl LocalTarget {
    /// Starts an executor. With port 0 the system picks a free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(name: &str, address: SocketAddr, history: History) -> Result<Self, ListenError> {
        let failed = |error: std::io::Error| ListenError { address, cause: error.to_string() };
        let listener = TcpListener::bind(address).map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            history,
            fault: Mutex::default(),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            peak_connections: AtomicU32::new(0),
            refused: AtomicU64::new(0),
            sockets: Mutex::default(),
            traces: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::spawn(move || accept(&listener, &accepting));
        Ok(Self { address: bound, shared, thread: Some(thread) })
    }

    /// The bound address, with the port that the system picked.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the current fault; [`TargetFault::None`] ends it.
    pub fn set_fault(&self, fault: TargetFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets whether the executor refuses new requests and reports that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Number of connections that are open now, those of health checks included.
    #[must_use]
    pub fn open_connections(&self) -> u32 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Largest number of connections that were open at the same time.
    #[must_use]
    pub fn peak_connections(&self) -> u32 {
        self.shared.peak_connections.load(Ordering::SeqCst)
    }

    /// Number of requests refused so far, because all slots were in use or the executor was leaving.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// Values of the trace context header, in the order received.
    #[must_use]
    pub fn traces(&self) -> Vec<String> {
        self.shared.traces.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes the listener and all connections at once, as a crash of the process does.
    pub fn kill(mut self) {
        self.stop();
    }

    /// Stops the executor at the end of a test. Same effect as [`LocalTarget::kill`].
    pub fn close(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then sees the stop flag.
        drop(TcpStream::connect(self.address));
        for socket in self.shared.sockets.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            // The socket may have been closed by its thread.
            let _ = socket.shutdown(Shutdown::Both);
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for LocalTarget {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.stop();
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if let Ok(clone) = stream.try_clone() {
            shared.sockets.lock().unwrap_or_else(PoisonError::into_inner).push(clone);
        }
        let shared = Arc::clone(shared);
        std::thread::spawn(move || {
            let open = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
            shared.peak_connections.fetch_max(open, Ordering::SeqCst);
            shared.serve(&stream);
            // `sockets` holds a clone of the socket, so dropping this one would not close the connection.
            let _ = stream.shutdown(Shutdown::Both);
            shared.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

impl Shared {
    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while !self.stopped.load(Ordering::SeqCst) {
            if self.fault() == TargetFault::NeverReads {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Some(message) = read_message(&mut reader) else { return };
            if !self.answer(stream, &message) {
                return;
            }
        }
    }

    fn fault(&self) -> TargetFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers one request. Returns false if the connection must be closed.
    fn answer(&self, stream: &TcpStream, message: &Message) -> bool {
        if message.path == "/health" {
            if self.fault() == TargetFault::NoHealth {
                return false;
            }
            let health = TargetHealth {
                in_flight: self.in_flight.load(Ordering::SeqCst),
                slots: SLOTS,
                leaving: self.leaving.load(Ordering::SeqCst),
            };
            let body = serde_json::to_vec(&health).unwrap_or_default();
            return write_answer(stream, 200, &[], &body, body.len()) && !message.is_last();
        }
        if let Some(trace) = message.header(TRACEPARENT) {
            let mut traces = self.traces.lock().unwrap_or_else(PoisonError::into_inner);
            traces.push(trace.to_owned());
        }
        let id = message.header(REQUEST_ID).unwrap_or_default().to_owned();
        let fault = self.fault();
        if fault == TargetFault::CloseBefore {
            return false;
        }
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        if in_flight > SLOTS || self.leaving.load(Ordering::SeqCst) {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            self.refused.fetch_add(1, Ordering::SeqCst);
            let headers = [(REQUEST_ID, id.as_str()), (OUTCOME_HEADER, "not-run")];
            return write_answer(stream, 503, &headers, b"", 0);
        }
        self.run(message, &id, in_flight, fault);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        let other_id = format!("other-{id}");
        let headers = [(REQUEST_ID, if fault == TargetFault::WrongId { &other_id } else { &id })];
        let headers = headers.map(|(name, value)| (name, value.as_str()));
        let body = &message.body;
        match fault {
            TargetFault::CloseAfter => false,
            TargetFault::Truncated => {
                write_answer(stream, 200, &headers, &body[..body.len() / 2], body.len().max(1));
                false
            }
            TargetFault::CloseIdle => {
                write_answer(stream, 200, &headers, body, body.len());
                false
            }
            _ => write_answer(stream, 200, &headers, body, body.len()) && !message.is_last(),
        }
    }

    fn run(&self, message: &Message, id: &str, in_flight: u32, fault: TargetFault) {
        self.history.record(HistoryEvent::RequestStarted {
            target: self.name.clone(),
            request_id: id.to_owned(),
            key: message.header("Idempotency-Key").map(str::to_owned),
            body: message.body.clone(),
            in_flight,
            connections: self.connections.load(Ordering::SeqCst),
        });
        std::thread::sleep(message.sleep());
        if let TargetFault::Slow(extra) = fault {
            std::thread::sleep(extra);
        }
        let request_id = id.to_owned();
        self.history.record(HistoryEvent::RequestEnded { target: self.name.clone(), request_id });
    }
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn is_last(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn sleep(&self) -> Duration {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let sleep = query.split('&').find_map(|pair| pair.strip_prefix("sleep_ms="));
        Duration::from_millis(sleep.and_then(|text| text.parse().ok()).unwrap_or(0))
    }
}

fn read_message(reader: &mut BufReader<&TcpStream>) -> Option<Message> {
    let first = read_line(reader)?;
    let mut parts = first.split(' ');
    let method = parts.next()?.to_owned();
    let path = parts.next()?.to_owned();
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { method, path, headers, body: Vec::new() };
    let length = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if length > MAX_BODY_BYTES || message.method.is_empty() {
        return None;
    }
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    Some(line.trim_end().to_owned())
}

/// Writes an answer that announces `length` bytes. Returns false if the connection is broken.
fn write_answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    length: usize,
) -> bool {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
