//! Entry processes without sockets, for tests: an in-memory table, stand-in workers, and peers that call each other
//! directly.

mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use plantainlever::catalogue::cache::{CatalogueCache, SharedCatalogue};
use plantainlever::clock::{Clock, SystemClock};
use plantainlever::config::{LogSettings, PlatformSettings, Settings, Timing};
use plantainlever::local::History;
use plantainlever::local::history::HistoryEvent;
use plantainlever::local::worker::{Checkpoints, WorkerGroup, WorkerSpec};
use plantainlever::ops::Context;
use plantainlever::ops::api::status::StatusSources;
use plantainlever::ops::api::{ApiRequest, ApiResponse, tasks};
use plantainlever::ops::context::{SharedVmListing, StopState};
use plantainlever::ops::schedule::DomainScheduler;
use plantainlever::peer::{
    Directory, ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat,
    HeartbeatReply, HoldAnswer, HoldQuery, Member, PeerError, Peers, RecordKey, RecordKeyReply,
    Relay, RelayReply,
};
use plantainlever::platform::PlatformError;
use plantainlever::platform::group_commit::GroupCommit;
use plantainlever::platform::http::HttpWorkers;
use plantainlever::platform::objects::Objects;
use plantainlever::platform::table::{ReadRequest, Table};
use plantainlever::platform::vms::{Vm, VmList, VmListing, VmRole, VmState};
use plantainlever::platform::worker::WorkerClient;
use plantainlever::telemetry::Metrics;
use plantainlever::worker::Resources;
use plantainlever_test_support::checker::{CheckLimits, check};
use plantainlever_test_support::wait;
use serde_json::{Value, json};

use super::gate::{Gate, GatedWorkers};

pub use store::{Store, StoreFaults, StoreLink};

/// Time after which a condition that does not become true fails the test.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Waits until `condition` returns a value, and returns it.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    wait::until(what, MAX_WAIT, || condition().ok_or("no value"))
}

/// Network between the schedulers. A process that is cut off is unreachable from those that are not.
#[derive(Debug, Default)]
pub struct Network {
    schedulers: RwLock<BTreeMap<String, Arc<DomainScheduler>>>,
    cut: RwLock<BTreeSet<String>>,
}

impl Network {
    /// Cuts a process off from all others, except those that are cut off too.
    pub fn cut(&self, process: &str) {
        self.cut.write().unwrap().insert(process.to_owned());
    }

    /// Reconnects a process.
    pub fn join(&self, process: &str) {
        self.cut.write().unwrap().remove(process);
    }
}

/// The network as one process sees it. Addresses are process names.
#[derive(Debug)]
pub struct Link {
    network: Arc<Network>,
    process: String,
}

impl Link {
    fn scheduler(&self, address: &str) -> Result<Arc<DomainScheduler>, PeerError> {
        let unreachable =
            || PeerError::Unreachable { address: address.to_owned(), cause: "cut off".to_owned() };
        let cut = self.network.cut.read().unwrap();
        if cut.contains(address) != cut.contains(&self.process) {
            return Err(unreachable());
        }
        self.network.schedulers.read().unwrap().get(address).cloned().ok_or_else(unreachable)
    }
}

impl Peers for Link {
    fn heartbeat(&self, a: &str, _: Heartbeat, _: Duration) -> Result<HeartbeatReply, PeerError> {
        Err(unused(a))
    }

    fn query_hold(&self, a: &str, msg: HoldQuery, _: Duration) -> Result<HoldAnswer, PeerError> {
        Ok(self.scheduler(a)?.on_hold_query(&msg))
    }

    fn hand_over(&self, a: &str, msg: HandOver, _: Duration) -> Result<HandOverReply, PeerError> {
        Ok(self.scheduler(a)?.on_hand_over(&msg))
    }

    fn record_key(&self, a: &str, _: RecordKey, _: Duration) -> Result<RecordKeyReply, PeerError> {
        Err(unused(a))
    }

    fn relay(&self, a: &str, _: Relay, _: Duration) -> Result<RelayReply, PeerError> {
        Err(unused(a))
    }

    fn forward(
        &self,
        a: &str,
        _: ForwardedRequest,
        _: Duration,
    ) -> Result<ForwardedAnswer, PeerError> {
        Err(unused(a))
    }
}

fn unused(address: &str) -> PeerError {
    PeerError::Unreachable { address: address.to_owned(), cause: "not part of the test".to_owned() }
}

#[derive(Debug)]
struct NoObjects;

impl Objects for NoObjects {
    fn put(&self, _: &str, _: &[u8]) -> Result<(), PlatformError> {
        Ok(())
    }

