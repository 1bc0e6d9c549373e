//! `GET /v1/status`: what an operator wants to know first.
//!
//! It must answer in the middle of an outage, so everything comes from memory except the holders, which are read from
//! the table with a short timeout and left out if the table does not answer.

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

/// Longest wait for the holders.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);

/// Most unplaceable tasks that are listed by name.
const MAX_UNPLACEABLE: usize = 100;

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusView {
    /// Name of the process that answers.
    pub process: String,
    /// Its failure domain.
    pub domain: String,
    /// True from the start of its planned stop.
    pub stopping: bool,
    /// Table revision of its catalogue cache.
    pub revision: Revision,
    /// Time since the cache was last known to be current, in milliseconds; none before the first read.
    pub revision_age_ms: Option<u64>,
    /// True while the cache is fresh enough for tasks to start.
    pub fresh: bool,
    /// All failure domains.
    pub domains: Vec<DomainStatus>,
    /// False if the table did not say in time who schedules.
    pub schedulers_known: bool,
    /// Queues of this process.
    pub queues: Vec<QueueStatus>,
    /// Workers that are out of use because they fail what they start.
    pub quarantined: Vec<QuarantinedWorker>,
    /// Number of tasks of this process's domain that can never run as they are.
    pub unplaceable_count: usize,
    /// The first of them.
    pub unplaceable: Vec<UnplaceableTask>,
}

/// A failure domain and who schedules it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainStatus {
    /// Name.
    pub name: String,
    /// State set by operators.
    pub state: DomainState,
    /// Process that schedules it, if known.
    pub scheduler: Option<String>,
    /// Epoch of its hold, if known.
    pub epoch: Option<u64>,
    /// Process that claims the hold, if any.
    pub claimant: Option<String>,
}

/// A queue of this process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueStatus {
    /// What waits, such as `requests` or `tasks`.
    pub name: String,
    /// Class of the work.
    pub class: Class,
    /// How many wait.
    pub waiting: usize,
    /// How many run.
    pub running: usize,
}

/// A worker in quarantine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuarantinedWorker {
    /// Name.
    pub worker: String,
    /// Failure domain.
    pub domain: String,
    /// Why, for people.
    pub reason: String,
}

/// A task that can never run as it is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnplaceableTask {
    /// Identity.
    pub id: String,
    /// Catalogue entry.
    pub entry: String,
    /// Why.
    pub reason: String,
}

/// A duty that has something to show. Implementations return a snapshot from memory and never block.
pub trait StatusSource: Debug + Send + Sync {
    /// Queues.
    fn queues(&self) -> Vec<QueueStatus> {
        Vec::new()
    }

    /// Workers in quarantine.
    fn quarantined(&self) -> Vec<QuarantinedWorker> {
        Vec::new()
    }

    /// Tasks that can never run as they are.
    fn unplaceable(&self) -> Vec<UnplaceableTask> {
        Vec::new()
    }
}

/// The duties that have something to show. Cloning shares the list.
#[derive(Clone, Debug, Default)]
pub struct StatusSources {
    sources: Arc<RwLock<Vec<Arc<dyn StatusSource>>>>,
    /// True while a read of the holders is in progress, so that a hanging table occupies one thread at most.
    reading: Arc<AtomicBool>,
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

/// Answers `/v1/status`.
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
    let duties = sources.snapshot();
    let mut unplaceable: Vec<_> = duties.iter().flat_map(|duty| duty.unplaceable()).collect();
    let unplaceable_count = unplaceable.len();
    unplaceable.truncate(MAX_UNPLACEABLE);
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
        queues: duties.iter().flat_map(|duty| duty.queues()).collect(),
        quarantined: duties.iter().flat_map(|duty| duty.quarantined()).collect(),
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

/// The hold rows by domain; `None` if the table does not answer in time.
fn read_holds(cx: &Context, sources: &StatusSources) -> Option<BTreeMap<String, HoldRow>> {
    if sources.reading.swap(true, Ordering::SeqCst) {
        return None;
    }
    let keys = cx.cfg.domains.iter().map(|domain| hold::row_key(domain)).collect();
    let req = ReadRequest { keys, ..ReadRequest::default() };
    let table = Arc::clone(&cx.table);
    let reading = Arc::clone(&sources.reading);
    let (tx, rx) = sync_channel(1);
    let reader = std::thread::Builder::new().name("status".to_owned()).spawn(move || {
        let answer = table.read(&req);
        reading.store(false, Ordering::SeqCst);
        // The request may have gone on without the answer.
        let _ = tx.send(answer);
    });
    if reader.is_err() {
        sources.reading.store(false, Ordering::SeqCst);
        return None;
    }
    let answer = rx.recv_timeout(HOLD_TIMEOUT).ok()?.ok()?;
    let decode = |row: &crate::platform::table::Row| {
        let domain = row.key.strip_prefix(hold::ROW_PREFIX)?.to_owned();
        let hold = HoldRow::deserialize(row.value.as_ref()?).ok()?;
        Some((domain, hold))
    };
    Some(answer.rows.iter().filter_map(decode).collect())
}
