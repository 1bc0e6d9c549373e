//! `task submit`.

use bpaf::{OptionParser, Parser, construct, long, positional};
use serde_json::Value;

use crate::cli::{self, Remote};

#[derive(Debug)]
pub struct Submit {
    args: Value,
    json: bool,
    remote: Remote,
    entry: String,
}

pub fn options() -> OptionParser<Submit> {
    let args = long("args")
        .help("Arguments of the task as a JSON object")
        .argument::<String>("JSON")
        .parse(|text| {
            serde_json::from_str::<Value>(&text).map_err(|error| format!("not valid JSON: {error}"))
        })
        .fallback(Value::Object(serde_json::Map::new()));
    let json = cli::json();
    let remote = cli::remote();
    let entry = positional::<String>("ENTRY").help("Name of a catalogue entry");
    construct!(Submit { args, json, remote, entry })
        .to_options()
        .descr("Submit a task and print its ID")
        .footer("Example: plantainlever task submit count --args '{\"run_ms\":1000}'")
}

impl Submit {
    pub fn exec(self) -> eyre::Result<()> {
        let submitted = self.remote.client().submit(&self.entry, &self.args)?;
        if self.json {
            self.remote.shell.json(&submitted)?;
        } else {
            self.remote.shell.result(format_args!("{}", submitted.id))?;
        }
        Ok(())
    }
}
