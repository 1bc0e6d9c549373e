//! `domain list`.

use bpaf::{OptionParser, Parser, construct};
use plantainlever::ops::client::message::domain_state_text;

use crate::cli::{self, Remote};
use crate::table::Table;

/// Options of `domain list`.
#[derive(Debug)]
pub struct List {
    json: bool,
    remote: Remote,
}

/// The parser.
pub fn options() -> OptionParser<List> {
    let json = cli::json();
    let remote = cli::remote();
    construct!(List { json, remote })
        .to_options()
        .descr("List the failure domains and whether they are in service")
        .footer("Example: plantainlever domain list")
}

impl List {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        let list = self.remote.client().domains()?;
        if self.json {
            self.remote.shell.json(&list)?;
            return Ok(());
        }
        let mut table = Table::new(&["DOMAIN", "STATE", "REVISION"]);
        for domain in &list.domains {
            let never_set = domain.revision == 0;
            let revision = if never_set { "-".to_owned() } else { domain.revision.to_string() };
            let state = domain_state_text(domain.state).to_owned();
            table.row(vec![domain.name.clone(), state, revision]);
        }
        self.remote.shell.table(&table)?;
        Ok(())
    }
}
