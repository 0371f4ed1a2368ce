//! Checks of parts of prompts and of requests that crash replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselworks_policy::crash::MAX_ENDED_REPLICAS;

use super::bounds::{CRASHING_PREFIX, PROXY_LATENCY, REPEATED_PREFIX};
use super::bug::Bug;
use super::record::{Arrival, Observations};
use super::violation::Violation;

/// Number of crashes after which requests with the part must stop to reach replicas.
const COUNTED_CRASHES: usize = 5;
/// Time after that crash from which at most [`MAX_LATE_REQUESTS`] may still reach them.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS: usize = 3;
/// Time between two crashes from which they belong to different series.
const SERIES_PAUSE: Duration = Duration::from_secs(8);

/// Checks that few requests with a part that crashes replicas reach these once five have crashed.
pub(super) fn check_crashing_parts(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    let is_crashing = |arrival: &&Arrival| arrival.id.starts_with(CRASHING_PREFIX);
    let arrivals = || observations.arrivals.iter().filter(is_crashing).map(|arrival| arrival.at);
    for series in observations.crashes.chunk_by(|one, next| *next < *one + SERIES_PAUSE) {
        let fifth = series.get(COUNTED_CRASHES - 1);
        // The simulated bug takes every request with the part for a late one, as a router that blocks
        // it at once lets only a few reach replicas.
        let (bound, max_late) = match bug {
            Some(Bug::CrashesGoOn) => (Some(series[0].saturating_sub(CONTACT)), 0),
            _ => (fifth.map(|fifth| *fifth + CONTACT + PROXY_LATENCY), MAX_LATE_REQUESTS),
        };
        let Some(bound) = bound else { continue };
        let end = series[series.len() - 1] + SERIES_PAUSE;
        let late = arrivals().filter(|at| (bound..end).contains(at)).count();
        if late > max_late {
            let crashes = series.len();
            let details =
                format!("{late} requests after {bound:?}, {crashes} crashes since {:?}", series[0]);
            violations.push(Violation::new("parts that crash replicas are blocked", details));
        }
    }
}

/// Checks that a request no longer reaches replicas once three have ended under it. Each router that
/// starts meanwhile may have been out of touch, and sends it once more at most.
pub(super) fn check_crashing_requests(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    let mut runs: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for arrival in observations.arrivals.iter().filter(|arrival| arrival.has_run) {
        let Some(id) = arrival.id.strip_prefix(REPEATED_PREFIX) else { continue };
        // Routers close the connections to a replica that has restarted, which ends no replica.
        if observations.dropped.contains(&arrival.id) {
            continue;
        }
        let number = id.split('-').next().unwrap_or_default();
        runs.entry(number).or_default().push(arrival.at);
    }
    for (number, mut runs) in runs {
        runs.sort_unstable();
        let max_ended = if bug == Some(Bug::RequestsGoOn) { 1 } else { MAX_ENDED_REPLICAS };
        let Some(last) = runs.get(max_ended - 1) else { continue };
        let bound = *last + PROXY_LATENCY;
        let further = runs.iter().filter(|at| **at > bound).count();
        let end = runs[runs.len() - 1];
        let starts = observations.router_starts.iter().filter(|at| (runs[0]..end).contains(at));
        let starts = if bug == Some(Bug::RequestsGoOn) { 0 } else { starts.count() };
        if further > starts {
            let details = format!(
                "request {number}: {further} runs after {bound:?}, {starts} routers started since \
                 {:?}",
                runs[0]
            );
            violations.push(Violation::new("requests that crash replicas are refused", details));
        }
    }
}
