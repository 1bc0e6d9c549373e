//! What the scheduler leaves to be sent, and what may become of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{JobSpec, JobTaskId};
use crate::shard::worker::WorkerId;

/// Something to be sent to a worker.
#[derive(Clone, Debug)]
pub struct Command {
    /// Worker.
    pub worker: WorkerId,
    /// Where it takes commands.
    pub address: SocketAddr,
    /// What to send.
    pub kind: CommandKind,
}

/// Kinds of commands.
#[derive(Clone, Debug)]
pub enum CommandKind {
    /// Renews the lease of all runs, acknowledges ends and asks for the lists.
    Renew {
        /// New expiry on the worker's clock; none while its clock is not known.
        expiry_ms: Option<u64>,
        /// Ends up to this number are stored.
        acked_end: u64,
        /// How long the worker may wait for an end before it answers.
        wait: Duration,
    },
    /// Starts a run.
    Start {
        /// Task.
        task: JobTaskId,
        /// Number of the run.
        run: u32,
        /// Job of the task, for its payload.
        spec: Rc<JobSpec>,
        /// Lease expiry on the worker's clock.
        expiry_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stops a run.
    Stop {
        /// Task.
        task: JobTaskId,
        /// Number of the run.
        run: u32,
    },
    /// Limits the processors of a run to a share of what it asks for.
    Throttle {
        /// Task.
        task: JobTaskId,
        /// Number of the run.
        run: u32,
        /// Share in percent.
        percent: u8,
    },
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The worker has the run.
    Started,
    /// The worker refused it and does not have it.
    Refused(StartRefusal),
    /// It was not sent.
    NotSent,
    /// It may be carried out now or later.
    Unknown,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// A higher epoch was seen: the shard has another owner.
    Fenced,
    /// The run is not newer than one that was stopped or ended there.
    Old,
    /// The lease had expired.
    Late,
    /// No room.
    Room,
    /// The worker is not healthy, or is another incarnation.
    Unhealthy,
    /// The worker does not accept the message.
    Invalid,
}

/// What became of a stop or a throttle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandOutcome {
    /// Answered: it is in effect.
    Done,
    /// A higher epoch was seen: the shard has another owner.
    Fenced,
    /// No answer, or not sent.
    Unknown,
}
