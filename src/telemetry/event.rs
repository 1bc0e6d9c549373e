//! Numbered log events.
//!
//! Operators search their logs and set their alerts by number, so a number is never given to another event.
//! docs/EVENTS.md lists all of them with cause and action; a test compares the two.

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
    /// Number; unique and never reused.
    pub number: u16,
    /// Level.
    pub level: Level,
    /// Short name.
    pub name: &'static str,
}

impl Event {
    /// Defines an event.
    #[must_use]
    pub const fn new(number: u16, level: Level, name: &'static str) -> Self {
        Self { number, level, name }
    }

    /// Writes a log line.
    pub fn emit(&self, detail: fmt::Arguments<'_>) {
        log::log!(self.level, "P{:04} {}: {detail}", self.number, self.name);
    }
}

/// All events.
#[must_use]
pub fn all() -> Vec<Event> {
    [process::ALL, platform::ALL, request::ALL, schedule::ALL, shard::ALL, peer::ALL].concat()
}
