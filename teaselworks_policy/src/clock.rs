//! The [`Clock`] trait, the clock of the operating system and a manual clock for tests.
//!
//! Decision functions take a clock reading as an argument and never read a clock themselves.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of time, passed in so that tests can control it.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since an arbitrary fixed start; readings never decrease.
    fn monotonic(&self) -> Duration;

    /// Returns the wall-clock time, which may jump in either direction.
    fn wall(&self) -> SystemTime;
}

/// [`Clock`] that reads the operating system's clocks.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts a clock whose monotonic reading begins at zero.
    ///
    /// ```
    /// use teaselworks_policy::clock::{Clock, SystemClock};
    ///
    /// let clock = SystemClock::new();
    /// assert!(clock.monotonic() <= clock.monotonic());
    /// ```
    #[expect(clippy::disallowed_methods, reason = "this is the clock")]
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn monotonic(&self) -> Duration {
        self.start.elapsed()
    }

    #[expect(clippy::disallowed_methods, reason = "this is the clock")]
    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// [`Clock`] for tests that moves only when [`ManualClock::advance`] is called.
#[derive(Debug, Default)]
pub struct ManualClock {
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::clock::{Clock, ManualClock};
    ///
    /// let clock = ManualClock::default();
    /// clock.advance(Duration::from_secs(2));
    /// assert_eq!(clock.monotonic(), Duration::from_secs(2));
    /// ```
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock is never poisoned") += step;
    }
}

impl Clock for ManualClock {
    fn monotonic(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock is never poisoned")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.monotonic()
    }
}
