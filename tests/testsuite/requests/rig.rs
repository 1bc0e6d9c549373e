//! Runs the request path of entry processes inside the test process, with stand-in executors on loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use plantainlever::catalogue::document::row_key;
use plantainlever::clock::{Clock, SystemClock};
use plantainlever::config::Settings;
use plantainlever::local::target::LocalTarget;
use plantainlever::local::{History, HistoryEvent};
use plantainlever::ops::Context;
use plantainlever::ops::api::status::StatusSources;
use plantainlever::ops::context::{SharedVmListing, StopState};
use plantainlever::ops::dispatch::Dispatcher;
use plantainlever::ops::front::{ApiRoutes, Front};
use plantainlever::ops::keys::IdempotencyKeys;
use plantainlever::peer::message::{
    ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat, HeartbeatReply,
    HoldAnswer, HoldQuery, RecordKey, RecordKeyReply, Relay, RelayReply,
};
use plantainlever::peer::{Directory, Member, PeerError, Peers};
use plantainlever::platform::PlatformError;
use plantainlever::platform::group_commit::GroupCommit;
use plantainlever::platform::objects::Objects;
use plantainlever::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Row,
    Table, Transaction, Write,
};
use plantainlever::platform::target::HttpTargets;
use plantainlever::platform::vms::{Vm, VmList, VmListing, VmRole, VmState};
use plantainlever::platform::worker::WorkerClient;
use plantainlever::request::key::KeyLimits;
use plantainlever::telemetry::Metrics;
use plantainlever_test_support::wait;

/// Longest wait of a test for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for a condition. Fails the test if it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    wait::until_true(what, WAIT_TIMEOUT, &mut condition, || "not true");
}

/// A table in memory that fails all calls while `down` is set.
#[derive(Debug, Default)]
pub struct TestTable {
    pub down: AtomicBool,
    rows: Mutex<(u64, BTreeMap<String, Row>)>,
}

impl TestTable {
    fn check(&self) -> Result<(), PlatformError> {
        if self.down.load(Ordering::SeqCst) {
            let (address, cause) = ("table".to_owned(), "down".to_owned());
            return Err(PlatformError::Unreachable { service: "table", address, cause });
        }
        Ok(())
    }

    /// Keys of all rows, in order.
    pub fn keys(&self) -> Vec<String> {
        self.rows.lock().unwrap().1.keys().cloned().collect()
    }
}

impl Table for TestTable {
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError> {
        self.check()?;
        let rows = self.rows.lock().unwrap();
        let wanted = |key: &String| {
            req.keys.contains(key) || req.prefixes.iter().any(|prefix| key.starts_with(prefix))
        };
        let found = rows.1.values().filter(|row| wanted(&row.key)).cloned().collect();
        Ok(ReadResponse { revision: rows.0, rows: found })
    }

    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError> {
        self.check()?;
        let mut rows = self.rows.lock().unwrap();
        let holds = |condition: &&Condition| match condition {
            Condition::Absent { key } => !rows.1.contains_key(key),
            Condition::AtRevision { key, revision } => {
                rows.1.get(key).is_some_and(|row| row.revision == *revision)
            }
            Condition::FieldEquals { .. } => unreachable!("the request path uses no epochs"),
        };
        let failed: Vec<&Condition> = txn.conditions.iter().filter(|c| !holds(c)).collect();
        if !failed.is_empty() {
            let failed = failed.iter().map(|condition| condition.key().to_owned()).collect();
            return Ok(CommitResult::Conflict { failed });
        }
        rows.0 += 1;
        let revision = rows.0;
        for write in &txn.writes {
            match write {
                Write::Put { key, value } => {
                    let value = Some(value.clone());
                    rows.1.insert(key.clone(), Row { key: key.clone(), revision, value });
                }
                Write::Delete { key } => {
                    rows.1.remove(key);
                }
            }
        }
        Ok(CommitResult::Committed { revision })
    }

    fn operation(&self, _: &OperationQuery) -> Result<OperationStatus, PlatformError> {
        self.check()?;
        Ok(OperationStatus::Unknown)
    }
}

/// Platform services that the request path does not use.
#[derive(Debug)]
struct Unused;

impl Objects for Unused {
    fn put(&self, _: &str, _: &[u8]) -> Result<(), PlatformError> {
        unreachable!()
    }
    fn get(&self, _: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        unreachable!()
    }
}

impl VmList for Unused {
    fn list(&self) -> Result<VmListing, PlatformError> {
        unreachable!()
    }
}

impl WorkerClient for Unused {
    fn inventory(
        &self,
        _: &str,
        _: &plantainlever::platform::worker::InventoryRequest,
    ) -> Result<plantainlever::platform::worker::Inventory, PlatformError> {
        unreachable!()
    }
    fn start(
        &self,
        _: &str,
        _: &plantainlever::platform::worker::StartRequest,
    ) -> Result<plantainlever::platform::worker::StartResult, PlatformError> {
        unreachable!()
    }
    fn renew(
        &self,
        _: &str,
        _: &plantainlever::platform::worker::RenewRequest,
    ) -> Result<(), PlatformError> {
        unreachable!()
    }
    fn checkpoint(
        &self,
        _: &str,
        _: &plantainlever::platform::worker::CheckpointRequest,
    ) -> Result<(), PlatformError> {
        unreachable!()
    }
    fn throttle(
        &self,
        _: &str,
        _: &plantainlever::platform::worker::ThrottleRequest,
    ) -> Result<(), PlatformError> {
        unreachable!()
    }
    fn stop(
        &self,
        _: &str,
        _: &plantainlever::platform::worker::StopRequest,
    ) -> Result<(), PlatformError> {
        unreachable!()
    }
}

