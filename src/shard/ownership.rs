//! Ownership of shards: claims and ownership leases.
//!
//! The owner row names the owner and an epoch. A process claims a shard by a conditional write with a higher epoch: at
//! once if the shard has no owner or if the owner was an earlier incarnation of the same process, otherwise once the
//! owner's heartbeat row has not changed for [`HEARTBEAT_TIMEOUT`]. An owner must not send commands once its newest
//! stored heartbeat is older than [`OWNERSHIP_LEASE_DURATION`]. Until then it renews the workers' leases even
//! while the store is down, because no process can claim the shard without the store.
//!
//! No lease that an owner grants lasts longer than its ownership lease. A successor that can't reach a worker therefore
//! waits for one interval from the last heartbeat, and not for two in a row. The exceptions are named in the rows:
//! [`LeaseEnds`] says which.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::lapse::{self, longest_local_time};
use super::scheduler::Timing;

/// Time without a heartbeat after which an owner counts as dead: more than two heartbeat periods and a slow answer of
/// the store.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between heartbeats of an owner.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(700);

/// Time after its newest stored heartbeat was sent for which an owner may send commands, and at which all leases that it
/// has granted expire. It bridges the usual outages of a few seconds; in return, a new owner waits as long for workers
/// that do not answer.
///
/// Both sides count from the same write, the heartbeat, so that no period or latency enters the comparison:
///
/// - A lease is granted for at most `heartbeat sent + OWNERSHIP_LEASE_DURATION - now`, as an expiry on the worker's clock,
///   so a late arrival does not prolong it. A worker whose clock is 2% slow keeps its runs for up to `1 / 0.98` of that,
///   and takes up to `kill_time` to end them.
/// - A successor starts the worker's tasks from `heartbeat sent + longest_local_time(OWNERSHIP_LEASE_DURATION)` on, where
///   `longest_local_time` is `1.025 * length + kill_time`. It knows the latest time at which the heartbeat can have been
///   sent: when it first saw it, or earlier, by the store's clock.
pub const OWNERSHIP_LEASE_DURATION: Duration = Duration::from_secs(7);

/// Stored row that names the owner of a shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRow {
    /// Raised by each claim. Commands carry it, and workers refuse commands with an epoch lower than the highest they
    /// have seen.
    pub epoch: u64,
    /// Name of the VM of the owner; empty if the shard was released.
    pub vm: String,
    /// Start time of the owner's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Longest time, in milliseconds from the write of this row on, until no owner before this one sends commands any
    /// more; `None` in a row of a version that does not store it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_silent_in_ms: Option<u64>,
    /// Time in milliseconds, from its claim or a stored heartbeat on, at which all leases expire that this owner grants;
    /// `None` in a row of a version that grants longer ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_limit_ms: Option<u64>,
    /// Longest time, in milliseconds from `sent_store_ms` on, until all leases of owners before this one have lapsed;
    /// `None` in a row of a version that does not store it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_lapsed_in_ms: Option<u64>,
    /// Latest reading that the store's clock can have had when the claim was sent; in the row of a released shard, when
    /// the last write was sent that extended the ownership lease. `None` if the store's clock was not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_store_ms: Option<u64>,
}

impl OwnerRow {
    /// Returns the local time from which no owner before this one sends commands any more, for a row that was read at
    /// `now`.
    #[must_use]
    pub fn earlier_silent_at(&self, now: Duration) -> Duration {
        now + self.earlier_silent_in_ms.map_or(OWNERSHIP_LEASE_DURATION, Duration::from_millis)
    }
}

/// Returns the time from `now` until `at` in milliseconds, rounded up, as stored in rows.
#[must_use]
pub fn ms_until(at: Duration, now: Duration) -> u64 {
    ceil_ms(at.saturating_sub(now))
}

/// Reading of the store's steady clock, by which processes compare times of their writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreClock {
    reading_ms: u64,
    /// Local time at which the call was sent whose answer has the reading.
    sent: Duration,
    /// Local time at which the answer arrived.
    received: Duration,
}

impl StoreClock {
    /// Records a reading, in milliseconds, from the answer to a call that was sent at `sent`.
    #[must_use]
    pub fn new(reading_ms: u64, sent: Duration, received: Duration) -> Self {
        Self { reading_ms, sent, received }
    }

    /// Returns the highest reading that the clock can have at the local time `now`.
    #[must_use]
    pub fn at_most_ms(&self, now: Duration) -> u64 {
        self.reading_ms + ceil_ms(longest_local_time(now.saturating_sub(self.sent), Duration::ZERO))
    }

    /// Returns the reading that says more of the clock at the local time `now`: the one with the shorter round trip, until
    /// the drift of the clocks since then outweighs it.
    #[must_use]
    pub fn more_precise(self, other: Self, now: Duration) -> Self {
        let width = |clock: &Self| {
            let (sent, received) =
                (now.saturating_sub(clock.sent), now.saturating_sub(clock.received));
            longest_local_time(sent, Duration::ZERO) - lapse::shortest_local_time(received)
        };
        if width(&self) < width(&other) { self } else { other }
    }

