//! Events of the request path: numbers 300 to 399.

use log::Level;

use super::Event;

/// An answer came after its deadline and was dropped.
pub const LATE_ANSWER: Event = Event::new(300, Level::Info, "late-answer");

/// All events of this module.
pub const ALL: &[Event] = &[LATE_ANSWER];
