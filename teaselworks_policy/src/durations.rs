//! Estimates of how long the requests of each route take.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::Routes;

/// Weight of the latest request in the moving averages.
const LATEST_WEIGHT: f64 = 0.1;
/// Most durations are shorter than the mean plus this many mean absolute deviations.
const TYPICAL_DEVIATIONS: f64 = 2.0;
/// Factor by which the longest duration decays with each request that is shorter.
const LONGEST_DECAY: f64 = 0.999;
/// Multiple of the decaying longest duration that is taken as the upper bound for later requests.
const UPPER_BOUND_FACTOR: f64 = 2.0;
/// Requests that must have ended before the longest duration is used: one in a hundred may take far
/// longer than the rest.
const MIN_REQUESTS: u32 = 100;

/// Estimate of how long a request of a route takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DurationEstimate {
    /// Time within which most requests end.
    pub typical: Duration,
    /// Time within which even the longest requests are expected to end; `None` until enough
    /// requests have ended.
    pub upper_bound: Option<Duration>,
}

/// Statistics of one route's request durations.
#[derive(Clone, Copy, Debug)]
struct DurationStats {
    mean_s: f64,
    deviation_s: f64,
    /// Longest duration, which decays with each shorter one.
    longest_s: f64,
    request_count: u32,
}

/// Statistics of request durations, by route.
#[derive(Debug, Default)]
pub struct RouteDurations {
    by_route: HashMap<Arc<str>, DurationStats>,
}

impl RouteDurations {
    /// Records the time from the arrival of a request to the end of its answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::durations::RouteDurations;
    ///
    /// let mut durations = RouteDurations::default();
    /// assert_eq!(durations.duration_estimate(&"route".into()), None);
    /// durations.observe(&"route".into(), Duration::from_secs(1));
    /// let estimate = durations.duration_estimate(&"route".into()).unwrap();
    /// assert_eq!(estimate.typical, Duration::from_secs(2));
    /// ```
    pub fn observe(&mut self, route: &Arc<str>, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        let Some(stats) = self.by_route.get_mut(route) else {
            // The deviation is not known yet; half the duration stands in for it.
            let deviation_s = elapsed_s / 2.0;
            let first = DurationStats {
                mean_s: elapsed_s,
                deviation_s,
                longest_s: elapsed_s,
                request_count: 1,
            };
            self.by_route.insert(route.clone(), first);
            return;
        };
        stats.deviation_s += LATEST_WEIGHT * ((elapsed_s - stats.mean_s).abs() - stats.deviation_s);
        stats.mean_s += LATEST_WEIGHT * (elapsed_s - stats.mean_s);
        stats.longest_s = elapsed_s.max(LONGEST_DECAY * stats.longest_s);
        stats.request_count = stats.request_count.saturating_add(1);
    }

    /// Returns the estimate for a route; `None` while no request of it has ended.
    pub fn duration_estimate(&self, route: &Arc<str>) -> Option<DurationEstimate> {
        let DurationStats { mean_s, deviation_s, longest_s, request_count } =
            self.by_route.get(route)?;
        let upper_bound = Duration::from_secs_f64(UPPER_BOUND_FACTOR * longest_s);
        Some(DurationEstimate {
            typical: Duration::from_secs_f64(mean_s + TYPICAL_DEVIATIONS * deviation_s),
            upper_bound: (*request_count >= MIN_REQUESTS).then_some(upper_bound),
        })
    }

    /// Drops the statistics of routes that are not in `routes`.
    pub fn retain(&mut self, routes: &Routes) {
        self.by_route.retain(|name, _| routes.contains_route(name));
    }
}
