//! `domain out`.

use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use plantainlever::clock::SystemClock;
use plantainlever::domain::DomainState;
use plantainlever::ops::client::evacuation;

use crate::cli::{self, Remote};

const DEFAULT_TIMEOUT_S: u64 = 600;

#[derive(Debug)]
pub struct Out {
    wait: bool,
    timeout_s: u64,
    remote: Remote,
    name: String,
}

pub fn options() -> OptionParser<Out> {
    let wait =
        long("wait").help("Wait until no task runs there, showing how many still run").switch();
    let timeout_s = long("timeout")
        .help("Longest wait in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_TIMEOUT_S)
        .display_fallback();
    let remote = cli::remote();
    let name = positional::<String>("NAME").help("Failure domain");
    construct!(Out { wait, timeout_s, remote, name })
        .to_options()
        .descr("Take a failure domain out of service: no task starts there after 5 s")
        .footer("Example: plantainlever domain out dc-a --wait")
}

impl Out {
    pub fn exec(self) -> eyre::Result<()> {
        let client = self.remote.client();
        let shell = &self.remote.shell;
        client.set_domain(&self.name, DomainState::Out)?;
        shell.result(format_args!("{} is out; no task starts there after 5 s", self.name))?;
        if !self.wait {
            return Ok(());
        }
        let timeout = Duration::from_secs(self.timeout_s);
        let left = evacuation::wait(&client, &SystemClock, &self.name, timeout, |left| {
            let (running, waiting) = (left.running, left.waiting);
            shell.note(format_args!("{running} tasks left, {waiting} wait for another worker"));
        })?;
        shell.result(format_args!("{} runs no task", self.name))?;
        if left.waiting > 0 {
            shell.note(format_args!(
                "{} tasks wait; \"plantainlever task show ID\" tells the reason",
                left.waiting
            ));
        }
        Ok(())
    }
}
