//! Answers of the HTTP interface as a client reads them.

use serde::{Deserialize, Serialize};

use crate::catalogue::Document;
use crate::domain::DomainState;
use crate::platform::table::Revision;
use crate::task::TaskState;

/// Answer to `GET /v1/catalogue`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentList {
    /// Revision of the cache that answered.
    pub revision: Revision,
    /// The documents by name.
    pub documents: Vec<NamedDocument>,
}

/// A document with its name and the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedDocument {
    /// Name.
    pub name: String,
    /// Revision of the last change.
    pub revision: Revision,
    /// The document.
    pub document: Document,
}

/// Answer to `GET /v1/catalogue?history`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeList {
    /// The changes.
    pub changes: Vec<Change>,
}

/// One change of the catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Revision that it made.
    pub revision: Revision,
    /// Document that it changed.
    pub name: String,
    /// Wall-clock time in milliseconds since the Unix epoch.
    #[serde(alias = "unix_ms")]
    pub at_ms: u64,
}

/// Answer to `GET /v1/domains`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainList {
    /// Revision of the cache that answered; none if the server does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The failure domains.
    pub domains: Vec<DomainView>,
}

/// A failure domain and its state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainView {
    /// Name.
    pub name: String,
    /// State.
    pub state: DomainState,
    /// Revision at which the state was set; zero if it never was.
    pub revision: Revision,
}

/// Answer to `GET /v1/tasks`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskPage {
    /// Tasks of this page.
    pub tasks: Vec<TaskView>,
    /// Where the next page begins.
    pub next: Option<String>,
}

/// A task as callers see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskView {
    /// Identity.
    pub id: String,
    /// Catalogue entry.
    pub entry: String,
    /// State.
    pub state: TaskState,
    /// Number of the current or next attempt.
    pub attempt: u32,
    /// Failure domain that holds the task.
    pub domain: String,
    /// Worker of the current attempt.
    pub worker: Option<String>,
    /// Why the task is in its state.
    pub reason: Option<String>,
}

/// Answer to `POST /v1/tasks`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submitted {
    /// Identity of the new task.
    pub id: String,
    /// Its state.
    pub state: TaskState,
}

/// Body of an error answer.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ErrorAnswer {
    /// The error.
    pub error: ErrorView,
}

/// An error as sent over HTTP.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ErrorView {
    /// Fixed code.
    pub code: String,
    /// What was found.
    pub message: String,
    /// What to do.
    pub hint: String,
    /// Current revision, after a lost edit race.
    #[serde(default)]
    pub revision: Option<Revision>,
}

/// The text of a state, as it is on the wire.
#[must_use]
pub fn state_text(state: TaskState) -> &'static str {
    match state {
        TaskState::Pending => "pending",
        TaskState::Running => "running",
        TaskState::Evicted => "evicted",
        TaskState::Succeeded => "succeeded",
        TaskState::Failed => "failed",
        TaskState::Cancelled => "cancelled",
        TaskState::Unplaceable => "unplaceable",
    }
}

/// The text of a domain's state, as it is on the wire.
#[must_use]
pub fn domain_state_text(state: DomainState) -> &'static str {
    match state {
        DomainState::In => "in",
        DomainState::Out => "out",
    }
}
