//! Log lines on standard error.
//!
//! Entry VMs have no disks, so nothing is written to files; what collects the process's output keeps the lines.

use std::fmt;

use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, LevelPadding, WriteLogger};
use thiserror::Error;

use crate::config::LogSettings;

/// Why no lines can be logged.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The level is not known. A checked settings file never has such a level.
    #[error("log.level {found:?} is not error, warn, info or debug")]
    UnknownLevel {
        /// The level found.
        found: String,
    },
    /// Something else in the process logs already.
    #[error("the process logs already; start logging once")]
    AlreadyStarted,
}

/// Starts logging to standard error, with UTC time.
///
/// # Errors
///
/// Any [`LoggingError`].
pub fn start(cfg: &LogSettings) -> Result<(), LoggingError> {
    let unknown = |_: log::ParseLevelError| LoggingError::UnknownLevel { found: cfg.level.clone() };
    let level: LevelFilter = cfg.level.parse().map_err(unknown)?;
    WriteLogger::init(level, format(), std::io::stderr()).map_err(|_| LoggingError::AlreadyStarted)
}

/// Format of all lines: UTC time, level, and the event's text.
pub(super) fn format() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_time_level(LevelFilter::Error)
        .set_level_padding(LevelPadding::Right)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        // The libraries' own lines have no event numbers.
        .add_filter_allow_str("plantainlever")
        .build()
}

/// A value of a log line, quoted if it contains a space or a quote.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = !self.0.is_empty() && !self.0.contains([' ', '"', '=', '\n']);
        if plain { f.write_str(self.0) } else { write!(f, "{:?}", self.0) }
    }
}
