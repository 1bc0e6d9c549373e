//! Writes the owner's progress rows and heartbeats.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::job::JobId;
use crate::job::progress::ProgressRow;
use crate::ops::jobs::heartbeat::{Heartbeat, HeartbeatPart};
use crate::ops::jobs::layout::{self, HeartbeatRow};
use crate::port::{Commit, CommitOutcome, Row, RowKey, RowStore, StoreError, WorkerPort};
use crate::shard::WorkerId;
use crate::shard::ownership::{HEARTBEAT_PERIOD, ms_until};
use crate::shard::scheduler::{JobRow, RowBatch, RowId};
use crate::telemetry::event::shard as event;

use super::work::Work;
use super::{ShardOwner, end_ownership};

/// Time between two writes of rows that are not urgent, so that runs that end close together share a write. It is
/// shorter than the pause after which a worker with an end that is not acknowledged is sent the next renewal.
const COMPLETE_WRITE_PERIOD: Duration = Duration::from_millis(120);

/// Pause after a write, so that starts and ended jobs that arrive close together share the next one.
const WRITE_GAP: Duration = Duration::from_millis(10);

/// Pause after a write that was not applied or not answered.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Shortest time between two heartbeats.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(200);

/// Number of starts after which a heartbeat goes early.
const STARTS_PER_HEARTBEAT: usize = 50;

/// Rows in one transaction. The store accepts 100 entries: each row takes two (a condition and a write), the owner row
/// and the heartbeat take three.
const ROWS_PER_WRITE: usize = 48;

/// Writes progress rows and heartbeats, one transaction at a time.
pub(super) async fn write_rows<P: RowStore + WorkerPort>(owner: Rc<ShardOwner<P>>) {
    let mut writer = RowWriter { owner, beat: 0, last_heartbeat: None, starts: 0 };
    let mut last_complete = Duration::ZERO;
    let mut last_export = Duration::ZERO;
    loop {
        let owner = &writer.owner;
        let now = owner.node.clock.boot();
        let is_complete_due = now.saturating_sub(last_complete) >= COMPLETE_WRITE_PERIOD;
        let batch = owner.with_scheduler(Work::Rows, |scheduler| {
            scheduler.take_rows(ROWS_PER_WRITE, !is_complete_due)
        });
        // After a batch of the maximum size more rows may be waiting, so the next write is due at once.
        if is_complete_due && batch.as_ref().is_none_or(|batch| batch.rows.len() < ROWS_PER_WRITE) {
            last_complete = now;
        }
        let has_rows = batch.as_ref().is_some_and(|batch| !batch.rows.is_empty());
        let is_heartbeat_due = writer.is_heartbeat_due(now, has_rows);
        if batch.is_none() && !is_heartbeat_due {
            tokio::select! {
                () = owner.rows_due.notified() => {}
                () = tokio::time::sleep(COMPLETE_WRITE_PERIOD) => {}
            }
            continue;
        }
        if batch.as_ref().is_some_and(|batch| batch.rows.is_empty()) && !is_heartbeat_due {
            // The batch holds only ends of runs that changed no row, so nothing has to be stored.
            owner.scheduler.borrow_mut().on_written(now);
            owner.wake.notify_one();
            continue;
        }
        let is_written = writer.write(batch, is_heartbeat_due, now).await;
        writer.owner.wake.notify_one();
        if now.saturating_sub(last_export) >= HEARTBEAT_PERIOD {
            last_export = now;
            export_load(&writer.owner);
        }
        tokio::time::sleep(if is_written { WRITE_GAP } else { WRITE_RETRY_PAUSE }).await;
    }
}

/// Why a transaction was not applied, or is not known to have been.
enum WriteFailure {
    /// The store rejects its content.
    Rejected {
        /// Why.
        cause: String,
    },
    /// Anything else; the rows can be written again.
    Other,
}

