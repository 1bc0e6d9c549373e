//! Relays calls of the table service through peers.
//!
//! A domain that is cut off from the table may still reach processes that are not. [`RelayedTable`] calls the table
//! directly and, while that fails, through peers. The peer calls [`answer`] with its direct client, so a relayed call
//! is never relayed again. A commit keeps its operation id on each route, so it is safe to repeat it on another one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PlatformError;
use super::table::{
    CommitResult, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Table, Transaction,
};
use crate::clock::Clock;
use crate::config::Settings;
use crate::peer::{Directory, PeerError, Peers, Relay, RelayReply};
use crate::telemetry::Metrics;
use crate::telemetry::event::platform::{RELAY_ENDED, RELAY_STARTED};

/// Name of the service in error messages.
const SERVICE: &str = "table service through a peer";

/// Time from the first relayed call to the next direct one.
const FIRST_DIRECT_RETRY: Duration = Duration::from_secs(5);

/// Upper bound of that time, which doubles with each failed direct call. A failed call may take a whole timeout, and
/// the catalogue cache becomes stale if that happens often.
const MAX_DIRECT_RETRY: Duration = Duration::from_secs(60);

/// Number of peers of other domains that one call tries; bounds the time of a call while no peer is reachable.
const MAX_OTHER_DOMAIN_PEERS: usize = 2;

/// Number of peers of this process's domain that one call tries after those.
const MAX_OWN_DOMAIN_PEERS: usize = 1;

/// The route that the next call tries first.
#[derive(Clone, Debug, PartialEq)]
enum Route {
    Direct,
    /// Through this peer until the next direct call.
    Peer {
        address: String,
        retry_direct_at: Instant,
        /// Time from the last direct call to the next one.
        direct_retry_interval: Duration,
    },
}

#[derive(Debug)]
struct State {
    route: Route,
    /// Incremented by each call that needs a new peer, so that successive calls try different peers.
    peer_offset: usize,
}

/// A table that is called directly or, while that fails, through peers.
#[derive(Debug)]
pub struct RelayedTable {
    direct: Arc<dyn Table>,
    peers: Arc<dyn Peers>,
    directory: Directory,
    clock: Arc<dyn Clock>,
    /// Peer address of this process, which is never used as a relay.
    own_address: String,
    domain: String,
    /// Domain and address of the peers in the settings.
    seeds: Vec<(String, String)>,
    timeout: Duration,
    metrics: Metrics,
    state: Mutex<State>,
}

impl RelayedTable {
    /// Wraps the direct client. `own_address` is the address of this process's peer interface, which is never called.
    /// Counts relayed calls as `table.relayed`.
    #[must_use]
    pub fn new(
        direct: Arc<dyn Table>,
        peers: Arc<dyn Peers>,
        directory: Directory,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        cfg: &Settings,
        own_address: SocketAddr,
    ) -> Self {
        let seeds = cfg.peers.iter().map(|peer| (peer.domain.clone(), peer.address.to_string()));
        Self {
            direct,
            peers,
            directory,
            clock,
            own_address: own_address.to_string(),
            domain: cfg.domain.clone(),
            seeds: seeds.collect(),
            timeout: cfg.timing.platform_timeout(),
            metrics,
            state: Mutex::new(State { route: Route::Direct, peer_offset: 0 }),
        }
    }

    /// Returns the direct client, with which this process answers peers.
    #[must_use]
    pub fn direct(&self) -> &Arc<dyn Table> {
        &self.direct
    }

