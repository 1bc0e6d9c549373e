//! The thread that obtains, confirms and keeps the hold of the process's own domain, and reads the task rows.

use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

use super::batch::fence;
use super::event::{Event, Takeover};
use super::lists::with_updated_lists;
use super::probe;
use super::shared::{ReceivedHandOver, Role, SharedHolds, delays};
use super::writer::commit_and_resolve;
use crate::domain::ClaimantClass;
use crate::domain::hold::candidate::{Candidate, CandidateAction};
use crate::domain::hold::holding::{Holding, RowStatus};
use crate::domain::hold::{self, HoldRow};
use crate::ops::Context;
use crate::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, ReadResponse, Revision,
    Transaction, Write,
};
use crate::task::row;
use crate::telemetry::event::schedule as log;

/// Period at which a candidate reads the row while the holder answers.
const CANDIDATE_READ_PERIOD: Duration = Duration::from_secs(1);

/// Period at which the holder updates the lists of successors and rescuers.
const LISTS_UPDATE_PERIOD: Duration = Duration::from_secs(2);

/// Number of heartbeat periods without an answer of the holder after which a successor claims.
const SUCCESSOR_TIMEOUT_HEARTBEATS: u32 = 3;

/// Time without an answer of the holder after which a process that is not a successor claims.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(10);

/// Write of the row whose answer was lost.
#[derive(Debug)]
struct InDoubtWrite {
    operation: String,
    row: HoldRow,
    sent_at: Instant,
}

/// State of the thread.
#[derive(Debug)]
pub(super) struct HoldController {
    cx: Context,
    holds: SharedHolds,
    domain: String,
    events: SyncSender<Event>,
    /// Revision up to which the task rows have been read under the current hold.
    rows_revision: Revision,
    next_read: Instant,
    next_lists: Instant,
    /// Last answer of the holder; before the first, when this thread started.
    holder_answered_at: Instant,
    next_probe: Instant,
    in_doubt: Option<InDoubtWrite>,
    operations: u64,
}

impl HoldController {
    pub(super) fn new(
        cx: Context,
        holds: SharedHolds,
        domain: String,
        events: SyncSender<Event>,
    ) -> Self {
        let now = cx.clock.now();
        Self {
            cx,
            holds,
            domain,
            events,
            rows_revision: 0,
            next_read: now,
            next_lists: now,
            holder_answered_at: now,
            next_probe: now,
            in_doubt: None,
            operations: 0,
        }
    }

    /// Runs until the process stops.
    pub(super) fn run(mut self) {
        while !self.cx.stop.is_stopped() {
            if let Some(handed) = self.holds.take_hand_over() {
                self.on_hand_over(handed);
            }
            match self.holds.holding(&self.domain) {
                Some(holding) if !holding.is_ended() => self.run_as_holder(&holding),
                Some(_) => {}
                None => self.run_as_candidate(),
            }
            self.cx.clock.sleep(self.cx.cfg.timing.schedule_tick());
        }
    }

    fn on_hand_over(&mut self, handed: ReceivedHandOver) {
        self.rows_revision = 0;
        self.in_doubt = None;
        log::HOLD_TAKEN
            .emit(format_args!("{} at epoch {} by hand-over", self.domain, handed.epoch));
        self.send(Event::HoldTaken(Takeover {
            epoch: handed.epoch,
            at: handed.at,
            has_predecessor: true,
            tasks: handed.tasks,
        }));
    }

    fn send(&self, event: Event) {
        // The tick thread ends only when the process stops.
        let _ = self.events.send(event);
    }

    // Holder.

    fn run_as_holder(&mut self, holding: &Holding) {
        if self.in_doubt.is_some() && !self.resolve_in_doubt() {
            self.request_promises(holding);
            return;
        }
        let sent_at = self.cx.clock.now();
        let req = ReadRequest {
            keys: vec![hold::row_key(&self.domain)],
            prefixes: vec![row::domain_prefix(&self.domain)],
            changed_after: (self.rows_revision > 0).then_some(self.rows_revision),
        };
        match self.cx.table.read(&req) {
            Ok(response) => self.on_read(&response, sent_at),
            Err(_) => self.request_promises(holding),
        }
    }

    fn on_read(&mut self, response: &ReadResponse, sent_at: Instant) {
        let found = response.row(&hold::row_key(&self.domain)).map(decode_row);
        let read = self.holds.with_holding(&self.domain, |holding| {
            let before = holding.epoch();
            let status = match &found {
                Some(Some((row, revision))) => holding.on_row(Some((row, *revision)), sent_at),
                // No process deletes the row; without it nothing can be confirmed.
                Some(None) => RowStatus::Stale,
                None => holding.on_row(None, sent_at),
            };
            (status, before != holding.epoch(), holding.epoch())
        });
        let Some((status, raised, epoch)) = read else { return };
        if raised {
            // A write that was in doubt at the hand-over has committed.
            self.send(Event::EpochRaised(epoch));
        }
        match status {
            RowStatus::Confirmed => self.on_confirmed(response),
            RowStatus::Claimed => self.remove_foreign_claim(),
            RowStatus::Lost => self.step_down(),
            RowStatus::Stale => {}
        }
    }

