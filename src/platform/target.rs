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

pub mod http;

use std::fmt::Debug;
use std::time::Duration;

use thiserror::Error;

pub use http::HttpTargets;

/// A request as sent to an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequest {
    /// Ties the answer to the request.
    pub request_id: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// W3C trace context of the hop to the target.
    pub traceparent: String,
}

/// A whole answer that carried the request's id.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why an executor gave no usable answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum TargetError {
    /// No connection could be made or used, so no byte of the request was written.
    #[error("target {address} received nothing: {cause}")]
    NotSent {
        /// Address of the executor.
        address: String,
        /// What happened.
        cause: String,
    },
    /// The request was not written for a reason that says nothing about the executor: it cannot be encoded, or this
    /// process has no connection left.
    #[error("the request for target {address} was not sent: {cause}")]
    Withheld {
        /// Address of the executor.
        address: String,
        /// What happened.
        cause: String,
    },
    /// A whole answer came after the deadline. Its connection has been closed.
    #[error("target {address} answered after the deadline")]
    Late {
        /// Address of the executor.
        address: String,
    },
    /// The executor answered that it did not take the request.
    #[error("target {address} refused the request")]
    Refused {
        /// Address of the executor.
        address: String,
    },
    /// The request may have run.
    #[error("target {address} gave no whole answer: {cause}")]
    NoAnswer {
        /// Address of the executor.
        address: String,
        /// What happened.
        cause: String,
    },
}

/// Bounds of one exchange with an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExchangeBounds {
    /// Longest wait for a new connection.
    pub connect: Duration,
    /// Time until the deadline; an answer after it is [`TargetError::Late`].
    pub total: Duration,
    /// Wait after the deadline, so that the executor's slot is not counted as free while it still runs the request.
    pub late: Duration,
    /// Most connections of this process to the executor, idle ones included.
    pub connections: u32,
}

/// The executors' interface.
pub trait TargetClient: Debug + Send + Sync {
    /// Sends a request once. It is never resent, on this or on another connection.
    ///
    /// # Errors
    ///
    /// The request may have run only after [`TargetError::NoAnswer`] and [`TargetError::Late`].
    fn send(
        &self,
        address: &str,
        req: &TargetRequest,
        bounds: ExchangeBounds,
    ) -> Result<TargetAnswer, TargetError>;

    /// Asks an executor for its report.
    ///
    /// # Errors
    ///
    /// Any [`TargetError`].
    fn health(&self, address: &str, timeout: Duration) -> Result<TargetHealth, TargetError>;

    /// Closes the idle connections to an executor.
    fn forget(&self, address: &str);
}
