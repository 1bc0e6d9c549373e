//! SIGTERM and SIGINT, which begin a planned stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Longest time until `wait` notices a signal.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Set by the first SIGTERM or SIGINT. Further signals have no effect, so they don't cut a graceful stop short.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    is_set: Arc<AtomicBool>,
}

impl ShutdownSignal {
    /// Registers the signal handlers.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to register a handler.
    pub fn register() -> Result<Self, std::io::Error> {
        let is_set = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&is_set))?;
        }
        Ok(Self { is_set })
    }

    /// True once a signal has arrived.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    /// Blocks until a signal arrives.
    pub fn wait(&self) {
        while !self.is_requested() {
            std::thread::sleep(POLL_PERIOD);
        }
    }
}
