//! A TCP proxy that injects network faults between real processes (disconnects, one-way silence, delay) and counts
//! bytes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause between two checks of the stop flag and of the silenced directions.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Indexes of the two directions.
const REQUESTS: usize = 0;
const ANSWERS: usize = 1;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// A TCP proxy from a loopback port to one address.
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
    partitioned: AtomicBool,
    stop: AtomicBool,
    /// By direction: whether data is held back.
    silent: [AtomicBool; 2],
    delay_ms: AtomicU64,
    bytes: AtomicU64,
    connections: AtomicU64,
    /// Connections with a lower number deliver nothing more, and stay open.
    first_open: AtomicU64,
    /// Both sockets of each open connection by connection number, so that a cut can shut them down.
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
            partitioned: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            silent: Default::default(),
            delay_ms: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            first_open: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::spawn(move || accepting.accept(&listener));
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// Address on which the proxy listens, to be given to the process under test.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts all connections down and closes new ones immediately, until [`Link::heal`].
    pub fn cut(&self) {
        self.shared.cut.store(true, Ordering::SeqCst);
        self.shared.shut_down_streams();
    }

    /// Begins or ends a cut that [`Link::heal`] does not end, so that it can overlap with other faults of the link.
    pub fn partition(&self, is_partitioned: bool) {
        self.shared.partitioned.store(is_partitioned, Ordering::SeqCst);
        if is_partitioned {
            self.shared.shut_down_streams();
        }
    }

    /// Holds back requests, answers, or both. Connections stay open, and the data is delivered once the silence ends.
    pub fn silence(&self, requests: bool, answers: bool) {
        self.shared.silent[REQUESTS].store(requests, Ordering::SeqCst);
        self.shared.silent[ANSWERS].store(answers, Ordering::SeqCst);
    }

    /// Stops delivery on all open connections for good, without closing them. New connections work.
    pub fn silence_open_connections(&self) {
        let next = self.shared.connections.load(Ordering::SeqCst);
        self.shared.first_open.store(next, Ordering::SeqCst);
    }

    /// Delays each chunk of data in both directions.
    pub fn delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Ends the cut, the silence and the delay.
    pub fn heal(&self) {
        self.shared.cut.store(false, Ordering::SeqCst);
        self.silence(false, false);
        self.delay(Duration::ZERO);
    }

    /// Payload bytes forwarded so far in both directions, without TCP and IP headers.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// Number of connections forwarded so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.shared.shut_down_streams();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst) || self.partitioned.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((client, _)) if !self.is_cut() => self.connect(&client),
                Ok(_) => {}
                Err(_) => std::thread::sleep(POLL_PERIOD),
            }
        }
    }

    /// Connects a client to the target. A failure closes both connections, as a broken network path does.
    fn connect(self: &Arc<Self>, client: &TcpStream) {
        let Ok(server) = TcpStream::connect(self.target) else { return };
        let is_prepared = [client, &server].iter().all(|stream| {
            stream.set_nonblocking(false).is_ok() && stream.set_nodelay(true).is_ok()
        });
        let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let (Ok(client), true) = (client.try_clone(), is_prepared) else { return };
        let number = self.connections.fetch_add(1, Ordering::SeqCst);
        self.register(number, [&client, &server]);
        let open_directions = Arc::new(AtomicU8::new(2));
        self.forward(REQUESTS, number, &open_directions, client, server);
        self.forward(ANSWERS, number, &open_directions, server_clone, client_clone);
    }

    fn register(&self, number: u64, ends: [&TcpStream; 2]) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let ends = ends.into_iter().filter_map(|end| end.try_clone().ok()).collect();
        streams.insert(number, ends);
        drop(streams);
        // A cut between the accept and the insertion did not shut these streams down.
        if self.is_cut() {
            self.shut_down_streams();
        }
    }

    fn shut_down_streams(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in std::mem::take(&mut *streams).into_values().flatten() {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Applies the delay and the silence of a direction of a connection. Returns false once the proxy stops.
    fn wait_to_forward(&self, direction: usize, number: u64) -> bool {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        let is_silent = || {
            self.silent[direction].load(Ordering::SeqCst)
                || number < self.first_open.load(Ordering::SeqCst)
        };
        while is_silent() && !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_PERIOD);
        }
        !self.stop.load(Ordering::SeqCst)
    }

    fn forward(
        self: &Arc<Self>,
        direction: usize,
        number: u64,
        open_directions: &Arc<AtomicU8>,
        mut from: TcpStream,
        mut to: TcpStream,
    ) {
        let shared = Arc::clone(self);
        let open_directions = Arc::clone(open_directions);
        std::thread::spawn(move || {
            let mut buf = vec![0; BUFFER_BYTES];
            while let Ok(count) = from.read(&mut buf) {
                if count == 0
                    || !shared.wait_to_forward(direction, number)
                    || to.write_all(&buf[..count]).is_err()
                {
                    break;
                }
                shared.bytes.fetch_add(count as u64, Ordering::SeqCst);
            }
            let _ = to.shutdown(Shutdown::Write);
            if open_directions.fetch_sub(1, Ordering::SeqCst) == 1 {
                shared.streams.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            }
        });
    }
}
