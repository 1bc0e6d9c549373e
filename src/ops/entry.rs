//! Puts the duties of an entry process together.
//!
//! Duties start from the inside out: the way to the table and to the peers first, then what follows the platform, then
//! what serves callers. The planned stop goes the other way round, so that nothing a request in flight needs is taken
//! away from it.

mod handler;
mod sources;

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use super::Context;
use super::api::status::StatusSources;
use super::api::{catalogue, domains, status, tasks};
use super::context::{SharedVmListing, StopSignal};
use super::dispatch::{DispatchError, Dispatcher};
use super::drain::{Drained, drain};
use super::front::{ApiRoutes, Front, FrontError};
use super::keys::{IdempotencyError, IdempotencyKeys};
use super::membership::{HeartbeatThread, Heartbeats, MembershipError};
use super::schedule::{DomainScheduler, SchedulerError};
use super::sync::{Sync, SyncError};
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

/// Why an entry process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// No socket for metrics.
    #[error("cannot create a socket for statsd")]
    Metrics(#[source] std::io::Error),
    /// No peer interface.
    #[error(transparent)]
    Peer(#[from] PeerNodeError),
    /// No group commit.
    #[error(transparent)]
    GroupCommit(#[from] GroupCommitError),
    /// Nothing that follows the platform.
    #[error(transparent)]
    Sync(#[from] SyncError),
    /// No heartbeats.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// No dispatcher.
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
    /// No idempotency keys.
    #[error(transparent)]
    Keys(#[from] IdempotencyError),
    /// No scheduler.
    #[error(transparent)]
    Schedule(#[from] SchedulerError),
    /// No interface for callers.
    #[error(transparent)]
    Front(#[from] FrontError),
}

/// A running entry process.
#[derive(Debug)]
pub struct Entry {
    cx: Context,
    node: Arc<PeerNode>,
    commits: GroupCommit,
    sync: Sync,
    heartbeats: HeartbeatThread,
    dispatcher: Dispatcher,
    keys: IdempotencyKeys,
    scheduler: DomainScheduler,
    front: Front,
}

impl Entry {
    /// Starts all duties.
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
        let sync = Sync::start(&cx, member(&cx, &node, front.address()))?;
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

    /// Address for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Name of the process, unique per start.
    #[must_use]
    pub fn process(&self) -> &str {
        &self.cx.process
    }

    /// Stops gracefully: finishes the requests in flight, then ends all duties.
    pub fn close(self) -> Drained {
        event::STOPPING.emit(format_args!("{} finishes what is in flight", self.cx.process));
        let drained = drain(&self.cx, &self.dispatcher);
        // Leases are renewed until the requests in flight are done, and scheduling passes to a peer at once then.
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
            self.cx.process, drained.left, drained.waited
        ));
        drained
    }
}

/// Builds the context, and returns the direct client of the table beside it.
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
        stop: StopSignal::default(),
        cfg: Arc::new(cfg),
    };
    Ok((cx, direct))
}

fn member(cx: &Context, node: &PeerNode, address: SocketAddr) -> Member {
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
