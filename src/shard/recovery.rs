//! How long tasks wait for their next run after the loss of their worker.
//!
//! Each wait for leases has two bounds. It must be long enough that no two runs of a task overlap, and short enough for
//! callers, whose tasks must run again within [`RECOVERY_LIMIT`]. The first one follows from [`super::lapse`] and
//! [`super::ownership`]; this module adds up the second one from the same settings, so that a deployment whose settings
//! don't allow both is reported at the start of a process.

use std::time::Duration;

use super::lapse::longest_local_time;
use super::ownership::OWNERSHIP_LEASE_DURATION;
use super::scheduler::Timing;

/// Time from the loss of a worker within which its tasks must run again, if there is room for them.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(9);

/// Longest time from the loss of a worker whose address refuses connections until a heartbeat names the worker: a renewal
/// that is being answered, the time limit on early heartbeats, and a look for one that is due.
const NAMING_TIME: Duration = Duration::from_millis(400);

/// Longest time from the end of a lease until a heartbeat has confirmed that this process was the owner then.
const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// Usual time from the release of a task to its run: a placement pass, a stored row and the command.
const START_TIME: Duration = Duration::from_millis(200);

/// Longest times from the loss of a worker to the next runs of its tasks, while the store answers as usual.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecoveryTimes {
    /// The owner of the shard lives.
    pub owner_alive: Duration,
    /// The owner is lost as well, before or after, and another process has claimed the shard by the end of the leases.
    pub owner_lost: Duration,
}

impl RecoveryTimes {
    /// Returns the times that follow from a deployment's settings.
    #[must_use]
    pub fn new(timing: &Timing) -> Self {
        let of_lease = longest_local_time(timing.lease, timing.kill_time);
        let of_owner = longest_local_time(OWNERSHIP_LEASE_DURATION, timing.kill_time);
        Self {
            owner_alive: of_lease + CONFIRMATION_TIME + START_TIME,
            owner_lost: NAMING_TIME + of_owner + START_TIME,
        }
    }

    /// Returns true if both times are within [`RECOVERY_LIMIT`].
    #[must_use]
    pub fn are_within_limit(&self) -> bool {
        self.owner_alive.max(self.owner_lost) <= RECOVERY_LIMIT
    }
}
