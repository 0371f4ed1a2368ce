//! Times at which the event loop returned from waiting for events, and the signals seen between them.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use nix::sys::signal::SigSet;
use signal_hook::flag;
use teaselworks_policy::clock::Clock;

/// The last time at which the event loop returned from waiting for events, and the last one before a
/// signal.
///
/// A process that the system does not run for a while handles signals late, and nothing tells when
/// they were sent. Their handlers run before anything else does, so that a signal was sent after the
/// last time that was recorded before its handler ran. How often the event loop wakes up until it
/// learns of the signal does not matter.
///
/// That holds only if handlers run on the thread of the event loop. Other threads have to call
/// [`block_signals`].
pub struct Wakeups {
    clock: Arc<dyn Clock>,
    /// Set by the handler of a signal that is watched.
    is_signalled: Arc<AtomicBool>,
    times: Mutex<Times>,
}

#[derive(Debug, Default)]
struct Times {
    last: Duration,
    /// The last time before a signal that is watched; `None` before the first wake-up after it.
    before_signal: Option<Duration>,
}

impl Wakeups {
    /// Creates the record of an event loop that has not waited yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, is_signalled: Arc::default(), times: Mutex::default() }
    }

    /// Watches signals from now on. Their default actions no longer apply: the caller has to handle
    /// them.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not let a signal be handled.
    pub fn watch(&self, signals: &[i32]) -> io::Result<()> {
        for signal in signals {
            flag::register(*signal, self.is_signalled.clone())?;
        }
        Ok(())
    }

    /// Records that the event loop returned from waiting for events.
    pub fn record(&self) {
        let now = self.clock.monotonic();
        let is_signalled = self.is_signalled.load(Ordering::SeqCst);
        let mut times = self.lock();
        if is_signalled && times.before_signal.is_none() {
            times.before_signal = Some(times.last);
        }
        times.last = now;
    }

    /// Returns the longest time since the first signal that is watched can have been sent. If there was
    /// none, it is the time since the event loop last waited.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use nix::sys::signal::{Signal, raise};
    /// use teaselworks::kernel::Wakeups;
    /// use teaselworks_policy::clock::ManualClock;
    ///
    /// let clock = Arc::new(ManualClock::default());
    /// let wakeups = Wakeups::new(clock.clone());
    /// wakeups.watch(&[Signal::SIGUSR2 as i32]).unwrap();
    /// wakeups.record();
    /// clock.advance(Duration::from_millis(300));
    /// raise(Signal::SIGUSR2).unwrap();
    /// for _ in 0..3 {
    ///     wakeups.record();
    ///     clock.advance(Duration::from_millis(1));
    /// }
    /// assert_eq!(wakeups.max_signal_delay(), Duration::from_millis(303));
    /// ```
    pub fn max_signal_delay(&self) -> Duration {
        let times = self.lock();
        self.clock.monotonic().saturating_sub(times.before_signal.unwrap_or(times.last))
    }

    fn lock(&self) -> MutexGuard<'_, Times> {
        self.times.lock().expect("wakeup lock is never poisoned")
    }
}

/// Keeps the handlers of signals from running on this thread.
pub fn block_signals() {
    // Fails only for an invalid argument.
    let _ = SigSet::all().thread_block();
}
