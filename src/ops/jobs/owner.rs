//! Schedules a shard that this process owns, until it loses or releases it.

mod ended;
mod load;
mod rows;
mod work;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::job::JobId;
use crate::port::{Commit, CommitOutcome, Row, RowKey, RowStore, StoreError, WorkerPort};
use crate::shard::ownership::{LeaseEnds, OWNERSHIP_LEASE_DURATION, OwnershipLease, ms_until};
use crate::shard::scheduler::{
    Command, CommandKind, CommandOutcome, RenewalFailure, Reply, RowId, StartOutcome,
};
use crate::shard::{OwnerRow, ShardId, ShardScheduler};
use crate::telemetry::event::shard as event;

use super::freshness::Freshness;
use super::heartbeat::Heartbeat;
use super::layout;
use super::node::Node;
use load::{add_jobs, apply_operator_config, load, read_jobs};
use work::{Work, WorkLog};

/// Longest wait for an event between two rounds of the scheduler. Together with [`ROUND_PAUSE`], it limits how late the
/// scheduler acts on lease expiries.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between two rounds, so that answers of many workers that arrive close together share a round.
const ROUND_PAUSE: Duration = Duration::from_millis(3);

/// Time between two reads of the VM list. A draining worker must stop receiving tasks within two seconds.
const WORKER_LIST_PERIOD: Duration = Duration::from_millis(500);

/// Pause after an answer with changes, so that jobs that are accepted close together share the next answer.
const CHANGES_PAUSE: Duration = Duration::from_millis(15);

/// Pause before a failed call to the store is retried.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time limit for the release of the shard at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A claim of a shard that the store has applied.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// The shard that was claimed.
    pub shard: ShardId,
    /// Epoch of the claim; each command to a worker carries it.
    pub epoch: u64,
    /// Version in the answer to the claim: that of the owner row, or a later one.
    pub version: u64,
    /// Local time just before the claim was sent; the ownership lease counts from it.
    pub sent: Duration,
    /// Latest reading that the store's clock can have had at `sent`; `None` if it was not known.
    pub sent_store_ms: Option<u64>,
    /// When the leases of previous owners have lapsed.
    pub lease_ends: LeaseEnds,
}

/// Newest stored write that extended the ownership lease, for the log.
#[derive(Clone, Copy, Debug)]
struct LeaseRenewal {
    /// Version of the heartbeat row.
    version: u64,
    /// Number of the heartbeat; 0 for the claim, which leaves the predecessor's heartbeat as it is.
    beat: u64,
    /// Local time just before it was sent.
    sent: Duration,
}

/// State of the owner of a shard, shared by its async tasks on the event loop.
struct ShardOwner<P> {
    node: Rc<Node<P>>,
    claimed: Claimed,
    scheduler: RefCell<ShardScheduler>,
    /// Age of the VM list that the scheduler has.
    workers_freshness: Freshness,
    /// Age of the jobs and cancellations that the scheduler has.
    jobs_freshness: Freshness,
    ownership_lease: Cell<OwnershipLease>,
    lease_renewal: Cell<LeaseRenewal>,
    /// Latest reading that the store's clock can have had when the newest stored write was sent that extended the
    /// ownership lease; `None` if it was not known.
    renewed_store_ms: Cell<Option<u64>>,
    /// Version of the owner row, as far as it is known; the owner's writes in the shard's partition are conditional on
    /// it.
    owner_version: Cell<u64>,
    /// Versions of the progress rows; one without an entry does not exist.
    versions: RefCell<BTreeMap<RowId, u64>>,
    /// Version of the heartbeat row; 0 if there is none.
    heartbeat_version: Cell<u64>,
    /// Number of the last row with names of a heartbeat that may be stored.
    heartbeat_parts: Cell<usize>,
    /// Ended jobs whose descriptions are still stored.
    ended_jobs: RefCell<BTreeSet<JobId>>,
    /// Ended jobs whose rows are still stored, each with the local time at which this owner learned of the end; oldest
    /// first.
    expiring: RefCell<VecDeque<(Duration, JobId)>>,
    work: WorkLog,
    /// Starts the next round of the scheduler early.
    wake: Notify,
    /// Tells [`rows::write_rows`] that urgent rows are due.
    rows_due: Notify,
    /// True once another process owns the shard or a planned stop has begun; no command is sent from then on.
    is_ownership_over: Cell<bool>,
    /// Notified once another process owns the shard.
    ownership_ended: Notify,
}

