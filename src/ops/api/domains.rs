//! `/v1/domains`: reads and sets whether failure domains are in service.

use serde::Serialize;

use super::edit::{
    commit, condition, deadline, decode_body, expected_revision, lost_race, method_not_allowed,
    read_cache, respond, unknown_path,
};
use super::{ApiRequest, ApiResponse};
use crate::catalogue::CatalogueCache;
use crate::domain::DomainState;
use crate::domain::state::{self, DomainStateRow};
use crate::error::ApiError;
use crate::ops::Context;
use crate::platform::table::{CommitResult, ReadRequest, Revision, Write};

/// A failure domain with its state.
#[derive(Debug, Serialize)]
struct DomainView<'a> {
    name: &'a str,
    state: DomainState,
    /// Revision at which the state was set; 0 if it never was.
    revision: Revision,
}

/// Response to `GET /v1/domains`.
#[derive(Debug, Serialize)]
struct ListView<'a> {
    /// Milliseconds since the list was last known to be current.
    age_ms: u64,
    domains: Vec<DomainView<'a>>,
}

/// Handles a request below `/v1/domains`.
#[must_use]
pub fn handle(cx: &Context, req: &ApiRequest<'_>) -> ApiResponse {
    respond(match (req.method, &req.segments[..]) {
        ("GET", [_]) => list(cx),
        ("GET", [_, name]) => configured_domain(cx, name).and_then(|name| get(cx, name)),
        ("PUT", [_, name]) => configured_domain(cx, name).and_then(|name| put(cx, req, name)),
        (method, [_]) => Err(method_not_allowed(method, "GET")),
        (method, [_, _]) => Err(method_not_allowed(method, "GET or PUT")),
        (_, segments) => Err(unknown_path(segments)),
    })
}

fn list(cx: &Context) -> Result<ApiResponse, ApiError> {
    let (cache, age) = read_cache(cx)?;
    let domains = cx.cfg.domains.iter().map(|name| view(&cache, name)).collect();
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Ok(ApiResponse::json(200, &ListView { age_ms, domains }))
}

fn get(cx: &Context, name: &str) -> Result<ApiResponse, ApiError> {
    let (cache, _) = read_cache(cx)?;
    Ok(ApiResponse::json(200, &view(&cache, name)))
}

fn view<'a>(cache: &CatalogueCache, name: &'a str) -> DomainView<'a> {
    let revision = cache.domain_state_revision(name).unwrap_or_default();
    DomainView { name, state: cache.domain_state(name), revision }
}

fn configured_domain<'a>(cx: &Context, name: &'a str) -> Result<&'a str, ApiError> {
    if cx.cfg.domains.iter().any(|domain| domain == name) {
        return Ok(name);
    }
    Err(ApiError::new(
        404,
        "unknown-domain",
        format!("{name:?} is no failure domain"),
        format!("the failure domains are {}", cx.cfg.domains.join(", ")),
    ))
}

/// Sets the state. The last write wins, unless the request has an `If-Match` header.
fn put(cx: &Context, req: &ApiRequest<'_>, name: &str) -> Result<ApiResponse, ApiError> {
    let expected = expected_revision(req)?;
    let row: DomainStateRow = decode_body(req)?;
    let key = state::row_key(name);
    let value = serde_json::to_value(row).map_err(|error| {
        ApiError::new(500, "encoding-failed", error.to_string(), "report this as a defect")
    })?;
    let conditions = expected.map(|expected| condition(&key, expected)).into_iter().collect();
    let writes = vec![Write::Put { key: key.clone(), value }];
    match commit(cx, &key, conditions, writes, deadline(cx))? {
        CommitResult::Committed { revision } => {
            Ok(ApiResponse::json(200, &DomainView { name, state: row.state, revision }))
        }
        CommitResult::Conflict { .. } => {
            Err(lost_race(name, expected.unwrap_or_default(), current_revision(cx, key)))
        }
    }
}

fn current_revision(cx: &Context, key: String) -> Option<Revision> {
    let req = ReadRequest { keys: vec![key], ..ReadRequest::default() };
    let rows = cx.table.read(&req).ok()?;
    Some(rows.rows.first().map_or(0, |row| row.revision))
}
