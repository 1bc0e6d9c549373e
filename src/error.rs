//! Errors that a caller or operator sees.
//!
//! Each has a fixed code, an HTTP status, a message that says what was found, and a hint that says what to do. The body
//! is `{"error":{"code","message","hint"}}`.

use serde::Serialize;

/// An error as sent over HTTP.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ApiError {
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// Fixed code, for programs.
    pub code: &'static str,
    /// What was found.
    pub message: String,
    /// What to do.
    pub hint: String,
    /// Current revision, after a lost edit race.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// The body of an error answer.
#[derive(Debug, Serialize)]
pub struct ApiErrorBody<'a> {
    /// The error.
    pub error: &'a ApiError,
}

/// Errors that map to an [`ApiError`].
pub trait ToApiError {
    /// The form that callers see.
    fn to_api_error(&self) -> ApiError;
}

impl ApiError {
    /// Creates an error.
    #[must_use]
    pub fn new(
        status: u16,
        code: &'static str,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self { status, code, message: message.into(), hint: hint.into(), revision: None }
    }

    /// Adds the current revision.
    #[must_use]
    pub fn with_revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }
}
