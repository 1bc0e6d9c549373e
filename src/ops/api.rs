//! HTTP API below `/v1` for operators and callers, except requests to services.
//!
//! Each resource has a module whose handlers take an [`ApiRequest`], so that they don't depend on the HTTP library.

pub mod catalogue;
pub mod domains;
mod edit;
pub mod status;
pub mod tasks;

use serde::Serialize;

use crate::error::{ApiError, ApiErrorBody};

/// A request below `/v1`, independent of the HTTP library.
#[derive(Debug)]
pub struct ApiRequest<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path segments after `/v1`.
    pub segments: Vec<&'a str>,
    /// Query without the question mark.
    pub query: &'a str,
    /// Headers in the order received.
    pub headers: &'a [(String, String)],
    /// Body as received, not decoded yet.
    pub body: &'a [u8],
}

impl ApiRequest<'_> {
    /// Returns the value of the first header with this name, ignoring case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A response with a JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// Creates a response with `value` as its JSON body, or a 500 if the value cannot be encoded.
    #[must_use]
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self { status, body },
            Err(error) => Self::error(&ApiError::new(
                500,
                "encoding-failed",
                format!("the answer cannot be encoded: {error}"),
                "report this as a defect",
            )),
        }
    }

    /// Creates the response that reports an error.
    #[must_use]
    pub fn error(error: &ApiError) -> Self {
        // The error type holds only text and numbers, which always encode.
        let body = serde_json::to_vec(&ApiErrorBody { error }).unwrap_or_default();
        Self { status: error.status, body }
    }
}