impl<P> ShardOwner<P> {
    /// Condition for each write of the owner: the owner row is still the one of its claim.
    fn ownership_condition(&self) -> (RowKey, u64) {
        (RowKey::new(layout::OWNERS_TABLE, layout::OWNER_KEY), self.owner_version.get())
    }

    /// Returns true if the owner row among rows that were read is still the one of the claim, and takes over its
    /// version. The version alone doesn't tell: the answer to the claim may have had a later one.
    fn confirm_owner_row(&self, rows: &[Row]) -> bool {
        let Some(row) = rows
            .iter()
            .find(|row| row.id.table == layout::OWNERS_TABLE && row.id.key == layout::OWNER_KEY)
        else {
            return false;
        };
        let stored: Option<OwnerRow> =
            row.value.as_deref().and_then(|value| serde_json::from_slice(value).ok());
        let is_own = stored.is_some_and(|stored| {
            stored.epoch == self.claimed.epoch
                && stored.vm == self.node.cfg.vm
                && stored.started_unix_ms == self.node.started_unix_ms
        });
        if is_own {
            self.owner_version.set(row.version);
        }
        is_own
    }

    /// Returns true if tasks may start at `now`: the copies by which starts are decided are current. Asks for those
    /// that are not.
    fn may_start(&self, now: Duration) -> bool {
        let copies =
            [self.node.operator_config_freshness(), &self.workers_freshness, &self.jobs_freshness];
        // No short circuit, so that all copies that are too old are asked for.
        copies.map(|copy| copy.require(now)) == [true; 3]
    }

    /// Records for the log that the store has applied a write of this owner that was sent at `sent`.
    fn record_applied(&self, heartbeat: Option<&Heartbeat>, sent: Duration, version: u64) {
        if let Some(heartbeat) = heartbeat {
            self.lease_renewal.set(LeaseRenewal { version, beat: heartbeat.row.beat, sent });
        }
        self.scheduler.borrow_mut().set_rows_version(version);
    }

    /// Logs a change of the permission to send commands, with what a successor's lines can be compared with: the
    /// heartbeat that the permission counts from, and the latest time at which a lease of this owner lapses.
    fn log_permission(&self, change: fmt::Arguments<'_>) {
        let now = self.node.clock.boot();
        let LeaseRenewal { version, beat, sent } = self.lease_renewal.get();
        let until = |at: Duration| at.saturating_sub(now).as_millis();
        let lapsed = self.scheduler.borrow().leases_lapsed_at();
        event::SHARD_LOST.emit(format_args!(
            "shard={} epoch={} {change} owner_version={} heartbeat_version={version} beat={beat} renewed_ms_ago={} ends_in_ms={} leases_lapsed_in_ms={}",
            self.claimed.shard.0,
            self.claimed.epoch,
            self.owner_version.get(),
            now.saturating_sub(sent).as_millis(),
            until(sent + OWNERSHIP_LEASE_DURATION),
            lapsed.map_or(0, until)
        ));
    }

    /// Runs `f` with the scheduler, and counts the time that it takes.
    fn with_scheduler<T>(&self, work: Work, f: impl FnOnce(&mut ShardScheduler) -> T) -> T {
        self.work.measure(&*self.node.clock, work, || f(&mut self.scheduler.borrow_mut()))
    }

