//! Which requests a stopping router accepts, by how long requests of their routes take.

use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::durations::DurationEstimate;
use crate::stop::{Arrival, StopPlan};
use crate::verdict::Refusal;

impl Fleet {
    /// Admits a request at a stopping router if it is expected to end before the process exits, or
    /// refuses it.
    ///
    /// `since_stop` is the time since the stop began, `remaining` the time left until the request's
    /// deadline, and `max_retry_after` the longest retry-after time that leaves the caller enough
    /// time for the retry to be answered.
    pub fn admit_while_stopping(
        &mut self,
        plan: &StopPlan,
        since_stop: Duration,
        route: &Arc<str>,
        remaining: Duration,
        max_retry_after: Duration,
    ) -> Result<(), Refusal> {
        let duration_estimate = self.durations.duration_estimate(route);
        let has_serving_peers = self.membership.are_most_peers_listed();
        let arrival = Arrival { remaining, duration_estimate, max_retry_after, has_serving_peers };
        plan.admit(since_stop, &arrival, &mut self.random)
    }

    /// Returns the estimate of how long a request of a route takes; `None` while none has ended.
    pub fn duration_estimate(&self, route: &Arc<str>) -> Option<DurationEstimate> {
        self.durations.duration_estimate(route)
    }

    /// Records the time from the arrival of a request to the end of its answer.
    pub fn on_answered(&mut self, route: &Arc<str>, elapsed: Duration) {
        self.durations.observe(route, elapsed);
    }
}
