//! Slot time that a request is expected to take of a replica.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::Routes;
use crate::placement::Prompt;

/// Target latency that is assumed of a route without one.
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_millis(300);
/// Part of the target latency that is estimated for a route without observations. A service whose
/// requests took the whole of it would have no time for queues; the whole refused callers of idle
/// services of just started routers.
const UNKNOWN_FACTOR: f64 = 0.25;
/// Shortest estimate that an error is measured against, so that the ratio is finite.
const MIN_ESTIMATE: Duration = Duration::from_micros(1);
/// Bounds on the estimate as multiples of the route's mean slot time. They hold whatever the headers
/// of a request say.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Part of the mean slot time that every request takes, whatever its size.
const FIXED_FACTOR: f64 = 0.3;
/// Part of the mean slot time that is proportional to the size of a request.
const SIZE_FACTOR: f64 = 0.7;
/// Size at which the estimate reaches its upper bound. A larger size counts as this one in the mean,
/// so that a wrong header changes the estimates of other requests only a little.
const MAX_SIZE: f64 = (FACTOR_BOUNDS.1 - FIXED_FACTOR) / SIZE_FACTOR;
/// Slot time of an output token as a multiple of that of a prompt token. Engines process the tokens
/// of a prompt together, and generate those of the answer one by one.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
/// Weight of the latest observation in the moving means. The means of the first observations are
/// arithmetic.
const LATEST_WEIGHT: f64 = 0.05;
/// Number of first observations in which the mean work falls at once to [`MAX_SIZE`] times that of a
/// request. Otherwise a wrong header of the first request, to which no mean sets a limit, would
/// distort the estimates of hundreds of requests.
const SETTLING_OBSERVATIONS: u32 = 10;

/// What one request is expected to take of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Time for which the request holds a slot.
    pub slot_time: Duration,
}

/// Estimates the slot time of requests from the recent ones of their route.
///
/// The estimate is the route's mean slot time times `0.3 + 0.7 x size`, and between a quarter and
/// four times the mean. The size of a request is its work divided by the route's mean work, and the
/// work is the number of prompt tokens plus ten times the expected number of output tokens. A
/// request without a prompt is estimated by the mean.
#[derive(Debug, Default)]
pub struct DemandEstimator {
    by_route: HashMap<Arc<str>, RouteDemand>,
}

/// Means of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteDemand {
    /// Estimate while there are no observations; zero if the route has no target latency.
    target_latency: Duration,
    mean_slot_time_s: f64,
    slot_time_count: u32,
    /// Mean work of the requests with a prompt, in prompt tokens.
    mean_work_tokens: f64,
    work_count: u32,
}

impl DemandEstimator {
    /// Returns the estimate for a request of a route. While no request of the route was observed,
    /// that is a quarter of the target latency of the route.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route, Routes};
    /// use teaselworks_policy::demand::DemandEstimator;
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// let mut estimator = DemandEstimator::default();
    /// estimator.retain(&Routes::new([route.clone()]));
    /// assert_eq!(estimator.estimate(&route.name, None).slot_time, route.target_latency / 4);
    /// ```
    pub fn estimate(&self, route: &Arc<str>, prompt: Option<&Prompt>) -> Demand {
        let demand = self.by_route.get(route).copied().unwrap_or_default();
        Demand { slot_time: demand.slot_time(prompt) }
    }

