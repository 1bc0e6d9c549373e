//! Output of all commands.
//!
//! Results go to standard output, so that they can be piped; progress and errors go to standard error.

use std::fmt;
use std::io::{self, Write};

use plantainlever::config::SettingsError;
use serde::Serialize;

use crate::table::{MAX_WIDTH, Table};

const INDENT: &str = "    ";

/// Amount of output, in increasing order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verbosity {
    /// Results and errors.
    Quiet,
    /// Also progress and notes.
    Normal,
    /// Also each step.
    Verbose,
}

/// Prints the output of a command at its verbosity.
#[derive(Clone, Debug)]
pub struct Shell {
    verbosity: Verbosity,
}

impl Shell {
    pub fn new(verbosity: Verbosity) -> Self {
        Self { verbosity }
    }

    /// True if each step is printed.
    pub fn is_verbose(&self) -> bool {
        self.verbosity >= Verbosity::Verbose
    }

    /// Prints a line of the result.
    pub fn result(&self, text: fmt::Arguments<'_>) -> io::Result<()> {
        writeln!(io::stdout().lock(), "{text}")
    }

    /// Prints the result as JSON.
    pub fn json(&self, value: &impl Serialize) -> io::Result<()> {
        let mut out = io::stdout().lock();
        serde_json::to_writer_pretty(&mut out, value)?;
        writeln!(out)
    }

    /// Prints a table.
    pub fn table(&self, table: &Table) -> io::Result<()> {
        write!(io::stdout().lock(), "{table}")
    }

    /// Prints a text below a list item, indented and wrapped at spaces.
    pub fn explanation(&self, text: &str) -> io::Result<()> {
        let mut line = INDENT.to_owned();
        for word in text.split_whitespace() {
            if line.len() > INDENT.len()
                && line.chars().count() + 1 + word.chars().count() > MAX_WIDTH
            {
                self.result(format_args!("{line}"))?;
                line = INDENT.to_owned();
            }
            if line.len() > INDENT.len() {
                line.push(' ');
            }
            line.push_str(word);
        }
        self.result(format_args!("{line}"))
    }

    /// Prints progress or a note to standard error, unless quiet.
    pub fn note(&self, text: fmt::Arguments<'_>) {
        self.to_stderr(Verbosity::Normal, text);
    }

    /// Prints a step to standard error, if verbose.
    pub fn detail(&self, text: fmt::Arguments<'_>) {
        self.to_stderr(Verbosity::Verbose, text);
    }

    fn to_stderr(&self, min_verbosity: Verbosity, text: fmt::Arguments<'_>) {
        if self.verbosity >= min_verbosity {
            // The command continues even if standard error is closed.
            let _ = writeln!(io::stderr().lock(), "{text}");
        }
    }
}

/// Prints an error with its causes.
pub fn print_error(report: &eyre::Report) {
    let mut err = io::stderr().lock();
    if let Some(settings) = report.downcast_ref::<SettingsError>() {
        // Each line begins with FILE:LINE, which editors and scripts parse, so there is no "error:" before it.
        let _ = writeln!(err, "{settings}");
        return;
    }
    let mut causes = report.chain();
    if let Some(error) = causes.next() {
        // A failure to write to standard error cannot be reported.
        let _ = writeln!(err, "error: {error}");
    }
    for cause in causes {
        let _ = writeln!(err, "  cause: {cause}");
    }
}
