//! The executors' interface.
//!
//! Protocol (HTTP/1.1): a caller's request is sent with its method, path, query, body and content type, with the headers
//! [`REQUEST_ID`] and `traceparent` added. The executor repeats [`REQUEST_ID`] in its answer. An executor that does
//! not take a request answers 503 with `Plantainlever-Outcome: not-run`. `GET /health` answers a [`TargetHealth`].

use serde::{Deserialize, Serialize};

/// Header that ties an answer to its request.
pub const REQUEST_ID: &str = "Plantainlever-Request-Id";

/// An executor's own report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetHealth {
    /// Requests that occupy a slot now, of all entry processes.
    pub in_flight: u32,
    /// Total slots.
    pub slots: u32,
    /// True once the executor finishes what it has and refuses anything new.
    pub leaving: bool,
}
