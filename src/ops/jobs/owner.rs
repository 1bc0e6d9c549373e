//! Schedules a shard that this process owns, until it loses or releases it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::job::{JobId, JobState, Progress};
use crate::port::{Commit, Committed, Listing, Row, RowKey, RowStore, StoreError, WorkerPort};
use crate::shard::lapse;
use crate::shard::ownership::{HEARTBEAT, Permission};
use crate::shard::scheduler::{
    HoldFailure, Order, OrderKind, OrderOutcome, RowBatch, StartOutcome,
};
use crate::shard::{OwnerRow, Scheduler, ShardId, WorkerId};
use crate::telemetry::event::shard as event;

use super::layout::{self, HeartbeatRow, JobsKey, StoredJob};
use super::node::Node;

/// Longest time between two rounds of the scheduler: leases and lapses are exact to this.
const TICK: Duration = Duration::from_millis(20);

/// Pause between two rounds: answers of many workers that come close together share one.
const ROUND_PAUSE: Duration = Duration::from_millis(3);

/// Time between two writes of rows, so that ends that come close together share a write.
const WRITE_PERIOD: Duration = Duration::from_millis(60);

/// The same while a job waits for its first row, without which none of its tasks may start.
const FIRST_WRITE_PERIOD: Duration = Duration::from_millis(12);

/// Pause after a write that was refused or not answered.
const WRITE_PAUSE: Duration = Duration::from_millis(120);

/// Jobs in one write: each needs a condition and a write of the 100 entries that the store takes; the owner row and the
/// heartbeat take two.
const JOBS_PER_WRITE: usize = 48;

/// Time between two rounds that drop the descriptions of ended jobs: a successor reads what is left.
const SHRINK_PERIOD: Duration = Duration::from_millis(4_000);

/// Time between two rounds that remove the rows of jobs that ended long ago.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// Jobs in one write that drops descriptions: a write and a removal each.
const JOBS_PER_SHRINK: usize = 48;

/// Time between two readings of the VM list. A leaving worker must get no task within two seconds.
const LIST_PERIOD: Duration = Duration::from_millis(500);

/// Longest wait of one question for changes. An open connection may go silent, which only the end of the wait shows.
const CHANGES_WAIT: Duration = Duration::from_millis(1_000);

/// Jobs that come close together share one answer.
const CHANGES_PAUSE: Duration = Duration::from_millis(15);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Time for the last rows and the release at a planned stop.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_500);

/// A claim that succeeded.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// Shard.
    pub shard: ShardId,
    /// Epoch of the claim.
    pub epoch: u64,
    /// Version of the owner row; every write of the owner has it as a condition.
    pub version: u64,
    /// Local time before the claim was sent.
    pub sent: Duration,
    /// Local time from which the predecessor gives no orders.
    pub predecessor_silent: Duration,
}

struct Owner<P> {
    node: Rc<Node<P>>,
    claimed: Claimed,
    scheduler: RefCell<Scheduler>,
    permission: Cell<Permission>,
    /// Versions of the progress rows; a job that is not there has no row.
    versions: RefCell<BTreeMap<JobId, u64>>,
    /// Jobs that have ended, and whose descriptions are still stored.
    ended_jobs: RefCell<BTreeSet<JobId>>,
    /// Jobs that have ended, and when this owner learned it, oldest first.
    expiring: RefCell<VecDeque<(Duration, JobId)>>,
    /// Wakes the scheduler's round.
    wake: Notify,
    /// Another process owns the shard, or a planned stop has begun.
    has_ended: Cell<bool>,
    ended: Notify,
}

/// Schedules the shard until it is lost or the planned stop begins.
pub async fn run<P: RowStore + WorkerPort + 'static>(node: Rc<Node<P>>, claimed: Claimed) {
    let Some((owner, after)) = load(node, claimed).await else { return };
    let owner = Rc::new(owner);
    let duties = [
        tokio::task::spawn_local(follow_jobs(Rc::clone(&owner), after)),
        tokio::task::spawn_local(follow_workers(Rc::clone(&owner))),
        tokio::task::spawn_local(write_rows(Rc::clone(&owner))),
        tokio::task::spawn_local(schedule(Rc::clone(&owner))),
        tokio::task::spawn_local(shrink_jobs(Rc::clone(&owner))),
        tokio::task::spawn_local(expire_jobs(Rc::clone(&owner))),
    ];
    let mut stop = owner.node.stop_receiver();
    tokio::select! {
        () = owner.ended.notified() => {}
        _ = stop.wait_for(|is_stopping| *is_stopping) => {}
    }
    owner.has_ended.set(true);
    for duty in &duties {
        duty.abort();
    }
    if owner.node.is_stopping() {
        release(&owner).await;
    }
}

