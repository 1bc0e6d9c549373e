//! Helpers shared by the catalogue and domains resources.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;

use super::{ApiRequest, ApiResponse};
use crate::catalogue::CatalogueCache;
use crate::error::{ApiError, ToApiError};
use crate::ops::{Context, sync};
use crate::platform::PlatformError;
use crate::platform::group_commit::CommitFailure;
use crate::platform::table::{CommitResult, Condition, Revision, Transaction, Write};

/// Header with the revision that an edit is based on.
pub const IF_MATCH: &str = "If-Match";

/// Returns the time at which an edit fails if the table has not answered.
#[must_use]
pub fn deadline(cx: &Context) -> Instant {
    cx.clock.now() + cx.cfg.timing.default_deadline()
}

impl ToApiError for CommitFailure {
    fn to_api_error(&self) -> ApiError {
        match self {
            Self::Unknown { .. } | Self::Pending => ApiError::new(
                504,
                "outcome-unknown",
                self.to_string(),
                "read the resource again before you repeat the change; it may have been accepted",
            ),
            Self::NotCommitted { .. } | Self::Expired | Self::Overloaded | Self::Closed => {
                unavailable(&self.to_string())
            }
        }
    }
}

impl ToApiError for PlatformError {
    /// Used for reads only, because the response says that nothing was changed.
    fn to_api_error(&self) -> ApiError {
        unavailable(&self.to_string())
    }
}

fn unavailable(message: &str) -> ApiError {
    ApiError::new(
        503,
        "store-unavailable",
        message,
        "nothing was changed; repeat the request when the table service answers again",
    )
}

/// Returns the catalogue cache and its age.
///
/// # Errors
///
/// 503 `store-unavailable` before the first read of the table, when the cache is still empty.
pub fn read_cache(cx: &Context) -> Result<(Arc<CatalogueCache>, Duration), ApiError> {
    let cache = cx.catalogue.snapshot();
    match cache.age(cx.clock.now()) {
        Some(age) => Ok((cache, age)),
        None => Err(ApiError::new(
            503,
            "store-unavailable",
            "this process has not read the catalogue yet",
            "repeat the request when the table service answers again",
        )),
    }
}

/// Returns the error for a method that a resource does not support.
#[must_use]
pub fn method_not_allowed(method: &str, allowed: &'static str) -> ApiError {
    ApiError::new(
        405,
        "method-not-allowed",
        format!("{method} is not possible here"),
        format!("use {allowed}"),
    )
}

/// Returns the error for a path that does not exist.
#[must_use]
pub fn unknown_path(segments: &[&str]) -> ApiError {
    ApiError::new(
        404,
        "unknown-path",
        format!("/v1/{} does not exist", segments.join("/")),
        "see GET /v1/catalogue and GET /v1/domains",
    )
}

/// Decodes a JSON body.
///
/// # Errors
///
/// 400 `malformed-body` with the position of the first error.
pub fn decode_body<T: DeserializeOwned>(req: &ApiRequest<'_>) -> Result<T, ApiError> {
    serde_json::from_slice(req.body).map_err(|error| {
        ApiError::new(
            400,
            "malformed-body",
            format!("the body cannot be read: {error}"),
            "send a JSON object with the documented fields only",
        )
    })
}

/// Parses the revision in `If-Match`, with or without quotes; `None` if the header is missing.
///
/// # Errors
///
/// 400 `malformed-header` if the value is not a number.
pub fn expected_revision(req: &ApiRequest<'_>) -> Result<Option<Revision>, ApiError> {
    let Some(value) = req.header(IF_MATCH) else { return Ok(None) };
    let bare = value.trim();
    let bare = bare.strip_prefix('"').and_then(|it| it.strip_suffix('"')).unwrap_or(bare);
    bare.parse().map(Some).map_err(|_| {
        ApiError::new(
            400,
            "malformed-header",
            format!("{IF_MATCH} is {value:?}, which is no revision"),
            "send the number in \"revision\" of the last GET, or 0 for something new",
        )
    })
}

/// Returns the condition that a row still has the expected revision; 0 means that the row does not exist.
#[must_use]
pub fn condition(key: &str, expected: Revision) -> Condition {
    match expected {
        0 => Condition::Absent { key: key.to_owned() },
        revision => Condition::AtRevision { key: key.to_owned(), revision },
    }
}

/// Returns the error for an edit that lost a race. `current` is `None` if the table could not be read.
#[must_use]
pub fn lost_race(name: &str, expected: Revision, current: Option<Revision>) -> ApiError {
    let found = match current {
        Some(0) => "it does not exist".to_owned(),
        Some(current) => format!("it is at revision {current}"),
        None => "its revision cannot be read now".to_owned(),
    };
    let error = ApiError::new(
        409,
        "lost-race",
        format!("the change of {name:?} is based on revision {expected}, but {found}"),
        "get the current content, apply your change to it and send it with its revision",
    );
    match current {
        Some(current) => error.with_revision(current),
        None => error,
    }
}

/// Commits an edit of `resource` and then refreshes this process's catalogue cache.
///
/// # Errors
///
/// 503 `store-unavailable` if the edit certainly had no effect, 504 `outcome-unknown` if it may have had one.
pub fn commit(
    cx: &Context,
    resource: &str,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
    deadline: Instant,
) -> Result<CommitResult, ApiError> {
    let operation = format!("edit/{resource}/{}/{:016x}", cx.process, rand::random::<u64>());
    let txn = Transaction { operation, conditions, writes };
    let result = cx.commits.submit(&txn, deadline).map_err(|failure| failure.to_api_error())?;
    if matches!(result, CommitResult::Committed { .. }) {
        // The edit is committed whatever the refresh returns; the next periodic read updates the cache otherwise.
        let _ = sync::refresh(cx);
    }
    Ok(result)
}

/// Converts the result of a handler to a response.
#[must_use]
pub fn respond(result: Result<ApiResponse, ApiError>) -> ApiResponse {
    result.unwrap_or_else(|error| ApiResponse::error(&error))
}
