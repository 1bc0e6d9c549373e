//! Polls the table and the VM list, and writes this process's member row.
//!
//! One read per period covers the catalogue, the domains' states and the members, to keep the load
//! that the polling of all processes puts on the table service low.

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

/// Longest time until a sleeping thread notices the stop signal.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of one attempt to write or delete the member row.
const MEMBER_COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortest and longest delay between attempts to write the member row.
const MEMBER_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// A thread could not be started.
#[derive(Debug, Error)]
#[error("cannot start the thread {name}")]
pub struct SyncError {
    name: &'static str,
    #[source]
    source: std::io::Error,
}

/// Handles of the threads of this module.
#[derive(Debug)]
pub struct SyncThreads {
    cx: Context,
    member: Member,
    /// Ends the threads; set by `close`, which may be called before the process's stop signal.
    closed: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SyncThreads {
    /// Starts the threads. One of them writes `member` to the table, retrying until it is written.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub fn start(cx: &Context, member: Member) -> Result<Self, SyncError> {
        let closed = Arc::new(AtomicBool::new(false));
        let mut sync = Self { cx: cx.clone(), member, closed, threads: Vec::new() };
        sync.spawn("sync-table", |thread_cx| poll_table(&thread_cx))?;
        sync.spawn("sync-vms", |thread_cx| poll_vms(&thread_cx))?;
        let member = sync.member.clone();
        sync.spawn("sync-member", move |thread_cx| write_member_row(&thread_cx, &member))?;
        Ok(sync)
    }

    fn spawn(
        &mut self,
        name: &'static str,
        run: impl FnOnce(ThreadContext) + Send + 'static,
    ) -> Result<(), SyncError> {
        let thread_cx = ThreadContext { cx: self.cx.clone(), closed: Arc::clone(&self.closed) };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(thread_cx))
            .map_err(|source| SyncError { name, source })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Ends the threads and deletes the member row, so group commit must still run.
    pub fn close(self) {
        self.closed.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // The panic hook has reported a panic of the thread.
            let _ = thread.join();
        }
        let key = directory::row_key(&self.member.domain, &self.member.process);
        if let Err(error) = submit_member(&self.cx, "delete", Write::Delete { key }) {
            MEMBER_ROW_KEPT.emit(format_args!("{error}; a later clean-up has to remove it"));
        }
    }
}

/// Context and stop condition of a thread.
#[derive(Debug)]
struct ThreadContext {
    cx: Context,
    closed: Arc<AtomicBool>,
}

impl ThreadContext {
    fn is_stopped(&self) -> bool {
        self.closed.load(Ordering::SeqCst) || self.cx.stop.is_stopped()
    }

    /// Sleeps until `until`. Returns false if the thread must end.
    fn sleep_until(&self, until: Instant) -> bool {
        while !self.is_stopped() {
            let left = until.saturating_duration_since(self.cx.clock.now());
            if left.is_zero() {
                return true;
            }
            self.cx.clock.sleep(left.min(STOP_CHECK_PERIOD));
        }
        false
    }

    /// Calls `f` once per period until the thread must end. A late call does not shorten the time to the next one.
    fn run_periodically(&self, period: Duration, mut f: impl FnMut()) {
        let mut next = self.cx.clock.now();
        while self.sleep_until(next) {
            next = self.cx.clock.now() + period;
            f();
        }
    }
}

/// Logs when a service becomes unavailable and when it becomes available again.
#[derive(Debug, Default)]
struct AvailabilityLog {
    is_failing: bool,
}

impl AvailabilityLog {
    fn update(
        &mut self,
        error: Option<&PlatformError>,
        unavailable: &crate::telemetry::Event,
        available: &crate::telemetry::Event,
    ) {
        match error {
            Some(error) if !self.is_failing => unavailable.emit(format_args!("{error}")),
            None if self.is_failing => available.emit(format_args!("it answers again")),
            _ => {}
        }
        self.is_failing = error.is_some();
    }
}

