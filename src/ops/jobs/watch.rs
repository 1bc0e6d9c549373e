//! Watches the shards that this process does not own, and claims those without a live owner.

use std::rc::Rc;
use std::time::Duration;

use crate::port::{Commit, CommitOutcome, RowKey, RowStore, WorkerPort};
use crate::shard::ownership::{
    ClaimDecision, ClaimReason, LeaseEnds, OWNERSHIP_LEASE_DURATION, OwnerObserver, Predecessor,
    ms_until,
};
use crate::shard::{OwnerRow, ShardId, ShardMap};
use crate::telemetry::event::shard as event;

use super::layout::{self, HeartbeatRow};
use super::node::Node;
use super::owner::{self, Claimed};

/// Time between two reads of a shard's owner row. Together with [`crate::shard::ownership::HEARTBEAT_TIMEOUT`] it
/// determines how long a shard is without an owner.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// A VM with a processor share below this, in cores, waits longer before it claims a shard, so that a larger VM usually
/// claims it first.
const SMALL_VM_CPU_SHARE: f64 = 0.2;

/// As [`CHECK_PERIOD`], on a small VM. There are many of them, and each read costs processor time.
const SMALL_VM_CHECK_PERIOD: Duration = Duration::from_millis(2_000);

/// Extra wait of a small VM before it claims: longer than that of a larger VM that owns one shard.
const SMALL_VM_CLAIM_DELAY: Duration = Duration::from_millis(1_000);

/// Pause after a failed call to the store, and between two attempts to determine the shard map.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Upper bound of the extra wait of a process before it claims. It differs between processes, so that their claims
/// rarely conflict.
const MAX_CLAIM_STAGGER: Duration = Duration::from_millis(300);

/// Extra wait for each shard that the process already owns, so that shards spread over the processes.
const CLAIM_DELAY_PER_OWNED_SHARD: Duration = Duration::from_millis(700);

/// Sets the node's shard map. Reads the number of shards from the store; if no process has stored it, derives it from
/// the VM list and stores it. Retries until the number is known.
pub async fn load_or_create_shard_map<P: RowStore + WorkerPort>(node: &Node<P>) {
    let mut growth = ListGrowth { workers: 0, since: node.clock.boot() };
    loop {
        if let Some(map) = try_load_or_create_shard_map(node, &mut growth).await {
            node.set_map(map);
            return;
        }
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
    }
}

/// Largest number of workers seen in the VM list, and the local time at which it was first seen.
struct ListGrowth {
    workers: usize,
    since: Duration,
}

/// The number of shards is derived from the VM list once the list has not grown for this long, which is two heartbeats
/// of a worker.
const MIN_LIST_STABLE_TIME: Duration = Duration::from_millis(2_500);

async fn try_load_or_create_shard_map<P: RowStore + WorkerPort>(
    node: &Node<P>,
    growth: &mut ListGrowth,
) -> Option<ShardMap> {
    let list = node.port.read(layout::LAYOUT_TABLE, "", "", "").await;
    node.record_store_result(list.as_ref().err());
    let row = list.ok()?.rows.into_iter().find(|row| row.id.key == layout::SHARDS_KEY);
    if let Some(value) = row.and_then(|row| row.value) {
        match serde_json::from_slice(&value) {
            Ok(shards) => return Some(ShardMap { shards }),
            Err(e) => event::MALFORMED.emit(format_args!("row=layout cause={e}")),
        }
        return None;
    }
    let workers = node.port.list().await.ok()?;
    let now = node.clock.boot();
    if workers.len() > growth.workers {
        *growth = ListGrowth { workers: workers.len(), since: now };
    }
    if workers.is_empty() || now.saturating_sub(growth.since) < MIN_LIST_STABLE_TIME {
        return None;
    }
    let map = ShardMap::for_workers(workers.len());
    let key = RowKey::new(layout::LAYOUT_TABLE, layout::SHARDS_KEY);
    let commit = Commit {
        expected: vec![(key.clone(), 0)],
        writes: vec![(key, map.shards.to_string().into_bytes())],
        ..Commit::default()
    };
    // Another process may have written the row first, or the answer may be lost: the next attempt reads the row.
    if let Err(e) = node.port.commit(&commit).await {
        node.record_store_result(Some(&e));
    }
    None
}