    fn on_confirmed(&mut self, response: &ReadResponse) {
        let base = self.rows_revision;
        if response.revision >= base {
            self.rows_revision = response.revision;
            self.send(Event::TaskRows { base, response: response.clone() });
        }
        let Some(holding) = self.holds.holding(&self.domain) else { return };
        let now = self.cx.clock.now();
        if holding.names_another_holder() {
            self.write_row(&holding, holding.row().taken_by(&self.cx.process));
        } else if now >= self.next_lists {
            self.next_lists = now + LISTS_UPDATE_PERIOD;
            let next = with_updated_lists(&self.cx, &self.domain, holding.row());
            if next != *holding.row() {
                self.write_row(&holding, next);
            }
        }
    }

    /// Removes the claim of another process, since this process is alive and reaches the table.
    fn remove_foreign_claim(&mut self) {
        let Some(holding) = self.holds.holding(&self.domain) else { return };
        log::CLAIM_CONTESTED.emit(format_args!("{} at epoch {}", self.domain, holding.epoch()));
        let row = HoldRow { claim: None, ..holding.row().clone() };
        self.write_row(&holding, row);
    }

    fn step_down(&mut self) {
        log::HOLD_LOST.emit(format_args!("{}: another process holds it", self.domain));
        self.rows_revision = 0;
        self.in_doubt = None;
        let candidate = Candidate::new(&self.cx.process, delays(&self.cx));
        self.holds.set(&self.domain, Role::Candidate(candidate));
        self.send(Event::HoldLost);
    }

    /// Writes the row if it is unchanged. If the answer is lost, later rounds resolve the write, so that promises can
    /// be requested in between.
    fn write_row(&mut self, holding: &Holding, next: HoldRow) {
        let txn = self.row_transaction(&next, Some(holding.revision()));
        let sent_at = self.cx.clock.now();
        self.holds.with_holding(&self.domain, |holding| holding.on_write_sent(next.clone()));
        match self.cx.table.commit(&txn) {
            Ok(result) => self.on_written(&result, next, sent_at),
            Err(error) if error.had_no_effect() => self.on_refused(),
            Err(_) => {
                self.in_doubt = Some(InDoubtWrite { operation: txn.operation, row: next, sent_at });
            }
        }
    }

    fn on_written(&mut self, result: &CommitResult, row: HoldRow, sent_at: Instant) {
        let CommitResult::Committed { revision } = result else { return self.on_refused() };
        let epoch = row.epoch;
        let before = self.holds.with_holding(&self.domain, |holding| {
            let before = holding.epoch();
            holding.on_written(row, *revision, sent_at);
            before
        });
        if before.is_some_and(|before| before != epoch) {
            self.send(Event::EpochRaised(epoch));
        }
    }

    fn on_refused(&self) {
        self.holds.with_holding(&self.domain, Holding::on_write_refused);
    }

    /// Looks up the write in doubt, and forbids it if the table has not seen it. Returns true once its outcome is
    /// known.
    fn resolve_in_doubt(&mut self) -> bool {
        let Some(in_doubt) = self.in_doubt.take() else { return true };
        let query = OperationQuery { operation: in_doubt.operation.clone(), forbid: true };
        match self.cx.table.operation(&query) {
            Ok(OperationStatus::Decided { result }) => {
                self.on_written(&result, in_doubt.row, in_doubt.sent_at);
                true
            }
            Ok(OperationStatus::Unknown) => {
                self.on_refused();
                true
            }
            Err(_) => {
                self.in_doubt = Some(in_doubt);
                false
            }
        }
    }

    fn request_promises(&self, holding: &Holding) {
        for class in [ClaimantClass::Successor, ClaimantClass::Rescuer] {
            let named = holding.named_processes(class);
            let sent_at = self.cx.clock.now();
            let promised =
                probe::query_promises(&self.cx, &self.domain, holding.epoch(), class, &named);
            self.holds.with_holding(&self.domain, |holding| {
                holding.on_promises(class, &promised, sent_at)
            });
        }
    }

    // Candidate.

    fn run_as_candidate(&mut self) {
        let now = self.cx.clock.now();
        let holder_is_silent = self.is_holder_silent(now);
        if now >= self.next_read || holder_is_silent {
            self.next_read = now + CANDIDATE_READ_PERIOD;
            if !self.read_row(now) {
                return;
            }
        }
        let now = self.cx.clock.now();
        let action = self.holds.with_candidate(&self.domain, |candidate| {
            let action = candidate.next_action(holder_is_silent, now);
            if let CandidateAction::Claim(row, _) = &action {
                candidate.on_claim_sent(row.clone());
            }
            action
        });
        match action {
            Some(CandidateAction::Create(row)) => self.take(row, None),
            Some(CandidateAction::Take(row, revision)) => self.take(row, Some(revision)),
            Some(CandidateAction::Claim(row, revision)) => self.claim(&row, revision),
            Some(CandidateAction::Wait) | None => {}
        }
    }

