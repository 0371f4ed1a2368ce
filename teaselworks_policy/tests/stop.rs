//! Phases of a stop, and which requests a stopping router accepts.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::durations::DurationEstimate;
use teaselworks_policy::stop::{Acceptance, Arrival, Phase, StopPlan};
use teaselworks_policy::verdict::RefusalReason;

const SECOND: Duration = Duration::from_secs(1);

fn arrival(time: Duration, has_serving_peers: bool) -> Arrival {
    let duration_estimate = Some(DurationEstimate { typical: time, upper_bound: Some(time) });
    Arrival {
        remaining: 12 * SECOND,
        duration_estimate,
        max_retry_after: SECOND,
        has_serving_peers,
        is_forwarded: false,
        is_idempotent: false,
        stream_patience: None,
    }
}

/// Guards against refusing short requests during a rolling stop in which all routers stop, one
/// second after another, so that callers find no router that accepts them.
#[test]
fn short_requests_are_admitted_until_shortly_before_the_exit() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let short = arrival(SECOND / 5, false);
    for step in 0..75 {
        assert!(plan.admit(SECOND * step / 10, &short, &mut random).is_ok(), "{step}");
    }
    assert!(plan.admit(SECOND * 77 / 10, &short, &mut random).is_err());
}

/// Guards against callers that are sent from one stopping router to another: they must be told to
/// wait, unless most other routers are serving.
#[test]
fn refused_callers_retry_when_another_router_likely_serves() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let mut retry_after = |has_serving_peers| {
        let long = arrival(6 * SECOND, has_serving_peers);
        plan.admit(5 * SECOND, &long, &mut random).unwrap_err().retry_after.unwrap()
    };
    assert_eq!(retry_after(true), Duration::ZERO);
    assert!(retry_after(false) >= SECOND / 2);
}

/// Guards against a long stream that is accepted late in a stop because typical streams of its
/// route are short, and is then cut off.
#[test]
fn late_requests_are_admitted_by_the_longest_duration() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let duration_estimate =
        Some(DurationEstimate { typical: SECOND, upper_bound: Some(5 * SECOND) });
    let stream = Arrival { duration_estimate, ..arrival(SECOND, false) };
    assert!(plan.admit(SECOND * 29 / 10, &stream, &mut random).is_ok());
    assert!(plan.admit(SECOND * 31 / 10, &stream, &mut random).is_err());
    let unknown = Arrival { duration_estimate: None, ..stream };
    assert!(plan.admit(SECOND, &unknown, &mut random).is_ok());
    assert!(plan.admit(SECOND * 31 / 10, &unknown, &mut random).is_err());
}

/// Guards against a stream that is begun on an estimate alone and cut: what may outlast the process is
/// passed on whole or not at all, and callers that would leave meanwhile are refused.
#[test]
fn late_streams_are_passed_on_whole_or_refused() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let stream = Arrival { stream_patience: Some(2 * SECOND), ..arrival(SECOND, false) };
    assert_eq!(plan.admit(SECOND, &stream, &mut random), Ok(Acceptance::Unchanged));
    assert_eq!(plan.admit(4 * SECOND, &stream, &mut random), Ok(Acceptance::WholeAnswerOnly));
    let certain = Arrival { remaining: 3 * SECOND, ..stream };
    assert_eq!(plan.admit(4 * SECOND, &certain, &mut random), Ok(Acceptance::Unchanged));
    let long = Arrival { stream_patience: Some(2 * SECOND), ..arrival(3 * SECOND, false) };
    assert!(plan.admit(4 * SECOND, &long, &mut random).is_err());
    let seldom = DurationEstimate { typical: SECOND, upper_bound: None };
    let seldom = Arrival { duration_estimate: Some(seldom), ..stream };
    assert!(plan.admit(4 * SECOND, &seldom, &mut random).is_err());
    let repeatable = Arrival { is_idempotent: true, ..seldom };
    assert_eq!(plan.admit(4 * SECOND, &repeatable, &mut random), Ok(Acceptance::WholeAnswerOnly));
}

/// Guards against a stream that another router forwards to a stopping one, though it could choose a
/// third router, and that is cut.
#[test]
fn forwarded_requests_are_held_to_the_end_of_the_process_from_the_start() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let unknown = Arrival { duration_estimate: None, ..arrival(SECOND, true) };
    assert!(plan.admit(SECOND, &unknown, &mut random).is_ok());
    let forwarded = Arrival { is_forwarded: true, ..unknown };
    assert!(plan.admit(SECOND, &forwarded, &mut random).is_err());
    let certain = Arrival { remaining: 5 * SECOND, ..forwarded };
    assert!(plan.admit(SECOND, &certain, &mut random).is_ok());
}

