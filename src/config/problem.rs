//! What can be wrong with a settings file.

use std::fmt;

use thiserror::Error;

/// One error of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Name of the file as it was given.
    pub file: String,
    /// Line, from 1; 0 if the file could not be read.
    pub line: u64,
    /// Path of the setting; `-` for the file as a whole.
    pub field: String,
    /// What is wrong.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.field, self.kind)
    }
}

/// What is wrong with a setting, what was found and what is allowed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProblemKind {
    /// The file cannot be read.
    #[error("the file cannot be read ({cause}); check its path and permissions")]
    Unreadable {
        /// The system's message.
        cause: String,
    },
    /// The file is not YAML.
    #[error("the file is not valid YAML: {cause}")]
    Syntax {
        /// The parser's message.
        cause: String,
    },
    /// No such setting.
    #[error("no such setting; allowed here: {allowed}")]
    UnknownKey {
        /// The keys that may stand here.
        allowed: String,
    },
    /// A setting without which nothing can start is missing.
    #[error("missing; {expected} is required")]
    Missing {
        /// What is expected.
        expected: String,
    },
    /// The value has another type.
    #[error("found {found}; allowed: {expected}")]
    WrongType {
        /// What was found.
        found: String,
        /// What is expected.
        expected: String,
    },
    /// The number is too small or too large.
    #[error("found {found}; allowed: {min} to {max} {unit}")]
    OutOfRange {
        /// The number found.
        found: i128,
        /// Smallest allowed.
        min: u64,
        /// Largest allowed.
        max: u64,
        /// Unit of the setting.
        unit: &'static str,
    },
    /// The same item stands twice in a list.
    #[error("found {found:?} twice; allowed: each name once")]
    Repeated {
        /// The item.
        found: String,
    },
    /// The value contradicts another setting.
    #[error("found {found}; allowed: {allowed}, because {reason}")]
    Contradiction {
        /// The value found.
        found: String,
        /// What the other setting allows.
        allowed: String,
        /// Why.
        reason: &'static str,
    },
}

/// All errors of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The errors, in file order. Never empty.
    pub problems: Vec<Problem>,
}

impl std::error::Error for SettingsError {}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