    /// Probes the holder, and returns true if it has not answered for the timeout of this process's class.
    fn is_holder_silent(&mut self, now: Instant) -> bool {
        let known = self.holds.with_candidate(&self.domain, |candidate| candidate.row().cloned());
        let Some(Some(row)) = known else { return false };
        let heartbeat = self.cx.cfg.timing.heartbeat();
        if now >= self.next_probe {
            self.next_probe = now + heartbeat;
            if probe::is_alive(&self.cx, &self.domain, &row.holder) {
                self.holder_answered_at = self.cx.clock.now();
            }
        }
        let timeout = match row.class_of(&self.cx.process) {
            ClaimantClass::Successor => heartbeat * SUCCESSOR_TIMEOUT_HEARTBEATS,
            ClaimantClass::Rescuer | ClaimantClass::Unlisted => UNLISTED_TIMEOUT,
        };
        self.cx.clock.now().saturating_duration_since(self.holder_answered_at) >= timeout
    }

    fn read_row(&self, sent_at: Instant) -> bool {
        let key = hold::row_key(&self.domain);
        let req = ReadRequest { keys: vec![key.clone()], ..ReadRequest::default() };
        let Ok(response) = self.cx.table.read(&req) else { return false };
        let row = response.row(&key).and_then(decode_row);
        let now = self.cx.clock.now();
        self.holds.with_candidate(&self.domain, |candidate| candidate.on_row(row, sent_at, now));
        true
    }

    fn claim(&mut self, row: &HoldRow, revision: Revision) {
        log::HOLD_CLAIMED.emit(format_args!("{} at epoch {}", self.domain, row.epoch));
        let txn = self.row_transaction(row, Some(revision));
        let result = commit_and_resolve(&self.cx, &txn);
        let now = self.cx.clock.now();
        self.holds.with_candidate(&self.domain, |candidate| match result {
            Some(CommitResult::Committed { revision }) => {
                candidate.on_claim_committed(revision, now)
            }
            Some(CommitResult::Conflict { .. }) => candidate.on_claim_refused(),
            // The process is stopping; the claim stays in doubt until it exits.
            None => {}
        });
    }

    fn take(&mut self, row: HoldRow, revision: Option<Revision>) {
        let txn = self.row_transaction(&row, revision);
        let sent_at = self.cx.clock.now();
        let result = commit_and_resolve(&self.cx, &txn);
        let now = self.cx.clock.now();
        let Some(CommitResult::Committed { revision: taken }) = result else {
            self.holds.with_candidate(&self.domain, Candidate::on_claim_refused);
            return;
        };
        let epoch = row.epoch;
        let delays = delays(&self.cx);
        let holding = Holding::taken(&self.cx.process, delays, row, taken, sent_at);
        self.rows_revision = 0;
        self.holds.set(&self.domain, Role::Holder(holding));
        log::HOLD_TAKEN.emit(format_args!("{} at epoch {epoch}", self.domain));
        let has_predecessor = revision.is_some();
        let takeover = Takeover { epoch, at: now, has_predecessor, tasks: Vec::new() };
        self.send(Event::HoldTaken(takeover));
    }

    fn row_transaction(&mut self, row: &HoldRow, revision: Option<Revision>) -> Transaction {
        self.operations += 1;
        let key = hold::row_key(&self.domain);
        let condition = match revision {
            Some(revision) => Condition::AtRevision { key: key.clone(), revision },
            None => Condition::Absent { key: key.clone() },
        };
        Transaction {
            operation: format!("{}/{key}/{}", self.cx.process, self.operations),
            conditions: vec![condition],
            // The row holds only text and numbers, which always encode.
            writes: vec![Write::Put { key, value: serde_json::to_value(row).unwrap_or_default() }],
        }
    }
}

/// Decodes a table row; `None` if it was deleted or is malformed.
pub(super) fn decode_row(row: &crate::platform::table::Row) -> Option<(HoldRow, Revision)> {
    let value = row.value.as_ref()?;
    let decoded: HoldRow = serde::Deserialize::deserialize(value).ok()?;
    Some((decoded, row.revision))
}

/// Returns the transaction that releases a hold, so that any process may take it.
pub(super) fn release_transaction(domain: &str, holding: &Holding, process: &str) -> Transaction {
    let key = hold::row_key(domain);
    let row = HoldRow { holder: hold::RELEASED.to_owned(), claim: None, ..holding.row().clone() };
    let revision = holding.revision();
    Transaction {
        operation: format!("{process}/{key}/release/{}", holding.epoch()),
        conditions: vec![
            fence(domain, holding.epoch()),
            Condition::AtRevision { key: key.clone(), revision },
        ],
        writes: vec![Write::Put { key, value: serde_json::to_value(row).unwrap_or_default() }],
    }
}
