//! The thread that commits the transactions of the scheduler, and resolves those whose answers are lost.

use std::sync::mpsc::{Receiver, SyncSender};
use std::time::Duration;

use super::event::{Event, QueuedWrite};
use crate::ops::Context;
use crate::platform::table::{CommitResult, OperationQuery, OperationStatus, Transaction};

/// Upper bound of the first random pause between look-ups; doubles with each look-up.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Upper bound of every pause between look-ups.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Commits transactions in the order of the queue until it is closed or the process stops.
pub(super) fn run(cx: &Context, queue: &Receiver<QueuedWrite>, events: &SyncSender<Event>) {
    while let Ok(queued) = queue.recv() {
        let Some(result) = commit_and_resolve(cx, &queued.txn) else { return };
        let event = Event::CommitFinished { batch: queued.batch, epoch: queued.epoch, result };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Commits a transaction and waits until its outcome is known; `None` if the process stops first.
pub(super) fn commit_and_resolve(cx: &Context, txn: &Transaction) -> Option<CommitResult> {
    match cx.table.commit(txn) {
        Ok(result) => Some(result),
        Err(error) if error.had_no_effect() => Some(not_committed(txn)),
        Err(_) => resolve_outcome(cx, txn),
    }
}

/// Looks up an operation until the table answers. If the table has not seen the operation, the look-up forbids it, so
/// that it cannot commit later.
fn resolve_outcome(cx: &Context, txn: &Transaction) -> Option<CommitResult> {
    let query = OperationQuery { operation: txn.operation.clone(), forbid: true };
    let mut pause = FIRST_PAUSE;
    while !cx.stop.is_stopped() {
        match cx.table.operation(&query) {
            Ok(OperationStatus::Decided { result }) => return Some(result),
            Ok(OperationStatus::Unknown) => return Some(not_committed(txn)),
            Err(_) => cx.clock.sleep(jittered(pause)),
        }
        pause = (pause * 2).min(MAX_PAUSE);
    }
    None
}

/// Returns the result of a transaction that did not commit and for which no failed condition is known.
fn not_committed(_txn: &Transaction) -> CommitResult {
    CommitResult::Conflict { failed: Vec::new() }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random::<f64>())
}
