//! `entry`: runs an entry process.

use std::path::PathBuf;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::{WrapErr, bail};
use plantainlever::clock::SystemClock;
use plantainlever::config;
use plantainlever::ops::entry;
use plantainlever::ops::signals::ShutdownSignal;
use plantainlever::telemetry::{Tracing, logging};

#[derive(Debug)]
pub struct Entry {
    config: PathBuf,
}

pub fn options() -> OptionParser<Entry> {
    let config = long("config").help("Settings file").argument::<PathBuf>("FILE");
    construct!(Entry { config })
        .to_options()
        .descr("Run an entry process until SIGTERM or SIGINT, then stop gracefully")
        .footer("Example: plantainlever entry --config entry.yaml")
}

impl Entry {
    pub fn exec(self) -> eyre::Result<()> {
        let cfg = config::load(&self.config)?;
        // Registered before anything starts, so that an early signal stops the process gracefully, too.
        let stop = ShutdownSignal::register().wrap_err("SIGTERM and SIGINT cannot be handled")?;
        logging::start(&cfg.log)?;
        let tracing = Tracing::start(&cfg.log);
        let entry = entry::EntryProcess::start(cfg, Arc::new(SystemClock))
            .wrap_err("the entry process could not start")?;
        stop.wait();
        let drained = entry.close();
        tracing.close();
        if drained.unfinished > 0 {
            bail!(
                "{} requests were still in flight after {:?}; raise timing.drain_ms",
                drained.unfinished,
                drained.waited
            );
        }
        Ok(())
    }
}
