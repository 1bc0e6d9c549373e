//! Follows the table and the VM list, and announces this process.
//!
//! One read per period covers the catalogue, the domains' states and the members, because reads are what the table
//! service has to bear from every process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::Context;
use crate::catalogue::{CatalogueCache, document};
use crate::domain::state;
use crate::peer::{Member, directory};
use crate::platform::PlatformError;
use crate::platform::group_commit::CommitFailure;
use crate::platform::table::{
    CommitResult, ReadRequest, ReadResponse, Revision, Row, Transaction, Write,
};
use crate::policy::retry::Backoff;
use crate::telemetry::event::platform::{
    MEMBER_ROW_FAILED, MEMBER_ROW_KEPT, MEMBER_ROW_WRITTEN, TABLE_AVAILABLE, TABLE_UNAVAILABLE,
    VM_LIST_AVAILABLE, VM_LIST_UNAVAILABLE,
};

/// Longest time until a waiting thread sees the stop signal.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Bound of one attempt to write or delete the member row.
const MEMBER_DEADLINE: Duration = Duration::from_secs(3);

/// Bounds of the delays between attempts to write the member row.
const MEMBER_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// A duty thread could not be started.
#[derive(Debug, Error)]
#[error("cannot start the thread {name}")]
pub struct SyncError {
    name: &'static str,
    #[source]
    source: std::io::Error,
}

/// The duty threads.
#[derive(Debug)]
pub struct Sync {
    cx: Context,
    member: Member,
    /// Ends the threads of this duty; set by `close`, which may come before the process's own stop.
    closed: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sync {
    /// Starts the threads. `member` is written to the table as soon as that is possible.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub fn start(cx: &Context, member: Member) -> Result<Self, SyncError> {
        let closed = Arc::new(AtomicBool::new(false));
        let mut sync = Self { cx: cx.clone(), member, closed, threads: Vec::new() };
        sync.spawn("sync-table", |duty| follow_table(&duty))?;
        sync.spawn("sync-vms", |duty| follow_vms(&duty))?;
        let member = sync.member.clone();
        sync.spawn("sync-member", move |duty| announce(&duty, &member))?;
        Ok(sync)
    }

    fn spawn(
        &mut self,
        name: &'static str,
        run: impl FnOnce(Duty) + Send + 'static,
    ) -> Result<(), SyncError> {
        let duty = Duty { cx: self.cx.clone(), closed: Arc::clone(&self.closed) };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(duty))
            .map_err(|source| SyncError { name, source })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Ends the threads and deletes the member row. Group commit must still run.
    pub fn close(self) {
        self.closed.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
        let key = directory::row_key(&self.member.domain, &self.member.process);
        if let Err(error) = submit_member(&self.cx, "delete", Write::Delete { key }) {
            MEMBER_ROW_KEPT.emit(format_args!("{error}; a later clean-up has to remove it"));
        }
    }
}

/// What a duty thread works with.
#[derive(Debug)]
struct Duty {
    cx: Context,
    closed: Arc<AtomicBool>,
}

impl Duty {
    fn is_stopped(&self) -> bool {
        self.closed.load(Ordering::SeqCst) || self.cx.stop.is_stopped()
    }

    /// Sleeps until `until`. False if the thread must end.
    fn wait(&self, until: Instant) -> bool {
        while !self.is_stopped() {
            let left = until.saturating_duration_since(self.cx.clock.now());
            if left.is_zero() {
                return true;
            }
            self.cx.clock.sleep(left.min(STOP_CHECK));
        }
        false
    }

    /// Calls `act` once per period until the stop. A late call does not shorten the time to the next one.
    fn each(&self, period: Duration, mut act: impl FnMut()) {
        let mut next = self.cx.clock.now();
        while self.wait(next) {
            next = self.cx.clock.now() + period;
            act();
        }
    }
}

/// Logs when a service stops answering and when it answers again.
#[derive(Debug, Default)]
struct Availability {
    failing: bool,
}

impl Availability {
    fn update(
        &mut self,
        error: Option<&PlatformError>,
        lost: &crate::telemetry::Event,
        found: &crate::telemetry::Event,
    ) {
        match error {
            Some(error) if !self.failing => lost.emit(format_args!("{error}")),
            None if self.failing => found.emit(format_args!("it answers again")),
            _ => {}
        }
        self.failing = error.is_some();
    }
}

/// Follows the rows of the catalogue, of the domains' states and of the members.
#[derive(Debug, Default)]
pub struct TableFollower {
    /// Revision that the directory reflects. Never goes down.
    members_at: Revision,
}

