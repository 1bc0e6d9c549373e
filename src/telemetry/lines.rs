//! Log lines on standard output that never hold up the event loop.
//!
//! Lines go through a bounded ring to a thread that writes them. If the reader of standard output is slow, the ring fills
//! up and lines are dropped and counted; the count is logged once there is room again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;
use simplelog::WriteLogger;

use super::logging::{self, LoggingError};

/// Lines that wait for the writer. At 150 bytes a line the ring holds 300 KB at most.
const RING_LINES: usize = 2_048;

/// Lines gather for this long, so that a busy process wakes its writer ten times a second at most.
const GATHER: Duration = Duration::from_millis(100);

/// The log of a process. Closing it writes what is left.
#[derive(Debug)]
pub struct LineLog {
    tx: SyncSender<Option<Vec<u8>>>,
    writer: JoinHandle<()>,
}

impl LineLog {
    /// Writes what is left. Lines that are logged later are dropped.
    pub fn close(self) {
        // The writer drains the ring, so this waits only while standard output can't be written.
        if self.tx.send(None).is_ok() && self.writer.join().is_err() {
            eprintln!("the log's writer has panicked");
        }
    }
}

/// Starts logging to standard output, with UTC time.
///
/// # Errors
///
/// [`LoggingError::AlreadyStarted`].
pub fn start(level: LevelFilter) -> Result<LineLog, LoggingError> {
    start_with(level, io::stdout())
}

/// The same, with another writer.
///
/// # Errors
///
/// [`LoggingError::AlreadyStarted`].
pub fn start_with(
    level: LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<LineLog, LoggingError> {
    let (ring, log) = ring(out);
    WriteLogger::init(level, logging::format(), ring).map_err(|_| LoggingError::AlreadyStarted)?;
    Ok(log)
}

/// A ring and the thread that empties it.
#[must_use]
pub fn ring(out: impl Write + Send + 'static) -> (RingWriter, LineLog) {
    let (tx, rx) = sync_channel(RING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let of_writer = Arc::clone(&dropped);
    let writer = std::thread::spawn(move || write_lines(&rx, out, &of_writer));
    (RingWriter { tx: tx.clone(), line: Vec::new(), dropped }, LineLog { tx, writer })
}

/// Cuts what the logger writes into lines and puts them into the ring.
#[derive(Debug)]
pub struct RingWriter {
    tx: SyncSender<Option<Vec<u8>>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl Write for RingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.tx.try_send(Some(line)) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Option<Vec<u8>>>, mut out: impl Write, dropped: &AtomicU64) {
    let mut buf = Vec::new();
    let mut is_open = true;
    while is_open {
        match rx.recv() {
            Ok(Some(line)) => buf.extend_from_slice(&line),
            Ok(None) | Err(_) => return,
        }
        std::thread::sleep(GATHER);
        while let Ok(next) = rx.try_recv() {
            match next {
                Some(line) => buf.extend_from_slice(&line),
                None => is_open = false,
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            buf.extend_from_slice(format!("{lost} log lines were dropped\n").as_bytes());
        }
        // Nothing is left to report a failure to; the lines are lost, the process goes on.
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        buf.clear();
    }
}
