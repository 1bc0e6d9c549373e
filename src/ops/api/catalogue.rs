//! `/v1/catalogue`: documents with their revisions, edits, and the newest changes.

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

/// Row with the newest changes. It lies outside the catalogue's prefix, so that caches don't carry it.
pub const HISTORY_KEY: &str = "catalogue-history";

/// Changes that the history keeps.
const HISTORY_LENGTH: usize = 100;

/// Bounds of the delays of an edit that meets only other documents' edits, which share the history row.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// A document with its revision.
#[derive(Debug, Serialize)]
struct DocumentView<'a> {
    name: &'a str,
    revision: Revision,
    document: &'a Document,
}

/// All documents.
#[derive(Debug, Serialize)]
struct ListView<'a> {
    /// Table revision that the list reflects.
    revision: Revision,
    /// Time since the list was known to be current.
    age_ms: u64,
    documents: Vec<DocumentView<'a>>,
}

/// Answer to an accepted edit.
#[derive(Debug, Serialize)]
struct Accepted<'a> {
    name: &'a str,
    revision: Revision,
}

/// One accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The document.
    pub name: String,
    /// Revision of the change. In the row it is missing for the newest change, whose revision is that of the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Revision that it replaced; 0 for a new document.
    pub replaced: Revision,
    /// Wall-clock time of the accepting process in milliseconds.
    pub unix_ms: u64,
    /// The accepting process.
    pub process: String,
}

/// Content of the history row, and answer of `GET /v1/catalogue?history`. The newest change comes first.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct History {
    /// The changes.
    pub changes: Vec<Change>,
}

impl History {
    /// Decodes the row and fills in the revision of the newest change. A row that cannot be decoded counts as empty.
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
        self.changes.truncate(HISTORY_LENGTH);
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

/// Answers a request below `/v1/catalogue`.
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
    let (cache, _) = read_cache(cx)?;
    match (cache.document(name), cache.document_revision(name)) {
        (Some(document), Some(revision)) => {
            Ok(ApiResponse::json(200, &DocumentView { name, revision, document }))
        }
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

/// Checks an edit completely before anything is sent to the table.
fn check(cx: &Context, req: &ApiRequest<'_>, name: &str) -> Result<(Revision, Document), ApiError> {
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
    let (expected, document) = check(cx, req, name)?;
    let value = serde_json::to_value(&document).map_err(|error| {
        ApiError::new(500, "encoding-failed", error.to_string(), "report this as a defect")
    })?;
    let deadline = deadline(cx);
    let key = document::row_key(name);
    let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
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
            // The document or another one was edited meanwhile; the next read tells which.
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
        format!("{retries} edits of other documents came in between"),
        "nothing was changed; repeat the request",
    )
}

/// The condition and the write that add a change to the history.
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
    let seen = row.map_or(0, |row| row.revision);
    (condition(HISTORY_KEY, seen), Write::Put { key: HISTORY_KEY.to_owned(), value })
}
