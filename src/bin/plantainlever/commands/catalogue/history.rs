//! `catalogue history`.

use bpaf::{OptionParser, Parser, construct};
use plantainlever::telemetry::time;

use crate::cli::{self, Remote};
use crate::table::Table;

/// Options of `catalogue history`.
#[derive(Debug)]
pub struct History {
    json: bool,
    remote: Remote,
}

/// The parser.
pub fn options() -> OptionParser<History> {
    let json = cli::json();
    let remote = cli::remote();
    construct!(History { json, remote })
        .to_options()
        .descr("List the newest changes of the catalogue")
        .footer("Example: plantainlever catalogue history")
}

impl History {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        let changes = self.remote.client().history()?;
        if self.json {
            self.remote.shell.json(&changes)?;
            return Ok(());
        }
        let mut table = Table::new(&["REVISION", "TIME (UTC)", "NAME"]);
        for change in &changes {
            table.row(vec![
                change.revision.to_string(),
                time::utc_text(change.at_ms),
                change.name.clone(),
            ]);
        }
        self.remote.shell.table(&table)?;
        Ok(())
    }
}