/// Writes the rows of one owner.
struct RowWriter<P> {
    owner: Rc<ShardOwner<P>>,
    /// Number of the newest heartbeat that was sent.
    beat: u64,
    /// Local time just before the newest stored heartbeat was sent.
    last_heartbeat: Option<Duration>,
    /// Number of starts whose rows were written since then.
    starts: usize,
}

impl<P: RowStore> RowWriter<P> {
    /// Returns true if a heartbeat is due. After many starts it goes early, with rows that are written anyway: a successor
    /// takes each start for unanswered whose row is not older than the newest heartbeat, and its task waits longer.
    fn is_heartbeat_due(&self, now: Duration, has_rows: bool) -> bool {
        let age = self.last_heartbeat.map(|at| now.saturating_sub(at));
        age.is_none_or(|age| {
            let confirmed = self.owner.ownership_lease.get().confirmed();
            let is_needed = || self.owner.scheduler.borrow().needs_heartbeat(now, confirmed);
            let is_early = has_rows && self.starts >= STARTS_PER_HEARTBEAT;
            age >= HEARTBEAT_PERIOD || age >= MIN_HEARTBEAT_GAP && (is_early || is_needed())
        })
    }

    /// Writes a batch, together with a heartbeat if one is due, and gives the outcome to the scheduler. Returns false
    /// if it was not applied or its outcome is unknown.
    async fn write(
        &mut self,
        batch: Option<RowBatch>,
        is_heartbeat_due: bool,
        now: Duration,
    ) -> bool {
        let none = BTreeMap::new();
        let rows = batch.as_ref().map_or(&none, |batch| &batch.rows);
        let heartbeat = is_heartbeat_due.then(|| self.next_heartbeat(now));
        let is_divided = heartbeat.as_ref().is_some_and(|new| self.owner.part_count(new) > 0);
        let outcome = if is_divided && !rows.is_empty() {
            // A transaction has no room for both.
            match self.commit(&none, heartbeat.as_ref(), now).await {
                Ok(()) => self.commit(rows, None, self.owner.node.clock.boot()).await,
                failure => failure,
            }
        } else {
            self.commit(rows, heartbeat.as_ref(), now).await
        };
        if let Err(WriteFailure::Rejected { cause }) = &outcome {
            event::BATCH_REJECTED.emit(format_args!(
                "shard={} rows={} heartbeat={is_heartbeat_due} heartbeat_bytes={} cause={cause}",
                self.owner.claimed.shard.0,
                rows.len(),
                self.owner.work.heartbeat_bytes()
            ));
            self.isolate_rejected(rows).await;
        }
        if let Some(batch) = batch {
            self.starts += batch.starts;
            let now = self.owner.node.clock.boot();
            self.owner.with_scheduler(Work::Rows, |scheduler| match outcome {
                Ok(()) => scheduler.on_written(now),
                Err(_) => scheduler.on_write_failed(&batch),
            });
        }
        outcome.is_ok()
    }

    /// Finds the jobs with rows that the store rejects, by dividing the batch until the rows of each such job are written
    /// alone, and ends these jobs. The heartbeat goes first: the shard keeps its owner meanwhile, and if the store does not accept it either,
    /// the cause is not in the rows.
    async fn isolate_rejected(&mut self, rows: &BTreeMap<RowId, JobRow>) {
        let mut groups = vec![rows.clone()];
        let mut is_heartbeat_due = true;
        while let Some(mut group) = groups.pop() {
            let now = self.owner.node.clock.boot();
            let heartbeat = is_heartbeat_due.then(|| self.next_heartbeat(now));
            if heartbeat.is_some()
                && self.commit(&BTreeMap::new(), heartbeat.as_ref(), now).await.is_err()
            {
                return;
            }
            match self.commit(&group, None, now).await {
                Ok(()) => {}
                Err(WriteFailure::Other) => return,
                Err(WriteFailure::Rejected { cause }) => match middle_job(&group) {
                    Some(middle) => {
                        groups.push(group.split_off(&(middle, ProgressRow::Head)));
                        groups.push(group);
                    }
                    None => self.reject_rows(&group, &cause),
                },
            }
            is_heartbeat_due = self.is_heartbeat_due(self.owner.node.clock.boot(), false);
        }
    }

