//! When callers that were refused come back.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::placement::{Demand, Returns};
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::upstream::{Change, LoadReport, Symptom, Upstream};
use teaselworks_policy::verdict::RefusalReason;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against callers that return together and are refused again.
#[test]
fn returns_are_spread_at_a_part_of_the_rate_of_placements() {
    let mut random = Pcg32::seed_from_u64(1);
    let mut returns = Returns::default();
    for step in 0..1_000_u32 {
        returns.on_placed(SECOND * step / 100);
    }
    let now = 10 * SECOND;
    let times: Vec<Duration> =
        (0..20).map(|_| returns.schedule(now, 60 * SECOND, &mut random)).collect();
    assert!(times[0] < SECOND / 2, "{times:?}");
    assert!(times.windows(2).all(|pair| pair[1] > pair[0] + SECOND / 20), "{times:?}");
    assert!(times[19] < 3 * SECOND, "{times:?}");
}

/// Guards against callers with little time that push back the turns of others.
#[test]
fn who_cannot_wait_for_a_turn_takes_none() {
    let mut random = Pcg32::seed_from_u64(1);
    let mut returns = Returns::default();
    let patient = |returns: &mut Returns, random: &mut Pcg32| {
        returns.schedule(Duration::ZERO, 3_600 * SECOND, random)
    };
    let first = patient(&mut returns, &mut random);
    for _ in 0..50 {
        let hurried = returns.schedule(Duration::ZERO, SECOND, &mut random);
        assert!(hurried <= SECOND && hurried >= SECOND * 3 / 4);
    }
    assert!(patient(&mut returns, &mut random) < 3 * first);
}

/// Guards against a refusal of a full service that does not tell when to come back.
#[test]
fn a_full_service_tells_when_to_come_back() {
    let budget = BudgetSettings { ratio: 0.2, slack: 10.0, window: 10 * SECOND };
    let membership = Membership::new("router".into(), Vec::new());
    let mut fleet = Fleet::new(FleetSettings { load_factor: 2.0, budget }, membership, 1);
    let upstream = Upstream::example("i-1", "service");
    fleet.apply(&Change::Serving(upstream.clone()));
    let demand = Demand {
        prompt: None,
        zone: "a",
        tried: &[],
        remaining: 2 * SECOND,
        latest_return: SECOND,
        is_begun: false,
        is_late: false,
    };
    assert!(fleet.place(SECOND, "service", &demand).is_ok());
    let incarnation = upstream.incarnation();
    fleet.on_attempt_end(2 * SECOND, "service", &incarnation, Some(Symptom::Answered), SECOND);
    let report = LoadReport { running: 8, waiting: 30 };
    fleet.on_load_report(2 * SECOND, "service", &incarnation, report);
    let refusal = fleet.place(2 * SECOND, "service", &demand).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let retry_after = refusal.retry_after.unwrap();
    assert!(retry_after > Duration::ZERO && retry_after <= SECOND, "{retry_after:?}");
}

proptest! {
    /// Guards against a time to return at which the caller has left.
    #[test]
    fn no_return_is_later_than_its_caller_waits(
        latest_ms in prop::collection::vec(0_u64..20_000, 1..50),
        placed in 0_u32..200,
    ) {
        let mut random = Pcg32::seed_from_u64(1);
        let mut returns = Returns::default();
        for _ in 0..placed {
            returns.on_placed(SECOND);
        }
        for latest in latest_ms.into_iter().map(Duration::from_millis) {
            prop_assert!(returns.schedule(SECOND, latest, &mut random) <= latest);
        }
    }
}