/// Answers the messages of peers for one process.
pub trait Node: Send + Sync {
    fn heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply;
    fn record_key(&self, msg: &RecordKey) -> RecordKeyReply;
    fn forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer;
}

/// Delivers messages between the processes of a test by peer address. Addresses can be cut off.
#[derive(Clone, Default)]
pub struct TestNetwork {
    nodes: Arc<Mutex<BTreeMap<String, Arc<dyn Node>>>>,
    cut: Arc<Mutex<BTreeSet<String>>>,
    forwards: Arc<AtomicU64>,
}

impl std::fmt::Debug for TestNetwork {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TestNetwork")
    }
}

impl TestNetwork {
    pub fn connect(&self, address: &str, node: Arc<dyn Node>) {
        self.nodes.lock().unwrap().insert(address.to_owned(), node);
    }

    pub fn cut(&self, address: &str) {
        self.cut.lock().unwrap().insert(address.to_owned());
    }

    /// Number of forwarded requests that reached a peer.
    pub fn forwards(&self) -> u64 {
        self.forwards.load(Ordering::SeqCst)
    }

    pub fn heal(&self, address: &str) {
        self.cut.lock().unwrap().remove(address);
    }

    fn node(&self, address: &str) -> Result<Arc<dyn Node>, PeerError> {
        let cut = self.cut.lock().unwrap().contains(address);
        let node = self.nodes.lock().unwrap().get(address).cloned().filter(|_| !cut);
        node.ok_or_else(|| PeerError::Unreachable {
            address: address.to_owned(),
            cause: "Connection refused (os error 111)".to_owned(),
        })
    }
}

impl Peers for TestNetwork {
    fn heartbeat(
        &self,
        address: &str,
        msg: Heartbeat,
        _: Duration,
    ) -> Result<HeartbeatReply, PeerError> {
        Ok(self.node(address)?.heartbeat(&msg))
    }
    fn query_hold(&self, _: &str, _: HoldQuery, _: Duration) -> Result<HoldAnswer, PeerError> {
        unreachable!()
    }
    fn hand_over(&self, _: &str, _: HandOver, _: Duration) -> Result<HandOverReply, PeerError> {
        unreachable!()
    }
    fn record_key(
        &self,
        address: &str,
        msg: RecordKey,
        _: Duration,
    ) -> Result<RecordKeyReply, PeerError> {
        Ok(self.node(address)?.record_key(&msg))
    }
    fn relay(&self, _: &str, _: Relay, _: Duration) -> Result<RelayReply, PeerError> {
        unreachable!()
    }
    fn forward(
        &self,
        address: &str,
        msg: ForwardedRequest,
        _: Duration,
    ) -> Result<ForwardedAnswer, PeerError> {
        let node = self.node(address)?;
        self.forwards.fetch_add(1, Ordering::SeqCst);
        Ok(node.forward(&msg))
    }
}

/// The surroundings that all processes of a test share: table, network, directory and VM list.
#[derive(Clone, Default)]
pub struct Site {
    pub history: History,
    pub table: Arc<TestTable>,
    pub network: TestNetwork,
    pub directory: Directory,
    pub listing: SharedVmListing,
}

