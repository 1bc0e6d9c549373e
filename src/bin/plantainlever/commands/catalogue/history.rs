//! `catalogue history`.

use bpaf::{OptionParser, Parser};
use plantainlever::telemetry::time;

use crate::cli::{self, Listing};
use crate::table::Table;

/// Options of `catalogue history`.
#[derive(Debug)]
pub struct History {
    listing: Listing,
}

/// The parser.
pub fn options() -> OptionParser<History> {
    cli::listing()
        .map(|listing| History { listing })
        .to_options()
        .descr("List the newest changes of the catalogue")
        .footer("Example: plantainlever catalogue history")
}

impl History {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        let changes = self.listing.remote.client().history()?;
        self.listing.print(&changes, |changes| {
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
