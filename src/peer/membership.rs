//! Which processes of the domain share the executors, and the own part of the slots.
//!
//! The rules are a pure state machine: time is an argument and messages are calls. Three facts keep the sum of the
//! parts in use within the limits. A process uses slots only while a peer has acknowledged a heartbeat sent less than
//! `share_lease` ago; a peer drops a member only after `member_timeout`, which is longer, of its own uninterrupted
//! time; and a process that starts or wakes uses none before all known processes have counted it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Bounds in time.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Greatest age of an acknowledged heartbeat at which slots may be used.
    pub share_lease: Duration,
    /// Silence after which a member is dropped.
    pub member_timeout: Duration,
    /// Pause between ticks that suspends the own process.
    pub pause_limit: Duration,
}

/// The own part of the slots and connections.
///
/// Each slot belongs to the member with the highest hash of member, executor and slot. A joining member takes slots from
/// others and moves none between them, so two processes that know different members never both own a slot, as long as a
/// joining process uses none before all others have counted it. An even division by rank lacks this: the parts of 8
/// slots are 2, 2, 2, 1, 1 with five members, and a sixth one moves the second slot of a member to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Name of this process.
    pub own: String,
    /// Names of the other members.
    pub others: BTreeSet<String>,
    /// When the members changed last. Slots gained by the change wait for a later report of the executor.
    pub since: Instant,
}

impl Share {
    /// The part of a process that is alone.
    #[must_use]
    pub fn whole(own: &str, since: Instant) -> Self {
        Self { own: own.to_owned(), others: BTreeSet::new(), since }
    }

    /// This process's part of `limit` slots at an executor. The parts of all members add up to `limit`.
    #[must_use]
    pub fn slots(&self, limit: u32, executor: &str) -> u32 {
        (0..limit).map(|slot| u32::from(self.owns(executor, slot))).sum()
    }

    /// This process's part of `limit` connections. They follow the slots, so that a slot always has connections.
    #[must_use]
    pub fn connections(&self, limit: u32, slots: u32, executor: &str) -> u32 {
        let owned = (0..slots).filter(|slot| self.owns(executor, *slot));
        owned.map(|slot| limit / slots + u32::from(slot < limit % slots)).sum()
    }

    fn owns(&self, executor: &str, slot: u32) -> bool {
        let own = (weight(&self.own, executor, slot), &self.own);
        self.others.iter().all(|other| (weight(other, executor, slot), other) < own)
    }
}

