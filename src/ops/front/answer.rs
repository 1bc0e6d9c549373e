//! Answers of the HTTP interface, before they are encoded.

use crate::error::ApiError;
use crate::ops::api::ApiResponse;
use crate::request::Outcome;

/// The HTTP answer to a caller. [`server`](super::server) adds the outcome header.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontAnswer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request has run; sent in the outcome header.
    pub outcome: Outcome,
    /// Headers besides the outcome header.
    pub headers: Vec<(String, String)>,
    /// The whole body; empty if the answer has none.
    pub body: Vec<u8>,
}

impl FrontAnswer {
    /// An error as a JSON body with code, message and hint.
    #[must_use]
    pub fn error(error: &ApiError, outcome: Outcome) -> Self {
        Self::json(&ApiResponse::error(error), outcome)
    }

    /// An answer with a JSON body.
    #[must_use]
    pub fn json(response: &ApiResponse, outcome: Outcome) -> Self {
        Self {
            status: response.status,
            outcome,
            headers: vec![("Content-Type".to_owned(), "application/json".to_owned())],
            body: response.body.clone(),
        }
    }
}
