//! Callers' requests: their outcome, their life cycle and their idempotency keys.

pub mod key;
pub mod lifecycle;
pub mod recorders;

use std::fmt;

/// Header that carries the [`Outcome`].
pub const OUTCOME_HEADER: &str = "Plantainlever-Outcome";

/// Whether a request has run, as far as the answer tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request has run: a target answered it, or this process did if it was an API call or a health check.
    Completed,
    /// No byte of the request can have reached a target, or the target itself states that the request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the [`OUTCOME_HEADER`] header.
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