/// Loopback address with a port that the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Site {
    /// Starts an executor of the service `echo` and adds it to the VM list.
    pub fn target(&self, name: &str, domain: &str) -> LocalTarget {
        let target = LocalTarget::start(name, any_port(), self.history.clone()).unwrap();
        let mut listing = VmListing::clone(&self.listing.snapshot());
        listing.vms.push(Vm {
            name: name.to_owned(),
            role: VmRole::Target,
            state: VmState::Live,
            domain: domain.to_owned(),
            rack: "r1".to_owned(),
            address: target.address().to_string(),
            service: Some("echo".to_owned()),
        });
        self.listing.replace(listing);
        target
    }

    /// Sets the state of an executor in the VM list.
    pub fn list_as(&self, name: &str, state: VmState) {
        let mut listing = VmListing::clone(&self.listing.snapshot());
        for vm in listing.vms.iter_mut().filter(|vm| vm.name == name) {
            vm.state = state;
        }
        self.listing.replace(listing);
    }

    /// Context of a process, with a stop signal of its own.
    pub fn context(&self, process: &str, domain: &str) -> Context {
        let mut cfg: Settings = serde_json::from_value(serde_json::json!({
            "name": process, "domain": domain, "domains": ["a", "b"],
            "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
            "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "vms": "127.0.0.1:1"},
        }))
        .unwrap();
        cfg.limits.front_threads = 32;
        cfg.timing.health_poll_ms = 200;
        cfg.timing.read_timeout_ms = 300;
        cfg.timing.balancer_wait_ms = 50;
        let table = Arc::clone(&self.table) as Arc<dyn Table>;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let metrics = Metrics::disabled();
        let commits =
            GroupCommit::inline(Arc::clone(&table), Arc::clone(&clock), metrics, &cfg, process);
        let cx = Context {
            cfg: Arc::new(cfg),
            process: process.to_owned(),
            clock,
            table,
            commits,
            objects: Arc::new(Unused),
            vms: Arc::new(Unused),
            workers: Arc::new(Unused),
            catalogue: Default::default(),
            vm_listing: self.listing.clone(),
            peers: Arc::new(self.network.clone()),
            directory: self.directory.clone(),
            status: StatusSources::default(),
            metrics: Metrics::disabled(),
            stop: StopState::default(),
        };
        let entry = serde_json::json!({
            "kind": "entry", "owner": "tests", "class": "latency-critical", "limits": {},
        });
        let row = Row { key: row_key("echo"), revision: 1, value: Some(entry) };
        cx.catalogue.apply(0, &ReadResponse { revision: 1, rows: vec![row] }, Instant::now());
        cx
    }

    /// Starts the request path of a process that has all slots of its domain.
    pub fn entry(&self, process: &str, domain: &str) -> EntryProcess {
        EntryProcess::start(self.context(process, domain))
    }

    /// Adds a process to the directory.
    pub fn list_member(&self, process: &str, domain: &str) {
        self.directory.insert(Member {
            process: process.to_owned(),
            domain: domain.to_owned(),
            peer_address: process.to_owned(),
            address: process.to_owned(),
        });
    }

    /// Bodies of the requests that executors have started to run, in order.
    pub fn run_bodies(&self) -> Vec<Vec<u8>> {
        let events = self.history.snapshot();
        let started = events.into_iter().filter_map(|(_, event)| match event {
            HistoryEvent::RequestStarted { body, .. } => Some(body),
            _ => None,
        });
        started.collect()
    }

    /// Number of runs of a request with this body.
    pub fn runs_of(&self, body: &[u8]) -> usize {
        self.run_bodies().iter().filter(|ran| *ran == body).count()
    }
}

/// The request path of one process.
pub struct EntryProcess {
    pub cx: Context,
    pub dispatcher: Dispatcher,
    pub keys: IdempotencyKeys,
    pub front: Front,
}

/// An answer as the caller received it.
#[derive(Debug, PartialEq)]
pub struct CallerAnswer {
    pub status: u16,
    pub outcome: String,
    pub body: Vec<u8>,
}

impl EntryProcess {
    pub fn start(cx: Context) -> Self {
        let targets =
            Arc::new(HttpTargets::new(Arc::clone(&cx.clock), cx.cfg.limits.max_answer_bytes));
        let dispatcher = Dispatcher::start(cx.clone(), targets, None).unwrap();
        let keys = IdempotencyKeys::start(cx.clone(), KeyLimits::default()).unwrap();
        let front =
            Front::start(&cx, dispatcher.clone(), keys.clone(), ApiRoutes::default()).unwrap();
        Self { cx, dispatcher, keys, front }
    }

    /// Confirms that the catalogue is current, as a read of the table without changes does.
    pub fn confirm_catalogue(&self) {
        let unchanged = ReadResponse { revision: 1, rows: Vec::new() };
        assert!(self.cx.catalogue.apply(1, &unchanged, Instant::now()));
    }

    /// Waits until at least `count` slots are free.
    pub fn wait_for_slots(&self, count: u32) {
        wait_for("free slots", || self.dispatcher.free_slots() >= count);
    }

    /// Sends a request on a connection of its own.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> CallerAnswer {
        call(self.front.address(), method, path, headers, body)
    }

    /// Sends a non-idempotent request to the service `echo`.
    pub fn post(&self, query: &str, body: &[u8]) -> CallerAnswer {
        self.call("POST", &format!("/v1/services/echo/x{query}"), &[], body)
    }

    pub fn close(self) {
        self.cx.stop.stop();
        self.front.close();
        self.dispatcher.close();
        self.keys.close();
    }
}

/// Sends a request to `address` on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> CallerAnswer {
    let agent = ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(WAIT_TIMEOUT))
            .build(),
    );
    let mut req =
        ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let mut answer = agent.run(req.body(body.to_vec()).unwrap()).unwrap();
    let outcome = answer.headers().get("Plantainlever-Outcome");
    let outcome = outcome.map_or("none", |value| value.to_str().unwrap()).to_owned();
    let body = answer.body_mut().read_to_vec().unwrap();
    CallerAnswer { status: answer.status().as_u16(), outcome, body }
}

impl Node for EntryProcess {
    fn heartbeat(&self, _: &Heartbeat) -> HeartbeatReply {
        unreachable!("these processes have no heartbeats")
    }
    fn record_key(&self, msg: &RecordKey) -> RecordKeyReply {
        self.keys.on_record(msg)
    }
    fn forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer {
        self.dispatcher.on_forward(msg)
    }
}
