//! Parses the command line, runs the command and sets the exit code.

mod cli;
mod commands;
mod shell;
mod table;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Exit code for refused or failed commands.
const EXIT_FAILURE: u8 = 1;

/// Exit code for usage and settings errors.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match cli::options().run_inner(Args::current_args()) {
        Ok(command) => run(command),
        Err(failure) => {
            failure.print_message(table::MAX_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            }
        }
    }
}

fn run(command: cli::Command) -> ExitCode {
    match command.exec() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            shell::print_error(&report);
            ExitCode::from(if is_settings_error(&report) { EXIT_USAGE } else { EXIT_FAILURE })
        }
    }
}

fn is_settings_error(report: &eyre::Report) -> bool {
    use plantainlever::adapter::process::ProcessError;
    let is_node_settings_error = matches!(report.downcast_ref(), Some(ProcessError::Settings(_)));
    is_node_settings_error
        || report.downcast_ref::<plantainlever::config::SettingsError>().is_some()
}
