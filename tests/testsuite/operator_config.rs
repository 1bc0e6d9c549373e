//! The operator config in force in a process, while its connections to the store fail.

mod decisions;
mod silent_connections;
mod waits;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use plantainlever_test_support::soak::serve::{self, SharedWorld, lock};
use plantainlever_test_support::soak::world::World;
use plantainlever_test_support::wait::BOUND;
use tokio::sync::watch;

const HOST: &str = "config.example";

/// Time after which an acknowledged configuration must be in force; the platform's `config-apply-ms`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time after a disruption from which that holds; the platform's `stable-window-ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Stand-in of the store, in a thread of its own.
struct Store {
    world: SharedWorld,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<Result<(), std::io::Error>>>,
}

impl Store {
    fn start() -> Self {
        let world: SharedWorld = Arc::new(Mutex::new(World::default()));
        lock(&world).put_row("layout", "shards", Some(BASE64_STANDARD.encode("1")));
        let (stop, stopped) = watch::channel(false);
        let (tx, rx) = mpsc::channel();
        let served = Arc::clone(&world);
        let thread = std::thread::spawn(move || serve::run(&served, 1, 0, &tx, &stopped));
        let address = rx.recv_timeout(BOUND).unwrap()[0];
        Self { world, address, stop, thread: Some(thread) }
    }

    /// Stores a configuration with one route for each prefix.
    fn publish(&self, version: u64, prefixes: &[String]) {
        let routes: Vec<serde_json::Value> = prefixes
            .iter()
            .map(|prefix| {
                serde_json::json!({ "name": prefix, "host": HOST, "path-prefix": prefix, "service": "pool" })
            })
            .collect();
        let config = serde_json::json!({ "version": version, "routes": routes }).to_string();
        lock(&self.world).put_row("op", "config", Some(BASE64_STANDARD.encode(config)));
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}
