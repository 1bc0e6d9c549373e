//! A whole site in one process, for trying things out.
//!
//! The entry processes are the real ones and speak to the stand-ins over loopback, so what works here works through the
//! same protocols as in a deployment. Nothing is kept: a restart begins with an empty table.

pub mod config;
pub mod proof;
mod stand_ins;

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use crate::clock::Clock;
use crate::local::server::ListenError;
use crate::ops::client::apply::FileDocument;
use crate::ops::entry::{Entry, StartError};
use crate::ops::signals::ShutdownSignal;
use config::DevConfig;
use proof::{Proof, ProofError};
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
        /// Its name.
        name: String,
        /// Its address for callers.
        listen: SocketAddr,
        /// Why.
        #[source]
        source: Box<StartError>,
    },
    /// A document of the catalogue is not valid.
    #[error("the catalogue is not valid: {cause}")]
    Catalogue {
        /// The document that is refused.
        #[source]
        cause: config::DocumentsError,
    },
}

/// Size of the site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSummary {
    /// Failure domains with their entry processes' addresses.
    pub domains: Vec<(String, Vec<SocketAddr>)>,
    /// Workers of all domains.
    pub workers: usize,
    /// Targets of all domains.
    pub targets: usize,
}

/// A running site.
#[derive(Debug)]
pub struct Dev {
    cfg: DevConfig,
    documents: Vec<FileDocument>,
    stand_ins: StandIns,
    /// Entry processes with their domains. The first one listens on the address that was asked for.
    entries: Vec<(String, Entry)>,
    address: SocketAddr,
}

impl Dev {
    /// Starts the stand-ins and the entry processes. The first entry process serves on `listen`.
    ///
    /// # Errors
    ///
    /// Any [`DevError`]; nothing is left running then.
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

    /// Where callers and operators reach the first entry process.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The catalogue that [`Dev::prove`] writes.
    #[must_use]
    pub fn documents(&self) -> &[FileDocument] {
        &self.documents
    }

    /// Size of the site.
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
    /// Any [`ProofError`].
    pub fn prove(&self, clock: &dyn Clock, stop: &ShutdownSignal) -> Result<Proof, ProofError> {
        proof::run(self, clock, stop)
    }

    /// Stops gracefully: the entry processes first, because they need the platform for that.
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
    entries: &mut Vec<(String, Entry)>,
) -> Result<SocketAddr, DevError> {
    for domain in &cfg.domains {
        for index in 1..=cfg.entries_per_domain {
            let name = format!("entry-{}-{index}", domain.name);
            let listen = if entries.is_empty() { listen } else { any_port() };
            let settings = cfg.settings(&name, &domain.name, listen, stand_ins.platform());
            let entry = Entry::start(settings, Arc::clone(clock))
                .map_err(|source| DevError::Entry { name, listen, source: Box::new(source) })?;
            entries.push((domain.name.clone(), entry));
        }
    }
    Ok(entries.first().map_or(listen, |(_, entry)| entry.address()))
}

/// Closes in parallel, because each waits for its balancer and its requests.
fn close_entries(entries: Vec<(String, Entry)>) {
    std::thread::scope(|scope| {
        for (_, entry) in entries {
            scope.spawn(move || entry.close());
        }
    });
}
