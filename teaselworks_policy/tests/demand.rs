//! Estimates of the slot time of requests: their error on a mix of requests, wrong and missing
//! hints, and the routes that they cover.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::configuration::{Configuration, Kind, Route, Routes};
use teaselworks_policy::demand::DemandEstimator;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::placement::Prompt;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::ColdSettings;

/// Bound on the estimate, as a factor of the route's mean in both directions.
const FACTOR_BOUND: f64 = 4.0;

fn route() -> Arc<str> {
    "route".into()
}

/// One request of a generated mix.
struct Request {
    prompt: Prompt,
    is_long: bool,
    slot_time: Duration,
}

/// Returns a standard normal value, approximately.
fn normal(random: &mut Pcg32) -> f64 {
    (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0
}

/// Returns a request that is long with a probability of 0.3 and short otherwise.
///
/// The hint is right at the median, with a factor of two as its standard error, and a factor of ten
/// off for every tenth request. The slot time has a fixed part that differs from that of the
/// estimate, and noise.
fn request(random: &mut Pcg32) -> Request {
    let is_long = random.random_range(0.0..1.0) < 0.3;
    let (input_tokens, typical_output, output_tokens) =
        if is_long { (random.random_range(1_000..3_000), 200.0, 800) } else { (300, 20.0, 100) };
    let output = (typical_output * (0.4 * normal(random)).exp()).min(output_tokens.into());
    let mut hint = output * (2_f64.ln() * normal(random)).exp();
    if random.random_range(0..10) == 0 {
        hint *= if random.random_range(0..2) == 0 { 10.0 } else { 0.1 };
    }
    let work = f64::from(input_tokens) + 10.0 * output;
    let noise = (0.25 * normal(random)).exp();
    Request {
        prompt: Prompt {
            input_tokens,
            output_tokens,
            output_hint: Some(hint as u32),
            ..Prompt::default()
        },
        is_long,
        slot_time: Duration::from_secs_f64((0.1 + work / 2_500.0) * noise),
    }
}

/// Observes `count` requests of the mix, changed by `change`; returns whether each was long, and the
/// ratio of its slot time to the estimate.
fn replay(
    estimator: &mut DemandEstimator,
    random: &mut Pcg32,
    count: u32,
    change: impl Fn(u32, &mut Request),
) -> Vec<(bool, f64)> {
    let mut ratios = Vec::new();
    for number in 0..count {
        let mut request = request(random);
        change(number, &mut request);
        let ratio = estimator.observe(&route(), Some(&request.prompt), request.slot_time);
        ratios.push((request.is_long, ratio));
    }
    ratios
}

/// Returns the quantile of the ratios of the long or the short requests.
fn quantile(ratios: &[(bool, f64)], is_long: bool, quantile: f64) -> f64 {
    let kind = ratios.iter().filter(|(long, _)| *long == is_long);
    let mut ratios: Vec<f64> = kind.map(|(_, ratio)| *ratio).collect();
    ratios.sort_by(f64::total_cmp);
    ratios[(quantile * (ratios.len() - 1) as f64) as usize]
}

/// Returns the ratio of the estimate for a prompt to the route's mean slot time.
fn factor(estimator: &DemandEstimator, prompt: &Prompt) -> f64 {
    let slot_time = |prompt| estimator.estimate(&route(), prompt).slot_time.as_secs_f64();
    slot_time(Some(prompt)) / slot_time(None)
}

/// Guards against estimates that confuse short and long requests, or that are off by more than a
/// factor of four for more than one request in two hundred.
#[test]
fn errors_on_a_mix_of_short_and_long_requests_are_within_the_bound() {
    for seed in 0..10 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut estimator = DemandEstimator::default();
        replay(&mut estimator, &mut random, 50, |_, _| {});
        let ratios = replay(&mut estimator, &mut random, 4_000, |_, _| {});
        let is_within = |ratio: f64| (1.0 / FACTOR_BOUND..=FACTOR_BOUND).contains(&ratio);
        let beyond = ratios.iter().filter(|(_, ratio)| !is_within(*ratio)).count();
        assert!(beyond <= 20, "seed {seed}: {beyond} of 4000 beyond the bound");
        for is_long in [false, true] {
            let [low, median, high] = [0.1, 0.5, 0.9].map(|at| quantile(&ratios, is_long, at));
            assert!((0.7..1.4).contains(&median), "seed {seed}, long {is_long}: {median}");
            assert!(low > 0.4 && high < 2.5, "seed {seed}, long {is_long}: {low} to {high}");
        }
    }
}