    /// Makes a call on the route that worked last, and on the other routes if it fails.
    fn call<A: DeserializeOwned>(
        &self,
        direct: impl Fn(&dyn Table) -> Result<A, PlatformError>,
        relay: impl Fn() -> Result<Relay, PlatformError>,
    ) -> Result<A, PlatformError> {
        let mut failures = Failures::default();
        let mut tried = None;
        let route = self.lock().route.clone();
        let mut last_peer = match route {
            Route::Direct => None,
            Route::Peer { address, retry_direct_at, .. } => Some((address, retry_direct_at)),
        };
        if let Some((address, _)) =
            last_peer.take_if(|(_, retry_direct_at)| self.clock.now() < *retry_direct_at)
        {
            match self.call_peer(&address, relay()?) {
                Ok(answer) => return Ok(answer),
                Err(error) => failures.add(error),
            }
            tried = Some(address);
        }
        match direct(self.direct.as_ref()) {
            Ok(answer) => {
                self.use_direct();
                return Ok(answer);
            }
            Err(error) if is_final(&error) => return Err(failures.into_error_after(error)),
            Err(error) => failures.add(error),
        }
        let preferred = last_peer.map(|(address, _)| address);
        for address in self.candidates(tried.as_deref(), preferred.as_deref()) {
            match self.call_peer(&address, relay()?) {
                Ok(answer) => {
                    self.use_peer(address);
                    return Ok(answer);
                }
                Err(error) => failures.add(error),
            }
        }
        self.lock().route = Route::Direct;
        Err(failures.into_error())
    }

    fn call_peer<A: DeserializeOwned>(
        &self,
        address: &str,
        relay: Relay,
    ) -> Result<A, PlatformError> {
        self.metrics.count("table.relayed", 1);
        match self.peers.relay(address, relay, self.timeout) {
            Ok(RelayReply::Answer(answer)) => serde_json::from_str(&answer).map_err(|error| {
                PlatformError::Malformed { service: SERVICE, cause: error.to_string() }
            }),
            Ok(RelayReply::Failed { no_effect: true, cause }) => Err(PlatformError::Unreachable {
                service: SERVICE,
                address: address.to_owned(),
                cause,
            }),
            Err(PeerError::Unreachable { address, cause }) => {
                Err(PlatformError::Unreachable { service: SERVICE, address, cause })
            }
            Ok(RelayReply::Failed { no_effect: false, cause })
            | Err(PeerError::NoAnswer { cause, .. }) => {
                Err(PlatformError::NoAnswer { service: SERVICE, waited: self.timeout, cause })
            }
        }
    }

    /// Returns the peers to try: the one that worked last, then peers of other domains, because this process's domain
    /// is probably cut off as a whole, then peers of its own domain.
    fn candidates(&self, tried: Option<&str>, preferred: Option<&str>) -> Vec<String> {
        let members = self.directory.snapshot();
        let known =
            members.values().map(|member| (member.domain.clone(), member.peer_address.clone()));
        let mut others = Vec::new();
        let mut own = Vec::new();
        for (domain, address) in known.chain(self.seeds.iter().cloned()) {
            let list = if domain == self.domain { &mut own } else { &mut others };
            let is_self = address == self.own_address;
            if !is_self && tried != Some(address.as_str()) && !list.contains(&address) {
                list.push(address);
            }
        }
        let mut state = self.lock();
        let peer_offset = state.peer_offset;
        state.peer_offset = peer_offset.wrapping_add(1);
        rotate(&mut others, peer_offset.wrapping_mul(MAX_OTHER_DOMAIN_PEERS));
        rotate(&mut own, peer_offset.wrapping_mul(MAX_OWN_DOMAIN_PEERS));
        let rest = others
            .into_iter()
            .take(MAX_OTHER_DOMAIN_PEERS)
            .chain(own.into_iter().take(MAX_OWN_DOMAIN_PEERS));
        let rest = rest.filter(|address| Some(address.as_str()) != preferred);
        preferred.map(str::to_owned).into_iter().chain(rest).collect()
    }

    fn use_direct(&self) {
        let mut state = self.lock();
        if state.route != Route::Direct {
            state.route = Route::Direct;
            RELAY_ENDED.emit(format_args!("the table service answers directly"));
        }
    }

