//! `domain list`.

use bpaf::{OptionParser, Parser};
use plantainlever::ops::client::message::domain_state_text;

use crate::cli::{self, ListOptions};
use crate::table::Table;

#[derive(Debug)]
pub struct List {
    options: ListOptions,
}

pub fn options() -> OptionParser<List> {
    cli::list_options()
        .map(|options| List { options })
        .to_options()
        .descr("List the failure domains and whether they are in service")
        .footer("Example: plantainlever domain list")
}

impl List {
    pub fn exec(self) -> eyre::Result<()> {
        let list = self.options.remote.client().domains()?;
        self.options.print(&list, |list| {
            let mut table = Table::new(&["DOMAIN", "STATE", "REVISION"]);
            for domain in &list.domains {
                let never_set = domain.revision == 0;
                let revision = if never_set { "-".to_owned() } else { domain.revision.to_string() };
                let state = domain_state_text(domain.state).to_owned();
                table.row(vec![domain.name.clone(), state, revision]);
            }
            table
        })?;
        Ok(())
    }
}
