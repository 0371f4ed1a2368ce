//! Checks the guarantees to callers against what was observed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use teaselworks_policy::retry::BudgetSettings;

use super::bounds::{
    CONFIGURATION_BOUND, DRAINING_BOUND, PROXY_LATENCY, RECOVERY_TIME, RETRY_RATIO, RETRY_SLACK,
    RETRY_WINDOW, SIGNAL_DELAY, STOP_GRACE, UNCERTAIN_TIME,
};
use super::bug::Bug;
use super::callers::has_reached_deadline;
use super::crash_checks::{check_crashing_parts, check_crashing_requests};
use super::fleet::SERVICES;
use super::link_checks::{check_cuts, check_funnels, check_leaving, check_rests};
use super::pause_checks::check_pauses;
use super::record::{Arrival, Observations, Outcome, Recorder, RequestRecord, VersionProbe};
use super::stream_checks::{check_origins, check_resumptions, check_streams};
use super::violation::{Violation, is_undisturbed};
use super::zone_checks::{check_cold_replicas, check_evacuations};

/// Time for which a response that was in progress may still follow an older configuration.
const IN_PROGRESS_SLACK: Duration = Duration::from_millis(250);
/// Checks every guarantee and returns the violations.
pub(super) fn check(recorder: &Recorder) -> Vec<Violation> {
    let observations = recorder.observations();
    let mut violations = Vec::new();
    check_runs(&observations, &mut violations);
    check_responses(&observations, &mut violations);
    check_rollbacks(&observations, &mut violations);
    check_versions(&observations, &mut violations);
    check_drains(&observations, recorder.simulated_bug, &mut violations);
    check_retries(&observations, &mut violations);
    check_planned_stops(&observations, recorder.simulated_bug, &mut violations);
    check_pauses(&observations, recorder.simulated_bug, &mut violations);
    check_cuts(&observations, recorder.simulated_bug, &mut violations);
    check_funnels(&observations, recorder.simulated_bug, &mut violations);
    check_rests(&observations, recorder.simulated_bug, &mut violations);
    check_leaving(&observations, recorder.simulated_bug, &mut violations);
    check_evacuations(&observations, &mut violations);
    check_cold_replicas(&observations, &mut violations);
    check_crashing_parts(&observations, recorder.simulated_bug, &mut violations);
    check_crashing_requests(&observations, recorder.simulated_bug, &mut violations);
    check_streams(&observations, &mut violations);
    check_origins(&observations, &mut violations);
    check_resumptions(&observations, &mut violations);
    for (router, at) in &observations.unexpected_exits {
        let details = format!("the process of router-{router} was found to have exited at {at:?}");
        violations.push(Violation::new("no unexpected exit of a router", details));
    }
    violations
}

/// Returns how many times replicas ran each request.
fn count_runs(observations: &Observations) -> HashMap<&str, usize> {
    let mut run_counts = HashMap::new();
    for arrival in observations.arrivals.iter().filter(|arrival| arrival.has_run) {
        *run_counts.entry(arrival.id.as_str()).or_default() += 1;
    }
    run_counts
}

/// Checks that no request runs more often than its route allows, and that no at-most-once request
/// has run whose response states that it did not.
fn check_runs(observations: &Observations, violations: &mut Vec<Violation>) {
    let run_counts = count_runs(observations);
    for request in &observations.requests {
        let RequestRecord { id, kind, outcome, .. } = request;
        let count = run_counts.get(id.as_str()).copied().unwrap_or(0);
        if count > kind.max_runs() {
            violations
                .push(Violation::new("at most once", format!("{id} ({kind:?}) ran {count} times")));
        }
        let Outcome::Response { status, .. } = outcome else { continue };
        if [408, 421, 429, 503].contains(status) && count > 0 && kind.max_runs() == 1 {
            let details = format!("{id} ({kind:?}) was refused with status {status} and ran");
            violations.push(Violation::new("refused requests do not run", details));
        }
    }
}