    /// Returns the latest local time at which the clock can have had the reading `at_ms`, as known at `now`.
    #[must_use]
    pub fn latest_local_time_of(&self, at_ms: u64, now: Duration) -> Duration {
        let reached = Duration::from_millis(self.reading_ms)
            + lapse::shortest_local_time(now.saturating_sub(self.received));
        let elapsed = reached.saturating_sub(Duration::from_millis(at_ms));
        now.saturating_sub(lapse::shortest_local_time(elapsed))
    }
}

/// When the leases have lapsed that owners before a claim may have granted, as local times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseEnds {
    /// No owner before the claim sends commands any more.
    pub silent_at: Duration,
    /// All leases have lapsed whose expiry a worker counts on the clock that the owner meant.
    pub lapsed_at: Duration,
    /// All other leases have lapsed as well. A start that got no answer may be carried out by a later incarnation of its
    /// worker, which takes the expiry for the longest lease that it accepts.
    pub unanswered_lapsed_at: Duration,
    /// Latest time at which the newest heartbeat before the claim can have been sent.
    pub heartbeat_sent_at: Duration,
}

/// What a claimant knows of the owner before it.
#[derive(Clone, Copy, Debug)]
pub struct Predecessor<'a> {
    /// The owner row; `None` if the shard has not had an owner yet.
    pub row: Option<&'a OwnerRow>,
    /// `sent_store_ms` of the heartbeat row, which this owner or one before it has written.
    pub heartbeat_sent_store_ms: Option<u64>,
    /// Local time at which the newest heartbeat of this owner was first seen, or the owner row without one.
    pub seen: Duration,
    /// The owner row is a claim of this process whose answer was lost, so that it has granted no lease.
    pub is_unanswered_claim: bool,
}

impl LeaseEnds {
    /// Returns the ends for a claim that is sent at `now`, for `reason`.
    #[must_use]
    pub fn before_claim(
        reason: ClaimReason,
        predecessor: Predecessor<'_>,
        store_clock: Option<StoreClock>,
        timing: &Timing,
        now: Duration,
    ) -> Self {
        let Predecessor { row, heartbeat_sent_store_ms, seen, is_unanswered_claim } = predecessor;
        let row_sent_ms = row.and_then(|row| row.sent_store_ms);
        let local_time_of = |sent_ms: Option<u64>| {
            let (clock, sent_ms) = store_clock.zip(sent_ms)?;
            Some(clock.latest_local_time_of(sent_ms, now))
        };
        // The row was there when the heartbeat was seen, so that its claim was sent before.
        let row_sent_at = local_time_of(row_sent_ms).unwrap_or(seen).min(seen);
        let heartbeat_sent_at = local_time_of(heartbeat_sent_store_ms).unwrap_or(seen).min(seen);
        // Without the time of the claim, the heartbeat may be older than the claim.
        let newest_ms = row_sent_ms.map(|sent| sent.max(heartbeat_sent_store_ms.unwrap_or(0)));
        let renewed_at = local_time_of(newest_ms).unwrap_or(seen).min(seen);
        let silent_at = match reason {
            ClaimReason::Silent { since } => {
                ClaimReason::Silent { since: since.min(renewed_at) }.predecessors_silent_at(now)
            }
            _ => reason.predecessors_silent_at(now),
        };
        let longest = silent_at + longest_local_time(timing.max_lease, timing.kill_time);
        let earlier = row.and_then(|row| row.earlier_lapsed_in_ms).map(Duration::from_millis);
        let limit = row.and_then(|row| row.lease_limit_ms).map(Duration::from_millis);
        let lapsed_at = match (limit, earlier) {
            _ if reason == ClaimReason::New => now,
            (Some(limit), Some(earlier)) => {
                let own = renewed_at + longest_local_time(limit, timing.kill_time);
                let own = if is_unanswered_claim { now } else { own };
                own.max(row_sent_at + earlier).max(now)
            }
            _ => longest,
        };
        Self {
            silent_at,
            lapsed_at,
            unanswered_lapsed_at: longest.max(lapsed_at),
            heartbeat_sent_at,
        }
    }
}

fn ceil_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Observes the owner of a shard that this process does not own, and decides when to claim the shard.
#[derive(Clone, Debug)]
pub struct OwnerObserver {
    vm: String,
    /// Epoch of the owner, version of its heartbeat row, and the local time at which this pair was first seen. A change
    /// of epoch restarts the timeout, so that a new owner has time for its first heartbeat.
    heartbeat: Option<(u64, u64, Duration)>,
    /// Additional wait of this process beyond the heartbeat timeout, so that not all processes claim at the same
    /// moment.
    stagger: Duration,
}

/// Decision whether to claim a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Claim the shard now.
    Now(ClaimReason),
    /// Do not claim the shard.
    No,
}

