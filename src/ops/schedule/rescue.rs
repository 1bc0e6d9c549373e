//! The thread that watches the holds of other domains, takes over a domain whose holder is silent if this process is a
//! rescuer there, and moves its tasks to other domains. Any process takes over a released domain without a claim, if no
//! process of that domain answers.
//!
//! This process calls no worker of that domain. When a rescuer's claim takes effect, every lease of an exclusive task
//! there has ended, so the tasks can be moved at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::batch::{self, MAX_ROWS};
use super::event::{RowChange, TaskWrite};
use super::hold_controller::{decode_row, release_transaction};
use super::probe;
use super::shared::{Role, SharedHolds, delays};
use super::writer::commit_and_resolve;
use crate::catalogue::cache::CatalogueCache;
use crate::catalogue::document::Document;
use crate::domain::hold::candidate::{Candidate, CandidateAction};
use crate::domain::hold::holding::{Holding, RowStatus};
use crate::domain::hold::{self, HoldRow, RELEASED};
use crate::domain::{ClaimantClass, DomainState};
use crate::ops::Context;
use crate::platform::table::{
    CommitResult, Condition, ReadRequest, Revision, Row, Transaction, Write,
};
use crate::task::lifecycle::AnyTask;
use crate::task::{TaskRow, row};
use crate::telemetry::event::schedule as log;

/// Time without an answer of the holder after which a rescuer claims.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bound on the period at which the hold rows are read.
const MAX_POLL_PERIOD: Duration = Duration::from_secs(1);

/// State of the thread.
#[derive(Debug)]
pub(super) struct Rescue {
    cx: Context,
    holds: SharedHolds,
    /// Last answer of each domain's holder; before the first, when the domain was first checked.
    holder_answered_at: BTreeMap<String, Instant>,
    operations: u64,
}

impl Rescue {
    pub(super) fn new(cx: Context, holds: SharedHolds) -> Self {
        Self { cx, holds, holder_answered_at: BTreeMap::new(), operations: 0 }
    }

    /// Runs until the process stops.
    pub(super) fn run(mut self) {
        let period = MAX_POLL_PERIOD.min(self.cx.cfg.timing.heartbeat() * 2);
        while !self.cx.stop.is_stopped() {
            self.poll_holds();
            self.cx.clock.sleep(period);
        }
    }

    fn poll_holds(&mut self) {
        let sent_at = self.cx.clock.now();
        let prefixes = vec![hold::ROW_PREFIX.to_owned()];
        let req = ReadRequest { prefixes, ..ReadRequest::default() };
        let Ok(response) = self.cx.table.read(&req) else { return };
        let now = self.cx.clock.now();
        let cfg = std::sync::Arc::clone(&self.cx.cfg);
        for domain in cfg.domains.iter().filter(|domain| **domain != cfg.domain) {
            let found = response.row(&hold::row_key(domain)).and_then(decode_row);
            // A domain without a row has never had a scheduler.
            let Some((row, revision)) = found else { continue };
            let class = row.class_of(&self.cx.process);
            match self.holds.holding(domain) {
                Some(_) => self.run_as_holder(domain, &row, revision, sent_at),
                None => {
                    let seen = Some((row.clone(), revision));
                    self.holds.with_candidate(domain, |candidate| {
                        candidate.on_row(seen, sent_at, now);
                    });
                    if class == ClaimantClass::Rescuer || row.holder == RELEASED {
                        self.try_take_over(domain, &row.holder);
                    }
                }
            }
        }
    }

    fn try_take_over(&mut self, domain: &str, holder: &str) {
        let holder_is_silent = self.is_holder_silent(domain, holder);
        let now = self.cx.clock.now();
        // Leaves a released domain to its own processes while any of them answers.
        if holder == RELEASED && (!holder_is_silent || self.has_live_process(domain)) {
            return;
        }
        let action = self.holds.with_candidate(domain, |candidate| {
            let action = candidate.next_action(holder_is_silent, now);
            if let CandidateAction::Claim(row, _) = &action {
                candidate.on_claim_sent(row.clone());
            }
            action
        });
        match action {
            Some(CandidateAction::Claim(row, revision)) => self.claim(domain, &row, revision),
            Some(CandidateAction::Take(row, revision)) => self.take(domain, row, revision),
            Some(CandidateAction::Create(_) | CandidateAction::Wait) | None => {}
        }
    }

