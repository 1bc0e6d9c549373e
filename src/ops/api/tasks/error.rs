//! Errors of `/v1/tasks`.

use thiserror::Error;

use crate::error::{ApiError, ToApiError};

/// Why a request about tasks failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub(super) enum TaskError {
    #[error("the catalogue has no entry {entry:?}")]
    UnknownEntry { entry: String },
    #[error("{entry:?} is not an entry that runs tasks")]
    NotATaskEntry { entry: String },
    #[error("there is no task {id:?}")]
    UnknownTask { id: String },
    #[error("the body cannot be used: {cause}")]
    BadBody { cause: String },
    #[error("the query part {part:?} cannot be used")]
    BadQuery { part: String },
    #[error("the idempotency key has {bytes} bytes")]
    BadKey { bytes: usize },
    #[error("the idempotency key was used for another submission")]
    KeyReused,
    #[error("there is nothing at {path:?}")]
    UnknownPath { path: String },
    #[error("{method} is not possible here")]
    BadMethod { method: String },
    #[error("the task has already ended as {state}")]
    AlreadyEnded { state: String },
    #[error("every write of the task's row conflicted with another write")]
    LostRace,
    #[error("the table service cannot be reached: {cause}")]
    StoreUnavailable { cause: String },
    #[error(
        "the table service did not respond, so it is in doubt whether the change was committed"
    )]
    OutcomeUnknown,
}

impl ToApiError for TaskError {
    fn to_api_error(&self) -> ApiError {
        let (status, code, hint) = match self {
            Self::UnknownEntry { .. } => {
                (404, "unknown-entry", "see GET /v1/catalogue for the entries that exist")
            }
            Self::NotATaskEntry { .. } => {
                (422, "not-a-task-entry", "name an entry that sets limits.per_task")
            }
            Self::UnknownTask { .. } => {
                (404, "unknown-task", "see GET /v1/tasks; ended tasks are kept for a limited time")
            }
            Self::BadBody { .. } => {
                (400, "bad-body", r#"send {"entry":NAME,"args":{...}} as JSON"#)
            }
            Self::BadQuery { .. } => {
                (400, "bad-query", "use state, entry, after, and limit from 1 to 1000")
            }
            Self::BadKey { .. } => {
                (400, "bad-idempotency-key", "send 1 to 128 visible ASCII characters")
            }
            Self::KeyReused => {
                (422, "idempotency-key-reused", "use a new key for a new submission")
            }
            Self::UnknownPath { .. } => (404, "unknown-path", "use /v1/tasks or /v1/tasks/{id}"),
            Self::BadMethod { .. } => (405, "bad-method", "use GET, POST or DELETE"),
            Self::AlreadyEnded { .. } => (409, "task-ended", "there is nothing left to cancel"),
            Self::LostRace => (409, "lost-race", "try again"),
            Self::StoreUnavailable { .. } => {
                (503, "store-unavailable", "nothing was changed; try again later")
            }
            Self::OutcomeUnknown => (
                504,
                "outcome-unknown",
                "repeat the submission with the same Idempotency-Key, or look at GET /v1/tasks",
            ),
        };
        ApiError::new(status, code, self.to_string(), hint)
    }
}
