//! Messages between entry processes, and the node that sends and answers them.
//!
//! tarpc needs tokio, so the node runs a current-thread runtime in a thread of its own. The rest of the program is
//! synchronous: callers block on [`Peers`]. The handler methods that may block run in a thread pool of the node, so
//! that heartbeats never wait behind a forwarded request.

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
        /// Timeout of the call.
        waited: Duration,
        /// The transport's message.
        cause: String,
    },
}

/// Calls to peers. Each blocks for at most `timeout`, or 500 ms longer if it has to connect first.
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

    /// Asks a peer for the promise not to claim a hold for a while.
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

    /// Hands the hold of a domain over to a peer of the same domain.
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

    /// Asks a peer to make a call to the table service.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NoAnswer`] the call may have taken effect.
    fn relay(&self, address: &str, msg: Relay, timeout: Duration) -> Result<RelayReply, PeerError>;

    /// Asks a peer to dispatch a caller's request to a target of its domain.
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
    /// Must not block.
    fn heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply;

    /// Must not block.
    fn query_hold(&self, msg: &HoldQuery) -> HoldAnswer;

    /// Must not block.
    fn hand_over(&self, msg: &HandOver) -> HandOverReply;

    /// Must not block.
    fn record_key(&self, msg: &RecordKey) -> RecordKeyReply;

    /// May block on the table service.
    fn relay(&self, msg: &Relay) -> RelayReply;

    /// May block on a target.
    fn forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer;
}
