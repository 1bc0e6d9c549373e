//! `task cancel`.

use bpaf::{OptionParser, Parser, construct, positional};

use crate::cli::{self, Remote};

#[derive(Debug)]
pub struct Cancel {
    remote: Remote,
    id: String,
}

pub fn options() -> OptionParser<Cancel> {
    let remote = cli::remote();
    let id = positional::<String>("ID").help("ID of the task");
    construct!(Cancel { remote, id })
        .to_options()
        .descr("Cancel a task; a running task is stopped")
        .footer("Example: plantainlever task cancel t-0123456789abcdef")
}

impl Cancel {
    pub fn exec(self) -> eyre::Result<()> {
        self.remote.client().cancel(&self.id)?;
        self.remote.shell.result(format_args!("{}: cancellation accepted", self.id))?;
        Ok(())
    }
}
