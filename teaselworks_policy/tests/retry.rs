//! What follows a failed attempt, and the budget for it.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::retry::{
    AttemptHistory, BudgetSettings, Failure, RetryBudget, RetryDecision, decide_retry,
};
use teaselworks_policy::verdict::Verdict;

const FAILURES: [Failure; 8] = [
    Failure::Unreachable,
    Failure::NotSent,
    Failure::Rejected,
    Failure::Moved,
    Failure::Broken,
    Failure::Foreign,
    Failure::Failed,
    Failure::Silent,
];

fn attempts(is_idempotent: bool, runs: u32) -> AttemptHistory {
    let remaining = Duration::from_secs(2);
    AttemptHistory { is_idempotent, tried_count: 1, runs, max_runs: 2, remaining }
}

/// Guards against a second run of a request whose answer was lost.
#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_repeat() {
    for failure in FAILURES {
        let has_run = failure.verdict() == Verdict::MayHaveRun;
        let next = decide_retry(failure, &attempts(false, u32::from(has_run)));
        assert_eq!(matches!(next, RetryDecision::GiveUp(_)), has_run, "{failure:?}");
        let next = decide_retry(failure, &attempts(true, u32::from(has_run)));
        assert!(matches!(next, RetryDecision::Retry { .. }), "{failure:?}");
    }
}

/// Guards against a refusal that tells of the last attempt alone.
#[test]
fn a_promise_covers_every_attempt() {
    let given_up = AttemptHistory { tried_count: 4, ..attempts(true, 1) };
    for failure in FAILURES {
        let RetryDecision::GiveUp(refusal) = decide_retry(failure, &given_up) else {
            panic!("{failure:?}: four offers are enough");
        };
        assert!([502, 504].contains(&refusal.http_status()), "{failure:?}");
    }
}

#[test]
fn a_request_whose_time_has_passed_is_given_up() {
    let late = AttemptHistory { remaining: Duration::ZERO, ..attempts(true, 0) };
    let RetryDecision::GiveUp(refusal) = decide_retry(Failure::Rejected, &late) else {
        panic!("no time is left");
    };
    assert_eq!(refusal.http_status(), 503);
}

/// A router that sees requests and failed attempts at times.
#[derive(Clone, Debug)]
struct Load {
    router: usize,
    at_ms: u64,
    wants_repeat: bool,
}

fn loads(routers: usize) -> impl Strategy<Value = Vec<Load>> {
    let load = (0..routers, 0_u64..30_000, any::<bool>());
    let load = load.prop_map(|(router, at_ms, wants_repeat)| Load { router, at_ms, wants_repeat });
    prop::collection::vec(load, 0..600)
}

proptest! {
    /// Guards against routers that keep to the retry budget each, but not together.
    #[test]
    fn the_sum_over_routers_keeps_the_bound(mut loads in loads(7)) {
        let window = Duration::from_secs(10);
        let settings = BudgetSettings { ratio: 0.2, slack: 10.0, window };
        let service: Arc<str> = "chat".into();
        let mut budgets: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::new(settings)).collect();
        loads.sort_by_key(|load| load.at_ms);
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for load in &loads {
            let now = Duration::from_millis(load.at_ms);
            budgets[load.router].on_request(now, &service);
            requests.push(now);
            if load.wants_repeat && budgets[load.router].try_take(now, &service, 7) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let start = end.saturating_sub(window);
            let count = |times: &[Duration]| {
                times.iter().filter(|time| **time >= start && *time <= end).count() as f64
            };
            let bound = settings.ratio * count(&requests) + settings.slack;
            prop_assert!(count(&repeats) <= bound);
        }
    }
}
