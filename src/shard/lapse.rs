//! Determines when a lease on a worker has certainly lapsed.
//!
//! Lease expiries are times of the worker's own monotonic clock, which starts with its incarnation and may run slow.
//! The scheduler never compares this clock with its own. It relies only on two facts: when an answer with reading R
//! arrives, the worker's clock is at R or later, and from then on it advances at no less than the slowest rate.

use std::time::Duration;

/// Longest local time, in milliseconds, that one second on a worker's clock can take: the worker's clock may be 2%
/// slow, and the rest allows for the drift of the local clock.
const MAX_LOCAL_MS_PER_WORKER_SECOND: u32 = 1_025;

/// Longest time from sending a command until it is carried out, if it gets no answer.
pub const MAX_COMMAND_DELAY: Duration = Duration::from_secs(12);

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerClock {
    /// Reading in milliseconds of the worker's clock.
    reading_ms: u64,
    /// Local time at which the command was sent.
    sent: Duration,
    /// Local time at which the answer arrived.
    received: Duration,
}

impl WorkerClock {
    /// Records a reading from the answer to a command that was sent at `sent`.
    #[must_use]
    pub fn new(reading_ms: u64, sent: Duration, received: Duration) -> Self {
        Self { reading_ms, sent, received }
    }

    /// Returns true if this reading is from a later incarnation of the worker than the earlier reading `earlier`: the
    /// clock of one incarnation never goes back. Answers may overtake each other, so the earlier reading counts only as
    /// far as its answer had arrived when the command of this one was sent.
    #[must_use]
    pub fn has_gone_back(&self, earlier: &Self) -> bool {
        let overlap = earlier.received.saturating_sub(self.sent);
        let overlap_ms = longest_local_time(overlap, Duration::ZERO).as_millis();
        let overlap_ms = u64::try_from(overlap_ms).unwrap_or(u64::MAX);
        // Both readings are whole milliseconds.
        self.reading_ms.saturating_add(overlap_ms + 1) < earlier.reading_ms
    }

    /// Reading in milliseconds.
    #[must_use]
    pub fn reading_ms(&self) -> u64 {
        self.reading_ms
    }

    /// Returns a value that the worker's clock has reached by `now`, even if it is slow.
    #[must_use]
    pub fn at_least_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.received);
        let slow = shortest_local_time(elapsed);
        self.reading_ms + u64::try_from(slow.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the expiry on the worker's clock of a lease of `length` from `now`. The lease lasts at most `length`,
    /// possibly less.
    #[must_use]
    pub fn expiry_ms(&self, now: Duration, length: Duration) -> u64 {
        self.at_least_ms(now) + u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the local time at which a lease that expires at `expiry_ms` has certainly ended and its runs are gone.
    /// The worker ends them within `kill_time`.
    #[must_use]
    pub fn lapsed_at(&self, expiry_ms: u64, kill_time: Duration) -> Duration {
        let left = Duration::from_millis(expiry_ms.saturating_sub(self.reading_ms));
        self.received + longest_local_time(left, kill_time)
    }
}

/// Returns the longest local time that `length` on a worker's clock can take, including the kill at its end, for which
/// the worker takes up to `kill_time`.
#[must_use]
pub fn longest_local_time(length: Duration, kill_time: Duration) -> Duration {
    length * MAX_LOCAL_MS_PER_WORKER_SECOND / 1_000 + kill_time
}

/// Returns the shortest local time that `length` on another steady clock can take.
#[must_use]
pub fn shortest_local_time(length: Duration) -> Duration {
    length * 1_000 / MAX_LOCAL_MS_PER_WORKER_SECOND
}

/// Latest end of the leases on a worker, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseEnd {
    /// No command that grants a lease was sent.
    None,
    /// Every lease was granted by its expiry on a known clock and has ended by this local time.
    By(Duration),
    /// The worker may have a lease that was granted in terms of the clock of an earlier incarnation. Such a lease has
    /// ended by this local time at the latest.
    UnknownBy(Duration),
}

/// Leases that this owner may have granted on a worker, whether its commands were answered or not.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantedLease {
    /// Newest reading of the clock of the worker's newest incarnation; `None` before its first answer.
    clock: Option<WorkerClock>,
    /// Highest expiry in any command to that incarnation, in milliseconds of its clock.
    expiry_ms: u64,
    /// Local time by which the leases have ended that commands for earlier incarnations may have granted on the newest
    /// one; `None` if there was no earlier one.
    earlier_end: Option<Duration>,
    /// Local time at which a lease was last granted to that incarnation.
    granted: Option<Duration>,
    /// First reading of its clock, in milliseconds; 0 before that.
    first_reading_ms: u64,
    /// Local time at which that incarnation was certainly alive. A worker may hold back an answer, so this is not only when
    /// the command was sent, but also the earliest time at which its clock can have had the reading.
    alive_at: Duration,
    /// Local time at which the last command with an expiry was made, for any incarnation.
    last_expiry_sent: Option<Duration>,
}

impl GrantedLease {
    /// Returns true if the clock of the newest incarnation is known, so that leases can be granted.
    #[must_use]
    pub fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Newest reading of the clock of the newest incarnation; `None` before its first answer.
    #[must_use]
    pub fn clock(&self) -> Option<&WorkerClock> {
        self.clock.as_ref()
    }

