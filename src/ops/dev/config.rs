//! Settings of `dev`: the failure domains with their workers and targets, and the catalogue.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

use crate::catalogue::document::is_name;
use crate::config::tree::{Node, Value};
use crate::config::{
    Limits, LogSettings, PlatformSettings, Problem, ProblemKind, Settings, SettingsError, Timing,
};
use crate::ops::client::apply::{FileDocument, FileError, decode};
use crate::worker::Resources;

/// Largest number of entry processes, of workers, or of executors of one service in a domain, because all of them share
/// one machine.
const MAX_PER_DOMAIN: usize = 200;

/// Threads that serve callers in each entry process. The default of `limits.front_threads` would create hundreds
/// for each of several processes on one machine.
const FRONT_THREADS: usize = 32;

/// Default of `timing.balancer_wait_ms`, short because no load balancer sends requests to `dev`.
const BALANCER_WAIT_MS: u64 = 100;

/// Documents that are added to every catalogue of `dev`.
const BUILT_IN_DOCUMENTS: &str = "\
- name: echo
  kind: entry
  owner: demo
  class: latency-critical
  p99_target_ms: 50
  limits: {}
- name: count
  kind: entry
  owner: demo
  class: batch
  limits:
    per_task: { cpu_millis: 1000, memory_mb: 1024 }
";

/// Settings of `dev`. Missing ones have the values of [`DevConfig::default`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct DevConfig {
    /// Number of entry processes in each failure domain.
    pub entries_per_domain: usize,
    /// Failure domains with their workers.
    pub domains: Vec<DevDomain>,
    /// Resources that each worker offers to tasks.
    pub worker: Resources,
    /// Services with their executors; `echo` is added if it is missing.
    pub services: Vec<DevService>,
    /// Catalogue documents, each with `name` and the fields of its kind. The built-in `echo` and
    /// `count` are added, unless a document of any kind has the same name.
    pub catalogue: Vec<serde_json::Value>,
    /// Periods and timeouts of the entry processes.
    pub timing: Timing,
    /// Log level and span logging.
    pub log: LogSettings,
}

/// A failure domain with its workers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DevDomain {
    /// Name, unique in the file.
    pub name: String,
    /// Number of workers in each rack.
    pub racks: Vec<usize>,
}

/// A service with its executors.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DevService {
    /// Name of its catalogue entry, which must exist.
    pub name: String,
    /// Number of executors in each failure domain. All of them echo requests.
    pub executors_per_domain: usize,
}

impl Default for DevConfig {
    fn default() -> Self {
        Self {
            entries_per_domain: 1,
            domains: vec![DevDomain { name: "dc-a".to_owned(), racks: vec![2, 2] }],
            worker: Resources::new(8_000, 16_384, 0),
            services: vec![DevService { name: "echo".to_owned(), executors_per_domain: 2 }],
            catalogue: Vec::new(),
            timing: Timing { balancer_wait_ms: BALANCER_WAIT_MS, ..Timing::default() },
            log: LogSettings { level: "warn".to_owned(), ..LogSettings::default() },
        }
    }
}

impl DevConfig {
    /// Loads and checks a file.
    ///
    /// # Errors
    ///
    /// All problems of the file; if a field cannot be decoded, only that one.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            problem(&file, 0, "-", ProblemKind::Unreadable { cause: error.to_string() })
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a file. `file` is the file name used in error messages.
    ///
    /// # Errors
    ///
    /// All problems of the file; if a field cannot be decoded, only that one.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let syntax = |error: serde_saphyr::Error| {
            let line = error.location().map_or(1, |location| location.line());
            let cause = error.without_snippet().to_string();
            let cause = cause.lines().next().unwrap_or_default().to_owned();
            problem(file, line, "-", ProblemKind::Syntax { cause })
        };
        let root: Node = serde_saphyr::from_str(text).map_err(syntax)?;
        let mut cfg: Self = serde_saphyr::from_str(text).map_err(syntax)?;
        cfg.add_echo();
        let problems = Checker { file, root: &root, problems: Vec::new() }.run(&cfg);
        if problems.is_empty() { Ok(cfg) } else { Err(SettingsError { problems }) }
    }

    /// Returns the documents of the file and the built-in ones that it does not replace.
    ///
    /// # Errors
    ///
    /// The error of the first document that the catalogue would refuse.
    pub fn documents(&self) -> Result<Vec<FileDocument>, DocumentsError> {
        let mut values: Vec<serde_json::Value> = serde_saphyr::from_str(BUILT_IN_DOCUMENTS)
            .map_err(|error| DocumentsError::BuiltIn { cause: error.to_string() })?;
        values.extend(self.catalogue.iter().cloned());
        let mut documents: Vec<FileDocument> = Vec::new();
        for (index, value) in values.into_iter().enumerate() {
            let document = decode("catalogue", index + 1, value).map_err(|source| {
                DocumentsError::Refused { cause: format_chain(&source), source }
            })?;
            // A document of the file replaces the built-in one.
            documents.retain(|other| other.name != document.name);
            documents.push(document);
        }
        Ok(documents)
    }

    /// Returns the settings of an entry process.
    #[must_use]
    pub fn settings(
        &self,
        name: &str,
        domain: &str,
        listen: SocketAddr,
        platform: PlatformSettings,
    ) -> Settings {
        Settings {
            name: name.to_owned(),
            domain: domain.to_owned(),
            domains: self.domains.iter().map(|domain| domain.name.clone()).collect(),
            listen,
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            peers: Vec::new(),
            platform,
            statsd: None,
            log: self.log.clone(),
            timing: self.timing.clone(),
            limits: Limits { front_threads: FRONT_THREADS, ..Limits::default() },
        }
    }

    fn add_echo(&mut self) {
        if !self.services.iter().any(|service| service.name == "echo") {
            self.services.extend(Self::default().services);
        }
    }
}