/// Checks that successful responses belong to their request.
fn check_responses(observations: &Observations, violations: &mut Vec<Violation>) {
    for RequestRecord { id, kind, outcome, .. } in &observations.requests {
        if matches!(outcome, Outcome::Response { status: 200, is_own: false, .. }) {
            let details = format!("{id} ({kind:?}) got a response that is not its own");
            violations.push(Violation::new("complete and matching responses", details));
        }
    }
}

/// Checks that a router process that has used a version of the configuration never goes back to an
/// older one.
fn check_rollbacks(observations: &Observations, violations: &mut Vec<Violation>) {
    for earlier in observations.version_probes.iter().filter(|probe| probe.is_known) {
        let is_rollback = |probe: &&VersionProbe| {
            probe.router == earlier.router
                && probe.restart_count == earlier.restart_count
                && probe.sent_at > earlier.ended_at + IN_PROGRESS_SLACK
                && probe.version <= earlier.version
                && !probe.is_known
        };
        if let Some(later) = observations.version_probes.iter().find(is_rollback) {
            let details = format!(
                "router-{} had configuration version {} at {:?} and not version {} at {:?}",
                earlier.router, earlier.version, earlier.ended_at, later.version, later.sent_at
            );
            violations.push(Violation::new("no configuration rollback", details));
            return;
        }
    }
}

/// Checks that each version of the configuration is in force at every router in time, unless an unplanned
/// fault could have kept it away.
fn check_versions(observations: &Observations, violations: &mut Vec<Violation>) {
    for probe in observations.version_probes.iter().filter(|probe| !probe.is_known) {
        let Some((_, at)) = observations.published.iter().find(|(v, _)| *v == probe.version) else {
            continue;
        };
        let is_late = probe.sent_at > *at + CONFIGURATION_BOUND + PROXY_LATENCY;
        if is_late && is_undisturbed(observations, *at, probe.sent_at) {
            let details = format!(
                "router-{} lacked version {} at {:?}, published at {at:?}",
                probe.router, probe.version, probe.sent_at
            );
            violations.push(Violation::new("new configurations reach routers", details));
        }
    }
}

/// Checks that a draining replica gets no requests after the draining bound, unless an unplanned
/// fault could have kept routers from learning that it drains.
fn check_drains(observations: &Observations, bug: Option<Bug>, violations: &mut Vec<Violation>) {
    for (upstream, listed_at) in &observations.draining_since {
        let bound = match bug {
            Some(Bug::RequestsAfterDrain) => Duration::ZERO,
            _ => *listed_at + DRAINING_BOUND + PROXY_LATENCY,
        };
        let is_late = |arrival: &&Arrival| arrival.upstream == *upstream && arrival.at > bound;
        for arrival in observations.arrivals.iter().filter(is_late) {
            if is_undisturbed(observations, listed_at.saturating_sub(RECOVERY_TIME), arrival.at) {
                let details = format!(
                    "{} reached {upstream} {:?} after it was listed as draining",
                    arrival.id,
                    arrival.at.saturating_sub(*listed_at)
                );
                violations.push(Violation::new("no new requests to draining replicas", details));
            }
        }
    }
}

/// Checks for each service that the retries of all routers in any window stay within the retry
/// budget. Its requests are those that callers sent, whether they arrived or not.
fn check_retries(observations: &Observations, violations: &mut Vec<Violation>) {
    for service in SERVICES {
        let is_for_service = |request: &&RequestRecord| {
            observations.targets(request).iter().any(|services| services.contains(&service))
        };
        let sent = observations.requests.iter().filter(is_for_service);
        let mut requests: Vec<Duration> = sent.clone().map(|request| request.sent_at).collect();
        let mut seen_ids = HashSet::new();
        let sent_ids: HashSet<&str> = sent.map(|request| request.id.as_str()).collect();
        let mut retries = Vec::new();
        let is_at_service = |arrival: &&Arrival| arrival.upstream.starts_with(service);
        for arrival in observations.arrivals.iter().filter(is_at_service) {
            if !seen_ids.insert(arrival.id.as_str()) {
                retries.push(arrival.at);
            } else if !sent_ids.contains(arrival.id.as_str()) {
                // Of a probe, or of a caller that had not ended when the soak did.
                requests.push(arrival.at);
            }
        }
        requests.sort_unstable();
        let budget = BudgetSettings {
            ratio: RETRY_RATIO,
            slack: f64::from(RETRY_SLACK),
            window: RETRY_WINDOW,
        };
        if let Some(excess) = budget.first_excess(&requests, &retries) {
            violations.push(Violation::new("retry budget", format!("at {service}: {excess}")));
        }
    }
}

