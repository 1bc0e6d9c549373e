//! Chooses the target of a request.
//!
//! Two usable targets are drawn at random and the one with the lower expected wait takes the request. Drawing two keeps
//! processes with the same stale reports from all choosing the same target; the latency average steers requests away
//! from a target that is slow while it still has free slots.

use std::time::Duration;

/// Weight of a new latency in the average: 1/8, so that one slow request does not shun a target.
const LATENCY_SHIFT: u32 = 3;

/// Smallest latency average that is used, so that an idle target's weight stays finite.
const MIN_LATENCY_US: u64 = 100;

/// What is known of one target at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests of this process that occupy a slot there.
    pub in_flight: u32,
    /// Requests of other processes by the target's last report.
    pub reported: u32,
    /// Slots of this process there.
    pub slots: u32,
    /// Average latency; zero if nothing has been measured.
    pub latency: Duration,
}

impl TargetLoad {
    /// True if this process has a free slot there.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.slots
    }

    /// Expected wait: the load including the new request times the average latency. Lower is better.
    fn score(&self) -> u128 {
        let load = u128::from(self.in_flight) + u128::from(self.reported) + 1;
        load * self.latency.as_micros().max(u128::from(MIN_LATENCY_US))
    }
}

/// Chooses among targets by two random draws. `None` if no target has a free slot for this process.
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
    // The second draw is among the others, so that the two always differ.
    let second = (first + 1 + pick(draws[1], count - 1)) % usable.len();
    let (first, second) = (usable[first], usable[second]);
    Some(if targets[second].score() < targets[first].score() { second } else { first })
}

/// Moves a latency average towards a new measurement.
#[must_use]
pub fn average(current: Duration, measured: Duration) -> Duration {
    if current.is_zero() {
        return measured;
    }
    let scale = 1 << LATENCY_SHIFT;
    (current * (scale - 1) + measured) / scale
}

/// A place that a request can be sent to when the own slots are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Headroom {
    /// Free slots by the last heartbeat; `None` for a process that sends none because it is in another domain.
    pub free_slots: Option<u32>,
    /// True if the process is in the own domain.
    pub own_domain: bool,
    /// Failures since the last answer.
    pub failures: u32,
}

/// Orders the processes that a request may be forwarded to: those of the own domain with free slots by headroom, then
/// those of other domains by failures. A process of the own domain without free slots is left out.
#[must_use]
pub fn forward_order(places: &[Headroom], draw: u64) -> Vec<usize> {
    let usable =
        |place: &Headroom| !place.own_domain || place.free_slots.is_some_and(|free| free > 0);
    let mut order: Vec<usize> = (0..places.len()).filter(|index| usable(&places[*index])).collect();
    if let Ok(shift) = usize::try_from(draw % order.len().max(1) as u64) {
        // Places that compare equal take turns.
        order.rotate_left(shift);
    }
    order.sort_by_key(|index| {
        let place = &places[*index];
        let free = place.free_slots.unwrap_or(0);
        (!place.own_domain, place.failures, u32::MAX - free)
    });
    order
}
