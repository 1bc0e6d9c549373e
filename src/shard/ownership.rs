//! Who owns a shard.
//!
//! The owner row names the holder and an epoch. A process claims it by a conditional write with a higher epoch: at once
//! if nobody holds it or if its holder was an earlier incarnation of the same process, otherwise once the holder's
//! heartbeat row has not changed for [`HEARTBEAT_TIMEOUT`]. The holder must not send any command once its last
//! confirmation by the store is older than [`OWNERSHIP_LEASE_DURATION`]; up to then it renews leases through an outage
//! of the store, because nobody can have claimed the shard without the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time without a heartbeat after which an owner is taken for dead: more than two heartbeats and a slow store's answer.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between heartbeats of an owner.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(700);

/// Longest time for which an owner sends commands without a confirmation of the store. It bridges the outages of a few
/// seconds that are usual; a successor waits as long for workers that do not answer.
pub const OWNERSHIP_LEASE_DURATION: Duration = Duration::from_secs(7);

/// The owner row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRow {
    /// Raised by each claim; commands carry it, and workers refuse lower ones.
    pub epoch: u64,
    /// Name of the VM that holds the shard; empty if it was released.
    pub vm: String,
    /// Start of the process on that VM, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// What a process knows of the owner of a shard that it does not hold.
#[derive(Clone, Debug)]
pub struct Ownership {
    vm: String,
    /// Epoch of the owner, version of the heartbeat row, and the local time at which they were first seen. A new owner
    /// needs a moment for its first heartbeat.
    heartbeat: Option<(u64, u64, Duration)>,
    /// Extra wait of this process, so that not all processes claim at the same moment.
    stagger: Duration,
}

/// What to do about a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Claim it now, for this reason.
    Now(ClaimReason),
    /// Leave it.
    No,
}

impl ClaimReason {
    /// Local time from which the predecessor gives no commands, for a claim that is made at `now`.
    #[must_use]
    pub fn predecessor_silent_at(self, now: Duration) -> Duration {
        match self {
            Self::New | Self::Released | Self::OwnPredecessor => now,
            Self::Silent { since } => (since + OWNERSHIP_LEASE_DURATION).max(now),
        }
    }
}

/// Why a shard is claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReason {
    /// There was no owner yet.
    New,
    /// The owner released it at a planned stop.
    Released,
    /// The owner was an earlier incarnation of this process, or a claim of this process whose answer was lost.
    OwnPredecessor,
    /// The owner's heartbeat has not changed for too long.
    Silent {
        /// Local time at which the last heartbeat was first seen; the owner's ownership lease is not newer.
        since: Duration,
    },
}

impl Ownership {
    /// Knows nothing yet.
    #[must_use]
    pub fn new(vm: &str, stagger: Duration) -> Self {
        Self { vm: vm.to_owned(), heartbeat: None, stagger }
    }

    /// Takes a reading of the owner row and the version of the heartbeat row. `asked` is when the read was sent and
    /// `now` when its answer arrived.
    pub fn on_read(
        &mut self,
        row: Option<&OwnerRow>,
        heartbeat: u64,
        asked: Duration,
        now: Duration,
    ) -> ClaimDecision {
        let epoch = row.map_or(0, |row| row.epoch);
        let since = match self.heartbeat {
            Some((held_epoch, version, since)) if (held_epoch, version) == (epoch, heartbeat) => {
                since
            }
            _ => {
                self.heartbeat = Some((epoch, heartbeat, now));
                now
            }
        };
        let Some(row) = row else { return ClaimDecision::Now(ClaimReason::New) };
        if row.vm.is_empty() {
            return ClaimDecision::Now(ClaimReason::Released);
        }
        if row.vm == self.vm {
            return ClaimDecision::Now(ClaimReason::OwnPredecessor);
        }
        // Counted up to when the read was sent: an answer that was long on its way says nothing about later heartbeats.
        if asked.saturating_sub(since) >= HEARTBEAT_TIMEOUT + self.stagger {
            return ClaimDecision::Now(ClaimReason::Silent { since });
        }
        ClaimDecision::No
    }

    /// Forgets the heartbeat, for example after a time in which the store could not be read.
    pub fn reset(&mut self) {
        self.heartbeat = None;
    }
}

/// The time for which a holder may give commands.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipLease {
    /// Local time before the newest confirmed write or read was sent.
    confirmed: Duration,
}

impl OwnershipLease {
    /// A lease from a write that was sent at `sent` and has been confirmed.
    #[must_use]
    pub fn new(sent: Duration) -> Self {
        Self { confirmed: sent }
    }

    /// Notes a confirmation of a call that was sent at `sent`.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// The newest time at which the process certainly was the owner.
    #[must_use]
    pub fn confirmed(&self) -> Duration {
        self.confirmed
    }

    /// True if commands may be sent now.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        now.saturating_sub(self.confirmed) < OWNERSHIP_LEASE_DURATION
    }
}
