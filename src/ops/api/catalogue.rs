//! `/v1/catalogue`: reads and edits documents, and lists the newest changes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::edit::{
    IF_MATCH, commit, condition, deadline, decode_body, expected_revision, lost_race,
    method_not_allowed, read_cache, respond, unknown_path,
};
use super::{ApiRequest, ApiResponse};
use crate::catalogue::document::{self, Document, DocumentError};
use crate::error::{ApiError, ToApiError};
use crate::ops::Context;
use crate::platform::table::{
    CommitResult, Condition, ReadRequest, ReadResponse, Revision, Row, Write,
};
use crate::policy::retry::Backoff;

/// Key of the row with the newest changes. It is outside the catalogue's prefix, so that caches don't follow it.
pub const HISTORY_KEY: &str = "catalogue-history";

/// Number of changes that the history keeps; older ones are dropped.
const MAX_HISTORY_CHANGES: usize = 100;

/// Shortest and longest delay before an edit is retried. Edits of different documents conflict, because all of them
/// write the history row.
const EDIT_BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// A document with its revision.
#[derive(Debug, Serialize)]
struct DocumentView<'a> {
    name: &'a str,
    revision: Revision,
    document: &'a Document,
}

/// Response to `GET /v1/catalogue`.
#[derive(Debug, Serialize)]
struct ListView<'a> {
    /// Table revision that the list reflects.
    revision: Revision,
    /// Milliseconds since the list was last known to be current.
    age_ms: u64,
    documents: Vec<DocumentView<'a>>,
}

/// Response to an accepted edit.
#[derive(Debug, Serialize)]
struct Accepted<'a> {
    name: &'a str,
    revision: Revision,
}

/// An accepted change of a document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Name of the document.
    pub name: String,
    /// Revision of the change. The row stores none for its newest change, which has the revision of the row itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Revision of the document before the change; 0 for a new document.
    pub replaced: Revision,
    /// Wall-clock time of the process that accepted the change, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Name of the process that accepted the change.
    pub process: String,
}

/// Content of the history row and response to `GET /v1/catalogue?history`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct History {
    /// The changes, newest first.
    pub changes: Vec<Change>,
}

impl History {
    /// Decodes the row and sets the revision of the newest change. A row that cannot be decoded counts as empty.
    fn from_row(row: Option<&Row>) -> Self {
        let Some(row) = row else { return Self::default() };
        let content = row.value.as_ref().and_then(|value| Self::deserialize(value).ok());
        let mut history = content.unwrap_or_default();
        if let Some(newest) = history.changes.first_mut() {
            newest.revision = Some(row.revision);
        }
        history
    }

    fn push(&mut self, change: Change) {
        self.changes.insert(0, change);
        self.changes.truncate(MAX_HISTORY_CHANGES);
    }
}

impl ToApiError for DocumentError {
    fn to_api_error(&self) -> ApiError {
        let (code, hint) = match self {
            Self::BadName { .. } => ("bad-name", "choose another name"),
            Self::BadOwner { .. } => ("bad-owner", "set \"owner\" to the name of the team"),
            Self::LimitAllowsNothing { .. } => {
                ("limit-allows-nothing", "raise the limit, or leave it out for the default")
            }
            Self::NoResources => {
                ("no-resources", "set what one task needs; it is corrected from measurements later")
            }
            Self::PriorityTooHigh { .. } => ("priority-too-high", "use a priority of 0 to 9"),
            Self::BadLatencyTarget { .. } => {
                ("bad-latency-target", "set the tail latency that the service must keep")
            }
        };
        ApiError::new(422, code, self.to_string(), hint)
    }
}

/// Handles a request below `/v1/catalogue`.
#[must_use]
pub fn handle(cx: &Context, req: &ApiRequest<'_>) -> ApiResponse {
    respond(match (req.method, &req.segments[..]) {
        ("GET", [_]) if req.query == "history" => history(cx),
        ("GET", [_]) => list(cx),
        ("GET", [_, name]) => get(cx, name),
        ("PUT", [_, name]) => put(cx, req, name),
        (method, [_]) => Err(method_not_allowed(method, "GET")),
        (method, [_, _]) => Err(method_not_allowed(method, "GET or PUT")),
        (_, segments) => Err(unknown_path(segments)),
    })
}