/// Checks a decoded file and collects its problems.
struct Checker<'a> {
    file: &'a str,
    root: &'a Node,
    problems: Vec<Problem>,
}

/// Why the catalogue of a site is invalid.
#[derive(Debug, Error)]
pub enum DocumentsError {
    /// The built-in documents cannot be decoded, which is a defect.
    #[error("{cause}")]
    BuiltIn {
        /// Message of the decoder.
        cause: String,
    },
    /// The catalogue would refuse a document.
    #[error("{cause}")]
    Refused {
        /// Message of the refusal with its causes.
        cause: String,
        /// Error of the refused document.
        source: FileError,
    },
}

impl Checker<'_> {
    fn run(mut self, cfg: &DevConfig) -> Vec<Problem> {
        self.check_count("entries_per_domain", cfg.entries_per_domain);
        self.check_domains(cfg);
        if cfg.worker.cpu_millis == 0 || cfg.worker.memory_mb == 0 {
            self.report_value(
                "worker",
                "no processors or no memory",
                "cpu_millis and memory_mb above 0",
            );
        }
        for (index, service) in cfg.services.iter().enumerate() {
            self.check_name(&format!("services[{index}].name"), &service.name);
            let path = format!("services[{index}].executors_per_domain");
            self.check_count(&path, service.executors_per_domain);
        }
        match cfg.documents() {
            Ok(documents) => self.check_services(cfg, &documents),
            Err(error) => self.report_value(
                "catalogue",
                &error.to_string(),
                "documents that the catalogue accepts",
            ),
        }
        self.check_entry_settings(cfg);
        self.problems
    }

    fn check_domains(&mut self, cfg: &DevConfig) {
        if cfg.domains.is_empty() {
            self.report_value("domains", "an empty list", "at least one failure domain");
        }
        let mut names = BTreeSet::new();
        for (index, domain) in cfg.domains.iter().enumerate() {
            let path = format!("domains[{index}].name");
            self.check_name(&path, &domain.name);
            if !names.insert(&domain.name) {
                self.report(&path, ProblemKind::Repeated { found: domain.name.clone() });
            }
            let workers = domain.racks.iter().fold(0, |sum: usize, rack| sum.saturating_add(*rack));
            self.check_count(&format!("domains[{index}].racks"), workers);
        }
    }

    /// Checks that every service has a catalogue document, because its requests would be refused otherwise.
    fn check_services(&mut self, cfg: &DevConfig, documents: &[FileDocument]) {
        for (index, service) in cfg.services.iter().enumerate() {
            if !documents.iter().any(|document| document.name == service.name) {
                let found = format!("{:?}", service.name);
                let path = format!("services[{index}].name");
                self.report_value(&path, &found, "the name of a document of the catalogue");
            }
        }
    }

    /// Applies the checks of an entry process's settings to `timing` and `log`.
    fn check_entry_settings(&mut self, cfg: &DevConfig) {
        let unused = SocketAddr::from(([127, 0, 0, 1], 1));
        let platform = PlatformSettings { table: unused, objects: unused, vms: unused };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let domain = cfg.domains.first().map_or("dc-a", |domain| &domain.name);
        let settings = cfg.settings("entry", domain, listen, platform);
        let Ok(text) = serde_saphyr::to_string(&settings) else { return };
        let Err(error) = crate::config::parse(self.file, &text) else { return };
        for problem in error.problems {
            let section = problem.field.split('.').next().unwrap_or_default();
            if section == "timing" || section == "log" {
                self.report(&problem.field, problem.kind);
            }
        }
    }

    fn check_count(&mut self, path: &str, found: usize) {
        if !(1..=MAX_PER_DOMAIN).contains(&found) {
            self.report_value(
                path,
                &found.to_string(),
                &format!("1 to {MAX_PER_DOMAIN} in a domain"),
            );
        }
    }

    fn check_name(&mut self, path: &str, name: &str) {
        if !is_name(name) {
            self.report_value(
                path,
                &format!("{name:?}"),
                "1 to 63 characters out of a-z, 0-9 and '-'",
            );
        }
    }

    fn report_value(&mut self, path: &str, found: &str, expected: &str) {
        let kind =
            ProblemKind::InvalidValue { found: found.to_owned(), expected: expected.to_owned() };
        self.report(path, kind);
    }

    fn report(&mut self, path: &str, kind: ProblemKind) {
        let line = line_of(self.root, path);
        let file = self.file.to_owned();
        self.problems.push(Problem { file, line, field: path.to_owned(), kind });
    }
}

/// Returns the line of the value at `path`, or of its closest existing parent.
fn line_of(root: &Node, path: &str) -> u64 {
    let mut node = root;
    for part in path.split(['.', '[']) {
        let next = match &node.value {
            Value::Map(entries) => {
                entries.iter().find(|(key, _)| key.name == part).map(|(_, node)| node)
            }
            Value::List(items) => {
                part.trim_end_matches(']').parse().ok().and_then(|index: usize| items.get(index))
            }
            _ => None,
        };
        let Some(next) = next else { return node.line };
        node = next;
    }
    node.line
}

fn problem(file: &str, line: u64, field: &str, kind: ProblemKind) -> SettingsError {
    let problem = Problem { file: file.to_owned(), line, field: field.to_owned(), kind };
    SettingsError { problems: vec![problem] }
}

/// Formats an error and its causes as one line.
fn format_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