/// FNV-1a with a finalizer: the same in every process and build.
fn weight(member: &str, executor: &str, slot: u32) -> u64 {
    let bytes = member.bytes().chain([0]).chain(executor.bytes()).chain(slot.to_le_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // FNV leaves the high bits of names that differ only at their end alike.
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// A change that operators are told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The process is counted from now on.
    Joined(String),
    /// The process is no longer counted.
    Lost(String),
    /// The own process was paused and suspends dispatch.
    Paused,
    /// Nobody has answered, the own peer interface included; dispatch is suspended.
    Unanswered,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Last message from it, heartbeat or acknowledgement, since the own last pause.
    heard: Option<Instant>,
    /// True once it acknowledged a heartbeat sent since the own last pause, or a connection to it was refused.
    answered: bool,
    /// When it was first known, or the end of the own last pause.
    known: Option<Instant>,
}

/// The state machine of one process.
#[derive(Debug)]
pub struct Membership {
    own: String,
    timeouts: Timeouts,
    peers: BTreeMap<String, Peer>,
    /// Members without this process. Invariant: each is a key of `peers`.
    members: BTreeSet<String>,
    /// Last tick.
    ticked: Instant,
    /// Start or end of the last pause.
    resumed: Instant,
    /// Sending time of the newest acknowledged heartbeat.
    acknowledged: Option<Instant>,
    /// When a connection was refused last, by an attempt that began then.
    refused: Option<Instant>,
    /// Sending time of the newest heartbeat to the own address that was acknowledged.
    looped: Option<Instant>,
    /// Sending time of the first message since `resumed` that was answered, by anybody. Before it, silence is no sign of a
    /// loss.
    answering_since: Option<Instant>,
    /// True once all processes known since `resumed` have answered or proved silent.
    settled: bool,
    /// True once the addresses of the other processes are known.
    informed: bool,
    changed: Instant,
}

impl Membership {
    /// Starts with no peer known. No slots are usable before [`Self::set_known`].
    #[must_use]
    pub fn new(own: &str, timeouts: Timeouts, now: Instant) -> Self {
        Self {
            own: own.to_owned(),
            timeouts,
            peers: BTreeMap::new(),
            members: BTreeSet::new(),
            ticked: now,
            resumed: now,
            acknowledged: None,
            refused: None,
            looped: None,
            answering_since: None,
            settled: false,
            informed: false,
            changed: now,
        }
    }

    /// Replaces the list of processes that may be alive. Members stay until they are silent.
    pub fn set_known(&mut self, known: &BTreeSet<String>, now: Instant) {
        self.informed = true;
        self.peers.retain(|name, _| known.contains(name) || self.members.contains(name));
        for name in known.iter().filter(|name| **name != self.own) {
            self.peers.entry(name.clone()).or_default().known.get_or_insert(now);
        }
    }

    /// Runs the rules that depend on time. Called several times in each heartbeat period.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if now.saturating_duration_since(self.ticked) > self.timeouts.pause_limit {
            self.resume(now);
            changes.push(Change::Paused);
        } else if self.is_unanswered(now) {
            // The own peer interface hangs, so the others may have dropped this process.
            self.resume(now);
            changes.push(Change::Unanswered);
        }
        self.ticked = now;
        let timeout = self.timeouts.member_timeout;
        let (first, last) = (self.answering_since, self.last_answered());
        // Silence is counted up to the last message that was answered by anybody, because a peer interface that hangs
        // hears nobody.
        let is_silent = |peer: &Peer| {
            let heard = peer.heard.max(peer.known).max(first);
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
            self.changed = now;
            changes.push(Change::Lost(name));
        }
        if self.informed && !self.settled {
            self.settled = self.peers.values().all(|peer| peer.answered || is_silent(peer));
        }
        changes
    }

    /// A heartbeat came from a process of the domain. It is counted before the acknowledgement is sent.
    pub fn on_heartbeat(&mut self, from: &str, now: Instant) -> Option<Change> {
        self.hear(from, now)
    }

    /// A heartbeat that was sent at `sent_at` has been acknowledged.
    pub fn on_acknowledged(
        &mut self,
        from: &str,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if sent_at < self.resumed {
            return None;
        }
        self.acknowledged = self.acknowledged.max(Some(sent_at));
        self.answering_since.get_or_insert(sent_at);
        let change = self.hear(from, now);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.answered = true;
        }
        change
    }

    /// A heartbeat to the own address has been acknowledged. It shows that the own peer interface works, so that the
    /// silence of all others is theirs.
    pub fn on_looped(&mut self, sent_at: Instant) {
        if sent_at >= self.resumed {
            self.looped = self.looped.max(Some(sent_at));
            self.answering_since.get_or_insert(sent_at);
        }
    }

    /// A connection attempt that began at `sent_at` was refused: the process at that address is gone.
    pub fn on_refused(&mut self, peer: &str, sent_at: Instant) {
        if sent_at < self.resumed {
            return;
        }
        self.refused = self.refused.max(Some(sent_at));
        self.answering_since.get_or_insert(sent_at);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.answered = true;
        }
    }

    /// The own part, or `None` while no slots may be used. Asked before every dispatch.
    #[must_use]
    pub fn share(&self, now: Instant) -> Option<Share> {
        if now.saturating_duration_since(self.ticked) > self.timeouts.pause_limit || !self.settled {
            return None;
        }
        if !self.peers.is_empty() {
            let answered = self.acknowledged.max(self.refused);
            // A process whose own peer interface hangs must not take the silence of the others for their loss.
            let alone = self.looped.filter(|_| self.members.is_empty());
            let answered = answered.max(alone)?;
            if now.saturating_duration_since(answered) >= self.timeouts.share_lease {
                return None;
            }
        }
        Some(Share { own: self.own.clone(), others: self.members.clone(), since: self.changed })
    }

    /// Members without this process.
    #[must_use]
    pub fn members(&self) -> &BTreeSet<String> {
        &self.members
    }

    fn hear(&mut self, from: &str, now: Instant) -> Option<Change> {
        if from == self.own {
            return None;
        }
        let peer = self.peers.entry(from.to_owned()).or_default();
        peer.known.get_or_insert(now);
        peer.heard = Some(now);
        let joined = self.members.insert(from.to_owned());
        if joined {
            self.changed = now;
        }
        joined.then(|| Change::Joined(from.to_owned()))
    }

    /// Sending time of the newest message that was answered by anybody, the own peer interface included.
    fn last_answered(&self) -> Option<Instant> {
        self.acknowledged.max(self.refused).max(self.looped)
    }

    fn is_unanswered(&self, now: Instant) -> bool {
        let last = self.last_answered().unwrap_or(self.resumed).max(self.resumed);
        !self.peers.is_empty() && now.saturating_duration_since(last) >= self.timeouts.share_lease
    }

    /// Restarts all counts: what was heard before the pause says nothing about the time of the pause.
    fn resume(&mut self, now: Instant) {
        self.resumed = now;
        self.settled = false;
        self.acknowledged = None;
        self.refused = None;
        self.looped = None;
        self.answering_since = None;
        for peer in self.peers.values_mut() {
            *peer = Peer { heard: None, answered: false, known: Some(now) };
        }
    }
}