    fn use_peer(&self, address: String) {
        let now = self.clock.now();
        let mut state = self.lock();
        let (retry_direct_at, direct_retry_interval) = match state.route {
            Route::Direct => {
                RELAY_STARTED.emit(format_args!("the table service is called through {address}"));
                (now + FIRST_DIRECT_RETRY, FIRST_DIRECT_RETRY)
            }
            // Another thread has meanwhile made a direct call that failed, or the peer failed before the next direct
            // call was due.
            Route::Peer { retry_direct_at, direct_retry_interval, .. } if now < retry_direct_at => {
                (retry_direct_at, direct_retry_interval)
            }
            Route::Peer { direct_retry_interval, .. } => {
                let direct_retry_interval = (direct_retry_interval * 2).min(MAX_DIRECT_RETRY);
                (now + direct_retry_interval, direct_retry_interval)
            }
        };
        state.route = Route::Peer { address, retry_direct_at, direct_retry_interval };
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rotate(list: &mut [String], start: usize) {
    if !list.is_empty() {
        list.rotate_left(start % list.len());
    }
}

/// True if another route would give the same answer as the direct call that failed with this error.
fn is_final(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Refused { .. } | PlatformError::Malformed { .. })
}

/// Collects the errors of one call on its routes.
#[derive(Debug, Default)]
struct Failures {
    /// The error to report: the last one that may have had an effect, otherwise the first one.
    reported: Option<PlatformError>,
}

impl Failures {
    fn add(&mut self, error: PlatformError) {
        if self.reported.is_none() || !error.had_no_effect() {
            self.reported = Some(error);
        }
    }

    /// Returns the error to report if `error` ended the call. An earlier error that may have had an effect goes first,
    /// because a refusal on one route does not undo an effect on another one.
    fn into_error_after(mut self, error: PlatformError) -> PlatformError {
        match self.reported.take() {
            Some(reported) if !reported.had_no_effect() => reported,
            _ => error,
        }
    }

    fn into_error(self) -> PlatformError {
        self.reported.unwrap_or(PlatformError::Unreachable {
            service: SERVICE,
            address: String::new(),
            cause: "no peer is known that can relay to the table service".to_owned(),
        })
    }
}

fn encode<T: Serialize>(value: &T) -> Result<String, PlatformError> {
    serde_json::to_string(value).map_err(|error| PlatformError::Refused {
        service: SERVICE,
        status: 0,
        message: error.to_string(),
    })
}

impl Table for RelayedTable {
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError> {
        self.call(|table| table.read(req), || encode(req).map(Relay::Read))
    }

    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError> {
        self.call(|table| table.commit(txn), || encode(txn).map(Relay::Commit))
    }

    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError> {
        self.call(|table| table.operation(query), || encode(query).map(Relay::Operation))
    }
}

/// Answers a call that a peer relays, with this process's direct client.
#[must_use]
pub fn answer(direct: &dyn Table, msg: &Relay) -> RelayReply {
    match msg {
        Relay::Read(req) => answer_call(req, |req| direct.read(&req)),
        Relay::Commit(txn) => answer_call(txn, |txn| direct.commit(&txn)),
        Relay::Operation(query) => answer_call(query, |query| direct.operation(&query)),
    }
}

fn answer_call<Q: DeserializeOwned, A: Serialize>(
    req: &str,
    call: impl FnOnce(Q) -> Result<A, PlatformError>,
) -> RelayReply {
    let req = match serde_json::from_str(req) {
        Ok(req) => req,
        Err(error) => return RelayReply::Failed { no_effect: true, cause: error.to_string() },
    };
    match call(req) {
        Ok(answer) => match serde_json::to_string(&answer) {
            Ok(answer) => RelayReply::Answer(answer),
            Err(error) => RelayReply::Failed { no_effect: false, cause: error.to_string() },
        },
        Err(error) => {
            RelayReply::Failed { no_effect: error.had_no_effect(), cause: error.to_string() }
        }
    }
}
