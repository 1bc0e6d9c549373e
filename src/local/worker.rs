//! In-memory workers, which simulate the attempts of tasks by timers.
//!
//! Many workers share one server: a worker's address is the server's address with the worker's name as a path. The
//! fault switches apply to calls within the process and to calls over HTTP.

pub mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use self::state::{AttemptEvent, Progress, WorkerState, decode_progress};
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

/// How often the workers check for ended attempts and expired leases.
const ADVANCE_PERIOD: Duration = Duration::from_millis(10);

/// Time from a crash of a worker by a task to its next incarnation.
pub const RESTART_TIME: Duration = Duration::from_secs(2);

/// Fault switches of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerFaults {
    /// The worker is unreachable: a call within the process has no effect, a call over HTTP gets no answer. Its
    /// attempts continue until their leases expire.
    pub down: bool,
    /// Delay of each call.
    pub slow: Option<Duration>,
    /// The worker answers each start with [`StartResult::Failed`].
    pub fails_starts: bool,
    /// Inventories show the clock of this long ago and leave out attempts that changed since.
    pub report_lag: Option<Duration>,
    /// The worker executes calls but gives no answer.
    pub loses_answers: bool,
}

/// A worker to create.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Unique in its group; the path of the worker's address.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Total resources, as the inventory reports them.
    pub capacity: Resources,
}

#[derive(Debug)]
struct Worker {
    spec: WorkerSpec,
    state: WorkerState,
    faults: WorkerFaults,
    clock: Arc<dyn Clock>,
    /// Boot time at which the worker's clock showed `clock_start_ms`.
    started_at: Duration,
    clock_start_ms: WorkerTimeMs,
    /// Boot time at which the worker restarts after a crash; it is unreachable until then.
    restarts_at: Option<Duration>,
}

impl Worker {
    fn now_ms(&self) -> WorkerTimeMs {
        let elapsed = self.clock.boot().saturating_sub(self.started_at).as_millis();
        self.clock_start_ms + u64::try_from(elapsed).unwrap_or(u64::MAX)
    }
}

/// Counts of the calls to a group of workers, without those to a worker that is down or unknown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Number of calls by path, without the worker's name.
    pub calls: BTreeMap<String, u64>,
    /// Total size of the bodies of requests and answers.
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

/// Storage of the checkpoints.
#[derive(Clone, Debug)]
pub enum Checkpoints {
    /// In the memory of this process.
    Memory(Arc<Mutex<BTreeMap<String, Vec<u8>>>>),
    /// As objects of the object store, where real workers write them.
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

/// Workers that share one server.
#[derive(Debug)]
pub struct WorkerGroup {
    shared: Arc<Shared>,
    server: JsonServer,
    timer_thread: JoinHandle<()>,
}

impl WorkerGroup {
    /// Starts the workers and a server with `threads` threads.
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
                // Each worker's clock starts at another time, so that tests find uses of a wrong clock.
                clock_start_ms: 1_000_000 + index * 10_000,
                restarts_at: None,
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
        let timers = Arc::clone(&shared);
        let timer_thread = std::thread::spawn(move || timers.run_timers());
        Ok(Self { shared, server, timer_thread })
    }

    /// Returns the address of a worker's control interface.
    #[must_use]
    pub fn address(&self, name: &str) -> String {
        format!("{}/{name}", self.server.address())
    }

    /// Returns a client that calls the workers within the process.
    #[must_use]
    pub fn direct(&self) -> DirectWorkers {
        DirectWorkers { shared: Arc::clone(&self.shared) }
    }

    /// Changes the fault switches of a worker, from its next call on.
    pub fn set_faults(&self, name: &str, change: impl FnOnce(&mut WorkerFaults)) {
        if let Some(mut worker) = self.shared.worker(name) {
            change(&mut worker.faults);
        }
    }

    /// Sets the tail latency of the service on the same VM that a worker reports, in microseconds.
    pub fn set_service_p99_us(&self, name: &str, p99_us: Option<u64>) {
        if let Some(mut worker) = self.shared.worker(name) {
            worker.state.set_service_p99_us(p99_us);
        }
    }

    /// Changes the total resources of a worker, which its inventory reports from then on. Attempts continue.
    pub fn set_capacity(&self, name: &str, capacity: Resources) {
        if let Some(mut worker) = self.shared.worker(name) {
            worker.spec.capacity = capacity;
            worker.state.set_capacity(capacity);
        }
    }

    /// Restarts a worker: it loses its attempts and its clock starts anew. The history shows them as lapsed.
    pub fn restart(&self, name: &str) {
        if let Some(mut worker) = self.shared.worker(name) {
            self.shared.restart(&mut worker);
        }
    }

    /// Returns the attempts that run on a worker; empty for an unknown worker.
    #[must_use]
    pub fn running(&self, name: &str) -> Vec<AttemptRef> {
        let worker = self.shared.worker(name);
        worker.map(|worker| worker.state.running().cloned().collect()).unwrap_or_default()
    }

