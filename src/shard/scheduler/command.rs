//! Commands to workers and their outcomes.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobSpec, JobTaskId};
use crate::shard::worker::{Worker, WorkerId};

/// Command for one worker.
#[derive(Clone, Debug)]
pub struct Command {
    /// Worker that the command is meant for.
    pub worker: WorkerId,
    /// Incarnation of the worker that the command was made for, see [`crate::shard::worker::Worker::incarnation`].
    pub incarnation: u32,
    /// Address at which the worker takes commands.
    pub address: SocketAddr,
    /// Kind and arguments of the command.
    pub kind: CommandKind,
}

/// Kind of a command, with its arguments.
#[derive(Clone, Debug)]
pub enum CommandKind {
    /// Renews the lease of all runs of this shard on the worker, acknowledges ends and requests the lists of active and
    /// ended runs.
    Renew {
        /// New lease expiry on the worker's clock; `None` leaves the lease as it is.
        expiry_ms: Option<u64>,
        /// Sequence number of the newest end that is stored; the worker may forget the ends up to it.
        acked_end: u64,
        /// Longest time for which the worker may wait for an end before it answers.
        wait: Duration,
    },
    /// Starts a run.
    Start {
        /// Task of the run.
        task: JobTaskId,
        /// Number of the run; higher than those of the task's earlier runs.
        run: u32,
        /// Description of the task's job, with the payload.
        spec: Rc<JobSpec>,
        /// Lease expiry on the worker's clock.
        expiry_ms: u64,
        /// Checkpoint to resume from; empty to start from the beginning.
        checkpoint: String,
    },
    /// Stops a run.
    Stop {
        /// Task of the run.
        task: JobTaskId,
        /// Number of the run.
        run: u32,
    },
    /// Limits the processors of a run to a percentage of what it asks for.
    Throttle {
        /// Task of the run.
        task: JobTaskId,
        /// Number of the run.
        run: u32,
        /// Limit in percent, 0 to 100.
        percent: u8,
    },
}

impl fmt::Display for CommandKind {
    /// Names the kind, and the task and the run that it concerns.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Renew { .. } => f.write_str("renewal"),
            Self::Start { task, run, .. } => write!(f, "start:{task}:{run}"),
            Self::Stop { task, run } => write!(f, "stop:{task}:{run}"),
            Self::Throttle { task, run, .. } => write!(f, "throttle:{task}:{run}"),
        }
    }
}

/// Outcome of a start, a stop or a throttle, with what the answer tells of the incarnation that gave it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reply<T> {
    /// What the command has done.
    pub outcome: T,
    /// Reading of the monotonic clock of the worker that answered, in milliseconds; `None` without an answer, or if the
    /// answer does not have it.
    pub clock_ms: Option<u64>,
}

impl<T> Reply<T> {
    /// Returns the outcome of a command that got no answer, or one without a reading of the worker's clock.
    #[must_use]
    pub fn without_clock(outcome: T) -> Self {
        Self { outcome, clock_ms: None }
    }
}

/// Outcome of a start command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The worker has the run.
    Started,
    /// The worker refused the start and does not have the run.
    Refused(StartRefusal),
    /// The command was not sent.
    NotSent,
    /// No valid answer was received: the command may have taken effect or may still do so.
    Unknown,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// A higher epoch was seen: the shard has another owner.
    Fenced,
    /// The run is not newer than one that was stopped or ended there.
    Old,
    /// The lease in the command had already expired on the worker's clock.
    Late,
    /// The worker's free resources do not suffice.
    Room,
    /// The worker is unhealthy or overloaded, or another incarnation answers at its address.
    Unhealthy,
    /// The worker rejected the command as malformed, or gave a reason that is not known.
    Invalid,
}

/// Outcome of a stop or throttle command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandOutcome {
    /// The worker has answered, and the command is in effect.
    Done,
    /// A higher epoch was seen: the shard has another owner.
    Fenced,
    /// The command was not sent or got no valid answer.
    Unknown,
}

impl Worker {
    /// Creates a command for the newest known incarnation of the worker.
    #[must_use]
    pub fn command(&self, kind: CommandKind) -> Command {
        Command {
            worker: self.listing.id.clone(),
            incarnation: self.incarnation,
            address: self.listing.address,
            kind,
        }
    }
}
