//! Checks of requests whose replicas pause and go on.

use std::time::Duration;

use super::bounds::{RECOVERY_TIME, STOP_GRACE};
use super::bug::Bug;
use super::callers::has_reached_deadline;
use super::checks::{is_broken_off_by_replica, upstreams_of};
use super::record::{Observations, Outcome, RequestRecord};
use super::violation::{Violation, is_undisturbed};

/// Checks that no request which replicas run is given up while one of them pauses, unless a router
/// stops, the deadline is near, or an unplanned fault was active.
pub(super) fn check_pauses(
    observations: &Observations,
    bug: Option<Bug>,
    violations: &mut Vec<Violation>,
) {
    let is_near_pause = |request: &RequestRecord| {
        let mut pauses = observations.pauses.iter();
        pauses.any(|pause| request.sent_at < pause.to && request.ended_at > pause.from)
    };
    for request in observations.requests.iter().filter(|request| is_near_pause(request)) {
        let is_given_up = match &request.outcome {
            Outcome::Response { status: 200, is_whole, .. } => {
                let is_simulated = bug == Some(Bug::CutByPause) && request.kind.is_stream();
                !is_whole && !request.is_interrupted || is_simulated
            }
            Outcome::Response { status, .. } => [502, 504].contains(status),
            Outcome::NoResponse => !upstreams_of(observations, request).is_empty(),
            Outcome::Abandoned => false,
        };
        let elapsed = request.ended_at.saturating_sub(request.sent_at);
        let from = request.sent_at.saturating_sub(RECOVERY_TIME);
        let is_calm = is_undisturbed(observations, from, request.ended_at)
            && !is_at_stopping_router(observations, request);
        let is_sound =
            !has_reached_deadline(request) && !is_broken_off_by_replica(observations, request);
        if is_given_up && is_calm && is_sound {
            let upstreams = upstreams_of(observations, request);
            let details = format!(
                "{} ({:?}) at router-{}, sent at {:?}, ended {elapsed:?} later; reached {upstreams:?}: \
                 {:?}",
                request.id, request.kind, request.router, request.sent_at, request.outcome
            );
            violations.push(Violation::new("no request given up for a pause", details));
        }
    }
}

/// Returns whether the router of a request stopped while the request was in progress.
fn is_at_stopping_router(observations: &Observations, request: &RequestRecord) -> bool {
    observations.fault_spans.iter().any(|span| {
        let end = span.from + STOP_GRACE + Duration::from_secs(1);
        span.stopped_router == Some(request.router)
            && request.ended_at >= span.from
            && request.sent_at < end
    })
}
