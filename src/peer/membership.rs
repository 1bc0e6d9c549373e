//! Decides which processes of the domain share the executors, and the share of the slots that this process has.
//!
//! The rules are a pure state machine: time is an argument and messages are calls. Three rules keep the slots in use by
//! all processes within the limits. A process that knows others uses slots only for `share_lease` after it sent the
//! newest answered heartbeat; without other members, one to itself counts too. A peer drops a silent member only
//! after `member_timeout`, which is longer, and during which the peer itself was not paused. A process that starts or
//! resumes uses no slots before each known process has answered a heartbeat or been silent for `member_timeout`.
//!
//! A heartbeat counts as answered if it was acknowledged or if it showed that the peer has stopped: the connection was
//! refused, or another process answered at the peer's address.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Timeouts of the membership rules.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long slots may be used after the newest answered heartbeat was sent.
    pub share_lease: Duration,
    /// Silence after which a member is dropped.
    pub member_timeout: Duration,
    /// Longest time between two ticks; after a longer one this process suspends dispatch.
    pub pause_limit: Duration,
}

/// The part of the slots and connections that this process may use.
///
/// Each slot belongs to the member with the highest hash of member, executor and slot (rendezvous hashing). Two
/// processes with different lists of members never both own a slot, as long as a joining process uses none before all
/// others have counted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Name of this process.
    pub own: String,
    /// Names of the other members.
    pub others: BTreeSet<String>,
    /// When a member last joined or was lost. Slots gained by the change are used only after a later report of the
    /// executor.
    pub members_changed_at: Instant,
}

impl Share {
    /// The share of the only process of a domain: all slots.
    #[must_use]
    pub fn whole(own: &str, now: Instant) -> Self {
        Self { own: own.to_owned(), others: BTreeSet::new(), members_changed_at: now }
    }

    /// Number of slots that this process owns at an executor with `limit` slots. Those of all members add up to
    /// `limit`.
    #[must_use]
    pub fn slots(&self, limit: u32, executor: &str) -> u32 {
        (0..limit).map(|slot| u32::from(self.owns(executor, slot))).sum()
    }

    /// Number of connections that this process may have to an executor that accepts `limit` connections in total. The
    /// limit is divided as evenly as possible among all `slots` slots of the executor, and this process gets the
    /// connections of the slots that it owns.
    #[must_use]
    pub fn connections(&self, limit: u32, slots: u32, executor: &str) -> u32 {
        let owned = (0..slots).filter(|slot| self.owns(executor, *slot));
        owned.map(|slot| limit / slots + u32::from(slot < limit % slots)).sum()
    }

    fn owns(&self, executor: &str, slot: u32) -> bool {
        // With the highest hash, a joining member takes slots from others and moves none between them. An even division
        // by rank would: five members share 8 slots as 2, 2, 2, 1, 1, and a sixth one moves a slot from one of them to
        // another.
        let own = (weight(&self.own, executor, slot), &self.own);
        self.others.iter().all(|other| (weight(other, executor, slot), other) < own)
    }
}

