//! Simulations of engines that restart and are cold: one that gets too many requests within a second
//! falls over.

use teaselworks_model::{Load, Outcome, run};

const COLD_RESTART: &str = include_str!("../loads/cold-restart.jsonc");
/// Largest number of requests that a cold engine bears within a second.
const MAX_REQUESTS: u64 = 32;

/// Simulates the load with another number of routers and share of engines that restart.
fn simulate(routers: u32, share: f64) -> Outcome {
    let mut load = Load::parse(COLD_RESTART).unwrap();
    load.routers = routers;
    load.cold.as_mut().unwrap().share = share;
    run(&load, 1)
}

/// Checks that cold engines get no more than they bear, and that their room is used: at least six
/// tenths of the rate that they bear from a second after the restart, when all routers know of it.
fn check_cold_engines(routers: u32) {
    for share in [0.25, 0.5, 1.0] {
        let totals = simulate(routers, share).totals;
        println!("{routers} routers, {share} restarted: {totals:?}");
        assert!(totals.cold_peak <= MAX_REQUESTS, "{routers} routers, {share}: {totals:?}");
        assert_eq!(totals.falls, 0, "{routers} routers, {share}: {totals:?}");
        let used_share = totals.cold_arrivals as f64 / (share * 60.0 * 2.0 * 18.0);
        assert!(used_share >= 0.6, "{routers} routers, {share}: {used_share}");
    }
}

/// Guards against cold engines that fall over in a burst, because routers together send them more
/// than they bear.
#[test]
fn cold_engines_do_not_fall_over_with_7_routers() {
    check_cold_engines(7);
}

/// Guards against the same with more routers than engines.
#[test]
fn cold_engines_do_not_fall_over_with_91_routers() {
    check_cold_engines(91);
}

/// Guards against the same where most routers have no share of an engine's rate.
#[test]
fn cold_engines_do_not_fall_over_with_295_routers() {
    check_cold_engines(295);
}

/// Guards against the same at the size that the fleet is planned for.
#[test]
fn cold_engines_do_not_fall_over_with_410_routers() {
    check_cold_engines(410);
}
