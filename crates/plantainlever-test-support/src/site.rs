//! A whole site for a test: stand-ins of the platform, workers and targets in this process, and real entry processes.
//!
//! Each entry process reaches the platform through links of its own, so that a test can cut off one process or one
//! failure domain from it. The stand-ins themselves have fault switches for all processes together.

mod platform;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use plantainlever::catalogue::Document;
use plantainlever::config::{Limits, LogSettings, PeerSeed, PlatformSettings, Settings, Timing};
use plantainlever::local::history::History;
use plantainlever::local::server::ListenError;
use plantainlever::local::table::MemoryTable;
use plantainlever::local::target::LocalTarget;
use plantainlever::local::vms::MemoryVms;
use plantainlever::local::worker::WorkerGroup;
use plantainlever::ops::client::{Client, ClientError};
use plantainlever::platform::vms::{Vm, VmRole, VmState};
use plantainlever::worker::Resources;
use thiserror::Error;

use crate::fault::Faults;
use crate::link::Link;
use crate::process::{EntryProcess, ProcessError};
use crate::wait;
use platform::Platform;

/// Threads that serve callers in each entry process. Sites have several processes on one machine.
const FRONT_THREADS: usize = 32;

/// Why a site could not start.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A stand-in cannot listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A link cannot listen.
    #[error("a link cannot listen")]
    Link(#[source] std::io::Error),
    /// An entry process does not serve.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A document was not accepted.
    #[error("document {name} was not accepted")]
    Document {
        /// Its name.
        name: String,
        /// The answer.
        #[source]
        source: Box<ClientError>,
    },
}

/// What a site has.
#[derive(Clone, Debug)]
pub struct SiteBuilder {
    binary: PathBuf,
    domains: Vec<String>,
    entries_per_domain: usize,
    workers_per_domain: usize,
    worker: Resources,
    targets: BTreeMap<String, usize>,
    documents: Vec<(String, Document)>,
    timing: Timing,
    limits: Limits,
    log: LogSettings,
}

impl SiteBuilder {
    /// A site with one domain `dc-a`, one entry process, two workers and no targets. `binary` is
    /// `env!("CARGO_BIN_EXE_plantainlever")` of the test.
    #[must_use]
    pub fn new(binary: impl AsRef<Path>) -> Self {
        Self {
            binary: binary.as_ref().to_owned(),
            domains: vec!["dc-a".to_owned()],
            entries_per_domain: 1,
            workers_per_domain: 2,
            worker: Resources::new(8_000, 16_384, 0),
            targets: BTreeMap::new(),
            documents: Vec::new(),
            timing: Timing { balancer_wait_ms: 100, ..Timing::default() },
            limits: Limits { front_threads: FRONT_THREADS, ..Limits::default() },
            log: LogSettings::default(),
        }
    }

    /// Sets the failure domains.
    #[must_use]
    pub fn domains(mut self, names: &[&str]) -> Self {
        self.domains = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Sets the entry processes of each domain.
    #[must_use]
    pub fn entries_per_domain(mut self, count: usize) -> Self {
        self.entries_per_domain = count;
        self
    }

    /// Sets the workers of each domain.
    #[must_use]
    pub fn workers_per_domain(mut self, count: usize, capacity: Resources) -> Self {
        self.workers_per_domain = count;
        self.worker = capacity;
        self
    }

    /// Adds executors of a service to each domain.
    #[must_use]
    pub fn targets_per_domain(mut self, service: &str, count: usize) -> Self {
        self.targets.insert(service.to_owned(), count);
        self
    }

    /// Adds a document to the catalogue.
    #[must_use]
    pub fn document(mut self, name: &str, document: Document) -> Self {
        self.documents.push((name.to_owned(), document));
        self
    }

    /// Changes periods and bounds in time.
    #[must_use]
    pub fn timing(mut self, change: impl FnOnce(&mut Timing)) -> Self {
        change(&mut self.timing);
        self
    }

    /// Changes bounds in number and size.
    #[must_use]
    pub fn limits(mut self, change: impl FnOnce(&mut Limits)) -> Self {
        change(&mut self.limits);
        self
    }

    /// Changes what is logged. The level must let event P0100 through.
    #[must_use]
    pub fn log(mut self, change: impl FnOnce(&mut LogSettings)) -> Self {
        change(&mut self.log);
        self
    }

    /// Starts everything, writes the catalogue, and waits until every process has it.
    ///
    /// # Errors
    ///
    /// Any [`SiteError`]; nothing is left running then.
    pub fn start(self) -> Result<Site, SiteError> {
        let platform = Platform::start(&self)?;
        let mut site = Site { platform, builder: self, entries: Vec::new() };
        for domain in site.builder.domains.clone() {
            for _ in 0..site.builder.entries_per_domain {
                site.start_entry(&domain)?;
            }
        }
        site.write_catalogue()?;
        Ok(site)
    }
}

/// An entry process of a site with its ways to the platform.
#[derive(Debug)]
pub struct SiteEntry {
    /// Its domain.
    pub domain: String,
    /// The process.
    pub process: EntryProcess,
    /// Its ways to table, object store and VM list.
    links: Vec<Link>,
}

impl SiteEntry {
    /// Cuts it off from the platform.
    pub fn cut(&self) {
        self.links.iter().for_each(Link::cut);
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.links.iter().for_each(Link::heal);
    }

