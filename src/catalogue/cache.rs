//! A process's cache of the catalogue and of the domains' states.
//!
//! The cache only moves forward: a row is taken only if its revision is higher than the one held, whatever order
//! answers arrive in and whether they come from the table or from a peer. Deleted rows are kept as tombstones, so that
//! a late answer cannot bring one back and a peer that asks for changes learns of the deletion.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use super::document::{self, Document};
use crate::domain::state::{self, DomainState, DomainStateRow};
use crate::platform::table::{ReadResponse, Revision, Row};

/// The cache at one moment.
#[derive(Clone, Debug, Default)]
pub struct CatalogueCache {
    /// The table revision that the cache reflects. Never goes down.
    revision: Revision,
    /// When the cache was last known to be current: the time before the confirming read was sent. Never goes back.
    confirmed_at: Option<Instant>,
    /// Rows by key, tombstones included. Invariant: each row's revision is at most `revision`.
    rows: BTreeMap<String, Row>,
    /// Decoded documents by name. Invariant: derived from `rows`.
    documents: BTreeMap<String, Document>,
    /// Decoded states by domain. Invariant: derived from `rows`.
    domains: BTreeMap<String, DomainState>,
}

impl CatalogueCache {
    /// The prefixes that the cache follows.
    #[must_use]
    pub fn prefixes() -> Vec<String> {
        vec![document::ROW_PREFIX.to_owned(), state::ROW_PREFIX.to_owned()]
    }

    /// The table revision that the cache reflects.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// True if the cache was confirmed less than `limit` before `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Time since the cache was last known to be current; `None` before the first read.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// When the cache was last known to be current.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// The document with this name.
    #[must_use]
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.documents.get(name)
    }

    /// Revision of the document with this name.
    #[must_use]
    pub fn document_revision(&self, name: &str) -> Option<Revision> {
        let row = self.rows.get(&document::row_key(name))?;
        row.value.as_ref().map(|_| row.revision)
    }

    /// All documents by name.
    #[must_use]
    pub fn documents(&self) -> &BTreeMap<String, Document> {
        &self.documents
    }

    /// State of a domain.
    #[must_use]
    pub fn domain_state(&self, domain: &str) -> DomainState {
        self.domains.get(domain).copied().unwrap_or(DomainState::In)
    }

    /// Revision at which the domain's state was set; `None` if it never was.
    #[must_use]
    pub fn domain_state_revision(&self, domain: &str) -> Option<Revision> {
        self.rows.get(&state::row_key(domain)).map(|row| row.revision)
    }

    /// States that operators have set.
    #[must_use]
    pub fn domain_states(&self) -> &BTreeMap<String, DomainState> {
        &self.domains
    }

    /// Rows changed after a revision, tombstones included, for a peer.
    #[must_use]
    pub fn changes_after(&self, revision: Revision) -> ReadResponse {
        let rows = self.rows.values().filter(|row| row.revision > revision).cloned().collect();
        ReadResponse { revision: self.revision, rows }
    }

    /// Takes the answer to a read with `changed_after` equal to `base`, which was current at `confirmed_at`.
    ///
    /// Returns false, and changes nothing, if the answer is older than the cache or starts after the cache's revision.
    pub fn apply(
        &mut self,
        base: Revision,
        response: &ReadResponse,
        confirmed_at: Instant,
    ) -> bool {
        if response.revision < self.revision || base > self.revision {
            return false;
        }
        for row in &response.rows {
            self.take(row);
        }
        self.revision = response.revision;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        true
    }

    fn take(&mut self, row: &Row) {
        let held = self.rows.get(&row.key).map_or(0, |held| held.revision);
        if row.revision <= held {
            return;
        }
        self.rows.insert(row.key.clone(), row.clone());
        if let Some(name) = row.key.strip_prefix(document::ROW_PREFIX) {
            replace(&mut self.documents, name, row.value.as_ref().and_then(decode));
        } else if let Some(domain) = row.key.strip_prefix(state::ROW_PREFIX) {
            let decoded = row.value.as_ref().and_then(decode::<DomainStateRow>);
            replace(&mut self.domains, domain, decoded.map(|row| row.state));
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: &serde_json::Value) -> Option<T> {
    T::deserialize(value).ok()
}

fn replace<T>(map: &mut BTreeMap<String, T>, key: &str, value: Option<T>) {
    match value {
        Some(value) => map.insert(key.to_owned(), value),
        None => map.remove(key),
    };
}

/// The cache as shared by all threads of a process. Readers take a snapshot and never block a writer for long.
#[derive(Clone, Debug, Default)]
pub struct SharedCatalogue {
    current: Arc<RwLock<Arc<CatalogueCache>>>,
}

impl SharedCatalogue {
    /// The current cache.
    #[must_use]
    pub fn snapshot(&self) -> Arc<CatalogueCache> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies an answer; see [`CatalogueCache::apply`].
    pub fn apply(&self, base: Revision, response: &ReadResponse, confirmed_at: Instant) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = CatalogueCache::clone(&current);
        let accepted = next.apply(base, response, confirmed_at);
        if accepted {
            *current = Arc::new(next);
        }
        accepted
    }
}
