//! Collects the load totals of a service's replicas and the first replicas in a key's order.
//!
//! A replica is eligible if it takes requests, is not cold, was not tried for the request and has the
//! version that the request needs, whatever its health. It is usable if it is neither ejected nor being probed. The candidates are
//! the replicas that the request may be sent to: those that are eligible and usable, or all eligible
//! ones if too few of these are usable.

use std::time::Duration;

use super::{PlacementRequest, rendezvous_score};
use crate::upstream::{AverageLoad, Member, PeerLoad, Pool, ServiceLoad};

/// Number of candidates that are kept from the start of a key's order. If none of these has room,
/// the search does not go further down the order.
const RANKED_REPLICAS: usize = 4;

/// The `N` members with the highest scores, highest score first.
struct TopScored<'a, const N: usize> {
    scores: [u64; N],
    members: [Option<&'a Member>; N],
}

impl<'a, const N: usize> TopScored<'a, N> {
    fn new() -> Self {
        Self { scores: [0; N], members: [None; N] }
    }

    /// Inserts a member if its score is among the `N` highest. A score of 0 stands for a request
    /// without a key and is never inserted.
    fn add(&mut self, score: u64, member: &'a Member) {
        if score <= self.scores[N - 1] {
            return;
        }
        let mut index = N - 1;
        while index > 0 && score > self.scores[index - 1] {
            self.scores[index] = self.scores[index - 1];
            self.members[index] = self.members[index - 1];
            index -= 1;
        }
        self.scores[index] = score;
        self.members[index] = Some(member);
    }

    fn iter(&self) -> impl Iterator<Item = &'a Member> + use<'a, '_, N> {
        self.members.iter().flatten().copied()
    }
}

/// The replicas that a request may be sent to (the candidates), with their load totals and the
/// first ones in the order of the request's key.
pub(super) struct Scan<'a> {
    pool: &'a Pool,
    now: Duration,
    request: &'a PlacementRequest<'a>,
    /// Affinity key of the request's prompt.
    key: Option<u64>,
    /// Whether replicas that are ejected or being probed are no candidates.
    excludes_unusable: bool,
    candidate_count: usize,
    /// Requests at the candidates: all of this router's, and those of other routers as reported,
    /// each multiplied by the weight of its report.
    known_requests: f64,
    /// Sum, over the candidates, of 1 minus the weight of the load report; a candidate without a
    /// recent report counts as 1.
    unreported_count: f64,
    /// Number of candidates whose latest load report came from another router.
    shared_report_count: usize,
    /// Total slots of the candidates.
    slots: u32,
    /// Number of replicas that are in service but get no requests: those that are cold, or whose zone
    /// is evacuated.
    idle_count: usize,
    /// Whether the first replica in the key's order is cold, and thus not a candidate.
    is_home_cold: bool,
    average_load: AverageLoad,
    /// First candidates in the key's order; empty without a key.
    ranked: TopScored<'a, RANKED_REPLICAS>,
    /// First replicas in the key's order from which the cached prompt can be copied. They may be
    /// draining or already tried, but not ejected, being probed, suspended, or without an answer
    /// since a restart. A second one is kept in case the first is itself chosen.
    holders: TopScored<'a, 2>,
}

impl<'a> Scan<'a> {
    /// Scans the replicas that the request may be sent to. Returns `None` if there are none.
    ///
    /// If less than half of the eligible replicas are usable, ejections and probes are ignored: a
    /// fault that seems to affect that many replicas at once is more likely elsewhere.
    pub(super) fn new(
        pool: &'a Pool,
        now: Duration,
        request: &'a PlacementRequest<'a>,
        key: Option<u64>,
        routers: u32,
    ) -> Option<Self> {
        let mut scan = Self {
            pool,
            now,
            request,
            key,
            excludes_unusable: true,
            candidate_count: 0,
            known_requests: 0.0,
            unreported_count: 0.0,
            shared_report_count: 0,
            slots: 0,
            idle_count: 0,
            is_home_cold: false,
            average_load: AverageLoad { peer_requests: 0.0, own_requests: 0.0, routers },
            ranked: TopScored::new(),
            holders: TopScored::new(),
        };
        let eligible_count = scan.scan_pool(routers);
        if scan.candidate_count * 2 < eligible_count {
            scan.excludes_unusable = false;
            scan.ranked = TopScored::new();
            scan.holders = TopScored::new();
            scan.scan_pool(routers);
        }
        (scan.candidate_count > 0).then_some(scan)
    }

