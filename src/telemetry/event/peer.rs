//! Events of peers: numbers 500 to 599.

use log::Level;

use super::Event;

/// A peer of the domain is counted as a member.
pub const MEMBER_JOINED: Event = Event::new(500, Level::Info, "member-joined");
/// A peer of the domain is no longer counted as a member.
pub const MEMBER_LOST: Event = Event::new(501, Level::Warn, "member-lost");

/// This process was paused for longer than `timing.pause_limit_ms`; it uses no slots until its peers have answered
/// again.
pub const PAUSED: Event = Event::new(502, Level::Warn, "paused");
/// The member row of a process that has been lost for a long time was deleted.
pub const MEMBER_ROW_DELETED: Event = Event::new(503, Level::Info, "member-row-deleted");

/// No heartbeat was answered, not even the one to this process's own address; this process uses no slots.
pub const UNANSWERED: Event = Event::new(504, Level::Warn, "unanswered");

/// All events of this module.
pub const ALL: &[Event] = &[MEMBER_JOINED, MEMBER_LOST, PAUSED, MEMBER_ROW_DELETED, UNANSWERED];
