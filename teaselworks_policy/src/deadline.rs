//! How long a request may still take.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Route, Routes};

/// Part of the longest deadline that is left of it with each shorter one.
const LONGEST_KEPT: f64 = 0.999;

/// Longest time that callers of each route wait for an answer.
///
/// Callers state what is left of it: less, where they were refused before and came back.
#[derive(Debug, Default)]
pub struct LongestDeadlines {
    routes: HashMap<Arc<str>, Duration>,
}

impl LongestDeadlines {
    /// Takes a caller's deadline; tells whether the caller has waited for longer than it aims at.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route};
    /// use teaselworks_policy::deadline::LongestDeadlines;
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// let mut deadlines = LongestDeadlines::default();
    /// assert!(!deadlines.is_late(&route, Duration::from_secs(3)));
    /// assert!(deadlines.is_late(&route, Duration::from_secs(2)));
    /// ```
    pub fn is_late(&mut self, route: &Route, deadline: Duration) -> bool {
        let Some(longest) = self.routes.get_mut(&route.name) else {
            self.routes.insert(route.name.clone(), deadline);
            return false;
        };
        *longest = deadline.max(longest.mul_f64(LONGEST_KEPT));
        longest.saturating_sub(deadline) > route.target_latency
    }

    /// Forgets routes that a configuration does not have.
    pub fn retain(&mut self, routes: &Routes) {
        self.routes.retain(|name, _| routes.has(name));
    }
}

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
