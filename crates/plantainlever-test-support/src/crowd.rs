//! Many client connections that send parts of requests at the same time and stay open.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without progress of any connection after which [`Crowd::send`] returns.
const STALLED_TIME: Duration = Duration::from_millis(700);

/// Pause of [`Crowd::send`] while the server reads nothing.
const STALLED_PAUSE: Duration = Duration::from_millis(5);

/// Longest time for opening a connection. A full queue of new connections answers only after one to three seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Most bytes of an answer that are kept.
const MAX_ANSWER_BYTES: usize = 4_096;

/// Bytes that a connection sends, and how.
#[derive(Clone, Debug)]
pub struct Script {
    bytes: Arc<[u8]>,
    piece: usize,
}

impl Script {
    /// A connection that sends nothing.
    #[must_use]
    pub fn silent() -> Self {
        Self::new(Vec::new())
    }

    /// Sends `bytes` as fast as the server reads them.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self { bytes: bytes.into(), piece: usize::MAX }
    }

    /// Sends a header field of `length` bytes that never ends.
    #[must_use]
    pub fn endless_header(head: &str, length: usize) -> Self {
        Self::new(format!("{head}X-Long: {}", "a".repeat(length)).into_bytes())
    }

    /// Announces `body`, and sends all of it but the last `missing` bytes.
    #[must_use]
    pub fn announced(head: &str, body: &[u8], missing: usize) -> Self {
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(&body[..body.len() - missing]);
        Self::new(bytes)
    }

    /// Announces a body of `length` bytes and sends `sent` bytes of it.
    #[must_use]
    pub fn announced_length(head: &str, length: usize, sent: usize) -> Self {
        let mut bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.resize(bytes.len() + sent, b' ');
        Self::new(bytes)
    }

    /// Sends `body` in chunks of `chunk` bytes, with the chunk that ends the body only if `is_complete`.
    #[must_use]
    pub fn chunked(head: &str, body: &[u8], chunk: usize, is_complete: bool) -> Self {
        let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for chunk in body.chunks(chunk) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        if is_complete {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        Self::new(bytes)
    }

    /// Sends at most `piece` bytes before it is the turn of the next connection.
    #[must_use]
    pub fn in_pieces(mut self, piece: usize) -> Self {
        self.piece = piece;
        self
    }
}

#[derive(Debug)]
struct Member {
    stream: TcpStream,
    script: Script,
    sent: usize,
    answer: Vec<u8>,
    is_closed: bool,
}

impl Member {
    /// Sends the next piece; true if the server took some bytes.
    fn send(&mut self) -> bool {
        let rest = &self.script.bytes[self.sent..];
        let piece = &rest[..rest.len().min(self.script.piece)];
        if self.is_closed || piece.is_empty() {
            return false;
        }
        match self.stream.write(piece) {
            Ok(sent) => {
                self.sent += sent;
                sent > 0
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.read();
                self.is_closed = true;
                false
            }
        }
    }

    fn read(&mut self) {
        let mut buf = [0; MAX_ANSWER_BYTES];
        while !self.is_closed {
            match self.stream.read(&mut buf) {
                Ok(0) => self.is_closed = true,
                Ok(read) => {
                    let kept = read.min(MAX_ANSWER_BYTES - self.answer.len());
                    self.answer.extend_from_slice(&buf[..kept]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.is_closed = true,
            }
        }
    }

    fn status(&self) -> Option<u16> {
        let line = std::str::from_utf8(self.answer.get(..12)?).ok()?;
        line.strip_prefix("HTTP/1.1 ")?.parse().ok()
    }
}

/// Open connections. Dropping it closes them.
#[derive(Debug, Default)]
pub struct Crowd {
    members: Vec<Member>,
}

impl Crowd {
    /// Opens a connection to `address` that will send `script`.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened.
    pub fn join(&mut self, address: SocketAddr, script: Script) -> Result<(), std::io::Error> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.members.push(Member { stream, script, sent: 0, answer: Vec::new(), is_closed: false });
        Ok(())
    }

    /// Opens `count` connections that will send the same script.
    ///
    /// # Errors
    ///
    /// If a connection cannot be opened.
    pub fn join_many(
        &mut self,
        count: usize,
        address: SocketAddr,
        script: &Script,
    ) -> Result<(), std::io::Error> {
        (0..count).try_for_each(|_| self.join(address, script.clone()))
    }

    /// Sends in turns, until every connection has sent all or is closed, or the server reads nothing any more.
    pub fn send(&mut self) {
        let mut last_progress = Instant::now();
        while last_progress.elapsed() < STALLED_TIME {
            let mut has_progress = false;
            for member in &mut self.members {
                has_progress |= member.send();
            }
            if has_progress {
                last_progress = Instant::now();
            } else if self.members.iter().all(|it| it.is_closed || it.sent == it.script.bytes.len())
            {
                return;
            } else {
                std::thread::sleep(STALLED_PAUSE);
            }
        }
    }

    /// Sends `bytes` after the script, on each connection that is open.
    pub fn send_more(&mut self, bytes: &[u8]) {
        for member in self.members.iter_mut().filter(|member| !member.is_closed) {
            member.is_closed =
                member.stream.write(bytes).is_err_and(|e| e.kind() != ErrorKind::WouldBlock);
        }
    }

    /// Number of connections that are open and have no answer.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.members.iter().filter(|it| !it.is_closed && it.status().is_none()).count()
    }

    /// Reads what the server has answered so far.
    pub fn read(&mut self) {
        self.members.iter_mut().for_each(Member::read);
    }

    /// By connection: the status of the first answer; `None` without an answer.
    #[must_use]
    pub fn statuses(&self) -> Vec<Option<u16>> {
        self.members.iter().map(Member::status).collect()
    }

    /// Number of connections that the server has not closed, as far as they have been read from or written to.
    #[must_use]
    pub fn open(&self) -> usize {
        self.members.iter().filter(|member| !member.is_closed).count()
    }
}
