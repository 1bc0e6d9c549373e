//! Answers of the front.

use crate::error::ApiError;
use crate::ops::api::ApiResponse;
use crate::request::Outcome;

/// What a caller receives.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontAnswer {
    /// HTTP status.
    pub status: u16,
    /// What the answer says about the request.
    pub outcome: Outcome,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl FrontAnswer {
    /// A typed error.
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
