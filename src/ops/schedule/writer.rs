//! The thread that commits transactions of the scheduler, and the look-up of lost answers.

use std::sync::mpsc::{Receiver, SyncSender};
use std::time::Duration;

use super::event::{Event, QueuedWrite};
use crate::ops::Context;
use crate::platform::table::{CommitResult, OperationQuery, OperationStatus, Transaction};

/// First pause between look-ups of a lost answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between look-ups.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Commits in the order given until the ring is closed.
pub(super) fn run(cx: &Context, queue: &Receiver<QueuedWrite>, events: &SyncSender<Event>) {
    while let Ok(queued) = queue.recv() {
        let Some(result) = commit_decided(cx, &queued.txn) else { return };
        let event = Event::CommitFinished { batch: queued.batch, epoch: queued.epoch, result };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Commits a transaction and insists on its outcome. `None` if the process stops before it is known.
pub(super) fn commit_decided(cx: &Context, txn: &Transaction) -> Option<CommitResult> {
    match cx.table.commit(txn) {
        Ok(result) => Some(result),
        Err(error) if error.had_no_effect() => Some(refused(txn)),
        Err(_) => resolve_outcome(cx, txn),
    }
}

/// Asks for an operation until the table answers. The operation is forbidden if the table has not seen it, so that it
/// cannot commit after this process has gone on.
fn resolve_outcome(cx: &Context, txn: &Transaction) -> Option<CommitResult> {
    let query = OperationQuery { operation: txn.operation.clone(), forbid: true };
    let mut pause = FIRST_PAUSE;
    while !cx.stop.is_stopped() {
        match cx.table.operation(&query) {
            Ok(OperationStatus::Decided { result }) => return Some(result),
            Ok(OperationStatus::Unknown) => return Some(refused(txn)),
            Err(_) => cx.clock.sleep(jittered(pause)),
        }
        pause = (pause * 2).min(MAX_PAUSE);
    }
    None
}

/// Nothing was written, and no condition is known to have failed.
fn refused(_txn: &Transaction) -> CommitResult {
    CommitResult::Conflict { failed: Vec::new() }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random::<f64>())
}
