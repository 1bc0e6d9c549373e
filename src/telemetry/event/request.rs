//! Events of the request path: numbers 300 to 399.

use log::Level;

use super::Event;

/// A response arrived after the request's deadline and was dropped.
pub const LATE_ANSWER: Event = Event::new(300, Level::Info, "late-answer");

/// A request was refused because too many requests wait for a front thread.
pub const FRONT_FULL: Event = Event::new(301, Level::Warn, "front-full");
/// A connection could not be accepted; the server continues with the next one.
pub const ACCEPT_FAILED: Event = Event::new(302, Level::Error, "accept-failed");
// 303 reported that the former HTTP server had not read a request body; the number is not reused.

/// The row of an idempotency key was not updated.
pub const KEY_ROW_SKIPPED: Event = Event::new(304, Level::Warn, "key-row-skipped");

/// Requests were refused, or their bodies dropped, because the memory for requests is claimed. Logged at most once a
/// second.
pub const REQUESTS_REFUSED: Event = Event::new(305, Level::Warn, "requests-refused");
/// All places for connections were taken: connections that waited for their callers were closed, or new ones refused.
/// Logged at most once a second.
pub const CONNECTIONS_CLOSED: Event = Event::new(306, Level::Warn, "connections-closed");

/// All events of this module.
pub const ALL: &[Event] = &[
    LATE_ANSWER,
    FRONT_FULL,
    ACCEPT_FAILED,
    KEY_ROW_SKIPPED,
    REQUESTS_REFUSED,
    CONNECTIONS_CLOSED,
];
