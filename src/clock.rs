//! Time as an interface.
//!
//! Rules about leases and deadlines are only testable when the test decides what time it is, so every component takes
//! a [`Clock`] instead of calling the system's clock. Durations are measured with the monotonic reading; the wall
//! reading is for display and for rows that people read.

use std::fmt::Debug;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall-clock time.
pub trait Clock: Debug + Send + Sync {
    /// Monotonic time. It goes on while the process is stopped by a signal.
    fn now(&self) -> Instant;

    /// Time since an arbitrary origin that also counts while the VM is suspended. Leases and permissions use it, because
    /// `now` stands still in a suspension while the other side's time goes on.
    fn boot(&self) -> Duration;

    /// Milliseconds since the Unix epoch, for display only.
    fn unix_ms(&self) -> u64;

    /// Blocks for `duration` of this clock's time.
    fn sleep(&self, duration: Duration);
}

/// The operating system's clock.
#[derive(Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn boot(&self) -> Duration {
        match nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            // Linux has this clock since 2.6.39. Without it no lease can be kept safely.
            Err(e) => unreachable!("CLOCK_BOOTTIME cannot be read: {e}"),
        }
    }

    fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }

    fn sleep(&self, duration: Duration) {
        std::thread::sleep(duration);
    }
}

/// A clock that only moves when told to. Used by tests and by benches whose figures must repeat.
#[derive(Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed_us: AtomicU64,
    /// Serializes `advance` so that two callers cannot lose one step.
    advance_lock: Mutex<()>,
}

impl ManualClock {
    /// Creates a clock that stands at an arbitrary origin.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: Instant::now(), elapsed_us: AtomicU64::new(0), advance_lock: Mutex::new(()) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        let _guard = self.advance_lock.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let step_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let elapsed_us = self.elapsed_us.load(Ordering::SeqCst);
        self.elapsed_us.store(elapsed_us.saturating_add(step_us), Ordering::SeqCst);
    }

    /// Time since the clock was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::SeqCst))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn boot(&self) -> Duration {
        self.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        self.elapsed_us.load(Ordering::SeqCst) / 1000
    }

    /// Advances the clock: a component that waits must not block a test with one thread.
    fn sleep(&self, duration: Duration) {
        self.advance(duration);
    }
}