    /// Bytes relayed between it and the platform so far.
    #[must_use]
    pub fn link_bytes(&self) -> u64 {
        self.links.iter().map(Link::bytes).sum()
    }

    /// An operator's client of the process.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(&self.process.address().to_string())
    }
}

/// A running site. Everything ends when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// Declared first, so that the processes end before the platform does.
    entries: Vec<SiteEntry>,
    platform: Platform,
    builder: SiteBuilder,
}

impl Site {
    /// The entry processes in the order of their starts, ended ones included.
    #[must_use]
    pub fn entries(&self) -> &[SiteEntry] {
        &self.entries
    }

    /// The entry processes, to wait for the end of one.
    pub fn entries_mut(&mut self) -> &mut Vec<SiteEntry> {
        &mut self.entries
    }

    /// The entry processes of a domain.
    pub fn entries_of<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a SiteEntry> {
        self.entries.iter().filter(move |entry| entry.domain == domain)
    }

    /// Starts one more entry process in a domain, as after the replacement of a VM.
    ///
    /// # Errors
    ///
    /// If it does not serve.
    pub fn start_entry(&mut self, domain: &str) -> Result<&SiteEntry, SiteError> {
        let number = self.entries.len() + 1;
        let real = self.platform.addresses();
        let link = |to: SocketAddr| Link::to(to).map_err(SiteError::Link);
        let links = vec![link(real.table)?, link(real.objects)?, link(real.vms)?];
        let platform = PlatformSettings {
            table: links[0].address(),
            objects: links[1].address(),
            vms: links[2].address(),
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: format!("entry-{number}"),
            domain: domain.to_owned(),
            domains: self.builder.domains.clone(),
            listen: any_port,
            peer_listen: any_port,
            peers: self.seeds(),
            platform,
            statsd: None,
            log: self.builder.log.clone(),
            timing: self.builder.timing.clone(),
            limits: self.builder.limits.clone(),
        };
        let process = EntryProcess::start(&self.builder.binary, settings)?;
        self.platform.vms.insert(Vm {
            name: process.process().to_owned(),
            role: VmRole::Entry,
            state: VmState::Live,
            domain: domain.to_owned(),
            rack: String::new(),
            address: process.address().to_string(),
            service: None,
        });
        self.entries.push(SiteEntry { domain: domain.to_owned(), process, links });
        Ok(&self.entries[number - 1])
    }

    /// The processes that run already.
    fn seeds(&self) -> Vec<PeerSeed> {
        let seed = |entry: &SiteEntry| PeerSeed {
            domain: entry.domain.clone(),
            address: entry.process.peer_address(),
        };
        self.entries.iter().map(seed).collect()
    }

    fn write_catalogue(&self) -> Result<(), SiteError> {
        let Some(first) = self.entries.first() else { return Ok(()) };
        for (name, document) in &self.builder.documents {
            let client = first.client();
            wait::until("the process has read the catalogue", wait::BOUND, || {
                client.documents().map_err(|error| error.to_string())
            });
            client.put_document(name, document, 0).map_err(|source| SiteError::Document {
                name: name.clone(),
                source: Box::new(source),
            })?;
        }
        for entry in &self.entries {
            let client = entry.client();
            wait::until("the process has the whole catalogue", wait::BOUND, || {
                let list = client.documents().map_err(|error| error.to_string())?;
                let count = list.documents.len();
                if count >= self.builder.documents.len() {
                    Ok(())
                } else {
                    Err(format!("{count} documents"))
                }
            });
        }
        Ok(())
    }

    /// What the stand-ins saw.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.platform.history
    }

    /// The table, reached without faults.
    #[must_use]
    pub fn table(&self) -> &MemoryTable {
        &self.platform.table
    }

    /// Fault switches of the table, for all processes.
    #[must_use]
    pub fn table_faults(&self) -> &Faults {
        &self.platform.table_faults
    }

    /// Fault switches of the object store, for all processes and workers.
    #[must_use]
    pub fn object_faults(&self) -> &Faults {
        &self.platform.object_faults
    }

    /// Fault switches of the VM list.
    #[must_use]
    pub fn vm_faults(&self) -> &Faults {
        &self.platform.vm_faults
    }

    /// The VM list.
    #[must_use]
    pub fn vms(&self) -> &MemoryVms {
        &self.platform.vms
    }

    /// The workers of a domain.
    #[must_use]
    pub fn workers(&self, domain: &str) -> Option<&WorkerGroup> {
        self.platform.workers.get(domain)
    }

    /// The executors by name, which is `SERVICE-DOMAIN-NUMBER` with numbers from 1.
    #[must_use]
    pub fn targets(&self) -> &BTreeMap<String, LocalTarget> {
        &self.platform.targets
    }

    /// Ends an executor at once, as the loss of its VM does. The VM list still names it.
    pub fn kill_target(&mut self, name: &str) {
        if let Some(target) = self.platform.targets.remove(name) {
            target.kill();
        }
    }
}
