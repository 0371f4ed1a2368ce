//! Whether a request is sent to the chosen replica or refused.
//!
//! Answers load beyond what replicas bear: what waits in them longer than callers aim at is answered
//! late, and delays what is still in time.

use std::time::Duration;

use super::{PlacementRequest, PlacementSettings};
use crate::upstream::{Member, Pool, Usual};
use crate::verdict::RefusalReason;

/// Part of what callers aim at that a request may wait for a slot. The same for every request of a
/// service: with less for some, these would never find a place under load.
const WAIT_SHARE: f64 = 0.15;

/// Returns why a service has no room for a request, whatever replica it would go to.
///
/// While nearly all slots are taken, callers that can still be answered in time go before those that
/// are late already.
pub(super) fn lacks_room(
    pool: &Pool,
    now: Duration,
    is_crowded: bool,
    request: &PlacementRequest<'_>,
) -> Option<RefusalReason> {
    if request.has_started {
        return None;
    }
    if is_crowded && request.is_late {
        return Some(RefusalReason::LateCaller);
    }
    pool.is_saturated(now, is_crowded).then_some(RefusalReason::Limited)
}

/// Tells whether a replica would not answer a request in time.
pub(super) fn is_too_late(
    pool: &Pool,
    member: &Member,
    now: Duration,
    request: &PlacementRequest<'_>,
    usual: &Usual,
    settings: &PlacementSettings,
) -> bool {
    if request.has_started {
        return false;
    }
    let longest = pool.target().map_or(request.remaining, |target| target.mul_f64(WAIT_SHARE));
    let wait = expected_wait(member, now, usual, settings);
    wait.is_some_and(|wait| wait > longest.min(request.remaining))
}

/// Returns the wait for a slot where all are taken; `None` where some is free, or too little is
/// known to refuse on.
fn expected_wait(
    member: &Member,
    now: Duration,
    usual: &Usual,
    settings: &PlacementSettings,
) -> Option<Duration> {
    let slots = f64::from(member.upstream.slots.max(1));
    let ahead = member.load.estimate(now, usual) + 1.0 - slots;
    if ahead <= 0.0 || !is_known(member, now, settings) {
        return None;
    }
    Some(member.mean_time?.mul_f64(ahead / slots))
}

/// Tells whether a report is known: without one the load is a guess from few requests, too coarse to
/// refuse on.
fn is_known(member: &Member, now: Duration, settings: &PlacementSettings) -> bool {
    member.load.foreign(now, settings.routers).is_some()
}
