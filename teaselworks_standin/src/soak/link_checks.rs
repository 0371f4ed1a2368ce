//! Checks of what routers do while they reach no replica, and of what replicas ask of them.

use std::collections::HashMap;
use std::time::Duration;

use super::bounds::{DRAINING_BOUND, RECOVERY_TIME, REST, STOP_GRACE};
use super::bug::Bug;
use super::record::{Arrival, FunnelSpan, Observations, Outcome, PartitionSpan, RequestRecord};
use super::violation::{Violation, is_undisturbed};

/// Requests that are sent at least for two shares to be compared.
const MIN_COMPARED: usize = 40;
/// Time after the start of a cut from which its routers must serve their callers again.
const DETECTION_BOUND: Duration = Duration::from_secs(3);
/// Time after a replica asked for rest from which requests that reach it count.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may reach a resting replica.
const MAX_REQUESTS_IN_REST: usize = 2;

/// Checks that callers of routers that are cut off from all replicas are served at least two thirds
/// as often as those of the others. Cuts that other unplanned faults or stops overlap do not count.
pub(super) fn check_cuts(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    for cut in observations.partitions.iter().filter(|cut| is_alone(observations, cut)) {
        let window = cut.from + DETECTION_BOUND..cut.to;
        let is_counted = |request: &&RequestRecord| {
            window.contains(&request.sent_at)
                && request.outcome != Outcome::Abandoned
                && !request.is_interrupted
        };
        let (mut at_cut, mut served_at_cut, mut at_others, mut served_at_others) = (0, 0, 0, 0);
        for request in observations.requests.iter().filter(is_counted) {
            let is_served =
                matches!(request.outcome, Outcome::Response { status: 200, is_whole: true, .. });
            if cut.routers.contains(&request.router) {
                at_cut += 1;
                served_at_cut += usize::from(is_served && bug != Some(Bug::RefusalsByCutRouter));
            } else {
                at_others += 1;
                served_at_others += usize::from(is_served);
            }
        }
        let failed_at_cut = at_cut - served_at_cut;
        let is_worse = 3 * served_at_cut * at_others < 2 * served_at_others * at_cut;
        if is_worse && failed_at_cut > 10 + (at_cut + at_others) / 50 {
            let details = format!(
                "routers {:?}, cut off at {:?}, served {served_at_cut} of {at_cut} requests, the \
                 others {served_at_others} of {at_others}",
                cut.routers, cut.from
            );
            violations.push(Violation::new("callers of cut routers are served", details));
        }
    }
}

/// Checks that the router which most new connections reach serves its callers at least three quarters as
/// often as all were served in the same time before. Funnels that an unplanned fault disturbs do not
/// count.
pub(super) fn check_funnels(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    for FunnelSpan { router, from, to } in observations.funnels.iter().copied() {
        let before = from.saturating_sub(to - from);
        if !is_undisturbed_at(observations, router, before, to) {
            continue;
        }
        let count = |window: std::ops::Range<Duration>, only: Option<usize>| {
            let is_counted = |request: &&RequestRecord| {
                let is_there = only.is_none_or(|router| request.router == router);
                let has_ended = request.outcome != Outcome::Abandoned && !request.is_interrupted;
                is_there && has_ended && window.contains(&request.sent_at)
            };
            let counted: Vec<_> = observations.requests.iter().filter(is_counted).collect();
            let is_served = |request: &&&RequestRecord| {
                matches!(request.outcome, Outcome::Response { status: 200, is_whole: true, .. })
            };
            (counted.iter().filter(is_served).count(), counted.len())
        };
        let (served_before, sent_before) = count(before..from, None);
        let (served, sent) = count(from..to, Some(router));
        let served = if bug == Some(Bug::RefusalsInFunnel) { served / 2 } else { served };
        let has_enough = sent_before >= MIN_COMPARED && sent >= MIN_COMPARED;
        if has_enough && 4 * served * sent_before < 3 * served_before * sent {
            let details = format!(
                "router-{router} served {served} of {sent} from {from:?}, all routers \
                 {served_before} of {sent_before} before"
            );
            let guarantee = "a router that most callers reach serves them";
            violations.push(Violation::new(guarantee, details));
        }
    }
}

