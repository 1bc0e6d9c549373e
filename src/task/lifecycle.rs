//! Life cycle of a task as typestate.
//!
//! Only the transitions below exist. Each consumes the task in its old state, so code that still holds the old state
//! cannot act on it. The attempt number increases exactly when an attempt has ended and another one may follow;
//! together with the table's conditional writes this makes evicted work resume exactly once.

use super::row::{TaskRow, TaskState};

/// Marks a task without an attempt: `pending`, `evicted` or `unplaceable`.
#[derive(Clone, Debug)]
pub struct Unassigned;

/// Marks a task with an attempt that runs or is being started: `running`.
#[derive(Clone, Debug)]
pub struct Running;

/// Marks a task in a final state: `succeeded`, `failed` or `cancelled`.
#[derive(Clone, Debug)]
pub struct Ended;

/// A task in state `S`.
#[derive(Clone, Debug)]
pub struct Task<S> {
    /// Invariant: `row.state` belongs to `S`.
    row: TaskRow,
    state: std::marker::PhantomData<S>,
}

/// A task read from a row, whose state is known only at run time.
#[derive(Clone, Debug)]
pub enum AnyTask {
    /// Has no attempt.
    Unassigned(Task<Unassigned>),
    /// Has an attempt that runs or is being started.
    Running(Task<Running>),
    /// Is in a final state.
    Ended(Task<Ended>),
}

impl<S> Task<S> {
    fn from_row(row: TaskRow) -> Self {
        Self { row, state: std::marker::PhantomData }
    }

    /// Returns the content of the task's row.
    #[must_use]
    pub fn row(&self) -> &TaskRow {
        &self.row
    }

    /// Converts the task into the content of its row.
    #[must_use]
    pub fn into_row(self) -> TaskRow {
        self.row
    }
}

impl From<TaskRow> for AnyTask {
    fn from(row: TaskRow) -> Self {
        match row.state {
            TaskState::Pending | TaskState::Evicted | TaskState::Unplaceable => {
                Self::Unassigned(Task::from_row(row))
            }
            TaskState::Running => Self::Running(Task::from_row(row)),
            TaskState::Succeeded | TaskState::Failed | TaskState::Cancelled => {
                Self::Ended(Task::from_row(row))
            }
        }
    }
}

impl Task<Unassigned> {
    /// Assigns the next attempt to a worker. Its start may be sent once the row is committed.
    #[must_use]
    pub fn assign(mut self, worker: &str) -> Task<Running> {
        self.row.state = TaskState::Running;
        self.row.worker = Some(worker.to_owned());
        self.row.reason = None;
        Task::from_row(self.row)
    }

    /// Marks a task that cannot run under the current catalogue and workers.
    #[must_use]
    pub fn mark_unplaceable(mut self, reason: String) -> Self {
        self.row.state = TaskState::Unplaceable;
        self.row.reason = Some(reason);
        self
    }

    /// Makes an unplaceable task pending again after the catalogue or the workers have changed.
    #[must_use]
    pub fn reconsider(mut self) -> Self {
        self.row.state = TaskState::Pending;
        self.row.reason = None;
        self
    }

    /// Cancels a task that has no attempt.
    #[must_use]
    pub fn cancel(mut self) -> Task<Ended> {
        self.row.state = TaskState::Cancelled;
        self.row.reason = Some("cancelled before it ran".to_owned());
        Task::from_row(self.row)
    }

    /// Ends a task whose last attempt failed and that will not be retried.
    #[must_use]
    pub fn fail_permanently(mut self, reason: String) -> Task<Ended> {
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
    /// Ends the task after its attempt succeeded.
    #[must_use]
    pub fn succeed(mut self) -> Task<Ended> {
        self.row.state = TaskState::Succeeded;
        self.row.worker = None;
        self.row.reason = None;
        Task::from_row(self.row)
    }

    /// Ends an attempt that was stopped, or whose lease lapsed, through no fault of the task. The next attempt resumes
    /// from `checkpoint`, or from the previous one if that is `None`.
    #[must_use]
    pub fn evict(mut self, checkpoint: Option<String>, reason: String) -> Task<Unassigned> {
        self.row.checkpoint = checkpoint.or(self.row.checkpoint);
        self.row.reason = Some(reason);
        self.next_attempt(TaskState::Evicted)
    }

    /// Ends a failed attempt and records its worker in `failed_on`. The task may be retried.
    #[must_use]
    pub fn fail_attempt(mut self, reason: String) -> Task<Unassigned> {
        self.row.failures += 1;
        if let Some(worker) = &self.row.worker {
            self.row.failed_on.insert(worker.clone());
        }
        self.row.reason = Some(reason);
        self.next_attempt(TaskState::Pending)
    }

    /// Ends a task whose attempt was stopped because the task was cancelled.
    #[must_use]
    pub fn cancel(mut self) -> Task<Ended> {
        self.row.state = TaskState::Cancelled;
        self.row.worker = None;
        self.row.reason = Some("cancelled while it ran".to_owned());
        Task::from_row(self.row)
    }

    fn next_attempt(mut self, state: TaskState) -> Task<Unassigned> {
        self.row.state = state;
        self.row.worker = None;
        self.row.attempt += 1;
        Task::from_row(self.row)
    }
}