impl ClaimReason {
    /// Returns the local time from which no previous owner sends commands any more, for a claim made at `now`.
    #[must_use]
    pub fn predecessors_silent_at(self, now: Duration) -> Duration {
        match self {
            Self::New => now,
            Self::Released { earlier_silent_at } | Self::OwnPredecessor { earlier_silent_at } => {
                earlier_silent_at.max(now)
            }
            // Covers the owners before the silent one, whose last heartbeats precede its claim.
            Self::Silent { since } => (since + OWNERSHIP_LEASE_DURATION).max(now),
        }
    }
}

/// Reason of a claim; decides how long the new owner waits for its predecessors, see [`Self::predecessors_silent_at`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReason {
    /// The shard has not had an owner yet.
    New,
    /// The owner released the shard at a planned stop.
    Released {
        /// Local time from which no owner before the one that released the shard sends commands.
        earlier_silent_at: Duration,
    },
    /// The owner was an earlier incarnation of this process, or this process has claimed the shard already but the
    /// answer was lost.
    OwnPredecessor {
        /// Local time from which no owner before this process sends commands.
        earlier_silent_at: Duration,
    },
    /// The owner's heartbeat has not changed for the heartbeat timeout.
    Silent {
        /// Local time at which the last heartbeat was first seen; the owner's ownership lease started no later than
        /// this.
        since: Duration,
    },
}

impl OwnerObserver {
    /// Creates an observer without observations.
    #[must_use]
    pub fn new(vm: &str, stagger: Duration) -> Self {
        Self { vm: vm.to_owned(), heartbeat: None, stagger }
    }

    /// Processes a read of the owner row and of the version of the heartbeat row. `sent` is when the read was sent and
    /// `now` when its answer arrived. `heartbeat_version` is the version of the heartbeat row, 0 if there is none.
    pub fn on_read(
        &mut self,
        row: Option<&OwnerRow>,
        heartbeat_version: u64,
        sent: Duration,
        now: Duration,
    ) -> ClaimDecision {
        let epoch = row.map_or(0, |row| row.epoch);
        let since = match self.heartbeat {
            Some((seen_epoch, version, since))
                if (seen_epoch, version) == (epoch, heartbeat_version) =>
            {
                since
            }
            _ => {
                self.heartbeat = Some((epoch, heartbeat_version, now));
                now
            }
        };
        let Some(row) = row else { return ClaimDecision::Now(ClaimReason::New) };
        let earlier_silent_at = row.earlier_silent_at(now);
        if row.vm.is_empty() {
            return ClaimDecision::Now(ClaimReason::Released { earlier_silent_at });
        }
        if row.vm == self.vm {
            return ClaimDecision::Now(ClaimReason::OwnPredecessor { earlier_silent_at });
        }
        // Measured up to the time at which the read was sent, since the answer tells nothing about heartbeats written
        // after the read.
        if sent.saturating_sub(since) >= HEARTBEAT_TIMEOUT + self.stagger {
            return ClaimDecision::Now(ClaimReason::Silent { since });
        }
        ClaimDecision::No
    }

    /// Returns the local time at which the newest heartbeat of the current owner was first seen.
    #[must_use]
    pub fn heartbeat_seen(&self) -> Option<Duration> {
        self.heartbeat.map(|(.., since)| since)
    }

    /// Discards the observed heartbeat, for example after a time in which the store could not be read.
    pub fn reset(&mut self) {
        self.heartbeat = None;
    }
}

/// Time for which an owner may send commands.
///
/// A successor observes nothing but the owner row and the heartbeat row, so only writes of these two rows extend the
/// permission. Other writes show that the process was the owner when they were sent, and no more.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipLease {
    /// Local time at which the claim or the newest stored heartbeat was sent; the permission counts from it.
    renewed: Duration,
    /// Local time at which the newest stored write of any kind was sent; never before `renewed`.
    confirmed: Duration,
}

impl OwnershipLease {
    /// Creates the lease of a claim that was sent at `sent` and has been stored.
    #[must_use]
    pub fn new(sent: Duration) -> Self {
        Self { renewed: sent, confirmed: sent }
    }

    /// Extends the lease after the store has applied a heartbeat that was sent at `sent`.
    pub fn renew(&mut self, sent: Duration) {
        self.renewed = self.renewed.max(sent);
        self.confirm(sent);
    }

    /// Records that the store has applied a write of the owner that was sent at `sent`. Does not extend the lease.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Returns the newest time at which the process certainly was the owner.
    #[must_use]
    pub fn confirmed(&self) -> Duration {
        self.confirmed
    }

    /// Returns the local time at which the claim or the newest stored heartbeat was sent.
    #[must_use]
    pub fn renewed(&self) -> Duration {
        self.renewed
    }

    /// Returns the local time at which the permission, and every lease granted under it, ends.
    #[must_use]
    pub fn ends_at(&self) -> Duration {
        self.renewed + OWNERSHIP_LEASE_DURATION
    }

    /// Returns true if commands may be sent at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed) < OWNERSHIP_LEASE_DURATION
    }
}
