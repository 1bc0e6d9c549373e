//! State and logic of the group commit thread: forms groups, commits them and answers the submitters.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use super::merge::{Group, own_failures};
use super::settle::{Settled, Settler};
use super::{CommitFailure, Submission};
use crate::clock::Clock;
use crate::platform::PlatformError;
use crate::platform::table::{CommitResult, Transaction};
use crate::telemetry::Metrics;
use crate::telemetry::event::platform::COMMIT_UNKNOWN;

/// Maximum number of submissions considered for the next write; the others stay in the queue.
const MAX_PENDING: usize = 1024;

/// Number of operation ids whose outcome is kept.
const MAX_REMEMBERED: usize = 4096;

/// Outcome of an operation that was submitted before.
#[derive(Clone, Debug)]
enum Memory {
    /// The table decided it.
    Decided(CommitResult),
    /// It is part of a write in doubt.
    Unsettled {
        /// Operation id of the write.
        write: String,
        /// The error that put the write in doubt.
        cause: PlatformError,
    },
    /// It had no effect, but the table has forbidden its id, so another attempt needs a new one.
    Forbidden,
}

/// Groups, commits and answers submissions.
#[derive(Debug)]
pub(super) struct Worker {
    settler: Settler,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    /// Prefix of the operation ids of merged writes.
    id_prefix: String,
    /// Number of the last write, used in its operation id.
    sequence: u64,
    /// In the order of submission, except that requeued submissions go to the front.
    pending: VecDeque<Submission>,
    memory: BTreeMap<String, Memory>,
    /// Keys of `memory`, oldest first, for eviction.
    memory_order: VecDeque<String>,
}

