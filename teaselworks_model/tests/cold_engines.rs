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

/// Guards against cold engines that fall over in a burst, because many routers together send them
/// more than they bear.
#[test]
fn cold_engines_do_not_fall_over_in_a_burst() {
    for routers in [7, 91, 295, 410] {
        for share in [0.25, 0.5, 1.0] {
            let totals = simulate(routers, share).totals;
            let cold = (share * 60.0 * 3.0 * 18.0) as u64;
            println!(
                "{routers} {share}: peak {} arrivals {} of {cold}",
                totals.cold_peak, totals.cold_arrivals
            );
            assert!(totals.cold_peak <= MAX_REQUESTS, "{routers} routers, {share}: {totals:?}");
            assert_eq!(totals.falls, 0, "{routers} routers, {share}: {totals:?}");
        }
    }
}
