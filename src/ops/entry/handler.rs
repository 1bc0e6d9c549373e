//! Dispatches messages of peers to the components that answer them.

use std::sync::Arc;

use crate::ops::dispatch::Dispatcher;
use crate::ops::keys::IdempotencyKeys;
use crate::ops::membership::Heartbeats;
use crate::ops::schedule::DomainScheduler;
use crate::peer::{
    ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat, HeartbeatReply,
    HoldAnswer, HoldQuery, PeerHandler, RecordKey, RecordKeyReply, Relay, RelayReply,
};
use crate::platform::relay;
use crate::platform::table::Table;

/// The components that answer messages of peers.
pub(super) struct EntryHandler {
    pub(super) heartbeats: Arc<Heartbeats>,
    pub(super) dispatcher: Dispatcher,
    pub(super) keys: IdempotencyKeys,
    pub(super) scheduler: DomainScheduler,
    /// Table client without relaying, so that a relayed call is never relayed again.
    pub(super) table: Arc<dyn Table>,
}

impl PeerHandler for EntryHandler {
    fn heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply {
        self.heartbeats.on_heartbeat(msg)
    }

    fn query_hold(&self, msg: &HoldQuery) -> HoldAnswer {
        self.scheduler.on_hold_query(msg)
    }

    fn hand_over(&self, msg: &HandOver) -> HandOverReply {
        self.scheduler.on_hand_over(msg)
    }

    fn record_key(&self, msg: &RecordKey) -> RecordKeyReply {
        self.keys.on_record(msg)
    }

    fn relay(&self, msg: &Relay) -> RelayReply {
        relay::answer(self.table.as_ref(), msg)
    }

    fn forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer {
        self.dispatcher.on_forward(msg)
    }
}