/// Checks the owner of a shard until a planned stop begins. Claims the shard when it has no live owner, and schedules
/// it while this process owns it.
pub async fn run<P: RowStore + WorkerPort + 'static>(node: Rc<Node<P>>, shard: ShardId) {
    let is_small_vm = node.cfg.cpu_share < SMALL_VM_CPU_SHARE;
    let stagger = MAX_CLAIM_STAGGER.mul_f64(stagger_fraction(&node.cfg.vm, shard));
    let check_period = if is_small_vm { SMALL_VM_CHECK_PERIOD } else { CHECK_PERIOD };
    let mut observer = OwnerObserver::new(&node.cfg.vm, stagger);
    let mut last_epoch = 0;
    // All processes start together, so the first checks are staggered too.
    tokio::time::sleep(stagger).await;
    while !node.is_stopping() {
        match check_owner(&node, shard, &mut observer, last_epoch).await {
            Ok(Some(claimed)) => {
                last_epoch = claimed.epoch;
                owner::run(Rc::clone(&node), claimed).await;
                node.set_owned_shards(node.owned_shards() - 1);
                observer.reset();
            }
            Ok(None) => tokio::time::sleep(check_period).await,
            Err(()) => {
                observer.reset();
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Maps a VM and a shard to a fixed number from 0 to 1, spread evenly by a hash.
fn stagger_fraction(vm: &str, shard: ShardId) -> f64 {
    let map = ShardMap { shards: 1_000 };
    f64::from(map.of_worker(&format!("{vm}/{}", shard.0)).0) / 1_000.0
}

/// Checks the owner of a shard and claims it if it has none. `last_epoch` is the epoch of the last claim of this process
/// that was answered; 0 if there was none.
async fn check_owner<P: RowStore + WorkerPort>(
    node: &Node<P>,
    shard: ShardId,
    observer: &mut OwnerObserver,
    last_epoch: u64,
) -> Result<Option<Claimed>, ()> {
    let sent = node.clock.boot();
    let list = node.port.read(layout::OWNERS_TABLE, &layout::shard_partition(shard), "", "").await;
    node.record_store_result(list.as_ref().err());
    let list = list.map_err(drop)?;
    let now = node.clock.boot();
    let row = list.rows.iter().find(|row| row.id.key == layout::OWNER_KEY);
    let heartbeat = list.rows.iter().find(|row| row.id.key == layout::HEARTBEAT_KEY);
    let owner: Option<OwnerRow> = match row.and_then(|row| row.value.as_deref()) {
        None => None,
        Some(value) => match serde_json::from_slice(value) {
            Ok(owner) => Some(owner),
            Err(e) => {
                event::MALFORMED.emit(format_args!("row=owner shard={} cause={e}", shard.0));
                return Err(());
            }
        },
    };
    let heartbeat_version = heartbeat.map_or(0, |row| row.version);
    let reason = match observer.on_read(owner.as_ref(), heartbeat_version, sent, now) {
        ClaimDecision::Now(reason) => reason,
        ClaimDecision::No => return Ok(None),
    };
    // One claim at a time, so that the wait below counts the shards that an earlier claim has won.
    let _lock = node.lock_claims().await;
    if !matches!(reason, ClaimReason::OwnPredecessor { .. }) {
        let is_small_vm = node.cfg.cpu_share < SMALL_VM_CPU_SHARE;
        let small_vm_delay = if is_small_vm { SMALL_VM_CLAIM_DELAY } else { Duration::ZERO };
        tokio::time::sleep(CLAIM_DELAY_PER_OWNED_SHARD * node.owned_shards() + small_vm_delay)
            .await;
    }
    let is_unanswered_claim = owner.as_ref().is_some_and(|owner| {
        owner.vm == node.cfg.vm
            && owner.started_unix_ms == node.started_unix_ms
            && owner.epoch > last_epoch
    });
    let heartbeat: Option<HeartbeatRow> =
        heartbeat.and_then(|row| serde_json::from_slice(row.value.as_deref()?).ok());
    let seen = SeenRows {
        predecessor: Predecessor {
            row: owner.as_ref(),
            heartbeat_sent_store_ms: heartbeat.and_then(|heartbeat| heartbeat.sent_store_ms),
            seen: observer.heartbeat_seen().unwrap_or(now),
            is_unanswered_claim,
        },
        owner_version: row.map_or(0, |row| row.version),
        heartbeat_version,
    };
    claim(node, shard, reason, seen).await
}

/// Rows of a shard's owner, as read before a claim.
struct SeenRows<'a> {
    predecessor: Predecessor<'a>,
    /// Version of the owner row; 0 if there is none.
    owner_version: u64,
    /// Version of the heartbeat row; 0 if there is none.
    heartbeat_version: u64,
}

async fn claim<P: RowStore>(
    node: &Node<P>,
    shard: ShardId,
    reason: ClaimReason,
    seen: SeenRows<'_>,
) -> Result<Option<Claimed>, ()> {
    let predecessor = seen.predecessor.row;
    let epoch = predecessor.map_or(0, |row| row.epoch) + 1;
    let sent = node.clock.boot();
    let store_clock = node.port.clock();
    let lease_ends =
        LeaseEnds::before_claim(reason, seen.predecessor, store_clock, &node.cfg.timing, sent);
    let sent_store_ms = store_clock.map(|clock| clock.at_most_ms(sent));
    let row = OwnerRow {
        epoch,
        vm: node.cfg.vm.clone(),
        started_unix_ms: node.started_unix_ms,
        earlier_silent_in_ms: Some(ms_until(lease_ends.silent_at, sent)),
        lease_limit_ms: Some(ms_until(OWNERSHIP_LEASE_DURATION, Duration::ZERO)),
        earlier_lapsed_in_ms: Some(ms_until(lease_ends.lapsed_at, sent)),
        sent_store_ms,
    };
    let key = RowKey::new(layout::OWNERS_TABLE, layout::OWNER_KEY);
    let heartbeat = RowKey::new(layout::OWNERS_TABLE, layout::HEARTBEAT_KEY);
    let commit = Commit {
        partition: layout::shard_partition(shard),
        // The heartbeat that the decision is based on must still be the newest, since a later one extends the
        // ownership lease of the predecessor.
        expected: vec![(key.clone(), seen.owner_version), (heartbeat, seen.heartbeat_version)],
        writes: vec![(key, serde_json::to_vec(&row).unwrap_or_default())],
        removes: Vec::new(),
    };
    let outcome = node.port.commit(&commit).await;
    node.record_store_result(outcome.as_ref().err());
    match outcome {
        Ok(CommitOutcome::Applied { version }) => {
            event::SHARD_CLAIMED.emit(format_args!(
                "shard={} epoch={epoch} reason={reason:?} predecessor={} owner_version={version} heartbeat_version={} heartbeat_seen_ms_ago={} silent_in_ms={}",
                shard.0,
                predecessor.map_or("none", |row| row.vm.as_str()),
                seen.heartbeat_version,
                match reason {
                    ClaimReason::Silent { since } =>
                        sent.saturating_sub(since).as_millis().to_string(),
                    _ => "-".to_owned(),
                },
                lease_ends.silent_at.saturating_sub(node.clock.boot()).as_millis()
            ));
            node.set_owned_shards(node.owned_shards() + 1);
            Ok(Some(Claimed { shard, epoch, version, sent, sent_store_ms, lease_ends }))
        }
        // Another process claimed the shard first, the owner has sent a heartbeat, or an earlier claim of this process
        // whose answer was lost took effect. The next check shows which.
        Ok(CommitOutcome::Conflict { .. }) => Ok(None),
        Err(_) => Err(()),
    }
}
