//! A complete site for a test: in-process stand-ins of the platform, the workers and the targets, and real entry
//! processes.
//!
//! Each entry process reaches the platform through its own links, so that a test can cut one process or one failure
//! domain off from it. The fault switches of a stand-in apply to all processes.

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

/// Threads that serve callers in each entry process; few, because a site runs several processes on one machine.
const FRONT_THREADS: usize = 32;

/// Failure to start a site or one of its entry processes.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A stand-in could not listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A link could not listen.
    #[error("a link cannot listen")]
    Link(#[source] std::io::Error),
    /// An entry process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// An entry process did not accept a catalogue document.
    #[error("document {name} was not accepted")]
    Document {
        /// Name of the document in the catalogue.
        name: String,
        /// Error of the request.
        #[source]
        source: Box<ClientError>,
    },
}

/// Composition and settings of a [`Site`]; the defaults give a small one.
#[derive(Clone, Debug)]
pub struct SiteBuilder {
    binary: PathBuf,
    domains: Vec<String>,
    entries_per_domain: usize,
    workers_per_domain: usize,
    worker_capacity: Resources,
    targets: BTreeMap<String, usize>,
    documents: Vec<(String, Document)>,
    timing: Timing,
    limits: Limits,
    log: LogSettings,
}

impl SiteBuilder {
    /// Describes a site with one domain `dc-a`, one entry process, two workers and no targets. Tests pass
    /// `env!("CARGO_BIN_EXE_plantainlever")` as `binary`.
    #[must_use]
    pub fn new(binary: impl AsRef<Path>) -> Self {
        Self {
            binary: binary.as_ref().to_owned(),
            domains: vec!["dc-a".to_owned()],
            entries_per_domain: 1,
            workers_per_domain: 2,
            worker_capacity: Resources::new(8_000, 16_384, 0),
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

    /// Sets the number of entry processes in each domain.
    #[must_use]
    pub fn entries_per_domain(mut self, count: usize) -> Self {
        self.entries_per_domain = count;
        self
    }

    /// Sets the number of workers in each domain, and the capacity of each worker.
    #[must_use]
    pub fn workers_per_domain(mut self, count: usize, capacity: Resources) -> Self {
        self.workers_per_domain = count;
        self.worker_capacity = capacity;
        self
    }

    /// Adds `count` executors of a service to each domain.
    #[must_use]
    pub fn targets_per_domain(mut self, service: &str, count: usize) -> Self {
        self.targets.insert(service.to_owned(), count);
        self
    }

    /// Adds a document that [`SiteBuilder::start`] writes to the catalogue.
    #[must_use]
    pub fn document(mut self, name: &str, document: Document) -> Self {
        self.documents.push((name.to_owned(), document));
        self
    }

    /// Changes the periods and timeouts of the entry processes.
    #[must_use]
    pub fn timing(mut self, change: impl FnOnce(&mut Timing)) -> Self {
        change(&mut self.timing);
        self
    }

    /// Changes the limits of the entry processes in number and size.
    #[must_use]
    pub fn limits(mut self, change: impl FnOnce(&mut Limits)) -> Self {
        change(&mut self.limits);
        self
    }

    /// Changes the log settings of the entry processes. The level must include event P0100, which shows that a process
    /// has started.
    #[must_use]
    pub fn log(mut self, change: impl FnOnce(&mut LogSettings)) -> Self {
        change(&mut self.log);
        self
    }

    /// Starts the site, writes the catalogue, and waits until every entry process has read it.
    ///
    /// # Errors
    ///
    /// Any [`SiteError`]; everything started so far has been stopped then.
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

/// An entry process of a site with its links to the platform.
#[derive(Debug)]
pub struct SiteEntry {
    /// Name of its failure domain.
    pub domain: String,
    /// Running process, or one that the test has ended.
    pub process: EntryProcess,
    /// Links to the table, the object store and the VM list, in this order.
    links: Vec<Link>,
}

impl SiteEntry {
    /// Cuts all links between it and the platform.
    pub fn cut(&self) {
        self.links.iter().for_each(Link::cut);
    }

    /// Restores the links.
    pub fn heal(&self) {
        self.links.iter().for_each(Link::heal);
    }

    /// Bytes forwarded between it and the platform so far, in both directions.
    #[must_use]
    pub fn link_bytes(&self) -> u64 {
        self.links.iter().map(Link::bytes).sum()
    }

    /// Creates an operator's client that is connected to this process.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(&self.process.address().to_string())
    }
}

/// A running site. Dropping it stops the processes and the stand-ins.
#[derive(Debug)]
pub struct Site {
    /// Declared first, so that the processes are dropped before the platform.
    entries: Vec<SiteEntry>,
    platform: Platform,
    builder: SiteBuilder,
}

impl Site {
    /// Entry processes in the order in which they were started, ended ones included.
    #[must_use]
    pub fn entries(&self) -> &[SiteEntry] {
        &self.entries
    }

    /// Mutable access to the entry processes, needed to wait until one exits.
    pub fn entries_mut(&mut self) -> &mut Vec<SiteEntry> {
        &mut self.entries
    }

    /// Entry processes of a domain, ended ones included.
    pub fn entries_of<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a SiteEntry> {
        self.entries.iter().filter(move |entry| entry.domain == domain)
    }

    /// Starts another entry process in a domain and adds it to the VM list, as after the replacement of a VM.
    ///
    /// # Errors
    ///
    /// If a link cannot listen or the process does not become ready.
    pub fn start_entry(&mut self, domain: &str) -> Result<&SiteEntry, SiteError> {
        let number = self.entries.len() + 1;
        let addresses = self.platform.addresses();
        let link = |to: SocketAddr| Link::to(to).map_err(SiteError::Link);
        let links = vec![link(addresses.table)?, link(addresses.objects)?, link(addresses.vms)?];
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
            peers: self.peer_seeds(),
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

    /// Peer seeds of all entry processes started so far.
    fn peer_seeds(&self) -> Vec<PeerSeed> {
        let seed = |entry: &SiteEntry| PeerSeed {
            domain: entry.domain.clone(),
            address: entry.process.peer_address(),
        };
        self.entries.iter().map(seed).collect()
    }

    fn write_catalogue(&self) -> Result<(), SiteError> {
        let Some(first_entry) = self.entries.first() else { return Ok(()) };
        for (name, document) in &self.builder.documents {
            let client = first_entry.client();
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

    /// Events recorded by the stand-ins.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.platform.history
    }

    /// The table, bypassing its fault switches.
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

    /// Fault switches of the VM list, for all processes.
    #[must_use]
    pub fn vm_faults(&self) -> &Faults {
        &self.platform.vm_faults
    }

    /// The VM list, bypassing its fault switches.
    #[must_use]
    pub fn vms(&self) -> &MemoryVms {
        &self.platform.vms
    }

    /// Workers of a domain; `None` if the site has no such domain.
    #[must_use]
    pub fn workers(&self, domain: &str) -> Option<&WorkerGroup> {
        self.platform.workers.get(domain)
    }

    /// Running executors by name, which is `SERVICE-DOMAIN-NUMBER` with numbers from 1.
    #[must_use]
    pub fn targets(&self) -> &BTreeMap<String, LocalTarget> {
        &self.platform.targets
    }

    /// Kills an executor, as a crash of its process would. It stays in the VM list.
    pub fn kill_target(&mut self, name: &str) {
        if let Some(target) = self.platform.targets.remove(name) {
            target.kill();
        }
    }
}
