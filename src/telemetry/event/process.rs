//! Events of the start, the stop and the settings of a process: numbers 100 to 199.

use log::Level;

use super::Event;

/// The process has started and accepts requests.
pub const STARTED: Event = Event::new(100, Level::Info, "started");
/// A planned stop has begun.
pub const STOPPING: Event = Event::new(101, Level::Info, "stopping");
/// The planned stop is complete and the process exits.
pub const STOPPED: Event = Event::new(102, Level::Info, "stopped");
/// The changed settings file is valid. It takes effect at the next start.
pub const RELOADED: Event = Event::new(103, Level::Info, "reloaded");
/// The changed settings file is not valid; the process keeps its current settings.
pub const RELOAD_FAILED: Event = Event::new(104, Level::Warn, "reload-failed");
/// The VM has too little memory for requests of the largest legal size; such requests are refused.
pub const MEMORY_TOO_SMALL: Event = Event::new(105, Level::Error, "memory-too-small");
/// A sampled span has ended.
pub const SPAN: Event = Event::new(110, Level::Info, "span");

/// All events of this module.
pub const ALL: &[Event] =
    &[STARTED, STOPPING, STOPPED, RELOADED, RELOAD_FAILED, MEMORY_TOO_SMALL, SPAN];
