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

/// Global revision of the table. Zero for a table without any commit.
pub type Revision = u64;

/// A row at the revision of the read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Unique in the table.
    pub key: String,
    /// Revision of the transaction that wrote the row last.
    pub revision: Revision,
    /// The content; `None` if the row was deleted. Deleted rows are returned only with `changed_after`.
    pub value: Option<Value>,
}

/// Selects rows by key and by prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadRequest {
    /// Keys of single rows.
    pub keys: Vec<String>,
    /// Selects each row whose key starts with one of these.
    pub prefixes: Vec<String>,
    /// If set, returns only rows changed after this revision, deletions included.
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
        /// Key of the row.
        key: String,
    },
    /// The row exists and was last written at this revision.
    AtRevision {
        /// Key of the row.
        key: String,
        /// Revision that the row must have.
        revision: Revision,
    },
    /// The row exists and a top-level field of its value holds this number. Used to fence writes by epoch.
    FieldEquals {
        /// Key of the row.
        key: String,
        /// Name of a top-level field.
        field: String,
        /// Number that the field must hold.
        number: u64,
    },
}

impl Condition {
    /// Key of the row that the condition checks.
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
        /// Key of the row.
        key: String,
        /// Content of the row.
        value: Value,
    },
    /// Deletes the row if it exists.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// Writes that take effect together, and only if all conditions hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// Operation id, unique per transaction. A second commit with the same id returns the first result and changes
    /// nothing.
    pub operation: String,
    /// All must hold at the commit.
    pub conditions: Vec<Condition>,
    /// Applied in order; a later write of the same row replaces an earlier one.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum CommitResult {
    /// All writes took effect at this revision.
    Committed {
        /// The table's revision after the commit.
        revision: Revision,
    },
    /// A condition did not hold, so nothing changed.
    Conflict {
        /// Keys of the conditions that did not hold. Empty if the operation was forbidden.
        failed: Vec<String>,
    },
}

/// Asks for the outcome of the transaction with an operation id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperationQuery {
    /// Operation id of the transaction.
    pub operation: String,
    /// True to forbid the operation if it is unknown: it is recorded as a conflict and can no longer commit.
    pub forbid: bool,
}

/// Outcome of the transaction with an operation id, as far as the table knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "status")]
pub enum OperationStatus {
    /// The table had not seen it before the query. If the query forbade it, it never commits.
    Unknown,
    /// It was committed, failed a condition, or was forbidden by an earlier query.
    Decided {
        /// The result that the commit returned, even if that answer was lost.
        result: CommitResult,
    },
}

/// The table service. Each method sends its request once; retries are up to the caller.
pub trait Table: Debug + Send + Sync {
    /// Reads rows, all at one revision.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; reads have no effect.
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError>;

    /// Applies a transaction if its conditions hold.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] and [`PlatformError::Malformed`] the transaction is in doubt: it may have
    /// taken effect or may still do so. [`Table::operation`] resolves it.
    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError>;

    /// Returns the outcome of an operation, and forbids it if the query asks for that.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError>;
}