    /// Ends the job that the rejected rows belong to.
    fn reject_rows(&self, rows: &BTreeMap<RowId, JobRow>, cause: &str) {
        let Some((id, _)) = rows.keys().next() else { return };
        let bytes = rows.values().filter_map(|row| row.progress.as_ref()).map(Vec::len);
        event::ROW_REJECTED.emit(format_args!(
            "job={id} rows={} largest_bytes={} cause={cause}",
            rows.len(),
            bytes.max().unwrap_or(0)
        ));
        self.owner.node.metrics.count("store.rejected", 1);
        self.owner.scheduler.borrow_mut().on_row_rejected(self.owner.node.clock.boot(), *id);
    }

    /// Creates the next heartbeat, which is sent at `sent` or later.
    fn next_heartbeat(&mut self, sent: Duration) -> Heartbeat {
        self.beat += 1;
        let row = heartbeat(&self.owner, self.beat, sent);
        Heartbeat::divide(row, self.owner.node.cfg.max_row_bytes)
    }

    /// Writes rows and, if wanted, a heartbeat in one transaction.
    async fn commit(
        &mut self,
        rows: &BTreeMap<RowId, JobRow>,
        heartbeat: Option<&Heartbeat>,
        sent: Duration,
    ) -> Result<(), WriteFailure> {
        let outcome = commit(&self.owner, rows, heartbeat, sent).await;
        if heartbeat.is_some() && outcome.is_ok() {
            self.starts = 0;
            self.last_heartbeat = Some(sent);
        }
        outcome
    }
}

/// Returns the job at which a group of rows is divided into two; `None` if all rows belong to one job. The rows of a job
/// stay together, because those that replace an undivided head must be applied together.
fn middle_job(rows: &BTreeMap<RowId, JobRow>) -> Option<JobId> {
    let (first, _) = rows.keys().next()?;
    let (last, _) = rows.keys().next_back()?;
    let (middle, _) = rows.keys().nth(rows.len() / 2)?;
    let next = rows.keys().map(|(id, _)| id).find(|id| *id > first)?;
    Some(if middle > first { *middle } else { *next }).filter(|_| first != last)
}

fn export_load<P>(owner: &ShardOwner<P>) {
    let now = owner.node.clock.boot();
    owner.scheduler.borrow_mut().log_long_waits(now);
    let load = owner.scheduler.borrow().load(now);
    let metrics = &owner.node.metrics;
    let lag = owner.work.export(&owner.node, owner.claimed.shard.0, owner.claimed.epoch);
    let start_limit = owner.scheduler.borrow().start_rate_limit();
    metrics.gauge("shard.jobs", load.jobs as u64);
    metrics.gauge("shard.unreachable_jobs", load.unreachable_jobs as u64);
    metrics.gauge("shard.waiting_steps", load.waiting_steps as u64);
    metrics.gauge("shard.runs", load.runs as u64);
    metrics.gauge("shard.workers", load.workers as u64);
    metrics.gauge("shard.suspects", load.unreached_workers as u64);
    metrics.gauge("shard.usable_workers", load.usable_workers as u64);
    metrics.gauge("shard.free_cpu_millis", load.free_cpu_millis);
    event::SHARD_LOAD.emit(format_args!(
        "shard={} jobs={} unreachable_jobs={} runs={} waiting={:?} workers={} usable={} unusable={:?} free_cpu={} most_free_cpu={} leftover_cpu={} filling_tasks={} filling_asked={} filling_paced={} filling_used={} suspects={} lag_ms={} start_limit={}",
        owner.claimed.shard.0,
        load.jobs,
        load.unreachable_jobs,
        load.runs,
        load.waiting_tasks,
        load.workers,
        load.usable_workers,
        load.unusable_workers,
        load.free_cpu_millis,
        load.most_free_cpu_millis,
        load.leftover_cpu_millis,
        load.best_effort.tasks,
        load.best_effort.asked,
        load.best_effort.allowed,
        load.best_effort.used,
        load.unreached_workers,
        lag.as_millis(),
        start_limit.map_or("-".to_owned(), |limit| limit.to_string())
    ));
}

