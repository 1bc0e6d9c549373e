//! Age of a copy of rows that other processes or operators change.

use std::cell::Cell;
use std::time::Duration;

/// Until when a copy of rows is known to contain all changes.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Local time at which the newest read whose answer was applied was sent, since changes may have followed the
    /// answer at once. `None` before the first one. Never decreases.
    confirmed: Cell<Option<Duration>>,
}

impl Freshness {
    /// Records that the answer to a read sent at `sent` has been applied.
    pub fn confirm(&self, sent: Duration) {
        self.confirmed.set(self.confirmed.get().max(Some(sent)));
    }

    /// Returns the time since the copy was last known to be complete; `None` before the first read.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.get().map(|confirmed| now.saturating_sub(confirmed))
    }
}
