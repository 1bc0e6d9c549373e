//! A TCP relay that can be cut, silenced and slowed, and that counts bytes, for faults between real processes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often the accepting thread looks for its stop flag.
const POLL: Duration = Duration::from_millis(10);

/// Directions of a relay.
const REQUESTS: usize = 0;
const ANSWERS: usize = 1;

/// Bytes moved at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// A relay from a loopback port to one address.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    cut: AtomicBool,
    stop: AtomicBool,
    /// Requests, or answers, are held up until this is over.
    silent: [AtomicBool; 2],
    delay_ms: AtomicU64,
    bytes: AtomicU64,
    connections: AtomicU64,
    /// Both ends of the open connections by number, so that a cut can end them.
    streams: Mutex<BTreeMap<u64, Vec<TcpStream>>>,
}

impl Link {
    /// Relays connections from a new loopback port to `target`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn to(target: SocketAddr) -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            cut: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            silent: Default::default(),
            delay_ms: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::spawn(move || accepting.accept(&listener));
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// The address to give to the process under test.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends all connections and closes new ones at once.
    pub fn cut(&self) {
        self.shared.cut.store(true, Ordering::SeqCst);
        self.shared.end_streams();
    }

    /// Holds up requests, answers, or both. Connections stay open, and what was held up arrives once it is over.
    pub fn silence(&self, requests: bool, answers: bool) {
        self.shared.silent[REQUESTS].store(requests, Ordering::SeqCst);
        self.shared.silent[ANSWERS].store(answers, Ordering::SeqCst);
    }

    /// Delays everything by this much.
    pub fn delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Lets new connections through again, and everything without delay.
    pub fn heal(&self) {
        self.shared.cut.store(false, Ordering::SeqCst);
        self.silence(false, false);
        self.delay(Duration::ZERO);
    }

    /// Bytes relayed so far, both ways, without TCP and IP headers.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// Connections relayed so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.shared.end_streams();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((near, _)) if !self.cut.load(Ordering::SeqCst) => self.connect(&near),
                Ok(_) => {}
                Err(_) => std::thread::sleep(POLL),
            }
        }
    }

    /// Joins a connection with a new one to the target. A failure closes both, as a broken link does.
    fn connect(self: &Arc<Self>, near: &TcpStream) {
        let Ok(far) = TcpStream::connect(self.target) else { return };
        let prepared = [near, &far].iter().all(|stream| {
            stream.set_nonblocking(false).is_ok() && stream.set_nodelay(true).is_ok()
        });
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        let (Ok(near), true) = (near.try_clone(), prepared) else { return };
        let number = self.connections.fetch_add(1, Ordering::SeqCst);
        self.keep(number, [&near, &far]);
        let open = Arc::new(AtomicU8::new(2));
        self.pump(REQUESTS, number, &open, near, far);
        self.pump(ANSWERS, number, &open, far_copy, near_copy);
    }

    fn keep(&self, number: u64, ends: [&TcpStream; 2]) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let ends = ends.into_iter().filter_map(|end| end.try_clone().ok()).collect();
        streams.insert(number, ends);
        drop(streams);
        // A cut that came between the accept and here has not seen these streams.
        if self.cut.load(Ordering::SeqCst) {
            self.end_streams();
        }
    }

    fn end_streams(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in std::mem::take(&mut *streams).into_values().flatten() {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Waits as long as the direction is silent or slow. False once the relay stops.
    fn pass(&self, direction: usize) -> bool {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        while self.silent[direction].load(Ordering::SeqCst) && !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(POLL);
        }
        !self.stop.load(Ordering::SeqCst)
    }

    fn pump(
        self: &Arc<Self>,
        direction: usize,
        number: u64,
        open: &Arc<AtomicU8>,
        mut from: TcpStream,
        mut to: TcpStream,
    ) {
        let shared = Arc::clone(self);
        let open = Arc::clone(open);
        std::thread::spawn(move || {
            let mut chunk = vec![0; CHUNK_BYTES];
            while let Ok(count) = from.read(&mut chunk) {
                if count == 0 || !shared.pass(direction) || to.write_all(&chunk[..count]).is_err() {
                    break;
                }
                shared.bytes.fetch_add(count as u64, Ordering::SeqCst);
            }
            let _ = to.shutdown(Shutdown::Write);
            if open.fetch_sub(1, Ordering::SeqCst) == 1 {
                shared.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            }
        });
    }
}
