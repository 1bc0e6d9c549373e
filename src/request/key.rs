//! Idempotency keys and their records.
//!
//! A record is never dropped inside the window: a dropped one would let a repeat run again. When there is no room for
//! another record, the key is not recorded and the asker is told so. Only stored answers are dropped early, because a
//! repeat is then still answered, with 409.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Header that carries the key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Header with the number of the caller's attempt; 1 asserts that the key has never been sent before.
pub const ATTEMPT_HEADER: &str = "Plantainlever-Attempt";

/// Prefix of the rows of keys.
pub const ROW_PREFIX: &str = "key/";

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Time that a record is kept.
pub const WINDOW: Duration = Duration::from_secs(15 * 60);

/// Row of a key.
#[must_use]
pub fn row_key(service: &str, key: &str) -> String {
    format!("{ROW_PREFIX}{service}/{key}")
}

/// Why a key is not accepted.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("the key must have 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct KeyError;

/// Checks a key as received.
///
/// # Errors
///
/// If it is empty, too long, or has characters that are not visible ASCII.
pub fn check(key: &str) -> Result<(), KeyError> {
    let valid =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if valid { Ok(()) } else { Err(KeyError) }
}

/// Digest of what must be equal in a repeat: FNV-1a with 128 bits, and the length.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    let parts = [method.as_bytes(), b"\0", path.as_bytes(), b"\0", body];
    let bytes = parts.into_iter().flatten();
    let hash = bytes.fold(OFFSET, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME));
    format!("{hash:032x}-{}", body.len())
}

/// The answer of a finished request, kept for repeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status of the target.
    pub status: u16,
    /// Headers of the target that are passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Content of a key's row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyRow {
    /// Process that dispatches.
    pub holder: String,
    /// Digest of the request.
    pub digest: String,
    /// True once the request has been answered.
    pub finished: bool,
    /// Its answer, if it is small enough to be kept.
    pub answer: Option<StoredAnswer>,
}

/// Bounds of a store.
#[derive(Clone, Copy, Debug)]
pub struct KeyLimits {
    /// Most records.
    pub records: usize,
    /// Most bytes of stored answers.
    pub answer_bytes: usize,
    /// Time that a record is kept.
    pub window: Duration,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self { records: 100_000, answer_bytes: 32 << 20, window: WINDOW }
    }
}

/// What a process knows of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// Process that dispatches.
    pub holder: String,
    /// Digest of the request.
    pub digest: String,
    /// `None` while the request is in progress; the inner option is `None` once its answer is no longer kept.
    pub finished: Option<Option<StoredAnswer>>,
}

/// What an attempt to record leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum Recording {
    /// Recorded now.
    Recorded,
    /// Known already; nothing changed.
    Known(KeyRecord),
    /// There is no room; nothing changed.
    Full,
}

type Name = (String, String);

/// Records of the idempotency keys of one process.
#[derive(Debug)]
pub struct IdempotencyStore {
    limits: KeyLimits,
    records: BTreeMap<Name, KeyRecord>,
    /// Order of the records. A released record leaves its entry behind, with a time that no longer fits.
    order: VecDeque<(Instant, Name)>,
    /// When each record was made. Invariant: the same keys as `records`.
    made: BTreeMap<Name, Instant>,
    /// Order of the stored answers. A released record may leave its entry behind.
    answers: VecDeque<Name>,
    /// Bytes of the stored answers.
    answer_bytes: usize,
}

impl IdempotencyStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: KeyLimits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            order: VecDeque::new(),
            made: BTreeMap::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Records a key unless it is known.
    pub fn record(
        &mut self,
        service: &str,
        key: &str,
        digest: &str,
        holder: &str,
        now: Instant,
    ) -> Recording {
        self.expire(now);
        let name = (service.to_owned(), key.to_owned());
        if let Some(known) = self.records.get(&name) {
            return Recording::Known(known.clone());
        }
        if self.order.len() >= self.limits.records {
            return Recording::Full;
        }
        let record =
            KeyRecord { holder: holder.to_owned(), digest: digest.to_owned(), finished: None };
        self.order.push_back((now, name.clone()));
        self.made.insert(name.clone(), now);
        self.records.insert(name, record);
        Recording::Recorded
    }

    /// Keeps the answer of a key.
    pub fn finish(&mut self, service: &str, key: &str, answer: StoredAnswer) {
        let name = (service.to_owned(), key.to_owned());
        let Some(record) = self.records.get_mut(&name) else { return };
        if record.finished.is_some() {
            return;
        }
        self.answer_bytes += answer.body.len();
        record.finished = Some(Some(answer));
        self.answers.push_back(name);
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.answers.pop_front() else { return };
            self.drop_answer(&oldest);
        }
    }

    /// Takes back a record of a request that certainly did not run. False if the holder or the state is another one.
    pub fn release(&mut self, service: &str, key: &str, holder: &str) -> bool {
        let name = (service.to_owned(), key.to_owned());
        let owned = |record: &KeyRecord| record.holder == holder && record.finished.is_none();
        let found = self.records.get(&name).is_some_and(owned);
        if found {
            self.remove(&name);
        }
        found
    }

    /// Gives a record to another holder, whose claim has succeeded.
    pub fn take_over(&mut self, service: &str, key: &str, holder: &str) {
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

    /// Bytes of the stored answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Drops the records that are older than the window and returns their names with their holders.
    pub fn expire(&mut self, now: Instant) -> Vec<(Name, String)> {
        let mut expired = Vec::new();
        while let Some((made, _)) = self.order.front() {
            if now.saturating_duration_since(*made) < self.limits.window {
                break;
            }
            let Some((made, name)) = self.order.pop_front() else { break };
            if self.made.get(&name) == Some(&made) {
                let holder = self.remove(&name);
                expired.extend(holder.map(|holder| (name, holder)));
            }
        }
        expired
    }

    fn remove(&mut self, name: &Name) -> Option<String> {
        self.drop_answer(name);
        self.made.remove(name);
        self.records.remove(name).map(|record| record.holder)
    }

    fn drop_answer(&mut self, name: &Name) {
        let Some(record) = self.records.get_mut(name) else { return };
        if let Some(kept) = &mut record.finished
            && let Some(answer) = kept.take()
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(answer.body.len());
        }
    }
}