/// Reads what the predecessor has stored.
async fn load<P: RowStore + WorkerPort>(
    node: Rc<Node<P>>,
    claimed: Claimed,
) -> Option<(Owner<P>, u64)> {
    let shard = claimed.shard;
    let partition = layout::partition(shard);
    let heartbeat = read_all(&node, layout::OWNERS, &partition).await?;
    // Before the progress rows: a job whose row is removed between the two reads shows as ended.
    let jobs = read_jobs(&node, shard).await?;
    let progress = read_all(&node, &layout::progress(shard), &partition).await?;
    let predecessor = predecessor_heartbeat(&heartbeat);
    let now = node.clock.boot();
    let lapsed = claimed.predecessor_silent + lapse::longest(node.cfg.timing.lease);
    let mut scheduler =
        Scheduler::new(claimed.epoch, node.cfg.timing, &ids(&predecessor.workers), lapsed);
    let suspects_lapsed = now + Duration::from_millis(predecessor.suspects_lapse_in_ms);
    scheduler.add_suspects(&ids(&predecessor.suspects), suspects_lapsed);
    apply_catalogue(&node, &mut scheduler);
    let mut versions = BTreeMap::new();
    let mut rows = BTreeMap::new();
    let mut expiring = VecDeque::new();
    for row in progress.rows {
        let Ok(id) = row.id.key.parse::<JobId>() else { continue };
        versions.insert(id, row.version);
        let value = row.value.unwrap_or_default();
        if Progress::decode_state(&value).is_ok_and(JobState::is_final) {
            expiring.push_back((now, id));
        }
        rows.insert(id, value);
    }
    take_jobs(&mut scheduler, now, &jobs.rows, &rows);
    let owner = Owner {
        node,
        permission: Cell::new(Permission::new(claimed.sent)),
        claimed,
        scheduler: RefCell::new(scheduler),
        versions: RefCell::new(versions),
        ended_jobs: RefCell::default(),
        expiring: RefCell::new(expiring),
        wake: Notify::new(),
        has_ended: Cell::new(false),
        ended: Notify::new(),
    };
    Some((owner, jobs.version))
}