    /// Returns the counts of the calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the server and the workers.
    pub fn close(self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.server.close();
        // A panic of the thread has been reported by the panic hook.
        let _ = self.timer_thread.join();
    }
}

impl Shared {
    fn worker(&self, name: &str) -> Option<MutexGuard<'_, Worker>> {
        let worker = self.workers.get(name)?;
        Some(worker.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn run_timers(&self) {
        while !self.stop.load(Ordering::SeqCst) {
            for name in self.workers.keys() {
                if let Some(mut worker) = self.worker(name) {
                    self.advance(&mut worker);
                }
            }
            std::thread::sleep(ADVANCE_PERIOD);
        }
    }

    /// Starts the next incarnation of a worker. The history shows the attempts that it loses as lapsed.
    fn restart(&self, worker: &mut Worker) {
        let lost: Vec<AttemptRef> = worker.state.running().cloned().collect();
        for attempt in lost {
            let event = AttemptEvent::Ended(attempt, crate::platform::worker::AttemptState::Lapsed);
            self.record(worker, event);
        }
        let incarnation = worker.state.inventory(&InventoryRequest::default(), 0, 0).incarnation;
        worker.state = WorkerState::new(worker.spec.capacity, incarnation + 1);
        worker.started_at = worker.clock.boot();
        worker.clock_start_ms = 5;
    }

    /// Brings a worker up to date: ends attempts, crashes it, or restarts it after a crash.
    fn advance(&self, worker: &mut Worker) {
        let now_ms = worker.now_ms();
        if worker.state.is_crash_due(now_ms) {
            // Attempts are lost at the crash. The incarnation that this begins is unreachable until the restart.
            self.restart(worker);
            worker.restarts_at = Some(worker.clock.boot() + RESTART_TIME);
        }
        if worker.restarts_at.take_if(|at| *at <= worker.clock.boot()).is_some() {
            self.restart(worker);
        }
        let now_ms = worker.now_ms();
        for event in worker.state.advance(now_ms) {
            self.record(worker, event);
        }
    }

    fn record(&self, worker: &Worker, event: AttemptEvent) {
        self.history.record(match event {
            AttemptEvent::Started(req) => HistoryEvent::AttemptStarted {
                worker: worker.spec.name.clone(),
                domain: worker.spec.domain.clone(),
                attempt: AttemptRef { task: req.task, attempt: req.attempt },
                entry: req.entry,
                resources: req.resources,
                capacity: worker.spec.capacity,
                checkpoint: req.checkpoint,
            },
            AttemptEvent::Ended(attempt, state) => {
                HistoryEvent::AttemptEnded { worker: worker.spec.name.clone(), attempt, state }
            }
        });
    }

    fn serve(&self, req: &ServerRequest) -> Reply {
        let Some((name, path)) = req.path.trim_start_matches('/').split_once('/') else {
            return Reply::json(404, &"no such worker");
        };
        match self.call(name, path, &req.body) {
            CallOutcome::Answer(body) => Reply::Answer { status: 200, headers: Vec::new(), body },
            CallOutcome::Rejected(message) => Reply::json(400, &message),
            CallOutcome::AnswerLost | CallOutcome::Down => Reply::Drop,
        }
    }

    fn call(&self, name: &str, path: &str, body: &[u8]) -> CallOutcome {
        let Some((faults, is_crashed)) = self.worker(name).map(|mut worker| {
            self.advance(&mut worker);
            (worker.faults.clone(), worker.restarts_at.is_some())
        }) else {
            return CallOutcome::Rejected("no such worker".to_owned());
        };
        if faults.down || is_crashed {
            return CallOutcome::Down;
        }
        if let Some(slow) = faults.slow {
            std::thread::sleep(slow);
        }
        let answer = self.dispatch(name, path, body, &faults);
        self.record_call(path, body, &answer);
        if faults.loses_answers && matches!(answer, CallOutcome::Answer(_)) {
            return CallOutcome::AnswerLost;
        }
        answer
    }

    fn record_call(&self, path: &str, body: &[u8], answer: &CallOutcome) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.calls.entry(path.to_owned()).or_default() += 1;
        let answered = if let CallOutcome::Answer(answer) = answer { answer.len() } else { 0 };
        counts.body_bytes += u64::try_from(body.len() + answered).unwrap_or_default();
    }

