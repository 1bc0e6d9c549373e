//! Command-line parser: the commands and their common options.

use bpaf::{OptionParser, Parser, construct, long, short};
use serde::Serialize;

use crate::commands::{catalogue, check, dev, domain, entry, node, status, task};
use crate::shell::{Shell, Verbosity};
use crate::table::Table;

/// Server address if neither `--server` nor `PLANTAINLEVER_SERVER` is given.
pub const DEFAULT_SERVER: &str = "127.0.0.1:7280";

/// A parsed command line.
#[derive(Debug)]
pub enum Command {
    Entry(entry::Entry),
    Node(node::Node),
    Dev(dev::Dev),
    Check(check::Check),
    Catalogue(catalogue::Catalogue),
    Domain(domain::Domain),
    Task(task::Task),
    Status(status::Status),
}

impl Command {
    pub fn exec(self) -> eyre::Result<()> {
        match self {
            Self::Entry(command) => command.exec(),
            Self::Node(command) => command.exec(),
            Self::Dev(command) => command.exec(),
            Self::Check(command) => command.exec(),
            Self::Catalogue(command) => command.exec(),
            Self::Domain(command) => command.exec(),
            Self::Task(command) => command.exec(),
            Self::Status(command) => command.exec(),
        }
    }
}

pub fn options() -> OptionParser<Command> {
    let entry = entry::options().command("entry").map(Command::Entry);
    let node = node::options().command("node").map(Command::Node);
    let dev = dev::options().command("dev").map(Command::Dev);
    let check = check::options().command("check").map(Command::Check);
    let catalogue = catalogue::options().command("catalogue").map(Command::Catalogue);
    let domain = domain::options().command("domain").map(Command::Domain);
    let task = task::options().command("task").map(Command::Task);
    let status = status::options().command("status").map(Command::Status);
    construct!([entry, node, check, dev, catalogue, domain, task, status])
        .to_options()
        .descr("Schedules latency-critical services and batch work on the same VMs")
        .footer("Example: plantainlever dev --once")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Options of the commands that call the HTTP API of a process.
#[derive(Clone, Debug)]
pub struct Remote {
    /// `IP:PORT` or `NAME:PORT` of the process or the load balancer.
    pub server: String,
    /// Prints at the verbosity of `--quiet` or `--verbose`.
    pub shell: Shell,
}

impl Remote {
    pub fn client(&self) -> plantainlever::ops::client::Client {
        self.shell.detail(format_args!("sending requests to {}", self.server));
        plantainlever::ops::client::Client::new(&self.server)
    }
}

pub fn remote() -> impl Parser<Remote> {
    let server = long("server")
        .env("PLANTAINLEVER_SERVER")
        .help("Address of a process or of the load balancer")
        .argument::<String>("ADDR")
        .guard(|server| is_server(server), "the server must be HOST:PORT with a port above 0")
        .fallback(DEFAULT_SERVER.to_owned())
        .display_fallback();
    let shell = shell();
    construct!(Remote { server, shell })
}

/// Options of the list commands.
#[derive(Debug)]
pub struct ListOptions {
    json: bool,
    pub remote: Remote,
}

pub fn list_options() -> impl Parser<ListOptions> {
    let json = json();
    let remote = remote();
    construct!(ListOptions { json, remote })
}

impl ListOptions {
    /// Prints a list as JSON or as a table. Returns true if it was a table.
    pub fn print<T: Serialize>(
        &self,
        list: &T,
        table: impl FnOnce(&T) -> Table,
    ) -> eyre::Result<bool> {
        if self.json {
            self.remote.shell.json(list)?;
        } else {
            self.remote.shell.table(&table(list))?;
        }
        Ok(!self.json)
    }
}

fn is_server(server: &str) -> bool {
    let Some((host, port)) = server.rsplit_once(':') else { return false };
    !host.is_empty() && !host.contains('/') && port.parse::<u16>().is_ok_and(|port| port != 0)
}

pub fn shell() -> impl Parser<Shell> {
    let quiet =
        short('q').long("quiet").help("Print only results and errors").req_flag(Verbosity::Quiet);
    let verbose =
        short('v').long("verbose").help("Also print each step").req_flag(Verbosity::Verbose);
    construct!([quiet, verbose]).fallback(Verbosity::Normal).map(Shell::new)
}

pub fn json() -> impl Parser<bool> {
    long("json").help("Print JSON instead of a table").switch()
}
