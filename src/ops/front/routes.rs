//! Routes requests of callers and operators to their handlers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::FrontAnswer;
use super::server::{BodyError, IncomingRequest};
use crate::catalogue::Document;
use crate::error::ApiError;
use crate::ops::Context;
use crate::ops::api::{ApiRequest, ApiResponse};
use crate::ops::dispatch::{DispatchOutcome, Dispatcher, ServiceRequest};
use crate::ops::keys::{IdempotencyKeys, KeyClaim, KeyedRequest};
use crate::platform::target::TargetAnswer;
use crate::request::Outcome;
use crate::request::key::{self, ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, StoredAnswer};
use crate::telemetry::Span;
use crate::telemetry::trace::TRACEPARENT;

/// Header with the time for which the caller waits, in milliseconds.
const DEADLINE_MS_HEADER: &str = "Plantainlever-Deadline-Ms";

/// Headers of a caller that are passed on to a target, in lower case.
const PASSED_ON_HEADERS: &[&str] = &["accept", "content-type", "idempotency-key"];

/// Answers requests to one resource below `/v1`.
pub type Handler = fn(&Context, &ApiRequest) -> ApiResponse;

/// The handlers of the resources below `/v1`, by their first path segment.
#[derive(Clone, Debug, Default)]
pub struct ApiRoutes {
    routes: Vec<(&'static str, Handler)>,
}

impl ApiRoutes {
    /// Adds a resource. If a segment is added twice, its first handler is used.
    #[must_use]
    pub fn with(mut self, segment: &'static str, handler: Handler) -> Self {
        self.routes.push((segment, handler));
        self
    }

    fn find(&self, segment: &str) -> Option<Handler> {
        self.routes.iter().find(|(name, _)| *name == segment).map(|(_, handler)| *handler)
    }
}

/// Answers all requests of the HTTP interface.
#[derive(Debug)]
pub(super) struct Routes {
    cx: Context,
    dispatcher: Dispatcher,
    keys: IdempotencyKeys,
    api: ApiRoutes,
    ready: AtomicBool,
}

impl Routes {
    pub(super) fn new(
        cx: Context,
        dispatcher: Dispatcher,
        keys: IdempotencyKeys,
        api: ApiRoutes,
    ) -> Self {
        Self { cx, dispatcher, keys, api, ready: AtomicBool::new(false) }
    }

    pub(super) fn answer(&self, req: &IncomingRequest) -> FrontAnswer {
        let headers = req.headers();
        let body = match req.body() {
            Ok(body) => body,
            Err(error) => return FrontAnswer::error(&self.body_error(error), Outcome::NotRun),
        };
        let (path, query) = req.url().split_once('?').unwrap_or((req.url(), ""));
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = req.method();
        match segments.as_slice() {
            ["healthz"] => status_answer(200, "alive"),
            ["readyz"] if self.cx.stop.is_draining() => status_answer(503, "stopping"),
            ["readyz"] if !self.is_ready() => status_answer(503, "starting"),
            ["readyz"] => status_answer(200, "ready"),
            ["v1", "services", service, rest @ ..] => {
                let mut target_path = format!("/{}", rest.join("/"));
                if !query.is_empty() {
                    target_path = format!("{target_path}?{query}");
                }
                let call = ServiceCall { service, method, path: target_path, headers, body };
                self.call_service(call)
                    .unwrap_or_else(|error| FrontAnswer::error(&error, Outcome::NotRun))
            }
            ["v1", resource, ..] => match self.api.find(resource) {
                Some(handler) => {
                    let request = ApiRequest {
                        method: &method,
                        segments: segments[1..].to_vec(),
                        query,
                        headers: &headers,
                        body: &body,
                    };
                    let response = handler(&self.cx, &request);
                    let outcome = api_outcome(response.status);
                    FrontAnswer::json(&response, outcome)
                }
                None => FrontAnswer::error(&unknown_route(path), Outcome::NotRun),
            },
            _ => FrontAnswer::error(&unknown_route(path), Outcome::NotRun),
        }
    }

    /// True once the process has read the catalogue and has a share of the slots. Stays true afterwards, because a
    /// short pause of all processes would otherwise leave the load balancer without any.
    fn is_ready(&self) -> bool {
        if self.ready.load(Ordering::SeqCst) {
            return true;
        }
        let cache = self.cx.catalogue.snapshot();
        let ready = cache.confirmed_at().is_some() && self.dispatcher.has_share();
        self.ready.fetch_or(ready, Ordering::SeqCst);
        ready
    }