/// Writes rows and a heartbeat in one transaction.
async fn commit<P: RowStore>(
    owner: &ShardOwner<P>,
    rows: &BTreeMap<RowId, JobRow>,
    heartbeat: Option<&Heartbeat>,
    sent: Duration,
) -> Result<(), WriteFailure> {
    let commit = transaction(owner, rows, heartbeat);
    if let Some(heartbeat) = heartbeat {
        owner.scheduler.borrow_mut().on_heartbeat_sent(&heartbeat.suspects());
        // The outcome may stay unknown.
        owner.heartbeat_parts.set(owner.part_count(heartbeat));
    }
    let outcome = owner.node.port.commit(&commit).await;
    owner.node.record_store_result(outcome.as_ref().err());
    let waited = owner.node.clock.boot().saturating_sub(sent);
    owner.node.metrics.time("store.write", waited);
    match outcome {
        Ok(CommitOutcome::Applied { version }) => {
            on_applied(owner, rows, heartbeat, sent, version);
            Ok(())
        }
        Ok(CommitOutcome::Conflict { rows: current }) => {
            on_conflict(owner, rows, heartbeat.is_some(), &current);
            Err(WriteFailure::Other)
        }
        Err(StoreError::Rejected { cause }) => Err(WriteFailure::Rejected { cause }),
        Err(_) => Err(WriteFailure::Other),
    }
}

fn on_applied<P>(
    owner: &ShardOwner<P>,
    rows: &BTreeMap<RowId, JobRow>,
    heartbeat: Option<&Heartbeat>,
    sent: Duration,
    version: u64,
) {
    let mut lease = owner.ownership_lease.get();
    match heartbeat {
        Some(heartbeat) => {
            lease.renew(sent);
            owner.heartbeat_version.set(version);
            owner.heartbeat_parts.set(heartbeat.parts.len());
            owner.renewed_store_ms.set(heartbeat.row.sent_store_ms);
            let mut scheduler = owner.scheduler.borrow_mut();
            scheduler.on_heartbeat_stored(&heartbeat.suspects());
            scheduler.limit_leases(lease.ends_at());
        }
        None => lease.confirm(sent),
    }
    owner.ownership_lease.set(lease);
    owner.record_applied(heartbeat, sent, version);
    let mut versions = owner.versions.borrow_mut();
    for (id, row) in rows {
        if row.progress.is_some() {
            versions.insert(*id, version);
        } else {
            versions.remove(id);
        }
        if row.has_ended {
            owner.ended_jobs.borrow_mut().insert(id.0);
            owner.expiring.borrow_mut().push_back((sent, id.0));
        }
    }
}

impl<P> ShardOwner<P> {
    /// Number of rows beside the heartbeat row that are written with a heartbeat.
    fn part_count(&self, heartbeat: &Heartbeat) -> usize {
        heartbeat.parts.len().max(self.heartbeat_parts.get())
    }
}

