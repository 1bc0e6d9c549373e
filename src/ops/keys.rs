//! Claims idempotency keys, so that a request with a key runs at most once.
//!
//! Before a request is dispatched, its key is recorded in this process, and in one parallel round in the table and at
//! the entry processes that [`Recorders`](crate::request::recorders::Recorders) chooses. Each of these knows some of
//! the earlier claims, and a single report of another holder refuses the claim. Of two concurrent claims both may be
//! refused, but never both granted. If too few processes answer, a request is dispatched only if its caller asserts
//! that it is the first attempt.
//!
//! The holder of a key is the process that claimed it; this is unrelated to the hold of a domain. A holder whose
//! request certainly did not run releases its own record and row. Its peers may keep their records, so a peer's record
//! of an earlier holder is ignored if that holder itself has recorded the new claim.

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
    IdempotencyStore, KeyLimits, KeyRecord, KeyRow, RecordOutcome, StoredAnswer, row_key,
};
use crate::telemetry::event::request as event;

use round::{LocalRecord, Round, RowClaim};

/// The table and the peers must answer within the remaining time divided by this.
const ROUND_DEADLINE_DIVISOR: u32 = 4;

/// Largest answer body that is stored in a row. The row of a longer answer has none.
const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Most row updates that wait for the table; further ones are dropped.
const ROW_UPDATE_QUEUE_LENGTH: usize = 1024;

