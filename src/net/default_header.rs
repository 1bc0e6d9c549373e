//! Adds a header to answers that `hyper` writes itself.
//!
//! `hyper` answers a malformed request line or header on its own, without a way to add to that answer. Callers rely on
//! a header that every answer carries, so this stream adds it to a head that lacks it. Answers of handlers are left as
//! they are, because a write may begin anywhere in their bodies, which may look like a head.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Header that every answer must have.
#[derive(Clone, Copy, Debug)]
pub struct DefaultHeader {
    /// Name in the case in which it is sent; it is compared without regard to case.
    pub name: &'static str,
    /// Value for answers that lack the header.
    pub value: &'static str,
}

/// Start of an answer's status line.
const STATUS_LINE: &[u8] = b"HTTP/1.1 ";

/// End of an answer's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Wraps a stream to a caller, and adds the default header to each written head that lacks it.
#[derive(Debug)]
pub struct DefaultHeaderStream<S> {
    inner: S,
    default_header: Option<DefaultHeader>,
    /// True while the answer of a handler is written.
    is_answering: Arc<AtomicBool>,
    /// Rest of a changed head, and of body bytes written with it, that is not written to `inner` yet.
    pending: Vec<u8>,
}

impl<S> DefaultHeaderStream<S> {
    /// Wraps a stream. If `default_header` is `None`, all bytes pass unchanged, and so they do while `is_answering`.
    pub fn new(
        inner: S,
        default_header: Option<DefaultHeader>,
        is_answering: Arc<AtomicBool>,
    ) -> Self {
        Self { inner, default_header, is_answering, pending: Vec::new() }
    }

    /// Returns the bytes to write instead of `buf`; `None` to write it as it is.
    fn changed(&self, buf: &[u8]) -> Option<Vec<u8>> {
        let header = self.default_header.filter(|_| !self.is_answering.load(Ordering::SeqCst))?;
        with_default_header(buf, header)
    }
}

impl<S: AsyncWrite + Unpin> DefaultHeaderStream<S> {
    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(cx, &self.pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the bytes with the header added; `None` if they do not start with a complete head of an answer, or if the
/// head already has the header.
fn with_default_header(buf: &[u8], header: DefaultHeader) -> Option<Vec<u8>> {
    if !buf.starts_with(STATUS_LINE) {
        return None;
    }
    let end = buf.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    let has_header = String::from_utf8_lossy(&buf[..end]).lines().any(|line| {
        line.split(':').next().is_some_and(|name| name.eq_ignore_ascii_case(header.name))
    });
    if has_header {
        return None;
    }
    let added = format!("\r\n{}: {}", header.name, header.value);
    Some([&buf[..end], added.as_bytes(), &buf[end..]].concat())
}

impl<S: AsyncRead + Unpin> AsyncRead for DefaultHeaderStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DefaultHeaderStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        match self.changed(buf) {
            Some(changed) => {
                self.pending = changed;
                Poll::Ready(Ok(buf.len()))
            }
            None => Pin::new(&mut self.inner).poll_write(cx, buf),
        }
    }

    /// The first buffer begins with the head, as `hyper` queues a body behind it.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        let head = bufs.first().map_or(&[][..], |buf| buf);
        match self.changed(head) {
            Some(changed) => {
                self.pending = changed;
                Poll::Ready(Ok(head.len()))
            }
            None => Pin::new(&mut self.inner).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