/// Returns whether a replica that the request reached was removed while the request was in progress.
pub(super) fn is_broken_off_by_replica(
    observations: &Observations,
    request: &RequestRecord,
) -> bool {
    let in_progress = request.sent_at..=request.ended_at;
    let mut removals = observations.removals.iter().filter(|(_, at)| in_progress.contains(at));
    let upstreams = upstreams_of(observations, request);
    removals.any(|(removed, _)| upstreams.contains(&removed.as_str()))
}

/// Returns the replicas that a request reached.
pub(super) fn upstreams_of<'a>(
    observations: &'a Observations,
    request: &RequestRecord,
) -> Vec<&'a str> {
    let arrivals = observations.arrivals.iter().filter(|arrival| arrival.id == request.id);
    arrivals.map(|arrival| arrival.upstream.as_str()).collect()
}

/// Checks that a planned stop of a router cuts no request that a replica runs, unless an unplanned
/// fault was active at the time.
fn check_planned_stops(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    let run_counts = count_runs(observations);
    let stops = observations
        .fault_spans
        .iter()
        .filter_map(|span| span.stopped_router.map(|router| (router, span)));
    for (router, stop) in stops {
        let end = stop.from + STOP_GRACE + Duration::from_secs(1);
        for request in observations.requests.iter().filter(|request| request.router == router) {
            let is_during_stop = request.ended_at >= stop.from && request.sent_at < end;
            let has_run = run_counts.contains_key(request.id.as_str());
            let is_cut = match &request.outcome {
                Outcome::NoResponse => has_run,
                Outcome::Response { is_whole, .. } => {
                    let is_cut = !is_whole && !request.is_interrupted;
                    is_cut || bug == Some(Bug::CutByStop)
                }
                Outcome::Abandoned => false,
            };
            let from = request.sent_at.saturating_sub(RECOVERY_TIME);
            let is_late = request.sent_at > stop.from + UNCERTAIN_TIME;
            // The replica was still at work in the last sixth of the grace period.
            let is_allowed = !is_late && request.ended_at >= stop.from + STOP_GRACE * 5 / 6;
            let since_uncertain = request.sent_at.saturating_sub(stop.from + UNCERTAIN_TIME);
            let is_simulated = match bug {
                Some(Bug::LateStreamCutByStop) => is_late,
                Some(Bug::SignalDelayIgnored) => is_late && since_uncertain < SIGNAL_DELAY,
                _ => false,
            };
            let is_cut = is_simulated || is_cut && !is_allowed && !has_reached_deadline(request);
            let is_cut_by_stop = is_cut && !is_broken_off_by_replica(observations, request);
            let is_calm = is_undisturbed(observations, from, request.ended_at);
            if is_during_stop && is_cut_by_stop && is_calm {
                let upstreams = upstreams_of(observations, request);
                let details = format!(
                    "{} ({:?}) at router-{router}, sent {:?} after the stop of the router began at \
                     {:?}, ended {:?} later; reached {upstreams:?}: {:?}",
                    request.id,
                    request.kind,
                    request.sent_at.saturating_sub(stop.from),
                    stop.from,
                    request.ended_at - request.sent_at,
                    request.outcome
                );
                violations.push(Violation::new("no request cut by a planned stop", details));
            }
        }
    }
}
