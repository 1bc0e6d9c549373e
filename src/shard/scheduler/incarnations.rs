//! Incarnations of a worker: what shows that one has ended, and what is known of the next one.

use std::time::Duration;

use crate::shard::lapse::WorkerClock;
use crate::telemetry::event::shard as event;

use super::handover::Incarnation;
use super::{Command, ShardScheduler};

impl ShardScheduler {
    /// Logs an answer that an unknown incarnation has given, as its clock tells.
    pub(super) fn log_incarnation_of_answer(
        &self,
        now: Duration,
        command: &Command,
        sent: Duration,
        clock_ms: Option<u64>,
    ) {
        let Some(worker) = self.workers.get(&command.worker) else { return };
        let (Some(clock_ms), Some(known)) = (clock_ms, worker.lease.clock()) else { return };
        let is_for_newest = command.incarnation == worker.incarnation;
        if is_for_newest && WorkerClock::new(clock_ms, sent, now).has_gone_back(known) {
            event::WORKER_CLOCK_WENT_BACK.emit(format_args!(
                "worker={} incarnation={} clock_ms={clock_ms} last_clock_ms={} command={}",
                command.worker,
                Incarnation(worker.incarnation_started_unix_ms),
                known.reading_ms(),
                command.kind
            ));
        }
    }
}
