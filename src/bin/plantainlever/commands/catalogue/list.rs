//! `catalogue list`.

use bpaf::{OptionParser, Parser};
use plantainlever::catalogue::{Class, Document};
use plantainlever::ops::client::message::{DocumentList, NamedDocument};

use crate::cli::{self, ListOptions};
use crate::table::Table;

#[derive(Debug)]
pub struct List {
    options: ListOptions,
}

pub fn options() -> OptionParser<List> {
    cli::list_options()
        .map(|options| List { options })
        .to_options()
        .descr("List the documents of the catalogue")
        .footer("Example: plantainlever catalogue list --json")
}

impl List {
    pub fn exec(self) -> eyre::Result<()> {
        let list = self.options.remote.client().documents()?;
        if self.options.print(&list, table)? {
            self.options.remote.shell.note(format_args!("at revision {}", list.revision));
        }
        Ok(())
    }
}

fn table(list: &DocumentList) -> Table {
    let mut table = Table::new(&["NAME", "KIND", "CLASS", "OWNER", "REVISION"]);
    for named in &list.documents {
        table.row(row(named));
    }
    table
}

fn row(named: &NamedDocument) -> Vec<String> {
    let (kind, class, owner) = match &named.document {
        Document::Entry(entry) => ("entry", class_text(entry.class), entry.owner.as_str()),
        Document::Owner(_) => ("owner", "-", "-"),
    };
    let name = named.name.clone();
    vec![name, kind.to_owned(), class.to_owned(), owner.to_owned(), named.revision.to_string()]
}

fn class_text(class: Class) -> &'static str {
    match class {
        Class::LatencyCritical => "latency-critical",
        Class::Batch => "batch",
    }
}
