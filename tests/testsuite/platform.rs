//! Tests of the platform clients and the catalogue.

mod catalogue;
mod commits;
mod http;
mod relay;
mod sync;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plantainlever::clock::{Clock, ManualClock, SystemClock};
use plantainlever::config::Settings;
use plantainlever::local::objects::MemoryObjects;
use plantainlever::local::table::MemoryTable;
use plantainlever::local::vms::MemoryVms;
use plantainlever::local::{Entry, History};
use plantainlever::ops::Context;
use plantainlever::ops::api::status::StatusSources;
use plantainlever::ops::context::{SharedVmListing, StopSignal};
use plantainlever::peer::{
    Directory, ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat,
    HeartbeatReply, HoldAnswer, HoldQuery, PeerError, Peers, RecordKey, RecordKeyReply, Relay,
    RelayReply,
};
use plantainlever::platform::group_commit::GroupCommit;
use plantainlever::platform::http::HttpWorkers;
use plantainlever::platform::relay::answer;
use plantainlever::platform::table::{CommitResult, Condition, Table, Transaction, Write};
use plantainlever::telemetry::Metrics;
use plantainlever_test_support::fault::{Faults, FaultyTable};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(1);

/// Bound of all waits for a condition.
const WAIT: Duration = Duration::from_secs(20);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT;
    while !condition() {
        assert!(Instant::now() < end, "{what} did not happen within {WAIT:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn settings() -> Settings {
    let any = loopback();
    serde_json::from_value(json!({
        "name": "vm", "domain": "a", "domains": ["a", "b"], "listen": any, "peer_listen": any,
        "peers": [{"domain": "a", "address": "127.0.0.1:1"}, {"domain": "b", "address": "127.0.0.1:2"}],
        "platform": {"table": any, "objects": any, "vms": any},
        "timing": {"catalogue_poll_ms": 100, "vm_poll_ms": 100},
    }))
    .expect("the settings are complete")
}

fn put(operation: &str, key: &str, conditions: Vec<Condition>) -> Transaction {
    let writes = vec![Write::Put { key: key.to_owned(), value: json!({"by": operation}) }];
    Transaction { operation: operation.to_owned(), conditions, writes }
}

fn absent(key: &str) -> Condition {
    Condition::Absent { key: key.to_owned() }
}

fn committed(revision: u64) -> CommitResult {
    CommitResult::Committed { revision }
}

/// The operations whose writes took effect, read from the values that [`put`] writes.
fn effects(history: &History) -> Vec<String> {
    let mut effects = Vec::new();
    for (_, entry) in history.snapshot() {
        if let Entry::Transaction { transaction, result: CommitResult::Committed { .. } } = entry {
            for write in transaction.writes {
                if let Write::Put { value: Value::Object(value), .. } = write {
                    effects.extend(value["by"].as_str().map(str::to_owned));
                }
            }
        }
    }
    effects
}

/// Peers that reach the table of another place, unless they are cut off.
#[derive(Debug)]
struct RelayPeers {
    table: Arc<dyn Table>,
    /// Addresses that answer.
    reachable: Vec<&'static str>,
    /// Addresses that were called.
    called: std::sync::Mutex<Vec<String>>,
}

impl RelayPeers {
    fn new(table: Arc<dyn Table>, reachable: &[&'static str]) -> Arc<Self> {
        Arc::new(Self { table, reachable: reachable.to_vec(), called: Default::default() })
    }

    fn calls(&self) -> Vec<String> {
        std::mem::take(&mut *self.called.lock().expect("no test thread panicked"))
    }
}

fn cut<A>(address: &str) -> Result<A, PeerError> {
    Err(PeerError::Unreachable { address: address.to_owned(), cause: "cut".to_owned() })
}

impl Peers for RelayPeers {
    fn heartbeat(&self, to: &str, _: Heartbeat, _: Duration) -> Result<HeartbeatReply, PeerError> {
        cut(to)
    }

    fn query_hold(&self, to: &str, _: HoldQuery, _: Duration) -> Result<HoldAnswer, PeerError> {
        cut(to)
    }

    fn hand_over(&self, to: &str, _: HandOver, _: Duration) -> Result<HandOverReply, PeerError> {
        cut(to)
    }

    fn record_key(&self, to: &str, _: RecordKey, _: Duration) -> Result<RecordKeyReply, PeerError> {
        cut(to)
    }

    fn relay(&self, to: &str, msg: Relay, _: Duration) -> Result<RelayReply, PeerError> {
        self.called.lock().expect("no test thread panicked").push(to.to_owned());
        if self.reachable.contains(&to) { Ok(answer(self.table.as_ref(), &msg)) } else { cut(to) }
    }

    fn forward(
        &self,
        to: &str,
        _: ForwardedRequest,
        _: Duration,
    ) -> Result<ForwardedAnswer, PeerError> {
        cut(to)
    }
}

/// A table in this process with faults in front of it, and a manual clock.
struct InProcess {
    table: MemoryTable,
    faults: Faults,
    clock: Arc<ManualClock>,
    faulty: Arc<dyn Table>,
}

impl InProcess {
    fn new() -> Self {
        let table = MemoryTable::new(History::default());
        let faults = Faults::default();
        let clock = Arc::new(ManualClock::new());
        let faulty =
            FaultyTable::new(Arc::new(table.clone()), faults.clone(), clock.clone(), TIMEOUT);
        Self { table, faults, clock, faulty: Arc::new(faulty) }
    }

    fn deadline(&self) -> Instant {
        self.clock.now() + Duration::from_secs(5)
    }

    fn commits(&self, process: &str) -> GroupCommit {
        let table = Arc::clone(&self.faulty);
        GroupCommit::inline(table, self.clock.clone(), Metrics::disabled(), &settings(), process)
    }

    /// A context whose process commits inline.
    fn context(&self, process: &str) -> Context {
        let clock = self.clock.clone();
        context(process, Arc::clone(&self.faulty), clock, self.commits(process))
    }
}

fn context(
    process: &str,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    commits: GroupCommit,
) -> Context {
    Context {
        cfg: Arc::new(settings()),
        process: process.to_owned(),
        clock,
        table: Arc::clone(&table),
        commits,
        objects: Arc::new(MemoryObjects::default()),
        vms: Arc::new(MemoryVms::default()),
        workers: Arc::new(HttpWorkers::new(TIMEOUT, Metrics::disabled())),
        catalogue: Default::default(),
        vm_listing: SharedVmListing::default(),
        peers: RelayPeers::new(table, &[]),
        directory: Directory::default(),
        status: StatusSources::default(),
        metrics: Metrics::disabled(),
        stop: StopSignal::default(),
    }
}

/// Group commit in a thread, on the system's clock.
fn threaded(table: Arc<dyn Table>, writes_per_second: u32) -> GroupCommit {
    let mut cfg = settings();
    cfg.limits.writes_per_second = writes_per_second;
    GroupCommit::start(table, Arc::new(SystemClock), Metrics::disabled(), &cfg, "p1")
        .expect("a thread can be started")
}
