//! Writes the owner's progress rows and heartbeats.

use std::rc::Rc;
use std::time::Duration;

use crate::ops::jobs::layout::{self, HeartbeatRow};
use crate::port::{Commit, CommitOutcome, Row, RowKey, RowStore, WorkerPort};
use crate::shard::ownership::HEARTBEAT_PERIOD;
use crate::shard::scheduler::RowBatch;
use crate::telemetry::event::shard as event;

use super::{ShardOwner, end_ownership};

/// Time between two writes of rows that are not urgent, so that runs that end close together share a write. It is
/// shorter than the pause after which a worker with an end that is not acknowledged is sent the next renewal.
const COMPLETE_WRITE_PERIOD: Duration = Duration::from_millis(120);

/// Pause after a write, so that starts and ended jobs that arrive close together share the next one.
const WRITE_GAP: Duration = Duration::from_millis(10);

/// Pause after a write that was not applied or not answered.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Jobs in one transaction. The store accepts 100 entries: each job takes two (a condition and a write), the owner row
/// and the heartbeat take three.
const JOBS_PER_WRITE: usize = 48;

/// Writes progress rows and heartbeats, one transaction at a time.
pub(super) async fn write_rows<P: RowStore + WorkerPort>(owner: Rc<ShardOwner<P>>) {
    let mut beat = 0;
    let mut last_heartbeat: Option<Duration> = None;
    let mut last_complete = Duration::ZERO;
    loop {
        let now = owner.node.clock.boot();
        let is_complete_due = now.saturating_sub(last_complete) >= COMPLETE_WRITE_PERIOD;
        let batch = owner.scheduler.borrow_mut().take_rows(JOBS_PER_WRITE, !is_complete_due);
        // After a batch of the maximum size more rows may be waiting, so the next write is due at once.
        if is_complete_due && batch.as_ref().is_none_or(|batch| batch.rows.len() < JOBS_PER_WRITE) {
            last_complete = now;
        }
        let is_heartbeat_due =
            last_heartbeat.is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT_PERIOD);
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
        beat += u64::from(is_heartbeat_due);
        let heartbeat = is_heartbeat_due.then(|| heartbeat(&owner, beat));
        let is_written = write(&owner, batch, heartbeat, now).await;
        owner.wake.notify_one();
        if is_heartbeat_due {
            export_load(&owner);
        }
        if is_written && is_heartbeat_due {
            last_heartbeat = Some(now);
        }
        tokio::time::sleep(if is_written { WRITE_GAP } else { WRITE_RETRY_PAUSE }).await;
    }
}

fn export_load<P>(owner: &ShardOwner<P>) {
    let now = owner.node.clock.boot();
    owner.scheduler.borrow_mut().log_long_waits(now);
    let load = owner.scheduler.borrow().load(now);
    let metrics = &owner.node.metrics;
    metrics.gauge("shard.jobs", load.jobs as u64);
    metrics.gauge("shard.waiting_steps", load.waiting_steps as u64);
    metrics.gauge("shard.runs", load.runs as u64);
    metrics.gauge("shard.workers", load.workers as u64);
    metrics.gauge("shard.suspects", load.unreached_workers as u64);
    metrics.gauge("shard.usable_workers", load.usable_workers as u64);
    metrics.gauge("shard.free_cpu_millis", load.free_cpu_millis);
    event::SHARD_LOAD.emit(format_args!(
        "shard={} jobs={} runs={} waiting={:?} workers={} usable={} unusable={:?} free_cpu={} most_free_cpu={} leftover_cpu={} filling_tasks={} filling_asked={} filling_paced={} filling_used={} suspects={}",
        owner.claimed.shard.0,
        load.jobs,
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
        load.unreached_workers
    ));
}

