//! Decides whether a request is sent to the chosen replica or refused.
//!
//! Under overload, requests that queue in a replica for too long are answered after the target
//! latency of their callers, and delay requests that could still be answered in time.

use std::time::Duration;

use super::scan::Scan;
use super::{PlacementRequest, PlacementSettings};
use crate::shares::Admission;
use crate::upstream::{AverageLoad, Member, Pool, brittle_requests_per_slot};
use crate::verdict::RefusalReason;

/// Share of the target latency that a request may wait for a slot. It is the same for every request
/// of a service: requests with a smaller share would never be placed under load.
const MAX_WAIT_SHARE: f64 = 0.15;
/// Factor on this router's limits for classes of which all requests are admitted at an overloaded
/// service. Requests of less urgent ranks, which make room for them, still hold slots for a while.
const URGENT_HEADROOM: f64 = 1.25;

/// Returns the reason to refuse a request whichever replica it would go to, or `None` to admit it.
///
/// While nearly all slots of the service are taken, callers that can still be answered in time have
/// priority over late callers, which were probably refused before and are retrying. A router that
/// gets the loads from other routers keeps to its share of the slots, others to their concurrency
/// limit. A request that has started is always admitted. Where the plan of an overloaded service
/// admitted the request, it has decided on late callers as well.
pub(super) fn service_refusal(
    pool: &Pool,
    now: Duration,
    scan: &Scan<'_>,
    request: &PlacementRequest<'_>,
) -> Option<RefusalReason> {
    if request.has_started {
        return None;
    }
    let load = scan.service_load();
    let headroom = match request.admission {
        Admission::Planned { is_marginal: false, .. } => URGENT_HEADROOM,
        Admission::Planned { is_marginal: true, .. } => 1.0,
        Admission::Normal | Admission::Refused(_) => {
            if load.is_nearly_full() && request.is_late {
                return Some(RefusalReason::LateCaller);
            }
            1.0
        }
    };
    let is_limited = if load.has_shared_reports {
        pool.is_share_used(&load, headroom)
    } else {
        pool.is_saturated(now, load.is_nearly_full(), headroom)
    };
    is_limited.then_some(RefusalReason::Limited)
}

/// Tells whether a request would wait at the replica for longer than it may.
///
/// At a brittle replica it may not wait at all: few others may, and the replica falls over if it
/// rejects too many. Elsewhere it may wait for a share of the service's target latency, and never beyond its deadline. A
/// request that has started may wait at any replica.
pub(super) fn exceeds_max_wait(
    pool: &Pool,
    member: &Member,
    now: Duration,
    request: &PlacementRequest<'_>,
    average_load: &AverageLoad,
    settings: &PlacementSettings,
) -> bool {
    if request.has_started {
        return false;
    }
    if pool.is_brittle(now) {
        let per_slot = brittle_requests_per_slot(member.load.has_shared_report());
        let limit = per_slot * f64::from(member.upstream.slots);
        return member.load.estimate(now, average_load) + 1.0 > limit.max(1.0);
    }
    let max_wait = pool
        .target_latency()
        .map_or(request.remaining, |target_latency| target_latency.mul_f64(MAX_WAIT_SHARE));
    let wait = expected_wait(member, now, average_load, settings);
    // Engines order their queues by priority: less urgent requests are not ahead.
    let ahead_share = match request.admission {
        Admission::Planned { ahead_share, .. } => ahead_share,
        Admission::Normal | Admission::Refused(_) => 1.0,
    };
    wait.is_some_and(|wait| wait.mul_f64(ahead_share) > max_wait.min(request.remaining))
}

/// Returns the expected wait for a slot of the replica. Returns `None` if a slot is free, or if too
/// little is known about the replica to refuse a request.
fn expected_wait(
    member: &Member,
    now: Duration,
    average_load: &AverageLoad,
    settings: &PlacementSettings,
) -> Option<Duration> {
    let slots = f64::from(member.upstream.slots.max(1));
    let requests_ahead = member.load.estimate(now, average_load) + 1.0 - slots;
    if requests_ahead <= 0.0 || !has_current_report(member, now, settings) {
        return None;
    }
    Some(member.mean_request_time?.mul_f64(requests_ahead / slots))
}

/// Tells whether the replica's last load report is recent enough to be used.
///
/// Without such a report, the load is extrapolated from few requests, which is too inaccurate to
/// refuse a request.
fn has_current_report(member: &Member, now: Duration, settings: &PlacementSettings) -> bool {
    member.load.peer_load(now, settings.routers).is_some()
}
