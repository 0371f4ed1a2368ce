//! Capacity of a service, by which an overloaded one is divided.

use std::time::Duration;

use super::Pool;
use crate::upstream::brittle_requests_per_slot;

/// Requests per slot that the division of an overloaded service admits. It is a fifth above what
/// routers have in progress by their own limits, which refuse the rest as loads change: with the
/// division alone to refuse, some slots stay unused.
const PLANNED_REQUESTS_PER_SLOT: f64 = 1.2;
/// The same for a service whose replicas do not report their load.
const PLANNED_REQUESTS_PER_SLOT_WITHOUT_REPORTS: f64 = 2.5;
/// Time for which a computed capacity is used: replicas come and go in seconds.
const CAPACITY_LIFETIME: Duration = Duration::from_millis(100);
/// Age up to which the requests in progress that other routers state are used: totals of a
/// service that is not loaded are up to 2.3 s old, and tell more of it than this router's own requests.
const MAX_PEER_REQUESTS_AGE: Duration = Duration::from_millis(2_500);

/// Requests that other routers have in progress at a service, as they state.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerRequests {
    count: f64,
    stated_at: Duration,
}

/// Capacity of a service at a clock reading.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    slots: f64,
    computed_at: Duration,
}

impl Pool {
    /// Returns the slots that the requests of all routers together may take: those of the replicas
    /// that take requests, times the requests per slot that are divided.
    pub fn capacity_slots(&mut self, now: Duration) -> f64 {
        let is_recent =
            |known: &Capacity| now.saturating_sub(known.computed_at) < CAPACITY_LIFETIME;
        if let Some(known) = self.capacity.filter(is_recent) {
            return known.slots;
        }
        let mut slots = 0.0;
        for member in self.usable(now) {
            let is_available = member.takes_requests() && member.remaining_rest(now).is_none();
            if !is_available || self.cold_remaining(now, member).is_some() {
                continue;
            }
            slots += f64::from(member.upstream.slots);
        }
        let requests_per_slot = if self.is_brittle(now) {
            brittle_requests_per_slot(self.members.iter().any(|m| m.load.has_shared_report()))
        } else if self.has_load_reports {
            PLANNED_REQUESTS_PER_SLOT
        } else {
            PLANNED_REQUESTS_PER_SLOT_WITHOUT_REPORTS
        };
        let slots = slots * requests_per_slot;
        self.capacity = Some(Capacity { slots, computed_at: now });
        slots
    }

    /// Returns the number of requests of this router at all replicas.
    pub fn own_requests(&self) -> u32 {
        self.members.iter().map(|member| member.load.own_requests()).sum()
    }

    /// Records how many requests routers have in progress, as they stated `age` ago: `counted` of the
    /// `routers` that this router knows of, itself included in both. The others are taken to have as
    /// many each.
    pub fn set_requests_in_progress(
        &mut self,
        now: Duration,
        requests: f64,
        counted: u32,
        routers: u32,
        age: Duration,
    ) {
        if counted < 2 {
            return;
        }
        let peers = f64::from(routers.max(counted) - 1) / f64::from(counted - 1);
        let count = (requests - f64::from(self.own_requests())).max(0.0) * peers;
        self.peer_requests = Some(PeerRequests { count, stated_at: now.saturating_sub(age) });
    }

    /// Returns how many requests other routers have in progress at a service that does not report
    /// its load; `None` if they did not state that recently.
    pub(crate) fn peer_requests(&self, now: Duration) -> Option<f64> {
        let is_recent =
            |known: &PeerRequests| now.saturating_sub(known.stated_at) <= MAX_PEER_REQUESTS_AGE;
        self.peer_requests.filter(is_recent).map(|known| known.count)
    }
}