    fn get(&self, _: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(None)
    }
}

#[derive(Debug)]
struct NoVms;

impl VmList for NoVms {
    fn list(&self) -> Result<VmListing, PlatformError> {
        Ok(VmListing::default())
    }
}

/// Relay that counts the bytes between the schedulers and the workers.
pub type CountingRelay = plantainlever_test_support::link::Link;

/// Deployment with up to three domains.
#[derive(Debug)]
pub struct Site {
    pub store: Arc<Store>,
    pub workers: WorkerGroup,
    pub history: History,
    pub network: Arc<Network>,
    pub timing: Timing,
    vms: VmListing,
    domains: Vec<String>,
    /// A relay in front of the workers, if they are called over HTTP.
    pub link: Option<CountingRelay>,
}

/// An entry process.
#[derive(Debug)]
pub struct Process {
    pub cx: Context,
    pub store: Arc<StoreLink>,
    pub scheduler: Option<Arc<DomainScheduler>>,
    pub gate: Arc<Gate>,
    network: Arc<Network>,
    follower: Option<std::thread::JoinHandle<()>>,
}

/// Capacity of each worker.
pub const CAPACITY: Resources = Resources::new(4000, 4096, 0);

/// Returns timing that is shortened so that a take-over takes seconds.
pub fn short_timing() -> Timing {
    Timing {
        freshness_ms: 400,
        start_window_ms: 800,
        scheduler_lease_ms: 900,
        hold_time_ms: 6_000,
        force_time_ms: 20_000,
        task_lease_ms: 4_000,
        heartbeat_ms: 100,
        schedule_tick_ms: 50,
        inventory_poll_ms: 100,
        catalogue_poll_ms: 100,
        ..Timing::default()
    }
}

impl Site {
    /// Creates domains `a`, `b`, ... with the given number of workers each, named like `a-0`.
    pub fn new(timing: Timing, workers_per_domain: &[usize]) -> Self {
        let domains: Vec<String> = ["a", "b", "c"]
            .iter()
            .take(workers_per_domain.len())
            .map(|d| (*d).to_owned())
            .collect();
        let mut specs = Vec::new();
        for (domain, count) in domains.iter().zip(workers_per_domain) {
            for index in 0..*count {
                specs.push(WorkerSpec {
                    name: format!("{domain}-{index}"),
                    domain: domain.clone(),
                    capacity: CAPACITY,
                });
            }
        }
        let history = History::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let workers =
            WorkerGroup::start(address, 4, specs.clone(), Checkpoints::default(), history.clone())
                .unwrap();
        let vm = |spec: &WorkerSpec| Vm {
            name: spec.name.clone(),
            role: VmRole::Worker,
            state: VmState::Live,
            domain: spec.domain.clone(),
            rack: "r0".to_owned(),
            address: workers.address(&spec.name),
            service: None,
        };
        let vms = VmListing { vms: specs.iter().map(vm).collect() };
        let store = Arc::new(Store::new(history.clone()));
        let entry = |exclusive: bool| {
            json!({"kind": "entry", "owner": "tests", "class": "batch", "exclusive": exclusive,
                "limits": {"per_task": {"cpu_millis": 1000, "memory_mb": 1024}, "max_attempts": 3}})
        };
        store.put("catalogue/count", entry(true));
        store.put("catalogue/shared", entry(false));
        store.put(
            "catalogue/small",
            json!({"kind": "entry", "owner": "tests", "class": "batch",
                "limits": {"per_task": {"cpu_millis": 500, "memory_mb": 512}}}),
        );
        store.put(
            "catalogue/urgent",
            json!({"kind": "entry", "owner": "tests", "class": "latency-critical",
                "limits": {"per_task": {"cpu_millis": 2000, "memory_mb": 1024}}}),
        );
        let network = Arc::default();
        Self { store, workers, history, network, timing, vms, domains, link: None }
    }

    /// Runs a protected service with a latency target of 100 ms on the VM of a worker.
    pub fn add_service(&mut self, worker: &str, service: &str) {
        let vm = self.vms.vms.iter().find(|vm| vm.name == worker).unwrap().clone();
        let service = Some(service.to_owned());
        let entry = json!({"kind": "entry", "owner": "tests", "class": "latency-critical",
            "limits": {}, "p99_target_ms": 100});
        self.store.put(&format!("catalogue/{}", service.as_deref().unwrap()), entry);
        self.vms.vms.push(Vm { role: VmRole::Target, service, ..vm });
    }

