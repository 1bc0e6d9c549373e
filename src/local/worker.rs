//! Workers that run tasks as timers.
//!
//! Many workers share one server: a worker's address is the server's address with the worker's name as a path. A call
//! within the process and a call over HTTP take the same way through the fault switches.

pub mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use self::state::{Change, Progress, WorkerState, decode_progress};
use super::history::{History, HistoryEvent};
use super::server::{JsonServer, ListenError, Reply, ServerRequest};
use crate::clock::Clock;
use crate::platform::PlatformError;
use crate::platform::objects::Objects;
use crate::platform::worker::{
    AttemptRef, CheckpointRequest, Inventory, InventoryRequest, RenewRequest, StartRequest,
    StartResult, StopRequest, ThrottleRequest, WorkerClient, WorkerTimeMs,
};
use crate::worker::Resources;

/// How often ended attempts and lapsed leases are looked for.
const STEP: Duration = Duration::from_millis(10);

/// Fault switches of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerFaults {
    /// Refuses connections; attempts go on and lapse.
    pub down: bool,
    /// Answers this much later.
    pub slow: Option<Duration>,
    /// Fails every start.
    pub fails_starts: bool,
    /// Reports changes only this much later.
    pub report_lag: Option<Duration>,
    /// Carries out calls and gives no answer.
    pub loses_answers: bool,
}

/// A worker to create.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Total resources.
    pub capacity: Resources,
}

#[derive(Debug)]
struct Worker {
    spec: WorkerSpec,
    state: WorkerState,
    faults: WorkerFaults,
    clock: Arc<dyn Clock>,
    /// The worker's clock started here, by the boot time, at `clock_start_ms`.
    started_at: Duration,
    clock_start_ms: WorkerTimeMs,
}

impl Worker {
    fn now_ms(&self) -> WorkerTimeMs {
        let passed = self.clock.boot().saturating_sub(self.started_at).as_millis();
        self.clock_start_ms + u64::try_from(passed).unwrap_or(u64::MAX)
    }
}

/// Calls by kind, for measurements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls by path.
    pub calls: BTreeMap<String, u64>,
    /// Bytes of request and answer bodies.
    pub body_bytes: u64,
}

#[derive(Debug)]
struct Shared {
    workers: BTreeMap<String, Mutex<Worker>>,
    checkpoints: Checkpoints,
    history: History,
    counts: Mutex<CallCounts>,
    stop: AtomicBool,
}

/// Where checkpoints are kept.
#[derive(Clone, Debug)]
pub enum Checkpoints {
    /// In the memory of this process.
    Memory(Arc<Mutex<BTreeMap<String, Vec<u8>>>>),
    /// In an object store.
    Store(Arc<dyn Objects>),
}

impl Default for Checkpoints {
    fn default() -> Self {
        Self::Memory(Arc::default())
    }
}

impl Checkpoints {
    fn put(&self, name: &str, body: &[u8]) -> bool {
        match self {
            Self::Memory(map) => {
                let mut map = map.lock().unwrap_or_else(PoisonError::into_inner);
                map.insert(name.to_owned(), body.to_vec());
                true
            }
            Self::Store(objects) => objects.put(name, body).is_ok(),
        }
    }

    fn get(&self, name: &str) -> Option<Vec<u8>> {
        match self {
            Self::Memory(map) => {
                map.lock().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
            }
            Self::Store(objects) => objects.get(name).ok().flatten(),
        }
    }
}

/// Several workers behind one server.
#[derive(Debug)]
pub struct WorkerGroup {
    shared: Arc<Shared>,
    server: JsonServer,
    stepper: JoinHandle<()>,
}

