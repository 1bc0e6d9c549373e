//! Clocks behind a trait.
//!
//! Every component takes a [`Clock`] instead of calling the system's clock, so that tests of leases and deadlines
//! control the time. Leases, timeouts and request deadlines use monotonic readings. The wall clock is for display, for
//! rows that people read, and for the schedules and completion-time objectives of jobs.

use std::fmt::Debug;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall-clock time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the monotonic time. It also advances while the process is stopped by a signal.
    fn now(&self) -> Instant;

    /// Returns the time since an arbitrary origin, including the time for which the VM was suspended. All leases use
    /// it, because `now` does not advance during a suspension, while the clock of the other party does.
    fn boot(&self) -> Duration;

    /// Returns milliseconds since the Unix epoch. Used for display, for timestamps in rows, and for the schedules and
    /// completion-time objectives of jobs.
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
            // Linux has had this clock since 2.6.39. Without it, no lease is safe.
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

/// A clock that advances only when [`ManualClock::advance`] or `sleep` is called. Used by tests and by benchmarks whose
/// results must be reproducible.
#[derive(Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed_us: AtomicU64,
    /// Serializes `advance`, so that no step is lost if two threads call it at once.
    advance_lock: Mutex<()>,
}

impl ManualClock {
    /// Creates a clock whose elapsed time is zero.
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

    /// Returns by how much the clock has advanced since its creation.
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

    /// Advances the clock instead of blocking, so that a component that sleeps does not block a single-threaded test.
    fn sleep(&self, duration: Duration) {
        self.advance(duration);
    }
}
