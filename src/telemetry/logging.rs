//! Log lines on standard error.
//!
//! Entry VMs have no disks, so nothing is written to files; the VM's log collector keeps the lines.

use std::fmt;

use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, LevelPadding, WriteLogger};
use thiserror::Error;

use crate::config::LogSettings;

/// Why logging could not be started.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The level is unknown. Settings that have passed the checks never contain such a level.
    #[error("log.level {found:?} is not error, warn, info or debug")]
    UnknownLevel {
        /// The level found.
        found: String,
    },
    /// A logger is already installed in this process.
    #[error("a logger is already installed in this process")]
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

/// Returns the format of all lines: UTC time, level and the event's text.
pub(super) fn format() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_time_level(LevelFilter::Error)
        .set_level_padding(LevelPadding::Right)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        // Lines of libraries are filtered out, because they have no event numbers.
        .add_filter_allow_str("plantainlever")
        .build()
}

/// A value of a log line, printed in quotes if it is empty or contains a space, a quote, `=` or a line break.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = !self.0.is_empty() && !self.0.contains([' ', '"', '=', '\n']);
        if plain { f.write_str(self.0) } else { write!(f, "{:?}", self.0) }
    }
}
