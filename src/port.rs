//! What the scheduler of jobs needs from a deployment, as asynchronous interfaces.
//!
//! An adapter implements them with the deployment's protocols; tests implement them in memory. All futures run on the
//! thread that polls them, so they need not be `Send`.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::shard::scheduler::{Command, CommandOutcome, RenewalFailure, StartOutcome};
use crate::shard::{RenewalReport, WorkerListing};

/// Identity of a row.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RowKey {
    /// Table.
    pub table: String,
    /// Key within the table and the partition.
    pub key: String,
}

impl RowKey {
    /// Joins the two.
    #[must_use]
    pub fn new(table: impl Into<String>, key: impl Into<String>) -> Self {
        Self { table: table.into(), key: key.into() }
    }
}

/// A row as read.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Table and key.
    pub id: RowKey,
    /// Content; none if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version that the row has since its last change.
    pub version: u64,
}

/// A transaction on one partition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// Partition of all rows.
    pub partition: String,
    /// Versions that rows must have; 0 for a row that must not exist.
    pub expected: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub writes: Vec<(RowKey, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<RowKey>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// All was applied; the rows have this version.
    Applied {
        /// Version of the transaction.
        version: u64,
    },
    /// Nothing was applied. These are the rows of the conditions that exist.
    Conflict {
        /// Current rows.
        rows: Vec<Row>,
    },
}

/// A list of rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowList {
    /// Rows by key.
    pub rows: Vec<Row>,
    /// Newest version of the store at that moment.
    pub version: u64,
}

/// Why the store gave no usable answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store did nothing: {cause}")]
    Refused {
        /// Why.
        cause: String,
    },
    /// The call may have been done, or may be done later.
    #[error("the store gave no answer: {cause}")]
    NoAnswer {
        /// Why.
        cause: String,
    },
    /// The store no longer has the history that was asked for.
    #[error("the store's history does not reach back that far")]
    HistoryGone,
    /// The answer can't be decoded.
    #[error("the store's answer cannot be decoded: {cause}")]
    Malformed {
        /// Why.
        cause: String,
    },
}

/// The store that keeps what must last.
pub trait RowStore {
    /// Reads rows of a table and partition with keys from `from` up to, but not including, `to`; empty bounds are open.
    fn read(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        to: &str,
    ) -> impl Future<Output = Result<RowList, StoreError>>;

    /// Applies a transaction.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<CommitOutcome, StoreError>>;

    /// Waits up to `wait` for changes of a table after a version. Removed rows have no value.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RowList, StoreError>>;
}

/// The workers.
pub trait WorkerPort {
    /// All workers in the VM list.
    fn list(&self) -> impl Future<Output = Result<Vec<WorkerListing>, StoreError>>;

    /// Sends [`crate::shard::scheduler::CommandKind::Renew`] with an epoch.
    fn renew(
        &self,
        epoch: u64,
        command: &Command,
    ) -> impl Future<Output = Result<RenewalReport, RenewalFailure>>;

    /// Sends [`crate::shard::scheduler::CommandKind::Start`] with an epoch.
    fn start(&self, epoch: u64, command: &Command) -> impl Future<Output = StartOutcome>;

    /// Sends a stop or a throttle with an epoch.
    fn adjust(&self, epoch: u64, command: &Command) -> impl Future<Output = CommandOutcome>;

    /// Closes idle connections to a worker that does not answer.
    fn forget(&self, address: SocketAddr);
}
