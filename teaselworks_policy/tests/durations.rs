//! Estimates of how long requests take, from those that ended.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::durations::RouteDurations;

/// Returns the statistics after `request_count` requests; `elapsed` gives the duration of each.
fn after(request_count: u32, elapsed: impl Fn(u32) -> Duration) -> RouteDurations {
    let mut durations = RouteDurations::default();
    for request in 0..request_count {
        durations.observe(&route(), elapsed(request));
    }
    durations
}

fn route() -> Arc<str> {
    "route".into()
}

/// Guards against a stop that cuts off the one long request in a hundred because no long one has
/// ended yet: the longest duration needs at least a hundred requests.
#[test]
fn longest_duration_needs_a_hundred_requests() {
    let few = after(30, |_| Duration::from_millis(60));
    assert_eq!(few.duration_estimate(&route()).unwrap().longest, None);
    let many = after(200, |request| Duration::from_millis(if request == 150 { 400 } else { 60 }));
    let estimate = many.duration_estimate(&route()).unwrap();
    assert!(estimate.typical < Duration::from_millis(100), "{estimate:?}");
    assert!(estimate.longest.unwrap() > Duration::from_millis(700), "{estimate:?}");
}
