//! All failure domains of a test site in one process, for experiments and demonstrations.
//!
//! The entry processes are the real ones. They connect to in-memory stand-ins of the platform over loopback, with the
//! same protocols as in a deployment. Nothing is stored: a restart begins with an empty table.

pub mod config;
pub mod smoke_test;
mod stand_ins;

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use crate::clock::Clock;
use crate::local::server::ListenError;
use crate::ops::client::apply::FileDocument;
use crate::ops::entry::{EntryProcess, StartError};
use crate::ops::signals::ShutdownSignal;
use config::DevConfig;
use smoke_test::{SmokeTestError, SmokeTestReport};
use stand_ins::{StandIns, any_port};

/// Why the site could not start.
#[derive(Debug, Error)]
pub enum DevError {
    /// A stand-in could not listen.
    #[error("a stand-in of the platform could not start")]
    StandIn(#[from] ListenError),
    /// An entry process could not start.
    #[error("entry process {name} could not start on {listen}; name a free address with --listen")]
    Entry {
        /// Name of the process.
        name: String,
        /// Address for callers that it was to listen on.
        listen: SocketAddr,
        /// Error that starting the process returned.
        #[source]
        source: Box<StartError>,
    },
    /// A document of the catalogue is not valid.
    #[error("the catalogue is not valid: {cause}")]
    Catalogue {
        /// Error of the first invalid document.
        #[source]
        cause: config::DocumentsError,
    },
}

/// Domains, workers and targets of a running site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSummary {
    /// Failure domains with the addresses of their entry processes.
    pub domains: Vec<(String, Vec<SocketAddr>)>,
    /// Number of workers in all domains.
    pub workers: usize,
    /// Number of targets in all domains.
    pub targets: usize,
}

/// A running site.
#[derive(Debug)]
pub struct Dev {
    cfg: DevConfig,
    documents: Vec<FileDocument>,
    stand_ins: StandIns,
    /// Entry processes with their domains. The first one listens on the requested address.
    entries: Vec<(String, EntryProcess)>,
    address: SocketAddr,
}

impl Dev {
    /// Starts the stand-ins and the entry processes. The first entry process listens on `listen`.
    ///
    /// # Errors
    ///
    /// Any [`DevError`]. If an entry process cannot start, the stand-ins and the other entry processes are stopped.
    pub fn start(
        cfg: DevConfig,
        listen: SocketAddr,
        clock: &Arc<dyn Clock>,
    ) -> Result<Self, DevError> {
        let documents = cfg.documents().map_err(|cause| DevError::Catalogue { cause })?;
        let stand_ins = StandIns::start(&cfg)?;
        let mut entries = Vec::new();
        match start_entries(&cfg, &stand_ins, listen, clock, &mut entries) {
            Ok(address) => Ok(Self { cfg, documents, stand_ins, entries, address }),
            Err(error) => {
                close_entries(entries);
                stand_ins.close();
                Err(error)
            }
        }
    }

    /// Returns the address of the first entry process for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the catalogue that [`Dev::run_smoke_test`] writes.
    #[must_use]
    pub fn documents(&self) -> &[FileDocument] {
        &self.documents
    }

    /// Returns the domains, workers and targets of the site.
    #[must_use]
    pub fn summary(&self) -> SiteSummary {
        let of_domain = |name: &String| {
            let entries = self.entries.iter().filter(|(domain, _)| domain == name);
            (name.clone(), entries.map(|(_, entry)| entry.address()).collect())
        };
        let domains = self.cfg.domains.iter();
        SiteSummary {
            workers: domains.clone().flat_map(|domain| &domain.racks).sum(),
            domains: domains.map(|domain| of_domain(&domain.name)).collect(),
            targets: self.stand_ins.target_count(),
        }
    }

    /// Writes the catalogue, sends a request, and runs a task.
    ///
    /// # Errors
    ///
    /// Any [`SmokeTestError`].
    pub fn run_smoke_test(
        &self,
        clock: &dyn Clock,
        stop: &ShutdownSignal,
    ) -> Result<SmokeTestReport, SmokeTestError> {
        smoke_test::run(self, clock, stop)
    }

    /// Stops gracefully: the entry processes first, because their planned stop needs the platform.
    pub fn close(self) {
        close_entries(self.entries);
        self.stand_ins.close();
    }
}

fn start_entries(
    cfg: &DevConfig,
    stand_ins: &StandIns,
    listen: SocketAddr,
    clock: &Arc<dyn Clock>,
    entries: &mut Vec<(String, EntryProcess)>,
) -> Result<SocketAddr, DevError> {
    for domain in &cfg.domains {
        for index in 1..=cfg.entries_per_domain {
            let name = format!("entry-{}-{index}", domain.name);
            let listen = if entries.is_empty() { listen } else { any_port() };
            let settings = cfg.settings(&name, &domain.name, listen, stand_ins.platform());
            let entry = EntryProcess::start(settings, Arc::clone(clock))
                .map_err(|source| DevError::Entry { name, listen, source: Box::new(source) })?;
            entries.push((domain.name.clone(), entry));
        }
    }
    Ok(entries.first().map_or(listen, |(_, entry)| entry.address()))
}

/// Closes the entry processes in parallel, because each waits for the load balancer and its requests in flight.
fn close_entries(entries: Vec<(String, EntryProcess)>) {
    std::thread::scope(|scope| {
        for (_, entry) in entries {
            scope.spawn(move || entry.close());
        }
    });
}