    /// Records a reading of the clock of the newest incarnation.
    pub fn on_reading(&mut self, clock: WorkerClock) {
        let read_at = match &self.clock {
            Some(last) => {
                let between =
                    Duration::from_millis(clock.reading_ms.saturating_sub(last.reading_ms + 1));
                last.sent + shortest_local_time(between)
            }
            None => {
                self.first_reading_ms = clock.reading_ms;
                clock.sent
            }
        };
        self.alive_at = self.alive_at.max(clock.sent).max(read_at);
        self.clock = Some(clock);
    }

    /// Returns true if a reading proves that the newest incarnation gave the answer, and not a later one that nothing has
    /// shown yet. That one would have begun after the newest was last known to be alive, with a clock that starts no
    /// higher than the newest one's did. Such a reading also shows when the newest one was alive, for the next call.
    pub fn proves_newest(&mut self, clock: &WorkerClock) -> bool {
        let Some(known) = &self.clock else { return false };
        let elapsed_ms = |from: Duration| {
            let elapsed = longest_local_time(clock.received.saturating_sub(from), Duration::ZERO);
            // Both readings are whole milliseconds.
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX).saturating_add(2)
        };
        let is_old_enough = !clock.has_gone_back(known)
            && (clock.sent < known.received || clock.reading_ms >= known.at_least_ms(clock.sent));
        let is_young_enough = clock.reading_ms <= known.reading_ms + elapsed_ms(known.sent);
        let is_beyond_next = clock.reading_ms > self.first_reading_ms + elapsed_ms(self.alive_at);
        let is_newest = is_old_enough && is_young_enough && is_beyond_next;
        if is_newest {
            self.alive_at = self.alive_at.max(clock.sent);
        }
        is_newest
    }

    /// Grants a lease of `length` from `now` and returns its expiry in milliseconds of the worker's clock; `None` if
    /// that clock is not known.
    pub fn grant(&mut self, now: Duration, length: Duration) -> Option<u64> {
        let expiry_ms = self.clock?.expiry_ms(now, length);
        self.expiry_ms = self.expiry_ms.max(expiry_ms);
        self.granted = Some(now);
        self.last_expiry_sent = Some(now);
        Some(expiry_ms)
    }

    /// Returns the expiry for a start: that of the newest lease if it has at least `min_left` left, so that starts sent to
    /// a worker whose silence is not noticed yet don't delay the end of its leases; otherwise that of a new lease.
    pub fn grant_for_start(
        &mut self,
        now: Duration,
        length: Duration,
        min_left: Duration,
    ) -> Option<u64> {
        if self.expiry_ms >= self.clock?.expiry_ms(now, min_left) {
            self.last_expiry_sent = Some(now);
            return Some(self.expiry_ms);
        }
        self.grant(now, length)
    }

    /// Forgets the clock, because another incarnation of the worker has replaced the one that it belongs to.
    ///
    /// Commands that were sent to the worker before `now` may still be carried out by the new incarnation. An expiry on
    /// the old clock means nothing there, but a worker shortens each lease to the longest that it accepts, counted from
    /// the arrival. `longest_lease` is the local time that this one can take.
    pub fn begin_incarnation(&mut self, now: Duration, longest_lease: Duration) {
        let earlier_end = now + MAX_COMMAND_DELAY + longest_lease;
        *self = Self {
            earlier_end: Some(earlier_end),
            last_expiry_sent: self.last_expiry_sent,
            ..Self::default()
        };
    }

    /// Records that commands of earlier owners may have granted leases to the newest incarnation in terms of the clock of
    /// an earlier one. They have ended by `end`.
    pub fn on_unknown_leases(&mut self, end: Duration) {
        self.earlier_end = self.earlier_end.max(Some(end));
    }

    /// Returns the local time by which the leases have ended of an incarnation that nothing has shown: it may carry out
    /// any command late, and takes an expiry on an earlier clock for the longest lease that it accepts. `longest_lease`
    /// is the local time that this one can take. `None` if no command had an expiry.
    #[must_use]
    pub fn end_on_unknown_incarnation(&self, longest_lease: Duration) -> Option<Duration> {
        Some(self.last_expiry_sent? + MAX_COMMAND_DELAY + longest_lease)
    }

    /// Returns the local time at which a lease was last granted to the newest incarnation; `None` if none was.
    #[must_use]
    pub fn granted(&self) -> Option<Duration> {
        self.granted
    }

    /// Returns the latest end of the leases; the worker ends their runs within `kill_time`.
    #[must_use]
    pub fn end(&self, kill_time: Duration) -> LeaseEnd {
        let own = self.clock.map(|clock| clock.lapsed_at(self.expiry_ms, kill_time));
        match (own, self.earlier_end) {
            (None, None) => LeaseEnd::None,
            (Some(own), None) => LeaseEnd::By(own),
            (Some(own), Some(earlier)) if own >= earlier => LeaseEnd::By(own),
            (_, Some(earlier)) => LeaseEnd::UnknownBy(earlier),
        }
    }

    /// Returns true if all leases have certainly ended by the local time `at`; see [`Self::end`].
    #[must_use]
    pub fn has_ended(&self, at: Duration, kill_time: Duration) -> bool {
        match self.end(kill_time) {
            LeaseEnd::None => true,
            LeaseEnd::By(end) | LeaseEnd::UnknownBy(end) => at >= end,
        }
    }
}
