//! Contexts of entry processes on an in-memory platform, for tests without sockets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use plantainlever::clock::{Clock, ManualClock};
use plantainlever::config::{Limits, LogSettings, PeerSeed, PlatformSettings, Settings, Timing};
use plantainlever::local::History;
use plantainlever::local::objects::MemoryObjects;
use plantainlever::local::table::MemoryTable;
use plantainlever::local::vms::MemoryVms;
use plantainlever::ops::Context;
use plantainlever::ops::api::status::StatusSources;
use plantainlever::ops::context::{SharedVmListing, StopState};
use plantainlever::peer::{
    Directory, ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat,
    HeartbeatReply, HoldAnswer, HoldQuery, PeerError, Peers, RecordKey, RecordKeyReply, Relay,
    RelayReply,
};
use plantainlever::platform::group_commit::GroupCommit;
use plantainlever::platform::http::HttpWorkers;
use plantainlever::platform::relay;
use plantainlever::platform::table::Table;
use plantainlever::telemetry::Metrics;

use crate::fault::{Faults, FaultyTable};

/// Timeout of one call to the table or to a worker.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// Loopback address with port 0, for which the operating system picks a port.
#[must_use]
pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Settings of a process in domain `a` of the domains `a` and `b`, with default timing and limits and one peer seed per
/// domain: port 1 in `a`, port 2 in `b`.
#[must_use]
pub fn settings() -> Settings {
    let seed = |domain: &str, port: u16| PeerSeed {
        domain: domain.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
    };
    Settings {
        name: "vm".to_owned(),
        domain: "a".to_owned(),
        domains: vec!["a".to_owned(), "b".to_owned()],
        listen: loopback(),
        peer_listen: loopback(),
        peers: vec![seed("a", 1), seed("b", 2)],
        platform: PlatformSettings { table: loopback(), objects: loopback(), vms: loopback() },
        statsd: None,
        log: LogSettings::default(),
        timing: Timing::default(),
        limits: Limits::default(),
    }
}

/// Builds a context with empty caches, its own object store and VM list, and unreachable peers.
#[must_use]
pub fn context(
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
        peers: Arc::new(RelayPeers::new(table, &[])),
        directory: Directory::default(),
        status: StatusSources::default(),
        metrics: Metrics::disabled(),
        stop: StopState::default(),
    }
}

/// An in-memory table with fault injection, and the clock that its delays use.
#[derive(Clone, Debug)]
pub struct TestTable<C> {
    /// The table, bypassing the fault switches.
    pub table: MemoryTable,
    /// Fault switches of `faulty`.
    pub faults: Faults,
    /// Clock of the injected delays and of the contexts.
    pub clock: Arc<C>,
    /// The table with the faults applied.
    pub faulty: Arc<dyn Table>,
}

impl<C: Clock + 'static> TestTable<C> {
    /// Creates an empty table whose delays use `clock`.
    #[must_use]
    pub fn with_clock(clock: C) -> Self {
        let clock = Arc::new(clock);
        let table = MemoryTable::new(History::default());
        let faults = Faults::default();
        let (inner, time) = (Arc::new(table.clone()), Arc::clone(&clock) as Arc<dyn Clock>);
        let faulty = Arc::new(FaultyTable::new(inner, faults.clone(), time, TIMEOUT));
        Self { table, faults, clock, faulty }
    }

    /// Returns the time five seconds from now on the clock.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.clock.now() + Duration::from_secs(5)
    }

    /// Builds a context that uses the given group commit.
    #[must_use]
    pub fn context_with(&self, process: &str, commits: GroupCommit) -> Context {
        context(process, Arc::clone(&self.faulty), Arc::clone(&self.clock) as _, commits)
    }
}

impl TestTable<ManualClock> {
    /// Creates an empty table with a manual clock.
    #[must_use]
    pub fn new() -> Self {
        Self::with_clock(ManualClock::new())
    }

    /// Builds a group commit that runs in the submitter's thread.
    #[must_use]
    pub fn commits(&self, process: &str) -> GroupCommit {
        let (table, clock) = (Arc::clone(&self.faulty), Arc::clone(&self.clock));
        GroupCommit::inline(table, clock, Metrics::disabled(), &settings(), process)
    }

    /// Builds a context that commits in the submitter's thread.
    #[must_use]
    pub fn context(&self, process: &str) -> Context {
        self.context_with(process, self.commits(process))
    }
}

impl Default for TestTable<ManualClock> {
    fn default() -> Self {
        Self::new()
    }
}

/// Peers that relay calls to a table. All other messages fail with [`PeerError::Unreachable`].
#[derive(Debug)]
pub struct RelayPeers {
    table: Arc<dyn Table>,
    /// Addresses that answer relay calls.
    reachable: Vec<&'static str>,
    /// Addresses of the relay calls since the last [`RelayPeers::take_called`], in order.
    called: Mutex<Vec<String>>,
}

impl RelayPeers {
    /// Peers of which only those at `reachable` answer relay calls, by calling `table`.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, reachable: &[&'static str]) -> Self {
        Self { table, reachable: reachable.to_vec(), called: Mutex::default() }
    }

    /// Removes and returns the addresses of the relay calls so far, reachable or not.
    #[must_use]
    pub fn take_called(&self) -> Vec<String> {
        std::mem::take(&mut *self.called.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn unreachable_peer<A>(address: &str) -> Result<A, PeerError> {
    Err(PeerError::Unreachable { address: address.to_owned(), cause: "cut".to_owned() })
}

impl Peers for RelayPeers {
    fn heartbeat(&self, to: &str, _: Heartbeat, _: Duration) -> Result<HeartbeatReply, PeerError> {
        unreachable_peer(to)
    }

    fn query_hold(&self, to: &str, _: HoldQuery, _: Duration) -> Result<HoldAnswer, PeerError> {
        unreachable_peer(to)
    }

    fn hand_over(&self, to: &str, _: HandOver, _: Duration) -> Result<HandOverReply, PeerError> {
        unreachable_peer(to)
    }

    fn record_key(&self, to: &str, _: RecordKey, _: Duration) -> Result<RecordKeyReply, PeerError> {
        unreachable_peer(to)
    }

    fn relay(&self, to: &str, msg: Relay, _: Duration) -> Result<RelayReply, PeerError> {
        self.called.lock().unwrap_or_else(PoisonError::into_inner).push(to.to_owned());
        if self.reachable.contains(&to) {
            Ok(relay::answer(self.table.as_ref(), &msg))
        } else {
            unreachable_peer(to)
        }
    }

    fn forward(
        &self,
        to: &str,
        _: ForwardedRequest,
        _: Duration,
    ) -> Result<ForwardedAnswer, PeerError> {
        unreachable_peer(to)
    }
}
