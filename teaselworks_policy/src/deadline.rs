//! Deadlines of requests, and the detection of late callers by their timeouts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Route, Routes};

/// Weight of a timeout above the baseline in the moving baseline of a route. The baseline rises
/// slowly while no shorter timeout arrives.
const RISE_WEIGHT: f64 = 0.002;
/// Share of the baseline below which a timeout means that its caller has already spent part of its
/// time waiting.
const LATE_THRESHOLD: f64 = 0.97;
/// Largest share of the time left that an upstream's deadline is shortened by.
const MAX_MARGIN_SHARE: u32 = 4;

/// Baseline of the timeouts that callers of each route send: the shortest timeout that is usual for
/// a first attempt.
///
/// A caller sends the time it has left, and callers differ in how long they wait in total. A
/// timeout that is clearly shorter than those of first attempts on the route is taken to belong to
/// a late caller: one that was refused before and is retrying.
#[derive(Debug, Default)]
pub struct DeadlineBaselines {
    by_route: HashMap<Arc<str>, Duration>,
}

impl DeadlineBaselines {
    /// Records a caller's timeout. Must only be called with the timeout of a first attempt, not
    /// with that of a caller that may have been refused before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route};
    /// use teaselworks_policy::deadline::DeadlineBaselines;
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// let mut deadlines = DeadlineBaselines::default();
    /// deadlines.observe(&route, Duration::from_secs(3));
    /// assert!(!deadlines.is_late(&route, Duration::from_secs(3)));
    /// assert!(deadlines.is_late(&route, Duration::from_secs(2)));
    /// ```
    pub fn observe(&mut self, route: &Route, caller_timeout: Duration) {
        let Some(baseline) = self.by_route.get_mut(&route.name) else {
            self.by_route.insert(route.name.clone(), caller_timeout);
            return;
        };
        let rise = caller_timeout.saturating_sub(*baseline).mul_f64(RISE_WEIGHT);
        *baseline = caller_timeout.min(*baseline + rise);
    }

    /// Returns whether the caller is late: its timeout is so much shorter than the baseline that it
    /// was probably refused before and is retrying.
    pub fn is_late(&self, route: &Route, caller_timeout: Duration) -> bool {
        let baseline = self.by_route.get(&route.name);
        baseline.is_some_and(|baseline| caller_timeout < baseline.mul_f64(LATE_THRESHOLD))
    }

    /// Drops the baselines of routes that are not in `routes`.
    pub fn retain(&mut self, routes: &Routes) {
        self.by_route.retain(|name, _| routes.contains_route(name));
    }
}

/// Clock readings at which a request arrived and must end, and the time for which its caller waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deadline {
    arrived: Duration,
    caller_timeout: Duration,
    end: Duration,
}

impl Deadline {
    /// Creates the deadline of a request that arrived at the clock reading `arrived`.
    ///
    /// The request ends after `caller_timeout`, the time that the caller states, or after
    /// `timeout`, the timeout of the route, whichever is shorter. A caller that states no time is
    /// assumed to wait for the timeout of the route.
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
    pub fn new(arrived: Duration, caller_timeout: Option<Duration>, timeout: Duration) -> Self {
        let caller_timeout = caller_timeout.unwrap_or(timeout);
        Self { arrived, caller_timeout, end: arrived + caller_timeout.min(timeout) }
    }

    /// Returns the clock reading at which the request ends.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Returns the time left until the request ends.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.end.saturating_sub(now)
    }

    /// Returns the time left to state to an upstream, whose word takes at most `reply_margin` to
    /// arrive here.
    ///
    /// An upstream rejects a request whose time has passed in its queue. The rejection would arrive
    /// too late if the upstream had all of the time left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::deadline::Deadline;
    ///
    /// let ms = Duration::from_millis;
    /// let deadline = Deadline::new(ms(0), None, ms(1_000));
    /// assert_eq!(deadline.remaining_upstream(ms(0), ms(20)), ms(980));
    /// assert_eq!(deadline.remaining_upstream(ms(960), ms(20)), ms(30));
    /// ```
    pub fn remaining_upstream(&self, now: Duration, reply_margin: Duration) -> Duration {
        let remaining = self.remaining(now);
        remaining - reply_margin.min(remaining / MAX_MARGIN_SHARE)
    }

    /// Returns the clock reading at which the request arrived.
    pub fn arrived(&self) -> Duration {
        self.arrived
    }

    /// Returns the longest retry-after time that leaves a caller that is refused now enough time
    /// for the retry to be answered.
    ///
    /// That is a third of the time that the caller has left: the retry itself needs the rest.
    pub fn max_retry_after(&self, now: Duration) -> Duration {
        (self.arrived + self.caller_timeout).saturating_sub(now) / 3
    }
}
