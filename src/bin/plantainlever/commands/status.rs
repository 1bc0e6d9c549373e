//! `status`: shows a summary of a process and of all failure domains.

use bpaf::{OptionParser, Parser, construct};
use plantainlever::catalogue::Class;
use plantainlever::ops::api::status::{DomainStatus, StatusView};
use plantainlever::ops::client::message::domain_state_text;

use crate::cli::{self, Remote};
use crate::shell::Shell;
use crate::table::Table;

#[derive(Debug)]
pub struct Status {
    remote: Remote,
    json: bool,
}

pub fn options() -> OptionParser<Status> {
    let remote = cli::remote();
    let json = cli::json();
    construct!(Status { json, remote })
        .to_options()
        .descr("Show domains, schedulers, queues, quarantined workers and unplaceable tasks")
        .footer("Example: plantainlever status --server 127.0.0.1:7280")
}

impl Status {
    pub fn exec(self) -> eyre::Result<()> {
        let status = self.remote.client().status()?;
        let shell = &self.remote.shell;
        if self.json {
            shell.json(&status)?;
            return Ok(());
        }
        print_process(shell, &status)?;
        print_domains(shell, &status)?;
        print_queues(shell, &status)?;
        print_quarantined(shell, &status)?;
        print_unplaceable(shell, &status)?;
        Ok(())
    }
}

fn print_process(shell: &Shell, status: &StatusView) -> eyre::Result<()> {
    let stopping = if status.stopping { ", stopping" } else { "" };
    shell.result(format_args!("process  {} in {}{stopping}", status.process, status.domain))?;
    let age = status.revision_age_ms.map_or("never read".to_owned(), |age| format!("{age} ms old"));
    let starts = if status.fresh { "tasks may start" } else { "too old for tasks to start" };
    shell.result(format_args!("revision {}, {age}, {starts}", status.revision))?;
    Ok(())
}

fn print_domains(shell: &Shell, status: &StatusView) -> eyre::Result<()> {
    shell.result(format_args!(""))?;
    let mut table = Table::new(&["DOMAIN", "STATE", "SCHEDULER", "EPOCH", "CLAIMED BY"]);
    for domain in &status.domains {
        table.row(domain_row(domain, status.schedulers_known));
    }
    shell.table(&table)?;
    Ok(())
}

fn domain_row(domain: &DomainStatus, known: bool) -> Vec<String> {
    let absent = if known { "none" } else { "unknown" };
    vec![
        domain.name.clone(),
        domain_state_text(domain.state).to_owned(),
        domain.scheduler.clone().unwrap_or_else(|| absent.to_owned()),
        domain.epoch.map_or_else(|| "-".to_owned(), |epoch| epoch.to_string()),
        domain.claimant.clone().unwrap_or_else(|| "-".to_owned()),
    ]
}

fn print_queues(shell: &Shell, status: &StatusView) -> eyre::Result<()> {
    if status.queues.is_empty() {
        return Ok(());
    }
    shell.result(format_args!(""))?;
    let mut table = Table::new(&["QUEUE", "CLASS", "WAITING", "RUNNING"]);
    for queue in &status.queues {
        let class = match queue.class {
            Class::LatencyCritical => "latency-critical",
            Class::Batch => "batch",
        };
        table.row(vec![
            queue.name.clone(),
            class.to_owned(),
            queue.waiting.to_string(),
            queue.running.to_string(),
        ]);
    }
    shell.table(&table)?;
    Ok(())
}

fn print_quarantined(shell: &Shell, status: &StatusView) -> eyre::Result<()> {
    shell.result(format_args!("\nquarantined workers: {}", status.quarantined.len()))?;
    for worker in &status.quarantined {
        shell.result(format_args!("  {} in {}", worker.worker, worker.domain))?;
        shell.explanation(&worker.reason)?;
    }
    Ok(())
}

fn print_unplaceable(shell: &Shell, status: &StatusView) -> eyre::Result<()> {
    shell.result(format_args!("unplaceable tasks: {}", status.unplaceable_count))?;
    for task in &status.unplaceable {
        shell.result(format_args!("  {} of {}", task.id, task.entry))?;
        shell.explanation(&task.reason)?;
    }
    let hidden = status.unplaceable_count.saturating_sub(status.unplaceable.len());
    if hidden > 0 {
        shell.result(format_args!("  and {hidden} more"))?;
    }
    Ok(())
}
