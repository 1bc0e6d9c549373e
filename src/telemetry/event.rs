//! Numbered log events.
//!
//! Operators search logs and define alerts by number, so a number is never reused for another event.
//! docs/EVENTS.md lists all events with cause and action; a test compares the two.

pub mod peer;
pub mod platform;
pub mod process;
pub mod request;
pub mod schedule;
pub mod shard;

use std::fmt;

use log::Level;

/// A kind of log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// Number, unique and never reused. Printed as `P` and four digits.
    pub number: u16,
    /// Level at which every line of this event is logged.
    pub level: Level,
    /// Short name, unique, printed after the number.
    pub name: &'static str,
}

impl Event {
    /// Creates an event. Only for the constants of the submodules, which [`all`] lists.
    #[must_use]
    pub const fn new(number: u16, level: Level, name: &'static str) -> Self {
        Self { number, level, name }
    }

    /// Logs the event with a detail text.
    pub fn emit(&self, detail: fmt::Arguments<'_>) {
        log::log!(self.level, "P{:04} {}: {detail}", self.number, self.name);
    }
}

/// Returns the events of all submodules.
#[must_use]
pub fn all() -> Vec<Event> {
    [process::ALL, platform::ALL, request::ALL, schedule::ALL, shard::ALL, peer::ALL].concat()
}