impl Worker {
    pub(super) fn new(
        settler: Settler,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        process: &str,
    ) -> Self {
        // The random part keeps ids unique even if two processes have the same name.
        let id_prefix = format!("group/{process}/{:08x}", rand::random::<u32>());
        Self {
            settler,
            clock,
            metrics,
            id_prefix,
            sequence: 0,
            pending: VecDeque::new(),
            memory: BTreeMap::new(),
            memory_order: VecDeque::new(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING
    }

    pub(super) fn pace(&mut self) {
        self.settler.pace();
    }

    pub(super) fn push(&mut self, submission: Submission) {
        self.pending.push_back(submission);
    }

    /// Commits all pending submissions.
    pub(super) fn finish(&mut self) {
        while !self.is_idle() {
            self.pace();
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
        let settled = self.settler.commit(&write, earliest_deadline(&members));
        self.conclude(&write, members, settled);
    }

    fn take_group(&mut self) -> Vec<Submission> {
        let mut ready = VecDeque::with_capacity(self.pending.len());
        while let Some(submission) = self.pending.pop_front() {
            ready.extend(self.admit(submission));
        }
        let chosen = choose(&ready);
        let mut members = Vec::new();
        for (mut submission, chosen) in ready.into_iter().zip(chosen) {
            if !chosen {
                self.pending.push_back(submission);
            } else if submission.take() {
                members.push(submission);
            }
        }
        members
    }

    /// Answers a submission that has expired or whose outcome is known already. Returns it if it must be committed.
    fn admit(&mut self, mut submission: Submission) -> Option<Submission> {
        let memory = self.memory.get(&submission.txn.operation).cloned();
        let expired = submission.deadline <= self.clock.now();
        if !expired && !matches!(memory, Some(Memory::Decided(_) | Memory::Unsettled { .. })) {
            return Some(submission);
        }
        if !submission.take() {
            return None;
        }
        match memory {
            Some(Memory::Decided(result)) => submission.answer(Ok(result)),
            Some(Memory::Unsettled { write, cause }) => {
                return self.settle_earlier(submission, &write, cause);
            }
            Some(Memory::Forbidden) | None => submission.answer(Err(CommitFailure::Expired)),
        }
        None
    }

    /// Resolves the write in doubt that an earlier submission of the same operation was part of. Returns the submission
    /// if that write had no effect, so that it can be committed again.
    fn settle_earlier(
        &mut self,
        submission: Submission,
        write: &str,
        cause: PlatformError,
    ) -> Option<Submission> {
        let operation = submission.txn.operation.clone();
        match self.settler.resolve(write, submission.deadline, cause) {
            Settled::Decided(result @ CommitResult::Committed { .. }) => {
                self.decided(submission, result);
                None
            }
            // The write had a single member, which keeps its own id, so the conflict is this submission's.
            Settled::Decided(result) if write == operation => {
                self.decided(submission, result);
                None
            }
            Settled::Unknown { cause } => {
                self.unknown(submission, write, &cause);
                None
            }
            Settled::Decided(_) | Settled::Forbidden { .. } | Settled::NotCommitted { .. } => {
                self.remember(&operation, Memory::Forbidden);
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
        if matches!(self.memory.get(&write.operation), Some(Memory::Forbidden)) {
            write.operation = format!("{}/{}", self.id_prefix, self.sequence);
        }
        write
    }

    fn conclude(&mut self, write: &Transaction, mut members: Vec<Submission>, settled: Settled) {
        let earliest = earliest_deadline(&members);
        match settled {
            Settled::Decided(CommitResult::Conflict { failed }) if members.len() > 1 => {
                self.split(members, &failed);
            }
            Settled::Decided(result) => {
                for member in members {
                    self.decided(member, result.clone());
                }
            }
            Settled::NotCommitted { cause: PlatformError::Refused { .. } } if members.len() > 1 => {
                self.separate(members);
            }
            Settled::NotCommitted { cause } => self.fail(members, earliest, &cause),
            Settled::Forbidden { cause } => {
                if let [only] = &members[..]
                    && only.txn.operation == write.operation
                {
                    self.remember(&write.operation, Memory::Forbidden);
                }
                self.fail(members, earliest, &cause);
            }
            Settled::Unknown { cause } => {
                let rest = members.extract_if(.., |member| member.deadline > earliest).collect();
                for member in members {
                    self.unknown(member, &write.operation, &cause);
                }
                self.keep_asking(write, rest, cause);
            }
        }
    }

    /// Continues to resolve a write in doubt for the members with later deadlines than those already answered.
    fn keep_asking(&mut self, write: &Transaction, members: Vec<Submission>, cause: PlatformError) {
        if members.is_empty() {
            return;
        }
        let deadline = earliest_deadline(&members);
        match self.settler.resolve(&write.operation, deadline, cause) {
            // The earlier deadlines of other members ended the attempts, so these members have time for more.
            Settled::Forbidden { .. } => self.requeue(members),
            settled => self.conclude(write, members, settled),
        }
    }

    /// Answers the members whose own conditions failed and commits the others again.
    fn split(&mut self, members: Vec<Submission>, failed: &[String]) {
        let (losers, others): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|member| !own_failures(&member.txn, failed).is_empty());
        if losers.is_empty() {
            return self.separate(others);
        }
        for member in losers {
            let failed = own_failures(&member.txn, failed);
            self.decided(member, CommitResult::Conflict { failed });
        }
        self.requeue(others);
    }

    /// Requeues each member to be committed in a write of its own.
    fn separate(&mut self, mut members: Vec<Submission>) {
        for member in &mut members {
            member.alone = true;
        }
        self.requeue(members);
    }

    /// Handles a write without effect. If the earliest deadline ended the attempts, members with later deadlines are
    /// requeued and the others fail; if the retry budget ended them, all fail.
    fn fail(&mut self, mut members: Vec<Submission>, earliest: Instant, cause: &PlatformError) {
        if self.settler.is_late(earliest) {
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

    fn decided(&mut self, member: Submission, result: CommitResult) {
        self.remember(&member.txn.operation, Memory::Decided(result.clone()));
        member.answer(Ok(result));
    }

    fn unknown(&mut self, member: Submission, write: &str, cause: &PlatformError) {
        let operation = member.txn.operation.clone();
        self.metrics.count("commits.unknown", 1);
        COMMIT_UNKNOWN.emit(format_args!("operation {operation} in write {write}: {cause}"));
        let memory = Memory::Unsettled { write: write.to_owned(), cause: cause.clone() };
        self.remember(&operation, memory);
        let failure = CommitFailure::Unknown { operation: write.to_owned(), cause: cause.clone() };
        member.answer(Err(failure));
    }

    fn remember(&mut self, operation: &str, memory: Memory) {
        if self.memory.insert(operation.to_owned(), memory).is_none() {
            self.memory_order.push_back(operation.to_owned());
        }
        if self.memory_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.memory_order.pop_front()
        {
            self.memory.remove(&oldest);
        }
    }
}

/// Marks the submissions that form the next write, always including the first one.
fn choose(ready: &VecDeque<Submission>) -> Vec<bool> {
    let mut group = Group::default();
    let mut has_lone = false;
    let mut chosen = Vec::with_capacity(ready.len());
    for (index, submission) in ready.iter().enumerate() {
        let fits = !has_lone && (index == 0 || !submission.alone) && group.try_add(&submission.txn);
        has_lone |= index == 0 && submission.alone;
        chosen.push(fits);
    }
    chosen
}

fn earliest_deadline(members: &[Submission]) -> Instant {
    // Groups are never empty; the fallback only avoids a panic.
    members.iter().map(|member| member.deadline).min().unwrap_or_else(Instant::now)
}
