//! SIGTERM and SIGINT, which begin a planned stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Longest time until a signal is noticed.
const POLL: Duration = Duration::from_millis(50);

/// Tells whether the process has been asked to stop. Further signals change nothing, so a stop stays graceful.
#[derive(Clone, Debug)]
pub struct StopRequest {
    asked: Arc<AtomicBool>,
}

impl StopRequest {
    /// Takes the signals from now on.
    ///
    /// # Errors
    ///
    /// If the system refuses to register a handler.
    pub fn register() -> Result<Self, std::io::Error> {
        let asked = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&asked))?;
        }
        Ok(Self { asked })
    }

    /// True once a signal has arrived.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        self.asked.load(Ordering::SeqCst)
    }

    /// Blocks until a signal arrives.
    pub fn wait(&self) {
        while !self.is_asked() {
            std::thread::sleep(POLL);
        }
    }
}
