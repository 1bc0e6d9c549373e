//! The tick thread: it alone changes the state of the hold, and never waits for a service or a worker.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};

use super::batch;
use super::core::Core;
use super::event::{CallOrder, Event, RowChange, WriteOrder};
use super::shared::SharedHolds;
use super::status::{SchedulerStatus, status};
use super::tick::View;
use crate::ops::Context;
use crate::platform::table::Row;

/// What the tick thread needs.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) cx: Context,
    pub(super) holds: SharedHolds,
    pub(super) domain: String,
    pub(super) events: Receiver<Event>,
    pub(super) calls: SyncSender<CallOrder>,
    pub(super) writes: SyncSender<WriteOrder>,
    pub(super) status: Arc<Mutex<SchedulerStatus>>,
    /// Receives the task rows when the thread ends, for the hand-over message.
    pub(super) last_rows: Arc<Mutex<Vec<Row>>>,
}

impl Runner {
    /// Runs until the process stops.
    pub(super) fn run(self) {
        let mut core = None;
        self.run_ticks(&mut core);
        if let Some(core) = core {
            *self.last_rows.lock().unwrap_or_else(PoisonError::into_inner) = core.rows();
        }
    }

    fn run_ticks(&self, core: &mut Option<Core>) {
        let mut next_tick = self.cx.clock.boot();
        while !self.cx.stop.is_stopped() {
            let wait = next_tick.saturating_sub(self.cx.clock.boot());
            match self.events.recv_timeout(wait) {
                Ok(event) => {
                    self.take(core, event);
                    while let Ok(event) = self.events.try_recv() {
                        self.take(core, event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.cx.clock.boot() >= next_tick {
                next_tick = self.cx.clock.boot() + self.cx.cfg.timing.schedule_tick();
                self.tick(core.as_mut());
            }
            if let Some(core) = core {
                self.dispatch(core);
            }
        }
    }

    fn take(&self, core: &mut Option<Core>, event: Event) {
        match (event, core) {
            (Event::Taken(takeover), core) => {
                let timing = self.cx.cfg.timing.clone();
                *core = Some(Core::new(&self.domain, timing, takeover));
            }
            (Event::Lost, core) => *core = None,
            (Event::Epoch(epoch), Some(core)) => core.takeover.epoch = epoch,
            (Event::Feed { base, response }, Some(core)) => {
                core.on_feed(base, &response, self.cx.clock.now());
            }
            (Event::Called(end), Some(core)) => core.on_called(end),
            (Event::Committed { batch, epoch, result }, Some(core)) if core.knows_epoch(epoch) => {
                core.on_committed(batch, &result, self.cx.clock.now());
            }
            _ => {}
        }
    }

    fn tick(&self, core: Option<&mut Core>) {
        let holding = self.holds.holding(&self.domain);
        if let (Some(core), Some(holding)) = (core, &holding) {
            let started = self.cx.clock.boot();
            let cache = self.cx.catalogue.snapshot();
            let vms = self.cx.vm_listing.snapshot();
            let others: Vec<String> =
                self.cx.cfg.domains.iter().filter(|name| **name != self.domain).cloned().collect();
            let view = View {
                now: self.cx.clock.now(),
                holding,
                catalogue: &cache,
                vms: &vms,
                others: &others,
            };
            let changes = core.tick(&view);
            self.write(core, &changes);
            let took = self.cx.clock.boot().saturating_sub(started);
            let tick_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            core.longest_tick_us = core.longest_tick_us.max(tick_us);
            let status = SchedulerStatus { tick_us, ..status(core, holding, &view) };
            *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
            self.cx.metrics.time("schedule.tick", took);
        }
    }

    fn write(&self, core: &mut Core, changes: &[RowChange]) {
        for chunk in changes.chunks(batch::MAX_ROWS) {
            let batch = core.register(chunk.to_vec());
            let epoch = core.epoch();
            let txn = batch::transaction(&self.cx.process, &self.domain, epoch, batch, chunk);
            let order = WriteOrder { batch, epoch, txn };
            if let Err(TrySendError::Full(order) | TrySendError::Disconnected(order)) =
                self.writes.try_send(order)
            {
                // Nothing was sent, so the changes are decided anew in a later tick.
                let nothing = crate::platform::table::CommitResult::Conflict { failed: Vec::new() };
                core.on_committed(order.batch, &nothing, self.cx.clock.now());
            }
        }
    }

    fn dispatch(&self, core: &mut Core) {
        let epoch = core.epoch();
        core.fleet.dispatch(epoch, |order| {
            self.calls.try_send(order).map_err(|error| match error {
                TrySendError::Full(order) | TrySendError::Disconnected(order) => order,
            })
        });
    }
}