/// Guards against callers that change the estimates of others by a hint or token counts that are
/// far too large, and against an estimate of their own beyond the bound.
#[test]
fn wrong_headers_change_the_estimates_of_others_only_a_little() {
    let honest = Prompt { input_tokens: 300, output_tokens: 100, ..Prompt::default() };
    let lie = Prompt { input_tokens: u32::MAX, output_tokens: u32::MAX, ..Prompt::default() };
    let slot_time = Duration::from_millis(500);
    let mut estimator = DemandEstimator::default();
    for number in 0..500 {
        let prompt = if number % 20 == 19 { &lie } else { &honest };
        estimator.observe(&route(), Some(prompt), slot_time);
        let factor = factor(&estimator, &honest);
        assert!((0.7..=1.01).contains(&factor), "request {number}: {factor}");
    }
    assert_eq!(factor(&estimator, &lie), FACTOR_BOUND);
    // A hint beyond the stated maximum counts as the maximum.
    let hinted = Prompt { output_hint: Some(u32::MAX), ..honest.clone() };
    assert_eq!(factor(&estimator, &hinted), factor(&estimator, &honest));
}

/// Guards against a wrong header of the first request of a route, or of another early one, that
/// distorts the estimates of a new router for long.
#[test]
fn wrong_headers_of_an_early_request_are_forgotten_soon() {
    let honest = Prompt { input_tokens: 300, output_tokens: 100, ..Prompt::default() };
    let huge = Prompt { input_tokens: u32::MAX, output_tokens: u32::MAX, ..Prompt::default() };
    for wrong in [huge, Prompt::default()] {
        for position in [0, 1, 5, 9, 10, 20] {
            let mut estimator = DemandEstimator::default();
            for number in 0..position + 60 {
                let prompt = if number == position { &wrong } else { &honest };
                estimator.observe(&route(), Some(prompt), Duration::from_millis(500));
            }
            let factor = factor(&estimator, &honest);
            assert!((0.9..1.1).contains(&factor), "{wrong:?} as number {position}: {factor}");
        }
    }
}

/// Guards against estimates that fail without hints: the maximum number of output tokens then
/// separates short from long requests, also where only some callers send hints.
#[test]
fn missing_hints_are_replaced_by_the_maximum() {
    for hint_interval in [u32::MAX, 2] {
        let mut random = Pcg32::seed_from_u64(1);
        let mut estimator = DemandEstimator::default();
        let drop_hint = |number: u32, request: &mut Request| {
            if !(number + 1).is_multiple_of(hint_interval) {
                request.prompt.output_hint = None;
            }
        };
        replay(&mut estimator, &mut random, 50, drop_hint);
        let ratios = replay(&mut estimator, &mut random, 4_000, drop_hint);
        for is_long in [false, true] {
            let [low, median, high] = [0.1, 0.5, 0.9].map(|at| quantile(&ratios, is_long, at));
            assert!((0.7..1.4).contains(&median), "long {is_long}: {median}");
            assert!(low > 0.4 && high < 2.5, "long {is_long}: {low} to {high}");
        }
    }
    let without_hint = Prompt { input_tokens: 300, output_tokens: 100, ..Prompt::default() };
    let with_maximum = Prompt { output_hint: Some(100), ..without_hint.clone() };
    let mut estimator = DemandEstimator::default();
    estimator.observe(&route(), Some(&without_hint), Duration::from_secs(1));
    let estimates = [&without_hint, &with_maximum].map(|prompt| factor(&estimator, prompt));
    assert_eq!(estimates, [1.0; 2]);
}

/// Guards against an estimate that does not follow when the requests of a route take longer, as on
/// loaded engines, or shorter again.
#[test]
fn estimates_follow_a_drift_of_the_slot_time() {
    let mut random = Pcg32::seed_from_u64(2);
    let mut estimator = DemandEstimator::default();
    replay(&mut estimator, &mut random, 400, |_, _| {});
    for slowdown in [3.0, 1.0] {
        let slow_down = |_, request: &mut Request| {
            request.slot_time = request.slot_time.mul_f64(slowdown);
        };
        replay(&mut estimator, &mut random, 80, slow_down);
        let ratios = replay(&mut estimator, &mut random, 400, slow_down);
        for is_long in [false, true] {
            let median = quantile(&ratios, is_long, 0.5);
            assert!((0.6..1.5).contains(&median), "slowdown {slowdown}, long {is_long}: {median}");
        }
    }
    // A rise that goes on, by a hundredth with each request: the estimate stays a little behind.
    let rise = |number: u32, request: &mut Request| {
        request.slot_time = request.slot_time.mul_f64(1.01_f64.powf(number.into()));
    };
    let ratios = replay(&mut estimator, &mut random, 300, rise);
    let median = quantile(&ratios, false, 0.5);
    assert!((0.6..1.5).contains(&median), "{median}");
}