    fn call_service(&self, call: ServiceCall<'_>) -> Result<FrontAnswer, ApiError> {
        let cache = self.cx.catalogue.snapshot();
        let Some(Document::Entry(entry)) = cache.document(call.service) else {
            let is_fresh = cache.is_fresh(self.cx.clock.now(), self.cx.cfg.timing.freshness());
            return Err(if is_fresh {
                unknown_service(call.service)
            } else {
                unconfirmed_catalogue(call.service)
            });
        };
        let deadline =
            self.cx.clock.now() + self.parse_deadline(header(&call.headers, DEADLINE_MS_HEADER))?;
        let key = keyed_request(&call, deadline)?;
        let span = Span::start("front", header(&call.headers, TRACEPARENT));
        let idempotent = entry.idempotent.unwrap_or_else(|| is_idempotent(&call.method));
        let passed_on =
            |name: &str| PASSED_ON_HEADERS.contains(&name.to_ascii_lowercase().as_str());
        let req = ServiceRequest {
            id: format!("{:016x}", rand::random::<u64>()),
            service: call.service.to_owned(),
            method: call.method,
            path: call.path,
            headers: call.headers.into_iter().filter(|(name, _)| passed_on(name)).collect(),
            body: call.body,
            deadline,
            idempotent,
        };
        let answered = self.dispatch_keyed(key.as_ref(), &req, &span);
        let traceparent = (TRACEPARENT.to_owned(), span.traceparent());
        span.close();
        let mut answer = answered?;
        answer.headers.push(traceparent);
        Ok(answer)
    }

    fn dispatch_keyed(
        &self,
        key: Option<&KeyedRequest>,
        req: &ServiceRequest,
        span: &Span,
    ) -> Result<FrontAnswer, ApiError> {
        let Some(key) = key else { return Ok(to_answer(self.dispatcher.dispatch(req, span))) };
        match self.keys.claim(key) {
            KeyClaim::Fresh | KeyClaim::Unprotected => {}
            refusal => return refused_key_answer(refusal),
        }
        let dispatched = self.dispatcher.dispatch(req, span);
        match &dispatched {
            DispatchOutcome::Completed(answer) => {
                let TargetAnswer { status, headers, body } = answer.clone();
                self.keys.finish(key, StoredAnswer { status, headers, body });
            }
            DispatchOutcome::NotRun { .. } => self.keys.release(key),
            // The record stays, so that no retry runs while this attempt may still run.
            DispatchOutcome::Unknown { .. } => {}
        }
        Ok(to_answer(dispatched))
    }

    /// Time until the deadline: from the caller's header, or the default without one.
    fn parse_deadline(&self, header: Option<&str>) -> Result<Duration, ApiError> {
        let timing = &self.cx.cfg.timing;
        let Some(text) = header else { return Ok(timing.default_deadline()) };
        let longest = timing.max_deadline();
        match text.trim().parse::<u64>().map(Duration::from_millis) {
            Ok(deadline) if !deadline.is_zero() && deadline <= longest => Ok(deadline),
            _ => Err(ApiError::new(
                400,
                "malformed-header",
                format!("{DEADLINE_MS_HEADER} is {text:?}"),
                format!("send a number of milliseconds from 1 to {}", longest.as_millis()),
            )),
        }
    }

