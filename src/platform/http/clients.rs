//! Implements the traits of the services over HTTP.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;

use super::HttpClient;
use crate::platform::PlatformError;
use crate::platform::objects::Objects;
use crate::platform::table::{
    CommitResult, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Table, Transaction,
};
use crate::platform::vms::{VmList, VmListing};
use crate::platform::worker::{
    CheckpointRequest, Inventory, InventoryRequest, RenewRequest, StartRequest, StartResult,
    StopRequest, ThrottleRequest, WorkerClient,
};
use crate::telemetry::Metrics;

/// Status for an object that does not exist.
const NOT_FOUND: u16 = 404;

/// Status for a list that still has the entity tag of the request.
const NOT_MODIFIED: u16 = 304;

/// Client of the table service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTable {
    http: HttpClient,
    address: String,
}

impl HttpTable {
    /// Creates a client with a timeout per call. Counts `table.reads` and `table.writes`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, metrics: Metrics) -> Self {
        let http = HttpClient::new("table service", timeout, metrics);
        Self { http, address: address.to_string() }
    }
}

impl Table for HttpTable {
    fn read(&self, req: &ReadRequest) -> Result<ReadResponse, PlatformError> {
        self.http.metrics.count("table.reads", 1);
        self.http.post(&self.address, "/table/read", req)
    }

    fn commit(&self, txn: &Transaction) -> Result<CommitResult, PlatformError> {
        self.http.metrics.count("table.writes", 1);
        self.http.post(&self.address, "/table/commit", txn)
    }

    fn operation(&self, query: &OperationQuery) -> Result<OperationStatus, PlatformError> {
        // To forbid an operation, the table stores it.
        let name = if query.forbid { "table.writes" } else { "table.reads" };
        self.http.metrics.count(name, 1);
        self.http.post(&self.address, "/table/operation", query)
    }
}

/// Client of the object store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    http: HttpClient,
    address: SocketAddr,
}

impl HttpObjects {
    /// Creates a client with a timeout per call. Counts `objects.reads` and `objects.writes`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, metrics: Metrics) -> Self {
        Self { http: HttpClient::new("object store", timeout, metrics), address }
    }
}

impl Objects for HttpObjects {
    fn put(&self, name: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.http.metrics.count("objects.writes", 1);
        self.http.put(self.address, &format!("/objects/{name}"), body)
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.http.metrics.count("objects.reads", 1);
        let (status, body) = self.http.get(self.address, &format!("/objects/{name}"))?;
        if status == NOT_FOUND {
            return Ok(None);
        }
        self.http.check(status, &body)?;
        Ok(Some(body))
    }
}

/// Client of the VM list over HTTP.
///
/// The list has about 110 bytes per VM and seldom changes, so requests are conditional on its entity tag. A service
/// without entity tags sends the whole list each time.
#[derive(Debug)]
pub struct HttpVmList {
    http: HttpClient,
    address: SocketAddr,
    /// The last list with its entity tag.
    last: Mutex<Option<(String, VmListing)>>,
}

impl HttpVmList {
    /// Creates a client with a timeout per call. Counts `vms.reads`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, metrics: Metrics) -> Self {
        let http = HttpClient::new("VM list", timeout, metrics);
        Self { http, address, last: Mutex::default() }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Result<VmListing, PlatformError> {
        self.http.metrics.count("vms.reads", 1);
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let known = last.as_ref().map(|(tag, _)| tag.as_str());
        let (status, tag, body) = self.http.get_changed(self.address, "/vms", known)?;
        if let (NOT_MODIFIED, Some((_, listing))) = (status, last) {
            return Ok(listing);
        }
        let listing: VmListing = self.http.decode(status, &body)?;
        let next = tag.map(|tag| (tag, listing.clone()));
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = next;
        Ok(listing)
    }
}

/// Client of the workers' control interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    http: HttpClient,
}

impl HttpWorkers {
    /// Creates a client with a timeout per call. Counts `workers.reads` and `workers.writes`.
    #[must_use]
    pub fn new(timeout: Duration, metrics: Metrics) -> Self {
        Self { http: HttpClient::new("worker", timeout, metrics) }
    }

    /// Posts a command and ignores the content of the answer.
    fn command(
        &self,
        address: &str,
        path: &str,
        req: &impl Serialize,
    ) -> Result<(), PlatformError> {
        self.http.metrics.count("workers.writes", 1);
        self.http.command(address, path, req)
    }
}

impl WorkerClient for HttpWorkers {
    fn inventory(&self, address: &str, req: &InventoryRequest) -> Result<Inventory, PlatformError> {
        self.http.metrics.count("workers.reads", 1);
        self.http.post(address, "/inventory", req)
    }

    fn start(&self, address: &str, req: &StartRequest) -> Result<StartResult, PlatformError> {
        self.http.metrics.count("workers.writes", 1);
        self.http.post(address, "/start", req)
    }

    fn renew(&self, address: &str, req: &RenewRequest) -> Result<(), PlatformError> {
        self.command(address, "/renew", req)
    }

    fn checkpoint(&self, address: &str, req: &CheckpointRequest) -> Result<(), PlatformError> {
        self.command(address, "/checkpoint", req)
    }

    fn throttle(&self, address: &str, req: &ThrottleRequest) -> Result<(), PlatformError> {
        self.command(address, "/throttle", req)
    }

    fn stop(&self, address: &str, req: &StopRequest) -> Result<(), PlatformError> {
        self.command(address, "/stop", req)
    }
}
