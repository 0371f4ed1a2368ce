//! Estimates of how long requests take, from those that ended.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::durations::{RouteDurations, SizeClass};
use teaselworks_policy::placement::Prompt;

const START: Duration = Duration::ZERO;

/// Returns the statistics after `request_count` requests; `elapsed` gives the duration of each.
fn stats_after(request_count: u32, elapsed: impl Fn(u32) -> Duration) -> RouteDurations {
    let mut durations = RouteDurations::default();
    for request in 0..request_count {
        durations.observe(START, &route(), SizeClass::default(), elapsed(request));
    }
    durations
}

fn route() -> Arc<str> {
    "route".into()
}

/// Returns the size of a request for at most `output_tokens`.
fn size(output_tokens: u32) -> SizeClass {
    SizeClass::of(Some(&Prompt { input_tokens: 100, output_tokens, ..Prompt::default() }))
}

/// Guards against a stop that cuts off a rare long request: as long as only few requests of a route
/// have ended, there may be much longer ones, so that no upper bound is known.
#[test]
fn a_few_requests_give_no_upper_bound() {
    let few = stats_after(30, |_| Duration::from_millis(60));
    let size = SizeClass::default();
    assert_eq!(few.duration_estimate(START, &route(), size).unwrap().upper_bound, None);
    let many =
        stats_after(200, |request| Duration::from_millis(if request == 150 { 400 } else { 60 }));
    let estimate = many.duration_estimate(START, &route(), size).unwrap();
    assert!(estimate.typical < Duration::from_millis(100), "{estimate:?}");
    // The bound is twice the longest duration.
    assert_eq!(estimate.upper_bound, Some(Duration::from_millis(800)));
}

/// Guards against a stop that cuts off a long request because a thousand short ones have ended since
/// the last long one.
#[test]
fn many_short_requests_do_not_make_long_ones_forgotten() {
    let long = Duration::from_secs(5);
    let durations =
        stats_after(5_000, |request| if request == 0 { long } else { Duration::from_millis(60) });
    let bound_at = |now| {
        let estimate = durations.duration_estimate(now, &route(), SizeClass::default());
        estimate.unwrap().upper_bound
    };
    assert_eq!(bound_at(START), Some(2 * long));
    assert_eq!(bound_at(Duration::from_secs(59)), Some(2 * long));
    assert_eq!(bound_at(Duration::from_secs(121)), None);
}

/// Guards against a long request that is admitted like the short ones of its route, and against short
/// ones that are refused because of it.
#[test]
fn the_bound_follows_the_size_of_the_request() {
    let mut durations = RouteDurations::default();
    for _ in 0..1_000 {
        durations.observe(START, &route(), size(50), Duration::from_millis(200));
    }
    for _ in 0..10 {
        durations.observe(START, &route(), size(400), Duration::from_secs(5));
    }
    let estimate = |size| durations.duration_estimate(START, &route(), size).unwrap();
    assert_eq!(estimate(size(50)).upper_bound, Some(Duration::from_millis(400)));
    assert_eq!(estimate(size(400)).upper_bound, None);
    assert!(estimate(size(400)).typical > Duration::from_secs(4));
    // Larger requests stand in for a size of which few were seen.
    assert_eq!(estimate(size(10)).upper_bound, Some(Duration::from_millis(400)));
}
