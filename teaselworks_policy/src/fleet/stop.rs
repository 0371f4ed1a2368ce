//! Which requests a stopping router accepts, by how long requests of their routes take.

use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::configuration::Route;
use crate::durations::{DurationEstimate, SizeClass};
use crate::stop::{Acceptance, Arrival, StopPlan};
use crate::verdict::Refusal;

/// A request that arrives at a stopping router.
#[derive(Clone, Copy, Debug)]
pub struct StoppingRequest<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Size of the request.
    pub size: SizeClass,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Longest retry-after time that leaves the caller enough time for the retry to be answered.
    pub max_retry_after: Duration,
    /// Whether another router forwards the request.
    pub is_forwarded: bool,
}

impl Fleet {
    /// Returns the estimate of how long a request of a route takes; `None` while none has ended.
    pub fn duration_estimate(
        &self,
        now: Duration,
        route: &Arc<str>,
        size: SizeClass,
    ) -> Option<DurationEstimate> {
        self.durations.duration_estimate(now, route, size)
    }

    /// Admits a request at a stopping router if it is expected to end before the process exits, or
    /// refuses it. `since_stop` is the time since the stop began.
    pub fn admit_while_stopping(
        &mut self,
        now: Duration,
        plan: &StopPlan,
        since_stop: Duration,
        request: &StoppingRequest<'_>,
    ) -> Result<Acceptance, Refusal> {
        let route = request.route;
        let arrival = Arrival {
            remaining: request.remaining,
            duration_estimate: self.duration_estimate(now, &route.name, request.size),
            max_retry_after: request.max_retry_after,
            has_serving_peers: self.membership.are_most_peers_listed(),
            is_forwarded: request.is_forwarded,
            is_idempotent: route.is_idempotent(),
            stream_patience: route.stream_patience(),
        };
        plan.admit(since_stop, &arrival, &mut self.random)
    }

    /// Records the time from the arrival of a request to the end of its answer.
    pub fn on_answered(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        size: SizeClass,
        elapsed: Duration,
    ) {
        self.durations.observe(now, route, size, elapsed);
    }
}
