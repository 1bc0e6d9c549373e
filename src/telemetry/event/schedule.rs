//! Events of scheduling: numbers 400 to 499.

use log::Level;

use super::Event;

/// This process now schedules its domain.
pub const HOLD_TAKEN: Event = Event::new(400, Level::Info, "hold-taken");
/// This process no longer schedules its domain.
pub const HOLD_LOST: Event = Event::new(401, Level::Warn, "hold-lost");

/// All events of this module.
pub const ALL: &[Event] = &[HOLD_TAKEN, HOLD_LOST];
