//! Messages between entry processes.
//!
//! They are encoded with bincode, which supports no self-describing values, so JSON values are sent as text. Bodies are
//! encoded as byte strings: encoded element by element, eight bodies of 1 MiB delayed a heartbeat by more than 0.7 s in
//! a debug build.

use serde::{Deserialize, Serialize};

use crate::domain::ClaimantClass;

/// Sent to each peer of the same domain once per heartbeat period.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the sending process, unique per start.
    pub from: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Configured `peer_listen` address of the sender. Receivers do not read it.
    pub address: String,
    /// True from the start of the sender's planned stop.
    pub stopping: bool,
    /// Free slots among those that the sender may use, over all executors of its domain.
    pub free_slots: u32,
}

/// Acknowledges a heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Name of the answering process, unique per start.
    pub from: String,
    /// Failure domain of the answering process.
    pub domain: String,
    /// True from the start of its planned stop.
    pub stopping: bool,
    /// Free slots among those that the answering process may use, over all executors of its domain.
    pub free_slots: u32,
}

/// Asks for the promise not to claim a hold for a while. Sent by a holder that cannot reach the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldQuery {
    /// The domain of the hold.
    pub domain: String,
    /// Epoch of the holder.
    pub epoch: u64,
    /// Name of the process that is asked; another process at the same address must not promise.
    pub addressee: String,
    /// Class of the addressee in the hold's lists.
    pub class: ClaimantClass,
}

/// Answers a [`HoldQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldAnswer {
    /// True if the addressee has no claim at this epoch or a later one and no claim in doubt, and will make no claim
    /// for the delay of its class.
    pub promised: bool,
}

/// Hands the hold of a domain over to the successor in a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandOver {
    /// The domain of the hold.
    pub domain: String,
    /// Process that gives up the hold.
    pub from: String,
    /// Epoch of the hold that is given up.
    pub epoch: u64,
    /// Time since the table last confirmed the hold, in milliseconds.
    pub confirmed_age_ms: u64,
    /// The hold row as JSON.
    pub row: String,
    /// The rows of the domain's tasks as a JSON array, so that the successor can go on without the table.
    pub tasks: String,
}

/// Answers a [`HandOver`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandOverReply {
    /// True if the addressee now schedules the domain.
    pub accepted: bool,
}

/// Records an idempotency key before the dispatch of its request, or removes the record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordKey {
    /// Service of the request.
    pub service: String,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request's method, path and body.
    pub digest: String,
    /// Process that dispatches the request.
    pub holder: String,
    /// True to remove the record of this holder, because the request certainly did not run.
    pub release: bool,
}

/// Answers a [`RecordKey`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RecordKeyReply {
    /// The key is recorded for the asking holder. Also the answer to every release, even of a key without a record.
    Recorded,
    /// The key is already recorded for another holder or another request, or the store is full; nothing changed.
    Taken {
        /// The recorded holder; empty if the store is full.
        holder: String,
        /// Digest of the recorded request; empty if the store is full.
        digest: String,
    },
}

/// A call to the table service on behalf of a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Relay {
    /// A `ReadRequest` as JSON.
    Read(String),
    /// A `Transaction` as JSON.
    Commit(String),
    /// An `OperationQuery` as JSON.
    Operation(String),
}

/// Answers a [`Relay`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayReply {
    /// The table's answer as JSON.
    Answer(String),
    /// The peer's call failed or was not made.
    Failed {
        /// True if the call certainly had no effect.
        no_effect: bool,
        /// The peer's error message.
        cause: String,
    },
}

/// A caller's request that the peer is asked to dispatch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedRequest {
    /// Unique ID, which the answer repeats.
    pub request_id: String,
    /// Name of the service's catalogue entry.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are passed on to the target.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Time that the peer has for the answer, in milliseconds.
    pub remaining_ms: u64,
    /// True if the request may be sent again although an earlier attempt may have run.
    pub idempotent: bool,
    /// W3C trace context of the forwarding span.
    pub traceparent: String,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ForwardedAnswer {
    /// A target answered.
    Completed {
        /// ID of the request that is answered.
        request_id: String,
        /// HTTP status of the target.
        status: u16,
        /// Headers of the target that are passed on.
        headers: Vec<(String, String)>,
        /// The whole body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// No byte of the request reached a target, or the target states that the request did not run.
    NotRun {
        /// Why the request did not run.
        cause: String,
    },
    /// The request may have run.
    Unknown {
        /// Why no answer is known.
        cause: String,
    },
}
