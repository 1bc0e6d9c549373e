//! Events of the shard schedulers, which run jobs: numbers 600 to 699.

use log::Level;

use super::Event;

/// A submitted job was stored and accepted.
pub const JOB_ACCEPTED: Event = Event::new(600, Level::Info, "job-accepted");
/// A submitted job was refused; it never runs.
pub const JOB_REFUSED: Event = Event::new(601, Level::Info, "job-refused");
/// It was still in doubt whether a submitted job was stored when the response was due.
pub const JOB_UNCERTAIN: Event = Event::new(602, Level::Warn, "job-uncertain");
/// The first task of a job has started.
pub const JOB_STARTED: Event = Event::new(603, Level::Info, "job-started");
/// A job has ended.
pub const JOB_ENDED: Event = Event::new(604, Level::Info, "job-ended");
/// A caller requested the cancellation of a job.
pub const JOB_CANCEL: Event = Event::new(605, Level::Info, "job-cancel");
/// A caller's request was refused because no route matches it.
pub const NO_ROUTE: Event = Event::new(606, Level::Info, "no-route");
/// The waiting jobs of a queue were counted for a caller.
pub const QUEUE_COUNTED: Event = Event::new(607, Level::Info, "queue-counted");
/// A caller's request was refused because the operator config was too old to decide on it.
pub const CONFIG_TOO_OLD: Event = Event::new(608, Level::Info, "config-too-old");
/// A run of a task has failed.
pub const TASK_FAILED: Event = Event::new(610, Level::Info, "task-failed");
/// A start command got no answer and may still take effect.
pub const START_UNKNOWN: Event = Event::new(611, Level::Info, "start-unknown");
/// A worker refused a start command.
pub const START_REFUSED: Event = Event::new(612, Level::Info, "start-refused");
/// A run disappeared without a reported end, and its task was queued again.
pub const RUN_GONE: Event = Event::new(613, Level::Info, "run-gone");
/// A run that the shard's previous owner started was adopted.
pub const RUN_ADOPTED: Event = Event::new(614, Level::Debug, "run-adopted");
/// A worker reported a run that should not run there, and the run is stopped.
pub const RUN_UNWANTED: Event = Event::new(615, Level::Info, "run-unwanted");
/// A speculative run was queued for a task that may run twice, because the worker of its first run is silent or the
/// outcome of its start is in doubt.
pub const TASK_COPIED: Event = Event::new(616, Level::Info, "task-copied");
/// A task was moved to another worker, because other tasks on its worker leave it too few resources or the worker has
/// shrunk.
pub const TASK_MOVED: Event = Event::new(617, Level::Info, "task-moved");
/// Tasks of a long-running step have waited for a worker for a long time.
pub const TASK_WAITING: Event = Event::new(618, Level::Info, "task-waiting");
/// A task has crashed several workers, so it is not started again and its job has failed.
pub const TASK_GIVEN_UP: Event = Event::new(619, Level::Warn, "task-given-up");
/// A worker was put on probation: it gets one task at a time until a task has shown that it works.
pub const WORKER_ON_PROBATION: Event = Event::new(620, Level::Warn, "worker-left-out");
/// A worker does not answer renewals.
pub const WORKER_SILENT: Event = Event::new(621, Level::Warn, "worker-silent");
/// A silent worker answers again.
pub const WORKER_ANSWERS: Event = Event::new(622, Level::Info, "worker-answers");
/// A worker has restarted, so its earlier runs are gone.
pub const WORKER_RESTARTED: Event = Event::new(623, Level::Warn, "worker-restarted");
/// A worker is draining.
pub const WORKER_DRAINING: Event = Event::new(624, Level::Info, "worker-draining");
/// A worker was removed from the platform's list of workers, and its leases have lapsed.
pub const WORKER_GONE: Event = Event::new(625, Level::Info, "worker-gone");
/// A worker's probation has ended, because a task there succeeded or makes progress.
pub const WORKER_RESTORED: Event = Event::new(626, Level::Info, "worker-restored");
/// The capacity of a worker has changed.
pub const WORKER_RESIZED: Event = Event::new(628, Level::Info, "worker-resized");
/// A worker has crashed under runs that may be the cause.
pub const WORKER_CRASHED: Event = Event::new(627, Level::Warn, "worker-crashed");
/// The failure domains that are out of service have changed.
pub const DOMAINS_OUT: Event = Event::new(630, Level::Info, "domains-out");
/// This process has claimed a shard.
pub const SHARD_CLAIMED: Event = Event::new(640, Level::Info, "shard-claimed");
/// The takeover is complete: scheduling of the previous owner's jobs continues.
pub const TAKEOVER_DONE: Event = Event::new(641, Level::Info, "takeover-done");
/// A worker with runs of the previous owner did not answer before the leases of those runs had lapsed.
pub const INHERITED_LAPSED: Event = Event::new(645, Level::Warn, "inherited-lapsed");
/// The load of a shard, logged about as often as its owner writes heartbeats.
pub const SHARD_LOAD: Event = Event::new(646, Level::Info, "shard-load");
/// No tasks start, because a copy by which starts are decided is too old.
pub const STARTS_PAUSED: Event = Event::new(647, Level::Warn, "starts-paused");
/// The copies by which starts are decided are current, so tasks start.
pub const STARTS_ALLOWED: Event = Event::new(648, Level::Info, "starts-allowed");
/// A worker has seen a higher epoch, so the shard has another owner.
pub const FENCED: Event = Event::new(642, Level::Warn, "fenced");
/// This process no longer schedules a shard.
pub const SHARD_LOST: Event = Event::new(643, Level::Warn, "shard-lost");
/// At a planned stop, the process released a shard.
pub const SHARD_RELEASED: Event = Event::new(644, Level::Info, "shard-released");
/// The queues and their limits have changed.
pub const QUEUES_CHANGED: Event = Event::new(650, Level::Info, "queues-changed");
/// A read of the operators' rows has failed, so the operator config may be out of date.
pub const QUEUES_UNCONFIRMED: Event = Event::new(651, Level::Warn, "queues-unconfirmed");
/// The operators' rows are read again.
pub const QUEUES_CONFIRMED: Event = Event::new(652, Level::Info, "queues-confirmed");
/// The store has become unavailable.
pub const STORE_LOST: Event = Event::new(660, Level::Warn, "store-lost");
/// The store is available again.
pub const STORE_REGAINED: Event = Event::new(661, Level::Info, "store-regained");
/// A row or a message could not be decoded and was skipped.
pub const MALFORMED: Event = Event::new(662, Level::Warn, "malformed");
/// The store has compacted the changes since the last read, so all rows are read again.
pub const HISTORY_GONE: Event = Event::new(663, Level::Info, "history-gone");
/// A write failed because the version of a row was not the expected one, although this process still owns the shard.
pub const ROW_CONFLICT: Event = Event::new(664, Level::Info, "row-conflict");
/// The store rejects a transaction because of its content; its rows are written in smaller groups.
pub const BATCH_REJECTED: Event = Event::new(665, Level::Warn, "batch-rejected");
/// The store rejects a job's row even alone, so the job ends as failed.
pub const ROW_REJECTED: Event = Event::new(666, Level::Error, "row-rejected");
/// Checkpoints were left out of a progress row, because it would have been larger than the store accepts.
pub const CHECKPOINTS_DROPPED: Event = Event::new(667, Level::Warn, "checkpoints-dropped");
/// A new owner has read the rows of its predecessor and begins to reach the workers.
pub const TAKEOVER_BEGUN: Event = Event::new(668, Level::Info, "takeover-begun");
/// Tasks of the predecessor were released, because their recorded worker does not have them.
pub const INHERITED_RELEASED: Event = Event::new(669, Level::Info, "inherited-released");
/// Runs that this owner did not start were adopted from a worker's list.
pub const RUNS_ADOPTED: Event = Event::new(670, Level::Info, "runs-adopted");
/// A start was queued for a task that has had a run, or soon after a claim.
pub const START_LOGGED: Event = Event::new(671, Level::Info, "start");
/// Any other start was queued.
pub const START_DETAIL: Event = Event::new(672, Level::Debug, "start-detail");
/// Starts that P0671 covers were not logged, because there were too many.
pub const STARTS_LEFT_OUT: Event = Event::new(673, Level::Info, "starts-left-out");
/// The platform's settings don't allow that tasks of a lost worker run again in time and never twice.
pub const RECOVERY_LIMIT: Event = Event::new(674, Level::Warn, "recovery-limit");
/// The thread of a shard's owner has more to do than its VM can process, so starts, renewals and heartbeats are late.
pub const OWNER_SATURATED: Event = Event::new(675, Level::Warn, "owner-saturated");

