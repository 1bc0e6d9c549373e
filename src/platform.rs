//! What the platform provides, as traits, and the messages that cross them.
//!
//! The rest of the program sees only these traits, so a rule can be tested against a stand-in that loses an answer or
//! is down, and the HTTP clients stay small. The message types are also the JSON bodies on the wire.

pub mod group_commit;
pub mod http;
pub mod relay;

pub mod objects;
pub mod table;
pub mod target;
pub mod vms;
pub mod worker;

use std::time::Duration;

use thiserror::Error;

/// Why a call to the platform, a worker or a target's control interface gave no answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// The connection could not be made, so the call had no effect.
    #[error("{service} at {address} cannot be reached: {cause}")]
    Unreachable {
        /// Which service was called.
        service: &'static str,
        /// Its address.
        address: String,
        /// The client library's message.
        cause: String,
    },
    /// The request may have taken effect, but no answer came.
    #[error("{service} gave no answer within {waited:?}: {cause}")]
    NoAnswer {
        /// Which service was called.
        service: &'static str,
        /// How long the caller waited.
        waited: Duration,
        /// The client library's message.
        cause: String,
    },
    /// The service refused the request; it had no effect.
    #[error("{service} refused the request with status {status}: {message}")]
    Refused {
        /// Which service was called.
        service: &'static str,
        /// HTTP status.
        status: u16,
        /// The service's message.
        message: String,
    },
    /// The answer does not follow the protocol.
    #[error("{service} sent an answer that cannot be decoded: {cause}")]
    Malformed {
        /// Which service was called.
        service: &'static str,
        /// The codec's message.
        cause: String,
    },
}

impl PlatformError {
    /// True if the call certainly had no effect, so that it can be repeated without care.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Refused { .. })
    }
}