/// After this time without an update, the row thread checks the stop signal and removes expired records.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why the claims of idempotency keys could not start.
#[derive(Debug, Error)]
pub enum IdempotencyError {
    /// The thread that updates rows could not be started.
    #[error("cannot start the thread that updates idempotency key rows")]
    Thread {
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyClaim {
    /// No other holder is known; the request may be dispatched.
    Fresh,
    /// The key could not be claimed at enough processes or the own store is full, but the caller asserts that this is
    /// its first attempt; the request may be dispatched once.
    Unprotected,
    /// The request has been answered before; `None` if the answer is no longer stored.
    Finished(Option<StoredAnswer>),
    /// Another attempt is in progress or has ended without an answer.
    InProgress,
    /// The key was used for a different request.
    Mismatch,
    /// The key could not be claimed at enough processes or the own store is full, and this may not be the caller's
    /// first attempt.
    Unavailable,
}

/// A request's key, with what is needed to claim it.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// Name of the service's catalogue entry. Each service has its own keys.
    pub service: String,
    /// The caller's key, which has passed [`key::check`](crate::request::key::check).
    pub key: String,
    /// Digest of the request.
    pub digest: String,
    /// Number of the caller's attempt, from 1; `None` if the caller sent none.
    pub attempt: Option<u32>,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
}

/// A change to the row of a key after its claim.
#[derive(Debug)]
enum RowUpdate {
    Finish { row: String, content: KeyRow },
    Delete { row: String },
}

#[derive(Debug)]
struct Inner {
    cx: Context,
    store: Mutex<IdempotencyStore>,
    /// Service and key of each claim in progress for a key whose record in this process names another holder.
    reclaiming: Mutex<BTreeSet<(String, String)>>,
    updates: SyncSender<RowUpdate>,
    /// When a claim last got no answer from the table.
    table_failed: Mutex<Option<Instant>>,
}

/// The idempotency keys of a process. Clones share the same state.
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
        let (updates, rx) = mpsc::sync_channel(ROW_UPDATE_QUEUE_LENGTH);
        let store = Mutex::new(IdempotencyStore::new(limits));
        let inner = Arc::new(Inner {
            cx,
            store,
            reclaiming: Mutex::default(),
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

    /// Stores the answer of a claimed key, here and in the key's row.
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

    /// Releases a claim whose request certainly did not run.
    pub fn release(&self, req: &KeyedRequest) {
        self.inner.release(req);
    }

    /// Records or releases a peer's claim.
    #[must_use]
    pub fn on_record(&self, msg: &RecordKey) -> RecordKeyReply {
        let now = self.inner.cx.clock.now();
        let mut store = self.inner.store();
        if msg.release {
            store.release(&msg.service, &msg.key, &msg.holder);
            return RecordKeyReply::Recorded;
        }
        match store.record(&msg.service, &msg.key, &msg.digest, &msg.holder, now) {
            RecordOutcome::Recorded => RecordKeyReply::Recorded,
            RecordOutcome::Known(known)
                if known.holder == msg.holder && known.digest == msg.digest =>
            {
                RecordKeyReply::Recorded
            }
            RecordOutcome::Known(known) => {
                RecordKeyReply::Taken { holder: known.holder, digest: known.digest }
            }
            // An empty holder name is no vote for the claim and reports no other holder.
            RecordOutcome::Full => {
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
        let record_outcome = self.store().record(&req.service, &req.key, &req.digest, own, now);
        match record_outcome {
            RecordOutcome::Recorded => {
                let claim = self.run_round(req, &LocalRecord::ThisClaim);
                if !matches!(claim, KeyClaim::Fresh | KeyClaim::Unprotected) {
                    self.store().release(&req.service, &req.key, own);
                }
                claim
            }
            RecordOutcome::Full => unprotected(req),
            RecordOutcome::Known(known) if known.digest != req.digest => KeyClaim::Mismatch,
            RecordOutcome::Known(KeyRecord { finished: Some(answer), .. }) => {
                KeyClaim::Finished(answer)
            }
            RecordOutcome::Known(known) if known.holder == *own => KeyClaim::InProgress,
            RecordOutcome::Known(known) => self.claim_from_earlier_holder(req, known.holder),
        }
    }

    /// Claims a key that is recorded for another process, which may have released or finished it since.
    fn claim_from_earlier_holder(&self, req: &KeyedRequest, holder: String) -> KeyClaim {
        let name = (req.service.clone(), req.key.clone());
        // Peers grant repeated claims of the same process, so two requests of this process must not claim concurrently.
        if !self.reclaiming().insert(name.clone()) {
            return KeyClaim::InProgress;
        }
        let claim = match self.run_round(req, &LocalRecord::EarlierHolder(holder)) {
            KeyClaim::Fresh => {
                self.store().set_holder(&req.service, &req.key, &self.cx.process);
                KeyClaim::Fresh
            }
            // The local record shows an earlier attempt, although the caller asserts that this is the first.
            KeyClaim::Unprotected => KeyClaim::InProgress,
            claim => claim,
        };
        self.reclaiming().remove(&name);
        claim
    }

    /// Asks the peers and the table, and decides the claim from their answers.
    fn run_round(&self, req: &KeyedRequest, local: &LocalRecord) -> KeyClaim {
        let remaining = req.deadline.saturating_duration_since(self.cx.clock.now());
        let ask_table = self.is_table_answering();
        let round = round::run(&self.cx, req, local, ask_table, remaining / ROUND_DEADLINE_DIVISOR);
        if ask_table && round.row == RowClaim::NoAnswer {
            *self.table_failed() = Some(self.cx.clock.now());
        }
        let claim = decide(&round, req);
        if round.row == RowClaim::Won && claim != KeyClaim::Fresh {
            self.update(RowUpdate::Delete { row: row_key(&req.service, &req.key) });
        }
        claim
    }

    /// False after a claim got no answer from the table, until a later read of the catalogue succeeds. During an outage
    /// every claim would otherwise wait for its whole part of the deadline.
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

    fn reclaiming(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.reclaiming.lock().unwrap_or_else(PoisonError::into_inner)
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
        // A row without its update shows the request as in progress. That refuses retries, but runs nothing twice.
        if self.updates.try_send(update).is_err() {
            event::KEY_ROW_SKIPPED.emit(format_args!("the table is slow or down"));
        }
    }

    fn update_rows(&self, updates: &Receiver<RowUpdate>) {
        loop {
            match updates.recv_timeout(POLL_INTERVAL) {
                Ok(update) => self.apply(update),
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Err(mpsc::RecvTimeoutError::Timeout) if self.cx.stop.is_stopped() => return,
                Err(mpsc::RecvTimeoutError::Timeout) => self.expire(),
            }
        }
    }

    /// Drops expired records. Deletes the row of each whose holder is this process or is no longer in the directory.
    /// The rows of records that [`IdempotencyStore::record`] has already expired are not deleted.
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

    /// Deletes a row that belongs to this process or to one that is no longer in the directory.
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
        // A conflict needs no handling: the row has changed since it was read.
        let unchanged = Condition::AtRevision { key: key.clone(), revision: row.revision };
        self.commit(vec![unchanged], Write::Delete { key })
    }

    fn commit(&self, conditions: Vec<Condition>, write: Write) -> Result<(), PlatformError> {
        let operation = format!("{}-{:016x}", self.cx.process, rand::random::<u64>());
        let txn = Transaction { operation, conditions, writes: vec![write] };
        self.cx.table.commit(&txn).map(|_| ())
    }
}

fn decide(round: &Round, req: &KeyedRequest) -> KeyClaim {
    // The row of a holder that has released its claim is ignored, because the holder is about to delete it.
    if let RowClaim::Taken(row) = &round.row
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
    if round.taken_digests.iter().any(|digest| *digest != req.digest) {
        return KeyClaim::Mismatch;
    }
    if !round.taken_digests.is_empty() {
        return KeyClaim::InProgress;
    }
    // Winning the row is not enough: another process that cannot reach the table may have the majority.
    if round.is_granted() {
        return KeyClaim::Fresh;
    }
    unprotected(req)
}

/// Result if the key could not be claimed at enough processes: the request is dispatched only if the caller asserts
/// that this is its first attempt.
fn unprotected(req: &KeyedRequest) -> KeyClaim {
    if req.attempt == Some(1) { KeyClaim::Unprotected } else { KeyClaim::Unavailable }
}
