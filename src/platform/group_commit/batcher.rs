//! State and logic of the group commit thread: forms groups, commits them and answers the submitters.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use super::committer::{Committer, WriteOutcome};
use super::merge::{Group, own_failures};
use super::{CommitFailure, Submission};
use crate::clock::Clock;
use crate::platform::PlatformError;
use crate::platform::table::{CommitResult, Transaction};
use crate::telemetry::Metrics;
use crate::telemetry::event::platform::COMMIT_UNKNOWN;

/// Maximum number of submissions considered for the next write; the others stay in the queue.
const MAX_PENDING: usize = 1024;

/// Number of operation ids whose outcome is kept.
const MAX_KNOWN_OUTCOMES: usize = 4096;

/// Outcome of an operation that was submitted before.
#[derive(Clone, Debug)]
enum KnownOutcome {
    /// The table decided it.
    Decided(CommitResult),
    /// It is part of a write in doubt.
    InDoubt {
        /// Operation id of the write.
        write: String,
        /// The error that put the write in doubt.
        cause: PlatformError,
    },
    /// An earlier write of it had no effect. The table may have forbidden its id, so another attempt needs a new one.
    Forbidden,
}

/// Groups, commits and answers submissions.
#[derive(Debug)]
pub(super) struct Batcher {
    committer: Committer,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    /// Prefix of the operation ids of merged writes.
    id_prefix: String,
    /// Number of the last write, used in its operation id.
    sequence: u64,
    /// In the order of submission, except that requeued submissions go to the front.
    pending: VecDeque<Submission>,
    known: BTreeMap<String, KnownOutcome>,
    /// Keys of `known`, oldest first, for eviction.
    known_order: VecDeque<String>,
}

