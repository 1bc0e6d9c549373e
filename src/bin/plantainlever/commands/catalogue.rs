//! `catalogue`: reads and edits the catalogue.

mod apply;
mod get;
mod history;
mod list;

use bpaf::{OptionParser, Parser, construct};

#[derive(Debug)]
pub enum Catalogue {
    List(list::List),
    Get(get::Get),
    Apply(apply::Apply),
    History(history::History),
}

pub fn options() -> OptionParser<Catalogue> {
    let list = list::options().command("list").map(Catalogue::List);
    let get = get::options().command("get").map(Catalogue::Get);
    let apply = apply::options().command("apply").map(Catalogue::Apply);
    let history = history::options().command("history").map(Catalogue::History);
    construct!([list, get, apply, history])
        .to_options()
        .descr("Read and edit the catalogue")
        .footer("Example: plantainlever catalogue list")
}

impl Catalogue {
    pub fn exec(self) -> eyre::Result<()> {
        match self {
            Self::List(command) => command.exec(),
            Self::Get(command) => command.exec(),
            Self::Apply(command) => command.exec(),
            Self::History(command) => command.exec(),
        }
    }
}
