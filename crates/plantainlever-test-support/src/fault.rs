//! Faults that a test switches on in front of a stand-in.
//!
//! [`Faults`] holds the switches. [`Faults::wrap`] puts them in front of a handler of `JsonServer`, and [`FaultyTable`]
//! in front of a table in the same process.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::local::Reply;
use plantainlever::local::server::ServerRequest;
use plantainlever::platform::PlatformError;
use plantainlever::platform::table::{
    CommitResult, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Table, Transaction,
};

/// Answers that a lagging handler keeps.
const MAX_KEPT: usize = 4096;

#[derive(Debug, Default)]
struct Switches {
    down: bool,
    delay: Duration,
    lost_answers: u32,
    lost_requests: u32,
    refusals: u32,
    lag: Duration,
    held: bool,
    /// Calls that wait for the end of the hold.
    waiting: usize,
}

/// The switches, all off at first. Cloning shares them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    switches: Arc<Mutex<Switches>>,
    released: Arc<Condvar>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Answered,
    Down,
    RequestLost,
    AnswerLost,
    Refused,
}

/// Status of refused calls.
const TOO_LARGE: u16 = 413;

impl Faults {
    fn lock(&self) -> MutexGuard<'_, Switches> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// While down, connections are dropped before the handler runs.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Delays each call before the handler runs.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Runs the handler of the next `count` calls and drops their answers.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Drops the next `count` calls before the handler runs.
    pub fn lose_requests(&self, count: u32) {
        self.lock().lost_requests = count;
    }

    /// Refuses the next `count` calls as too large.
    pub fn refuse(&self, count: u32) {
        self.lock().refusals = count;
    }

    /// Serves answers of at least this age. Zero switches it off.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// While held, calls wait before the handler runs.
    pub fn set_held(&self, held: bool) {
        self.lock().held = held;
        self.released.notify_all();
    }

    /// Number of calls that wait for the end of the hold.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().waiting
    }

    fn wait_while_held(&self) {
        let mut switches = self.lock();
        switches.waiting += 1;
        while switches.held {
            switches = self.released.wait(switches).unwrap_or_else(PoisonError::into_inner);
        }
        switches.waiting -= 1;
    }

    fn next_fate(&self) -> (Fate, Duration) {
        let mut switches = self.lock();
        let fate = if switches.down {
            Fate::Down
        } else if switches.refusals > 0 {
            switches.refusals -= 1;
            Fate::Refused
        } else if switches.lost_requests > 0 {
            switches.lost_requests -= 1;
            Fate::RequestLost
        } else if switches.lost_answers > 0 {
            switches.lost_answers -= 1;
            Fate::AnswerLost
        } else {
            Fate::Answered
        };
        (fate, switches.delay)
    }

    /// Puts the switches in front of a handler.
    pub fn wrap<H>(&self, handler: H) -> impl Fn(&ServerRequest) -> Reply + Send + Sync + 'static
    where
        H: Fn(&ServerRequest) -> Reply + Send + Sync + 'static,
    {
        let faults = self.clone();
        let kept = Mutex::new(VecDeque::new());
        move |req| {
            faults.wait_while_held();
            let (fate, delay) = faults.next_fate();
            SystemClock.sleep(delay);
            // An answer that is kept for later may go to another client, so it must be a whole one.
            let mut req = req.clone();
            req.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("If-None-Match"));
            match fate {
                Fate::Down | Fate::RequestLost => Reply::Drop,
                Fate::Refused => Reply::json(TOO_LARGE, &"too large"),
                Fate::AnswerLost => {
                    handler(&req);
                    Reply::Drop
                }
                Fate::Answered => {
                    let lag = faults.lock().lag;
                    lagging(&kept, lag, handler(&req))
                }
            }
        }
    }
}

/// Keeps an answer and returns the newest one of at least the age `lag`, or the oldest one known.
fn lagging(kept: &Mutex<VecDeque<(Instant, Reply)>>, lag: Duration, reply: Reply) -> Reply {
    let now = Instant::now();
    let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
    kept.push_back((now, reply));
    while kept.len() > MAX_KEPT || kept.get(1).is_some_and(|(at, _)| now - *at >= lag) {
        kept.pop_front();
    }
    kept.front().map_or(Reply::Drop, |(_, reply)| reply.clone())
}

/// A table in the same process with switches in front of it. Delays pass on the given clock.
#[derive(Clone, Debug)]
pub struct FaultyTable {
    inner: Arc<dyn Table>,
    faults: Faults,
    clock: Arc<dyn Clock>,
    /// A delay longer than this ends in a lost answer.
    timeout: Duration,
}

/// Name of the service in errors.
const SERVICE: &str = "table service";

impl FaultyTable {
    /// Puts `faults` in front of `inner`.
    #[must_use]
    pub fn new(
        inner: Arc<dyn Table>,
        faults: Faults,
        clock: Arc<dyn Clock>,
        timeout: Duration,
    ) -> Self {
        Self { inner, faults, clock, timeout }
    }

    fn call<A>(&self, act: impl FnOnce(&dyn Table) -> A) -> Result<A, PlatformError> {
        self.faults.wait_while_held();
        let (fate, delay) = self.faults.next_fate();
        self.clock.sleep(delay.min(self.timeout));
        let no_answer = |cause: &str| PlatformError::NoAnswer {
            service: SERVICE,
            waited: self.timeout,
            cause: cause.to_owned(),
        };
        match fate {
            Fate::Down => Err(PlatformError::Unreachable {
                service: SERVICE,
                address: "in process".to_owned(),
                cause: "switched off".to_owned(),
            }),
            Fate::Refused => Err(PlatformError::Refused {
                service: SERVICE,
                status: TOO_LARGE,
                message: "too large".to_owned(),
            }),
            Fate::RequestLost => Err(no_answer("request lost")),
            Fate::AnswerLost => {
                act(self.inner.as_ref());
                Err(no_answer("answer lost"))
            }
            Fate::Answered => {
                let answer = act(self.inner.as_ref());
                if delay > self.timeout { Err(no_answer("timeout")) } else { Ok(answer) }
            }
        }
    }
}

impl Table for FaultyTable {
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError> {
        self.call(|table| table.read(req))?
    }

    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError> {
        self.call(|table| table.commit(txn))?
    }

    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError> {
        self.call(|table| table.operation(query))?
    }
}
