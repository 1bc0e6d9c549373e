//! Events of the platform's services: numbers 200 to 299.

use log::Level;

use super::Event;

/// The table service cannot be reached or gives no answer.
pub const TABLE_UNAVAILABLE: Event = Event::new(200, Level::Warn, "table-unavailable");
/// The table service answers again.
pub const TABLE_AVAILABLE: Event = Event::new(201, Level::Info, "table-available");

/// All events of this module.
pub const ALL: &[Event] = &[TABLE_UNAVAILABLE, TABLE_AVAILABLE];