    /// Gives rows of accepted jobs and cancellations to the scheduler.
    fn add_jobs(&self, rows: &[Row]) {
        let now = self.node.clock.boot();
        let oldest = self.with_scheduler(Work::Changes, |scheduler| {
            add_jobs(scheduler, now, rows, &BTreeMap::new())
        });
        let age = oldest.map_or(0, |accepted| self.node.clock.unix_ms().saturating_sub(accepted));
        self.work.record_job_age(Duration::from_millis(age));
    }

    fn log_start_permission(&self, now: Duration, is_allowed: bool) {
        let event = if is_allowed { &event::STARTS_ALLOWED } else { &event::STARTS_PAUSED };
        event.emit(format_args!(
            "shard={} epoch={} config_age_ms={} workers_age_ms={} jobs_age_ms={}",
            self.claimed.shard.0,
            self.claimed.epoch,
            self.node.operator_config_freshness().age_ms(now),
            self.workers_freshness.age_ms(now),
            self.jobs_freshness.age_ms(now),
        ));
    }
}

/// Schedules the shard until another process owns it or the planned stop begins, and releases it in the latter case.
pub async fn run<P: RowStore + WorkerPort + 'static>(node: Rc<Node<P>>, claimed: Claimed) {
    let Some((owner, after)) = load(node, claimed).await else { return };
    let owner = Rc::new(owner);
    let handles = [
        tokio::task::spawn_local(follow_jobs(Rc::clone(&owner), after)),
        tokio::task::spawn_local(follow_workers(Rc::clone(&owner))),
        tokio::task::spawn_local(rows::write_rows(Rc::clone(&owner))),
        tokio::task::spawn_local(run_scheduler(Rc::clone(&owner))),
        tokio::task::spawn_local(ended::drop_descriptions(Rc::clone(&owner))),
        tokio::task::spawn_local(ended::expire_jobs(Rc::clone(&owner))),
    ];
    let mut stop = owner.node.stop_receiver();
    tokio::select! {
        () = owner.ownership_ended.notified() => {}
        _ = stop.wait_for(|is_stopping| *is_stopping) => {}
    }
    owner.is_ownership_over.set(true);
    for handle in &handles {
        handle.abort();
    }
    if owner.node.is_stopping() {
        release(&owner).await;
    }
}

