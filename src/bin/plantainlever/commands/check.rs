//! `check`: validates a settings file.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use plantainlever::config;

use crate::cli;
use crate::shell::Shell;

#[derive(Debug)]
pub struct Check {
    config: PathBuf,
    shell: Shell,
}

pub fn options() -> OptionParser<Check> {
    let config = long("config").help("Settings file").argument::<PathBuf>("FILE");
    let shell = cli::shell();
    construct!(Check { config, shell })
        .to_options()
        .descr("Validate a settings file; prints FILE:LINE: field for each error and exits 2")
        .footer("Example: plantainlever check --config entry.yaml")
}

impl Check {
    pub fn exec(self) -> eyre::Result<()> {
        let cfg = config::load(&self.config)?;
        let file = self.config.display();
        self.shell.result(format_args!("{file}: valid, for {} in {}", cfg.name, cfg.domain))?;
        Ok(())
    }
}
