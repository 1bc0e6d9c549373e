//! `catalogue apply`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::WrapErr;
use plantainlever::ops::client::apply::{self, ApplyEffect, ApplyStep};
use plantainlever::ops::client::{Client, ClientError};

use crate::cli::{self, Remote};

#[derive(Debug)]
pub struct Apply {
    dry_run: bool,
    remote: Remote,
    file: PathBuf,
}

pub fn options() -> OptionParser<Apply> {
    let dry_run = long("dry-run").help("Show what would change and send nothing").switch();
    let remote = cli::remote();
    let file =
        positional::<PathBuf>("FILE").help("YAML, one or more documents with name: and kind:");
    construct!(Apply { dry_run, remote, file })
        .to_options()
        .descr("Create or replace documents of the catalogue")
        .footer("Example: plantainlever catalogue apply echo.yaml --dry-run")
}

impl Apply {
    pub fn exec(self) -> eyre::Result<()> {
        let documents = apply::read_file(&self.file).wrap_err("nothing was applied")?;
        let client = self.remote.client();
        let steps = apply::plan(&client, documents).wrap_err("nothing was applied")?;
        for (applied, step) in steps.iter().enumerate() {
            self.show(step)?;
            if self.dry_run || step.change == ApplyEffect::Unchanged {
                continue;
            }
            put(&client, step).wrap_err_with(|| {
                format!(
                    "applying document {} failed; the {applied} before it in the file are in the catalogue",
                    step.document.name
                )
            })?;
        }
        if self.dry_run {
            self.remote.shell.note(format_args!("nothing was sent, because of --dry-run"));
        }
        Ok(())
    }

    fn show(&self, step: &ApplyStep) -> eyre::Result<()> {
        let shell = &self.remote.shell;
        let name = &step.document.name;
        match &step.change {
            ApplyEffect::Create => shell.result(format_args!("{name}: new"))?,
            ApplyEffect::Unchanged => shell.result(format_args!("{name}: unchanged"))?,
            ApplyEffect::Update(fields) => {
                shell.result(format_args!("{name}: changed since revision {}", step.revision))?;
                for field in fields {
                    let from = field.from.as_deref().unwrap_or("(absent)");
                    let to = field.to.as_deref().unwrap_or("(absent)");
                    shell.result(format_args!("  {}: {from} -> {to}", field.path))?;
                }
            }
        }
        Ok(())
    }
}

fn put(client: &Client, step: &ApplyStep) -> eyre::Result<()> {
    let document = &step.document;
    match client.put_document(&document.name, &document.document, step.revision) {
        Ok(()) => Ok(()),
        Err(error) if error.is_lost_race() => Err(lost_race(step, error)),
        Err(error) => Err(error.into()),
    }
}

fn lost_race(step: &ApplyStep, error: ClientError) -> eyre::Report {
    let name = &step.document.name;
    let ClientError::Refused { revision: Some(current), .. } = &error else { return error.into() };
    let text = format!(
        "somebody else changed {name} after this command read it: it was at revision {} and is at \
         {current} now; read their change with \"plantainlever catalogue get {name}\", merge it into \
         the file, and apply again",
        step.revision
    );
    eyre::Report::from(error).wrap_err(text)
}
