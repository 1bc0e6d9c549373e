//! `node`: runs an entry process as an adapter to the users' platform, scheduling jobs in shards.

use std::path::PathBuf;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::WrapErr;
use plantainlever::adapter::{process, settings};
use plantainlever::clock::SystemClock;
use plantainlever::telemetry::lines;

#[derive(Debug)]
pub struct Node {
    settings: Option<PathBuf>,
    metrics_port: Option<u16>,
    level: log::LevelFilter,
}

pub fn options() -> OptionParser<Node> {
    let settings = long("settings")
        .help("Settings file of the platform; default: the path in its environment variable")
        .argument::<PathBuf>("FILE")
        .optional();
    let level = long("log")
        .help("Least severe level that is logged: error, warn, info, debug")
        .argument::<log::LevelFilter>("LEVEL")
        .fallback(log::LevelFilter::Info)
        .display_fallback();
    let metrics_port = long("metrics")
        .help("Port that serves metrics in the Prometheus text format; off by default")
        .argument::<u16>("PORT")
        .optional();
    construct!(Node { settings, metrics_port, level })
        .to_options()
        .descr("Run an entry process on the platform until SIGTERM or SIGINT, then stop gracefully")
        .footer("Example: plantainlever node --settings node.json")
}

impl Node {
    pub fn exec(self) -> eyre::Result<()> {
        let log = lines::start(self.level).wrap_err("logging cannot be started")?;
        let path = self.settings.unwrap_or_else(settings::path);
        let ended = process::run(&path, self.metrics_port, Arc::new(SystemClock));
        log.close();
        Ok(ended?)
    }
}