    fn body_error(&self, error: BodyError) -> ApiError {
        let limit = self.cx.cfg.limits.max_body_bytes;
        match error {
            BodyError::TooLarge => ApiError::new(
                413,
                "body-too-large",
                format!("the body is longer than {limit} bytes"),
                "send less, or ask the operators to raise limits.max_body_bytes",
            ),
            BodyError::TooSlow => ApiError::new(
                408,
                "body-too-slow",
                "the body did not arrive in time",
                "send the body without pauses",
            ),
            BodyError::Broken => ApiError::new(
                400,
                "body-broken",
                "the body ended early or is not encoded as announced",
                "check Content-Length and Transfer-Encoding",
            ),
            BodyError::Exhausted => super::busy(),
        }
    }
}

/// A request to a service, as the caller sent it.
struct ServiceCall<'a> {
    service: &'a str,
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// Parses the idempotency key of a request. `None` if the request has no key.
fn keyed_request(
    call: &ServiceCall<'_>,
    deadline: Instant,
) -> Result<Option<KeyedRequest>, ApiError> {
    let malformed = |header: &str, found: &str, hint: String| {
        ApiError::new(400, "malformed-header", format!("{header} is {found:?}"), hint)
    };
    let attempt = match header(&call.headers, ATTEMPT_HEADER) {
        None => None,
        Some(text) => match text.trim().parse::<u32>() {
            Ok(attempt) if attempt > 0 => Some(attempt),
            _ => return Err(malformed(ATTEMPT_HEADER, text, "send a number from 1".to_owned())),
        },
    };
    let Some(key) = header(&call.headers, IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    key::check(key).map_err(|error| malformed(IDEMPOTENCY_KEY_HEADER, key, error.to_string()))?;
    Ok(Some(KeyedRequest {
        service: call.service.to_owned(),
        key: key.to_owned(),
        digest: key::digest(&call.method, &call.path, &call.body),
        attempt,
        deadline,
    }))
}

/// Answers a request that must not be dispatched because of its key.
fn refused_key_answer(claim: KeyClaim) -> Result<FrontAnswer, ApiError> {
    let answer = |status, code, message: &str, hint: &str, outcome| {
        Ok(FrontAnswer::error(&ApiError::new(status, code, message, hint), outcome))
    };
    match claim {
        KeyClaim::Finished(Some(stored)) => Ok(FrontAnswer {
            status: stored.status,
            outcome: Outcome::Completed,
            headers: stored.headers,
            body: stored.body,
        }),
        KeyClaim::Finished(None) => answer(
            409,
            "key-finished",
            "the request with this key has been answered, and its answer is no longer kept",
            "check whether the request took effect",
            Outcome::Completed,
        ),
        KeyClaim::Mismatch => Err(ApiError::new(
            422,
            "key-mismatch",
            "the key was already used with another method, path or body",
            "use a new key for each new request",
        )),
        KeyClaim::Unavailable => answer(
            503,
            "key-unavailable",
            "the key could not be claimed at enough entry processes",
            "repeat the request with its key",
            Outcome::Unknown,
        ),
        KeyClaim::InProgress | KeyClaim::Fresh | KeyClaim::Unprotected => answer(
            409,
            "key-in-progress",
            "another attempt with this key is in progress or has ended without an answer",
            "repeat the request with its key, or check whether it took effect",
            Outcome::Unknown,
        ),
    }
}

fn to_answer(dispatched: DispatchOutcome) -> FrontAnswer {
    match dispatched {
        DispatchOutcome::Completed(answer) => FrontAnswer {
            status: answer.status,
            outcome: Outcome::Completed,
            headers: answer.headers,
            body: answer.body,
        },
        DispatchOutcome::NotRun { cause } => {
            let error = ApiError::new(503, "not-run", cause, "the request can be sent again");
            FrontAnswer::error(&error, Outcome::NotRun)
        }
        DispatchOutcome::Unknown { cause } => {
            let hint =
                "check whether the request took effect, or repeat it with its Idempotency-Key";
            FrontAnswer::error(&ApiError::new(504, "unknown", cause, hint), Outcome::Unknown)
        }
    }
}

/// Outcome of a request to an API handler. After a 5xx, an edit may still have taken effect.
fn api_outcome(status: u16) -> Outcome {
    match status {
        ..400 => Outcome::Completed,
        400..500 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

fn status_answer(status: u16, text: &str) -> FrontAnswer {
    let response = ApiResponse::json(status, &serde_json::json!({ "status": text }));
    FrontAnswer::json(&response, Outcome::Completed)
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
}

fn unknown_route(path: &str) -> ApiError {
    ApiError::new(
        404,
        "unknown-route",
        format!("unknown path {path:?}"),
        "see docs/design.md for the paths",
    )
}

/// The service may have been added since the catalogue was last read.
fn unconfirmed_catalogue(service: &str) -> ApiError {
    ApiError::new(
        503,
        "catalogue-unconfirmed",
        format!("the catalogue has no entry {service:?}, but it could not be read lately"),
        "send the request again",
    )
}

fn unknown_service(service: &str) -> ApiError {
    ApiError::new(
        404,
        "unknown-service",
        format!("the catalogue has no entry {service:?}"),
        "list the entries with `plantainlever catalogue list`",
    )
}
