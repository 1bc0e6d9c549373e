//! `domain in`.

use bpaf::{OptionParser, Parser, construct, positional};
use plantainlever::domain::DomainState;

use crate::cli::{self, Remote};

#[derive(Debug)]
pub struct In {
    remote: Remote,
    name: String,
}

pub fn options() -> OptionParser<In> {
    let remote = cli::remote();
    let name = positional::<String>("NAME").help("Failure domain");
    construct!(In { remote, name })
        .to_options()
        .descr("Bring a failure domain back into service; work returns gradually")
        .footer("Example: plantainlever domain in dc-a")
}

impl In {
    pub fn exec(self) -> eyre::Result<()> {
        self.remote.client().set_domain(&self.name, DomainState::In)?;
        self.remote.shell.result(format_args!("{} is in service", self.name))?;
        Ok(())
    }
}
