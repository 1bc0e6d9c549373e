//! `domain`: takes failure domains out of service and brings them back.

mod bring_in;
mod list;
mod out;

use bpaf::{OptionParser, Parser, construct};

#[derive(Debug)]
pub enum Domain {
    List(list::List),
    Out(out::Out),
    In(bring_in::In),
}

pub fn options() -> OptionParser<Domain> {
    let list = list::options().command("list").map(Domain::List);
    let out = out::options().command("out").map(Domain::Out);
    let bring_in = bring_in::options().command("in").map(Domain::In);
    construct!([list, out, bring_in])
        .to_options()
        .descr("Take failure domains out of service and bring them back")
        .footer("Example: plantainlever domain out dc-a --wait")
}

impl Domain {
    pub fn exec(self) -> eyre::Result<()> {
        match self {
            Self::List(command) => command.exec(),
            Self::Out(command) => command.exec(),
            Self::In(command) => command.exec(),
        }
    }
}
