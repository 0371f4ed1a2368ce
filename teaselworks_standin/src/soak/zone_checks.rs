//! Checks of evacuated zones and of the cold replicas that they leave.

use std::time::Duration;

use super::bounds::{EVACUATION_BOUND, MAX_COLD_REQUESTS, PROXY_LATENCY, RECOVERY_TIME};
use super::record::{Arrival, Observations};
use super::violation::{Violation, is_undisturbed};

/// Time over which requests to a cold replica are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Checks that replicas of an evacuated zone get no requests after the evacuation bound, unless an
/// unplanned fault could have kept routers from learning of the evacuation.
pub(super) fn check_evacuations(observations: &Observations, violations: &mut Vec<Violation>) {
    for evacuation in &observations.evacuations {
        let from = evacuation.from + EVACUATION_BOUND + PROXY_LATENCY;
        let to = evacuation.to.unwrap_or(Duration::MAX);
        let is_late = |arrival: &&Arrival| {
            (from..to).contains(&arrival.at) && evacuation.upstreams.contains(&arrival.upstream)
        };
        for arrival in observations.arrivals.iter().filter(is_late) {
            let undisturbed_from = evacuation.from.saturating_sub(RECOVERY_TIME);
            if is_undisturbed(observations, undisturbed_from, arrival.at) {
                let details = format!(
                    "{} reached {} {:?} after zone {} was evacuated",
                    arrival.id,
                    arrival.upstream,
                    arrival.at - evacuation.from,
                    evacuation.zone
                );
                violations.push(Violation::new("no requests to evacuated zones", details));
            }
        }
    }
}

/// Checks that a cold replica gets no more requests within a second than it bears, unless an
/// unplanned fault could have kept routers from learning that it is cold.
pub(super) fn check_cold_replicas(observations: &Observations, violations: &mut Vec<Violation>) {
    for cold in &observations.cold_spans {
        let is_at_cold = |arrival: &&Arrival| {
            arrival.upstream == cold.upstream && (cold.from..cold.to).contains(&arrival.at)
        };
        let arrivals: Vec<Duration> =
            observations.arrivals.iter().filter(is_at_cold).map(|arrival| arrival.at).collect();
        let count_from = |start: Duration| {
            arrivals.iter().filter(|at| (start..start + COLD_WINDOW).contains(at)).count()
        };
        let most = arrivals.iter().map(|at| count_from(*at)).max().unwrap_or(0);
        let undisturbed_from = cold.from.saturating_sub(RECOVERY_TIME);
        if most > MAX_COLD_REQUESTS && is_undisturbed(observations, undisturbed_from, cold.to) {
            let details = format!(
                "{most} requests within a second reached {}, cold since {:?}",
                cold.upstream, cold.from
            );
            violations.push(Violation::new("cold replicas are not overloaded", details));
        }
    }
}
