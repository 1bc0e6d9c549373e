//! `GET /v1/status`: a summary for operators.
//!
//! It must work during an outage of the table service, so everything comes from memory except the holders of the
//! domains, which are read with a short timeout and left out if the table does not answer.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ApiRequest, ApiResponse};
use crate::catalogue::{CatalogueCache, Class};
use crate::domain::{DomainState, HoldRow, hold};
use crate::error::ApiError;
use crate::ops::Context;
use crate::platform::table::{ReadRequest, Revision};

/// Longest wait for the table's answer with the hold rows.
const HOLD_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of unplaceable tasks that are listed; the count has all of them.
const MAX_LISTED_UNPLACEABLE: usize = 100;

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusView {
    /// Name of the process that responds.
    pub process: String,
    /// Its failure domain.
    pub domain: String,
    /// True once its planned stop has begun.
    pub stopping: bool,
    /// Table revision that its catalogue cache reflects.
    pub revision: Revision,
    /// Time since the cache was last known to be current, in milliseconds; `None` before the first read.
    pub revision_age_ms: Option<u64>,
    /// True while the cache is fresh enough for tasks to start.
    pub fresh: bool,
    /// All failure domains, in the order of the settings.
    pub domains: Vec<DomainStatus>,
    /// False if the holds could not be read in time; `scheduler`, `epoch` and `claimant` are `None` then.
    pub schedulers_known: bool,
    /// Queues of this process.
    pub queues: Vec<QueueStatus>,
    /// Workers that get no tasks because the tasks they start fail.
    pub quarantined: Vec<QuarantinedWorker>,
    /// Number of tasks of this process's domain that can never be placed as submitted.
    pub unplaceable_count: usize,
    /// At most the first 100 of these tasks.
    pub unplaceable: Vec<UnplaceableTask>,
}

/// A failure domain with its state and its scheduler.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainStatus {
    /// Name as in the settings.
    pub name: String,
    /// State set by operators; `In` if none was set.
    pub state: DomainState,
    /// Process that holds the domain; empty if the hold was released, `None` if there is no hold row or the holds could
    /// not be read.
    pub scheduler: Option<String>,
    /// Epoch of the hold; `None` as for `scheduler`.
    pub epoch: Option<u64>,
    /// Process that claims the hold; `None` if there is no claim or the holds could not be read.
    pub claimant: Option<String>,
}

/// A queue of this process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Kind of the items: `requests` or `tasks`.
    pub name: String,
    /// Class of the work: always latency-critical for `requests` and batch for `tasks`, whatever the items' classes.
    pub class: Class,
    /// Number of items that wait.
    pub waiting: usize,
    /// Number of items that run.
    pub running: usize,
}

/// A worker that gets no tasks because the tasks it starts fail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuarantinedWorker {
    /// Name of the worker.
    pub worker: String,
    /// Failure domain of the worker.
    pub domain: String,
    /// Reason of the quarantine, as text for operators.
    pub reason: String,
}

/// A task that can never be placed as submitted, because of its resources or its owner's limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnplaceableTask {
    /// Task ID.
    pub id: String,
    /// Name of its catalogue entry; empty if the source does not know it.
    pub entry: String,
    /// Why it can never be placed, as text for operators.
    pub reason: String,
}

/// A component that contributes to the status. Implementations return a snapshot from memory and never block.
pub trait StatusSource: Debug + Send + Sync {
    /// Queues of the component.
    fn queues(&self) -> Vec<QueueStatus> {
        Vec::new()
    }

    /// Quarantined workers of the domain that the component schedules.
    fn quarantined(&self) -> Vec<QuarantinedWorker> {
        Vec::new()
    }

    /// All tasks that can never be placed as submitted.
    fn unplaceable(&self) -> Vec<UnplaceableTask> {
        Vec::new()
    }
}

/// The registered status sources. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct StatusSources {
    sources: Arc<RwLock<Vec<Arc<dyn StatusSource>>>>,
    /// True while a read of the holds is in progress, so that a table that hangs blocks at most one thread.
    is_reading: Arc<AtomicBool>,
}