    /// Calls the workers over HTTP from now on, through a relay that counts bytes.
    pub fn use_http(&mut self) {
        let target = self.workers.address("").trim_end_matches('/').parse().unwrap();
        let link = CountingRelay::to(target).unwrap();
        for vm in &mut self.vms.vms {
            vm.address = format!("{}/{}", link.address(), vm.name);
        }
        self.link = Some(link);
    }

    /// Starts an entry process.
    pub fn process(&self, name: &str, domain: &str) -> Process {
        let loopback = "127.0.0.1:1".parse().unwrap();
        let cfg = Settings {
            name: name.to_owned(),
            domain: domain.to_owned(),
            domains: self.domains.clone(),
            listen: loopback,
            peer_listen: loopback,
            peers: Vec::new(),
            platform: PlatformSettings { table: loopback, objects: loopback, vms: loopback },
            statsd: None,
            log: LogSettings::default(),
            timing: self.timing.clone(),
            limits: plantainlever::config::Limits::default(),
        };
        let gate = Arc::new(Gate::default());
        let store = Arc::new(StoreLink {
            store: Arc::clone(&self.store),
            faults: Mutex::default(),
            gate: Arc::clone(&gate),
        });
        let gated = GatedWorkers { inner: self.workers.direct(), gate: Arc::clone(&gate) };
        let workers: Arc<dyn WorkerClient> = match self.link {
            Some(_) => Arc::new(HttpWorkers::new(Duration::from_secs(1), Metrics::disabled())),
            None => Arc::new(gated),
        };
        let listing = SharedVmListing::default();
        listing.replace(self.vms.clone());
        let table: Arc<dyn Table> = store.clone();
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let commits =
            GroupCommit::inline(table, Arc::clone(&clock), Metrics::disabled(), &cfg, name);
        let cx = Context {
            cfg: Arc::new(cfg),
            process: name.to_owned(),
            clock,
            table: store.clone(),
            commits,
            objects: Arc::new(NoObjects),
            vms: Arc::new(NoVms),
            workers,
            catalogue: SharedCatalogue::default(),
            vm_listing: listing,
            peers: Arc::new(Link { network: Arc::clone(&self.network), process: name.to_owned() }),
            directory: Directory::default(),
            status: StatusSources::default(),
            metrics: Metrics::disabled(),
            stop: StopState::default(),
        };
        self.store.put(
            &format!("member/{domain}/{name}"),
            json!({"process": name, "domain": domain, "peer_address": name, "address": name}),
        );
        let following = cx.clone();
        let follower = std::thread::spawn(move || follow(&following));
        let scheduler = Arc::new(DomainScheduler::start(&cx).unwrap());
        let mut schedulers = self.network.schedulers.write().unwrap();
        schedulers.insert(name.to_owned(), Arc::clone(&scheduler));
        Process {
            cx,
            store,
            scheduler: Some(scheduler),
            gate,
            network: Arc::clone(&self.network),
            follower: Some(follower),
        }
    }

    /// Waits until a process is a successor of the domain's holder and has read the row.
    pub fn wait_successor(&self, domain: &str, process: &Process) {
        wait_for("a successor is named and has read the row", || {
            let row = self.store.value(&format!("hold/{domain}"))?;
            let named = row["successors"].as_array()?.iter().any(|n| *n == process.cx.process);
            let known = process.scheduler.as_ref()?.status().holder.is_some();
            (named && known).then_some(())
        });
    }

    /// Waits until a task runs on one of the workers, with its first, short lease renewed.
    pub fn wait_running(&self, workers: &[&str]) -> String {
        wait_for("a task runs and is renewed", || {
            let renewed = self.workers.counts().calls.get("renew").copied() > Some(0);
            let on = workers.iter().find(|name| !self.workers.running(name).is_empty())?;
            renewed.then(|| (*on).to_owned())
        })
    }

    /// Waits until a process schedules the domain.
    pub fn wait_holder(&self, domain: &str, process: &str) {
        wait_for(&format!("{process} holds {domain}"), || {
            let row = self.store.value(&format!("hold/{domain}"))?;
            (row["holder"] == process).then_some(())
        });
    }

    /// Returns the row of a task in whichever domain it is.
    pub fn task(&self, id: &str) -> Option<Value> {
        self.domains.iter().find_map(|domain| self.store.value(&format!("task/{domain}/{id}")))
    }

    /// Returns how many attempts of a task were started.
    pub fn starts(&self, id: &str) -> usize {
        let events = self.history.snapshot();
        let is_start = |event: &HistoryEvent| {
            matches!(event,
            HistoryEvent::AttemptStarted { attempt, .. } if attempt.task.as_str() == id)
        };
        events.iter().filter(|(_, event)| is_start(event)).count()
    }

