//! Records idempotency keys before the dispatch.
//!
//! A key is recorded here, at the other entry processes in one parallel round, and in the table. Each of the three
//! knows some of the earlier claims, and one that reports another holder is enough to refuse: two claims that meet may
//! both be refused, and never both be dispatched.
//!
//! A holder whose request certainly did not run releases its own record and row. Its peers keep theirs, so a record of
//! a peer counts as void if its holder itself has recorded the new claim.

mod round;

use std::collections::BTreeSet;
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::Context;
use crate::peer::{RecordKey, RecordKeyReply};
use crate::platform::PlatformError;
use crate::platform::table::{Condition, ReadRequest, Transaction, Write};
use crate::request::key::{
    IdempotencyStore, KeyLimits, KeyRecord, KeyRow, Recording, StoredAnswer, row_key,
};
use crate::telemetry::event::request as event;

use round::{Local, Round, RowClaim};

/// Share of the remaining deadline in which the table and the peers must have answered.
const ROUND_SHARE: u32 = 4;

/// Largest body that is kept in a row.
const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Row updates that wait for the table.
const ROW_RING: usize = 1024;

/// How often the row thread looks whether it must end, and for expired records.
const POLL: Duration = Duration::from_millis(200);

/// Why the duty could not start.
#[derive(Debug, Error)]
pub enum IdempotencyError {
    /// No thread.
    #[error("cannot start the thread for rows of keys")]
    Thread {
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

/// What is known of a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyClaim {
    /// Nobody else has it; the request may be dispatched.
    Fresh,
    /// Nothing could be looked up, and the caller asserts that the request is fresh; it may be dispatched once.
    Unprotected,
    /// The request has been answered before.
    Finished(Option<StoredAnswer>),
    /// Another attempt is in progress or has ended without an answer.
    InProgress,
    /// The key was used for another request.
    Mismatch,
    /// Nothing could be looked up.
    Unavailable,
}

/// A request's key as received.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The service.
    pub service: String,
    /// The key, checked.
    pub key: String,
    /// Digest of the request.
    pub digest: String,
    /// Number of the caller's attempt, if it sent one.
    pub attempt: Option<u32>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
}

/// A later change to the row of a key.
#[derive(Debug)]
enum RowUpdate {
    Finish { row: String, content: KeyRow },
    Delete { row: String },
}

#[derive(Debug)]
struct Inner {
    cx: Context,
    store: Mutex<IdempotencyStore>,
    /// Keys that this process claims at the moment although another process has recorded them.
    claiming: Mutex<BTreeSet<(String, String)>>,
    updates: SyncSender<RowUpdate>,
    /// When the table last gave no answer to a claim.
    table_failed: Mutex<Option<Instant>>,
}

/// The idempotency keys of a process. Cloning shares them.
#[derive(Clone, Debug)]
pub struct IdempotencyKeys {
    inner: Arc<Inner>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl IdempotencyKeys {
    /// Starts the thread that updates rows.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(cx: Context, limits: KeyLimits) -> Result<Self, IdempotencyError> {
        let (updates, rx) = mpsc::sync_channel(ROW_RING);
        let store = Mutex::new(IdempotencyStore::new(limits));
        let inner = Arc::new(Inner {
            cx,
            store,
            claiming: Mutex::default(),
            updates,
            table_failed: Mutex::default(),
        });
        let updating = Arc::clone(&inner);
        let thread = std::thread::Builder::new()
            .name("key-rows".to_owned())
            .spawn(move || updating.update_rows(&rx))
            .map_err(|source| IdempotencyError::Thread { source })?;
        Ok(Self { inner, thread: Arc::new(Mutex::new(Some(thread))) })
    }

    /// Claims a key for this process. Blocks for a quarter of the remaining deadline at most.
    #[must_use]
    pub fn claim(&self, req: &KeyedRequest) -> KeyClaim {
        self.inner.claim(req)
    }

    /// Keeps the answer of a claimed key.
    pub fn finish(&self, req: &KeyedRequest, answer: StoredAnswer) {
        let kept = (answer.body.len() <= MAX_ROW_BODY_BYTES).then(|| answer.clone());
        self.inner.store().finish(&req.service, &req.key, answer);
        let content = KeyRow {
            holder: self.inner.cx.process.clone(),
            digest: req.digest.clone(),
            finished: true,
            answer: kept,
        };
        self.inner.update(RowUpdate::Finish { row: row_key(&req.service, &req.key), content });
    }