impl StatusSources {
    /// Adds a source.
    pub fn register(&self, source: Arc<dyn StatusSource>) {
        self.sources.write().unwrap_or_else(PoisonError::into_inner).push(source);
    }

    fn snapshot(&self) -> Vec<Arc<dyn StatusSource>> {
        self.sources.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Handles a request to `/v1/status`.
#[must_use]
pub fn handle(cx: &Context, sources: &StatusSources, req: &ApiRequest<'_>) -> ApiResponse {
    if req.method != "GET" {
        let message = format!("{} is not allowed on /v1/status", req.method);
        return ApiResponse::error(&ApiError::new(405, "method-not-allowed", message, "use GET"));
    }
    ApiResponse::json(200, &view(cx, sources))
}

fn view(cx: &Context, sources: &StatusSources) -> StatusView {
    let cache = cx.catalogue.snapshot();
    let now = cx.clock.now();
    let holds = read_holds(cx, sources);
    let status_sources = sources.snapshot();
    let mut unplaceable: Vec<_> =
        status_sources.iter().flat_map(|source| source.unplaceable()).collect();
    let unplaceable_count = unplaceable.len();
    unplaceable.truncate(MAX_LISTED_UNPLACEABLE);
    StatusView {
        process: cx.process.clone(),
        domain: cx.cfg.domain.clone(),
        stopping: cx.stop.is_draining(),
        revision: cache.revision(),
        revision_age_ms: cache
            .age(now)
            .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        fresh: cache.is_fresh(now, cx.cfg.timing.freshness()),
        domains: domains(cx, &cache, holds.as_ref()),
        schedulers_known: holds.is_some(),
        queues: status_sources.iter().flat_map(|source| source.queues()).collect(),
        quarantined: status_sources.iter().flat_map(|source| source.quarantined()).collect(),
        unplaceable_count,
        unplaceable,
    }
}

fn domains(
    cx: &Context,
    cache: &CatalogueCache,
    holds: Option<&BTreeMap<String, HoldRow>>,
) -> Vec<DomainStatus> {
    let status = |name: &String| {
        let hold = holds.and_then(|holds| holds.get(name));
        DomainStatus {
            name: name.clone(),
            state: cache.domain_state(name),
            scheduler: hold.map(|hold| hold.holder.clone()),
            epoch: hold.map(|hold| hold.epoch),
            claimant: hold.and_then(|hold| hold.claim.as_ref()).map(|claim| claim.claimant.clone()),
        }
    };
    cx.cfg.domains.iter().map(status).collect()
}

/// Reads the hold rows by domain; `None` if the table does not answer in time or another read is in progress.
fn read_holds(cx: &Context, sources: &StatusSources) -> Option<BTreeMap<String, HoldRow>> {
    if sources.is_reading.swap(true, Ordering::SeqCst) {
        return None;
    }
    let keys = cx.cfg.domains.iter().map(|domain| hold::row_key(domain)).collect();
    let req = ReadRequest { keys, ..ReadRequest::default() };
    let table = Arc::clone(&cx.table);
    let is_reading = Arc::clone(&sources.is_reading);
    let (tx, rx) = sync_channel(1);
    let reader = std::thread::Builder::new().name("status".to_owned()).spawn(move || {
        let answer = table.read(&req);
        is_reading.store(false, Ordering::SeqCst);
        // The receiver is gone if the request has timed out.
        let _ = tx.send(answer);
    });
    if reader.is_err() {
        sources.is_reading.store(false, Ordering::SeqCst);
        return None;
    }
    let answer = rx.recv_timeout(HOLD_READ_TIMEOUT).ok()?.ok()?;
    let decode = |row: &crate::platform::table::Row| {
        let domain = row.key.strip_prefix(hold::ROW_PREFIX)?.to_owned();
        let hold = HoldRow::deserialize(row.value.as_ref()?).ok()?;
        Some((domain, hold))
    };
    Some(answer.rows.iter().filter_map(decode).collect())
}
