//! `task cancel`.

use bpaf::{OptionParser, Parser, construct, positional};

use crate::cli::{self, Remote};

/// Options of `task cancel`.
#[derive(Debug)]
pub struct Cancel {
    remote: Remote,
    id: String,
}

/// The parser.
pub fn options() -> OptionParser<Cancel> {
    let remote = cli::remote();
    let id = positional::<String>("ID").help("Id of the task");
    construct!(Cancel { remote, id })
        .to_options()
        .descr("Cancel a task; one that runs is stopped")
        .footer("Example: plantainlever task cancel 0196f0c2")
}

impl Cancel {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        self.remote.client().cancel(&self.id)?;
        self.remote.shell.result(format_args!("{}: cancellation accepted", self.id))?;
        Ok(())
    }
}
