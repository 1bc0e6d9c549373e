//! The interface of an executor, the process on a target that serves requests.
//!
//! Protocol (HTTP/1.1): a caller's request is sent with its method, path, query, body and content type, with the
//! headers [`REQUEST_ID`] and `traceparent` added. The executor repeats [`REQUEST_ID`] in its answer. An executor that
//! refuses a request answers 503 with `Plantainlever-Outcome: not-run`. `GET /health` answers a [`TargetHealth`].

use serde::{Deserialize, Serialize};

/// Header with the request id, by which an answer is matched to its request.
pub const REQUEST_ID: &str = "Plantainlever-Request-Id";

/// An executor's report of its load, the body of `GET /health`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetHealth {
    /// Requests of all entry processes that occupy a slot now.
    pub in_flight: u32,
    /// Number of requests that the executor runs at the same time.
    pub slots: u32,
    /// True once the executor refuses new requests and only finishes those that it runs.
    pub leaving: bool,
}

pub mod http;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

pub use http::HttpTargets;

/// A request to an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequest {
    /// Value of [`REQUEST_ID`].
    pub request_id: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
    /// The caller's headers that are forwarded to the executor.
    pub headers: Vec<(String, String)>,
    /// Sent with its length; empty for a request without a body.
    pub body: Bytes,
    /// W3C trace context of the call to the target.
    pub traceparent: String,
}

/// A complete answer with the request's id.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// The executor's headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// Complete; its length is the one announced.
    pub body: Vec<u8>,
}

/// Why an executor gave no usable answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum TargetError {
    /// No connection could be made or used, so no byte of the request was written.
    #[error("target {address} received nothing: {cause}")]
    NotSent {
        /// `IP:PORT` of the executor.
        address: String,
        /// Why, as an error message.
        cause: String,
    },
    /// The request was not sent for a reason on this side: it cannot be encoded, or all connections that this
    /// process may have to the executor are in use. The executor may be healthy.
    #[error("the request for target {address} was not sent: {cause}")]
    Withheld {
        /// `IP:PORT` of the executor.
        address: String,
        /// Why, as an error message.
        cause: String,
    },
    /// A complete answer came after the deadline. Its connection has been closed.
    #[error("target {address} answered after the deadline")]
    Late {
        /// `IP:PORT` of the executor.
        address: String,
    },
    /// The executor answered that it did not run the request.
    #[error("target {address} refused the request")]
    Refused {
        /// `IP:PORT` of the executor.
        address: String,
    },
    /// The request may have run.
    #[error("target {address} gave no complete answer: {cause}")]
    NoAnswer {
        /// `IP:PORT` of the executor.
        address: String,
        /// Why, as an error message.
        cause: String,
    },
}

/// Limits of one exchange with an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExchangeBounds {
    /// Timeout of a new connection.
    pub connect: Duration,
    /// Time until the deadline; an answer after it is [`TargetError::Late`].
    pub total: Duration,
    /// How long to wait for an answer after the deadline. The wait keeps the slot occupied in this process while the
    /// executor may still run the request.
    pub late: Duration,
    /// Maximum number of connections of this process to the executor, idle ones included.
    pub connections: u32,
}

/// Client of all executors; each call names the executor's address.
pub trait TargetClient: Debug + Send + Sync {
    /// Sends a request once. It is never sent again, neither on the same connection nor on another one.
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

    /// Returns an executor's report of its load.
    ///
    /// # Errors
    ///
    /// [`TargetError::NotSent`] or [`TargetError::NoAnswer`].
    fn health(&self, address: &str, timeout: Duration) -> Result<TargetHealth, TargetError>;

    /// Closes the idle connections to an executor.
    fn forget(&self, address: &str);
}
