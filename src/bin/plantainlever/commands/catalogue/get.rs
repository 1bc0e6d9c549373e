//! `catalogue get`.

use bpaf::{OptionParser, Parser, construct, positional};
use eyre::{WrapErr, bail};
use serde_json::{Value, json};

use crate::cli::{self, Remote};

#[derive(Debug)]
pub struct Get {
    json: bool,
    remote: Remote,
    name: String,
}

pub fn options() -> OptionParser<Get> {
    let json = cli::json();
    let remote = cli::remote();
    let name = positional::<String>("NAME").help("Name of the document");
    construct!(Get { json, remote, name })
        .to_options()
        .descr("Print a document as YAML, in the form that \"catalogue apply\" reads")
        .footer("Example: plantainlever catalogue get echo > echo.yaml")
}

impl Get {
    pub fn exec(self) -> eyre::Result<()> {
        let Some(named) = self.remote.client().document(&self.name)? else {
            bail!(
                "the catalogue has no document {:?}; \"plantainlever catalogue list\" shows all",
                self.name
            );
        };
        if self.json {
            self.remote.shell.json(&named)?;
            return Ok(());
        }
        let mut fields = json!({ "name": named.name });
        if let (Value::Object(fields), Value::Object(document)) =
            (&mut fields, serde_json::to_value(&named.document)?)
        {
            fields.extend(document);
        }
        let yaml = serde_saphyr::to_string(&fields).wrap_err("the document cannot be printed")?;
        self.remote.shell.result(format_args!("{}", yaml.trim_end()))?;
        self.remote.shell.note(format_args!("at revision {}", named.revision));
        Ok(())
    }
}
