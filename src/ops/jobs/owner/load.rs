//! Loads the rows of a shard when this process becomes its owner.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::job::progress::{ProgressRow, StoredRows};
use crate::job::{JobId, JobState, JobTaskId, Progress};
use crate::ops::jobs::freshness::Freshness;
use crate::ops::jobs::heartbeat::HeartbeatPart;
use crate::ops::jobs::layout::{self, HeartbeatRow, JobsKey, StoredJob};
use crate::ops::jobs::node::Node;
use crate::port::{Row, RowList, RowStore, WorkerPort};
use crate::shard::ownership::{LeaseEnds, OwnershipLease};
use crate::shard::scheduler::UnansweredStarts;
use crate::shard::{ShardId, ShardScheduler, WorkerId};
use crate::telemetry::event::shard as event;

use super::work::WorkLog;
use super::{Claimed, LeaseRenewal, STORE_RETRY_PAUSE, ShardOwner};

/// Most workers named as unreached that the line of a takeover names.
const MAX_NAMED_SUSPECTS: usize = 8;

/// Creates the owner's state from the rows that the predecessor stored. Returns it with the version after which to
/// follow the table of jobs, or `None` if a planned stop begins meanwhile.
pub(super) async fn load<P: RowStore + WorkerPort>(
    node: Rc<Node<P>>,
    claimed: Claimed,
) -> Option<(ShardOwner<P>, u64)> {
    let shard = claimed.shard;
    let partition = layout::shard_partition(shard);
    let owners = read_all(&node, layout::OWNERS_TABLE, &partition).await?;
    // Jobs are read before their progress, so that a job whose row is removed between the two reads shows as ended.
    let jobs_sent = node.clock.boot();
    let jobs = read_jobs(&node, shard).await?;
    let progress = read_all(&node, &layout::progress_table(shard), &partition).await?;
    let predecessor = predecessor_heartbeat(&node, shard, &owners).await?;
    let now = node.clock.boot();
    let timing = node.cfg.timing;
    let ends = claimed.lease_ends;
    let mut scheduler = ShardScheduler::new(claimed.epoch, timing, now, ends.lapsed_at);
    scheduler.limit_leases(OwnershipLease::new(claimed.sent).ends_at());
    scheduler.limit_rows(node.cfg.max_row_bytes);
    apply_operator_config(&node, &mut scheduler);
    let heartbeat_version = heartbeat_row(&owners).map_or(0, |row| row.version);
    let mut unanswered = UnansweredStarts {
        named: tasks(&predecessor.unanswered_starts),
        has_unnamed: predecessor.has_unnamed_starts,
        recent_rows: BTreeSet::new(),
        lapsed: ends.unanswered_lapsed_at,
    };
    let mut versions = BTreeMap::new();
    let mut rows: BTreeMap<JobId, StoredRows> = BTreeMap::new();
    let mut expiring = VecDeque::new();
    for row in progress.rows {
        let Some((id, part)) = layout::parse_progress_key(&row.id.key) else {
            event::MALFORMED.emit(format_args!("row=progress key={:?}", row.id.key));
            continue;
        };
        versions.insert((id, part), row.version);
        if row.version >= heartbeat_version {
            unanswered.recent_rows.insert((id, part));
        }
        let value = row.value.unwrap_or_default();
        let stored = rows.entry(id).or_default();
        if part != ProgressRow::Head {
            stored.parts.insert(part, value);
            continue;
        }
        if Progress::decode_state(&value).is_ok_and(JobState::is_final) {
            expiring.push_back((now, id));
        }
        stored.head = value;
    }
    // The rows of a job's tasks are removed before its head.
    rows.retain(|_, stored| !stored.head.is_empty());
    scheduler.on_unanswered_starts(unanswered);
    add_jobs(&mut scheduler, now, &jobs.rows, &rows);
    let ended_jobs = described_jobs(&jobs, &expiring);
    apply_lease_report(&mut scheduler, &predecessor, &ends);
    log_takeover(&claimed, &predecessor, heartbeat_version, &scheduler, now);
    let jobs_freshness = Freshness::new(node.cfg.max_jobs_age);
    jobs_freshness.confirm(jobs_sent);
    let owner = ShardOwner {
        workers_freshness: Freshness::new(node.cfg.max_worker_list_age),
        jobs_freshness,
        node,
        ownership_lease: Cell::new(OwnershipLease::new(claimed.sent)),
        lease_renewal: Cell::new(LeaseRenewal {
            version: heartbeat_version,
            beat: 0,
            sent: claimed.sent,
        }),
        renewed_store_ms: Cell::new(claimed.sent_store_ms),
        owner_version: Cell::new(claimed.version),
        claimed,
        scheduler: RefCell::new(scheduler),
        versions: RefCell::new(versions),
        heartbeat_version: Cell::new(heartbeat_version),
        heartbeat_parts: Cell::new(predecessor.parts as usize),
        ended_jobs: RefCell::new(ended_jobs),
        expiring: RefCell::new(expiring),
        work: WorkLog::default(),
        wake: Notify::new(),
        rows_due: Notify::new(),
        is_ownership_over: Cell::new(false),
        ownership_ended: Notify::new(),
    };
    Some((owner, jobs.version))
}

