//! Interfaces between the job scheduler and a deployment: a store of versioned rows, and the workers.
//!
//! An adapter implements them with the deployment's protocols; tests implement them in memory. All futures run on the
//! thread that polls them, so they need not be `Send`.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::shard::ownership::StoreClock;
use crate::shard::scheduler::{Command, CommandOutcome, RenewalFailure, Reply, StartOutcome};
use crate::shard::{RenewalReport, WorkerListing};

/// Identifies a row within a partition.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RowKey {
    /// Name of the table.
    pub table: String,
    /// Key within the table and the partition.
    pub key: String,
}

impl RowKey {
    /// Creates a row key from a table's name and a key.
    #[must_use]
    pub fn new(table: impl Into<String>, key: impl Into<String>) -> Self {
        Self { table: table.into(), key: key.into() }
    }
}

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Table and key.
    pub id: RowKey,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that last changed the row.
    pub version: u64,
}

/// A transaction on one partition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// Partition that all rows of the transaction belong to.
    pub partition: String,
    /// Conditions: versions that rows must have, 0 for a row that must not exist. If one fails, nothing is applied.
    pub expected: Vec<(RowKey, u64)>,
    /// Rows to create or replace, with their content.
    pub writes: Vec<(RowKey, Vec<u8>)>,
    /// Rows that no longer exist after the transaction.
    pub removes: Vec<RowKey>,
}

/// Outcome of a transaction, as answered by the store.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The whole transaction was applied.
    Applied {
        /// Newest version of the store when it answered: that of the transaction, which the written rows now have, or
        /// a later one if other rows have changed since.
        version: u64,
    },
    /// A condition failed, and nothing was applied.
    Conflict {
        /// Current rows that the conditions name; a row that does not exist is left out.
        rows: Vec<Row>,
    },
}

/// Rows read from the store, with the version from which to follow their changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowList {
    /// Rows in the order in which the store returned them.
    pub rows: Vec<Row>,
    /// Newest version of the store when it answered; the lowest one if the rows came in several answers.
    pub version: u64,
}

/// Why the store gave no usable answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StoreError {
    /// The call was not sent, or the store refused it; it had no effect.
    #[error("the call to the store had no effect: {cause}")]
    Refused {
        /// Why.
        cause: String,
    },
    /// The store refused the call because of what it contains; it had no effect, and a repetition would be refused too.
    #[error("the store rejects the call: {cause}")]
    Rejected {
        /// Why.
        cause: String,
    },
    /// The call may have taken effect, or may still do so later.
    #[error("the store gave no answer: {cause}")]
    NoAnswer {
        /// Why.
        cause: String,
    },
    /// The store no longer has all changes since the requested version; the table has to be read again.
    #[error("the store no longer has the changes since that version")]
    HistoryGone,
    /// The answer can't be decoded; a write may have taken effect.
    #[error("the store's answer cannot be decoded: {cause}")]
    Malformed {
        /// Why.
        cause: String,
    },
}

/// A durable store of versioned rows, grouped into tables and partitions.
pub trait RowStore {
    /// Reads the rows of a table and partition whose keys are in `from..to`. An empty bound is open.
    fn read(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        to: &str,
    ) -> impl Future<Output = Result<RowList, StoreError>>;

    /// Applies a transaction if all its conditions hold.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<CommitOutcome, StoreError>>;

    /// Returns the newest reading of the store's clock; `None` before the first answer, or if the store has no clock.
    fn clock(&self) -> Option<StoreClock> {
        None
    }

    /// Waits up to `wait` for changes of a table after a version, in all its partitions. Removed rows have no value.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RowList, StoreError>>;
}

/// Access to the workers: the VM list, and commands about runs. A run is one execution of a task; the domain scheduler
/// calls it an attempt.
pub trait WorkerPort {
    /// Reads all workers in the VM list, of every shard.
    fn list(&self) -> impl Future<Output = Result<Vec<WorkerListing>, StoreError>>;

    /// Renews the leases of a worker's runs: sends [`crate::shard::scheduler::CommandKind::Renew`] with the owner's
    /// epoch.
    fn renew(
        &self,
        epoch: u64,
        command: &Command,
    ) -> impl Future<Output = Result<RenewalReport, RenewalFailure>>;

    /// Starts a run: sends [`crate::shard::scheduler::CommandKind::Start`] with the owner's epoch.
    fn start(&self, epoch: u64, command: &Command) -> impl Future<Output = Reply<StartOutcome>>;

    /// Stops or throttles a run: sends the command with the owner's epoch.
    fn stop_or_throttle(
        &self,
        epoch: u64,
        command: &Command,
    ) -> impl Future<Output = Reply<CommandOutcome>>;

    /// Closes the idle connections to a worker, after a renewal there has failed.
    fn close_idle(&self, address: SocketAddr);
}
