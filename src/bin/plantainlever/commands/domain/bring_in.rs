//! `domain in`.

use bpaf::{OptionParser, Parser, construct, positional};
use plantainlever::domain::DomainState;

use crate::cli::{self, Remote};

/// Options of `domain in`.
#[derive(Debug)]
pub struct In {
    remote: Remote,
    name: String,
}

/// The parser.
pub fn options() -> OptionParser<In> {
    let remote = cli::remote();
    let name = positional::<String>("NAME").help("Failure domain");
    construct!(In { remote, name })
        .to_options()
        .descr("Bring a failure domain back into service; work returns by and by")
        .footer("Example: plantainlever domain in dc-a")
}

impl In {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        self.remote.client().set_domain(&self.name, DomainState::In)?;
        self.remote.shell.result(format_args!("{} is in service", self.name))?;
        Ok(())
    }
}
