//! The phases of a planned stop.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::stop::{Arrival, Phase, StopPlan};
use teaselworks_policy::times::UsualTimes;
use teaselworks_policy::verdict::RefusalReason;

const SECOND: Duration = Duration::from_secs(1);

fn arrival(time: Duration, others_serve: bool) -> Arrival {
    let usual = Some(UsualTimes { most: time, longest: Some(time) });
    Arrival { limit: 12 * SECOND, usual, latest_return: SECOND, others_serve }
}

/// Guards against refusals of short requests while every router stops, a second after each other.
#[test]
fn a_short_request_is_served_until_shortly_before_the_end() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let short = arrival(SECOND / 5, false);
    for step in 0..75 {
        assert!(plan.admit(SECOND * step / 10, &short, &mut random).is_ok(), "{step}");
    }
    assert!(plan.admit(SECOND * 77 / 10, &short, &mut random).is_err());
}

/// Guards against callers that are sent from one stopping router to another.
#[test]
fn who_is_refused_returns_when_another_router_is_likelier() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let mut retry_after = |others_serve| {
        let long = arrival(6 * SECOND, others_serve);
        plan.admit(5 * SECOND, &long, &mut random).unwrap_err().retry_after.unwrap()
    };
    assert_eq!(retry_after(true), Duration::ZERO);
    assert!(retry_after(false) >= SECOND / 2);
}

/// Guards against a stream that is taken late in a stop because most like it are short, and is cut.
#[test]
fn late_in_a_stop_only_what_surely_ends_is_taken() {
    let plan = StopPlan::new(8 * SECOND);
    let mut random = Pcg32::seed_from_u64(1);
    let usual = Some(UsualTimes { most: SECOND, longest: Some(5 * SECOND) });
    let stream = Arrival { usual, ..arrival(SECOND, false) };
    assert!(plan.admit(SECOND * 29 / 10, &stream, &mut random).is_ok());
    assert!(plan.admit(SECOND * 31 / 10, &stream, &mut random).is_err());
    let unknown = Arrival { usual: None, ..stream };
    assert!(plan.admit(SECOND, &unknown, &mut random).is_ok());
    assert!(plan.admit(SECOND * 31 / 10, &unknown, &mut random).is_err());
}

proptest! {
    /// Guards against a request that is taken though it will be cut, and one that is refused though
    /// it would not be.
    #[test]
    fn what_is_taken_is_done_before_the_end(
        grace_ms in 1_000_u64..60_000,
        elapsed in 0.0..1.2_f64,
        limit_ms in 0_u64..60_000,
        usual_ms in 0_u64..60_000,
        return_ms in 0_u64..4_000,
        others_serve in any::<bool>(),
    ) {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(grace);
        let [limit, usual, latest_return] =
            [limit_ms, usual_ms, return_ms].map(Duration::from_millis);
        let times = UsualTimes { most: usual, longest: Some(usual) };
        let arrival = Arrival { limit, usual: Some(times), latest_return, others_serve };
        let elapsed = grace.mul_f64(elapsed);
        let done = elapsed + limit.min(usual);
        match plan.admit(elapsed, &arrival, &mut Pcg32::seed_from_u64(grace_ms)) {
            Ok(()) => prop_assert!(done < grace || limit.min(usual).is_zero()),
            Err(refusal) => {
                prop_assert!(done + Duration::from_millis(300) > grace);
                prop_assert_eq!(refusal.reason, RefusalReason::Stopping);
                prop_assert_eq!(refusal.http_status(), 503);
                prop_assert!(refusal.retry_after.unwrap() <= latest_return);
            }
        }
    }

    /// Guards against a router that is killed in the middle of answers, or ends too early.
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
            Phase::Ended => 2,
        };
        let mut before = 0;
        for step in 0..=200_u32 {
            let elapsed = grace * step / 200;
            let phase = order(plan.phase(elapsed, in_progress));
            prop_assert!(phase >= before);
            before = phase;
        }
        prop_assert_eq!(before, 2);
        prop_assert_eq!(plan.phase(grace * 5 / 8, 0), Phase::Ended);
    }
}
