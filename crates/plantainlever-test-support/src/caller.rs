//! Caller threads that send requests through several entry processes and record each answer.
//!
//! A caller behaves like a client behind a load balancer: it uses the entry processes in turn, and while no target has
//! answered it retries the request with the same idempotency key and a higher attempt number.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Timeout of one attempt, longer than the deadline that the request carries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause between two readiness checks of all entry processes.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// Timeout of one readiness check; a process that answers later counts as not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// Deadline that each request carries, relative to its start.
const DEADLINE_MS: u64 = 4_000;

/// Outcome of one attempt as its caller learned it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A target's complete answer arrived.
    Completed,
    /// The entry process reported that the request did not run.
    NotRun,
    /// Any other answer; the request may have run.
    Unknown,
    /// The connection was refused, so nothing was sent.
    Refused,
    /// Any other connection error or a timeout; the request may have run.
    ConnectionFailed,
}

/// One attempt of one request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Outcome that the caller learned.
    pub outcome: AttemptOutcome,
    /// HTTP status; `None` if there was no answer.
    pub status: Option<u16>,
    /// Body of the answer; empty if there was none.
    pub body: Vec<u8>,
    /// Address of the entry process that received the request.
    pub entry: SocketAddr,
    /// Time from the start of the attempt to the answer or the error.
    pub took: Duration,
    /// When the attempt ended.
    pub ended: Instant,
}

/// One request with all its attempts.
#[derive(Clone, Debug)]
pub struct Record {
    /// Idempotency key.
    pub key: String,
    /// Body of the request, which the target echoes.
    pub body: Vec<u8>,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<Attempt>,
}

impl Record {
    /// Returns true if a target answered one attempt.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::Completed)
    }

    /// Returns true if every attempt was refused or reported as `not-run`, so that the request must not have run.
    #[must_use]
    pub fn is_reported_not_run(&self) -> bool {
        let not_run = |attempt: &Attempt| {
            matches!(attempt.outcome, AttemptOutcome::NotRun | AttemptOutcome::Refused)
        };
        self.attempts.iter().all(not_run)
    }
}

/// Load that a group of callers generates.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Service that is called.
    pub service: String,
    /// Path and query below the service's prefix.
    pub path: String,
    /// Number of threads.
    pub threads: usize,
    /// Pause of a thread between two requests.
    pub pause: Duration,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
}

impl CallerPlan {
    /// Four threads that post to the root of a service, each pausing 10 ms after a request, with up to three attempts.
    #[must_use]
    pub fn posting_to(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            path: "/?sleep_ms=5".to_owned(),
            threads: 4,
            pause: Duration::from_millis(10),
            max_attempts: 3,
        }
    }
}

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    entries: EntryProcesses,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that use the ready ones among `entries` in turn.
    #[must_use]
    pub fn start(plan: &CallerPlan, entries: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let entry_list = EntryProcesses::default();
        entry_list.set(entries);
        let records = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(0));
        let mut threads: Vec<_> = (0..plan.threads)
            .map(|_| {
                let caller = Caller {
                    plan: plan.clone(),
                    entries: entry_list.clone(),
                    agent: agent(ATTEMPT_TIMEOUT),
                    next: Arc::clone(&next),
                };
                let stop = Arc::clone(&stop);
                let records = Arc::clone(&records);
                std::thread::spawn(move || caller.run(&stop, &records))
            })
            .collect();
        let (checked, stopped) = (entry_list.clone(), Arc::clone(&stop));
        threads.push(std::thread::spawn(move || checked.poll_readiness(&stopped)));
        Self { stop, entries: entry_list, records, threads }
    }

    /// Replaces the list of entry processes, as an operator of the load balancer does.
    pub fn set_entries(&self, entries: &[SocketAddr]) {
        self.entries.set(entries);
    }

    /// Number of requests finished so far, with any outcome.
    #[must_use]
    pub fn finished(&self) -> usize {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Number of requests finished so far that a target answered.
    #[must_use]
    pub fn completed(&self) -> usize {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().filter(|record| record.is_completed()).count()
    }

    /// Waits for the requests in progress, stops the threads and returns all records.
    #[must_use]
    pub fn close(self) -> Vec<Record> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts records by the outcomes of their attempts, for the message of a failed assertion.
#[must_use]
pub fn summary(records: &[Record]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let outcomes: Vec<String> = record.attempts.iter().map(Attempt::summary).collect();
        *counts.entry(outcomes.join(", ")).or_insert(0) += 1;
    }
    counts
}