/// Hash (FNV-1a with a finalizer) that is the same in every process and build.
fn weight(member: &str, executor: &str, slot: u32) -> u64 {
    let bytes = member.bytes().chain([0]).chain(executor.bytes()).chain(slot.to_le_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // FNV-1a gives names that differ only at their end similar high bits.
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// A change that is logged for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The process is now a member.
    Joined(String),
    /// The process is no longer a member.
    Lost(String),
    /// This process was paused; dispatch is suspended until each known process has answered or is found silent.
    Paused,
    /// For `share_lease`, neither a peer nor this process's own peer interface has answered; dispatch is suspended in
    /// the same way.
    Unanswered,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Last message from the peer, heartbeat or acknowledgement, since this process last resumed.
    last_message: Option<Instant>,
    /// True once the peer has answered a heartbeat sent since this process last resumed.
    accounted_for: bool,
    /// When the peer was first known, or when this process last resumed.
    known_since: Option<Instant>,
}

/// Membership as one process sees it.
#[derive(Debug)]
pub struct Membership {
    own: String,
    timeouts: Timeouts,
    peers: BTreeMap<String, Peer>,
    /// Members without this process. Invariant: each is a key of `peers`.
    members: BTreeSet<String>,
    last_tick: Instant,
    /// Start of the process, or end of its last pause.
    resumed_at: Instant,
    /// Sending time of the newest heartbeat that a peer acknowledged.
    acknowledged_at: Option<Instant>,
    /// Sending time of the newest heartbeat that showed that a peer has stopped.
    refused_at: Option<Instant>,
    /// Sending time of the newest acknowledged heartbeat to this process's own address.
    self_acknowledged_at: Option<Instant>,
    /// Sending time of the first answered heartbeat since `resumed_at`, also to the own address. Peers' silence counts
    /// only from then on.
    first_answered_at: Option<Instant>,
    /// True once each known process has answered since `resumed_at` or has been silent for `member_timeout`.
    peers_accounted_for: bool,
    /// True once [`Self::set_known`] was called.
    has_peer_list: bool,
    /// When a member last joined or was lost; initially the start of this process.
    members_changed_at: Instant,
}

impl Membership {
    /// Starts without known peers. No slots may be used before [`Self::set_known`].
    #[must_use]
    pub fn new(own: &str, timeouts: Timeouts, now: Instant) -> Self {
        Self {
            own: own.to_owned(),
            timeouts,
            peers: BTreeMap::new(),
            members: BTreeSet::new(),
            last_tick: now,
            resumed_at: now,
            acknowledged_at: None,
            refused_at: None,
            self_acknowledged_at: None,
            first_answered_at: None,
            peers_accounted_for: false,
            has_peer_list: false,
            members_changed_at: now,
        }
    }

    /// Replaces the list of processes that may be alive. A member that is not in it stays until its timeout.
    pub fn set_known(&mut self, known: &BTreeSet<String>, now: Instant) {
        self.has_peer_list = true;
        self.peers.retain(|name, _| known.contains(name) || self.members.contains(name));
        for name in known.iter().filter(|name| **name != self.own) {
            self.peers.entry(name.clone()).or_default().known_since.get_or_insert(now);
        }
    }

    /// Detects pauses and lost members. Must be called several times in each heartbeat period.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if now.saturating_duration_since(self.last_tick) > self.timeouts.pause_limit {
            self.resume(now);
            changes.push(Change::Paused);
        } else if self.is_unanswered(now) {
            // This process's own peer interface hangs, so the others may have dropped it.
            self.resume(now);
            changes.push(Change::Unanswered);
        }
        self.last_tick = now;
        let timeout = self.timeouts.member_timeout;
        let (first, last) = (self.first_answered_at, self.last_answered_at());
        // A peer's silence is counted only up to the last answered heartbeat: while this process's peer interface
        // hangs, it receives no messages at all.
        let is_silent = |peer: &Peer| {
            let heard = peer.last_message.max(peer.known_since).max(first);
            last.zip(heard)
                .is_some_and(|(last, heard)| last.saturating_duration_since(heard) >= timeout)
        };
        let lost: Vec<String> = self
            .members
            .iter()
            .filter(|name| self.peers.get(*name).is_none_or(is_silent))
            .cloned()
            .collect();
        for name in lost {
            self.members.remove(&name);
            self.members_changed_at = now;
            changes.push(Change::Lost(name));
        }
        if self.has_peer_list && !self.peers_accounted_for {
            self.peers_accounted_for =
                self.peers.values().all(|peer| peer.accounted_for || is_silent(peer));
        }
        changes
    }

    /// Handles a heartbeat from a process of the domain. Must be called before the acknowledgement is sent, because the
    /// sender may use slots once it is counted as a member.
    pub fn on_heartbeat(&mut self, from: &str, now: Instant) -> Option<Change> {
        self.record_message(from, now)
    }

    /// Handles the acknowledgement of a heartbeat that was sent at `sent_at`.
    pub fn on_acknowledged(
        &mut self,
        from: &str,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if sent_at < self.resumed_at {
            return None;
        }
        self.acknowledged_at = self.acknowledged_at.max(Some(sent_at));
        self.first_answered_at.get_or_insert(sent_at);
        let change = self.record_message(from, now);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.accounted_for = true;
        }
        change
    }

    /// Handles the acknowledgement of a heartbeat to the own address. It proves that this process's peer interface
    /// works, so that the silence of others is not caused by it.
    pub fn on_self_acknowledged(&mut self, sent_at: Instant) {
        if sent_at >= self.resumed_at {
            self.self_acknowledged_at = self.self_acknowledged_at.max(Some(sent_at));
            self.first_answered_at.get_or_insert(sent_at);
        }
    }

    /// Handles a heartbeat, sent at `sent_at`, that shows that the peer has stopped: the connection was refused, or
    /// another process answered at the peer's address.
    pub fn on_refused(&mut self, peer: &str, sent_at: Instant) {
        if sent_at < self.resumed_at {
            return;
        }
        self.refused_at = self.refused_at.max(Some(sent_at));
        self.first_answered_at.get_or_insert(sent_at);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.accounted_for = true;
        }
    }

    /// This process's share, or `None` while it may use no slots. Must be called before every dispatch.
    #[must_use]
    pub fn share(&self, now: Instant) -> Option<Share> {
        if now.saturating_duration_since(self.last_tick) > self.timeouts.pause_limit
            || !self.peers_accounted_for
        {
            return None;
        }
        if !self.peers.is_empty() {
            let answered = self.acknowledged_at.max(self.refused_at);
            // Without other members, an answer of the own peer interface is enough. It proves that this interface does
            // not hang, so that the other known processes are really silent.
            let alone = self.self_acknowledged_at.filter(|_| self.members.is_empty());
            let answered = answered.max(alone)?;
            if now.saturating_duration_since(answered) >= self.timeouts.share_lease {
                return None;
            }
        }
        Some(Share {
            own: self.own.clone(),
            others: self.members.clone(),
            members_changed_at: self.members_changed_at,
        })
    }

    /// Members without this process.
    #[must_use]
    pub fn members(&self) -> &BTreeSet<String> {
        &self.members
    }

    fn record_message(&mut self, from: &str, now: Instant) -> Option<Change> {
        if from == self.own {
            return None;
        }
        let peer = self.peers.entry(from.to_owned()).or_default();
        peer.known_since.get_or_insert(now);
        peer.last_message = Some(now);
        let joined = self.members.insert(from.to_owned());
        if joined {
            self.members_changed_at = now;
        }
        joined.then(|| Change::Joined(from.to_owned()))
    }

    /// Sending time of the newest answered heartbeat, also to the own address.
    fn last_answered_at(&self) -> Option<Instant> {
        self.acknowledged_at.max(self.refused_at).max(self.self_acknowledged_at)
    }

    fn is_unanswered(&self, now: Instant) -> bool {
        let last = self.last_answered_at().unwrap_or(self.resumed_at).max(self.resumed_at);
        !self.peers.is_empty() && now.saturating_duration_since(last) >= self.timeouts.share_lease
    }

    /// Starts again from no answers, because messages from before the pause say nothing about what happened during it.
    fn resume(&mut self, now: Instant) {
        self.resumed_at = now;
        self.peers_accounted_for = false;
        self.acknowledged_at = None;
        self.refused_at = None;
        self.self_acknowledged_at = None;
        self.first_answered_at = None;
        for peer in self.peers.values_mut() {
            *peer = Peer { last_message: None, accounted_for: false, known_since: Some(now) };
        }
    }
}