    /// Records the slot time that an answered request of a route took. Returns the ratio of this
    /// time to the estimate before the observation.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use teaselworks_policy::demand::DemandEstimator;
    /// use teaselworks_policy::placement::Prompt;
    ///
    /// let route: Arc<str> = "route".into();
    /// let prompt = Prompt { input_tokens: 1_000, output_tokens: 100, ..Prompt::default() };
    /// let mut estimator = DemandEstimator::default();
    /// estimator.observe(&route, Some(&prompt), Duration::from_secs(1));
    /// let ratio = estimator.observe(&route, Some(&prompt), Duration::from_secs(2));
    /// assert_eq!(ratio, 2.0);
    ///
    /// // Work of 1,000 + 10 x 20 tokens instead of 2,000: a size of 0.6.
    /// let short = Prompt { output_hint: Some(20), ..prompt };
    /// let estimate = estimator.estimate(&route, Some(&short));
    /// assert_eq!(estimate.slot_time, Duration::from_millis(1_500).mul_f64(0.3 + 0.7 * 0.6));
    /// ```
    pub fn observe(
        &mut self,
        route: &Arc<str>,
        prompt: Option<&Prompt>,
        slot_time: Duration,
    ) -> f64 {
        let demand = self.by_route.entry(route.clone()).or_default();
        let estimate = demand.slot_time(prompt).max(MIN_ESTIMATE);
        demand.observe_slot_time(slot_time);
        if let Some(prompt) = prompt {
            demand.observe_work(work_tokens(prompt));
        }
        slot_time.as_secs_f64() / estimate.as_secs_f64()
    }

    /// Drops the means of routes that are not in `routes`, and takes over the target latencies of
    /// those that are.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::configuration::{Kind, Route, Routes};
    /// use teaselworks_policy::demand::DemandEstimator;
    ///
    /// let route = Route::example(Kind::Stream, "/a/");
    /// let mut estimator = DemandEstimator::default();
    /// estimator.observe(&route.name, None, Duration::from_secs(2));
    /// estimator.retain(&Routes::new([route.clone()]));
    /// assert_eq!(estimator.estimate(&route.name, None).slot_time, Duration::from_secs(2));
    /// ```
    pub fn retain(&mut self, routes: &Routes) {
        self.by_route.retain(|name, _| routes.contains_route(name));
        for route in routes.iter() {
            let demand = self.by_route.entry(route.name.clone()).or_default();
            demand.target_latency = route.target_latency;
        }
    }
}

impl RouteDemand {
    /// Returns the estimate of a request's slot time.
    fn slot_time(&self, prompt: Option<&Prompt>) -> Duration {
        if self.slot_time_count == 0 {
            let has_target = !self.target_latency.is_zero();
            let target = if has_target { self.target_latency } else { DEFAULT_TARGET_LATENCY };
            return target.mul_f64(UNKNOWN_FACTOR);
        }
        let size = match prompt {
            Some(prompt) if self.work_count > 0 => work_tokens(prompt) / self.mean_work_tokens,
            _ => 1.0,
        };
        let (min, max) = FACTOR_BOUNDS;
        let factor = (FIXED_FACTOR + SIZE_FACTOR * size).clamp(min, max);
        Duration::try_from_secs_f64(self.mean_slot_time_s * factor).unwrap_or(Duration::MAX)
    }

    fn observe_slot_time(&mut self, slot_time: Duration) {
        self.slot_time_count = self.slot_time_count.saturating_add(1);
        let weight = latest_weight(self.slot_time_count);
        self.mean_slot_time_s += weight * (slot_time.as_secs_f64() - self.mean_slot_time_s);
    }

    fn observe_work(&mut self, work_tokens: f64) {
        let is_first = self.work_count == 0;
        self.work_count = self.work_count.saturating_add(1);
        if is_first {
            self.mean_work_tokens = work_tokens;
            return;
        }
        if self.work_count <= SETTLING_OBSERVATIONS {
            self.mean_work_tokens = self.mean_work_tokens.min(MAX_SIZE * work_tokens);
        }
        let counted = work_tokens.min(MAX_SIZE * self.mean_work_tokens);
        self.mean_work_tokens += latest_weight(self.work_count) * (counted - self.mean_work_tokens);
    }
}

/// Returns the weight of the latest of `count` observations in a moving mean.
fn latest_weight(count: u32) -> f64 {
    LATEST_WEIGHT.max(1.0 / f64::from(count))
}

/// Returns the work that a prompt is expected to take, in prompt tokens; at least one.
fn work_tokens(prompt: &Prompt) -> f64 {
    let max_output = prompt.output_tokens;
    let output = prompt.output_hint.map_or(max_output, |hint| hint.min(max_output));
    (f64::from(prompt.input_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(output)).max(1.0)
}
