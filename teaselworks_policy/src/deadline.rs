//! How long a request may still take.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Route, Routes};

/// Weight of a longer deadline in the shortest usual one, which rises while shorter ones stay away.
const LONGER_WEIGHT: f64 = 0.002;
/// Part of the shortest usual deadline below which a caller has waited already.
const RETURNED_SHARE: f64 = 0.97;

/// Shortest time that callers of each route usually wait for an answer.
///
/// Callers state what is left of it, and differ in their patience. Less than any of them states at
/// first is left to one that was refused before and came back: it is late already.
#[derive(Debug, Default)]
pub struct UsualDeadlines {
    routes: HashMap<Arc<str>, Duration>,
}

impl UsualDeadlines {
    /// Takes a caller's deadline while nobody is refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route};
    /// use teaselworks_policy::deadline::UsualDeadlines;
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// let mut deadlines = UsualDeadlines::default();
    /// deadlines.learn(&route, Duration::from_secs(3));
    /// assert!(!deadlines.is_late(&route, Duration::from_secs(3)));
    /// assert!(deadlines.is_late(&route, Duration::from_secs(2)));
    /// ```
    pub fn learn(&mut self, route: &Route, deadline: Duration) {
        let Some(shortest) = self.routes.get_mut(&route.name) else {
            self.routes.insert(route.name.clone(), deadline);
            return;
        };
        let rise = deadline.saturating_sub(*shortest).mul_f64(LONGER_WEIGHT);
        *shortest = deadline.min(*shortest + rise);
    }

    /// Tells whether a caller has waited already, by what is left of its time.
    pub fn is_late(&self, route: &Route, deadline: Duration) -> bool {
        let shortest = self.routes.get(&route.name);
        shortest.is_some_and(|shortest| deadline < shortest.mul_f64(RETURNED_SHARE))
    }

    /// Forgets routes that a configuration does not have.
    pub fn retain(&mut self, routes: &Routes) {
        self.routes.retain(|name, _| routes.contains_route(name));
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
