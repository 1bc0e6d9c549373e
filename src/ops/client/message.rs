//! Responses of the HTTP API as a client decodes them.

use serde::{Deserialize, Serialize};

use crate::catalogue::Document;
use crate::domain::DomainState;
use crate::platform::table::Revision;
use crate::task::TaskState;

/// Response to `GET /v1/catalogue`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentList {
    /// Table revision that the server's catalogue cache reflects.
    pub revision: Revision,
    /// All documents, ordered by name.
    pub documents: Vec<NamedDocument>,
}

/// A document with its name and the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedDocument {
    /// Name, unique in the catalogue.
    pub name: String,
    /// Revision of the last change; the next edit must state it.
    pub revision: Revision,
    /// Content of the document.
    pub document: Document,
}

/// Response to `GET /v1/catalogue?history`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeList {
    /// The newest changes; the server keeps a limited number.
    pub changes: Vec<Change>,
}

/// A change of a catalogue document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Revision of the document after the change.
    pub revision: Revision,
    /// Name of the changed document.
    pub name: String,
    /// Wall-clock time in milliseconds since the Unix epoch.
    #[serde(alias = "unix_ms")]
    pub at_ms: u64,
}

/// Response to `GET /v1/domains`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainList {
    /// Table revision that the server's cache reflects; `None` if the response lacks it, as those of this version do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// All failure domains, in the order of the server's settings.
    pub domains: Vec<DomainView>,
}

/// A failure domain and its state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainView {
    /// Name as in the settings.
    pub name: String,
    /// State set by operators; `In` if none was set.
    pub state: DomainState,
    /// Revision at which the state was set; 0 if it never was.
    pub revision: Revision,
}

/// Response to `GET /v1/tasks`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskPage {
    /// Tasks of this page, ordered by ID.
    pub tasks: Vec<TaskView>,
    /// Value of `after` for the next page; `None` on the last page.
    pub next: Option<String>,
}

/// A task as callers see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskView {
    /// Task ID.
    pub id: String,
    /// Name of the catalogue entry.
    pub entry: String,
    /// State when the row was read.
    pub state: TaskState,
    /// Number of the current or next attempt, counted from 1.
    pub attempt: u32,
    /// Failure domain that schedules the task.
    pub domain: String,
    /// Worker of the current attempt; `None` if none runs.
    pub worker: Option<String>,
    /// Why the task is in its state, if the server recorded a reason.
    pub reason: Option<String>,
}

/// Response to `POST /v1/tasks`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submitted {
    /// ID of the task; that of the earlier task if the submission was a repetition.
    pub id: String,
    /// State of the task, pending if it is new.
    pub state: TaskState,
}

/// Body of an error response.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ErrorAnswer {
    /// Content of the body's only field.
    pub error: ErrorView,
}

/// An error as sent over HTTP.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ErrorView {
    /// Code of the error, for programs.
    pub code: String,
    /// What is wrong, for people.
    pub message: String,
    /// What to do about it, for people.
    pub hint: String,
    /// Current revision of the resource, if the edit was based on another one.
    #[serde(default)]
    pub revision: Option<Revision>,
}

/// Returns the name of a task state as on the wire.
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

/// Returns the name of a domain state as on the wire.
#[must_use]
pub fn domain_state_text(state: DomainState) -> &'static str {
    match state {
        DomainState::In => "in",
        DomainState::Out => "out",
    }
}
