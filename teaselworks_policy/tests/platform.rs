//! Rate limit and circuit of platform calls, over all sequences of calls, pauses and outages.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use teaselworks_policy::platform::backoff::Backoff;
use teaselworks_policy::platform::budget::{CallBudget, CallPurpose};
use teaselworks_policy::platform::circuit::{Circuit, CircuitLimits};
use teaselworks_policy::platform::share::{FleetShare, LEAST_CALLS_PER_S, ShareLimits};

const RATE: f64 = 10.0;
/// All buckets full: one second of each share and of the whole.
const BURST: f64 = 2.0 * RATE;

/// Mostly short pauses, now and then one in which every bucket fills.
fn pause_ms() -> impl Strategy<Value = u64> {
    prop_oneof![20 => 0_u64..50, 1 => 0_u64..60_000]
}

proptest! {
    // Symptom: the platform counts more calls than the router's rate. Sequence: calls of all
    // purposes in any order with any pauses. Cause: a burst saved up beyond the buckets.
    #[test]
    fn calls_of_any_time_stay_within_rate_and_burst(
        steps in prop::collection::vec((0_usize..4, pause_ms()), 1..400),
    ) {
        let mut budget = CallBudget::new(RATE, Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut passed: Vec<Duration> = Vec::new();
        for (purpose, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            if budget.take(CallPurpose::ALL[purpose], now).is_ok() {
                passed.push(now);
            }
        }
        for (first, start) in passed.iter().enumerate() {
            for (last, end) in passed.iter().enumerate().skip(first) {
                let allowed = RATE * (*end - *start).as_secs_f64() + BURST;
                prop_assert!((last - first + 1) as f64 <= allowed + 1e-6);
            }
        }
    }

    // Symptom: a platform that just came back is overrun by the whole fleet and fails again.
    // Sequence: an outage of any length, during which buckets fill; the platform answers; every
    // router spends its bucket. Cause: a burst that is kept over the outage.
    #[test]
    fn after_an_outage_calls_begin_at_the_rate(outage_s in 0_u64..100_000, calls in 1_u32..100) {
        let mut budget = CallBudget::new(RATE, Duration::ZERO);
        let back = Duration::from_secs(outage_s);
        let _ = budget.take(CallPurpose::Once, back);
        budget.drain(back);
        let mut passed = 0;
        for call in 0..calls {
            let now = back + Duration::from_millis(u64::from(call) * 10);
            for purpose in CallPurpose::ALL {
                passed += u32::from(budget.take(purpose, now).is_ok());
            }
        }
        let elapsed_s = f64::from(calls) / 100.0;
        prop_assert!(f64::from(passed) <= RATE * elapsed_s + 1e-6, "{passed} in {elapsed_s} s");
    }

    // Symptom: a platform that just came back gets several thousand calls a second and refuses
    // most. Sequence: a fleet of any size, which grew while the platform was away; it answers, and
    // every router wants all it may have. Cause: a rate of each router that knows nothing of the
    // others.
    #[test]
    fn after_an_outage_the_fleet_stays_within_its_rate(routers in 2_usize..820, before in 1_usize..820) {
        let limits = ShareLimits { fleet_calls_per_s: 600.0, router_calls_per_s: 20.0 };
        let (away, back) = (Duration::from_secs(10), Duration::from_secs(60));
        let mut share = FleetShare::new(limits, Duration::ZERO);
        let mut budget = CallBudget::new(share.calls_per_s(), Duration::ZERO);
        for (seen, now) in [(before, away), (routers, back)] {
            share.see(seen, now);
            budget.set_calls_per_s(share.calls_per_s(), now);
        }
        budget.drain(back);
        let mut passed = 0;
        for step in 0..=200 {
            let now = back + Duration::from_millis(step * 50);
            for purpose in CallPurpose::ALL {
                while budget.take(purpose, now).is_ok() {
                    passed += 1;
                }
            }
        }
        let fleet = f64::from(passed) * routers as f64;
        prop_assert!(fleet <= 600.0 * 10.0 + 1e-6, "{fleet} calls in 10 s");
    }

    // Symptom: the platform refuses calls while regions don't see each other. Sequence: the number
    // of routers seen goes up and down within ten minutes. Cause: parts of a fleet that each divide
    // the whole rate among themselves. And the other way: a router that is starved for ever by a
    // number that was seen once.
    #[test]
    fn routers_out_of_sight_count_for_ten_minutes(
        steps in prop::collection::vec((1_usize..900, 0_u64..200), 1..60),
    ) {
        let limits = ShareLimits { fleet_calls_per_s: 600.0, router_calls_per_s: 20.0 };
        let mut share = FleetShare::new(limits, Duration::ZERO);
        prop_assert_eq!(share.calls_per_s(), LEAST_CALLS_PER_S);
        let mut seen: Vec<(u64, usize)> = Vec::new();
        let mut now_s = 0;
        for (routers, pause_s) in steps {
            now_s += pause_s;
            share.see(routers, Duration::from_secs(now_s));
            seen.push((now_s, routers));
            let rate_of = |kept_s: u64| {
                let recent = seen.iter().filter(|(at_s, _)| at_s + kept_s >= now_s);
                let most = recent.map(|(_, routers)| *routers).max().unwrap_or(1);
                (600.0 / most as f64).clamp(LEAST_CALLS_PER_S, 20.0)
            };
            prop_assert!(share.calls_per_s() <= rate_of(599));
            // Two windows, and the longest pause between two looks.
            prop_assert!(share.calls_per_s() >= rate_of(1_600));
        }
    }

    // Symptom: no booking passes while use is flushed after an outage. Sequence: one purpose asks
    // for far more than it may. Cause: one bucket for all.
    #[test]
    fn a_greedy_purpose_leaves_every_other_its_share(greedy in 0_usize..4, other in 0_usize..4) {
        prop_assume!(greedy != other);
        let mut budget = CallBudget::new(RATE, Duration::ZERO);
        budget.drain(Duration::ZERO);
        let mut passed = 0;
        for step in 0..1_000_u64 {
            let now = Duration::from_millis(step * 10);
            while budget.take(CallPurpose::ALL[greedy], now).is_ok() {}
            passed += u32::from(budget.take(CallPurpose::ALL[other], now).is_ok());
        }
        let share = RATE * CallPurpose::ALL[other].share() * 10.0;
        prop_assert!(f64::from(passed) >= share - 1.0, "{passed} of {share}");
    }

    // Symptom: a platform that is down gets as many calls as ever, or none for ever. Sequence:
    // failures in a row, tries whose answer never comes. Cause: no circuit, or one that waits for
    // a try to report back.
    #[test]
    fn an_open_circuit_lets_few_through_and_never_stops(
        seed in any::<u64>(),
        reports in prop::collection::vec(prop::bool::weighted(0.02), 400),
    ) {
        let first = Duration::from_millis(500);
        let backoff = Backoff { first, longest: Duration::from_secs(10) };
        let mut circuit = Circuit::new(CircuitLimits { failures: 5, backoff });
        let mut random = rand_pcg::Pcg64::seed_from_u64(seed);
        for _ in 0..5 {
            circuit.failed(Duration::ZERO, &mut random);
        }
        let mut passed = 0;
        for (step, reported) in reports.iter().enumerate() {
            let now = Duration::from_millis(50 * step as u64);
            if circuit.admit(now, &mut random).is_err() {
                continue;
            }
            passed += 1;
            if *reported {
                circuit.failed(now, &mut random);
            }
        }
        prop_assert!((2..=80).contains(&passed), "{passed} tries in 20 s");
    }
}
