//! `task show`.

use bpaf::{OptionParser, Parser, construct, positional};
use plantainlever::ops::client::message::state_text;

use crate::cli::{self, Remote};

#[derive(Debug)]
pub struct Show {
    json: bool,
    remote: Remote,
    id: String,
}

pub fn options() -> OptionParser<Show> {
    let json = cli::json();
    let remote = cli::remote();
    let id = positional::<String>("ID").help("ID of the task");
    construct!(Show { json, remote, id })
        .to_options()
        .descr("Show a task and why it is in its state")
        .footer("Example: plantainlever task show t-0123456789abcdef")
}

impl Show {
    pub fn exec(self) -> eyre::Result<()> {
        let task = self.remote.client().task(&self.id)?;
        let shell = &self.remote.shell;
        if self.json {
            shell.json(&task)?;
            return Ok(());
        }
        let none = || "-".to_owned();
        for (label, value) in [
            ("id", task.id),
            ("entry", task.entry),
            ("state", state_text(task.state).to_owned()),
            ("attempt", task.attempt.to_string()),
            ("domain", task.domain),
            ("worker", task.worker.unwrap_or_else(none)),
            ("reason", task.reason.unwrap_or_else(none)),
        ] {
            shell.result(format_args!("{label:<8} {value}"))?;
        }
        Ok(())
    }
}