/// Reads a table, again and again until it works or a planned stop begins.
async fn read_all<P: RowStore>(node: &Node<P>, table: &str, partition: &str) -> Option<Listing> {
    while !node.is_stopping() {
        let listing = node.port.read(table, partition, "", "").await;
        node.note_store(listing.as_ref().err());
        if let Ok(listing) = listing {
            return Some(listing);
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    None
}

/// Reads all partitions of accepted jobs. Changes are followed from the oldest of the answers on.
async fn read_jobs<P: RowStore>(node: &Node<P>, shard: ShardId) -> Option<Listing> {
    let table = layout::jobs(shard);
    let parts: Vec<String> = layout::job_partitions(shard).collect();
    let reads = parts.iter().map(|part| read_all(node, &table, part));
    let mut all = Listing { rows: Vec::new(), version: u64::MAX };
    for listing in futures::future::join_all(reads).await {
        let listing = listing?;
        all.version = all.version.min(listing.version);
        all.rows.extend(listing.rows);
    }
    Some(all)
}

fn ids(names: &[String]) -> Vec<WorkerId> {
    names.iter().map(|id| WorkerId::new(id)).collect()
}

fn predecessor_heartbeat(owners: &Listing) -> HeartbeatRow {
    let row = owners.rows.iter().find(|row| row.id.key == layout::HEARTBEAT);
    let Some(value) = row.and_then(|row| row.value.as_deref()) else {
        return HeartbeatRow::default();
    };
    serde_json::from_slice(value).unwrap_or_else(|e| {
        event::MALFORMED.emit(format_args!("row=heartbeat cause={e}"));
        HeartbeatRow::default()
    })
}

fn apply_catalogue<P>(node: &Node<P>, scheduler: &mut Scheduler) {
    let catalogue = node.catalogue();
    scheduler.on_queues(catalogue.queues.clone());
    scheduler.on_domains_out(catalogue.domains_out.clone());
}

/// Gives accepted jobs and cancellations to the scheduler; `progress` has the rows of a predecessor.
fn take_jobs(
    scheduler: &mut Scheduler,
    now: Duration,
    rows: &[Row],
    progress: &BTreeMap<JobId, Vec<u8>>,
) {
    let mut cancelled = Vec::new();
    for row in rows {
        let Some(value) = row.value.as_deref() else { continue };
        match layout::parse_jobs_key(&row.id.key) {
            Some(JobsKey::Job(_)) if value == layout::ENDED => {}
            Some(JobsKey::Job(id)) => take_job(scheduler, id, value, progress.get(&id)),
            Some(JobsKey::Cancel(id)) => cancelled.push(id),
            None => event::MALFORMED.emit(format_args!("row=job key={:?}", row.id.key)),
        }
    }
    for id in cancelled {
        scheduler.on_cancel(now, id);
    }
}

fn take_job(scheduler: &mut Scheduler, id: JobId, value: &[u8], progress: Option<&Vec<u8>>) {
    let stored: StoredJob = match serde_json::from_slice(value) {
        Ok(stored) => stored,
        Err(e) => return event::MALFORMED.emit(format_args!("row=job job={id} cause={e}")),
    };
    let job = stored.into_accepted(id);
    let Some(row) = progress else { return scheduler.on_job(job) };
    if let Err(e) = scheduler.on_begun_job(job, row) {
        event::MALFORMED.emit(format_args!("row=progress job={id} cause={e}"));
    }
}

/// Follows the table of accepted jobs.
async fn follow_jobs<P: RowStore + WorkerPort>(owner: Rc<Owner<P>>, mut after: u64) {
    let shard = owner.claimed.shard;
    let table = layout::jobs(shard);
    loop {
        match owner.node.port.changes(&table, after, CHANGES_WAIT).await {
            Ok(listing) => {
                owner.node.note_store(None);
                after = listing.version.max(after);
                if !listing.rows.is_empty() {
                    let now = owner.node.clock.boot();
                    take_jobs(
                        &mut owner.scheduler.borrow_mut(),
                        now,
                        &listing.rows,
                        &BTreeMap::new(),
                    );
                    owner.wake.notify_one();
                    tokio::time::sleep(CHANGES_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                event::HISTORY_GONE.emit(format_args!("table={table} after={after}"));
                let Some(listing) = read_jobs(&owner.node, shard).await else { return };
                after = listing.version;
                let now = owner.node.clock.boot();
                take_jobs(&mut owner.scheduler.borrow_mut(), now, &listing.rows, &BTreeMap::new());
                owner.wake.notify_one();
            }
            Err(e) => {
                owner.node.note_store(Some(&e));
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Reads the VM list again and again.
async fn follow_workers<P: RowStore + WorkerPort>(owner: Rc<Owner<P>>) {
    loop {
        let listing = owner.node.port.list().await;
        owner.node.note_store(listing.as_ref().err());
        if let (Ok(listing), Some(map)) = (listing, owner.node.map()) {
            let shard = owner.claimed.shard;
            let own =
                listing.into_iter().filter(|w| map.of_worker(w.id.as_str()) == shard).collect();
            owner.scheduler.borrow_mut().on_listing(owner.node.clock.boot(), own);
            owner.wake.notify_one();
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

/// Runs the scheduler's rounds and sends its orders.
async fn schedule<P: RowStore + WorkerPort + 'static>(owner: Rc<Owner<P>>) {
    let mut catalogue = owner.node.catalogue();
    let mut was_permitted = true;
    loop {
        let now = owner.node.clock.boot();
        let is_permitted = owner.permission.get().is_valid(now);
        if is_permitted != was_permitted {
            was_permitted = is_permitted;
            let change = if is_permitted { "regained" } else { "lapsed" };
            event::SHARD_LOST.emit(format_args!(
                "shard={} epoch={} permission={change}",
                owner.claimed.shard.0, owner.claimed.epoch
            ));
        }
        if is_permitted {
            let mut scheduler = owner.scheduler.borrow_mut();
            if !Rc::ptr_eq(&catalogue, &owner.node.catalogue()) {
                catalogue = owner.node.catalogue();
                apply_catalogue(&owner.node, &mut scheduler);
            }
            scheduler.tick(now, owner.node.clock.unix_ms(), owner.permission.get().confirmed());
            let orders = scheduler.take_orders();
            let is_fenced = scheduler.is_fenced();
            drop(scheduler);
            if is_fenced {
                return lose(&owner, "fenced");
            }
            for order in orders {
                tokio::task::spawn_local(send(Rc::clone(&owner), order));
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
        tokio::select! {
            () = owner.wake.notified() => {}
            () = tokio::time::sleep(TICK) => {}
        }
    }
}

fn lose<P>(owner: &Owner<P>, cause: &str) {
    event::SHARD_LOST.emit(format_args!(
        "shard={} epoch={} cause={cause}",
        owner.claimed.shard.0, owner.claimed.epoch
    ));
    owner.has_ended.set(true);
    owner.ended.notify_one();
}

/// Sends an order and gives its outcome to the scheduler.
async fn send<P: RowStore + WorkerPort>(owner: Rc<Owner<P>>, order: Order) {
    let sent = owner.node.clock.boot();
    // A suspension may have passed since the round.
    let is_permitted = owner.permission.get().is_valid(sent) && !owner.has_ended.get();
    let epoch = owner.claimed.epoch;
    let port = &owner.node.port;
    match &order.kind {
        OrderKind::Hold { .. } => {
            let outcome =
                permitted(is_permitted, Err(HoldFailure::NoAnswer), port.hold(epoch, &order)).await;
            if outcome.is_err() {
                port.forget(order.address);
            }
            let now = owner.node.clock.boot();
            owner.scheduler.borrow_mut().on_hold(now, &order.worker, sent, outcome);
        }
        OrderKind::Start { task, run, .. } => {
            let outcome =
                permitted(is_permitted, StartOutcome::NotSent, port.start(epoch, &order)).await;
            let now = owner.node.clock.boot();
            owner.node.metrics.time("order.start", now.saturating_sub(sent));
            if outcome != StartOutcome::Started {
                owner.node.metrics.count("order.start.failed", 1);
            }
            owner.scheduler.borrow_mut().on_start(now, &order.worker, task, *run, outcome);
        }
        OrderKind::Stop { task, run } => {
            let outcome =
                permitted(is_permitted, OrderOutcome::Unknown, port.adjust(epoch, &order)).await;
            let now = owner.node.clock.boot();
            owner.scheduler.borrow_mut().on_stop(now, &order.worker, task, *run, outcome);
        }
        OrderKind::Pace { task, run, .. } => {
            let outcome =
                permitted(is_permitted, OrderOutcome::Unknown, port.adjust(epoch, &order)).await;
            owner.scheduler.borrow_mut().on_pace(&order.worker, task, *run, outcome);
        }
    }
    owner.wake.notify_one();
}

async fn permitted<T>(is_permitted: bool, otherwise: T, call: impl Future<Output = T>) -> T {
    if is_permitted { call.await } else { otherwise }
}

/// Writes progress rows and heartbeats, one transaction at a time.
async fn write_rows<P: RowStore + WorkerPort>(owner: Rc<Owner<P>>) {
    let mut beat = 0;
    let mut last_beat: Option<Duration> = None;
    let mut last_write = Duration::ZERO;
    loop {
        let now = owner.node.clock.boot();
        let is_write_due = owner.scheduler.borrow().has_new_jobs()
            || now.saturating_sub(last_write) >= WRITE_PERIOD;
        let batch = if is_write_due {
            owner.scheduler.borrow_mut().take_rows(JOBS_PER_WRITE)
        } else {
            None
        };
        let is_beat_due = last_beat.is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT);
        if batch.is_none() && !is_beat_due {
            tokio::time::sleep(FIRST_WRITE_PERIOD).await;
            continue;
        }
        last_write = now;
        if let Some(batch) = batch.as_ref().filter(|batch| batch.rows.is_empty() && !is_beat_due) {
            // Only ends of jobs that are over: nothing has to be stored for them.
            owner.scheduler.borrow_mut().on_written(batch);
            owner.wake.notify_one();
            continue;
        }
        beat += u64::from(is_beat_due);
        let heartbeat = is_beat_due.then_some(beat);
        let is_written = write(&owner, batch, heartbeat, now).await;
        owner.wake.notify_one();
        if is_beat_due {
            report_load(&owner);
        }
        if is_written && is_beat_due {
            last_beat = Some(now);
        }
        tokio::time::sleep(if is_written { FIRST_WRITE_PERIOD } else { WRITE_PAUSE }).await;
    }
}

fn report_load<P>(owner: &Owner<P>) {
    let load = owner.scheduler.borrow().load();
    let metrics = &owner.node.metrics;
    metrics.gauge("shard.jobs", load.jobs as u64);
    metrics.gauge("shard.waiting_steps", load.waiting_steps as u64);
    metrics.gauge("shard.runs", load.runs as u64);
    metrics.gauge("shard.workers", load.workers as u64);
    metrics.gauge("shard.suspects", load.suspects as u64);
}

/// Writes a batch; false if it was not written.
async fn write<P: RowStore>(
    owner: &Owner<P>,
    batch: Option<RowBatch>,
    beat: Option<u64>,
    sent: Duration,
) -> bool {
    let commit = transaction(owner, batch.as_ref(), beat);
    let outcome = owner.node.port.commit(&commit).await;
    owner.node.note_store(outcome.as_ref().err());
    let waited = owner.node.clock.boot().saturating_sub(sent);
    owner.node.metrics.time("store.write", waited);
    match outcome {
        Ok(Committed::Applied { version }) => {
            let mut permission = owner.permission.get();
            permission.confirm(sent);
            owner.permission.set(permission);
            if let Some(batch) = batch {
                let mut versions = owner.versions.borrow_mut();
                for (id, row) in &batch.rows {
                    versions.insert(*id, version);
                    if row.has_ended {
                        owner.ended_jobs.borrow_mut().insert(*id);
                        owner.expiring.borrow_mut().push_back((sent, *id));
                    }
                }
                owner.scheduler.borrow_mut().on_written(&batch);
            }
            return true;
        }
        Ok(Committed::Conflict { rows }) => on_conflict(owner, batch.as_ref(), &rows),
        Err(_) => {}
    }
    if let Some(batch) = batch {
        owner.scheduler.borrow_mut().on_write_failed(&batch);
    }
    false
}

fn transaction<P>(owner: &Owner<P>, batch: Option<&RowBatch>, beat: Option<u64>) -> Commit {
    let shard = owner.claimed.shard;
    let owner_row = RowKey::new(layout::OWNERS, layout::OWNER);
    let mut commit = Commit {
        partition: layout::partition(shard),
        expected: vec![(owner_row, owner.claimed.version)],
        ..Commit::default()
    };
    let versions = owner.versions.borrow();
    for (id, row) in batch.iter().flat_map(|batch| &batch.rows) {
        let key = layout::progress_row(shard, *id);
        commit.expected.push((key.clone(), versions.get(id).copied().unwrap_or(0)));
        commit.writes.push((key, row.progress.clone()));
    }
    if let Some(beat) = beat {
        let scheduler = owner.scheduler.borrow();
        let (suspects, lapse_in) = scheduler.suspects(owner.node.clock.boot());
        let heartbeat = HeartbeatRow {
            beat,
            pending: scheduler.pending(),
            workers: scheduler.worker_ids(),
            suspects,
            suspects_lapse_in_ms: u64::try_from(lapse_in.as_millis()).unwrap_or(u64::MAX),
        };
        let key = RowKey::new(layout::OWNERS, layout::HEARTBEAT);
        commit.writes.push((key, serde_json::to_vec(&heartbeat).unwrap_or_default()));
    }
    commit
}

/// Removes the rows of jobs whose state nobody may ask for any more.
async fn expire_jobs<P: RowStore>(owner: Rc<Owner<P>>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let now = owner.node.clock.boot();
        let due: Vec<JobId> = owner
            .expiring
            .borrow()
            .iter()
            .take_while(|(since, _)| now.saturating_sub(*since) >= owner.node.cfg.keep_ended)
            .take(JOBS_PER_SHRINK)
            .map(|(_, id)| *id)
            .collect();
        if !due.is_empty() && remove_rows(&owner, &due).await {
            owner.expiring.borrow_mut().drain(..due.len());
            let mut versions = owner.versions.borrow_mut();
            for id in &due {
                versions.remove(id);
            }
        }
    }
}

/// Removes the progress of ended jobs, and then the rows that kept them from being accepted again.
async fn remove_rows<P: RowStore>(owner: &Owner<P>, ids: &[JobId]) -> bool {
    let shard = owner.claimed.shard;
    let owner_row = RowKey::new(layout::OWNERS, layout::OWNER);
    let mut commits = vec![Commit {
        partition: layout::partition(shard),
        expected: vec![(owner_row, owner.claimed.version)],
        removes: ids.iter().map(|id| layout::progress_row(shard, *id)).collect(),
        ..Commit::default()
    }];
    for id in ids {
        commits.push(Commit {
            partition: layout::job_partition(shard, *id),
            removes: vec![layout::job_row(shard, *id), layout::cancel_row(shard, *id)],
            ..Commit::default()
        });
    }
    for commit in &commits {
        let outcome = owner.node.port.commit(commit).await;
        owner.node.note_store(outcome.as_ref().err());
        if !matches!(outcome, Ok(Committed::Applied { .. })) {
            return false;
        }
    }
    true
}

/// Drops the descriptions of jobs that have ended. It needs no condition: the end is stored, and nothing undoes it.
async fn shrink_jobs<P: RowStore>(owner: Rc<Owner<P>>) {
    let shard = owner.claimed.shard;
    loop {
        tokio::time::sleep(SHRINK_PERIOD).await;
        let mut by_partition: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
        for id in owner.ended_jobs.borrow().iter() {
            by_partition.entry(layout::job_partition(shard, *id)).or_default().push(*id);
        }
        for (partition, ids) in by_partition {
            for ids in ids.chunks(JOBS_PER_SHRINK) {
                let commit = Commit {
                    partition: partition.clone(),
                    writes: ids
                        .iter()
                        .map(|id| (layout::job_row(shard, *id), layout::ENDED.to_vec()))
                        .collect(),
                    removes: ids.iter().map(|id| layout::cancel_row(shard, *id)).collect(),
                    ..Commit::default()
                };
                let outcome = owner.node.port.commit(&commit).await;
                owner.node.note_store(outcome.as_ref().err());
                if outcome.is_ok() {
                    let mut ended = owner.ended_jobs.borrow_mut();
                    for id in ids {
                        ended.remove(id);
                    }
                }
            }
        }
    }
}

/// Either the shard has another owner, or an earlier write whose answer was lost took effect.
fn on_conflict<P>(owner: &Owner<P>, batch: Option<&RowBatch>, rows: &[Row]) {
    let version_of = |key: &str, table: &str| {
        rows.iter()
            .find(|row| row.id.key == key && row.id.table == table)
            .map_or(0, |row| row.version)
    };
    if version_of(layout::OWNER, layout::OWNERS) != owner.claimed.version {
        return lose(owner, "claimed-by-another");
    }
    let table = layout::progress(owner.claimed.shard);
    let mut versions = owner.versions.borrow_mut();
    for id in batch.iter().flat_map(|batch| batch.rows.keys()) {
        let version = version_of(&id.to_string(), &table);
        if versions.get(id).copied().unwrap_or(0) != version {
            event::ROW_CONFLICT.emit(format_args!("job={id} version={version}"));
            versions.insert(*id, version);
        }
    }
}

/// Writes what is left and gives the shard up, so that another process takes it at once.
async fn release<P: RowStore>(owner: &Owner<P>) {
    let until = owner.node.clock.boot() + RELEASE_LIMIT;
    let key = RowKey::new(layout::OWNERS, layout::OWNER);
    let row = OwnerRow {
        epoch: owner.claimed.epoch,
        vm: String::new(),
        started_unix_ms: owner.node.started_unix_ms,
    };
    let commit = Commit {
        partition: layout::partition(owner.claimed.shard),
        expected: vec![(key.clone(), owner.claimed.version)],
        writes: vec![(key, serde_json::to_vec(&row).unwrap_or_default())],
        removes: Vec::new(),
    };
    while owner.node.clock.boot() < until {
        match owner.node.port.commit(&commit).await {
            Ok(outcome) => {
                event::SHARD_RELEASED.emit(format_args!(
                    "shard={} epoch={} outcome={}",
                    owner.claimed.shard.0,
                    owner.claimed.epoch,
                    if matches!(outcome, Committed::Applied { .. }) { "released" } else { "lost" }
                ));
                return;
            }
            Err(e) => {
                owner.node.note_store(Some(&e));
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}
