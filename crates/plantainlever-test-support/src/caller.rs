//! Callers that send requests through several entry processes and keep a record of each answer.
//!
//! A caller behaves like a client behind the balancer: it picks the entry processes in turn, and after a connection error
//! or an `unknown` outcome it repeats the request with the same idempotency key and a higher attempt number.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Timeout of one attempt, longer than the deadline that the request carries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);

/// Period of the balancer's checks.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// Timeout of a check; a process that answers later is not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// Deadline that each request carries, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// What a caller was told about one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A target's whole answer.
    Completed,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No connection could be made, so nothing was sent.
    Refused,
    /// The connection failed after it had been made.
    ConnectionFailed,
}

/// One attempt of one request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What the caller was told.
    pub outcome: AttemptOutcome,
    /// HTTP status, if there was an answer.
    pub status: Option<u16>,
    /// The answer's body.
    pub body: Vec<u8>,
    /// Entry process that was asked.
    pub entry: SocketAddr,
    /// Time from the send to the answer.
    pub took: Duration,
    /// When the attempt ended.
    pub ended: Instant,
}

/// One request with all its attempts.
#[derive(Clone, Debug)]
pub struct Record {
    /// Idempotency key.
    pub key: String,
    /// Body that was sent, and that the target echoes.
    pub body: Vec<u8>,
    /// The attempts in order.
    pub attempts: Vec<Attempt>,
}

impl Record {
    /// True if one attempt was answered by a target.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::Completed)
    }

    /// True if every attempt was told `not-run`, so that the request must not have run at all.
    #[must_use]
    pub fn is_reported_not_run(&self) -> bool {
        let not_run = |attempt: &Attempt| {
            matches!(attempt.outcome, AttemptOutcome::NotRun | AttemptOutcome::Refused)
        };
        self.attempts.iter().all(not_run)
    }
}

/// What a group of callers does.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Service that is called.
    pub service: String,
    /// Path and query below the service.
    pub path: String,
    /// Number of threads.
    pub threads: usize,
    /// Pause between two requests of a thread.
    pub pause: Duration,
    /// Most attempts of one request.
    pub max_attempts: u32,
}

impl CallerPlan {
    /// Few callers that post to the root of a service.
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
    entries: Entries,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that use the entry processes in turn.
    #[must_use]
    pub fn start(plan: &CallerPlan, entries: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let behind = Entries::default();
        behind.set(entries);
        let records = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(0));
        let mut threads: Vec<_> = (0..plan.threads)
            .map(|_| {
                let caller = Caller {
                    plan: plan.clone(),
                    entries: behind.clone(),
                    agent: agent(ATTEMPT_TIMEOUT),
                    next: Arc::clone(&next),
                };
                let stop = Arc::clone(&stop);
                let records = Arc::clone(&records);
                std::thread::spawn(move || caller.run(&stop, &records))
            })
            .collect();
        let (checked, stopped) = (behind.clone(), Arc::clone(&stop));
        threads.push(std::thread::spawn(move || checked.follow_readiness(&stopped)));
        Self { stop, entries: behind, records, threads }
    }

    /// Replaces the entry processes, as an operator of the balancer does.
    pub fn set_entries(&self, entries: &[SocketAddr]) {
        self.entries.set(entries);
    }

    /// Requests finished so far.
    #[must_use]
    pub fn finished(&self) -> usize {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Requests finished so far that were answered by a target.
    #[must_use]
    pub fn completed(&self) -> usize {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().filter(|record| record.is_completed()).count()
    }

    /// Stops after the requests in progress and returns all records.
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

/// Counts records by what their attempts were told, for the message of a failed assertion.
#[must_use]
pub fn summary(records: &[Record]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let outcome: Vec<String> = record.attempts.iter().map(Attempt::summary).collect();
        *counts.entry(outcome.join(", ")).or_insert(0) += 1;
    }
    counts
}

impl Attempt {
    /// What the caller was told, with the server's message if it was an error.
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

/// The entry processes behind the balancer.
#[derive(Debug, Default)]
struct Behind {
    all: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
}

/// Shared list of the entry processes, with those that are ready.
#[derive(Clone, Debug, Default)]
struct Entries {
    behind: Arc<Mutex<Behind>>,
}

impl Entries {
    fn lock(&self) -> MutexGuard<'_, Behind> {
        self.behind.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All are taken as ready until the next check.
    fn set(&self, entries: &[SocketAddr]) {
        *self.lock() = Behind { all: entries.to_vec(), ready: entries.to_vec() };
    }

    /// A ready process in turn; any of them if none is ready.
    fn pick(&self, turn: usize) -> SocketAddr {
        let behind = self.lock();
        let choice = if behind.ready.is_empty() { &behind.all } else { &behind.ready };
        choice[turn % choice.len()]
    }

    fn follow_readiness(&self, stop: &AtomicBool) {
        let agent = agent(READY_TIMEOUT);
        while !stop.load(Ordering::SeqCst) {
            let all = self.lock().all.clone();
            let is_ready = |entry: &SocketAddr| {
                let answer = agent.get(format!("http://{entry}/readyz")).call();
                answer.is_ok_and(|answer| answer.status().as_u16() == 200)
            };
            let ready = all.iter().copied().filter(is_ready).collect();
            let mut behind = self.lock();
            if behind.all == all {
                behind.ready = ready;
            }
            drop(behind);
            std::thread::sleep(READY_PERIOD);
        }
    }
}

/// HTTP agent that keeps no idle connections, so that each attempt meets a fresh one as through a balancer.
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
    entries: Entries,
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
            let done = made.outcome == AttemptOutcome::Completed;
            attempts.push(made);
            if done {
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
            let outcome =
                answer.headers().get("Plantainlever-Outcome").and_then(|value| value.to_str().ok());
            let told = match outcome {
                Some("completed") => AttemptOutcome::Completed,
                Some("not-run") => AttemptOutcome::NotRun,
                _ => AttemptOutcome::Unknown,
            };
            let status = answer.status().as_u16();
            answer.body_mut().read_to_vec().map(|body| (told, status, body))
        });
        let (told, status, body) = match answer {
            Ok((told, status, body)) => (told, Some(status), body),
            Err(error) if is_refused(&error) => (AttemptOutcome::Refused, None, Vec::new()),
            Err(_) => (AttemptOutcome::ConnectionFailed, None, Vec::new()),
        };
        Attempt {
            outcome: told,
            status,
            body,
            entry,
            took: started.elapsed(),
            ended: Instant::now(),
        }
    }
}
