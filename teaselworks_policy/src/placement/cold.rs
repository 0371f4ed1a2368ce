//! Chooses among cold replicas when no other replica takes a request: after a restart of many
//! replicas, or of all, their room is the only one there is.

use std::time::Duration;

use super::request::Choice;
use super::scan::is_available;
use super::{PlacementReason, PlacementRequest, PlacementSettings, rendezvous_score};
use crate::upstream::{AverageLoad, Member, Pool};

/// Chooses a cold replica that has room for another request of this router. Of several, chooses the
/// first in the order of the request's `key`, so that its prompt is read once, or, without a key,
/// the one with the most room.
pub(super) fn choose_cold<'a>(
    pool: &'a Pool,
    now: Duration,
    request: &PlacementRequest<'_>,
    key: Option<u64>,
    settings: &PlacementSettings,
) -> Option<Choice<'a>> {
    // Other replicas say nothing about the load of a cold one, which few routers send requests to.
    let no_load = AverageLoad { peer_requests: 0.0, own_requests: 0.0, routers: settings.routers };
    let has_room = |member: &&Member| {
        is_available(member, request, now)
            && pool.cold_remaining(now, member).is_some()
            && member.health.is_usable(now)
            && member.cold.room(now) > 0
            && member.load.estimate(now, &no_load) < f64::from(member.upstream.slots)
    };
    let preference = |member: &&Member| match key {
        Some(key) => rendezvous_score(key, member.id_hash),
        None => u64::from(member.cold.room(now)),
    };
    let member = pool.members().iter().filter(has_room).max_by_key(preference)?;
    let load = member.load.estimate(now, &no_load);
    Some(Choice { member, reason: PlacementReason::ColdRoom, load, bound: f64::INFINITY })
}

/// Returns the shortest time for which a replica that would take the request, had it not been tried,
/// is still cold.
pub(super) fn shortest_cold(
    pool: &Pool,
    now: Duration,
    request: &PlacementRequest<'_>,
) -> Option<Duration> {
    let untried = PlacementRequest { tried: &[], ..*request };
    let available = pool.members().iter().filter(|member| is_available(member, &untried, now));
    available.filter_map(|member| pool.cold_remaining(now, member)).min()
}
