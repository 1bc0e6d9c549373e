//! The transactional table service.
//!
//! Protocol (HTTP POST, JSON): `/table/read` takes a [`ReadRequest`] and answers a [`ReadResponse`]; `/table/commit`
//! takes a [`Transaction`] and answers a [`CommitResult`]; `/table/operation` takes an [`OperationQuery`] and answers
//! an [`OperationStatus`].
//! The table has one global revision, raised by one by each committed transaction.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::PlatformError;

/// Global revision of the table. Zero is the empty table.
pub type Revision = u64;

/// A row as it was read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Revision of the transaction that wrote the row last.
    pub revision: Revision,
    /// The content; `None` if the row was deleted. Deleted rows are returned only with `changed_after`.
    pub value: Option<Value>,
}

/// Selects rows by key and by prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadRequest {
    /// Exact keys.
    pub keys: Vec<String>,
    /// Key prefixes.
    pub prefixes: Vec<String>,
    /// Returns only rows changed after this revision, deletions included.
    pub changed_after: Option<Revision>,
}

/// The rows of a read, all at one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadResponse {
    /// The table's revision at the read.
    pub revision: Revision,
    /// The rows in key order. A missing row is left out.
    pub rows: Vec<Row>,
}

impl ReadResponse {
    /// The row with this key, if it was returned.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.key == key)
    }
}

/// A condition that must hold for a transaction to commit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// The row's key.
        key: String,
    },
    /// The row exists and was last written at this revision.
    AtRevision {
        /// The row's key.
        key: String,
        /// The expected revision.
        revision: Revision,
    },
    /// The row exists and its value has this number in this top-level field. Used to fence writes by epoch.
    FieldEquals {
        /// The row's key.
        key: String,
        /// The field's name.
        field: String,
        /// The expected number.
        number: u64,
    },
}

impl Condition {
    /// The key that the condition is about.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Absent { key } | Self::AtRevision { key, .. } | Self::FieldEquals { key, .. } => {
                key
            }
        }
    }
}

/// A change to one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Write {
    /// Creates or replaces the row.
    Put {
        /// The row's key.
        key: String,
        /// The new content.
        value: Value,
    },
    /// Deletes the row if it exists.
    Delete {
        /// The row's key.
        key: String,
    },
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// Unique per transaction; committing the same id again returns the first result and changes nothing.
    pub operation: String,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Applied in order.
    pub writes: Vec<Write>,
}

/// What a transaction did.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum CommitResult {
    /// All writes took effect at this revision.
    Committed {
        /// The new global revision.
        revision: Revision,
    },
    /// Nothing changed.
    Conflict {
        /// Keys of the conditions that did not hold.
        failed: Vec<String>,
    },
}

/// Asks what became of an operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperationQuery {
    /// The operation's id.
    pub operation: String,
    /// If the operation is unknown, record it as refused so that it can no longer commit.
    pub forbid: bool,
}

/// What became of an operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "status")]
pub enum OperationStatus {
    /// The table has not seen it. With `forbid`, it never commits from now on.
    Unknown,
    /// The table has decided it.
    Decided {
        /// The result that its caller was or would have been told.
        result: CommitResult,
    },
}

/// The table service. Each method makes one attempt; retries are the business of the caller's policy.
pub trait Table: Debug + Send + Sync {
    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; reads have no effect.
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] and [`PlatformError::Malformed`] the transaction may have taken effect or may
    /// still do so; ask [`Table::operation`].
    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError>;

    /// Tells what became of an operation.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError>;
}
