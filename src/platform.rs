//! Traits and HTTP clients of the services that a deployment provides: the table, the object store, the VM list, the
//! workers and the targets.
//!
//! The rest of the program depends only on the traits, so that tests can replace a service by one that is down or loses
//! answers, and the HTTP clients stay small. `local` has in-memory stand-ins of the services. The message types of the
//! traits are also the JSON bodies on the wire.

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

/// Why a call to a service or to a worker gave no usable answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlatformError {
    /// The connection could not be made, so the call had no effect.
    #[error("{service} at {address} cannot be reached: {cause}")]
    Unreachable {
        /// Name of the service, for messages.
        service: &'static str,
        /// Address that was called, usually `IP:PORT`.
        address: String,
        /// The client library's message.
        cause: String,
    },
    /// No usable answer came, so the request may have taken effect: a timeout, a broken connection, or a status other
    /// than 2xx and 4xx.
    #[error("{service} gave no answer within {waited:?}: {cause}")]
    NoAnswer {
        /// Name of the service, for messages.
        service: &'static str,
        /// How long the caller waited.
        waited: Duration,
        /// The client library's message.
        cause: String,
    },
    /// The service refused the request; it had no effect.
    #[error("{service} refused the request with status {status}: {message}")]
    Refused {
        /// Name of the service, for messages.
        service: &'static str,
        /// HTTP status; 0 if the request could not be encoded.
        status: u16,
        /// The service's message, cut off if it is long.
        message: String,
    },
    /// The answer does not follow the protocol.
    #[error("{service} sent an answer that cannot be decoded: {cause}")]
    Malformed {
        /// Name of the service, for messages.
        service: &'static str,
        /// The decoder's message.
        cause: String,
    },
}

impl PlatformError {
    /// True if the call certainly had no effect, so that it is safe to repeat.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Refused { .. })
    }
}
