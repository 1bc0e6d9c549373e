//! The table that all processes of a test share, and the connection of each process to it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use plantainlever::local::History;
use plantainlever::local::table::MemoryTable;
use plantainlever::platform::PlatformError;
use plantainlever::platform::table::{
    CommitResult, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Row, Table,
    Transaction, Write,
};
use serde_json::Value;

use crate::schedule::gate::Gate;

/// Shared table, with short methods for tests.
#[derive(Debug)]
pub struct Store {
    table: MemoryTable,
}

impl Store {
    pub fn new(history: History) -> Self {
        Self { table: MemoryTable::new(history) }
    }

    pub fn read(&self, req: &ReadRequest) -> Vec<Row> {
        self.table.read(req).unwrap().rows
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        let req = ReadRequest { keys: vec![key.to_owned()], ..ReadRequest::default() };
        self.read(&req).into_iter().find_map(|row| row.value)
    }

    pub fn put(&self, key: &str, value: Value) {
        let txn = Transaction {
            operation: format!("test/{:x}", rand::random::<u128>()),
            conditions: Vec::new(),
            writes: vec![Write::Put { key: key.to_owned(), value }],
        };
        self.table.commit(&txn).unwrap();
    }
}

/// Faults between one process and the table.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    pub down: bool,
    /// Commits take effect, but their answers are lost.
    pub lose_answers: bool,
}

/// Connection of one process to the table.
#[derive(Debug)]
pub struct StoreLink {
    pub store: Arc<Store>,
    pub faults: Mutex<StoreFaults>,
    pub gate: Arc<Gate>,
}

impl StoreLink {
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    fn check(&self) -> Result<StoreFaults, PlatformError> {
        let faults = self.faults.lock().unwrap().clone();
        if faults.down {
            return Err(PlatformError::Unreachable {
                service: "table",
                address: "test".to_owned(),
                cause: "down".to_owned(),
            });
        }
        Ok(faults)
    }
}

impl Table for StoreLink {
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError> {
        self.gate.wait_open("read")?;
        self.check()?;
        self.store.table.read(req)
    }

    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError> {
        self.gate.wait_open("commit")?;
        let faults = self.check()?;
        let result = self.store.table.commit(txn)?;
        if faults.lose_answers {
            return Err(PlatformError::NoAnswer {
                service: "table",
                waited: Duration::ZERO,
                cause: "the answer was lost".to_owned(),
            });
        }
        Ok(result)
    }

    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError> {
        self.gate.wait_open("operation")?;
        self.check()?;
        self.store.table.operation(query)
    }
}
