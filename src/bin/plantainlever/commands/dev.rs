//! `dev`: runs all failure domains with an in-memory platform in one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::WrapErr;
use plantainlever::clock::{Clock, SystemClock};
use plantainlever::ops::dev::config::DevConfig;
use plantainlever::ops::dev::smoke_test::SmokeTestReport;
use plantainlever::ops::dev::{self, SiteSummary};
use plantainlever::ops::signals::ShutdownSignal;
use plantainlever::telemetry::{Tracing, logging};

use crate::cli::{self, DEFAULT_SERVER};
use crate::shell::Shell;
use crate::table::Table;

#[derive(Debug)]
pub struct Dev {
    config: Option<PathBuf>,
    listen: SocketAddr,
    once: bool,
    shell: Shell,
}

pub fn options() -> OptionParser<Dev> {
    let config = long("config")
        .help("Domains, workers, services and catalogue; see examples/")
        .argument::<PathBuf>("FILE")
        .optional();
    let listen = long("listen")
        .help("Address of the first entry process; port 0 for any free port")
        .argument::<SocketAddr>("ADDR")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7280)))
        .display_fallback();
    let once = long("once").help("Run one request and one task, then exit").switch();
    let shell = cli::shell();
    construct!(Dev { config, listen, once, shell })
        .to_options()
        .descr("Run entry processes with an in-memory platform, workers and targets on loopback")
        .footer("Example: plantainlever dev --config examples/hsinchu.yaml --once")
}

impl Dev {
    pub fn exec(self) -> eyre::Result<()> {
        let cfg = match &self.config {
            Some(path) => DevConfig::load(path)?,
            None => DevConfig::default(),
        };
        let stop = ShutdownSignal::register().wrap_err("SIGTERM and SIGINT cannot be handled")?;
        let mut log = cfg.log.clone();
        if self.shell.is_verbose() {
            log.level = "info".to_owned();
        }
        logging::start(&log)?;
        let tracing = Tracing::start(&log);
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let site = dev::Dev::start(cfg, self.listen, &clock)
            .wrap_err("the site could not start; nothing is left running")?;
        let shown = self.run_and_report(&site, clock.as_ref(), &stop);
        if shown.is_ok() && !self.once {
            stop.wait();
            self.shell.note(format_args!("stopping"));
        }
        site.close();
        tracing.close();
        shown
    }

    fn run_and_report(
        &self,
        site: &dev::Dev,
        clock: &dyn Clock,
        stop: &ShutdownSignal,
    ) -> eyre::Result<()> {
        self.print_site(&site.summary())?;
        self.shell.note(format_args!(
            "writing the catalogue, sending a request and running a task; this takes a few seconds"
        ));
        let report = site.run_smoke_test(clock, stop).wrap_err("the smoke test failed")?;
        self.print_report(&report)?;
        if !self.once {
            self.print_next_steps(site.address())?;
        }
        Ok(())
    }

    fn print_site(&self, summary: &SiteSummary) -> eyre::Result<()> {
        let mut table = Table::new(&["DOMAIN", "ENTRY PROCESSES"]);
        for (domain, entries) in &summary.domains {
            let entries: Vec<String> = entries.iter().map(ToString::to_string).collect();
            table.row(vec![domain.clone(), entries.join(" ")]);
        }
        self.shell.table(&table)?;
        let (workers, targets) = (summary.workers, summary.targets);
        self.shell.result(format_args!("{workers} workers, {targets} targets"))?;
        Ok(())
    }

    fn print_report(&self, report: &SmokeTestReport) -> eyre::Result<()> {
        let request_ms = report.request_time.as_secs_f64() * 1e3;
        let task_ms = report.task_time.as_secs_f64() * 1e3;
        let task = &report.task;
        self.shell.result(format_args!("request  echo answered in {request_ms:.1} ms"))?;
        self.shell.result(format_args!(
            "task     {} of count succeeded in {task_ms:.0} ms, attempt {} in {}",
            task.id, task.attempt, task.domain
        ))?;
        Ok(())
    }

    fn print_next_steps(&self, address: SocketAddr) -> eyre::Result<()> {
        let server = if address.to_string() == DEFAULT_SERVER {
            String::new()
        } else {
            format!(" --server {address}")
        };
        self.shell.result(format_args!(
            "\nTry in another terminal:\n  \
             plantainlever status{server}\n  \
             plantainlever catalogue list{server}\n  \
             plantainlever task submit count --args '{{\"run_ms\":5000}}'{server}\n  \
             plantainlever task list{server}\n  \
             curl -X PUT -d hello 'http://{address}/v1/services/echo/try?sleep_ms=20'\n\
             Stop with Ctrl-C."
        ))?;
        Ok(())
    }
}
