//! Fault injection in front of a stand-in.
//!
//! [`Faults`] holds the fault switches. [`Faults::wrap`] applies them to a handler of `JsonServer`, and [`FaultyTable`]
//! applies all except the lag to a table in the same process.

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

/// Maximum number of answers that a lagging handler keeps.
const MAX_KEPT_ANSWERS: usize = 4096;

#[derive(Debug, Default)]
struct Switches {
    down: bool,
    delay: Duration,
    lost_answers: u32,
    lost_requests: u32,
    refusals: u32,
    lag: Duration,
    blocked: bool,
    /// Calls that are blocked until `blocked` is false.
    blocked_calls: usize,
}

/// Fault switches, all off by default. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    switches: Arc<Mutex<Switches>>,
    released: Arc<Condvar>,
}

/// Result that the switches choose for one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disposition {
    Answered,
    Down,
    RequestLost,
    AnswerLost,
    Refused,
}

/// HTTP status of refused calls.
const TOO_LARGE_STATUS: u16 = 413;

impl Faults {
    fn lock(&self) -> MutexGuard<'_, Switches> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether connections are dropped before the handler runs.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Delays each call before the handler runs.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Drops the answers of the next `count` calls after their handler has run.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Drops the next `count` calls before the handler runs.
    pub fn lose_requests(&self, count: u32) {
        self.lock().lost_requests = count;
    }

    /// Refuses the next `count` calls with status 413.
    pub fn refuse(&self, count: u32) {
        self.lock().refusals = count;
    }

    /// Runs the handler but serves an older answer to any request, if possible at least this old, as a lagging replica
    /// of the VM list does. Zero switches it off.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Sets whether calls block before the handler runs.
    pub fn set_blocked(&self, blocked: bool) {
        self.lock().blocked = blocked;
        self.released.notify_all();
    }

    /// Number of calls that are blocked by [`Faults::set_blocked`].
    #[must_use]
    pub fn blocked_calls(&self) -> usize {
        self.lock().blocked_calls
    }

    fn wait_while_blocked(&self) {
        let mut switches = self.lock();
        switches.blocked_calls += 1;
        while switches.blocked {
            switches = self.released.wait(switches).unwrap_or_else(PoisonError::into_inner);
        }
        switches.blocked_calls -= 1;
    }

    fn next_disposition(&self) -> (Disposition, Duration) {
        let mut switches = self.lock();
        let disposition = if switches.down {
            Disposition::Down
        } else if switches.refusals > 0 {
            switches.refusals -= 1;
            Disposition::Refused
        } else if switches.lost_requests > 0 {
            switches.lost_requests -= 1;
            Disposition::RequestLost
        } else if switches.lost_answers > 0 {
            switches.lost_answers -= 1;
            Disposition::AnswerLost
        } else {
            Disposition::Answered
        };
        (disposition, switches.delay)
    }

    /// Wraps a handler so that the switches apply to each call.
    pub fn wrap<H>(&self, handler: H) -> impl Fn(&ServerRequest) -> Reply + Send + Sync + 'static
    where
        H: Fn(&ServerRequest) -> Reply + Send + Sync + 'static,
    {
        let faults = self.clone();
        let kept = Mutex::new(VecDeque::new());
        move |req| {
            faults.wait_while_blocked();
            let (disposition, delay) = faults.next_disposition();
            SystemClock.sleep(delay);
            // A kept answer may go to another client later, so it must not be a 304.
            let mut req = req.clone();
            req.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("If-None-Match"));
            match disposition {
                Disposition::Down | Disposition::RequestLost => Reply::Drop,
                Disposition::Refused => Reply::json(TOO_LARGE_STATUS, &"too large"),
                Disposition::AnswerLost => {
                    handler(&req);
                    Reply::Drop
                }
                Disposition::Answered => {
                    let lag = faults.lock().lag;
                    lagging(&kept, lag, handler(&req))
                }
            }
        }
    }
}

/// Stores an answer and returns the newest one that is at least `lag` old, or the oldest one kept.
fn lagging(kept: &Mutex<VecDeque<(Instant, Reply)>>, lag: Duration, reply: Reply) -> Reply {
    let now = Instant::now();
    let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
    kept.push_back((now, reply));
    while kept.len() > MAX_KEPT_ANSWERS || kept.get(1).is_some_and(|(at, _)| now - *at >= lag) {
        kept.pop_front();
    }
    kept.front().map_or(Reply::Drop, |(_, reply)| reply.clone())
}

/// A table in the same process with fault switches applied to each call. Delays use the given clock.
#[derive(Clone, Debug)]
pub struct FaultyTable {
    inner: Arc<dyn Table>,
    faults: Faults,
    clock: Arc<dyn Clock>,
    /// A call with a longer delay returns [`PlatformError::NoAnswer`], although the table has executed it.
    timeout: Duration,
}

/// Name of the table in errors.
const SERVICE: &str = "table service";

impl FaultyTable {
    /// Applies `faults` to the calls of `inner`.
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
        self.faults.wait_while_blocked();
        let (disposition, delay) = self.faults.next_disposition();
        self.clock.sleep(delay.min(self.timeout));
        let no_answer = |cause: &str| PlatformError::NoAnswer {
            service: SERVICE,
            waited: self.timeout,
            cause: cause.to_owned(),
        };
        match disposition {
            Disposition::Down => Err(PlatformError::Unreachable {
                service: SERVICE,
                address: "in process".to_owned(),
                cause: "switched off".to_owned(),
            }),
            Disposition::Refused => Err(PlatformError::Refused {
                service: SERVICE,
                status: TOO_LARGE_STATUS,
                message: "too large".to_owned(),
            }),
            Disposition::RequestLost => Err(no_answer("request lost")),
            Disposition::AnswerLost => {
                act(self.inner.as_ref());
                Err(no_answer("answer lost"))
            }
            Disposition::Answered => {
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
