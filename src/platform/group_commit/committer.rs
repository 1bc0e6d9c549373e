//! Commits a table write with retries and resolves its outcome if it is in doubt, within the deadline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clock::Clock;
use crate::platform::PlatformError;
use crate::platform::table::{CommitResult, OperationQuery, OperationStatus, Table, Transaction};
use crate::policy::retry::{Backoff, RetryBudget};

/// Upper bound of the first delay between attempts.
const BACKOFF_BASE: Duration = Duration::from_millis(50);

/// Upper bound of any delay between attempts.
const BACKOFF_CAP: Duration = Duration::from_millis(500);

/// Retries that the budget can accumulate; enough to ride out a restart of the table service.
const RETRY_BURST: u32 = 10;

/// Outcome of a write after its attempts and, if it was in doubt, the queries.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// The table committed it or returned a conflict.
    Decided(CommitResult),
    /// It had no effect and never will have one: no attempt reached the table, or the table refused it.
    NotCommitted {
        /// The last error.
        cause: PlatformError,
    },
    /// An attempt may have reached the table, but the table had not committed it and has now forbidden it.
    Forbidden {
        /// The error that put the outcome in doubt.
        cause: PlatformError,
    },
    /// The table gave no answer before the deadline: the write may have taken effect or may still do so.
    InDoubt {
        /// The last error.
        cause: PlatformError,
    },
}

/// Sends writes and outcome queries at a limited rate.
#[derive(Debug)]
pub(super) struct Committer {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    budget: RetryBudget,
    /// Timeout of one table call. Attempts end this long before the deadline, which leaves time for a query of the
    /// outcome.
    call_timeout: Duration,
    /// Minimum time between two calls.
    interval: Duration,
    /// Earliest time of the next call.
    next_call: Instant,
}

impl Committer {
    pub(super) fn new(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        retry_percent: u32,
        call_timeout: Duration,
        interval: Duration,
    ) -> Self {
        let next_call = clock.now();
        let budget = RetryBudget::prefilled(retry_percent, RETRY_BURST);
        Self { table, clock, budget, call_timeout, interval, next_call }
    }

    /// Waits until the rate limit allows a call, and reserves it.
    pub(super) fn wait_for_rate_limit(&mut self) {
        let now = self.clock.now();
        let wait = self.next_call.saturating_duration_since(now);
        if !wait.is_zero() {
            self.clock.sleep(wait);
        }
        self.next_call = self.next_call.max(now) + self.interval;
    }

    /// Commits a write. The caller must have called [`Committer::wait_for_rate_limit`] for the first attempt.
    pub(super) fn commit(&mut self, txn: &Transaction, deadline: Instant) -> WriteOutcome {
        self.budget.record_attempt();
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
        let latest = deadline.checked_sub(self.call_timeout).unwrap_or(deadline);
        let mut in_doubt = false;
        loop {
            let cause = match self.table.commit(txn) {
                Ok(result) => return WriteOutcome::Decided(result),
                Err(cause) => cause,
            };
            in_doubt |= !cause.had_no_effect();
            let refused = matches!(cause, PlatformError::Refused { .. });
            let delay = backoff.next_delay(self.clock.now(), latest, rand::random());
            match delay.filter(|_| !refused && self.budget.try_retry()) {
                Some(delay) => {
                    self.clock.sleep(delay);
                    self.wait_for_rate_limit();
                }
                None if in_doubt => return self.resolve(&txn.operation, deadline, cause),
                None => return WriteOutcome::NotCommitted { cause },
            }
        }
    }

    /// True if the deadline is too close for another attempt, so that the retry budget is not what ended the attempts.
    pub(super) fn is_near_deadline(&self, deadline: Instant) -> bool {
        self.clock.now() + self.call_timeout + BACKOFF_CAP >= deadline
    }

    /// Resolves a write in doubt: queries its outcome, and forbids it if the table has not seen it.
    ///
    /// Queries once even if the deadline has passed, so that the caller gets the outcome whenever possible.
    pub(super) fn resolve(
        &mut self,
        operation: &str,
        deadline: Instant,
        cause: PlatformError,
    ) -> WriteOutcome {
        let query = OperationQuery { operation: operation.to_owned(), forbid: true };
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
        loop {
            self.wait_for_rate_limit();
            let error = match self.table.operation(&query) {
                Ok(OperationStatus::Decided { result }) if !is_forbidden(&result) => {
                    return WriteOutcome::Decided(result);
                }
                Ok(_) => return WriteOutcome::Forbidden { cause },
                Err(error) => error,
            };
            match backoff.next_delay(self.clock.now(), deadline, rand::random()) {
                Some(delay) => self.clock.sleep(delay),
                None => return WriteOutcome::InDoubt { cause: error },
            }
        }
    }
}

/// True for the result that the table stores for a forbidden operation.
fn is_forbidden(result: &CommitResult) -> bool {
    matches!(result, CommitResult::Conflict { failed } if failed.is_empty())
}
