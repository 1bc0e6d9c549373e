//! What edits of the catalogue and of domains' states have in common.

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

/// Header that carries the revision that an edit is based on.
pub const IF_MATCH: &str = "If-Match";

/// When an edit gives up, if the table does not answer.
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
    /// For reads only: says that nothing was changed.
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

/// The cache of the catalogue with its age.
///
/// # Errors
///
/// 503 `store-unavailable` before the first read, when the cache shows nothing of what operators have set.
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

/// The error for a method that a resource does not have.
#[must_use]
pub fn method_not_allowed(method: &str, allowed: &'static str) -> ApiError {
    ApiError::new(
        405,
        "method-not-allowed",
        format!("{method} is not possible here"),
        format!("use {allowed}"),
    )
}

/// The error for a path below a resource that does not exist.
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
/// 400 `malformed-body` with the place of the first mistake.
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

/// The revision in `If-Match`, with or without quotes; `None` if the header is missing.
///
/// # Errors
///
/// 400 `malformed-header`.
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

/// The condition that a row is as the operator saw it.
#[must_use]
pub fn condition(key: &str, expected: Revision) -> Condition {
    match expected {
        0 => Condition::Absent { key: key.to_owned() },
        revision => Condition::AtRevision { key: key.to_owned(), revision },
    }
}

/// The answer to an edit that lost a race.
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

/// Commits an edit. After a commit the own cache is refreshed.
///
/// # Errors
///
/// 503 `store-unavailable` if the edit certainly had no effect, 504 `outcome-unknown` if it may have had one.
pub fn commit(
    cx: &Context,
    what: &str,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
    deadline: Instant,
) -> Result<CommitResult, ApiError> {
    let operation = format!("edit/{what}/{}/{:016x}", cx.process, rand::random::<u64>());
    let txn = Transaction { operation, conditions, writes };
    let result = cx.commits.submit(&txn, deadline).map_err(|failure| failure.to_api_error())?;
    if matches!(result, CommitResult::Committed { .. }) {
        // The edit is committed, so it is accepted even if the cache learns of it only by the next regular read.
        let _ = sync::refresh(cx);
    }
    Ok(result)
}

/// Encodes the answer of a handler.
#[must_use]
pub fn respond(result: Result<ApiResponse, ApiError>) -> ApiResponse {
    result.unwrap_or_else(|error| ApiResponse::error(&error))
}