/// Gives newly accepted jobs and cancellations to the scheduler, by following the changes of their table.
async fn follow_jobs<P: RowStore + WorkerPort>(owner: Rc<ShardOwner<P>>, mut after: u64) {
    let shard = owner.claimed.shard;
    let table = layout::jobs_table(shard);
    let freshness = &owner.jobs_freshness;
    loop {
        let wait = freshness.changes_wait(owner.node.clock.boot());
        let changes = |wait| owner.node.port.changes(&table, after, wait);
        let (sent, changes) = freshness.read(&*owner.node.clock, wait, changes).await;
        match changes {
            Ok(list) => {
                owner.node.record_store_result(None);
                after = list.version.max(after);
                if !list.rows.is_empty() {
                    owner.add_jobs(&list.rows);
                }
                freshness.confirm(sent);
                if !list.rows.is_empty() {
                    owner.wake.notify_one();
                    tokio::time::sleep(CHANGES_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                event::HISTORY_GONE.emit(format_args!("table={table} after={after}"));
                let sent = owner.node.clock.boot();
                let Some(list) = read_jobs(&owner.node, shard).await else { return };
                after = list.version;
                owner.add_jobs(&list.rows);
                freshness.confirm(sent);
                owner.wake.notify_one();
            }
            Err(e) => {
                freshness.fail(sent);
                owner.node.record_store_result(Some(&e));
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the VM list periodically and gives the shard's workers to the scheduler.
async fn follow_workers<P: RowStore + WorkerPort>(owner: Rc<ShardOwner<P>>) {
    let freshness = &owner.workers_freshness;
    let shard = owner.claimed.shard;
    loop {
        let list = |_| owner.node.port.list();
        let (sent, listing) = freshness.read(&*owner.node.clock, Duration::ZERO, list).await;
        owner.node.record_store_result(listing.as_ref().err());
        let (Ok(listing), Some(map)) = (listing, owner.node.map()) else {
            freshness.fail(sent);
            tokio::time::sleep(STORE_RETRY_PAUSE).await;
            continue;
        };
        let own = listing.into_iter().filter(|w| map.of_worker(w.id.as_str()) == shard).collect();
        let now = owner.node.clock.boot();
        owner.with_scheduler(Work::Changes, |scheduler| scheduler.on_listing(now, own));
        freshness.confirm(sent);
        owner.wake.notify_one();
        tokio::time::sleep(WORKER_LIST_PERIOD).await;
    }
}

/// Runs the scheduler's rounds while the ownership lease is valid, and sends its commands.
async fn run_scheduler<P: RowStore + WorkerPort + 'static>(owner: Rc<ShardOwner<P>>) {
    let mut operator_config = owner.node.operator_config();
    let mut was_lease_valid = true;
    let mut was_start_allowed = false;
    let mut lag = Duration::ZERO;
    loop {
        let now = owner.node.clock.boot();
        let is_lease_valid = owner.ownership_lease.get().is_valid(now);
        if is_lease_valid != was_lease_valid {
            was_lease_valid = is_lease_valid;
            let change = if is_lease_valid { "regained" } else { "lapsed" };
            owner.log_permission(format_args!("permission={change}"));
        }
        if is_lease_valid {
            let is_start_allowed = owner.may_start(now);
            if is_start_allowed != was_start_allowed {
                was_start_allowed = is_start_allowed;
                owner.log_start_permission(now, is_start_allowed);
            }
            let mut scheduler = owner.scheduler.borrow_mut();
            scheduler.allow_starts(is_start_allowed);
            scheduler.on_lag(now, lag);
            if !Rc::ptr_eq(&operator_config, &owner.node.operator_config()) {
                operator_config = owner.node.operator_config();
                apply_operator_config(&owner.node, &mut scheduler);
            }
            let unix_ms = owner.node.clock.unix_ms();
            let confirmed = owner.ownership_lease.get().confirmed();
            owner.work.measure(&*owner.node.clock, Work::Rounds, || {
                scheduler.tick(now, unix_ms, confirmed);
            });
            let commands = scheduler.take_commands();
            let is_fenced = scheduler.is_fenced();
            if scheduler.has_urgent_rows() {
                owner.rows_due.notify_one();
            }
            drop(scheduler);
            if is_fenced {
                return end_ownership(&owner, "fenced");
            }
            for command in commands {
                tokio::task::spawn_local(send_command(Rc::clone(&owner), command));
            }
        }
        let paused = owner.node.clock.boot();
        tokio::time::sleep(ROUND_PAUSE).await;
        let pause = owner.node.clock.boot().saturating_sub(paused);
        lag = pause.saturating_sub(ROUND_PAUSE);
        owner.work.record_lag(lag);
        tokio::select! {
            () = owner.wake.notified() => {}
            () = tokio::time::sleep(MAX_ROUND_INTERVAL) => {}
        }
    }
}

fn end_ownership<P>(owner: &ShardOwner<P>, cause: &str) {
    owner.log_permission(format_args!("cause={cause}"));
    owner.is_ownership_over.set(true);
    owner.ownership_ended.notify_one();
}

/// Sends a command, unless the ownership lease is no longer valid, and gives its outcome to the scheduler.
async fn send_command<P: RowStore + WorkerPort>(owner: Rc<ShardOwner<P>>, command: Command) {
    let sent = owner.node.clock.boot();
    // The VM may have been suspended since the round that issued the command.
    let is_lease_valid =
        owner.ownership_lease.get().is_valid(sent) && !owner.is_ownership_over.get();
    let epoch = owner.claimed.epoch;
    let port = &owner.node.port;
    match &command.kind {
        CommandKind::Renew { .. } => {
            let outcome = if_allowed(
                is_lease_valid,
                Err(RenewalFailure::NoAnswer),
                port.renew(epoch, &command),
            )
            .await;
            if outcome.is_err() {
                port.close_idle(command.address);
            }
            let now = owner.node.clock.boot();
            owner.with_scheduler(Work::Answers, |scheduler| {
                scheduler.on_renewal(now, &command, sent, outcome);
            });
        }
        CommandKind::Start { .. } => {
            let may_start = is_lease_valid && owner.may_start(sent);
            let not_sent = Reply::without_clock(StartOutcome::NotSent);
            let reply = if_allowed(may_start, not_sent, port.start(epoch, &command)).await;
            let now = owner.node.clock.boot();
            owner.node.metrics.time("order.start", now.saturating_sub(sent));
            if reply.outcome != StartOutcome::Started {
                owner.node.metrics.count("order.start.failed", 1);
            }
            owner.with_scheduler(Work::Answers, |scheduler| {
                scheduler.on_start(now, &command, sent, reply);
            });
        }
        CommandKind::Stop { .. } => {
            let not_sent = Reply::without_clock(CommandOutcome::Unknown);
            let call = port.stop_or_throttle(epoch, &command);
            let reply = if_allowed(is_lease_valid, not_sent, call).await;
            let now = owner.node.clock.boot();
            owner.scheduler.borrow_mut().on_stop(now, &command, sent, reply);
        }
        CommandKind::Throttle { .. } => {
            let not_sent = Reply::without_clock(CommandOutcome::Unknown);
            let call = port.stop_or_throttle(epoch, &command);
            let reply = if_allowed(is_lease_valid, not_sent, call).await;
            let now = owner.node.clock.boot();
            owner.scheduler.borrow_mut().on_throttle(now, &command, sent, reply);
        }
    }
    owner.wake.notify_one();
}

async fn if_allowed<T>(is_allowed: bool, otherwise: T, call: impl Future<Output = T>) -> T {
    if is_allowed { call.await } else { otherwise }
}

/// Clears the name of the owner in the owner row, so that another process can claim the shard at once.
async fn release<P: RowStore>(owner: &ShardOwner<P>) {
    let until = owner.node.clock.boot() + RELEASE_TIMEOUT;
    let key = RowKey::new(layout::OWNERS_TABLE, layout::OWNER_KEY);
    let now = owner.node.clock.boot();
    let renewed = owner.ownership_lease.get().renewed();
    let LeaseEnds { silent_at, lapsed_at, .. } = owner.claimed.lease_ends;
    let row = OwnerRow {
        epoch: owner.claimed.epoch,
        vm: String::new(),
        started_unix_ms: owner.node.started_unix_ms,
        earlier_silent_in_ms: Some(ms_until(silent_at, now)),
        lease_limit_ms: Some(ms_until(OWNERSHIP_LEASE_DURATION, Duration::ZERO)),
        earlier_lapsed_in_ms: Some(ms_until(lapsed_at, renewed)),
        sent_store_ms: owner.renewed_store_ms.get(),
    };
    let mut commit = Commit {
        partition: layout::shard_partition(owner.claimed.shard),
        writes: vec![(key, serde_json::to_vec(&row).unwrap_or_default())],
        ..Commit::default()
    };
    while owner.node.clock.boot() < until {
        commit.expected = vec![owner.ownership_condition()];
        match owner.node.port.commit(&commit).await {
            Ok(CommitOutcome::Conflict { rows }) if owner.confirm_owner_row(&rows) => {}
            Ok(outcome) => {
                event::SHARD_RELEASED.emit(format_args!(
                    "shard={} epoch={} outcome={}",
                    owner.claimed.shard.0,
                    owner.claimed.epoch,
                    if matches!(outcome, CommitOutcome::Applied { .. }) {
                        "released"
                    } else {
                        "lost"
                    }
                ));
                return;
            }
            Err(e) => {
                owner.node.record_store_result(Some(&e));
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}
