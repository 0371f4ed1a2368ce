//! How long a request may still take.

use std::time::Duration;

/// The end of a request's time, and what its caller still waits for after an elapsed time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deadline {
    arrived: Duration,
    caller: Duration,
    end: Duration,
}

impl Deadline {
    /// Makes the deadline of a request that arrived at `arrived`.
    ///
    /// The request ends at the caller's deadline or at the route's timeout, whichever is sooner.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::deadline::Deadline;
    ///
    /// let second = Duration::from_secs(1);
    /// let deadline = Deadline::new(second, Some(4 * second), 2 * second);
    /// assert_eq!(deadline.end(), 3 * second);
    /// assert_eq!(deadline.remaining(2 * second), second);
    /// ```
    pub fn new(arrived: Duration, caller: Option<Duration>, timeout: Duration) -> Self {
        let caller = caller.unwrap_or(timeout);
        Self { arrived, caller, end: arrived + caller.min(timeout) }
    }

    /// Returns the clock reading at which the request ends.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Returns the time left until the request ends.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.end.saturating_sub(now)
    }

    /// Returns the clock reading at which the request arrived.
    pub fn arrived(&self) -> Duration {
        self.arrived
    }

    /// Returns how long after a refusal a caller can still return and be answered in time.
    ///
    /// A third of what the caller has left: it needs the rest for the repeat itself.
    pub fn latest_return(&self, now: Duration) -> Duration {
        (self.arrived + self.caller).saturating_sub(now) / 3
    }
}