impl WorkerGroup {
    /// Starts the workers behind a server with `threads` threads.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        threads: usize,
        specs: Vec<WorkerSpec>,
        checkpoints: Checkpoints,
        history: History,
    ) -> Result<Self, ListenError> {
        let clock = history.clock();
        let workers = specs.into_iter().enumerate().map(|(index, spec)| {
            let index = u64::try_from(index).unwrap_or_default();
            let worker = Worker {
                state: WorkerState::new(spec.capacity, 1),
                faults: WorkerFaults::default(),
                started_at: clock.boot(),
                clock: Arc::clone(&clock),
                // Clocks differ, so that a mixed-up clock shows in tests.
                clock_start_ms: 1_000_000 + index * 10_000,
                spec,
            };
            (worker.spec.name.clone(), Mutex::new(worker))
        });
        let shared = Arc::new(Shared {
            workers: workers.collect(),
            checkpoints,
            history,
            counts: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let serving = Arc::clone(&shared);
        let server = JsonServer::start(address, threads, move |req| serving.serve(req))?;
        let stepping = Arc::clone(&shared);
        let stepper = std::thread::spawn(move || stepping.step());
        Ok(Self { shared, server, stepper })
    }

    /// Address of a worker's control interface.
    #[must_use]
    pub fn address(&self, name: &str) -> String {
        format!("{}/{name}", self.server.address())
    }

    /// A client that calls the workers without a socket.
    #[must_use]
    pub fn direct(&self) -> DirectWorkers {
        DirectWorkers { shared: Arc::clone(&self.shared) }
    }

    /// Changes the fault switches of a worker.
    pub fn set_faults(&self, name: &str, change: impl FnOnce(&mut WorkerFaults)) {
        if let Some(mut worker) = self.shared.worker(name) {
            change(&mut worker.faults);
        }
    }

    /// Sets the tail latency that a worker reports for the service on the same VM.
    pub fn set_service_p99_us(&self, name: &str, p99_us: Option<u64>) {
        if let Some(mut worker) = self.shared.worker(name) {
            worker.state.set_service_p99_us(p99_us);
        }
    }

    /// Restarts a worker: its attempts are gone and its clock starts anew.
    pub fn restart(&self, name: &str) {
        let Some(mut worker) = self.shared.worker(name) else { return };
        let lost: Vec<AttemptRef> = worker.state.running().cloned().collect();
        for attempt in lost {
            let change = Change::Ended(attempt, crate::platform::worker::AttemptState::Lapsed);
            self.shared.record(&worker, change);
        }
        let incarnation = worker.state.inventory(&InventoryRequest::default(), 0, 0).incarnation;
        worker.state = WorkerState::new(worker.spec.capacity, incarnation + 1);
        worker.started_at = worker.clock.boot();
        worker.clock_start_ms = 5;
    }

    /// Attempts that run on a worker now.
    #[must_use]
    pub fn running(&self, name: &str) -> Vec<AttemptRef> {
        let worker = self.shared.worker(name);
        worker.map(|worker| worker.state.running().cloned().collect()).unwrap_or_default()
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the workers.
    pub fn close(self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.server.close();
        // A panic of the thread has been reported by the panic hook.
        let _ = self.stepper.join();
    }
}

impl Shared {
    fn worker(&self, name: &str) -> Option<MutexGuard<'_, Worker>> {
        let worker = self.workers.get(name)?;
        Some(worker.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn step(&self) {
        while !self.stop.load(Ordering::SeqCst) {
            for name in self.workers.keys() {
                if let Some(mut worker) = self.worker(name) {
                    self.advance(&mut worker);
                }
            }
            std::thread::sleep(STEP);
        }
    }

    fn advance(&self, worker: &mut Worker) {
        let now_ms = worker.now_ms();
        for change in worker.state.advance(now_ms) {
            self.record(worker, change);
        }
    }

    fn record(&self, worker: &Worker, change: Change) {
        self.history.record(match change {
            Change::Started(req) => HistoryEvent::AttemptStarted {
                worker: worker.spec.name.clone(),
                domain: worker.spec.domain.clone(),
                attempt: AttemptRef { task: req.task, attempt: req.attempt },
                entry: req.entry,
                resources: req.resources,
                capacity: worker.spec.capacity,
                checkpoint: req.checkpoint,
            },
            Change::Ended(attempt, state) => {
                HistoryEvent::AttemptEnded { worker: worker.spec.name.clone(), attempt, state }
            }
        });
    }

    fn serve(&self, req: &ServerRequest) -> Reply {
        let Some((name, path)) = req.path.trim_start_matches('/').split_once('/') else {
            return Reply::json(404, &"no such worker");
        };
        match self.call(name, path, &req.body) {
            Called::Answer(body) => Reply::Answer { status: 200, headers: Vec::new(), body },
            Called::Bad(message) => Reply::json(400, &message),
            Called::Lost | Called::Down => Reply::Drop,
        }
    }

    fn call(&self, name: &str, path: &str, body: &[u8]) -> Called {
        let Some(faults) = self.worker(name).map(|worker| worker.faults.clone()) else {
            return Called::Bad("no such worker".to_owned());
        };
        if faults.down {
            return Called::Down;
        }
        if let Some(slow) = faults.slow {
            std::thread::sleep(slow);
        }
        let answer = self.carry_out(name, path, body, &faults);
        self.count(path, body, &answer);
        if faults.loses_answers && matches!(answer, Called::Answer(_)) {
            return Called::Lost;
        }
        answer
    }

    fn count(&self, path: &str, body: &[u8], answer: &Called) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.calls.entry(path.to_owned()).or_default() += 1;
        let answered = if let Called::Answer(answer) = answer { answer.len() } else { 0 };
        counts.body_bytes += u64::try_from(body.len() + answered).unwrap_or_default();
    }

    fn carry_out(&self, name: &str, path: &str, body: &[u8], faults: &WorkerFaults) -> Called {
        match path {
            "inventory" => with(body, |req: InventoryRequest| self.inventory(name, &req, faults)),
            "start" => with(body, |req: StartRequest| self.start(name, &req, faults)),
            "renew" => with(body, |req: RenewRequest| {
                self.change(name, |worker, _| {
                    worker.state.renew(&req);
                    None
                })
            }),
            "checkpoint" => with(body, |req: CheckpointRequest| self.checkpoint(name, &req)),
            "throttle" => with(body, |req: ThrottleRequest| {
                self.change(name, |worker, now_ms| {
                    worker.state.throttle(&req, now_ms);
                    None
                })
            }),
            "stop" => with(body, |req: StopRequest| {
                self.change(name, |worker, now_ms| worker.state.stop(&req.attempt, now_ms))
            }),
            _ => Called::Bad(format!("no such call: {path}")),
        }
    }

    fn change(
        &self,
        name: &str,
        change: impl FnOnce(&mut Worker, WorkerTimeMs) -> Option<Change>,
    ) -> Called {
        let Some(mut worker) = self.worker(name) else { return Called::Down };
        self.advance(&mut worker);
        let now_ms = worker.now_ms();
        if let Some(change) = change(&mut worker, now_ms) {
            self.record(&worker, change);
        }
        Called::answer(&())
    }

    fn inventory(&self, name: &str, req: &InventoryRequest, faults: &WorkerFaults) -> Called {
        let Some(mut worker) = self.worker(name) else { return Called::Down };
        self.advance(&mut worker);
        let now_ms = worker.now_ms();
        let mut inventory = worker.state.inventory(req, now_ms, now_ms.saturating_sub(1000));
        if let Some(lag) = faults.report_lag {
            // A lagging report shows the clock and the changes of an earlier time.
            let lag_ms = u64::try_from(lag.as_millis()).unwrap_or_default();
            inventory.time_ms = now_ms.saturating_sub(lag_ms);
            inventory
                .attempts
                .retain(|report| worker.state.changed_before(&report.attempt, inventory.time_ms));
        }
        Called::answer(&inventory)
    }

    fn start(&self, name: &str, req: &StartRequest, faults: &WorkerFaults) -> Called {
        let progress = req.checkpoint.as_ref().and_then(|name| self.checkpoints.get(name));
        let progress = progress.map_or_else(Progress::default, |body| decode_progress(&body));
        let Some(mut worker) = self.worker(name) else { return Called::Down };
        self.advance(&mut worker);
        let now_ms = worker.now_ms();
        if faults.fails_starts {
            return Called::answer(&worker.state.refuse(req, "this worker fails every start"));
        }
        let (answer, change) = worker.state.start(req, progress, now_ms);
        if let Some(change) = change {
            self.record(&worker, change);
        }
        Called::answer(&answer)
    }

    fn checkpoint(&self, name: &str, req: &CheckpointRequest) -> Called {
        let begun = self.worker(name).and_then(|mut worker| {
            self.advance(&mut worker);
            let now_ms = worker.now_ms();
            worker.state.begin_checkpoint(&req.attempt, now_ms)
        });
        let Some((object, progress)) = begun else { return Called::answer(&()) };
        let body = serde_json::to_vec(&progress).unwrap_or_default();
        if self.checkpoints.put(&object, &body)
            && let Some(mut worker) = self.worker(name)
        {
            let now_ms = worker.now_ms();
            worker.state.finish_checkpoint(&req.attempt, &object, now_ms);
        }
        Called::answer(&())
    }
}

/// What became of a call.
enum Called {
    Answer(Vec<u8>),
    Bad(String),
    Lost,
    Down,
}

impl Called {
    fn answer(value: &impl Serialize) -> Self {
        serde_json::to_vec(value).map_or_else(|error| Self::Bad(error.to_string()), Self::Answer)
    }
}

fn with<T: DeserializeOwned>(body: &[u8], act: impl FnOnce(T) -> Called) -> Called {
    match serde_json::from_slice(body) {
        Ok(req) => act(req),
        Err(error) => Called::Bad(error.to_string()),
    }
}

/// Calls workers of a group within the process; `address` is the worker's address.
#[derive(Clone, Debug)]
pub struct DirectWorkers {
    shared: Arc<Shared>,
}

impl DirectWorkers {
    fn call<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        req: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let name = address.rsplit('/').next().unwrap_or(address);
        let body = serde_json::to_vec(req).unwrap_or_default();
        let no_answer = |cause: &str| PlatformError::NoAnswer {
            service: "worker",
            waited: Duration::ZERO,
            cause: cause.to_owned(),
        };
        match self.shared.call(name, path, &body) {
            Called::Answer(body) => serde_json::from_slice(&body).map_err(|error| {
                PlatformError::Malformed { service: "worker", cause: error.to_string() }
            }),
            Called::Bad(message) => {
                Err(PlatformError::Refused { service: "worker", status: 400, message })
            }
            Called::Lost => Err(no_answer("the answer was lost")),
            Called::Down => Err(PlatformError::Unreachable {
                service: "worker",
                address: address.to_owned(),
                cause: "down".to_owned(),
            }),
        }
    }
}

impl WorkerClient for DirectWorkers {
    fn inventory(&self, address: &str, req: &InventoryRequest) -> Result<Inventory, PlatformError> {
        self.call(address, "inventory", req)
    }

    fn start(&self, address: &str, req: &StartRequest) -> Result<StartResult, PlatformError> {
        self.call(address, "start", req)
    }

    fn renew(&self, address: &str, req: &RenewRequest) -> Result<(), PlatformError> {
        self.call(address, "renew", req)
    }

    fn checkpoint(&self, address: &str, req: &CheckpointRequest) -> Result<(), PlatformError> {
        self.call(address, "checkpoint", req)
    }

    fn throttle(&self, address: &str, req: &ThrottleRequest) -> Result<(), PlatformError> {
        self.call(address, "throttle", req)
    }

    fn stop(&self, address: &str, req: &StopRequest) -> Result<(), PlatformError> {
        self.call(address, "stop", req)
    }
}