/// Returns whether no other unplanned fault and no stop of a router overlaps a cut.
fn is_alone(observations: &Observations, cut: &PartitionSpan) -> bool {
    let from = cut.from.saturating_sub(RECOVERY_TIME);
    let overlaps = |end: Option<Duration>, begin: Duration| {
        begin < cut.to && end.is_none_or(|end| end + RECOVERY_TIME > from)
    };
    observations.fault_spans.iter().enumerate().all(|(number, span)| {
        let is_harmless = number == cut.span || (span.is_planned && span.stopped_router.is_none());
        is_harmless || !overlaps(span.to, span.from)
    })
}

/// Checks that at most two requests of a router reach a replica between half a second after it
/// asked that router for rest and the end of the rest.
pub(super) fn check_rests(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    let routers = routers_by_request(observations);
    for asked in observations.arrivals.iter().filter(|arrival| arrival.asks_for_rest) {
        let Some(router) = routers.get(asked.id.as_str()) else { continue };
        // To simulate the bug, requests before the rest count as well.
        let backdating = if bug == Some(Bug::RequestsInRest) { 2 * REST } else { Duration::ZERO };
        let window = (asked.at + REST_GRACE).saturating_sub(backdating)..asked.at + REST;
        if !is_undisturbed_at(observations, *router, window.start, window.end) {
            continue;
        }
        let is_late = |arrival: &&Arrival| {
            arrival.upstream == asked.upstream
                && window.contains(&arrival.at)
                && routers.get(arrival.id.as_str()) == Some(router)
        };
        let count = observations.arrivals.iter().filter(is_late).count();
        if count > MAX_REQUESTS_IN_REST {
            let details = format!(
                "{} asked router-{router} for rest at {:?} and got {count} requests",
                asked.upstream, asked.at
            );
            violations.push(Violation::new("no requests to resting replicas", details));
        }
    }
}

/// Checks that a router which has passed on a response of a replica that says it is leaving sends
/// it no request later than the draining bound.
pub(super) fn check_leaving(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    let requests: HashMap<&str, &RequestRecord> =
        observations.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    for (upstream, since) in &observations.leaving_since {
        let mut known_at: HashMap<usize, Duration> = HashMap::new();
        let is_later = |arrival: &&Arrival| arrival.upstream == *upstream && arrival.at > *since;
        let arrivals = || observations.arrivals.iter().filter(is_later);
        for arrival in arrivals().filter(|arrival| arrival.has_run) {
            let Some(request) = requests.get(arrival.id.as_str()) else { continue };
            if matches!(request.outcome, Outcome::Response { status: 200, .. }) {
                let known_at = known_at.entry(request.router).or_insert(request.ended_at);
                *known_at = request.ended_at.min(*known_at);
            }
        }
        for arrival in arrivals() {
            let Some(request) = requests.get(arrival.id.as_str()) else { continue };
            let Some(known_at) = known_at.get(&request.router) else { continue };
            let bound = match bug {
                Some(Bug::RequestsWhileLeaving) => Duration::ZERO,
                _ => *known_at + DRAINING_BOUND,
            };
            let is_late = request.sent_at > bound;
            if is_late && is_undisturbed_at(observations, request.router, *since, arrival.at) {
                let details = format!(
                    "{} reached {upstream} from router-{}, which had passed on that it leaves",
                    arrival.id, request.router
                );
                violations.push(Violation::new("no requests to replicas known to leave", details));
            }
        }
    }
}

/// Returns the router of each request.
fn routers_by_request(observations: &Observations) -> HashMap<&str, usize> {
    observations.requests.iter().map(|request| (request.id.as_str(), request.router)).collect()
}

/// Returns whether no unplanned fault was active between two times or shortly before, and the
/// router was not restarted.
fn is_undisturbed_at(
    observations: &Observations,
    router: usize,
    from: Duration,
    to: Duration,
) -> bool {
    let is_restarted = observations.fault_spans.iter().any(|span| {
        span.stopped_router == Some(router)
            && span.from < to
            && span.from + STOP_GRACE + RECOVERY_TIME > from
    });
    !is_restarted && is_undisturbed(observations, from.saturating_sub(RECOVERY_TIME), to)
}