fn list(cx: &Context) -> Result<ApiResponse, ApiError> {
    let (cache, age) = read_cache(cx)?;
    let documents = cache.documents().iter().map(|(name, document)| {
        let revision = cache.document_revision(name).unwrap_or_default();
        DocumentView { name, revision, document }
    });
    let view = ListView {
        revision: cache.revision(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        documents: documents.collect(),
    };
    Ok(ApiResponse::json(200, &view))
}

fn get(cx: &Context, name: &str) -> Result<ApiResponse, ApiError> {
    let (cache, age) = read_cache(cx)?;
    match (cache.document(name), cache.document_revision(name)) {
        (Some(document), Some(revision)) => {
            Ok(ApiResponse::json(200, &DocumentView { name, revision, document }))
        }
        _ if age >= cx.cfg.timing.freshness() => Err(ApiError::new(
            503,
            "store-unavailable",
            format!("the catalogue has no document {name:?}, but it could not be read lately"),
            "repeat the request when the table service answers again",
        )),
        _ => Err(ApiError::new(
            404,
            "unknown-document",
            format!("the catalogue has no document {name:?}"),
            "see the names with GET /v1/catalogue; create it with PUT and If-Match: 0",
        )),
    }
}

fn history(cx: &Context) -> Result<ApiResponse, ApiError> {
    let rows = read(cx, vec![HISTORY_KEY.to_owned()])?;
    Ok(ApiResponse::json(200, &History::from_row(rows.row(HISTORY_KEY))))
}

fn read(cx: &Context, keys: Vec<String>) -> Result<ReadResponse, ApiError> {
    let req = ReadRequest { keys, ..ReadRequest::default() };
    cx.table.read(&req).map_err(|error| error.to_api_error())
}

/// Validates an edit before anything is sent to the table, and returns the expected revision and the document.
fn validate_edit(
    cx: &Context,
    req: &ApiRequest<'_>,
    name: &str,
) -> Result<(Revision, Document), ApiError> {
    let expected = expected_revision(req)?.ok_or_else(|| {
        ApiError::new(
            428,
            "revision-required",
            format!("an edit needs the header {IF_MATCH}"),
            "send the number in \"revision\" of the last GET, or 0 for a new document",
        )
    })?;
    let document: Document = decode_body(req)?;
    document.validate(name).map_err(|error| error.to_api_error())?;
    if let Document::Entry(entry) = &document
        && let Some(unknown) = entry.domains.iter().find(|it| !cx.cfg.domains.contains(it))
    {
        return Err(ApiError::new(
            422,
            "unknown-domain",
            format!("\"domains\" names {unknown:?}, which is no failure domain"),
            format!("the failure domains are {}", cx.cfg.domains.join(", ")),
        ));
    }
    Ok((expected, document))
}

fn put(cx: &Context, req: &ApiRequest<'_>, name: &str) -> Result<ApiResponse, ApiError> {
    let (expected, document) = validate_edit(cx, req, name)?;
    let value = serde_json::to_value(&document).map_err(|error| {
        ApiError::new(500, "encoding-failed", error.to_string(), "report this as a defect")
    })?;
    let deadline = deadline(cx);
    let key = document::row_key(name);
    let mut backoff = Backoff::new(EDIT_BACKOFF.0, EDIT_BACKOFF.1);
    loop {
        let rows = read(cx, vec![key.clone(), HISTORY_KEY.to_owned()])?;
        let current = rows.row(&key).map_or(0, |row| row.revision);
        if current != expected {
            return Err(lost_race(name, expected, Some(current)));
        }
        let (history_condition, history) = next_history(cx, &rows, name, expected);
        let conditions = vec![condition(&key, expected), history_condition];
        let writes = vec![Write::Put { key: key.clone(), value: value.clone() }, history];
        match commit(cx, &format!("catalogue/{name}"), conditions, writes, deadline)? {
            CommitResult::Committed { revision } => {
                return Ok(ApiResponse::json(200, &Accepted { name, revision }));
            }
            // This document or another one was edited meanwhile; the next read shows which.
            CommitResult::Conflict { .. } => {}
        }
        match backoff.next_delay(cx.clock.now(), deadline, rand::random()) {
            Some(delay) => cx.clock.sleep(delay),
            None => return Err(too_many_edits(backoff.retries())),
        }
    }
}

fn too_many_edits(retries: u32) -> ApiError {
    ApiError::new(
        503,
        "too-many-edits",
        format!("the edit conflicted with edits of other documents {retries} times"),
        "nothing was changed; repeat the request",
    )
}

/// Returns the condition and the write that add a change to the front of the history.
fn next_history(
    cx: &Context,
    rows: &ReadResponse,
    name: &str,
    replaced: Revision,
) -> (Condition, Write) {
    let row = rows.row(HISTORY_KEY);
    let mut history = History::from_row(row);
    history.push(Change {
        name: name.to_owned(),
        revision: None,
        replaced,
        unix_ms: cx.clock.unix_ms(),
        process: cx.process.clone(),
    });
    // The type holds only text and numbers, which always encode.
    let value = serde_json::to_value(&history).unwrap_or(Value::Null);
    let revision = row.map_or(0, |row| row.revision);
    (condition(HISTORY_KEY, revision), Write::Put { key: HISTORY_KEY.to_owned(), value })
}
