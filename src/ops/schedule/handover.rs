//! Hand-over of a hold at the planned stop of its holder: sending and accepting the message.

use std::time::Duration;

use super::hold_controller::release_transaction;
use super::probe;
use super::shared::{ReceivedHandOver, Role, SharedHolds, delays};
use super::status::millis;
use crate::domain::hold::candidate::Candidate;
use crate::domain::hold::holding::{Holding, Inherited};
use crate::ops::Context;
use crate::peer::{HandOver, PeerError};
use crate::platform::table::Row;
use crate::task::TaskRow;
use crate::telemetry::event::schedule as log;

const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Ends the hold, then hands it over to a successor that answers, or else releases it. At most one message is sent, so
/// that two successors never both believe that they hold the domain.
pub(super) fn hand_over_or_release(cx: &Context, holds: &SharedHolds, tasks: &[Row]) {
    let domain = &cx.cfg.domain;
    holds.with_candidate(domain, Candidate::retire);
    holds.with_holding(domain, Holding::end);
    let Some(holding) = holds.holding(domain) else { return };
    let named = holding.named_processes(crate::domain::ClaimantClass::Successor);
    let alive = probe::query_promises(
        cx,
        domain,
        probe::PROBE_EPOCH,
        crate::domain::ClaimantClass::Unlisted,
        &named,
    );
    let outcome = alive.first().map(|successor| send_hand_over(cx, &holding, tasks, successor));
    match outcome {
        Some(HandOverOutcome::Accepted) => {
            log::HOLD_HANDED_OVER.emit(format_args!("{domain} at epoch {}", holding.epoch()));
        }
        // The successor may hold the domain now, so the row must not be released.
        Some(HandOverOutcome::Unknown) => {}
        Some(HandOverOutcome::Refused) | None => release(cx, &holding),
    }
}

/// Outcome of the hand-over message.
enum HandOverOutcome {
    Accepted,
    /// The successor declined or was not reached, or the message could not be made. It does not hold the domain.
    Refused,
    /// The message may have been received, but no answer came.
    Unknown,
}

fn send_hand_over(
    cx: &Context,
    holding: &Holding,
    tasks: &[Row],
    successor: &str,
) -> HandOverOutcome {
    let directory = cx.directory.snapshot();
    let Some(member) = directory.get(successor) else { return HandOverOutcome::Refused };
    let Some(msg) = message(cx, holding, tasks) else { return HandOverOutcome::Refused };
    match cx.peers.hand_over(&member.peer_address, msg, HAND_OVER_TIMEOUT) {
        Ok(reply) if reply.accepted => HandOverOutcome::Accepted,
        Ok(_) | Err(PeerError::Unreachable { .. }) => HandOverOutcome::Refused,
        Err(PeerError::NoAnswer { .. }) => HandOverOutcome::Unknown,
    }
}

fn message(cx: &Context, holding: &Holding, tasks: &[Row]) -> Option<HandOver> {
    let domain = &cx.cfg.domain;
    let age = holding
        .confirmed()
        .unlisted
        .map(|at| cx.clock.now().saturating_duration_since(at))
        .unwrap_or(Duration::MAX);
    Some(HandOver {
        domain: domain.clone(),
        from: cx.process.clone(),
        epoch: holding.epoch(),
        confirmed_age_ms: millis(age),
        row: serde_json::to_string(&holding.hand_over_state()).ok()?,
        tasks: serde_json::to_string(tasks).ok()?,
    })
}

fn release(cx: &Context, holding: &Holding) {
    let domain = &cx.cfg.domain;
    let txn = release_transaction(domain, holding, &cx.process);
    if let Ok(crate::platform::table::CommitResult::Committed { .. }) = cx.table.commit(&txn) {
        log::HOLD_RELEASED.emit(format_args!("{domain} at epoch {}", holding.epoch()));
    }
}

/// Handles a hand-over message and returns true if this process is the holder from now on. The age of the sender's
/// confirmation is not used: the message may have been delayed for any time, so only this process's own reads of the
/// row count.
pub(super) fn accept(cx: &Context, holds: &SharedHolds, msg: &HandOver) -> bool {
    if cx.stop.is_draining() || msg.domain != cx.cfg.domain {
        return false;
    }
    let Ok(inherited) = serde_json::from_str::<Inherited>(&msg.row) else { return false };
    let Ok(tasks) = serde_json::from_str::<Vec<Row>>(&msg.tasks) else { return false };
    let mut roles = holds.lock();
    let Some(Role::Candidate(candidate)) = roles.get(&msg.domain) else { return false };
    let newer = candidate.row().is_some_and(|known| known.epoch > msg.epoch);
    if newer || inherited.row.epoch != msg.epoch || !candidate.has_no_claim() {
        return false;
    }
    let confirmed = candidate.confirmations(msg.epoch);
    let holding = Holding::new(&cx.process, delays(cx), inherited, confirmed);
    roles.insert(msg.domain.clone(), Role::Holder(holding));
    drop(roles);
    let tasks = tasks.iter().filter_map(decode_task).collect();
    holds.put_hand_over(ReceivedHandOver { epoch: msg.epoch, at: cx.clock.now(), tasks });
    true
}

fn decode_task(row: &Row) -> Option<(TaskRow, u64)> {
    let decoded = serde::Deserialize::deserialize(row.value.as_ref()?).ok()?;
    Some((decoded, row.revision))
}
