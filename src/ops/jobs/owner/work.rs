//! Time that the owner of a shard spends on each kind of work, and how late its thread is.
//!
//! One thread runs the rounds of the scheduler, sends commands, processes their answers, writes rows and follows the
//! changes of jobs. Once it has more to do than its VM can process, all of these wait for each other. The time by kind
//! says what the thread is busy with, and the lag of its timers how long everything waits.

use std::cell::Cell;
use std::time::Duration;

use crate::clock::Clock;
use crate::ops::jobs::node::Node;
use crate::telemetry::event::shard as event;

/// Lag of a round from which the thread counts as saturated: several rounds.
const SATURATED_LAG: Duration = Duration::from_millis(100);

/// Least time between two lines about a saturated thread.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Kind of work of the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Work {
    /// Rounds of the scheduler.
    Rounds,
    /// Processing of answers to commands.
    Answers,
    /// Encoding of rows and processing of their outcome.
    Rows,
    /// Decoding of new jobs and of the VM list.
    Changes,
}

/// Work since the last export.
#[derive(Debug, Default)]
pub(super) struct WorkLog {
    /// Time by kind of work, in the order of [`Work`].
    spent: [Cell<Duration>; 4],
    rounds: Cell<u32>,
    longest_round: Cell<Duration>,
    longest_lag: Cell<Duration>,
    /// Greatest age of an accepted job when the scheduler got it.
    oldest_job: Cell<Duration>,
    /// Size of the newest heartbeat, in bytes.
    heartbeat_bytes: Cell<usize>,
    began: Cell<Duration>,
    logged: Cell<Option<Duration>>,
}

impl WorkLog {
    /// Runs `f`, and counts the time that it takes.
    pub(super) fn measure<T>(&self, clock: &dyn Clock, work: Work, f: impl FnOnce() -> T) -> T {
        let began = clock.boot();
        let value = f();
        let took = clock.boot().saturating_sub(began);
        self.spent[work as usize].update(|spent| spent + took);
        if work == Work::Rounds {
            self.rounds.update(|rounds| rounds + 1);
            self.longest_round.update(|longest| longest.max(took));
        }
        value
    }

    /// Records by how much a timer of the thread was late.
    pub(super) fn record_lag(&self, lag: Duration) {
        self.longest_lag.update(|longest| longest.max(lag));
    }

    /// Records the age of a job that the scheduler has got.
    pub(super) fn record_job_age(&self, age: Duration) {
        self.oldest_job.update(|oldest| oldest.max(age));
    }

    /// Records the size of a heartbeat that is about to be sent.
    pub(super) fn record_heartbeat(&self, bytes: usize) {
        self.heartbeat_bytes.set(bytes);
    }

    /// Returns the size of the newest heartbeat, in bytes; 0 before the first.
    pub(super) fn heartbeat_bytes(&self) -> usize {
        self.heartbeat_bytes.get()
    }

    /// Exports the work since the last call as metrics, and logs it if the thread was saturated. Returns the greatest lag.
    pub(super) fn export<P>(&self, node: &Node<P>, shard: u32, epoch: u64) -> Duration {
        let now = node.clock.boot();
        let spent_us = self.spent.each_ref().map(|spent| spent.take().as_micros() as u64);
        let [rounds_us, answers_us, rows_us, changes_us] = spent_us;
        node.metrics.count("shard.rounds_us", rounds_us);
        node.metrics.count("shard.answers_us", answers_us);
        node.metrics.count("shard.rows_us", rows_us);
        node.metrics.count("shard.changes_us", changes_us);
        let (lag, oldest_job) = (self.longest_lag.take(), self.oldest_job.take());
        let (rounds, longest_round) = (self.rounds.take(), self.longest_round.take());
        let period = now.saturating_sub(self.began.replace(now));
        node.metrics.gauge("shard.lag_ms", lag.as_millis() as u64);
        node.metrics.gauge("shard.heartbeat_bytes", self.heartbeat_bytes.get() as u64);
        let is_logged =
            self.logged.get().is_some_and(|logged| now.saturating_sub(logged) < LOG_PERIOD);
        if lag < SATURATED_LAG || is_logged {
            return lag;
        }
        self.logged.set(Some(now));
        event::OWNER_SATURATED.emit(format_args!(
            "shard={shard} epoch={epoch} lag_ms={} period_ms={} rounds={rounds} longest_round_us={} rounds_us={rounds_us} answers_us={answers_us} rows_us={rows_us} changes_us={changes_us} oldest_job_ms={} heartbeat_bytes={}",
            lag.as_millis(),
            period.as_millis(),
            longest_round.as_micros(),
            oldest_job.as_millis(),
            self.heartbeat_bytes.get()
        ));
        lag
    }
}