/// Creates the heartbeat that is sent at `sent` or later.
fn heartbeat<P: RowStore>(owner: &ShardOwner<P>, beat: u64, sent: Duration) -> HeartbeatRow {
    let scheduler = owner.scheduler.borrow();
    let now = owner.node.clock.boot();
    let report = scheduler.lease_report(now);
    let ceil_ms = |left: &Duration| ms_until(*left, Duration::ZERO);
    let name = |id: &WorkerId| id.as_str().to_owned();
    let lapses: Vec<u64> = report.silent.iter().map(|(_, left)| ceil_ms(left)).collect();
    HeartbeatRow {
        beat,
        pending: scheduler.pending(),
        suspects: report.silent.iter().map(|(id, _)| name(id)).collect(),
        suspects_lapse_in_ms: lapses.iter().max().copied().unwrap_or(0),
        suspect_lapses_in_ms: lapses,
        unknown_leases_ms: report
            .unknown
            .iter()
            .map(|(id, left)| (name(id), ceil_ms(left)))
            .collect(),
        unanswered_starts: report.unanswered_starts.iter().map(ToString::to_string).collect(),
        has_unnamed_starts: false,
        parts: 0,
        sent_store_ms: owner.node.port.clock().map(|clock| clock.at_most_ms(now.max(sent))),
    }
}

fn transaction<P>(
    owner: &ShardOwner<P>,
    rows: &BTreeMap<RowId, JobRow>,
    heartbeat: Option<&Heartbeat>,
) -> Commit {
    let shard = owner.claimed.shard;
    let mut commit = Commit {
        partition: layout::shard_partition(shard),
        expected: vec![owner.ownership_condition()],
        ..Commit::default()
    };
    let versions = owner.versions.borrow();
    for (id, row) in rows {
        let key = layout::progress_row(shard, *id);
        let version = versions.get(id).copied().unwrap_or(0);
        match &row.progress {
            Some(progress) => {
                commit.expected.push((key.clone(), version));
                commit.writes.push((key, progress.clone()));
            }
            None if version > 0 => {
                commit.expected.push((key.clone(), version));
                commit.removes.push(key);
            }
            None => {}
        }
    }
    if let Some(heartbeat) = heartbeat {
        let key = RowKey::new(layout::OWNERS_TABLE, layout::HEARTBEAT_KEY);
        // Without this condition, a heartbeat that is applied late would replace a newer one.
        commit.expected.push((key.clone(), owner.heartbeat_version.get()));
        let value = serde_json::to_vec(&heartbeat.row).unwrap_or_default();
        let mut bytes = value.len();
        commit.writes.push((key, value));
        let empty = HeartbeatPart::default();
        for number in 1..=owner.part_count(heartbeat) {
            // Rows of an earlier heartbeat that this one does not need become empty.
            let part = heartbeat.parts.get(number - 1).unwrap_or(&empty);
            let value = serde_json::to_vec(part).unwrap_or_default();
            bytes += value.len();
            let key = RowKey::new(layout::HEARTBEAT_PARTS_TABLE, number.to_string());
            commit.writes.push((key, value));
        }
        owner.work.record_heartbeat(bytes);
    }
    commit
}

/// Handles a failed condition: either another process owns the shard, or the versions of rows are not those that were
/// expected, in which case the current ones are taken over. An earlier write whose answer was lost took effect, or the
/// answer to a write had the version of a later change of another row.
fn on_conflict<P>(
    owner: &ShardOwner<P>,
    rows: &BTreeMap<RowId, JobRow>,
    has_heartbeat: bool,
    current: &[Row],
) {
    let version_of = |key: &str, table: &str| {
        current
            .iter()
            .find(|row| row.id.key == key && row.id.table == table)
            .map_or(0, |row| row.version)
    };
    if !owner.confirm_owner_row(current) {
        return end_ownership(owner, "claimed-by-another");
    }
    if has_heartbeat {
        owner.heartbeat_version.set(version_of(layout::HEARTBEAT_KEY, layout::OWNERS_TABLE));
    }
    let table = layout::progress_table(owner.claimed.shard);
    let mut versions = owner.versions.borrow_mut();
    for id in rows.keys() {
        let key = layout::progress_row(owner.claimed.shard, *id).key;
        let version = version_of(&key, &table);
        if versions.get(id).copied().unwrap_or(0) != version {
            event::ROW_CONFLICT.emit(format_args!("job={} row={key} version={version}", id.0));
            versions.insert(*id, version);
        }
    }
}