/// Guards against a long grace period in which requests are accepted that may be cut, though the load
/// balancer has long stopped sending new ones.
#[test]
fn a_long_grace_period_lets_no_uncertain_request_in_after_three_seconds() {
    let plan = StopPlan::new(16 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let unknown =
        Arrival { duration_estimate: None, remaining: 60 * SECOND, ..arrival(SECOND, true) };
    assert!(plan.admit(2 * SECOND, &unknown, &mut random).is_ok());
    assert!(plan.admit(SECOND * 31 / 10, &unknown, &mut random).is_err());
}

/// Guards against a late stream that is begun, or cut by the kill, since the process handled the signal
/// long after it was sent.
#[test]
fn a_known_signal_delay_counts_as_part_of_the_stop() {
    let mut random = Pcg32::seed_from_u64(1);
    let stream = arrival(3 * SECOND, false);
    for delay_ms in [60, 200, 500, 1_000, 5_000] {
        let delay = Duration::from_millis(delay_ms);
        let plan = StopPlan::new(8 * SECOND).with_signal_delay(delay);
        let since_handled = |since_signal: Duration| since_signal.saturating_sub(delay);
        let late = plan.admit(since_handled(3 * SECOND), &stream, &mut random);
        assert_ne!(late, Ok(Acceptance::Unchanged), "{delay:?}");
        assert_eq!(plan.phase(since_handled(8 * SECOND), 1), Phase::Ended, "{delay:?}");
        let has_closed = (0..800)
            .any(|step| plan.phase(since_handled(SECOND * step / 100), 1) == Phase::Closing);
        assert!(has_closed, "{delay:?}");
    }
}

proptest! {
    /// Guards against accepting a request that will be cut off, and against refusing one that would
    /// end in time.
    #[test]
    fn admitted_requests_end_before_the_exit(
        grace_ms in 1_000_u64..60_000,
        elapsed in 0.0..1.2_f64,
        remaining_ms in 0_u64..60_000,
        typical_ms in 0_u64..60_000,
        max_retry_after_ms in 0_u64..4_000,
        has_serving_peers in any::<bool>(),
    ) {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(grace);
        let [remaining, typical, max_retry_after] =
            [remaining_ms, typical_ms, max_retry_after_ms].map(Duration::from_millis);
        let estimate = DurationEstimate { typical, upper_bound: Some(typical) };
        let arrival = Arrival {
            remaining,
            duration_estimate: Some(estimate),
            max_retry_after,
            has_serving_peers,
            is_forwarded: false,
            is_idempotent: false,
            stream_patience: None,
        };
        let elapsed = grace.mul_f64(elapsed);
        let expected_end = elapsed + remaining.min(typical);
        match plan.admit(elapsed, &arrival, &mut Pcg32::seed_from_u64(grace_ms)) {
            Ok(_) => prop_assert!(expected_end < grace || remaining.min(typical).is_zero()),
            Err(refusal) => {
                prop_assert!(expected_end + Duration::from_millis(300) > grace);
                prop_assert_eq!(refusal.reason, RefusalReason::Stopping);
                prop_assert_eq!(refusal.http_status(), 503);
                prop_assert!(refusal.retry_after.unwrap() <= max_retry_after);
            }
        }
    }

    /// Guards against a router that is killed while it sends answers, and against one that exits
    /// while requests are in progress.
    #[test]
    fn phases_follow_in_order_and_end_before_the_kill(
        grace_ms in 1_000_u64..60_000,
        in_progress in 1_usize..100,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(grace);
        let order = |phase| match phase {
            Phase::Accepting => 0,
            Phase::Finishing => 1,
            Phase::Closing => 2,
            Phase::Ended => 3,
        };
        let mut previous = 0;
        for step in 0..=200_u32 {
            let elapsed = grace * step / 200;
            let phase = order(plan.phase(elapsed, in_progress));
            prop_assert!(phase >= previous);
            previous = phase;
        }
        prop_assert_eq!(previous, 3);
        prop_assert_eq!(plan.phase(grace * 5 / 8, 0), Phase::Ended);
    }
}
