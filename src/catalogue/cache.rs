//! A process's cache of the catalogue and of the domains' states.
//!
//! A row is replaced only by one with a higher revision, so responses of the table may arrive in any order. Deleted
//! rows are kept as tombstones, so that a late response cannot restore one.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use super::document::{self, Document};
use crate::domain::state::{self, DomainState, DomainStateRow};
use crate::platform::table::{ReadResponse, Revision, Row};

/// Contents of the cache at one table revision.
#[derive(Clone, Debug, Default)]
pub struct CatalogueCache {
    /// The table revision that the cache reflects. Never decreases.
    revision: Revision,
    /// Send time of the latest read whose response was applied; `None` before the first one. Never decreases.
    confirmed_at: Option<Instant>,
    /// Rows by key, tombstones included. Invariant: each row's revision is at most `revision`.
    rows: BTreeMap<String, Row>,
    /// Decoded documents by name. Invariant: derived from `rows`.
    documents: BTreeMap<String, Document>,
    /// Decoded states by domain. Invariant: derived from `rows`.
    domains: BTreeMap<String, DomainState>,
}

impl CatalogueCache {
    /// Returns the key prefixes of the rows that the cache follows.
    #[must_use]
    pub fn prefixes() -> Vec<String> {
        vec![document::ROW_PREFIX.to_owned(), state::ROW_PREFIX.to_owned()]
    }

    /// Returns the table revision that the cache reflects.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// True if the cache was known to be current less than `limit` before `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Returns the time since the cache was last known to be current; `None` before the first read.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// Returns when the cache was last known to be current; `None` before the first read.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the document with this name; `None` if it is missing, deleted or cannot be decoded.
    #[must_use]
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.documents.get(name)
    }

    /// Returns the revision of the document with this name; `None` if it is missing or deleted.
    #[must_use]
    pub fn document_revision(&self, name: &str) -> Option<Revision> {
        let row = self.rows.get(&document::row_key(name))?;
        row.value.as_ref().map(|_| row.revision)
    }

    /// Returns all documents by name.
    #[must_use]
    pub fn documents(&self) -> &BTreeMap<String, Document> {
        &self.documents
    }

    /// Returns the state of a domain; `In` if operators have set none.
    #[must_use]
    pub fn domain_state(&self, domain: &str) -> DomainState {
        self.domains.get(domain).copied().unwrap_or(DomainState::In)
    }

    /// Returns the revision at which the domain's state was last set or deleted; `None` if it never was set.
    #[must_use]
    pub fn domain_state_revision(&self, domain: &str) -> Option<Revision> {
        self.rows.get(&state::row_key(domain)).map(|row| row.revision)
    }

    /// Returns the states that operators have set, by domain.
    #[must_use]
    pub fn domain_states(&self) -> &BTreeMap<String, DomainState> {
        &self.domains
    }

    /// Returns the rows changed after `revision`, tombstones included, as a read of the table would.
    #[must_use]
    pub fn changes_after(&self, revision: Revision) -> ReadResponse {
        let rows = self.rows.values().filter(|row| row.revision > revision).cloned().collect();
        ReadResponse { revision: self.revision, rows }
    }

    /// Applies the response to a read with `changed_after` equal to `base`, which was sent at `sent_at`.
    ///
    /// Returns false and changes nothing if the response is older than the cache, or if `base` is newer, because then
    /// changes between the two would be missed.
    pub fn apply(&mut self, base: Revision, response: &ReadResponse, sent_at: Instant) -> bool {
        if response.revision < self.revision || base > self.revision {
            return false;
        }
        for row in &response.rows {
            self.apply_row(row);
        }
        self.revision = response.revision;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        true
    }

    fn apply_row(&mut self, row: &Row) {
        let current = self.rows.get(&row.key).map_or(0, |current| current.revision);
        if row.revision <= current {
            return;
        }
        self.rows.insert(row.key.clone(), row.clone());
        if let Some(name) = row.key.strip_prefix(document::ROW_PREFIX) {
            set_or_remove(&mut self.documents, name, row.value.as_ref().and_then(decode));
        } else if let Some(domain) = row.key.strip_prefix(state::ROW_PREFIX) {
            let decoded = row.value.as_ref().and_then(decode::<DomainStateRow>);
            set_or_remove(&mut self.domains, domain, decoded.map(|row| row.state));
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: &serde_json::Value) -> Option<T> {
    T::deserialize(value).ok()
}

fn set_or_remove<T>(map: &mut BTreeMap<String, T>, key: &str, value: Option<T>) {
    match value {
        Some(value) => map.insert(key.to_owned(), value),
        None => map.remove(key),
    };
}

/// The cache shared by all threads of a process. Readers hold the lock only while they copy a reference.
#[derive(Clone, Debug, Default)]
pub struct SharedCatalogue {
    current: Arc<RwLock<Arc<CatalogueCache>>>,
}

impl SharedCatalogue {
    /// Returns the current contents, which later responses don't change.
    #[must_use]
    pub fn snapshot(&self) -> Arc<CatalogueCache> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a response; see [`CatalogueCache::apply`].
    pub fn apply(&self, base: Revision, response: &ReadResponse, sent_at: Instant) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = CatalogueCache::clone(&current);
        let accepted = next.apply(base, response, sent_at);
        if accepted {
            *current = Arc::new(next);
        }
        accepted
    }
}
