//! Callers' requests: their outcome and their life cycle.

pub mod key;
pub mod lifecycle;
pub mod recorders;

use std::fmt;

/// Header that carries the [`Outcome`].
pub const OUTCOME: &str = "Plantainlever-Outcome";

/// What the answer says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A target answered.
    Completed,
    /// No byte of the request can have reached a target, or the target itself says that it did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The name on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
