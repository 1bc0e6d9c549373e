//! Age of a copy of rows that other processes or operators change.
//!
//! A process decides by copies: the operator config, the VM list, the jobs of a shard. Each is kept up to date by calls
//! that can fail or get no answer for any time, so how long such a call may take does not bound the age of the copy.
//! Whoever decides by a copy therefore asks its [`Freshness`] first, and does not decide if the copy is too old.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::port::StoreError;

/// Time without an answer after which a read is repeated over another connection. Most answers take a few milliseconds.
const REPEAT_DELAY: Duration = Duration::from_millis(300);

/// Most reads of one copy at a time.
const MAX_PARALLEL_READS: usize = 3;

/// Until when a copy of rows is known to contain all changes, and how old it may be for a decision.
#[derive(Debug)]
pub struct Freshness {
    limit: Duration,
    /// Local time at which the newest read whose answer was applied was sent, since changes may have followed the
    /// answer at once. `None` before the first one. Never decreases.
    confirmed: Cell<Option<Duration>>,
    /// True if a read that was sent when the copy was too old has failed, and none has succeeded since.
    is_unreachable: Cell<bool>,
    /// Notified when a decision needs the copy and it is too old.
    needed: Notify,
    /// Changes with each outcome of a read.
    outcomes: watch::Sender<()>,
}

impl Freshness {
    /// Creates the state of a copy that has not been read yet. `limit` is the greatest age at which it may be used.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            confirmed: Cell::new(None),
            is_unreachable: Cell::new(false),
            needed: Notify::new(),
            outcomes: watch::Sender::new(()),
        }
    }

    /// Returns how long a read that is sent at `now` may wait for changes; zero if the copy is too old. The copy ages by
    /// up to two waits and two answers between confirmations, so half of the limit is left for the answers.
    #[must_use]
    pub fn changes_wait(&self, now: Duration) -> Duration {
        if self.is_current(now) { self.limit / 4 } else { Duration::ZERO }
    }

    /// Returns the time since the copy was last known to be complete; `None` before the first read.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.get().map(|confirmed| now.saturating_sub(confirmed))
    }

    /// As [`Freshness::age`], in milliseconds, for the log; `never` before the first read.
    #[must_use]
    pub fn age_ms(&self, now: Duration) -> String {
        self.age(now).map_or_else(|| "never".to_owned(), |age| age.as_millis().to_string())
    }

    /// Returns true if decisions may be based on the copy at `now`.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= self.limit)
    }

    /// As [`Freshness::is_current`]. If the copy is too old, also asks for it to be read at once.
    #[must_use]
    pub fn require(&self, now: Duration) -> bool {
        let is_current = self.is_current(now);
        if !is_current {
            self.needed.notify_one();
        }
        is_current
    }

    /// Waits until the copy is required and too old.
    async fn needed(&self, clock: &dyn Clock) {
        loop {
            self.needed.notified().await;
            if !self.is_current(clock.boot()) {
                return;
            }
        }
    }

    /// Sends a read that may wait up to `wait` for changes, and repeats it without a wait if it gets no answer in time
    /// or a decision needs the copy: its connection may have gone silent, or its answer may be lost. Returns the first
    /// outcome, with the local time at which that read was sent.
    pub async fn read<T, F>(
        &self,
        clock: &dyn Clock,
        mut wait: Duration,
        read: impl Fn(Duration) -> F,
    ) -> (Duration, Result<T, StoreError>)
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let send = |wait| {
            let (sent, outcome) = (clock.boot(), read(wait));
            async move { (sent, outcome.await) }
        };
        let mut reads = FuturesUnordered::from_iter([send(wait)]);
        let mut repeat_at = Instant::now() + wait + REPEAT_DELAY;
        loop {
            tokio::select! {
                Some(outcome) = reads.next() => return outcome,
                () = tokio::time::sleep_until(repeat_at), if reads.len() < MAX_PARALLEL_READS => {}
                () = self.needed(clock), if !wait.is_zero() => {}
            }
            wait = Duration::ZERO;
            reads.push(send(wait));
            repeat_at = Instant::now() + REPEAT_DELAY;
        }
    }

    /// Records that the answer to a read sent at `sent` has been applied.
    pub fn confirm(&self, sent: Duration) {
        self.confirmed.set(self.confirmed.get().max(Some(sent)));
        self.is_unreachable.set(false);
        self.outcomes.send_replace(());
    }

    /// Records that a read sent at `sent` has failed.
    pub fn fail(&self, sent: Duration) {
        if !self.is_current(sent) {
            self.is_unreachable.set(true);
        }
        self.outcomes.send_replace(());
    }

    /// Waits for the outcome of the next read, at most for `timeout`. Returns at once if the last attempt to replace
    /// the copy has failed.
    pub async fn next_outcome(&self, timeout: Duration) {
        if !self.is_unreachable.get() {
            let mut outcomes = self.outcomes.subscribe();
            // The caller checks the age in either case.
            let _ = tokio::time::timeout(timeout, outcomes.changed()).await;
        }
    }
}
