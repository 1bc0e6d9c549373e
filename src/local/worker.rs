//! Worker that runs tasks as timers.
