//! Events of peers: numbers 500 to 599.

use log::Level;

use super::Event;

/// A peer of the domain is counted as a member.
pub const MEMBER_JOINED: Event = Event::new(500, Level::Info, "member-joined");
/// A peer of the domain is no longer counted as a member.
pub const MEMBER_LOST: Event = Event::new(501, Level::Warn, "member-lost");

/// All events of this module.
pub const ALL: &[Event] = &[MEMBER_JOINED, MEMBER_LOST];
