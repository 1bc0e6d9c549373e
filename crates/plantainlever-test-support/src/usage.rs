//! Memory, socket buffers and file descriptors of a running process, as the kernel reports them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Pause between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// Highest values of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory in bytes, since the start of the process.
    pub memory_bytes: usize,
    /// Bytes in the kernel's buffers of connections to the process, in both directions, while it was watched.
    pub buffered_bytes: usize,
    /// Open file descriptors while it was watched.
    pub descriptors: usize,
}

impl Usage {
    /// Memory of the process and of the kernel for its connections, in bytes. The two need not have been highest at the
    /// same time.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.memory_bytes + self.buffered_bytes
    }
}

/// Time for which the buffers of a process must not change until it counts as having read what it is going to read.
const SETTLED_TIME: Duration = Duration::from_millis(500);

/// Longest wait for that.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(20);

/// Waits until the process that listens on `addresses` has read what its clients have sent, or leaves it unread.
pub fn wait_until_settled(addresses: &[SocketAddr]) {
    let ports: Vec<u16> = addresses.iter().map(SocketAddr::port).collect();
    let started = Instant::now();
    let (mut last, mut unchanged_since) = (buffered_bytes(&ports), started);
    while unchanged_since.elapsed() < SETTLED_TIME && started.elapsed() < MAX_SETTLING_TIME {
        std::thread::sleep(SAMPLE_PERIOD);
        let bytes = buffered_bytes(&ports);
        if bytes != last {
            (last, unchanged_since) = (bytes, Instant::now());
        }
    }
}

/// Samples a process in a thread of its own.
#[derive(Debug)]
pub struct UsageMonitor {
    pid: u32,
    peaks: Arc<Peaks>,
    thread: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Peaks {
    is_closed: AtomicBool,
    buffered_bytes: AtomicUsize,
    descriptors: AtomicUsize,
}

impl UsageMonitor {
    /// Begins to watch the process `pid`, which listens on `addresses`.
    #[must_use]
    pub fn start(pid: u32, addresses: &[SocketAddr]) -> Self {
        let ports: Vec<u16> = addresses.iter().map(SocketAddr::port).collect();
        let peaks: Arc<Peaks> = Arc::default();
        let sampled = Arc::clone(&peaks);
        let thread = std::thread::spawn(move || {
            while !sampled.is_closed.load(Ordering::SeqCst) {
                sampled.buffered_bytes.fetch_max(buffered_bytes(&ports), Ordering::SeqCst);
                sampled.descriptors.fetch_max(open_descriptors(pid), Ordering::SeqCst);
                std::thread::sleep(SAMPLE_PERIOD);
            }
        });
        Self { pid, peaks, thread }
    }

    /// Ends the sampling. The memory is 0 if the process has ended.
    #[must_use]
    pub fn close(self) -> Usage {
        self.peaks.is_closed.store(true, Ordering::SeqCst);
        // A panic of the thread has been reported by the panic hook.
        let _ = self.thread.join();
        Usage {
            memory_bytes: peak_memory_bytes(self.pid),
            buffered_bytes: self.peaks.buffered_bytes.load(Ordering::SeqCst),
            descriptors: self.peaks.descriptors.load(Ordering::SeqCst),
        }
    }
}

/// Highest resident memory of a process since its start; 0 if it has ended.
#[must_use]
pub fn peak_memory_bytes(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = peak.and_then(|text| text.trim().trim_end_matches("kB").trim().parse::<usize>().ok());
    kib.unwrap_or(0) * 1024
}

fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Bytes that wait to be read or sent in connections whose local port is one of `ports`.
fn buffered_bytes(ports: &[u16]) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(|line| connection_bytes(line, ports)).sum()
}

/// State of a listening socket in the kernel's table, whose queue counts connections instead of bytes.
const LISTEN: &str = "0A";

/// A line has: number, local and remote address, state, and the bytes to send and to read, in hexadecimal digits.
fn connection_bytes(line: &str, ports: &[u16]) -> Option<usize> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = u16::from_str_radix(fields.get(1)?.split_once(':')?.1, 16).ok()?;
    if !ports.contains(&port) || *fields.get(3)? == LISTEN {
        return None;
    }
    let (unsent, unread) = fields.get(4)?.split_once(':')?;
    let bytes = |text| usize::from_str_radix(text, 16).ok();
    Some(bytes(unsent)? + bytes(unread)?)
}
