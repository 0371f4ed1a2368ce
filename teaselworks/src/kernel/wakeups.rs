//! Times at which the event loop returned from waiting for events.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::clock::Clock;

/// The last two times at which the event loop returned from waiting for events.
///
/// A process that the system does not run for a while handles signals late, and nothing tells when
/// they were sent: only that the event loop has not seen them before.
pub struct Wakeups {
    clock: Arc<dyn Clock>,
    times: Mutex<Times>,
}

#[derive(Debug, Default)]
struct Times {
    last: Duration,
    before_last: Duration,
}

impl Wakeups {
    /// Creates the record of an event loop that has not waited yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, times: Mutex::default() }
    }

    /// Records that the event loop returned from waiting for events.
    pub fn record(&self) {
        let now = self.clock.monotonic();
        let mut times = self.lock();
        times.before_last = std::mem::replace(&mut times.last, now);
    }

    /// Returns the longest time since an event that is handled now, and was not seen before, can have
    /// occurred.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use teaselworks::kernel::Wakeups;
    /// use teaselworks_policy::clock::ManualClock;
    ///
    /// let clock = Arc::new(ManualClock::default());
    /// let wakeups = Wakeups::new(clock.clone());
    /// for pause_ms in [10, 300] {
    ///     clock.advance(Duration::from_millis(pause_ms));
    ///     wakeups.record();
    /// }
    /// assert_eq!(wakeups.max_event_delay(), Duration::from_millis(300));
    /// ```
    pub fn max_event_delay(&self) -> Duration {
        self.clock.monotonic().saturating_sub(self.lock().before_last)
    }

    fn lock(&self) -> MutexGuard<'_, Times> {
        self.times.lock().expect("wakeup lock is never poisoned")
    }
}
