//! In-memory table service.
//!
//! [`TableState`] implements the rules of the service without I/O. [`MemoryTable`] shares a state between threads: it
//! is a [`Table`] for tests in one process, and [`MemoryTable::serve`] serves it over the real protocol.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex, PoisonError};

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::history::{History, HistoryEvent};
use super::server::{JsonServer, ListenError, Reply, ServerRequest};
use crate::platform::PlatformError;
use crate::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Revision,
    Row, Table, Transaction, Write,
};

/// Number of decided operations that are kept. A repeat of an older one would be decided again.
const MAX_DECIDED_OPERATIONS: usize = 1 << 18;

/// A read of changes uses the index by revision if it spans at most this many revisions, otherwise the index by key.
const MAX_CHANGE_SPAN: Revision = 1024;

/// Rows and decided operations of the table.
#[derive(Debug, Default)]
pub struct TableState {
    /// Incremented by each committed transaction.
    revision: Revision,
    /// Rows by key, deleted ones included.
    rows: BTreeMap<String, Row>,
    /// Index of the rows by revision. Invariant: one element per element of `rows`.
    by_revision: BTreeSet<(Revision, String)>,
    /// Results of decided operations. The result of a forbidden operation is a conflict without failed keys.
    operations: BTreeMap<String, CommitResult>,
    /// Keys of `operations`, oldest first, for eviction.
    operation_order: VecDeque<String>,
}

impl TableState {
    /// Returns the revision of the last committed transaction; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the selected rows in key order.
    #[must_use]
    pub fn read(&self, req: &ReadRequest) -> ReadResponse {
        let rows = match req.changed_after {
            Some(after) if self.revision.saturating_sub(after) <= MAX_CHANGE_SPAN => {
                self.changed_rows(req, after)
            }
            Some(after) => self.selected_rows(req, |row| row.revision > after),
            None => self.selected_rows(req, |row| row.value.is_some()),
        };
        ReadResponse { revision: self.revision, rows: rows.into_values().cloned().collect() }
    }

    fn changed_rows(&self, req: &ReadRequest, after: Revision) -> BTreeMap<&str, &Row> {
        let start = Bound::Included((after.saturating_add(1), String::new()));
        let changed = self.by_revision.range((start, Bound::Unbounded));
        changed
            .filter(|(_, key)| is_selected(req, key))
            .filter_map(|(_, key)| self.rows.get_key_value(key))
            .map(|(key, row)| (key.as_str(), row))
            .collect()
    }

    fn selected_rows(
        &self,
        req: &ReadRequest,
        wanted: impl Fn(&Row) -> bool,
    ) -> BTreeMap<&str, &Row> {
        let mut selected = BTreeMap::new();
        for key in &req.keys {
            if let Some((key, row)) = self.rows.get_key_value(key) {
                selected.insert(key.as_str(), row);
            }
        }
        for prefix in &req.prefixes {
            let from_prefix =
                self.rows.range::<str, _>((Bound::Included(prefix.as_str()), Bound::Unbounded));
            let matching = from_prefix.take_while(|(key, _)| key.starts_with(prefix.as_str()));
            selected.extend(matching.map(|(key, row)| (key.as_str(), row)));
        }
        selected.retain(|_, row| wanted(row));
        selected
    }

    /// Returns the result of a transaction and whether this call decided it. A repeated operation id gets the first
    /// result and false.
    pub fn commit(&mut self, txn: &Transaction) -> (CommitResult, bool) {
        if let Some(result) = self.operations.get(&txn.operation) {
            return (result.clone(), false);
        }
        let result = self.decide(txn);
        self.record_operation(&txn.operation, result.clone());
        (result, true)
    }

    fn decide(&mut self, txn: &Transaction) -> CommitResult {
        let mut failed = Vec::new();
        for condition in txn.conditions.iter().filter(|condition| !self.is_met(condition)) {
            let key = condition.key().to_owned();
            if !failed.contains(&key) {
                failed.push(key);
            }
        }
        if !failed.is_empty() {
            return CommitResult::Conflict { failed };
        }
        self.revision += 1;
        for write in &txn.writes {
            self.write(write);
        }
        CommitResult::Committed { revision: self.revision }
    }