/// Guards against a new router that estimates nothing, or by the headers alone, before it has
/// observed a request: a quarter of the target latency of the route stands in.
#[test]
fn fresh_estimator_returns_a_quarter_of_the_target_latency() {
    let target_latency = Duration::from_millis(70);
    let with_target = Route { target_latency, ..Route::example(Kind::Stream, "/a/") };
    let target_latency = Duration::ZERO;
    let without_target = Route { target_latency, ..Route::example(Kind::Stream, "/b/") };
    let mut estimator = DemandEstimator::default();
    estimator.retain(&Routes::new([with_target.clone(), without_target.clone()]));
    let huge = Prompt { input_tokens: 90_000, output_tokens: 9_000, ..Prompt::default() };
    for prompt in [None, Some(&huge)] {
        let estimate = estimator.estimate(&with_target.name, prompt).slot_time;
        assert_eq!(estimate, with_target.target_latency / 4);
        for unknown in [&without_target.name, &route()] {
            assert!(!estimator.estimate(unknown, prompt).slot_time.is_zero());
        }
    }
    let ratio = estimator.observe(&with_target.name, Some(&huge), 2 * with_target.target_latency);
    assert_eq!(ratio, 8.0);
    let estimate = estimator.estimate(&with_target.name, Some(&huge)).slot_time;
    assert_eq!(estimate, 2 * with_target.target_latency);
}

/// Guards against means of dropped routes that fill the table or return with a later route of the
/// same name, and against means that a configuration resets though it keeps their route.
#[test]
fn table_follows_the_routes_of_the_configuration() {
    let [kept, dropped] = ["/a/", "/b/"].map(|prefix| Route::example(Kind::Stream, prefix));
    let both = Routes::new([kept.clone(), dropped.clone()]);
    let mut estimator = DemandEstimator::default();
    estimator.retain(&both);
    let taken = Duration::from_secs(2);
    for route in [&kept, &dropped] {
        estimator.observe(&route.name, None, taken);
    }
    estimator.retain(&Routes::new([kept.clone()]));
    assert_eq!(estimator.estimate(&kept.name, None).slot_time, taken);
    estimator.retain(&both);
    assert_eq!(estimator.estimate(&kept.name, None).slot_time, taken);
    assert_eq!(estimator.estimate(&dropped.name, None).slot_time, dropped.target_latency / 4);
    // A changed target latency counts for routes without observations.
    let target_latency = Duration::from_millis(70);
    estimator.retain(&Routes::new([Route { target_latency, ..dropped.clone() }]));
    assert_eq!(estimator.estimate(&dropped.name, None).slot_time, target_latency / 4);
}

/// Guards against a router whose estimates do not follow its configurations, or its observations.
#[test]
fn fleet_estimates_by_its_configuration_and_observations() {
    let budget = BudgetSettings { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    let cold = ColdSettings { overshoot: 1.0, slack: 0.0 };
    let max_staleness = Duration::from_secs(2);
    let settings = FleetSettings {
        load_factor: 2.0,
        cold,
        budget,
        shares: SharesSettings::default(),
        max_staleness,
    };
    let mut fleet = Fleet::new(settings, Membership::new("router".into(), Vec::new()), 1);
    let target_latency = Duration::from_millis(125);
    let route = Route { target_latency, ..Route::example(Kind::Stream, "/a/") };
    let routes = [Routes::new([route.clone()]), Routes::default(), Routes::new([route.clone()])];
    for (routes, version) in routes.into_iter().zip(1..) {
        fleet.set_configuration(
            Duration::ZERO,
            Configuration { version, routes, ..Configuration::default() },
        );
        if version == 2 {
            continue;
        }
        assert_eq!(fleet.estimate_demand(&route.name, None).slot_time, target_latency / 4);
        assert_eq!(fleet.on_slot_time(&route.name, None, 3 * target_latency), 12.0);
        assert_eq!(fleet.estimate_demand(&route.name, None).slot_time, 3 * target_latency);
    }
}

proptest! {
    /// Guards against a panic, a ratio that is not a finite number, and an estimate beyond a quarter
    /// or four times the mean, whatever the headers say and however long requests take.
    #[test]
    fn arbitrary_requests_keep_the_bounds(
        requests in prop::collection::vec(
            (
                prop::option::of((any::<u32>(), any::<u32>(), prop::option::of(any::<u32>()))),
                prop_oneof![
                    Just(Duration::ZERO),
                    Just(Duration::MAX),
                    (1_u64..100_000).prop_map(Duration::from_millis),
                ],
            ),
            1..60,
        ),
    ) {
        let mut estimator = DemandEstimator::default();
        for (tokens, slot_time) in requests {
            let prompt = tokens.map(|(input_tokens, output_tokens, output_hint)| Prompt {
                input_tokens,
                output_tokens,
                output_hint,
                ..Prompt::default()
            });
            let ratio = estimator.observe(&route(), prompt.as_ref(), slot_time);
            prop_assert!(ratio.is_finite() && ratio >= 0.0, "{ratio}");
            let mean = estimator.estimate(&route(), None).slot_time.as_secs_f64();
            let estimate = estimator.estimate(&route(), prompt.as_ref()).slot_time.as_secs_f64();
            let rounding = 1e-9 * (1.0 + mean);
            prop_assert!(estimate >= mean / FACTOR_BOUND - rounding, "{estimate} of {mean}");
            prop_assert!(estimate <= mean * FACTOR_BOUND + rounding, "{estimate} of {mean}");
        }
    }
}
