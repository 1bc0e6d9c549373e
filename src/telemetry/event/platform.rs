//! Events of the platform's services: numbers 200 to 299.

use log::Level;

use super::Event;

/// The table service cannot be reached or gives no answer.
pub const TABLE_UNAVAILABLE: Event = Event::new(200, Level::Warn, "table-unavailable");
/// The table service answers again.
pub const TABLE_AVAILABLE: Event = Event::new(201, Level::Info, "table-available");

/// The VM list cannot be read; the last list stays in use.
pub const VM_LIST_UNAVAILABLE: Event = Event::new(202, Level::Warn, "vm-list-unavailable");
/// The VM list can be read again.
pub const VM_LIST_AVAILABLE: Event = Event::new(203, Level::Info, "vm-list-available");
/// The row with this process's addresses is in the table.
pub const MEMBER_ROW_WRITTEN: Event = Event::new(204, Level::Info, "member-row-written");
/// The row with this process's addresses could not be written yet.
pub const MEMBER_ROW_FAILED: Event = Event::new(205, Level::Warn, "member-row-failed");
/// The row with this process's addresses could not be deleted at the planned stop.
pub const MEMBER_ROW_KEPT: Event = Event::new(206, Level::Warn, "member-row-kept");
/// A write's outcome could not be learned before its deadline.
pub const COMMIT_UNKNOWN: Event = Event::new(207, Level::Error, "commit-unknown");
/// The table service is now called through a peer.
pub const RELAY_STARTED: Event = Event::new(208, Level::Warn, "relay-started");
/// The table service is called directly again.
pub const RELAY_ENDED: Event = Event::new(209, Level::Info, "relay-ended");

/// All events of this module.
pub const ALL: &[Event] = &[
    TABLE_UNAVAILABLE,
    TABLE_AVAILABLE,
    VM_LIST_UNAVAILABLE,
    VM_LIST_AVAILABLE,
    MEMBER_ROW_WRITTEN,
    MEMBER_ROW_FAILED,
    MEMBER_ROW_KEPT,
    COMMIT_UNKNOWN,
    RELAY_STARTED,
    RELAY_ENDED,
];