impl TableFollower {
    /// Makes one read and applies it to the context's cache and directory.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; nothing has changed then.
    pub fn poll(&mut self, cx: &Context) -> Result<(), PlatformError> {
        let mut prefixes = CatalogueCache::prefixes();
        prefixes.push(directory::ROW_PREFIX.to_owned());
        // The cache may be ahead, because it is refreshed after each own edit.
        let base = self.members_at.min(cx.catalogue.snapshot().revision());
        let req = ReadRequest { keys: Vec::new(), prefixes, changed_after: Some(base) };
        let sent_at = cx.clock.now();
        let response = cx.table.read(&req)?;
        let (members, catalogue) =
            response.rows.into_iter().partition(|row| row.key.starts_with(directory::ROW_PREFIX));
        let catalogue = ReadResponse { revision: response.revision, rows: catalogue };
        cx.catalogue.apply(base, &catalogue, sent_at);
        self.apply_members(cx, response.revision, members);
        Ok(())
    }

    fn apply_members(&mut self, cx: &Context, revision: Revision, rows: Vec<Row>) {
        if revision < self.members_at {
            return;
        }
        self.members_at = revision;
        for row in rows {
            let member = row.value.and_then(|value| serde_json::from_value::<Member>(value).ok());
            match member {
                Some(member) => cx.directory.insert(member),
                None => {
                    if let Some(process) = row.key.rsplit('/').next() {
                        cx.directory.remove(process);
                    }
                }
            }
        }
    }
}

/// Reads the catalogue and the domains' states at once, so that this process sees its own edit.
///
/// # Errors
///
/// Any [`PlatformError`]; the next regular read makes up for it.
pub fn refresh(cx: &Context) -> Result<(), PlatformError> {
    let base = cx.catalogue.snapshot().revision();
    let req = ReadRequest {
        keys: Vec::new(),
        prefixes: vec![document::ROW_PREFIX.to_owned(), state::ROW_PREFIX.to_owned()],
        changed_after: Some(base),
    };
    let sent_at = cx.clock.now();
    let response = cx.table.read(&req)?;
    cx.catalogue.apply(base, &response, sent_at);
    Ok(())
}

fn follow_table(duty: &Duty) {
    let mut follower = TableFollower::default();
    let mut availability = Availability::default();
    duty.each(duty.cx.cfg.timing.catalogue_poll(), || {
        let result = follower.poll(&duty.cx);
        availability.update(result.as_ref().err(), &TABLE_UNAVAILABLE, &TABLE_AVAILABLE);
    });
}

fn follow_vms(duty: &Duty) {
    let mut availability = Availability::default();
    duty.each(duty.cx.cfg.timing.vm_poll(), || {
        let result = duty.cx.vms.list();
        availability.update(result.as_ref().err(), &VM_LIST_UNAVAILABLE, &VM_LIST_AVAILABLE);
        if let Ok(listing) = result {
            duty.cx.vm_listing.replace(listing);
        }
    });
}

/// Writes the member row, retrying until it is certainly there.
fn announce(duty: &Duty, member: &Member) {
    let cx = &duty.cx;
    let key = directory::row_key(&member.domain, &member.process);
    let value = match serde_json::to_value(member) {
        Ok(value) => value,
        Err(error) => return MEMBER_ROW_FAILED.emit(format_args!("{error}")),
    };
    let mut backoff = Backoff::new(MEMBER_BACKOFF.0, MEMBER_BACKOFF.1);
    while !duty.is_stopped() {
        let write = Write::Put { key: key.clone(), value: value.clone() };
        match submit_member(cx, "put", write) {
            Ok(()) => return MEMBER_ROW_WRITTEN.emit(format_args!("{key}")),
            Err(error) if backoff.retries() == 0 => MEMBER_ROW_FAILED.emit(format_args!("{error}")),
            Err(_) => {}
        }
        let now = cx.clock.now();
        let delay = backoff.next_delay(now, now + MEMBER_BACKOFF.1 * 2, rand::random());
        if !duty.wait(now + delay.unwrap_or(MEMBER_BACKOFF.1)) {
            return;
        }
    }
}

/// Commits one unconditional write to the member row.
fn submit_member(cx: &Context, verb: &str, write: Write) -> Result<(), CommitFailure> {
    let operation = format!("member/{}/{verb}/{:016x}", cx.process, rand::random::<u64>());
    let txn = Transaction { operation, conditions: Vec::new(), writes: vec![write] };
    match cx.commits.submit(&txn, cx.clock.now() + MEMBER_DEADLINE)? {
        CommitResult::Committed { .. } => Ok(()),
        CommitResult::Conflict { failed } => {
            // A write without conditions only conflicts if its operation was forbidden.
            Err(CommitFailure::NotCommitted {
                cause: PlatformError::Refused {
                    service: "table service",
                    status: 409,
                    message: format!("conflict on {failed:?}"),
                },
            })
        }
    }
}
