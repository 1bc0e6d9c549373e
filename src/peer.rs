//! Messages between entry processes, and the node that sends and answers them.
//!
//! tarpc needs tokio, so one current-thread runtime lives in the node's thread. The rest of the program stays
//! synchronous: callers block on [`Peers`], and the handler's slow methods run on the node's own worker threads so that
//! heartbeats are never delayed behind a forwarded request.

pub mod directory;
pub mod membership;
pub mod message;
pub mod node;

use std::fmt::Debug;
use std::time::Duration;

use thiserror::Error;

pub use directory::{Directory, Member};
pub use message::{
    ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat, HeartbeatReply,
    HoldAnswer, HoldQuery, RecordKey, RecordKeyReply, Relay, RelayReply,
};
pub use node::{PeerNode, PeerNodeError};

/// Why a peer gave no answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PeerError {
    /// No connection could be made; the message was not sent.
    #[error("peer {address} cannot be reached: {cause}")]
    Unreachable {
        /// Address of the peer.
        address: String,
        /// The transport's message.
        cause: String,
    },
    /// The message may have been delivered.
    #[error("peer {address} gave no answer within {waited:?}: {cause}")]
    NoAnswer {
        /// Address of the peer.
        address: String,
        /// How long the caller waited at most.
        waited: Duration,
        /// The transport's message.
        cause: String,
    },
}

/// Calls to peers. Each blocks for at most `timeout`.
pub trait Peers: Debug + Send + Sync {
    /// Tells a peer of the same domain that this process is alive.
    ///
    /// # Errors
    ///
    /// Any [`PeerError`].
    fn heartbeat(
        &self,
        address: &str,
        msg: Heartbeat,
        timeout: Duration,
    ) -> Result<HeartbeatReply, PeerError>;

    /// Asks whether a peer claims a hold.
    ///
    /// # Errors
    ///
    /// Any [`PeerError`].
    fn query_hold(
        &self,
        address: &str,
        msg: HoldQuery,
        timeout: Duration,
    ) -> Result<HoldAnswer, PeerError>;

    /// Passes scheduling to a peer of the same domain.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NoAnswer`] the peer may have taken over.
    fn hand_over(
        &self,
        address: &str,
        msg: HandOver,
        timeout: Duration,
    ) -> Result<HandOverReply, PeerError>;

    /// Records an idempotency key at a peer before the dispatch.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NoAnswer`] the key may be recorded.
    fn record_key(
        &self,
        address: &str,
        msg: RecordKey,
        timeout: Duration,
    ) -> Result<RecordKeyReply, PeerError>;

    /// Has a peer pass a call to the table service.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NoAnswer`] the call may have taken effect.
    fn relay(&self, address: &str, msg: Relay, timeout: Duration) -> Result<RelayReply, PeerError>;

    /// Has a peer dispatch a caller's request to a target of its domain.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NoAnswer`] the request may have run.
    fn forward(
        &self,
        address: &str,
        msg: ForwardedRequest,
        timeout: Duration,
    ) -> Result<ForwardedAnswer, PeerError>;
}

/// Answers messages of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers at once.
    fn heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply;

    /// Answers at once.
    fn query_hold(&self, msg: &HoldQuery) -> HoldAnswer;

    /// Answers at once.
    fn hand_over(&self, msg: &HandOver) -> HandOverReply;

    /// Answers at once.
    fn record_key(&self, msg: &RecordKey) -> RecordKeyReply;

    /// May block on the table service.
    fn relay(&self, msg: &Relay) -> RelayReply;

    /// May block on a target.
    fn forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer;
}
