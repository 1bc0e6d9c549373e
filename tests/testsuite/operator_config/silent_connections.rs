//! A real process whose open connections to the store go silent, while new ones work.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use plantainlever_test_support::link::Link;
use plantainlever_test_support::soak::NodeProcess;
use plantainlever_test_support::soak::serve::{self, SharedWorld, lock};
use plantainlever_test_support::soak::world::World;
use plantainlever_test_support::wait::{BOUND, until};
use tokio::sync::watch;

const HOST: &str = "config.example";

/// Time after which an acknowledged configuration must be in force; the platform's `config-apply-ms`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time after a disruption from which that holds; the platform's `stable-window-ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Requests sent at once, so that the process opens as many connections to the store.
const PARALLEL_REQUESTS: usize = 12;

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
        let thread = std::thread::spawn(move || serve::run(&served, 0, &tx, &stopped));
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

/// Asks for the number of waiting jobs of a route's queue, and returns the status.
fn count_status(front: SocketAddr, prefix: &str) -> Option<u16> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(BOUND))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    let agent: ureq::Agent = config.into();
    let answer = agent.get(format!("http://{front}{prefix}")).header("host", HOST).call();
    answer.ok().map(|answer| answer.status().as_u16())
}

/// Sends requests at once over a slow link, so that the process keeps several idle connections to the store.
fn open_idle_connections(link: &Link, front: SocketAddr, prefix: &str) {
    link.delay(Duration::from_millis(150));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_REQUESTS {
            scope.spawn(|| count_status(front, prefix));
        }
    });
    link.heal();
}

/// Guards against a route that is refused as unknown long after it was added, since reads of the configuration use one
/// silent connection after the other.
#[test]
fn a_new_route_is_served_in_time_after_all_open_connections_went_silent() {
    let store = Store::start();
    let link = Link::to(store.address).unwrap();
    let mut prefixes = vec!["/first/".to_owned()];
    store.publish(1, &prefixes);
    let binary = Path::new(env!("CARGO_BIN_EXE_plantainlever"));
    let node = NodeProcess::start(binary, 0, link.address()).unwrap();
    until("the first route", BOUND, || match count_status(node.front(), "/first/") {
        Some(200) => Ok(()),
        status => Err(format!("{status:?}")),
    });
    open_idle_connections(&link, node.front(), "/first/");
    link.silence_open_connections();
    let silent_at = Instant::now();
    // Changes from here on must be in force after the same time as in calm.
    std::thread::sleep(STABLE_WINDOW - APPLY_TIME);
    for version in 2..=5 {
        prefixes.push(format!("/route-{version}/"));
        store.publish(version, &prefixes);
        std::thread::sleep(APPLY_TIME);
        let route = prefixes.last().unwrap();
        // A refusal with 503 says that the process can't decide; it is no decision by an old configuration.
        let status = until("a decision", BOUND, || match count_status(node.front(), route) {
            Some(503) => Err("503"),
            status => Ok(status),
        });
        let log = node.last_log_lines().join("\n");
        assert_eq!(
            status,
            Some(200),
            "{route} {:?} after the silence:\n{log}",
            silent_at.elapsed()
        );
    }
}
