//! `task list`.

use bpaf::{OptionParser, Parser, construct, long};
use plantainlever::ops::client::message::{TaskView, state_text};

use crate::cli::{self, Remote};
use crate::table::Table;

#[derive(Debug)]
pub struct List {
    state: Option<String>,
    json: bool,
    remote: Remote,
}

pub fn options() -> OptionParser<List> {
    let state = long("state")
        .help("Only tasks in this state, such as running or unplaceable")
        .argument::<String>("STATE")
        .guard(|state| STATES.contains(&state.as_str()), STATES_HINT)
        .optional();
    let json = cli::json();
    let remote = cli::remote();
    construct!(List { state, json, remote })
        .to_options()
        .descr("List the tasks")
        .footer("Example: plantainlever task list --state unplaceable")
}

const STATES: &[&str] =
    &["pending", "running", "evicted", "succeeded", "failed", "cancelled", "unplaceable"];

const STATES_HINT: &str =
    "allowed: pending, running, evicted, succeeded, failed, cancelled, unplaceable";

impl List {
    pub fn exec(self) -> eyre::Result<()> {
        let mut tasks = self.remote.client().tasks()?;
        if let Some(state) = &self.state {
            tasks.retain(|task| state_text(task.state) == state);
        }
        if self.json {
            self.remote.shell.json(&tasks)?;
            return Ok(());
        }
        let mut table = Table::new(&["ID", "STATE", "ENTRY", "DOMAIN"]);
        for task in &tasks {
            table.row(row(task));
        }
        self.remote.shell.table(&table)?;
        if tasks.iter().any(|task| task.reason.is_some()) {
            self.remote.shell.note(format_args!("\"plantainlever task show ID\" tells the reason"));
        }
        Ok(())
    }
}

fn row(task: &TaskView) -> Vec<String> {
    let state = state_text(task.state).to_owned();
    vec![task.id.clone(), state, task.entry.clone(), task.domain.clone()]
}
