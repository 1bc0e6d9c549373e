//! Command-line entry point: parses, dispatches, and turns the result into an exit code.

mod cli;
mod commands;
mod shell;
mod table;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Exit code for refused or failed commands.
const FAILED: u8 = 1;

/// Exit code for usage and settings errors.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    match cli::options().run_inner(Args::current_args()) {
        Ok(command) => run(command),
        Err(failure) => {
            failure.print_message(table::WIDTH);
            match failure {
                ParseFailure::Stderr(_) => ExitCode::from(USAGE),
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
            ExitCode::from(if is_settings_error(&report) { USAGE } else { FAILED })
        }
    }
}

fn is_settings_error(report: &eyre::Report) -> bool {
    use plantainlever::adapter::process::ProcessError;
    let is_of_platform = matches!(report.downcast_ref(), Some(ProcessError::Settings(_)));
    is_of_platform || report.downcast_ref::<plantainlever::config::SettingsError>().is_some()
}
