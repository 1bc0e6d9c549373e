//! Loads a settings file.

use std::path::Path;

use super::Settings;
use super::check::Findings;
use super::problem::{Problem, ProblemKind, SettingsError};
use super::rules;
use super::tree::Node;

/// Reads and checks a settings file as a whole.
///
/// # Errors
///
/// All problems of the file; if it is not valid YAML, only the first syntax error.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let kind = ProblemKind::Unreadable { cause: error.to_string() };
            Err(single_problem(&file, 0, kind))
        }
    }
}

/// Parses and checks the text of a settings file. `file` is the file name used in error messages.
///
/// # Errors
///
/// All problems of the file; if it is not valid YAML, only the first syntax error.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let root: Node = serde_saphyr::from_str(text).map_err(|error| syntax_error(file, &error))?;
    let mut findings = Findings::check(file, &root);
    rules::check(&mut findings);
    let problems = findings.into_problems();
    if !problems.is_empty() {
        return Err(SettingsError { problems });
    }
    // The tree has passed all checks, so this fails only if `FIELDS` and `Settings` disagree.
    serde_saphyr::from_str(text).map_err(|error| syntax_error(file, &error))
}

fn syntax_error(file: &str, error: &serde_saphyr::Error) -> SettingsError {
    let line = error.location().map_or(1, |location| location.line());
    let text = error.without_snippet().to_string();
    let cause = text.lines().next().unwrap_or_default().to_owned();
    single_problem(file, line, ProblemKind::Syntax { cause })
}

fn single_problem(file: &str, line: u64, kind: ProblemKind) -> SettingsError {
    let problem = Problem { file: file.to_owned(), line, field: "-".to_owned(), kind };
    SettingsError { problems: vec![problem] }
}