/// An answer has a lower reading of the worker's clock than an earlier one, so an unknown incarnation gave it.
pub const WORKER_CLOCK_WENT_BACK: Event = Event::new(676, Level::Warn, "worker-clock-went-back");
/// The newest config has no queue for jobs that were accepted for it; they run on.
pub const JOB_QUEUE_DROPPED: Event = Event::new(677, Level::Warn, "job-queue-dropped");
/// The newest config has a queue again that jobs were accepted for.
pub const JOB_QUEUE_RESTORED: Event = Event::new(678, Level::Info, "job-queue-restored");
/// A start that got no answer was sent again to the same worker.
pub const START_REPEATED: Event = Event::new(679, Level::Info, "start-repeated");

/// All events of this module.
pub const ALL: &[Event] = &[
    JOB_ACCEPTED,
    JOB_REFUSED,
    JOB_UNCERTAIN,
    JOB_STARTED,
    JOB_ENDED,
    JOB_CANCEL,
    NO_ROUTE,
    QUEUE_COUNTED,
    CONFIG_TOO_OLD,
    TASK_FAILED,
    START_UNKNOWN,
    START_REFUSED,
    RUN_GONE,
    RUN_ADOPTED,
    RUN_UNWANTED,
    TASK_COPIED,
    TASK_MOVED,
    TASK_WAITING,
    TASK_GIVEN_UP,
    WORKER_ON_PROBATION,
    WORKER_SILENT,
    WORKER_ANSWERS,
    WORKER_RESTARTED,
    WORKER_DRAINING,
    WORKER_GONE,
    WORKER_RESTORED,
    WORKER_RESIZED,
    WORKER_CRASHED,
    DOMAINS_OUT,
    SHARD_CLAIMED,
    TAKEOVER_DONE,
    INHERITED_LAPSED,
    SHARD_LOAD,
    STARTS_PAUSED,
    STARTS_ALLOWED,
    FENCED,
    SHARD_LOST,
    SHARD_RELEASED,
    QUEUES_CHANGED,
    QUEUES_UNCONFIRMED,
    QUEUES_CONFIRMED,
    STORE_LOST,
    STORE_REGAINED,
    MALFORMED,
    HISTORY_GONE,
    ROW_CONFLICT,
    BATCH_REJECTED,
    ROW_REJECTED,
    CHECKPOINTS_DROPPED,
    TAKEOVER_BEGUN,
    INHERITED_RELEASED,
    RUNS_ADOPTED,
    START_LOGGED,
    START_DETAIL,
    STARTS_LEFT_OUT,
    RECOVERY_LIMIT,
    OWNER_SATURATED,
    WORKER_CLOCK_WENT_BACK,
    JOB_QUEUE_DROPPED,
    JOB_QUEUE_RESTORED,
    START_REPEATED,
];
