//! Which callers were refused before, by what is left of their time.

use std::time::Duration;

use teaselworks_policy::configuration::{Kind, Route};
use teaselworks_policy::deadline::UsualDeadlines;

/// Guards against callers with less patience than others who are taken for late ones, and refused
/// first under load.
#[test]
fn callers_who_wait_less_than_others_are_not_late() {
    let route = Route::example(Kind::Stream, "/a/");
    let mut deadlines = UsualDeadlines::default();
    let patience = |number: u64| Duration::from_millis(8_500 + (number * 617) % 1_500);
    for number in 0..500 {
        deadlines.learn(&route, patience(number));
    }
    for number in 500..1_000 {
        assert!(!deadlines.is_late(&route, patience(number)));
        assert!(deadlines.is_late(&route, patience(number).mul_f64(0.7)));
    }
}

/// Guards against one impatient caller after whom late ones are never told apart again.
#[test]
fn one_short_deadline_is_forgotten() {
    let route = Route::example(Kind::Stream, "/a/");
    let mut deadlines = UsualDeadlines::default();
    deadlines.learn(&route, Duration::from_secs(1));
    for _ in 0..3_000 {
        deadlines.learn(&route, Duration::from_secs(10));
    }
    assert!(deadlines.is_late(&route, Duration::from_secs(7)));
}
