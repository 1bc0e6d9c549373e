//! The tick thread. It alone changes the scheduler state, and never waits for a service or a worker.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};

use super::batch;
use super::event::{Event, QueuedCall, QueuedWrite, RowChange};
use super::shared::SharedHolds;
use super::state::SchedulerState;
use super::status::{SchedulerStatus, status};
use super::tick::TickInput;
use crate::ops::Context;
use crate::platform::table::Row;

/// Connections of the tick thread to the other threads.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) cx: Context,
    pub(super) holds: SharedHolds,
    pub(super) domain: String,
    pub(super) events: Receiver<Event>,
    pub(super) calls: SyncSender<QueuedCall>,
    pub(super) writes: SyncSender<QueuedWrite>,
    pub(super) status: Arc<Mutex<SchedulerStatus>>,
    /// Receives the task rows when the thread ends, for the hand-over message.
    pub(super) last_rows: Arc<Mutex<Vec<Row>>>,
}

impl Runner {
    /// Runs until the process stops.
    pub(super) fn run(self) {
        let mut state = None;
        self.run_ticks(&mut state);
        if let Some(state) = state {
            *self.last_rows.lock().unwrap_or_else(PoisonError::into_inner) = state.rows();
        }
    }

    fn run_ticks(&self, state: &mut Option<SchedulerState>) {
        let mut next_tick = self.cx.clock.boot();
        while !self.cx.stop.is_stopped() {
            let wait = next_tick.saturating_sub(self.cx.clock.boot());
            match self.events.recv_timeout(wait) {
                Ok(event) => {
                    self.on_event(state, event);
                    while let Ok(event) = self.events.try_recv() {
                        self.on_event(state, event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.cx.clock.boot() >= next_tick {
                next_tick = self.cx.clock.boot() + self.cx.cfg.timing.schedule_tick();
                self.tick(state.as_mut());
            }
            if let Some(state) = state {
                self.dispatch(state);
            }
        }
    }

    fn on_event(&self, state: &mut Option<SchedulerState>, event: Event) {
        match (event, state) {
            (Event::HoldTaken(takeover), state) => {
                let timing = self.cx.cfg.timing.clone();
                *state = Some(SchedulerState::new(&self.domain, timing, takeover));
            }
            (Event::HoldLost, state) => *state = None,
            (Event::EpochRaised(epoch), Some(state)) => state.takeover.epoch = epoch,
            (Event::TaskRows { base, response }, Some(state)) => {
                state.on_task_rows(base, &response, self.cx.clock.now());
            }
            (Event::CallFinished(end), Some(state)) => state.on_call_finished(end),
            (Event::CommitFinished { batch, epoch, result }, Some(state))
                if state.knows_epoch(epoch) =>
            {
                state.on_commit_finished(batch, &result, self.cx.clock.now());
            }
            _ => {}
        }
    }

    fn tick(&self, state: Option<&mut SchedulerState>) {
        let holding = self.holds.holding(&self.domain);
        if let (Some(state), Some(holding)) = (state, &holding) {
            let started = self.cx.clock.boot();
            let cache = self.cx.catalogue.snapshot();
            let vms = self.cx.vm_listing.snapshot();
            let others: Vec<String> =
                self.cx.cfg.domains.iter().filter(|name| **name != self.domain).cloned().collect();
            let input = TickInput {
                now: self.cx.clock.now(),
                holding,
                catalogue: &cache,
                vms: &vms,
                others: &others,
            };
            let changes = state.tick(&input);
            self.write(state, &changes);
            let took = self.cx.clock.boot().saturating_sub(started);
            let tick_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            state.longest_tick_us = state.longest_tick_us.max(tick_us);
            let status = SchedulerStatus { tick_us, ..status(state, holding, &input) };
            *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
            self.cx.metrics.time("schedule.tick", took);
        }
    }

    fn write(&self, state: &mut SchedulerState, changes: &[RowChange]) {
        for chunk in changes.chunks(batch::MAX_ROWS) {
            let batch = state.register(chunk.to_vec());
            let epoch = state.epoch();
            let txn = batch::transaction(&self.cx.process, &self.domain, epoch, batch, chunk);
            let queued = QueuedWrite { batch, epoch, txn };
            if let Err(TrySendError::Full(queued) | TrySendError::Disconnected(queued)) =
                self.writes.try_send(queued)
            {
                // Nothing was sent, so a later tick decides the changes again.
                let not_committed =
                    crate::platform::table::CommitResult::Conflict { failed: Vec::new() };
                state.on_commit_finished(queued.batch, &not_committed, self.cx.clock.now());
            }
        }
    }

    fn dispatch(&self, state: &mut SchedulerState) {
        let epoch = state.epoch();
        state.fleet.dispatch(epoch, |queued| {
            self.calls.try_send(queued).map_err(|error| match error {
                TrySendError::Full(queued) | TrySendError::Disconnected(queued) => queued,
            })
        });
    }
}
