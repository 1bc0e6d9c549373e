//! Starts and stops the components of an entry process.
//!
//! The connections to the table and to peers start first, then the components that serve peers and callers. The planned
//! stop ends a component only once no request in flight needs it, or `timing.drain_ms` has passed.

mod handler;
mod sources;

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use super::Context;
use super::api::status::StatusSources;
use super::api::{catalogue, domains, status, tasks};
use super::context::{SharedVmListing, StopState};
use super::dispatch::{DispatchError, Dispatcher};
use super::drain::{Drained, drain};
use super::front::{ApiRoutes, Front, FrontError};
use super::keys::{IdempotencyError, IdempotencyKeys};
use super::membership::{HeartbeatThread, Heartbeats, MembershipError};
use super::schedule::{DomainScheduler, SchedulerError};
use super::sync::{SyncError, SyncThreads};
use crate::catalogue::cache::SharedCatalogue;
use crate::clock::Clock;
use crate::config::Settings;
use crate::peer::{Directory, Member, PeerNode, PeerNodeError, Peers};
use crate::platform::group_commit::{GroupCommit, GroupCommitError};
use crate::platform::http::{HttpObjects, HttpTable, HttpVmList, HttpWorkers};
use crate::platform::relay::RelayedTable;
use crate::platform::table::Table;
use crate::platform::target::HttpTargets;
use crate::request::key::KeyLimits;
use crate::telemetry::Metrics;
use crate::telemetry::event::process as event;

use handler::EntryHandler;
use sources::{RequestSource, SchedulerSource};