    fn dispatch(&self, name: &str, path: &str, body: &[u8], faults: &WorkerFaults) -> CallOutcome {
        match path {
            "inventory" => {
                decode_and_call(body, |req: InventoryRequest| self.inventory(name, &req, faults))
            }
            "start" => decode_and_call(body, |req: StartRequest| self.start(name, &req, faults)),
            "renew" => decode_and_call(body, |req: RenewRequest| {
                self.update(name, |worker, _| {
                    worker.state.renew(&req);
                    None
                })
            }),
            "checkpoint" => {
                decode_and_call(body, |req: CheckpointRequest| self.checkpoint(name, &req))
            }
            "throttle" => decode_and_call(body, |req: ThrottleRequest| {
                self.update(name, |worker, now_ms| {
                    worker.state.throttle(&req, now_ms);
                    None
                })
            }),
            "stop" => decode_and_call(body, |req: StopRequest| {
                self.update(name, |worker, now_ms| worker.state.stop(&req.attempt, now_ms))
            }),
            _ => CallOutcome::Rejected(format!("no such call: {path}")),
        }
    }

    fn update(
        &self,
        name: &str,
        update: impl FnOnce(&mut Worker, WorkerTimeMs) -> Option<AttemptEvent>,
    ) -> CallOutcome {
        let Some(mut worker) = self.worker(name) else { return CallOutcome::Down };
        self.advance(&mut worker);
        let now_ms = worker.now_ms();
        if let Some(event) = update(&mut worker, now_ms) {
            self.record(&worker, event);
        }
        CallOutcome::answer(&())
    }

    fn inventory(&self, name: &str, req: &InventoryRequest, faults: &WorkerFaults) -> CallOutcome {
        let Some(mut worker) = self.worker(name) else { return CallOutcome::Down };
        self.advance(&mut worker);
        let now_ms = worker.now_ms();
        let mut inventory = worker.state.inventory(req, now_ms, now_ms.saturating_sub(1000));
        if let Some(lag) = faults.report_lag {
            // A lagging report has the clock of an earlier time and lacks the attempts that changed since.
            let lag_ms = u64::try_from(lag.as_millis()).unwrap_or_default();
            inventory.time_ms = now_ms.saturating_sub(lag_ms);
            inventory.attempts.retain(|report| {
                worker.state.is_unchanged_since(&report.attempt, inventory.time_ms)
            });
        }
        CallOutcome::answer(&inventory)
    }

    fn start(&self, name: &str, req: &StartRequest, faults: &WorkerFaults) -> CallOutcome {
        let progress = req.checkpoint.as_ref().and_then(|name| self.checkpoints.get(name));
        let progress = progress.map_or_else(Progress::default, |body| decode_progress(&body));
        let Some(mut worker) = self.worker(name) else { return CallOutcome::Down };
        self.advance(&mut worker);
        let now_ms = worker.now_ms();
        if faults.fails_starts {
            return CallOutcome::answer(
                &worker.state.fail_start(req, "this worker fails every start"),
            );
        }
        let (answer, event) = worker.state.start(req, progress, now_ms);
        if let Some(event) = event {
            self.record(&worker, event);
        }
        CallOutcome::answer(&answer)
    }

    fn checkpoint(&self, name: &str, req: &CheckpointRequest) -> CallOutcome {
        let begun = self.worker(name).and_then(|mut worker| {
            self.advance(&mut worker);
            let now_ms = worker.now_ms();
            worker.state.begin_checkpoint(&req.attempt, now_ms)
        });
        let Some((object, progress)) = begun else { return CallOutcome::answer(&()) };
        let body = serde_json::to_vec(&progress).unwrap_or_default();
        if self.checkpoints.put(&object, &body)
            && let Some(mut worker) = self.worker(name)
        {
            let now_ms = worker.now_ms();
            worker.state.finish_checkpoint(&req.attempt, &object, now_ms);
        }
        CallOutcome::answer(&())
    }
}

/// Outcome of a call to a worker.
enum CallOutcome {
    Answer(Vec<u8>),
    /// The request is invalid; carries the message.
    Rejected(String),
    /// The worker executed the call, but the answer is lost.
    AnswerLost,
    /// The worker is unreachable.
    Down,
}

impl CallOutcome {
    fn answer(value: &impl Serialize) -> Self {
        serde_json::to_vec(value)
            .map_or_else(|error| Self::Rejected(error.to_string()), Self::Answer)
    }
}

fn decode_and_call<T: DeserializeOwned>(
    body: &[u8],
    act: impl FnOnce(T) -> CallOutcome,
) -> CallOutcome {
    match serde_json::from_slice(body) {
        Ok(req) => act(req),
        Err(error) => CallOutcome::Rejected(error.to_string()),
    }
}

/// Client of a group's workers within the process. Takes the same addresses as the HTTP client.
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
            CallOutcome::Answer(body) => serde_json::from_slice(&body).map_err(|error| {
                PlatformError::Malformed { service: "worker", cause: error.to_string() }
            }),
            CallOutcome::Rejected(message) => {
                Err(PlatformError::Refused { service: "worker", status: 400, message })
            }
            CallOutcome::AnswerLost => Err(no_answer("the answer was lost")),
            CallOutcome::Down => Err(PlatformError::Unreachable {
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
