//! Life cycle of a task as typestate.
//!
//! Only the transitions below exist. Each consumes the task in its old state, so code that still holds the old state
//! cannot act on it. The attempt number rises exactly when an attempt has ended and another one may follow; with the
//! table's conditional writes this is what makes evicted work resume exactly once.

use super::row::{TaskRow, TaskState};

/// Waits for a worker: `pending`, `evicted` or `unplaceable`.
#[derive(Clone, Debug)]
pub struct Pending;

/// An attempt runs or is being started.
#[derive(Clone, Debug)]
pub struct Running;

/// Ended for good.
#[derive(Clone, Debug)]
pub struct Ended;

/// A task in state `S`.
#[derive(Clone, Debug)]
pub struct Task<S> {
    /// Invariant: `row.state` belongs to `S`.
    row: TaskRow,
    state: std::marker::PhantomData<S>,
}

/// A task whose state is only known at run time, as it comes from a row.
#[derive(Clone, Debug)]
pub enum AnyTask {
    /// Waits for a worker.
    Pending(Task<Pending>),
    /// Runs.
    Running(Task<Running>),
    /// Ended.
    Ended(Task<Ended>),
}

impl<S> Task<S> {
    fn from_row(row: TaskRow) -> Self {
        Self { row, state: std::marker::PhantomData }
    }

    /// The stored form.
    #[must_use]
    pub fn row(&self) -> &TaskRow {
        &self.row
    }

    /// Gives up the typed view.
    #[must_use]
    pub fn into_row(self) -> TaskRow {
        self.row
    }
}

impl From<TaskRow> for AnyTask {
    fn from(row: TaskRow) -> Self {
        match row.state {
            TaskState::Pending | TaskState::Evicted | TaskState::Unplaceable => {
                Self::Pending(Task::from_row(row))
            }
            TaskState::Running => Self::Running(Task::from_row(row)),
            TaskState::Succeeded | TaskState::Failed | TaskState::Cancelled => {
                Self::Ended(Task::from_row(row))
            }
        }
    }
}

impl Task<Pending> {
    /// Assigns the current attempt to a worker. The start may be sent once this is committed.
    #[must_use]
    pub fn assign(mut self, worker: &str) -> Task<Running> {
        self.row.state = TaskState::Running;
        self.row.worker = Some(worker.to_owned());
        self.row.reason = None;
        Task::from_row(self.row)
    }

    /// Marks a task that can never run as it is.
    #[must_use]
    pub fn mark_unplaceable(mut self, reason: String) -> Self {
        self.row.state = TaskState::Unplaceable;
        self.row.reason = Some(reason);
        self
    }

    /// Puts an unplaceable task back into the queue, after the catalogue or the workers changed.
    #[must_use]
    pub fn reconsider(mut self) -> Self {
        self.row.state = TaskState::Pending;
        self.row.reason = None;
        self
    }

    /// Cancels a task that waits.
    #[must_use]
    pub fn cancel(mut self) -> Task<Ended> {
        self.row.state = TaskState::Cancelled;
        self.row.reason = Some("cancelled before it ran".to_owned());
        Task::from_row(self.row)
    }

    /// Ends a task that failed too often.
    #[must_use]
    pub fn give_up(mut self, reason: String) -> Task<Ended> {
        self.row.state = TaskState::Failed;
        self.row.reason = Some(reason);
        Task::from_row(self.row)
    }

    /// Moves the task to another failure domain.
    #[must_use]
    pub fn move_to(mut self, domain: &str) -> Self {
        self.row.domain = domain.to_owned();
        self
    }
}

impl Task<Running> {
    /// The attempt ended with success.
    #[must_use]
    pub fn succeed(mut self) -> Task<Ended> {
        self.row.state = TaskState::Succeeded;
        self.row.worker = None;
        self.row.reason = None;
        Task::from_row(self.row)
    }

    /// The attempt was stopped or lapsed through no fault of the task; the next attempt resumes from the checkpoint.
    #[must_use]
    pub fn evict(mut self, checkpoint: Option<String>, reason: String) -> Task<Pending> {
        self.row.checkpoint = checkpoint.or(self.row.checkpoint);
        self.row.reason = Some(reason);
        self.next_attempt(TaskState::Evicted)
    }

    /// The attempt failed; the task may be tried again.
    #[must_use]
    pub fn fail_attempt(mut self, reason: String) -> Task<Pending> {
        self.row.failures += 1;
        if let Some(worker) = &self.row.worker {
            self.row.failed_on.insert(worker.clone());
        }
        self.row.reason = Some(reason);
        self.next_attempt(TaskState::Pending)
    }

    /// The attempt was stopped because the task was cancelled.
    #[must_use]
    pub fn cancel(mut self) -> Task<Ended> {
        self.row.state = TaskState::Cancelled;
        self.row.worker = None;
        self.row.reason = Some("cancelled while it ran".to_owned());
        Task::from_row(self.row)
    }

    fn next_attempt(mut self, state: TaskState) -> Task<Pending> {
        self.row.state = state;
        self.row.worker = None;
        self.row.attempt += 1;
        Task::from_row(self.row)
    }
}
