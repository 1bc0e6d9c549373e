//! Events of the platform's services: numbers 200 to 299.

use log::Level;

use super::Event;

/// The table service cannot be reached or does not answer.
pub const TABLE_UNAVAILABLE: Event = Event::new(200, Level::Warn, "table-unavailable");
/// The table service answers again.
pub const TABLE_AVAILABLE: Event = Event::new(201, Level::Info, "table-available");

/// The VM list cannot be read; the last list remains in use.
pub const VM_LIST_UNAVAILABLE: Event = Event::new(202, Level::Warn, "vm-list-unavailable");
/// The VM list can be read again.
pub const VM_LIST_AVAILABLE: Event = Event::new(203, Level::Info, "vm-list-available");
/// The member row, which holds this process's addresses, was written to the table.
pub const MEMBER_ROW_WRITTEN: Event = Event::new(204, Level::Info, "member-row-written");
/// The member row could not be written. The write is retried, unless the row could not be encoded.
pub const MEMBER_ROW_FAILED: Event = Event::new(205, Level::Warn, "member-row-failed");
/// The member row could not be deleted at the planned stop.
pub const MEMBER_ROW_KEPT: Event = Event::new(206, Level::Warn, "member-row-kept");
/// The outcome of a write was still in doubt at its deadline.
pub const COMMIT_UNKNOWN: Event = Event::new(207, Level::Error, "commit-unknown");
/// Calls to the table service are relayed through a peer from now on.
pub const RELAY_STARTED: Event = Event::new(208, Level::Warn, "relay-started");
/// Calls to the table service are sent directly again.
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