    /// Probes the holder, and returns true if it does not answer in a domain that is out of service, or has not
    /// answered for [`HOLDER_TIMEOUT`] in any other.
    fn is_holder_silent(&mut self, domain: &str, holder: &str) -> bool {
        let now = self.cx.clock.now();
        let holder_answered_at = self.holder_answered_at.entry(domain.to_owned()).or_insert(now);
        if holder != RELEASED && probe::is_alive(&self.cx, domain, holder) {
            *holder_answered_at = self.cx.clock.now();
            return false;
        }
        let out = self.cx.catalogue.snapshot().domain_state(domain) == DomainState::Out;
        out || now.saturating_duration_since(*holder_answered_at) >= HOLDER_TIMEOUT
    }

    /// Returns true if a process of the domain answers a probe.
    fn has_live_process(&self, domain: &str) -> bool {
        let directory = self.cx.directory.snapshot();
        let members: BTreeSet<String> = directory
            .values()
            .filter(|member| member.domain == domain)
            .map(|member| member.process.clone())
            .collect();
        let class = ClaimantClass::Unlisted;
        !probe::query_promises(&self.cx, domain, probe::PROBE_EPOCH, class, &members).is_empty()
    }

    fn claim(&mut self, domain: &str, row: &HoldRow, revision: Revision) {
        log::HOLD_CLAIMED.emit(format_args!("{domain} at epoch {} as a rescuer", row.epoch));
        let txn = self.row_transaction(domain, row, revision);
        let result = commit_and_resolve(&self.cx, &txn);
        let now = self.cx.clock.now();
        self.holds.with_candidate(domain, |candidate| match result {
            Some(CommitResult::Committed { revision }) => {
                candidate.on_claim_committed(revision, now)
            }
            Some(CommitResult::Conflict { .. }) => candidate.on_claim_refused(),
            // The process is stopping; the claim stays in doubt until it exits.
            None => {}
        });
    }

    fn take(&mut self, domain: &str, row: HoldRow, revision: Revision) {
        let txn = self.row_transaction(domain, &row, revision);
        let sent_at = self.cx.clock.now();
        let result = commit_and_resolve(&self.cx, &txn);
        let Some(CommitResult::Committed { revision }) = result else {
            self.holds.with_candidate(domain, Candidate::on_claim_refused);
            return;
        };
        let epoch = row.epoch;
        let holding = Holding::taken(&self.cx.process, delays(&self.cx), row, revision, sent_at);
        self.holds.set(domain, Role::Holder(holding));
        log::DOMAIN_RESCUED.emit(format_args!("{domain} at epoch {epoch}"));
    }

    /// Moves the tasks of a domain that this process holds, and releases the hold once a process of that domain
    /// answers.
    fn run_as_holder(&mut self, domain: &str, row: &HoldRow, revision: Revision, sent_at: Instant) {
        let status = self
            .holds
            .with_holding(domain, |holding| holding.on_row(Some((row, revision)), sent_at));
        if status == Some(RowStatus::Lost) {
            log::HOLD_LOST.emit(format_args!("{domain}: another process holds it"));
            self.become_candidate(domain);
            return;
        }
        let Some(holding) = self.holds.holding(domain) else { return };
        if status == Some(RowStatus::Confirmed) {
            self.move_tasks(domain, holding.epoch());
        }
        if self.has_live_process(domain) {
            self.release_hold(domain, &holding);
        }
    }

