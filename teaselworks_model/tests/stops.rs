//! Routers of a zone that are stopped in turn, with zones of several sizes.

use std::time::Duration;

use teaselworks_model::{StopBug, StopLoad, run_stops};

const SIZES: [usize; 4] = [3, 7, 64, 295];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

/// Returns a load in which all routers but one are stopped, and one request in a hundred is long.
fn load(routers: usize) -> StopLoad {
    StopLoad {
        routers,
        stopped: routers - 1,
        gap: Duration::from_millis(10 * (2_000 / routers as u64).min(130)),
        warm_up: Duration::from_secs(30),
        grace: Duration::from_secs(8),
        max_signal_delay: Duration::ZERO,
        requests_per_s: 50.0,
        long_share: 0.01,
        unstated_share: 0.0,
        short_time: Duration::from_millis(200),
        long_time: Duration::from_millis(5_200),
        bug: None,
    }
}

/// Returns the load with a share of requests that take longer than they state.
fn load_with_unstated(routers: usize, unstated_share: f64) -> StopLoad {
    StopLoad { unstated_share, ..load(routers) }
}

/// Guards against short requests that stopping routers refuse though they would end in time.
#[test]
fn stopping_routers_answer_short_requests() {
    for routers in SIZES {
        for seed in SEEDS {
            let outcome = run_stops(&load(routers), seed);
            println!("{routers} routers, seed {seed}: {outcome:?}");
            assert_eq!((outcome.cut_late, outcome.given_up), (0, 0), "{routers} routers");
            let short = outcome.short_answered + outcome.short_refused;
            assert!(10 * outcome.short_answered >= 9 * short, "{routers} routers, seed {seed}");
        }
    }
}

/// Guards against answers that stopping routers begin late and cut, since they take longer than all
/// before.
#[test]
fn stopping_routers_cut_no_late_stream() {
    for routers in SIZES {
        for (seed, share) in SEEDS.zip([0.000_1, 0.000_3, 0.001, 0.01]) {
            let outcome = run_stops(&load_with_unstated(routers, share), seed);
            println!("{routers} routers, {share} unstated: {outcome:?}");
            assert_eq!(outcome.cut_late, 0, "{routers} routers, {share} unstated");
        }
    }
}

/// Guards against answers that are begun late and cut, or killed, by routers that handle the request to
/// stop late.
#[test]
fn routers_that_handle_the_signal_late_cut_no_late_stream() {
    for routers in SIZES {
        for (seed, delay_ms) in SEEDS.zip([60, 250, 1_000, 3_000]) {
            let max_signal_delay = Duration::from_millis(delay_ms);
            let load = StopLoad { max_signal_delay, ..load_with_unstated(routers, 0.01) };
            let outcome = run_stops(&load, seed);
            println!("{routers} routers, up to {delay_ms} ms late: {outcome:?}");
            assert_eq!(outcome.cut_late, 0, "{routers} routers, {delay_ms} ms");
        }
    }
}

/// Guards against a model that reports nothing.
#[test]
fn simulated_bugs_of_stops_are_reported() {
    let begins = Some(StopBug::BeginsUncertainAnswers);
    let begins = StopLoad { bug: begins, ..load_with_unstated(7, 0.000_3) };
    let cut_late: u64 = (1..=100).map(|seed| run_stops(&begins, seed).cut_late).sum();
    assert!(cut_late > 0);
    let ignores_delay = StopLoad {
        bug: Some(StopBug::IgnoresSignalDelay),
        max_signal_delay: Duration::from_secs(1),
        ..load_with_unstated(7, 0.01)
    };
    let cut_late: u64 = SEEDS.map(|seed| run_stops(&ignores_delay, seed).cut_late).sum();
    assert!(cut_late > 0);
    let ignores_size = StopLoad { bug: Some(StopBug::IgnoresSize), ..load(7) };
    let refused = |load: &StopLoad| run_stops(load, 1).short_refused;
    assert!(refused(&ignores_size) > 2 * refused(&load(7)));
}
