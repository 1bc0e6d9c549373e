//! `catalogue history`.

use bpaf::{OptionParser, Parser};
use plantainlever::telemetry::time;

use crate::cli::{self, ListOptions};
use crate::table::Table;

#[derive(Debug)]
pub struct History {
    options: ListOptions,
}

pub fn options() -> OptionParser<History> {
    cli::list_options()
        .map(|options| History { options })
        .to_options()
        .descr("List the newest changes of the catalogue")
        .footer("Example: plantainlever catalogue history")
}

impl History {
    pub fn exec(self) -> eyre::Result<()> {
        let changes = self.options.remote.client().history()?;
        self.options.print(&changes, |changes| {
            let mut table = Table::new(&["REVISION", "TIME (UTC)", "NAME"]);
            for change in changes {
                let at = time::utc_text(change.at_ms);
                table.row(vec![change.revision.to_string(), at, change.name.clone()]);
            }
            table
        })?;
        Ok(())
    }
}
