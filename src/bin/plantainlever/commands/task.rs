//! `task`: submits, lists, shows and cancels tasks.

mod cancel;
mod list;
mod show;
mod submit;

use bpaf::{OptionParser, Parser, construct};

#[derive(Debug)]
pub enum Task {
    Submit(submit::Submit),
    List(list::List),
    Show(show::Show),
    Cancel(cancel::Cancel),
}

pub fn options() -> OptionParser<Task> {
    let submit = submit::options().command("submit").map(Task::Submit);
    let list = list::options().command("list").map(Task::List);
    let show = show::options().command("show").map(Task::Show);
    let cancel = cancel::options().command("cancel").map(Task::Cancel);
    construct!([submit, list, show, cancel])
        .to_options()
        .descr("Submit, list, show and cancel tasks")
        .footer("Example: plantainlever task submit count --args '{\"run_ms\":1000}'")
}

impl Task {
    pub fn exec(self) -> eyre::Result<()> {
        match self {
            Self::Submit(command) => command.exec(),
            Self::List(command) => command.exec(),
            Self::Show(command) => command.exec(),
            Self::Cancel(command) => command.exec(),
        }
    }
}