    /// Takes back a claim whose request certainly did not run.
    pub fn release(&self, req: &KeyedRequest) {
        self.inner.release(req);
    }

    /// Answers a peer that wants to dispatch.
    #[must_use]
    pub fn on_record(&self, msg: &RecordKey) -> RecordKeyReply {
        let now = self.inner.cx.clock.now();
        let mut store = self.inner.store();
        if msg.release {
            store.release(&msg.service, &msg.key, &msg.holder);
            return RecordKeyReply::Recorded;
        }
        match store.record(&msg.service, &msg.key, &msg.digest, &msg.holder, now) {
            Recording::Recorded => RecordKeyReply::Recorded,
            Recording::Known(known) if known.holder == msg.holder && known.digest == msg.digest => {
                RecordKeyReply::Recorded
            }
            Recording::Known(known) => {
                RecordKeyReply::Taken { holder: known.holder, digest: known.digest }
            }
            // A holder without a name is no process: the asker gets no vote.
            Recording::Full => {
                RecordKeyReply::Taken { holder: String::new(), digest: String::new() }
            }
        }
    }

    /// Joins the thread. The context's stop signal must have been set.
    pub fn close(self) {
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Inner {
    fn claim(&self, req: &KeyedRequest) -> KeyClaim {
        let own = &self.cx.process;
        let now = self.cx.clock.now();
        let recording = self.store().record(&req.service, &req.key, &req.digest, own, now);
        match recording {
            Recording::Recorded => {
                let claim = self.ask(req, &Local::Recorded);
                if !matches!(claim, KeyClaim::Fresh | KeyClaim::Unprotected) {
                    self.store().release(&req.service, &req.key, own);
                }
                claim
            }
            Recording::Full => unprotected(req),
            Recording::Known(known) if known.digest != req.digest => KeyClaim::Mismatch,
            Recording::Known(KeyRecord { finished: Some(answer), .. }) => {
                KeyClaim::Finished(answer)
            }
            Recording::Known(known) if known.holder == *own => KeyClaim::InProgress,
            Recording::Known(known) => self.claim_from_other(req, known.holder),
        }
    }

    /// Claims a key that another process has recorded, and may have released or finished since.
    fn claim_from_other(&self, req: &KeyedRequest, holder: String) -> KeyClaim {
        let name = (req.service.clone(), req.key.clone());
        // Peers grant a repeated claim of one process, so two requests of this process must not claim at once.
        if !self.claiming().insert(name.clone()) {
            return KeyClaim::InProgress;
        }
        let claim = match self.ask(req, &Local::Known(holder)) {
            KeyClaim::Fresh => {
                self.store().take_over(&req.service, &req.key, &self.cx.process);
                KeyClaim::Fresh
            }
            // The record here shows that the request is not fresh, whatever the caller asserts.
            KeyClaim::Unprotected => KeyClaim::InProgress,
            claim => claim,
        };
        self.claiming().remove(&name);
        claim
    }

    fn ask(&self, req: &KeyedRequest, local: &Local) -> KeyClaim {
        let remaining = req.deadline.saturating_duration_since(self.cx.clock.now());
        let ask_table = self.is_table_answering();
        let round = round::ask(&self.cx, req, local, ask_table, remaining / ROUND_SHARE);
        if ask_table && round.row == RowClaim::NoAnswer {
            *self.table_failed() = Some(self.cx.clock.now());
        }
        let claim = decide(&round, req);
        if round.row == RowClaim::Won && claim != KeyClaim::Fresh {
            self.update(RowUpdate::Delete { row: row_key(&req.service, &req.key) });
        }
        claim
    }

    /// False from a claim that got no answer of the table until a later read of the catalogue succeeds. Otherwise every
    /// claim would wait for its whole share of the deadline during an outage.
    fn is_table_answering(&self) -> bool {
        let cache = self.cx.catalogue.snapshot();
        match *self.table_failed() {
            Some(failed) => cache.confirmed_at().is_some_and(|confirmed| confirmed > failed),
            None => true,
        }
    }

    fn table_failed(&self) -> MutexGuard<'_, Option<Instant>> {
        self.table_failed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn claiming(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.claiming.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, req: &KeyedRequest) {
        if self.store().release(&req.service, &req.key, &self.cx.process) {
            self.update(RowUpdate::Delete { row: row_key(&req.service, &req.key) });
            round::release(&self.cx, req);
        }
    }

    fn store(&self) -> MutexGuard<'_, IdempotencyStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: RowUpdate) {
        // Without its update a row says that the request is in progress, which refuses repeats and runs nothing twice.
        if self.updates.try_send(update).is_err() {
            event::KEY_ROW_SKIPPED.emit(format_args!("the table is slow or down"));
        }
    }

    fn update_rows(&self, updates: &Receiver<RowUpdate>) {
        loop {
            match updates.recv_timeout(POLL) {
                Ok(update) => self.apply(update),
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Err(mpsc::RecvTimeoutError::Timeout) if self.cx.stop.is_stopped() => return,
                Err(mpsc::RecvTimeoutError::Timeout) => self.expire(),
            }
        }
    }

    /// Deletes the rows of expired records. The holder does so; for a holder that is gone, any process that knows it.
    fn expire(&self) {
        let expired = self.store().expire(self.cx.clock.now());
        let directory = self.cx.directory.snapshot();
        for ((service, key), holder) in expired {
            if holder == self.cx.process || !directory.contains_key(&holder) {
                self.apply(RowUpdate::Delete { row: row_key(&service, &key) });
            }
        }
    }

    fn apply(&self, update: RowUpdate) {
        let result = match update {
            RowUpdate::Finish { row, content } => match serde_json::to_value(content) {
                Ok(value) => self.commit(Vec::new(), Write::Put { key: row, value }),
                Err(_) => return,
            },
            RowUpdate::Delete { row } => self.delete(row),
        };
        if let Err(error) = result {
            event::KEY_ROW_SKIPPED.emit(format_args!("{error}"));
        }
    }

    /// Deletes a row that is still in progress and belongs to this process or to one that is gone.
    fn delete(&self, key: String) -> Result<(), PlatformError> {
        let req = ReadRequest { keys: vec![key.clone()], ..ReadRequest::default() };
        let response = self.cx.table.read(&req)?;
        let Some(row) = response.row(&key) else { return Ok(()) };
        let content: Option<KeyRow> =
            row.value.clone().and_then(|value| serde_json::from_value(value).ok());
        let Some(content) = content else { return Ok(()) };
        let directory = self.cx.directory.snapshot();
        if content.holder != self.cx.process && directory.contains_key(&content.holder) {
            return Ok(());
        }
        let unchanged = Condition::AtRevision { key: key.clone(), revision: row.revision };
        self.commit(vec![unchanged], Write::Delete { key })
    }

    fn commit(&self, conditions: Vec<Condition>, write: Write) -> Result<(), PlatformError> {
        let operation = format!("{}-{:016x}", self.cx.process, rand::random::<u64>());
        let txn = Transaction { operation, conditions, writes: vec![write] };
        // A conflict means that the row has changed since, so that it is no longer this update's business.
        self.cx.table.commit(&txn).map(|_| ())
    }
}

fn decide(round: &Round, req: &KeyedRequest) -> KeyClaim {
    // A holder that released its claim deletes its row a moment later.
    if let RowClaim::Known(row) = &round.row
        && (row.finished || !round.has_released(&row.holder))
    {
        if row.digest != req.digest {
            return KeyClaim::Mismatch;
        }
        return if row.finished {
            KeyClaim::Finished(row.answer.clone())
        } else {
            KeyClaim::InProgress
        };
    }
    if round.taken.iter().any(|digest| *digest != req.digest) {
        return KeyClaim::Mismatch;
    }
    if !round.taken.is_empty() {
        return KeyClaim::InProgress;
    }
    // The row alone grants nothing: another process that does not reach the table may have a majority.
    if round.is_granted() {
        return KeyClaim::Fresh;
    }
    unprotected(req)
}

/// Without a look-up only the caller can know that a request is fresh.
fn unprotected(req: &KeyedRequest) -> KeyClaim {
    if req.attempt == Some(1) { KeyClaim::Unprotected } else { KeyClaim::Unavailable }
}
