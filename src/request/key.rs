//! Idempotency keys, and a process's records of them.
//!
//! Unless it is released, a record is kept until the deduplication window ends, because a retry could otherwise run
//! again. A full store refuses new keys instead. Only stored answers are dropped early: a retry then gets a 409 and
//! still does not run.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Header that carries the key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Header with the number of the caller's attempt; 1 asserts that the key has never been sent before.
pub const ATTEMPT_HEADER: &str = "Plantainlever-Attempt";

/// Prefix of the table rows that hold a [`KeyRow`].
pub const ROW_PREFIX: &str = "key/";

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// How long a key is remembered after it was recorded.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(15 * 60);

/// Table key of the row for an idempotency key.
#[must_use]
pub fn row_key(service: &str, key: &str) -> String {
    format!("{ROW_PREFIX}{service}/{key}")
}

/// A key is empty, too long, or has characters that are not visible ASCII.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("the key must have 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct KeyError;

/// Checks a key that a caller sent.
///
/// # Errors
///
/// If it is empty, too long, or has characters that are not visible ASCII.
pub fn check(key: &str) -> Result<(), KeyError> {
    let valid =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if valid { Ok(()) } else { Err(KeyError) }
}

/// Digest of what a retry must have in common with the first attempt: 128-bit FNV-1a, and the length of the body.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    let parts = [method.as_bytes(), b"\0", path.as_bytes(), b"\0", body];
    let bytes = parts.into_iter().flatten();
    let hash = bytes.fold(OFFSET, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME));
    format!("{hash:032x}-{}", body.len())
}

/// The answer of a finished request, stored for retries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status of the target.
    pub status: u16,
    /// Headers of the target that are passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Content of a key's table row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyRow {
    /// Process that dispatches the request.
    pub holder: String,
    /// Digest of the request.
    pub digest: String,
    /// True once the request has been answered.
    pub finished: bool,
    /// The answer; `None` until the request is finished or if the answer is too long for a row.
    pub answer: Option<StoredAnswer>,
}

/// Limits of an [`IdempotencyStore`].
#[derive(Clone, Copy, Debug)]
pub struct KeyLimits {
    /// Most keys recorded within the window, including released ones; further keys are refused.
    pub max_records: usize,
    /// Most bytes of stored answer bodies; beyond it the oldest answers are dropped.
    pub max_answer_bytes: usize,
    /// How long a key is remembered after it was recorded.
    pub window: Duration,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self { max_records: 100_000, max_answer_bytes: 32 << 20, window: DEDUPLICATION_WINDOW }
    }
}

/// A process's record of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// Process that dispatches the request.
    pub holder: String,
    /// Digest of the request.
    pub digest: String,
    /// `None` while the request is in progress. The inner option is `None` once the answer is no longer stored.
    pub finished: Option<Option<StoredAnswer>>,
}

/// Result of recording a key.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordOutcome {
    /// The key was new and is now recorded.
    Recorded,
    /// The key already has a record, which is unchanged.
    Known(KeyRecord),
    /// The store is full; the key is not recorded.
    Full,
}

/// Service and key.
type KeyName = (String, String);

/// The idempotency key records that one process keeps, for its own claims and for those of its peers.
#[derive(Debug)]
pub struct IdempotencyStore {
    limits: KeyLimits,
    records: BTreeMap<KeyName, KeyRecord>,
    /// Records by the time of recording. A released record leaves a stale entry, which is recognised because
    /// `recorded_at` has another time or none for the key.
    expiry_queue: VecDeque<(Instant, KeyName)>,
    /// When each record was made. Invariant: has the same keys as `records`.
    recorded_at: BTreeMap<KeyName, Instant>,
    /// Keys with a stored answer, the oldest first. May contain keys whose record has expired.
    stored_answers: VecDeque<KeyName>,
    /// Total length of the stored bodies.
    answer_bytes: usize,
}

impl IdempotencyStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: KeyLimits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
            recorded_at: BTreeMap::new(),
            stored_answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Records a key for `holder` unless it already has a record.
    pub fn record(
        &mut self,
        service: &str,
        key: &str,
        digest: &str,
        holder: &str,
        now: Instant,
    ) -> RecordOutcome {
        self.expire(now);
        let name = (service.to_owned(), key.to_owned());
        if let Some(known) = self.records.get(&name) {
            return RecordOutcome::Known(known.clone());
        }
        if self.expiry_queue.len() >= self.limits.max_records {
            return RecordOutcome::Full;
        }
        let record =
            KeyRecord { holder: holder.to_owned(), digest: digest.to_owned(), finished: None };
        self.expiry_queue.push_back((now, name.clone()));
        self.recorded_at.insert(name.clone(), now);
        self.records.insert(name, record);
        RecordOutcome::Recorded
    }

    /// Marks a key's request as finished and stores its answer. Does nothing if the key has no record or is finished.
    pub fn finish(&mut self, service: &str, key: &str, answer: StoredAnswer) {
        let name = (service.to_owned(), key.to_owned());
        let Some(record) = self.records.get_mut(&name) else { return };
        if record.finished.is_some() {
            return;
        }
        self.answer_bytes += answer.body.len();
        record.finished = Some(Some(answer));
        self.stored_answers.push_back(name);
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(oldest) = self.stored_answers.pop_front() else { return };
            self.drop_answer(&oldest);
        }
    }

    /// Removes the record of a request that certainly did not run. False if there is no record of `holder`, or its
    /// request is finished.
    pub fn release(&mut self, service: &str, key: &str, holder: &str) -> bool {
        let name = (service.to_owned(), key.to_owned());
        let owned = |record: &KeyRecord| record.holder == holder && record.finished.is_none();
        let found = self.records.get(&name).is_some_and(owned);
        if found {
            self.remove(&name);
        }
        found
    }

    /// Changes the holder of a record after another process than the recorded holder has claimed the key.
    pub fn set_holder(&mut self, service: &str, key: &str, holder: &str) {
        if let Some(record) = self.records.get_mut(&(service.to_owned(), key.to_owned())) {
            holder.clone_into(&mut record.holder);
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total length of the stored bodies.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes the records that are older than the window, and returns service and key of each with its holder.
    pub fn expire(&mut self, now: Instant) -> Vec<(KeyName, String)> {
        let mut expired = Vec::new();
        while let Some((recorded_at, _)) = self.expiry_queue.front() {
            if now.saturating_duration_since(*recorded_at) < self.limits.window {
                break;
            }
            let Some((recorded_at, name)) = self.expiry_queue.pop_front() else { break };
            if self.recorded_at.get(&name) == Some(&recorded_at) {
                let holder = self.remove(&name);
                expired.extend(holder.map(|holder| (name, holder)));
            }
        }
        expired
    }

    fn remove(&mut self, name: &KeyName) -> Option<String> {
        self.drop_answer(name);
        self.recorded_at.remove(name);
        self.records.remove(name).map(|record| record.holder)
    }

    fn drop_answer(&mut self, name: &KeyName) {
        let Some(record) = self.records.get_mut(name) else { return };
        if let Some(kept) = &mut record.finished
            && let Some(answer) = kept.take()
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(answer.body.len());
        }
    }
}