    fn release_hold(&mut self, domain: &str, holding: &Holding) {
        let txn = release_transaction(domain, holding, &self.cx.process);
        if let Some(CommitResult::Committed { .. }) = commit_and_resolve(&self.cx, &txn) {
            log::HOLD_RELEASED.emit(format_args!("{domain} at epoch {}", holding.epoch()));
            self.become_candidate(domain);
        }
    }

    fn become_candidate(&mut self, domain: &str) {
        self.holder_answered_at.remove(domain);
        let candidate = Candidate::new(&self.cx.process, delays(&self.cx));
        self.holds.set(domain, Role::Candidate(candidate));
    }

    /// Moves the tasks that have not ended to domains in service, a batch at a time.
    fn move_tasks(&mut self, domain: &str, epoch: u64) {
        let prefixes = vec![row::domain_prefix(domain)];
        let req = ReadRequest { prefixes, ..ReadRequest::default() };
        let Ok(response) = self.cx.table.read(&req) else { return };
        let cache = self.cx.catalogue.snapshot();
        let destinations = self.destinations(domain, &cache);
        let changes: Vec<RowChange> = response
            .rows
            .iter()
            .filter_map(decode_task)
            .enumerate()
            .filter_map(|(index, task)| plan_move(task, &cache, &destinations, index))
            .collect();
        for chunk in changes.chunks(MAX_ROWS) {
            self.operations += 1;
            let process = &self.cx.process;
            let txn = batch::transaction(process, domain, epoch, self.operations, chunk);
            if commit_and_resolve(&self.cx, &txn).is_none() {
                return;
            }
        }
    }

    /// Returns the other domains in service, starting with that of this process.
    fn destinations(&self, domain: &str, cache: &CatalogueCache) -> Vec<String> {
        let own = std::iter::once(&self.cx.cfg.domain);
        let rest = self.cx.cfg.domains.iter().filter(|name| **name != self.cx.cfg.domain);
        own.chain(rest)
            .filter(|name| *name != domain && cache.domain_state(name) == DomainState::In)
            .cloned()
            .collect()
    }

    fn row_transaction(&mut self, domain: &str, row: &HoldRow, revision: Revision) -> Transaction {
        self.operations += 1;
        let key = hold::row_key(domain);
        Transaction {
            operation: format!("{}/rescue/{key}/{}", self.cx.process, self.operations),
            conditions: vec![Condition::AtRevision { key: key.clone(), revision }],
            // The row holds only text and numbers, which always encode.
            writes: vec![Write::Put { key, value: serde_json::to_value(row).unwrap_or_default() }],
        }
    }
}

fn decode_task(row: &Row) -> Option<(TaskRow, Revision)> {
    let decoded = serde::Deserialize::deserialize(row.value.as_ref()?).ok()?;
    Some((decoded, row.revision))
}

/// Returns the move of a task to one of `destinations`, or its cancellation if that was requested; `None` if it has
/// ended or is allowed in no destination. `index` spreads the tasks over the destinations.
fn plan_move(
    (task, revision): (TaskRow, Revision),
    cache: &CatalogueCache,
    destinations: &[String],
    index: usize,
) -> Option<RowChange> {
    let allows = |domain: &&String| match cache.document(&task.entry) {
        Some(Document::Entry(entry)) => entry.allows_domain(domain),
        _ => true,
    };
    let allowed: Vec<&String> = destinations.iter().filter(allows).collect();
    let destination = allowed.get(index % allowed.len().max(1))?;
    let id = task.id.clone();
    let unassigned = match AnyTask::from(task) {
        AnyTask::Unassigned(task) => task,
        AnyTask::Running(task) if task.row().cancel => {
            let change = TaskWrite::Put(Box::new(task.cancel().into_row()));
            return Some(RowChange { id, revision, change });
        }
        AnyTask::Running(task) => {
            task.evict(None, "its failure domain cannot be reached".to_owned())
        }
        AnyTask::Ended(_) => return None,
    };
    let change = TaskWrite::Move(Box::new(unassigned.move_to(destination).into_row()));
    Some(RowChange { id, revision, change })
}
