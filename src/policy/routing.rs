//! Chooses the target of a request, and the process that a request is forwarded to.
//!
//! Two usable targets are drawn at random, and the one with the lower expected wait gets the request (power of two
//! choices). The random draws keep processes with the same stale reports from all choosing the same target; the latency
//! average steers requests away from a target that is slow while it still has free slots.

use std::time::Duration;

/// A new latency has a weight of 1 / 2^3 in the average, which keeps one slow request from diverting all load from its
/// target.
const LATENCY_WEIGHT_SHIFT: u32 = 3;

/// Lower bound of the latency in a score. With a zero latency, the load of a target would not count.
const MIN_LATENCY_US: u64 = 100;

/// Load of one target at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests of this process that occupy a slot of the target.
    pub in_flight: u32,
    /// Requests of other processes, from the target's last report.
    pub reported: u32,
    /// Slots of the target that this process may use.
    pub slots: u32,
    /// Average latency; zero if nothing has been measured.
    pub latency: Duration,
}

impl TargetLoad {
    /// True if this process has a free slot on the target.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.slots
    }

    /// Expected wait: the load with the new request times the average latency, in microseconds. Lower is better.
    fn score(&self) -> u128 {
        let load = u128::from(self.in_flight) + u128::from(self.reported) + 1;
        load * self.latency.as_micros().max(u128::from(MIN_LATENCY_US))
    }
}

/// Returns the index of the chosen target, from two random draws. `None` if no target has a free slot for this process.
#[must_use]
pub fn choose(targets: &[TargetLoad], draws: [u64; 2]) -> Option<usize> {
    let usable: Vec<usize> =
        (0..targets.len()).filter(|index| targets[*index].has_free_slot()).collect();
    let count = u64::try_from(usable.len()).unwrap_or(u64::MAX);
    if count == 0 {
        return None;
    }
    let pick = |draw: u64, among: u64| usize::try_from(draw % among).unwrap_or(0);
    let first = pick(draws[0], count);
    if count == 1 {
        return Some(usable[first]);
    }
    // The second draw excludes the first target, so that the two always differ.
    let second = (first + 1 + pick(draws[1], count - 1)) % usable.len();
    let (first, second) = (usable[first], usable[second]);
    Some(if targets[second].score() < targets[first].score() { second } else { first })
}

/// Returns the exponential moving average of a latency after a new measurement. A zero `current` means no measurement.
#[must_use]
pub fn average(current: Duration, measured: Duration) -> Duration {
    if current.is_zero() {
        return measured;
    }
    let scale = 1 << LATENCY_WEIGHT_SHIFT;
    (current * (scale - 1) + measured) / scale
}

/// A process that a request can be forwarded to when this process has no free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardPeer {
    /// Free slots in the last heartbeat; `None` for a process in another domain, which sends no heartbeats here.
    pub free_slots: Option<u32>,
    /// True if the process is in the same domain as this one.
    pub own_domain: bool,
    /// Failed calls since the last answer.
    pub failures: u32,
}

/// Returns the indices of the processes to try, in order: first those of the own domain, then those of other domains,
/// each by fewest failures and then by most free slots. Processes of the own domain without a free slot are left out.
#[must_use]
pub fn forward_order(peers: &[ForwardPeer], draw: u64) -> Vec<usize> {
    let usable =
        |peer: &ForwardPeer| !peer.own_domain || peer.free_slots.is_some_and(|free| free > 0);
    let mut order: Vec<usize> = (0..peers.len()).filter(|index| usable(&peers[*index])).collect();
    if let Ok(shift) = usize::try_from(draw % order.len().max(1) as u64) {
        // The sort is stable, so equal processes stay in this random rotation and share the load.
        order.rotate_left(shift);
    }
    order.sort_by_key(|index| {
        let peer = &peers[*index];
        let free = peer.free_slots.unwrap_or(0);
        (!peer.own_domain, peer.failures, u32::MAX - free)
    });
    order
}
