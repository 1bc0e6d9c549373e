//! Problems of a settings file.

use std::fmt;

use thiserror::Error;

/// A problem of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Path of the file as it was given.
    pub file: String,
    /// Line, counted from 1; 0 if the file could not be read.
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

/// Kind of a problem. The text contains what was found and what is allowed, as far as they apply.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProblemKind {
    /// The file cannot be read.
    #[error("the file cannot be read ({cause}); check its path and permissions")]
    Unreadable {
        /// Message of the operating system.
        cause: String,
    },
    /// The file is not YAML.
    #[error("the file is not valid YAML: {cause}")]
    Syntax {
        /// Message of the YAML parser.
        cause: String,
    },
    /// There is no setting with this key.
    #[error("no such setting; allowed here: {allowed}")]
    UnknownKey {
        /// The keys of this section.
        allowed: String,
    },
    /// A required setting is missing.
    #[error("missing; {expected} is required")]
    Missing {
        /// Description of the allowed values.
        expected: String,
    },
    /// The value has the wrong type or form, or is not one of the allowed ones.
    #[error("found {found}; allowed: {expected}")]
    InvalidValue {
        /// Description of the value.
        found: String,
        /// Description of the allowed values.
        expected: String,
    },
    /// The number is out of range.
    #[error("found {found}; allowed: {min} to {max} {unit}")]
    OutOfRange {
        /// The number in the file.
        found: i128,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Unit of the setting.
        unit: &'static str,
    },
    /// An item occurs twice in a list.
    #[error("found {found:?} twice; allowed: each name once")]
    Repeated {
        /// The repeated item.
        found: String,
    },
    /// The value contradicts another setting.
    #[error("found {found}; allowed: {allowed}, because {reason}")]
    Contradiction {
        /// The value in the file.
        found: String,
        /// Values that the other setting allows.
        allowed: String,
        /// Reason for the rule.
        reason: &'static str,
    },
}

/// All problems of a settings file, printed one per line.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// Never empty. Sorted by line, except for the settings of `dev`.
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
