//! Events of the process's life: numbers 100 to 199.

use log::Level;

use super::Event;

/// The process has started and serves.
pub const STARTED: Event = Event::new(100, Level::Info, "started");
/// A planned stop has begun.
pub const STOPPING: Event = Event::new(101, Level::Info, "stopping");
/// The process ends after a planned stop.
pub const STOPPED: Event = Event::new(102, Level::Info, "stopped");
/// The settings file was read again.
pub const RELOADED: Event = Event::new(103, Level::Info, "reloaded");
/// The settings file was read again and can't be used; the process keeps its settings.
pub const RELOAD_FAILED: Event = Event::new(104, Level::Warn, "reload-failed");
/// A sampled span of a trace has ended.
pub const SPAN: Event = Event::new(110, Level::Info, "span");

/// All events of this module.
pub const ALL: &[Event] = &[STARTED, STOPPING, STOPPED, RELOADED, RELOAD_FAILED, SPAN];