/// Gives to the scheduler what the predecessor's heartbeat tells of leases on workers.
fn apply_lease_report(scheduler: &mut ShardScheduler, heartbeat: &HeartbeatRow, ends: &LeaseEnds) {
    let sent = ends.heartbeat_sent_at;
    let lapses = heartbeat.suspect_lapses_in_ms.iter().map(Some).chain(std::iter::repeat(None));
    for (name, lapse_in_ms) in heartbeat.suspects.iter().zip(lapses) {
        let lapse_in_ms = *lapse_in_ms.unwrap_or(&heartbeat.suspects_lapse_in_ms);
        let lapsed = sent + Duration::from_millis(lapse_in_ms);
        scheduler.on_unreached_by_predecessor(&[WorkerId::new(name)], lapsed);
    }
    for (name, lapse_in_ms) in &heartbeat.unknown_leases_ms {
        let lapsed = sent + Duration::from_millis(*lapse_in_ms);
        let lapsed = lapsed.min(ends.unanswered_lapsed_at);
        scheduler.on_unknown_leases(&WorkerId::new(name), lapsed);
    }
}

/// Parses the names of tasks in a heartbeat. One that can't be parsed names no task of this version.
fn tasks(names: &[String]) -> BTreeSet<JobTaskId> {
    names.iter().filter_map(|name| name.parse().ok()).collect()
}

/// Logs what the new owner knows of its predecessor and when it starts the tasks of workers that do not answer.
fn log_takeover(
    claimed: &Claimed,
    predecessor: &HeartbeatRow,
    heartbeat_version: u64,
    scheduler: &ShardScheduler,
    now: Duration,
) {
    let ends = &claimed.lease_ends;
    let ms = |at: Duration| at.saturating_sub(now).as_millis();
    let (workers, tasks) = scheduler.recorded_workers_and_tasks();
    let suspects = &predecessor.suspects;
    event::TAKEOVER_BEGUN.emit(format_args!(
        "shard={} epoch={} owner_version={} heartbeat_version={heartbeat_version} beat={} silent_in_ms={} lapsed_in_ms={} workers={workers} tasks={tasks} suspects={} suspects_lapsed_in_ms={} named={} heartbeat_ms_ago={} unanswered_starts={} unanswered_lapsed_in_ms={} unknown_leases={}",
        claimed.shard.0,
        claimed.epoch,
        claimed.version,
        predecessor.beat,
        ms(ends.silent_at),
        ms(ends.lapsed_at),
        suspects.len(),
        predecessor.suspects_lapse_in_ms,
        suspects[..suspects.len().min(MAX_NAMED_SUSPECTS)].join(","),
        now.saturating_sub(ends.heartbeat_sent_at).as_millis(),
        scheduler.unanswered_start_count(),
        ms(ends.unanswered_lapsed_at),
        predecessor.unknown_leases_ms.len()
    ));
}

/// Reads a partition of a table, and retries until it succeeds; `None` if a planned stop begins first.
async fn read_all<P: RowStore>(node: &Node<P>, table: &str, partition: &str) -> Option<RowList> {
    while !node.is_stopping() {
        let list = node.port.read(table, partition, "", "").await;
        node.record_store_result(list.as_ref().err());
        if let Ok(list) = list {
            return Some(list);
        }
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
    }
    None
}

/// Reads all partitions of accepted jobs. The version of the result is the lowest of the answers, so that no change
/// after any of them is missed.
pub(super) async fn read_jobs<P: RowStore>(node: &Node<P>, shard: ShardId) -> Option<RowList> {
    let table = layout::jobs_table(shard);
    let parts: Vec<String> = layout::job_partitions(shard).collect();
    let reads = parts.iter().map(|part| read_all(node, &table, part));
    let mut all = RowList { rows: Vec::new(), version: u64::MAX };
    for list in futures::future::join_all(reads).await {
        let list = list?;
        all.version = all.version.min(list.version);
        all.rows.extend(list.rows);
    }
    Some(all)
}

