//! Estimates of how long requests take, from those that ended.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::durations::RouteDurations;

/// Returns the statistics after `request_count` requests; `elapsed` gives the duration of each.
fn stats_after(request_count: u32, elapsed: impl Fn(u32) -> Duration) -> RouteDurations {
    let mut durations = RouteDurations::default();
    for request in 0..request_count {
        durations.observe(&route(), elapsed(request));
    }
    durations
}

fn route() -> Arc<str> {
    "route".into()
}

/// Guards against a stop that cuts off a rare long request: as long as only few requests of a route
/// have ended, there may be much longer ones, so that no upper bound is known.
#[test]
fn a_few_requests_give_no_upper_bound() {
    let few = stats_after(30, |_| Duration::from_millis(60));
    assert_eq!(few.duration_estimate(&route()).unwrap().upper_bound, None);
    let many =
        stats_after(200, |request| Duration::from_millis(if request == 150 { 400 } else { 60 }));
    let estimate = many.duration_estimate(&route()).unwrap();
    assert!(estimate.typical < Duration::from_millis(100), "{estimate:?}");
    // The bound is twice the longest duration, which has decayed a little since.
    assert!(estimate.upper_bound.unwrap() > Duration::from_millis(700), "{estimate:?}");
}