    /// Collects the totals and the ranking of the candidates. Returns the number of eligible
    /// replicas.
    fn scan_pool(&mut self, routers: u32) -> usize {
        let (mut own, mut reported, mut weight_sum) = (0_u32, 0.0, 0.0);
        let (mut eligible_count, mut candidate_count, mut shared_report_count) = (0, 0, 0);
        let (mut slots, mut idle_count, mut best_cold_score) = (0_u32, 0, 0);
        for member in self.pool.members() {
            let score = self.key.map_or(0, |key| rendezvous_score(key, member.id_hash));
            let is_usable = member.health.is_usable(self.now);
            if is_usable && self.key.is_some() && !member.has_empty_cache && !member.is_suspended {
                self.holders.add(score, member);
            }
            if !is_available(member, self.request, self.now) {
                idle_count += usize::from(member.is_evacuated && member.is_in_service());
                continue;
            }
            if self.pool.cold_remaining(self.now, member).is_some() {
                idle_count += 1;
                best_cold_score = best_cold_score.max(score);
                continue;
            }
            eligible_count += 1;
            if self.excludes_unusable && !is_usable {
                continue;
            }
            candidate_count += 1;
            shared_report_count += usize::from(member.load.has_shared_report());
            own += member.load.own_requests();
            slots = slots.saturating_add(member.upstream.slots);
            if let Some(PeerLoad { requests, weight }) = member.load.peer_load(self.now, routers) {
                reported += requests * weight;
                weight_sum += weight;
            }
            self.ranked.add(score, member);
        }
        let own = f64::from(own);
        self.candidate_count = candidate_count;
        self.shared_report_count = shared_report_count;
        self.slots = slots;
        self.idle_count = idle_count;
        self.is_home_cold = best_cold_score > self.ranked.scores[0];
        self.known_requests = own + reported;
        self.unreported_count = candidate_count as f64 - weight_sum;
        // Without any report, the other routers have as many requests as they state, or are assumed
        // to have as many as this one each.
        // With reports, their mean is used instead: under the assumption alone, one request of this
        // router at a replica that has not reported recently would count as one from every router.
        let assumed = match self.pool.peer_requests(self.now) {
            Some(requests) => requests,
            None => own * f64::from(routers.saturating_sub(1)),
        } / candidate_count.max(1) as f64;
        self.average_load.own_requests = own / candidate_count.max(1) as f64;
        self.average_load.peer_requests =
            if weight_sum > 0.0 { reported / weight_sum } else { assumed };
        eligible_count
    }

    fn is_candidate(&self, member: &Member) -> bool {
        is_available(member, self.request, self.now)
            && self.pool.cold_remaining(self.now, member).is_none()
            && (!self.excludes_unusable || member.health.is_usable(self.now))
    }

    /// Returns the average load of the candidates, from which the load of a replica without a
    /// recent report is estimated.
    pub(super) fn average_load(&self) -> &AverageLoad {
        &self.average_load
    }

    /// Returns the estimated number of requests of all routers at the candidates.
    fn total_requests(&self) -> f64 {
        self.known_requests + self.unreported_count * self.average_load.peer_requests
    }

    /// Returns the estimated mean number of requests at a candidate.
    pub(super) fn mean_requests(&self) -> f64 {
        self.total_requests() / self.candidate_count as f64
    }

    /// Returns the estimated mean number of requests at a replica that is a candidate or idle.
    pub(super) fn mean_requests_with_idle(&self) -> f64 {
        self.total_requests() / (self.candidate_count + self.idle_count) as f64
    }

    /// Tells whether nearly all slots of the candidates are taken.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.service_load().is_nearly_full()
    }

    /// Returns the load of the candidates.
    pub(super) fn service_load(&self) -> ServiceLoad {
        ServiceLoad {
            own_requests: self.average_load.own_requests * self.candidate_count as f64,
            total_requests: self.total_requests(),
            slots: f64::from(self.slots),
            routers: f64::from(self.average_load.routers),
            is_brittle: self.pool.is_brittle(self.now),
            has_shared_reports: self.shared_report_count * 2 > self.candidate_count,
        }
    }

    /// Returns whether the first replica in the key's order was passed over because it is cold.
    pub(super) fn is_home_cold(&self) -> bool {
        self.is_home_cold
    }

    /// Returns the number of candidates.
    pub(super) fn candidate_count(&self) -> usize {
        self.candidate_count
    }

    /// Returns the candidates in the order of the pool.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &'a Member> {
        self.pool.members().iter().filter(|member| self.is_candidate(member))
    }

    /// Returns the first candidates in the key's order.
    pub(super) fn ranked(&self) -> impl Iterator<Item = &'a Member> {
        self.ranked.iter()
    }

    /// Returns the replica other than `chosen` that most likely has the prompt cached: the first in
    /// the key's order, even if it drains, or the second if the first was chosen.
    ///
    /// If the chosen replica is itself the first because it was added to the service recently, the
    /// second was the first before that, and may still have the prompt cached. Copying a cached
    /// prompt takes less of an engine's time than processing the prompt again.
    pub(super) fn holder(&self, chosen: &Member) -> Option<&'a Member> {
        self.holders.iter().find(|member| member.upstream.id != chosen.upstream.id)
    }
}

/// Tells whether a replica takes the request: it is neither draining nor resting, its zone is not
/// evacuated, its entry can be decoded, it was not tried for this request, and its version is one
/// that may go on with the stream. Ignores its health and whether it is cold.
pub(super) fn is_available(member: &Member, request: &PlacementRequest<'_>, now: Duration) -> bool {
    let is_available = member.takes_requests() && member.remaining_rest(now).is_none();
    let has_version = match request.version {
        Some(version) => *version == *member.upstream.version,
        None => !request.begins_stream || !member.is_unsettled,
    };
    let tried = request.tried;
    is_available && has_version && (tried.is_empty() || !tried.contains(&member.upstream.id))
}