impl Attempt {
    /// Outcome and status, with the server's error message unless the attempt is completed.
    fn summary(&self) -> String {
        let status = self.status.unwrap_or(0);
        if self.outcome == AttemptOutcome::Completed {
            return format!("{:?} {status}", self.outcome);
        }
        let error: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        format!("{:?} {status} {}", self.outcome, error["error"]["message"])
    }
}

fn is_refused(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Entry processes behind the simulated load balancer.
#[derive(Debug, Default)]
struct EntryProcessList {
    all: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
}

/// Entry processes, shared by the callers and the thread that checks their readiness.
#[derive(Clone, Debug, Default)]
struct EntryProcesses {
    backends: Arc<Mutex<EntryProcessList>>,
}

impl EntryProcesses {
    fn lock(&self) -> MutexGuard<'_, EntryProcessList> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list. All processes count as ready until the next check.
    fn set(&self, entries: &[SocketAddr]) {
        *self.lock() = EntryProcessList { all: entries.to_vec(), ready: entries.to_vec() };
    }

    /// Returns the ready process whose turn it is, or any process if none is ready.
    fn pick(&self, turn: usize) -> SocketAddr {
        let backends = self.lock();
        let candidates = if backends.ready.is_empty() { &backends.all } else { &backends.ready };
        candidates[turn % candidates.len()]
    }

    fn poll_readiness(&self, stop: &AtomicBool) {
        let agent = agent(READY_TIMEOUT);
        while !stop.load(Ordering::SeqCst) {
            let all = self.lock().all.clone();
            let is_ready = |entry: &SocketAddr| {
                let answer = agent.get(format!("http://{entry}/readyz")).call();
                answer.is_ok_and(|answer| answer.status().as_u16() == 200)
            };
            let ready = all.iter().copied().filter(is_ready).collect();
            let mut backends = self.lock();
            if backends.all == all {
                backends.ready = ready;
            }
            drop(backends);
            std::thread::sleep(READY_PERIOD);
        }
    }
}

/// HTTP agent that keeps no idle connections, so that each attempt opens a new one, as through a load balancer.
fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .max_idle_connections(0)
        .build()
        .into()
}

#[derive(Debug)]
struct Caller {
    plan: CallerPlan,
    entries: EntryProcesses,
    agent: ureq::Agent,
    next: Arc<AtomicU64>,
}

impl Caller {
    fn run(&self, stop: &AtomicBool, records: &Mutex<Vec<Record>>) {
        while !stop.load(Ordering::SeqCst) {
            let number = self.next.fetch_add(1, Ordering::SeqCst);
            let record = self.request(number);
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
            std::thread::sleep(self.plan.pause);
        }
    }

    fn request(&self, number: u64) -> Record {
        let key = format!("{}-{number}", self.plan.service);
        let body = format!("body of {key}").into_bytes();
        let mut attempts = Vec::new();
        for attempt in 1..=self.plan.max_attempts {
            let turn = usize::try_from(number + u64::from(attempt) - 1).unwrap_or(0);
            let made = self.attempt(self.entries.pick(turn), attempt, &key, &body);
            let is_completed = made.outcome == AttemptOutcome::Completed;
            attempts.push(made);
            if is_completed {
                break;
            }
        }
        Record { key, body, attempts }
    }

    fn attempt(&self, entry: SocketAddr, attempt: u32, key: &str, body: &[u8]) -> Attempt {
        let url = format!("http://{entry}/v1/services/{}{}", self.plan.service, self.plan.path);
        let started = Instant::now();
        let sent = self
            .agent
            .post(&url)
            .header("Idempotency-Key", key)
            .header("Plantainlever-Attempt", attempt.to_string())
            .header("Plantainlever-Deadline-Ms", DEADLINE_MS.to_string())
            .send(body);
        let answer = sent.and_then(|mut answer| {
            let header =
                answer.headers().get("Plantainlever-Outcome").and_then(|value| value.to_str().ok());
            let outcome = match header {
                Some("completed") => AttemptOutcome::Completed,
                Some("not-run") => AttemptOutcome::NotRun,
                _ => AttemptOutcome::Unknown,
            };
            let status = answer.status().as_u16();
            answer.body_mut().read_to_vec().map(|body| (outcome, status, body))
        });
        let (outcome, status, body) = match answer {
            Ok((outcome, status, body)) => (outcome, Some(status), body),
            Err(error) if is_refused(&error) => (AttemptOutcome::Refused, None, Vec::new()),
            Err(_) => (AttemptOutcome::ConnectionFailed, None, Vec::new()),
        };
        Attempt { outcome, status, body, entry, took: started.elapsed(), ended: Instant::now() }
    }
}
