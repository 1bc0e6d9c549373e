//! Non-blocking log lines on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so logging never blocks the event loop. If the reader
//! of standard output is slow, the queue fills up and lines are dropped; their number is written with the next lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;
use simplelog::WriteLogger;

use super::logging::{self, LoggingError};

/// Capacity of the queue. At 150 bytes a line, a full queue holds about 300 KB.
const QUEUE_LINES: usize = 2_048;

/// Time for which lines are collected before they are written, so that the writer wakes at most ten times a second. A
/// line may be written this much later than it was logged.
const BATCH_PERIOD: Duration = Duration::from_millis(100);

/// Handle of the writer thread.
#[derive(Debug)]
pub struct LineLog {
    tx: SyncSender<Option<Vec<u8>>>,
    writer: JoinHandle<()>,
}

impl LineLog {
    /// Writes the queued lines and ends the thread. Lines that are logged later are dropped.
    pub fn close(self) {
        // The writer keeps emptying the queue, so this takes about `BATCH_PERIOD` at most, unless standard output
        // blocks.
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

/// Starts logging to `out`, with UTC time.
///
/// # Errors
///
/// [`LoggingError::AlreadyStarted`].
pub fn start_with(
    level: LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<LineLog, LoggingError> {
    let (writer, log) = queue_writer(out);
    WriteLogger::init(level, logging::format(), writer)
        .map_err(|_| LoggingError::AlreadyStarted)?;
    Ok(log)
}

/// Creates a queue to a new thread that writes to `out`.
#[must_use]
pub fn queue_writer(out: impl Write + Send + 'static) -> (QueueWriter, LineLog) {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let thread_dropped = Arc::clone(&dropped);
    let writer = std::thread::spawn(move || write_lines(&rx, out, &thread_dropped));
    (QueueWriter { tx: tx.clone(), line: Vec::new(), dropped }, LineLog { tx, writer })
}

/// Collects the logger's output until a write ends with a line break, and then puts it into the queue. Never blocks.
#[derive(Debug)]
pub struct QueueWriter {
    tx: SyncSender<Option<Vec<u8>>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
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
        std::thread::sleep(BATCH_PERIOD);
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
        // A failed write cannot be reported anywhere, so the whole batch is counted as one dropped line.
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        buf.clear();
    }
}