/// Returns the ended jobs whose descriptions are still stored, because an earlier owner ended them shortly before it was
/// lost.
fn described_jobs(jobs: &RowList, ended: &VecDeque<(Duration, JobId)>) -> BTreeSet<JobId> {
    let ended: BTreeSet<JobId> = ended.iter().map(|(_, id)| *id).collect();
    let described = jobs
        .rows
        .iter()
        .filter(|row| row.value.as_deref().is_some_and(|value| value != layout::ENDED_JOB_VALUE));
    described
        .filter_map(|row| match layout::parse_jobs_key(&row.id.key) {
            Some(JobsKey::Job(id)) => Some(id).filter(|id| ended.contains(id)),
            _ => None,
        })
        .collect()
}

fn heartbeat_row(owners: &RowList) -> Option<&Row> {
    owners.rows.iter().find(|row| row.id.key == layout::HEARTBEAT_KEY)
}

/// Returns the predecessor's newest heartbeat, with the names in its further rows; `None` if a planned stop begins first.
async fn predecessor_heartbeat<P: RowStore>(
    node: &Node<P>,
    shard: ShardId,
    owners: &RowList,
) -> Option<HeartbeatRow> {
    let value = heartbeat_row(owners).and_then(|row| row.value.as_deref());
    let mut heartbeat = value.map_or_else(HeartbeatRow::default, |value| {
        serde_json::from_slice(value).unwrap_or_else(|e| {
            event::MALFORMED.emit(format_args!("row=heartbeat cause={e}"));
            HeartbeatRow::default()
        })
    });
    if heartbeat.parts == 0 {
        return Some(heartbeat);
    }
    let partition = layout::shard_partition(shard);
    let rows = read_all(node, layout::HEARTBEAT_PARTS_TABLE, &partition).await?.rows;
    for number in 1..=heartbeat.parts {
        let row = rows.iter().find(|row| row.id.key == number.to_string());
        let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
        match serde_json::from_slice::<HeartbeatPart>(value) {
            Ok(part) => heartbeat.append(part),
            Err(e) => {
                event::MALFORMED.emit(format_args!("row=heartbeat-part key={number} cause={e}"));
                heartbeat.has_unnamed_starts = true;
            }
        }
    }
    Some(heartbeat)
}

pub(super) fn apply_operator_config<P>(node: &Node<P>, scheduler: &mut ShardScheduler) {
    let operator_config = node.operator_config();
    scheduler.on_queues(operator_config.configured_queues());
    scheduler.on_domains_out(operator_config.domains_out.clone());
}

/// Gives accepted jobs and cancellations to the scheduler. `progress` holds the progress rows of a predecessor. Returns
/// when the oldest of the jobs was accepted, in milliseconds since the Unix epoch.
pub(super) fn add_jobs(
    scheduler: &mut ShardScheduler,
    now: Duration,
    rows: &[Row],
    progress: &BTreeMap<JobId, StoredRows>,
) -> Option<u64> {
    let mut oldest = None;
    let mut cancelled = Vec::new();
    for row in rows {
        let Some(value) = row.value.as_deref() else { continue };
        match layout::parse_jobs_key(&row.id.key) {
            Some(JobsKey::Job(_)) if value == layout::ENDED_JOB_VALUE => {}
            Some(JobsKey::Job(id)) => {
                let accepted = add_job(scheduler, id, value, progress.get(&id));
                oldest = accepted.into_iter().chain(oldest).min();
            }
            Some(JobsKey::Cancel(id)) => cancelled.push(id),
            None => event::MALFORMED.emit(format_args!("row=job key={:?}", row.id.key)),
        }
    }
    for id in cancelled {
        scheduler.on_cancel(now, id);
    }
    oldest
}

fn add_job(
    scheduler: &mut ShardScheduler,
    id: JobId,
    value: &[u8],
    progress: Option<&StoredRows>,
) -> Option<u64> {
    let stored: StoredJob = serde_json::from_slice(value)
        .inspect_err(|e| event::MALFORMED.emit(format_args!("row=job job={id} cause={e}")))
        .ok()?;
    let accepted_unix_ms = stored.accepted_unix_ms;
    let job = stored.into_accepted(id);
    match progress {
        None => scheduler.on_job(job),
        Some(rows) => {
            if let Err(e) = scheduler.on_job_with_progress(job, rows) {
                event::MALFORMED.emit(format_args!("row=progress job={id} cause={e}"));
            }
        }
    }
    Some(accepted_unix_ms)
}
