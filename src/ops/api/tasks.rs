//! `/v1/tasks`: submits, shows and cancels tasks.
//!
//! A submission is accepted only once the task's row is committed, because the caller does not submit it again.

mod cancel;
mod error;
mod submit;

use serde::Serialize;

use self::error::TaskError;
pub(crate) use self::submit::submission_key;
use super::{ApiRequest, ApiResponse};
use crate::error::ToApiError;
use crate::ops::Context;
use crate::platform::table::{ReadRequest, ReadResponse, Revision, Row};
use crate::task::{TaskId, TaskRow, TaskState, row};

/// Tasks per page if the caller sets no limit.
const DEFAULT_PAGE_SIZE: usize = 100;

/// Largest limit that a caller may set.
const MAX_PAGE_SIZE: usize = 1000;

/// A task as callers see it.
#[derive(Debug, Serialize)]
struct TaskView<'a> {
    id: &'a TaskId,
    entry: &'a str,
    state: TaskState,
    attempt: u32,
    domain: &'a str,
    worker: Option<&'a str>,
    reason: Option<&'a str>,
}

impl<'a> From<&'a TaskRow> for TaskView<'a> {
    fn from(row: &'a TaskRow) -> Self {
        Self {
            id: &row.id,
            entry: &row.entry,
            state: row.state,
            attempt: row.attempt,
            domain: &row.domain,
            worker: row.worker.as_deref(),
            reason: row.reason.as_deref(),
        }
    }
}

/// One page of tasks.
#[derive(Debug, Serialize)]
struct Page<'a> {
    tasks: Vec<TaskView<'a>>,
    /// Value of `after` for the next page; missing on the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<&'a TaskId>,
}

/// Handles a request below `/v1/tasks`.
#[must_use]
pub fn handle(cx: &Context, req: &ApiRequest<'_>) -> ApiResponse {
    let result = match (req.method, &req.segments[..]) {
        ("POST", ["tasks"]) => submit::submit(cx, req),
        ("GET", ["tasks"]) => list(cx, req.query),
        ("GET", ["tasks", id]) => show(cx, id),
        ("DELETE", ["tasks", id]) => cancel::cancel(cx, id),
        ("GET" | "POST" | "DELETE", ["tasks", _, ..]) => {
            Err(TaskError::UnknownPath { path: req.segments.join("/") })
        }
        (method, _) => Err(TaskError::BadMethod { method: method.to_owned() }),
    };
    result.unwrap_or_else(|error| ApiResponse::error(&error.to_api_error()))
}

fn view(status: u16, row: &TaskRow) -> ApiResponse {
    ApiResponse::json(status, &TaskView::from(row))
}

fn show(cx: &Context, id: &str) -> Result<ApiResponse, TaskError> {
    let (row, _) = find(cx, id)?;
    Ok(view(200, &row))
}

/// Reads a task from whichever domain it belongs to.
fn find(cx: &Context, id: &str) -> Result<(TaskRow, Revision), TaskError> {
    let id = TaskId::new(id);
    let keys = cx.cfg.domains.iter().map(|domain| row::row_key(domain, &id)).collect();
    let response = read(cx, &ReadRequest { keys, ..ReadRequest::default() })?;
    let found = response.rows.iter().find_map(decode);
    found.ok_or_else(|| TaskError::UnknownTask { id: id.to_string() })
}

fn list(cx: &Context, query: &str) -> Result<ApiResponse, TaskError> {
    let filter = Filter::parse(query)?;
    let prefixes = vec![row::ROW_PREFIX.to_owned()];
    let response = read(cx, &ReadRequest { prefixes, ..ReadRequest::default() })?;
    let mut rows: Vec<TaskRow> = response
        .rows
        .iter()
        .filter_map(decode)
        .map(|(row, _)| row)
        .filter(|row| filter.matches(row))
        .collect();
    rows.sort_by(|a, b| a.id.cmp(&b.id));
    let more = rows.len() > filter.limit;
    rows.truncate(filter.limit);
    let next = more.then(|| rows.last().map(|row| &row.id)).flatten();
    Ok(ApiResponse::json(200, &Page { tasks: rows.iter().map(TaskView::from).collect(), next }))
}

/// Query parameters of a list.
#[derive(Debug)]
struct Filter {
    state: Option<TaskState>,
    entry: Option<String>,
    after: Option<TaskId>,
    limit: usize,
}

impl Filter {
    fn parse(query: &str) -> Result<Self, TaskError> {
        let mut filter = Self { state: None, entry: None, after: None, limit: DEFAULT_PAGE_SIZE };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let bad = || TaskError::BadQuery { part: pair.to_owned() };
            let (name, value) = pair.split_once('=').ok_or_else(bad)?;
            match name {
                "state" => {
                    let state = serde_json::Value::String(value.to_owned());
                    filter.state = Some(serde_json::from_value(state).map_err(|_| bad())?);
                }
                "entry" => filter.entry = Some(value.to_owned()),
                "after" => filter.after = Some(TaskId::new(value)),
                "limit" => {
                    let limit: usize = value.parse().map_err(|_| bad())?;
                    filter.limit =
                        Some(limit).filter(|n| (1..=MAX_PAGE_SIZE).contains(n)).ok_or_else(bad)?;
                }
                _ => return Err(bad()),
            }
        }
        Ok(filter)
    }

    fn matches(&self, row: &TaskRow) -> bool {
        self.state.is_none_or(|state| row.state == state)
            && self.entry.as_ref().is_none_or(|entry| row.entry == *entry)
            && self.after.as_ref().is_none_or(|after| row.id > *after)
    }
}

fn read(cx: &Context, req: &ReadRequest) -> Result<ReadResponse, TaskError> {
    cx.table.read(req).map_err(|cause| TaskError::StoreUnavailable { cause: cause.to_string() })
}

fn decode(row: &Row) -> Option<(TaskRow, Revision)> {
    let decoded = serde::Deserialize::deserialize(row.value.as_ref()?).ok()?;
    Some((decoded, row.revision))
}