    /// Returns true if a row assigns a task to the worker.
    pub fn is_assigned(&self, worker: &str) -> bool {
        let req = ReadRequest { prefixes: vec!["task/".to_owned()], ..ReadRequest::default() };
        let rows = self.store.read(&req);
        rows.iter().any(|row| row.value.as_ref().is_some_and(|value| value["worker"] == worker))
    }

    /// Changes the state of a VM in the VM list of one process.
    pub fn set_vm_state(&self, process: &Process, name: &str, state: VmState) {
        let mut listing = VmListing::clone(&process.cx.vm_listing.snapshot());
        for vm in listing.vms.iter_mut().filter(|vm| vm.name == name) {
            vm.state = state;
        }
        process.cx.vm_listing.replace(listing);
    }

    /// Fails the test if the history violates a guarantee.
    pub fn assert_guarantees(&self) {
        let broken = check(&self.history.snapshot(), &CheckLimits::default());
        assert!(broken.is_empty(), "{broken:#?}");
    }

    /// Returns the history events of a task, for messages of failed assertions.
    pub fn trace(&self, id: &str) -> String {
        let events = self.history.snapshot();
        let start = events.first().map(|(at, _)| *at);
        let concerns = |event: &HistoryEvent| format!("{event:?}").contains(id);
        events
            .iter()
            .filter(|(_, event)| concerns(event))
            .map(|(at, event)| format!("\n{:?} {event:?}", start.map(|start| *at - start)))
            .collect()
    }

    /// Waits until a task is in this state.
    pub fn wait_state(&self, id: &str, state: &str) -> Value {
        wait_for(&format!("{id} is {state}, is {:?}", self.task(id)), || {
            self.task(id).filter(|row| row["state"] == state)
        })
    }
}

/// Keeps the catalogue cache and the directory of members up to date, as the sync thread of a real process does.
fn follow(cx: &Context) {
    while !cx.stop.is_stopped() {
        let base = cx.catalogue.snapshot().revision();
        let sent_at = cx.clock.now();
        let mut prefixes = CatalogueCache::prefixes();
        prefixes.push("member/".to_owned());
        let req = ReadRequest { prefixes, changed_after: Some(base), ..ReadRequest::default() };
        if let Ok(response) = cx.table.read(&req) {
            cx.catalogue.apply(base, &response, sent_at);
            for row in response.rows.iter().filter(|row| row.key.starts_with("member/")) {
                match row
                    .value
                    .clone()
                    .and_then(|value| serde_json::from_value::<Member>(value).ok())
                {
                    Some(member) => cx.directory.insert(member),
                    None => cx.directory.remove(row.key.rsplit('/').next().unwrap()),
                }
            }
        }
        cx.clock.sleep(cx.cfg.timing.catalogue_poll());
    }
}

impl Process {
    /// Calls the HTTP API for tasks; returns the status and the body.
    pub fn call(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        self.call_with(method, path, &[], body)
    }

    pub fn call_with(
        &self,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        body: &Value,
    ) -> (u16, Value) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let body = body.to_string();
        let req = ApiRequest {
            method,
            segments: path.split('/').collect(),
            query,
            headers,
            body: body.as_bytes(),
        };
        let ApiResponse { status, body } = tasks::handle(&self.cx, &req);
        (status, serde_json::from_slice(&body).unwrap())
    }

    /// Submits a task and returns its ID.
    pub fn submit(&self, entry: &str, args: &Value) -> String {
        let (status, body) = self.call("POST", "tasks", &json!({"entry": entry, "args": args}));
        assert_eq!(status, 202, "{body}");
        body["id"].as_str().unwrap().to_owned()
    }

    /// Waits until the catalogue has been read.
    pub fn wait_fresh(&self) {
        wait_for("the catalogue", || {
            (!self.cx.catalogue.snapshot().documents().is_empty()).then_some(())
        });
    }

    /// Ends the process as a crash does: it sends and writes nothing any more.
    pub fn kill(&mut self) {
        self.network.schedulers.write().unwrap().remove(&self.cx.process);
        self.gate.kill();
        self.cx.stop.stop();
        self.join();
    }

    /// Stops the process as planned, with a hand-over or a release of its hold.
    pub fn stop(&mut self) {
        self.network.schedulers.write().unwrap().remove(&self.cx.process);
        let scheduler = self.scheduler.take().unwrap();
        wait_for("nobody calls the scheduler", || {
            (Arc::strong_count(&scheduler) == 1).then_some(())
        });
        Arc::try_unwrap(scheduler).unwrap().close();
        self.join();
    }

    fn join(&mut self) {
        if let Some(follower) = self.follower.take() {
            follower.join().unwrap();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.gate.kill();
        self.cx.stop.stop();
    }
}
