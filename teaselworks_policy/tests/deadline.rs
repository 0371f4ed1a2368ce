//! Detection of late callers, which were probably refused before and are retrying, by the time that
//! they have left.

use std::time::Duration;

use teaselworks_policy::configuration::{Kind, Route};
use teaselworks_policy::deadline::DeadlineBaselines;

/// Guards against treating a caller as late, and refusing it first under load, only because its
/// total waiting time is shorter than that of other callers of the route.
#[test]
fn callers_with_shorter_total_waits_are_not_late() {
    let route = Route::example(Kind::Stream, "/a/");
    let mut deadlines = DeadlineBaselines::default();
    let caller_timeout = |number: u64| Duration::from_millis(8_500 + (number * 617) % 1_500);
    for number in 0..500 {
        deadlines.observe(&route, caller_timeout(number));
    }
    for number in 500..1_000 {
        assert!(!deadlines.is_late(&route, caller_timeout(number)));
        assert!(deadlines.is_late(&route, caller_timeout(number).mul_f64(0.7)));
    }
}

/// Guards against one unusually short timeout that keeps the baseline low for good, so that late
/// callers are no longer detected.
#[test]
fn baseline_recovers_after_one_short_timeout() {
    let route = Route::example(Kind::Stream, "/a/");
    let mut deadlines = DeadlineBaselines::default();
    deadlines.observe(&route, Duration::from_secs(1));
    for _ in 0..3_000 {
        deadlines.observe(&route, Duration::from_secs(10));
    }
    assert!(deadlines.is_late(&route, Duration::from_secs(7)));
}