impl Batcher {
    pub(super) fn new(
        committer: Committer,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        process: &str,
    ) -> Self {
        // The random part keeps ids unique even if two processes have the same name.
        let id_prefix = format!("group/{process}/{:08x}", rand::random::<u32>());
        Self {
            committer,
            clock,
            metrics,
            id_prefix,
            sequence: 0,
            pending: VecDeque::new(),
            known: BTreeMap::new(),
            known_order: VecDeque::new(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING
    }

    pub(super) fn wait_for_rate_limit(&mut self) {
        self.committer.wait_for_rate_limit();
    }

    pub(super) fn push(&mut self, submission: Submission) {
        self.pending.push_back(submission);
    }

    /// Commits all pending submissions.
    pub(super) fn commit_all(&mut self) {
        while !self.is_idle() {
            self.wait_for_rate_limit();
            self.commit_group();
        }
    }

    /// Commits one write that merges as many pending submissions as possible.
    pub(super) fn commit_group(&mut self) {
        let members = self.take_group();
        if members.is_empty() {
            return;
        }
        let write = self.merge(&members);
        self.metrics.count("commits.writes", 1);
        self.metrics.count("commits.transactions", members.len() as u64);
        let outcome = self.committer.commit(&write, earliest_deadline(&members));
        self.apply_outcome(&write, members, outcome);
    }

    fn take_group(&mut self) -> Vec<Submission> {
        let mut ready = VecDeque::with_capacity(self.pending.len());
        while let Some(submission) = self.pending.pop_front() {
            ready.extend(self.admit(submission));
        }
        let selected = select_members(&ready);
        let mut members = Vec::new();
        for (mut submission, selected) in ready.into_iter().zip(selected) {
            if !selected {
                self.pending.push_back(submission);
            } else if submission.try_take() {
                members.push(submission);
            }
        }
        members
    }

    /// Answers a submission that has expired or whose outcome is known already. Returns it if it must be committed.
    fn admit(&mut self, mut submission: Submission) -> Option<Submission> {
        let known = self.known.get(&submission.txn.operation).cloned();
        let expired = submission.deadline <= self.clock.now();
        if !expired
            && !matches!(known, Some(KnownOutcome::Decided(_) | KnownOutcome::InDoubt { .. }))
        {
            return Some(submission);
        }
        if !submission.try_take() {
            return None;
        }
        match known {
            Some(KnownOutcome::Decided(result)) => submission.answer(Ok(result)),
            Some(KnownOutcome::InDoubt { write, cause }) => {
                return self.resolve_earlier(submission, &write, cause);
            }
            Some(KnownOutcome::Forbidden) | None => submission.answer(Err(CommitFailure::Expired)),
        }
        None
    }

    /// Resolves the write in doubt that an earlier submission of the same operation was part of. Returns the submission
    /// if that write had no effect, so that it can be committed again.
    fn resolve_earlier(
        &mut self,
        submission: Submission,
        write: &str,
        cause: PlatformError,
    ) -> Option<Submission> {
        let operation = submission.txn.operation.clone();
        match self.committer.resolve(write, submission.deadline, cause) {
            WriteOutcome::Decided(result @ CommitResult::Committed { .. }) => {
                self.answer_decided(submission, result);
                None
            }
            // The write had a single member, which keeps its own id, so the conflict is this submission's.
            WriteOutcome::Decided(result) if write == operation => {
                self.answer_decided(submission, result);
                None
            }
            WriteOutcome::InDoubt { cause } => {
                self.answer_unknown(submission, write, &cause);
                None
            }
            WriteOutcome::Decided(_)
            | WriteOutcome::Forbidden { .. }
            | WriteOutcome::NotCommitted { .. } => {
                self.record_outcome(&operation, KnownOutcome::Forbidden);
                Some(submission)
            }
        }
    }

    fn merge(&mut self, members: &[Submission]) -> Transaction {
        let mut group = Group::default();
        for member in members {
            group.try_add(&member.txn);
        }
        self.sequence += 1;
        let mut write = group.merged(format!("{}/{}", self.id_prefix, self.sequence));
        if matches!(self.known.get(&write.operation), Some(KnownOutcome::Forbidden)) {
            write.operation = format!("{}/{}", self.id_prefix, self.sequence);
        }
        write
    }

    fn apply_outcome(
        &mut self,
        write: &Transaction,
        mut members: Vec<Submission>,
        outcome: WriteOutcome,
    ) {
        let earliest = earliest_deadline(&members);
        match outcome {
            WriteOutcome::Decided(CommitResult::Conflict { failed }) if members.len() > 1 => {
                self.answer_conflicts(members, &failed);
            }
            WriteOutcome::Decided(result) => {
                for member in members {
                    self.answer_decided(member, result.clone());
                }
            }
            WriteOutcome::NotCommitted { cause: PlatformError::Refused { .. } }
                if members.len() > 1 =>
            {
                self.requeue_separately(members);
            }
            WriteOutcome::NotCommitted { cause } => self.fail(members, earliest, &cause),
            WriteOutcome::Forbidden { cause } => {
                if let [only] = &members[..]
                    && only.txn.operation == write.operation
                {
                    self.record_outcome(&write.operation, KnownOutcome::Forbidden);
                }
                self.fail(members, earliest, &cause);
            }
            WriteOutcome::InDoubt { cause } => {
                let rest = members.extract_if(.., |member| member.deadline > earliest).collect();
                for member in members {
                    self.answer_unknown(member, &write.operation, &cause);
                }
                self.resolve_further(write, rest, cause);
            }
        }
    }

    /// Continues to resolve a write in doubt for the members with later deadlines than those already answered.
    fn resolve_further(
        &mut self,
        write: &Transaction,
        members: Vec<Submission>,
        cause: PlatformError,
    ) {
        if members.is_empty() {
            return;
        }
        let deadline = earliest_deadline(&members);
        match self.committer.resolve(&write.operation, deadline, cause) {
            // The earlier deadlines of other members ended the attempts, so these members have time for more.
            WriteOutcome::Forbidden { .. } => self.requeue(members),
            outcome => self.apply_outcome(write, members, outcome),
        }
    }

    /// Answers the members whose own conditions failed and commits the others again.
    fn answer_conflicts(&mut self, members: Vec<Submission>, failed: &[String]) {
        let (conflicting, others): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|member| !own_failures(&member.txn, failed).is_empty());
        if conflicting.is_empty() {
            return self.requeue_separately(others);
        }
        for member in conflicting {
            let failed = own_failures(&member.txn, failed);
            self.answer_decided(member, CommitResult::Conflict { failed });
        }
        self.requeue(others);
    }

    /// Requeues each member to be committed in a write of its own.
    fn requeue_separately(&mut self, mut members: Vec<Submission>) {
        for member in &mut members {
            member.must_commit_alone = true;
        }
        self.requeue(members);
    }

    /// Handles a write without effect. If the earliest deadline ended the attempts, members with later deadlines are
    /// requeued and the others fail; if the retry budget ended them, all fail.
    fn fail(&mut self, mut members: Vec<Submission>, earliest: Instant, cause: &PlatformError) {
        if self.committer.is_near_deadline(earliest) {
            let rest: Vec<_> =
                members.extract_if(.., |member| member.deadline > earliest).collect();
            self.requeue(rest);
        }
        for member in members {
            member.answer(Err(CommitFailure::NotCommitted { cause: cause.clone() }));
        }
    }

    fn requeue(&mut self, members: Vec<Submission>) {
        for member in members.into_iter().rev() {
            self.pending.push_front(member);
        }
    }

    fn answer_decided(&mut self, member: Submission, result: CommitResult) {
        self.record_outcome(&member.txn.operation, KnownOutcome::Decided(result.clone()));
        member.answer(Ok(result));
    }

    fn answer_unknown(&mut self, member: Submission, write: &str, cause: &PlatformError) {
        let operation = member.txn.operation.clone();
        self.metrics.count("commits.unknown", 1);
        COMMIT_UNKNOWN.emit(format_args!("operation {operation} in write {write}: {cause}"));
        let known = KnownOutcome::InDoubt { write: write.to_owned(), cause: cause.clone() };
        self.record_outcome(&operation, known);
        let failure = CommitFailure::Unknown { operation: write.to_owned(), cause: cause.clone() };
        member.answer(Err(failure));
    }

    fn record_outcome(&mut self, operation: &str, known: KnownOutcome) {
        if self.known.insert(operation.to_owned(), known).is_none() {
            self.known_order.push_back(operation.to_owned());
        }
        if self.known_order.len() > MAX_KNOWN_OUTCOMES
            && let Some(oldest) = self.known_order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

/// Marks the submissions that form the next write, always including the first one.
fn select_members(ready: &VecDeque<Submission>) -> Vec<bool> {
    let mut group = Group::default();
    let mut has_single = false;
    let mut selected = Vec::with_capacity(ready.len());
    for (index, submission) in ready.iter().enumerate() {
        let is_selected = !has_single
            && (index == 0 || !submission.must_commit_alone)
            && group.try_add(&submission.txn);
        has_single |= index == 0 && submission.must_commit_alone;
        selected.push(is_selected);
    }
    selected
}

fn earliest_deadline(members: &[Submission]) -> Instant {
    // Groups are never empty; the fallback only avoids a panic.
    members.iter().map(|member| member.deadline).min().unwrap_or_else(Instant::now)
}
