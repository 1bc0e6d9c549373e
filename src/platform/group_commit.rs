//! Group commit: merges the transactions of many threads into fewer table writes.
//!
//! The table takes several hundred writes a second from all processes together, so the rate of each process is limited.
//! One thread collects the transactions that the others submit and commits those that do not overlap as one write. On a
//! conflict only the members whose own conditions failed get a conflict; the others are committed again without them.
//!
//! A merged write has an operation id of its own. The outcomes are kept here under the members' ids, so that a repeated
//! submission in the same process gets the first result; [`CommitFailure::Unknown`] names the id that the table knows.

mod batcher;
mod committer;
mod merge;

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use thiserror::Error;

use self::batcher::Batcher;
use self::committer::Committer;
use super::PlatformError;
use super::table::{CommitResult, Table, Transaction};
use crate::clock::Clock;
use crate::config::Settings;
use crate::telemetry::Metrics;

/// Capacity of the queue to the thread; further transactions are refused.
const QUEUE_CAPACITY: usize = 4096;

/// Why a submitter gets no result of its transaction.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CommitFailure {
    /// The table could not be reached or refused the transaction. It had no effect and never will.
    #[error("not committed: {cause}")]
    NotCommitted {
        /// The last error.
        cause: PlatformError,
    },
    /// The deadline passed before the transaction was sent, or before it was sent again after a merged write without
    /// effect. It had no effect.
    #[error("not committed: the deadline passed before the transaction was sent")]
    Expired,
    /// The queue is full. The transaction had no effect.
    #[error("not committed: {QUEUE_CAPACITY} transactions are queued already")]
    Overloaded,
    /// The process is shutting down. The transaction had no effect.
    #[error("not committed: the process is shutting down")]
    Closed,
    /// The deadline passed after the thread had taken the transaction. It may have taken effect or may still do so.
    #[error("the deadline passed while the transaction was being sent")]
    Pending,
    /// The transaction is in doubt: it may have taken effect or may still do so.
    #[error("the outcome of the write {operation} is unknown: {cause}")]
    Unknown {
        /// The operation id under which the table knows the write.
        operation: String,
        /// The last error.
        cause: PlatformError,
    },
}

impl CommitFailure {
    /// True if the transaction certainly had no effect and never will have one.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Pending | Self::Unknown { .. })
    }
}

/// The group commit thread could not be started.
#[derive(Debug, Error)]
#[error("cannot start the group commit thread")]
pub struct GroupCommitError {
    #[from]
    source: std::io::Error,
}

type CommitReply = Result<CommitResult, CommitFailure>;

/// The submission is queued and may be withdrawn.
const WAITING: u8 = 0;
/// The thread has taken the submission and will answer it.
const TAKEN: u8 = 1;
/// The submitter's deadline passed first; the transaction is never sent.
const WITHDRAWN: u8 = 2;

/// State of a submission, shared by its submitter and the thread. It leaves `WAITING` once, so either the thread takes
/// the submission or the submitter withdraws it at its deadline.
#[derive(Clone, Debug, Default)]
struct SubmissionState(Arc<AtomicU8>);

impl SubmissionState {
    fn try_take(&self) -> bool {
        self.change(TAKEN)
    }

    fn try_withdraw(&self) -> bool {
        self.change(WITHDRAWN)
    }

    fn change(&self, to: u8) -> bool {
        self.0.compare_exchange(WAITING, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}

/// A transaction and the channel for the reply to its submitter.
#[derive(Debug)]
struct Submission {
    txn: Transaction,
    deadline: Instant,
    state: SubmissionState,
    reply: SyncSender<CommitReply>,
    /// True once the thread has taken it and so must answer it.
    taken: bool,
    /// True if it must be committed on its own, without merging.
    must_commit_alone: bool,
}

impl Submission {
    /// Takes the submission for the thread. False if the submitter has withdrawn it.
    fn try_take(&mut self) -> bool {
        self.taken = self.taken || self.state.try_take();
        self.taken
    }

    fn answer(self, reply: CommitReply) {
        // Fails only if the submitter no longer waits: it panicked, or returned at its deadline.
        let _ = self.reply.send(reply);
    }
}

#[derive(Debug)]
enum Message {
    Submit(Submission),
    Close,
}

#[derive(Debug)]
enum Mode {
    Thread { queue: SyncSender<Message>, thread: Mutex<Option<JoinHandle<()>>> },
    Inline(Box<Mutex<Batcher>>),
}

/// Handle of the group commit thread. Clones share the thread.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    mode: Arc<Mode>,
    clock: Arc<dyn Clock>,
    /// Number of submitters that wait for their reply.
    waiting_submitters: Arc<AtomicUsize>,
}

impl GroupCommit {
    /// Starts the thread. `process` is a part of the operation ids of merged writes, which makes them unique.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn start(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        cfg: &Settings,
        process: &str,
    ) -> Result<Self, GroupCommitError> {
        let interval = Duration::from_secs(1) / cfg.limits.writes_per_second.max(1);
        let batcher = new_batcher(table, Arc::clone(&clock), metrics, cfg, process, interval);
        let (queue, submissions) = mpsc::sync_channel(QUEUE_CAPACITY);
        let thread = std::thread::Builder::new()
            .name("group-commit".to_owned())
            .spawn(move || run(batcher, &submissions))?;
        let mode = Mode::Thread { queue, thread: Mutex::new(Some(thread)) };
        Ok(Self { mode: Arc::new(mode), clock, waiting_submitters: Arc::default() })
    }

