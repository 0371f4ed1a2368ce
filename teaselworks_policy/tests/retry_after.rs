//! Tests of the retry-after times of refused callers.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::placement::{PlacementRequest, RetryAfterSchedule};
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::{Admission, SharesSettings};
use teaselworks_policy::upstream::{Change, ColdSettings, LoadReport, RequestOutcome, Upstream};
use teaselworks_policy::verdict::RefusalReason;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against many callers being refused at once, retrying at the same time and being refused
/// again.
#[test]
fn retries_are_spread_at_a_share_of_the_placement_rate() {
    let mut random = Pcg32::seed_from_u64(1);
    let mut schedule = RetryAfterSchedule::default();
    for step in 0..1_000_u32 {
        schedule.on_placed(SECOND * step / 100);
    }
    let now = 10 * SECOND;
    // 100 requests were placed per second, of which retries get a tenth: they are scheduled about
    // 100 ms apart, the last of 20 after about 2 s.
    let retry_after: Vec<Duration> =
        (0..20).map(|_| schedule.next_retry_after(now, 60 * SECOND, &mut random)).collect();
    assert!(retry_after[0] < SECOND / 2, "{retry_after:?}");
    assert!(retry_after.windows(2).all(|pair| pair[1] > pair[0] + SECOND / 20), "{retry_after:?}");
    assert!(retry_after[19] < 3 * SECOND, "{retry_after:?}");
}

/// Guards against delayed retries: a caller that cannot wait until the next free place in the
/// schedule must not take up that place.
#[test]
fn callers_that_cannot_wait_do_not_delay_other_retries() {
    let mut random = Pcg32::seed_from_u64(1);
    let mut schedule = RetryAfterSchedule::default();
    let schedule_without_limit = |schedule: &mut RetryAfterSchedule, random: &mut Pcg32| {
        schedule.next_retry_after(Duration::ZERO, 3_600 * SECOND, random)
    };
    let first = schedule_without_limit(&mut schedule, &mut random);
    for _ in 0..50 {
        let retry_after = schedule.next_retry_after(Duration::ZERO, SECOND, &mut random);
        assert!(retry_after <= SECOND && retry_after >= SECOND * 3 / 4);
    }
    // The 50 callers in between have not moved the schedule.
    assert!(schedule_without_limit(&mut schedule, &mut random) < 3 * first);
}

/// Guards against a refusal without a retry-after time when all slots of a service are taken.
#[test]
fn refusals_of_a_full_service_have_a_retry_after_time() {
    let budget = BudgetSettings { ratio: 0.2, slack: 10.0, window: 10 * SECOND };
    let membership = Membership::new("router".into(), Vec::new());
    let cold = ColdSettings { overshoot: 1.0, slack: 0.0 };
    let mut fleet = Fleet::new(
        FleetSettings {
            load_factor: 2.0,
            cold,
            budget,
            shares: SharesSettings::default(),
            max_staleness: Duration::from_secs(2),
        },
        membership,
        1,
    );
    let upstream = Upstream::example("i-1", "service");
    fleet.apply(Duration::ZERO, &Change::Serving(upstream.clone()));
    let request = PlacementRequest {
        prompt: None,
        zone: "a",
        tried: &[],
        version: None,
        begins_stream: false,
        remaining: 2 * SECOND,
        max_retry_after: SECOND,
        has_started: false,
        is_late: false,
        class: None,
        admission: Admission::Normal,
    };
    assert!(fleet.place(SECOND, "service", &request).is_ok());
    let incarnation = upstream.incarnation();
    fleet.on_attempt_end(
        2 * SECOND,
        "service",
        &incarnation,
        Some(RequestOutcome::Answered),
        SECOND,
    );
    let report = LoadReport { running: 8, waiting: 30 };
    fleet.on_load_report(2 * SECOND, "service", &incarnation, report);
    let refusal = fleet.place(2 * SECOND, "service", &request).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let retry_after = refusal.retry_after.unwrap();
    assert!(retry_after > Duration::ZERO && retry_after <= SECOND, "{retry_after:?}");
}

proptest! {
    /// Guards against a retry-after time that is longer than the caller can wait.
    #[test]
    fn no_retry_after_time_exceeds_the_limit_of_the_caller(
        max_retry_after_ms in prop::collection::vec(0_u64..20_000, 1..50),
        placed in 0_u32..200,
    ) {
        let mut random = Pcg32::seed_from_u64(1);
        let mut schedule = RetryAfterSchedule::default();
        for _ in 0..placed {
            schedule.on_placed(SECOND);
        }
        for max_retry_after in max_retry_after_ms.into_iter().map(Duration::from_millis) {
            prop_assert!(
                schedule.next_retry_after(SECOND, max_retry_after, &mut random) <= max_retry_after
            );
        }
    }
}