/// Reads the changed rows of the catalogue, of the domains' states and of the members.
#[derive(Debug, Default)]
pub struct TablePoller {
    /// Table revision that the directory reflects. Never decreases.
    directory_revision: Revision,
}

impl TablePoller {
    /// Reads the changes once and applies them to the catalogue cache and the directory.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the cache and the directory are unchanged then.
    pub fn poll(&mut self, cx: &Context) -> Result<(), PlatformError> {
        let mut prefixes = CatalogueCache::prefixes();
        prefixes.push(directory::ROW_PREFIX.to_owned());
        // The cache may be ahead of the directory, because each edit by this process refreshes it.
        let base = self.directory_revision.min(cx.catalogue.snapshot().revision());
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
        if revision < self.directory_revision {
            return;
        }
        self.directory_revision = revision;
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

/// Reads the catalogue and the domains' states without waiting for the next poll, so that this process sees its own
/// edit.
///
/// # Errors
///
/// Any [`PlatformError`]; the next poll reads the same changes.
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

fn poll_table(thread_cx: &ThreadContext) {
    let mut poller = TablePoller::default();
    let mut availability = AvailabilityLog::default();
    thread_cx.run_periodically(thread_cx.cx.cfg.timing.catalogue_poll(), || {
        let result = poller.poll(&thread_cx.cx);
        availability.update(result.as_ref().err(), &TABLE_UNAVAILABLE, &TABLE_AVAILABLE);
    });
}

fn poll_vms(thread_cx: &ThreadContext) {
    let mut availability = AvailabilityLog::default();
    thread_cx.run_periodically(thread_cx.cx.cfg.timing.vm_poll(), || {
        let result = thread_cx.cx.vms.list();
        availability.update(result.as_ref().err(), &VM_LIST_UNAVAILABLE, &VM_LIST_AVAILABLE);
        if let Ok(listing) = result {
            thread_cx.cx.vm_listing.replace(listing);
        }
    });
}

/// Writes the member row, retrying until a write is known to be committed. Gives up if the row cannot be encoded.
fn write_member_row(thread_cx: &ThreadContext, member: &Member) {
    let cx = &thread_cx.cx;
    let key = directory::row_key(&member.domain, &member.process);
    let value = match serde_json::to_value(member) {
        Ok(value) => value,
        Err(error) => return MEMBER_ROW_FAILED.emit(format_args!("{error}")),
    };
    let mut backoff = Backoff::new(MEMBER_BACKOFF.0, MEMBER_BACKOFF.1);
    while !thread_cx.is_stopped() {
        let write = Write::Put { key: key.clone(), value: value.clone() };
        match submit_member(cx, "put", write) {
            Ok(()) => return MEMBER_ROW_WRITTEN.emit(format_args!("{key}")),
            Err(error) if backoff.retries() == 0 => MEMBER_ROW_FAILED.emit(format_args!("{error}")),
            Err(_) => {}
        }
        let now = cx.clock.now();
        let delay = backoff.next_delay(now, now + MEMBER_BACKOFF.1 * 2, rand::random());
        if !thread_cx.sleep_until(now + delay.unwrap_or(MEMBER_BACKOFF.1)) {
            return;
        }
    }
}

/// Commits one unconditional write to the member row.
fn submit_member(cx: &Context, verb: &str, write: Write) -> Result<(), CommitFailure> {
    let operation = format!("member/{}/{verb}/{:016x}", cx.process, rand::random::<u64>());
    let txn = Transaction { operation, conditions: Vec::new(), writes: vec![write] };
    match cx.commits.submit(&txn, cx.clock.now() + MEMBER_COMMIT_TIMEOUT)? {
        CommitResult::Committed { .. } => Ok(()),
        CommitResult::Conflict { failed } => {
            // A write without conditions conflicts only if its operation was forbidden by a query for its outcome.
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