/// Writes a batch and a heartbeat in one transaction, and gives the outcome to the scheduler. Returns false if it was
/// not applied or its outcome is unknown.
async fn write<P: RowStore>(
    owner: &ShardOwner<P>,
    batch: Option<RowBatch>,
    heartbeat: Option<HeartbeatRow>,
    sent: Duration,
) -> bool {
    let commit = transaction(owner, batch.as_ref(), heartbeat.as_ref());
    if let Some(heartbeat) = &heartbeat {
        owner.scheduler.borrow_mut().on_heartbeat_sent(&heartbeat.suspects);
    }
    let outcome = owner.node.port.commit(&commit).await;
    owner.node.record_store_result(outcome.as_ref().err());
    let waited = owner.node.clock.boot().saturating_sub(sent);
    owner.node.metrics.time("store.write", waited);
    match outcome {
        Ok(CommitOutcome::Applied { version }) => {
            let mut lease = owner.ownership_lease.get();
            if heartbeat.is_some() {
                lease.renew(sent);
            } else {
                lease.confirm(sent);
            }
            owner.ownership_lease.set(lease);
            if let Some(heartbeat) = &heartbeat {
                owner.heartbeat_version.set(version);
                owner.scheduler.borrow_mut().on_heartbeat_stored(&heartbeat.suspects);
            }
            if let Some(batch) = batch {
                let mut versions = owner.versions.borrow_mut();
                for (id, row) in &batch.rows {
                    versions.insert(*id, version);
                    if row.has_ended {
                        owner.ended_jobs.borrow_mut().insert(*id);
                        owner.expiring.borrow_mut().push_back((sent, *id));
                    }
                }
                drop(versions);
                owner.scheduler.borrow_mut().on_written(owner.node.clock.boot());
            }
            return true;
        }
        Ok(CommitOutcome::Conflict { rows }) => {
            on_conflict(owner, batch.as_ref(), heartbeat.is_some(), &rows);
        }
        Err(_) => {}
    }
    if let Some(batch) = batch {
        owner.scheduler.borrow_mut().on_write_failed(&batch);
    }
    false
}

fn heartbeat<P>(owner: &ShardOwner<P>, beat: u64) -> HeartbeatRow {
    let scheduler = owner.scheduler.borrow();
    let (suspects, lapse_in) = scheduler.unreached_workers(owner.node.clock.boot());
    HeartbeatRow {
        beat,
        pending: scheduler.pending(),
        suspects,
        suspects_lapse_in_ms: u64::try_from(lapse_in.as_millis()).unwrap_or(u64::MAX),
    }
}

fn transaction<P>(
    owner: &ShardOwner<P>,
    batch: Option<&RowBatch>,
    heartbeat: Option<&HeartbeatRow>,
) -> Commit {
    let shard = owner.claimed.shard;
    let owner_row = RowKey::new(layout::OWNERS_TABLE, layout::OWNER_KEY);
    let mut commit = Commit {
        partition: layout::shard_partition(shard),
        expected: vec![(owner_row, owner.claimed.version)],
        ..Commit::default()
    };
    let versions = owner.versions.borrow();
    for (id, row) in batch.iter().flat_map(|batch| &batch.rows) {
        let key = layout::progress_row(shard, *id);
        commit.expected.push((key.clone(), versions.get(id).copied().unwrap_or(0)));
        commit.writes.push((key, row.progress.clone()));
    }
    if let Some(heartbeat) = heartbeat {
        let key = RowKey::new(layout::OWNERS_TABLE, layout::HEARTBEAT_KEY);
        // Without this condition, a heartbeat that is applied late would replace a newer one.
        commit.expected.push((key.clone(), owner.heartbeat_version.get()));
        commit.writes.push((key, serde_json::to_vec(heartbeat).unwrap_or_default()));
    }
    commit
}

/// Handles a failed condition: either another process owns the shard, or an earlier write whose answer was lost took
/// effect, in which case the current versions are taken over.
fn on_conflict<P>(
    owner: &ShardOwner<P>,
    batch: Option<&RowBatch>,
    has_heartbeat: bool,
    rows: &[Row],
) {
    let version_of = |key: &str, table: &str| {
        rows.iter()
            .find(|row| row.id.key == key && row.id.table == table)
            .map_or(0, |row| row.version)
    };
    if version_of(layout::OWNER_KEY, layout::OWNERS_TABLE) != owner.claimed.version {
        return end_ownership(owner, "claimed-by-another");
    }
    if has_heartbeat {
        owner.heartbeat_version.set(version_of(layout::HEARTBEAT_KEY, layout::OWNERS_TABLE));
    }
    let table = layout::progress_table(owner.claimed.shard);
    let mut versions = owner.versions.borrow_mut();
    for id in batch.iter().flat_map(|batch| batch.rows.keys()) {
        let version = version_of(&id.to_string(), &table);
        if versions.get(id).copied().unwrap_or(0) != version {
            event::ROW_CONFLICT.emit(format_args!("job={id} version={version}"));
            versions.insert(*id, version);
        }
    }
}
