//! Errors of the HTTP API.
//!
//! Each has an HTTP status, a stable code for programs, a message that says what is wrong, and a hint that says what to
//! do about it. The body is `{"error":{"code","message","hint"}}`.

use serde::Serialize;

/// An error as sent over HTTP.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ApiError {
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// Stable code, for programs.
    pub code: &'static str,
    /// What is wrong, for people.
    pub message: String,
    /// What to do about it, for people.
    pub hint: String,
    /// Current revision of the resource, if the edit was based on another one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// Body of an error response.
#[derive(Debug, Serialize)]
pub struct ApiErrorBody<'a> {
    /// Content of the body's only field.
    pub error: &'a ApiError,
}

/// Errors that map to an [`ApiError`].
pub trait ToApiError {
    /// Converts the error to the form that is sent to callers.
    fn to_api_error(&self) -> ApiError;
}

impl ApiError {
    /// Creates an error without a revision.
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
