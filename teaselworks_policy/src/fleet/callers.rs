//! Requests of callers, as they reach this router.

use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::configuration::Route;
use crate::placement::Prompt;
use crate::shares::Class;

/// A request of a caller, as it reaches this router.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Class by which an overloaded service is divided.
    pub class: &'a Class,
    /// Prompt of the request, if its route carries prompts.
    pub prompt: Option<&'a Prompt>,
    /// Time for which the caller says it waits.
    pub timeout: Option<Duration>,
}

impl Fleet {
    /// Counts a request for a service. Returns whether its caller is late: it was probably refused
    /// before and is retrying, because the time for which the caller says it waits is clearly
    /// shorter than usual for the route.
    pub fn on_request(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        request: &CallerRequest<'_>,
    ) -> bool {
        self.budget.on_request(now, service);
        let is_late = self.is_late(now, service, request);
        self.on_offered(now, service, request, is_late);
        is_late
    }

    /// Returns whether the caller was probably refused before and is retrying.
    fn is_late(&mut self, now: Duration, service: &Arc<str>, request: &CallerRequest<'_>) -> bool {
        let Some(caller_timeout) = request.timeout else { return false };
        let route = request.route;
        // A refused caller retries within its timeout. Only if the last refusal was longer ago than
        // this caller's timeout is the request certainly a first attempt, whose timeout counts for
        // the baseline.
        let refused_at = self.pools.get(service).and_then(|pool| pool.schedule.refused_at());
        if refused_at.is_none_or(|refused_at| now.saturating_sub(refused_at) > caller_timeout) {
            self.deadlines.observe(route, caller_timeout);
        }
        self.deadlines.is_late(route, caller_timeout)
    }
}
