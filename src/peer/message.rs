//! Messages between entry processes.
//!
//! They are encoded with bincode, which cannot carry self-describing values; JSON values travel as text.
//! Bodies are encoded as byte strings: element by element, eight bodies of 1 MiB delayed a heartbeat by more than 0.7 s in a
//! debug build.

use serde::{Deserialize, Serialize};

use crate::domain::ClaimantClass;

/// Sent to each peer of the same domain once per heartbeat period.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Name of the sending process, unique per start.
    pub from: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Peer address of the sender.
    pub address: String,
    /// True from the start of the sender's planned stop.
    pub stopping: bool,
    /// Free slots of the sender, over all targets.
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
    /// Free slots of the answering process, over all targets.
    pub free_slots: u32,
}

/// Sent by a holder that cannot reach the table: does the addressee claim the hold?
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldQuery {
    /// The domain of the hold.
    pub domain: String,
    /// Epoch of the holder.
    pub epoch: u64,
    /// Name of the process that is expected to answer; another process at the same address must not promise.
    pub addressee: String,
    /// Class of the addressee in the hold's lists.
    pub class: ClaimantClass,
}

/// Answers a [`HoldQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldAnswer {
    /// True if the addressee has no claim at this epoch or a later one, none whose outcome is unknown, and will not claim
    /// for the delay of its class.
    pub promised: bool,
}

/// Passes scheduling to a successor in a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandOver {
    /// The domain of the hold.
    pub domain: String,
    /// Process that gives up.
    pub from: String,
    /// Its epoch.
    pub epoch: u64,
    /// Age of its last confirmation by the table, in milliseconds.
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

/// Records an idempotency key before the dispatch of its request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordKey {
    /// Service of the request.
    pub service: String,
    /// The key.
    pub key: String,
    /// Digest of the request's method, path and body.
    pub digest: String,
    /// Process that dispatches.
    pub holder: String,
    /// True if the request certainly did not run and the record of this holder is to be removed.
    pub release: bool,
}

/// Answers a [`RecordKey`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RecordKeyReply {
    /// Recorded for the asking holder, or removed.
    Recorded,
    /// Already recorded by another holder; nothing changed.
    Taken {
        /// The other holder.
        holder: String,
        /// Digest recorded with it.
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
    /// The peer's call failed.
    Failed {
        /// True if it certainly had no effect.
        no_effect: bool,
        /// What happened.
        cause: String,
    },
}

/// A caller's request that a peer dispatches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedRequest {
    /// Ties the answer to the request.
    pub request_id: String,
    /// The service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// True if the request may be repeated.
    pub idempotent: bool,
    /// W3C trace context of the forwarding span.
    pub traceparent: String,
}

/// What became of a forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ForwardedAnswer {
    /// A target answered.
    Completed {
        /// Ties the answer to the request.
        request_id: String,
        /// HTTP status of the target.
        status: u16,
        /// Headers of the target that are passed on.
        headers: Vec<(String, String)>,
        /// The whole body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// No byte of the request reached a target.
    NotRun {
        /// Why.
        cause: String,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        cause: String,
    },
}