/// Why an entry process could not start: the error of the component that failed.
#[derive(Debug, Error)]
pub enum StartError {
    /// The socket for metrics could not be created.
    #[error("cannot create a socket for statsd")]
    Metrics(#[source] std::io::Error),
    /// The peer interface could not be bound or started.
    #[error(transparent)]
    Peer(#[from] PeerNodeError),
    /// Group commit could not be started.
    #[error(transparent)]
    GroupCommit(#[from] GroupCommitError),
    /// The threads that poll the table and the VM list could not be started.
    #[error(transparent)]
    Sync(#[from] SyncError),
    /// The heartbeat thread could not be started.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The dispatcher could not be started.
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
    /// The store of idempotency keys could not be started.
    #[error(transparent)]
    Keys(#[from] IdempotencyError),
    /// The domain scheduler could not be started.
    #[error(transparent)]
    Schedule(#[from] SchedulerError),
    /// The HTTP server for callers and operators could not be started.
    #[error(transparent)]
    Front(#[from] FrontError),
}

/// A running entry process.
#[derive(Debug)]
pub struct EntryProcess {
    cx: Context,
    node: Arc<PeerNode>,
    commits: GroupCommit,
    sync: SyncThreads,
    heartbeats: HeartbeatThread,
    dispatcher: Dispatcher,
    keys: IdempotencyKeys,
    scheduler: DomainScheduler,
    front: Front,
}

impl EntryProcess {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or a thread cannot be started. The platform need not be reachable.
    pub fn start(cfg: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
        let metrics = match cfg.statsd {
            Some(address) => Metrics::to_statsd(address).map_err(StartError::Metrics)?,
            None => Metrics::disabled(),
        };
        let node = Arc::new(PeerNode::bind(cfg.peer_listen)?);
        let (cx, direct) = context(cfg, clock, metrics, &node)?;
        let heartbeats = Heartbeats::new(cx.clone());
        let targets =
            Arc::new(HttpTargets::new(Arc::clone(&cx.clock), cx.cfg.limits.max_answer_bytes));
        let dispatcher = Dispatcher::start(cx.clone(), targets, Some(Arc::clone(&heartbeats)))?;
        let keys = IdempotencyKeys::start(cx.clone(), KeyLimits::default())?;
        let scheduler = DomainScheduler::start(&cx)?;
        cx.status.register(Arc::new(RequestSource::new(dispatcher.clone())));
        cx.status.register(Arc::new(SchedulerSource::new(scheduler.clone())));
        let handler = EntryHandler {
            heartbeats: Arc::clone(&heartbeats),
            dispatcher: dispatcher.clone(),
            keys: keys.clone(),
            scheduler: scheduler.clone(),
            table: direct,
        };
        node.serve(Arc::new(handler))?;
        let front = Front::start(&cx, dispatcher.clone(), keys.clone(), api_routes())?;
        let sync = SyncThreads::start(&cx, own_member(&cx, &node, front.address()))?;
        let heartbeats = heartbeats.start()?;
        event::STARTED.emit(format_args!(
            "{} serves callers on {} and peers on {}",
            cx.process,
            front.address(),
            node.address()
        ));
        Ok(Self {
            commits: cx.commits.clone(),
            cx,
            node,
            sync,
            heartbeats,
            dispatcher,
            keys,
            scheduler,
            front,
        })
    }

    /// Returns the address for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the name of the process, which is unique per start.
    #[must_use]
    pub fn process(&self) -> &str {
        &self.cx.process
    }

    /// Stops gracefully: waits for the requests in flight for at most `timing.drain_ms`, then ends all components.
    pub fn close(self) -> Drained {
        event::STOPPING.emit(format_args!("{} finishes what is in flight", self.cx.process));
        let drained = drain(&self.cx, &self.dispatcher);
        // The scheduler renews leases until the drain ends, and then hands its domain over to a peer at once.
        self.scheduler.close();
        self.sync.close();
        self.front.close();
        self.dispatcher.close();
        self.keys.close();
        self.heartbeats.close();
        self.commits.close();
        self.node.close();
        event::STOPPED.emit(format_args!(
            "{} left {} requests unfinished after {:?}",
            self.cx.process, drained.unfinished, drained.waited
        ));
        drained
    }
}

/// Creates the context. Also returns the table client that never relays, for calls that peers relay to this process.
fn context(
    cfg: Settings,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    node: &Arc<PeerNode>,
) -> Result<(Context, Arc<dyn Table>), StartError> {
    let process = format!("{}-{:08x}", cfg.name, rand::random::<u32>());
    let timeout = cfg.timing.platform_timeout();
    let direct: Arc<dyn Table> =
        Arc::new(HttpTable::new(cfg.platform.table, timeout, metrics.clone()));
    let peers: Arc<dyn Peers> = Arc::clone(node) as Arc<dyn Peers>;
    let directory = Directory::default();
    let table: Arc<dyn Table> = Arc::new(RelayedTable::new(
        Arc::clone(&direct),
        Arc::clone(&peers),
        directory.clone(),
        Arc::clone(&clock),
        metrics.clone(),
        &cfg,
        node.address(),
    ));
    let commits = GroupCommit::start(
        Arc::clone(&table),
        Arc::clone(&clock),
        metrics.clone(),
        &cfg,
        &process,
    )?;
    let cx = Context {
        process,
        clock,
        table,
        commits,
        objects: Arc::new(HttpObjects::new(cfg.platform.objects, timeout, metrics.clone())),
        vms: Arc::new(HttpVmList::new(cfg.platform.vms, timeout, metrics.clone())),
        workers: Arc::new(HttpWorkers::new(timeout, metrics.clone())),
        catalogue: SharedCatalogue::default(),
        vm_listing: SharedVmListing::default(),
        peers,
        directory,
        status: StatusSources::default(),
        metrics,
        stop: StopState::default(),
        cfg: Arc::new(cfg),
    };
    Ok((cx, direct))
}

fn own_member(cx: &Context, node: &PeerNode, address: SocketAddr) -> Member {
    Member {
        process: cx.process.clone(),
        domain: cx.cfg.domain.clone(),
        peer_address: node.address().to_string(),
        address: address.to_string(),
    }
}

fn api_routes() -> ApiRoutes {
    ApiRoutes::default()
        .with("catalogue", catalogue::handle)
        .with("domains", domains::handle)
        .with("tasks", tasks::handle)
        .with("status", |cx, req| status::handle(cx, &cx.status, req))
}