    /// Commits in the submitter's thread, one transaction per write and without a rate limit.
    ///
    /// For tests with a manual clock, in which no other thread may advance the time.
    #[must_use]
    pub fn inline(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        cfg: &Settings,
        process: &str,
    ) -> Self {
        let batcher = new_batcher(table, Arc::clone(&clock), metrics, cfg, process, Duration::ZERO);
        let mode = Mode::Inline(Box::new(Mutex::new(batcher)));
        Self { mode: Arc::new(mode), clock, waiting_submitters: Arc::default() }
    }

    /// Number of submitters that wait for their reply.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting_submitters.load(Ordering::SeqCst)
    }

    /// Commits a transaction and waits for its result. The same operation id submitted again gets the first result.
    ///
    /// Returns at most two table calls after the deadline, or later if the transaction is queued again.
    ///
    /// # Errors
    ///
    /// Any [`CommitFailure`] except `Pending`. Only after [`CommitFailure::Unknown`] may the transaction have had an
    /// effect.
    pub fn submit(&self, txn: &Transaction, deadline: Instant) -> CommitReply {
        // The two calls are the attempt in progress and the query that resolves its outcome. A transaction that is
        // queued again after a merged write may wait longer, for the writes before it.
        self.submit_with(txn, deadline, |answer| {
            answer.recv().unwrap_or(Err(CommitFailure::Closed))
        })
    }

    /// Commits a transaction and waits at most until the deadline, for callers that can continue without the result.
    ///
    /// The thread still resolves the outcome, so that the same operation id submitted again gets it.
    ///
    /// # Errors
    ///
    /// As for [`GroupCommit::submit`], but [`CommitFailure::Pending`] if the outcome is not known at the deadline.
    pub fn submit_until(&self, txn: &Transaction, deadline: Instant) -> CommitReply {
        self.submit_with(txn, deadline, |_| Err(CommitFailure::Pending))
    }

    /// `on_late` makes the reply if the deadline passes after the thread has taken the transaction.
    fn submit_with(
        &self,
        txn: &Transaction,
        deadline: Instant,
        on_late: impl FnOnce(&Receiver<CommitReply>) -> CommitReply,
    ) -> CommitReply {
        let (reply, answer) = mpsc::sync_channel(1);
        let state = SubmissionState::default();
        let submission = Submission {
            txn: txn.clone(),
            deadline,
            state: state.clone(),
            reply,
            taken: false,
            must_commit_alone: false,
        };
        self.enqueue(submission)?;
        self.waiting_submitters.fetch_add(1, Ordering::SeqCst);
        let wait = deadline.saturating_duration_since(self.clock.now());
        let reply = match answer.recv_timeout(wait) {
            Ok(reply) => reply,
            Err(RecvTimeoutError::Disconnected) => Err(CommitFailure::Closed),
            Err(RecvTimeoutError::Timeout) if state.try_withdraw() => Err(CommitFailure::Expired),
            Err(RecvTimeoutError::Timeout) => on_late(&answer),
        };
        self.waiting_submitters.fetch_sub(1, Ordering::SeqCst);
        reply
    }

    fn enqueue(&self, submission: Submission) -> Result<(), CommitFailure> {
        match &*self.mode {
            Mode::Inline(batcher) => {
                let mut batcher = batcher.lock().unwrap_or_else(PoisonError::into_inner);
                batcher.push(submission);
                batcher.commit_all();
                Ok(())
            }
            Mode::Thread { queue, .. } => {
                queue.try_send(Message::Submit(submission)).map_err(|error| match error {
                    TrySendError::Full(_) => CommitFailure::Overloaded,
                    TrySendError::Disconnected(_) => CommitFailure::Closed,
                })
            }
        }
    }

    /// Commits all transactions submitted so far and ends the thread. Other handles then get [`CommitFailure::Closed`].
    pub fn close(self) {
        let Mode::Thread { queue, thread } = &*self.mode else { return };
        // Fails if another handle has closed it already.
        let _ = queue.send(Message::Close);
        let thread = thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn new_batcher(
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    cfg: &Settings,
    process: &str,
    interval: Duration,
) -> Batcher {
    let timeout = cfg.timing.platform_timeout();
    let committer =
        Committer::new(table, Arc::clone(&clock), cfg.limits.retry_percent, timeout, interval);
    Batcher::new(committer, clock, metrics, process)
}

/// Main loop of the thread.
fn run(mut batcher: Batcher, queue: &Receiver<Message>) {
    loop {
        if batcher.is_idle() {
            match queue.recv() {
                Ok(Message::Submit(submission)) => batcher.push(submission),
                Ok(Message::Close) | Err(_) => return,
            }
        }
        // Transactions that arrive during this wait join the next write.
        batcher.wait_for_rate_limit();
        while batcher.has_room() {
            match queue.try_recv() {
                Ok(Message::Submit(submission)) => batcher.push(submission),
                Ok(Message::Close) => return batcher.commit_all(),
                Err(_) => break,
            }
        }
        batcher.commit_group();
    }
}