    fn is_met(&self, condition: &Condition) -> bool {
        let row = self.rows.get(condition.key());
        let value = row.and_then(|row| row.value.as_ref());
        match condition {
            Condition::Absent { .. } => value.is_none(),
            Condition::AtRevision { revision, .. } => {
                value.is_some() && row.is_some_and(|row| row.revision == *revision)
            }
            Condition::FieldEquals { field, number, .. } => {
                let found = value.and_then(|value| value.get(field)).and_then(|it| it.as_u64());
                found == Some(*number)
            }
        }
    }

    fn write(&mut self, write: &Write) {
        let (key, value) = match write {
            Write::Put { key, value } => (key, Some(value.clone())),
            Write::Delete { key } => (key, None),
        };
        let existing = self.rows.get(key);
        if value.is_none() && existing.is_none_or(|row| row.value.is_none()) {
            return;
        }
        if let Some(existing) = existing {
            self.by_revision.remove(&(existing.revision, key.clone()));
        }
        self.by_revision.insert((self.revision, key.clone()));
        self.rows.insert(key.clone(), Row { key: key.clone(), revision: self.revision, value });
    }

    fn record_operation(&mut self, operation: &str, result: CommitResult) {
        self.operations.insert(operation.to_owned(), result);
        self.operation_order.push_back(operation.to_owned());
        if self.operation_order.len() > MAX_DECIDED_OPERATIONS
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
    }

    /// Returns the outcome of an operation. An unknown operation is forbidden if the query asks for that.
    pub fn operation(&mut self, query: &OperationQuery) -> OperationStatus {
        if let Some(result) = self.operations.get(&query.operation) {
            return OperationStatus::Decided { result: result.clone() };
        }
        if query.forbid {
            self.record_operation(&query.operation, CommitResult::Conflict { failed: Vec::new() });
        }
        OperationStatus::Unknown
    }
}

fn is_selected(req: &ReadRequest, key: &str) -> bool {
    req.keys.iter().any(|wanted| wanted == key)
        || req.prefixes.iter().any(|prefix| key.starts_with(prefix.as_str()))
}

/// Table service in memory. Clones share the table.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<TableState>>,
    history: History,
}

impl MemoryTable {
    /// Creates an empty table that records its decisions in `history`.
    #[must_use]
    pub fn new(history: History) -> Self {
        Self { state: Arc::default(), history }
    }

    /// Returns the history in which the decisions are recorded.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Answers a request of the table protocol.
    #[must_use]
    pub fn answer(&self, req: &ServerRequest) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/table/read") => reply(&req.body, |body| self.read(body)),
            ("POST", "/table/commit") => reply(&req.body, |body| self.commit(body)),
            ("POST", "/table/operation") => reply(&req.body, |body| self.operation(body)),
            _ => Reply::json(404, &"the table service has no such path"),
        }
    }

    /// Serves the table protocol.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn serve(&self, address: SocketAddr, threads: usize) -> Result<JsonServer, ListenError> {
        let table = self.clone();
        JsonServer::start(address, threads, move |req| table.answer(req))
    }

    fn with_state<R>(&self, act: impl FnOnce(&mut TableState) -> R) -> R {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn reply<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    call: impl FnOnce(&Q) -> Result<A, PlatformError>,
) -> Reply {
    match serde_json::from_slice(body) {
        Ok(req) => match call(&req) {
            Ok(answer) => Reply::json(200, &answer),
            Err(error) => Reply::json(500, &error.to_string()),
        },
        Err(error) => Reply::json(400, &error.to_string()),
    }
}

impl Table for MemoryTable {
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError> {
        Ok(self.with_state(|state| state.read(req)))
    }

    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError> {
        Ok(self.with_state(|state| {
            let (result, decided_now) = state.commit(txn);
            if decided_now {
                // Recorded under the lock, so that the history has the order of the decisions.
                self.history.record(HistoryEvent::Transaction {
                    transaction: txn.clone(),
                    result: result.clone(),
                });
            }
            result
        }))
    }

    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError> {
        Ok(self.with_state(|state| state.operation(query)))
    }
}
