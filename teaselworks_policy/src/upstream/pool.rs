//! The replicas of one service, with their load and health.

mod capacity;
mod versions;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::membership::Membership;
use crate::placement::{Detours, RetryAfterSchedule};

use self::capacity::{Capacity, PeerRequests};
use super::{
    Brittleness, ColdBound, ConcurrencyLimit, EjectionChange, EvacuatedZones, Incarnation,
    LinkChange, LoadReport, Member, ObservationIndex, RequestOutcome, ServiceLink, ServiceLoad,
    SharedFailures, SharedLoad, SharedObservations, SlotShare, Upstream, VersionHistory,
};

/// Weight of the latest request in the exponential moving average of request times.
const LATEST_WEIGHT: f64 = 0.1;

/// Time for which this router's shares of the cold replicas are used before they are computed
/// again from the list of routers.
const COLD_SHARES_LIFETIME: Duration = Duration::from_millis(100);
/// Lower bound of the concurrency limit, as requests per slot over all routers together. It is
/// above 1 so that, beyond the requests that the replicas process, some wait for the next free
/// slot.
const MIN_REQUESTS_PER_SLOT: f64 = 1.3;
/// The same lower bound for a service whose replicas do not report their load: its requests are
/// spread less evenly over the replicas.
const MIN_REQUESTS_PER_SLOT_WITHOUT_REPORTS: f64 = 2.0;

/// Replicas of one service that take requests or still process some.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    /// Shortest target latency of the routes to the service.
    target_latency: Option<Duration>,
    /// Whether a replica of the service has ever reported its load.
    has_load_reports: bool,
    /// Limit that is derived from the waits of this router's own requests.
    concurrency_limit: ConcurrencyLimit,
    /// Limit that is derived from the load reports that routers share.
    slot_share: SlotShare,
    brittleness: Brittleness,
    /// Bound on the requests to a cold replica; `None` if cold replicas are like others.
    cold_bound: Option<ColdBound>,
    /// Clock reading at which this router's shares of the cold replicas were last computed.
    cold_shares_at: Option<Duration>,
    /// Software versions of the replicas, including those that were gone recently.
    versions: VersionHistory,
    /// Clock reading at which the software versions were last recorded.
    versions_at: Option<Duration>,
    /// Slots that requests of all routers may take, as last computed.
    capacity: Option<Capacity>,
    /// Requests that other routers have in progress, as they state.
    peer_requests: Option<PeerRequests>,
    /// This router's link to the replicas.
    link: ServiceLink,
    /// Schedule of the retries of callers that were refused.
    pub schedule: RetryAfterSchedule,
    /// Routers to forward requests through while the link is down.
    pub detours: Detours,
}

impl Pool {
    /// Adds a replica or updates its properties.
    ///
    /// When the replica has restarted, the state of its earlier incarnation is discarded.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use teaselworks_policy::upstream::{LoadReport, Pool, Upstream};
    ///
    /// let before = Upstream::example("i-1", "service");
    /// let started = Some(SystemTime::UNIX_EPOCH + Duration::from_secs(5));
    /// let after = Upstream { started, ..before.clone() };
    /// let mut pool = Pool::default();
    /// pool.put(before.clone());
    /// pool.put(after);
    /// let outdated = LoadReport { running: 9, waiting: 0 };
    /// pool.on_load_report(Duration::ZERO, &before.incarnation(), outdated);
    /// assert_eq!(pool.members()[0].load.report_age(Duration::ZERO), None);
    /// ```
    pub fn put(&mut self, upstream: Upstream) {
        let Some(member) = self.members.iter_mut().find(|member| member.upstream.id == upstream.id)
        else {
            let has_empty_cache = !upstream.cold_remaining.is_zero();
            self.members.push(Member::new(upstream, has_empty_cache));
            return;
        };
        if member.upstream.incarnation() == upstream.incarnation() {
            member.is_draining = upstream.is_draining;
            member.upstream = Arc::new(upstream);
            member.is_suspended = false;
            return;
        }
        *member = Member::new(upstream, true);
    }

    /// Sets the shortest target latency of the routes to the service.
    pub fn set_target_latency(&mut self, target_latency: Option<Duration>) {
        self.target_latency = target_latency;
    }

    /// Returns the shortest target latency of the routes to the service.
    pub fn target_latency(&self) -> Option<Duration> {
        self.target_latency
    }

    /// Returns whether this router has reached its concurrency limit for the service.
    ///
    /// For a service that reports its load, the limit applies only while nearly all slots are taken
    /// (`is_nearly_full`). The limit is multiplied by `headroom`.
    pub fn is_saturated(&self, now: Duration, is_nearly_full: bool, headroom: f64) -> bool {
        (is_nearly_full || !self.has_load_reports)
            && !self.concurrency_limit.allows_with_headroom(self.in_progress(now), headroom)
    }

    /// Returns whether this router has as many requests in progress as its share of the slots,
    /// multiplied by `headroom`.
    pub fn is_share_used(&self, load: &ServiceLoad, headroom: f64) -> bool {
        !self.slot_share.allows_with_headroom(load, headroom)
    }

    /// Records that a request was refused since this router's share of the slots was used.
    pub fn on_limited(&mut self, now: Duration, load: &ServiceLoad) {
        self.slot_share.on_limited(now, load);
    }

    /// Records the load of the service when a request is placed.
    pub fn on_placed(&mut self, now: Duration, load: &ServiceLoad) {
        self.slot_share.observe(now, load);
        self.schedule.on_placed(now);
    }

    /// Returns the number of requests of this router at usable replicas. Requests that wait at an
    /// ejected replica do not count towards the limit.
    fn in_progress(&self, now: Duration) -> u32 {
        self.usable(now).map(|member| member.load.own_requests()).sum()
    }

    /// Returns the replicas that are neither ejected nor being probed, including those that take no
    /// new requests.
    fn usable(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.health.is_usable(now))
    }

    /// Returns this router's link to the replicas.
    pub fn link(&self) -> &ServiceLink {
        &self.link
    }

    /// Records that data of an answer arrived from a replica.
    pub fn on_data(&mut self, now: Duration) {
        self.link.on_data(now);
    }

    /// Records whether a connection to a replica could be opened. Returns the change of the link.
    ///
    /// Ejections that began after the last contact with any replica end when the link goes down:
    /// the link, not the replicas, made their requests fail.
    pub fn on_connect(
        &mut self,
        now: Duration,
        replica: &Arc<str>,
        is_open: bool,
    ) -> Option<LinkChange> {
        if is_open {
            return self.link.on_connected(now);
        }
        let replicas = self.members.iter().filter(|member| member.takes_requests()).count();
        let change = self.link.on_connect_failed(now, replica, replicas)?;
        let contact_at = self.link.contact_at();
        for member in &mut self.members {
            member.health.forgive_since(contact_at);
        }
        Some(change)
    }

    /// Returns the replicas to open a connection to in order to find out whether the service can
    /// be reached.
    pub fn probes(&mut self, now: Duration, random: &mut impl Rng) -> Vec<Incarnation> {
        let count = self.link.probes_due(now);
        if count == 0 {
            return Vec::new();
        }
        let available: Vec<&Member> =
            self.members.iter().filter(|member| member.takes_requests()).collect();
        let probed = available.sample(random, count);
        probed.map(|member| member.upstream.incarnation()).collect()
    }

    /// Records how long a request waited for the first byte of its answer, in a fleet of `routers`
    /// routers.
    pub fn on_first_byte(&mut self, now: Duration, waited: Duration, routers: u32) {
        self.link.on_data(now);
        let Some(target_latency) = self.target_latency else { return };
        let slots: f64 = self.usable(now).map(|member| f64::from(member.upstream.slots)).sum();
        let requests_per_slot = if self.has_load_reports {
            MIN_REQUESTS_PER_SLOT
        } else {
            MIN_REQUESTS_PER_SLOT_WITHOUT_REPORTS
        };
        let min_limit = requests_per_slot * slots / f64::from(routers.max(1));
        let in_progress = self.in_progress(now);
        self.concurrency_limit.observe(now, waited, target_latency, in_progress, min_limit);
    }

    /// Sends no new requests to a replica until its entry in the list of upstreams can be
    /// decoded again.
    pub fn suspend(&mut self, id: &str) {
        if let Some(member) = self.find_mut(id) {
            member.is_suspended = true;
        }
    }

    /// Sends no new requests to a replica that is about to stop.
    pub fn set_draining(&mut self, id: &str) {
        if let Some(member) = self.find_mut(id) {
            member.is_draining = true;
        }
    }

    /// Sends no new requests to replicas in evacuated zones, and again to those in other zones.
    pub fn set_evacuated_zones(&mut self, zones: &EvacuatedZones) {
        for member in &mut self.members {
            member.is_evacuated = zones.contains(&member.upstream.zone);
        }
    }

    /// Sets the bound on the requests to a cold replica.
    pub fn set_cold_bound(&mut self, bound: Option<ColdBound>) {
        self.cold_bound = bound;
    }

    /// Records for how long a replica is still cold, as its latest entry says.
    pub fn set_cold_remaining(&mut self, now: Duration, id: &str, remaining: Duration) {
        if let Some(member) = self.find_mut(id) {
            member.cold.set_remaining(now, remaining);
        }
    }

    /// Records for how long a replica is still cold, as it says with an answer. Returns whether it
    /// was not known to be cold.
    pub fn on_cold(&mut self, now: Duration, id: &str, remaining: Duration) -> bool {
        let Some(member) = self.find_mut(id) else { return false };
        let was_cold = member.cold.remaining(now).is_some();
        member.cold.set_remaining(now, remaining);
        !was_cold && !remaining.is_zero()
    }

    /// Returns the time for which a replica is still cold; `None` if it is not cold, or if cold
    /// replicas of the service are like others.
    pub fn cold_remaining(&self, now: Duration, member: &Member) -> Option<Duration> {
        self.cold_bound.and_then(|_| member.cold.remaining(now))
    }

    /// Updates how many requests this router may send to each cold replica, unless that was done
    /// recently.
    pub fn update_cold_shares(&mut self, now: Duration, membership: &Membership) {
        let Some(bound) = self.cold_bound else { return };
        let is_recent = |at: Duration| now.saturating_sub(at) < COLD_SHARES_LIFETIME;
        if self.cold_shares_at.is_some_and(is_recent) {
            return;
        }
        self.cold_shares_at = Some(now);
        for member in &mut self.members {
            if member.cold.remaining(now).is_none() {
                continue;
            }
            let position = membership.cold_subset_position(now, member.id_hash);
            member.cold.set_share(position.map_or(0, |position| bound.share(position)));
        }
    }

    /// Returns whether some replica gets no requests only because its zone is evacuated.
    pub fn has_evacuated_replica(&self) -> bool {
        self.members.iter().any(|member| member.is_evacuated && member.is_in_service())
    }

    /// Sends no new requests to this incarnation of a replica, which has stated that it is leaving.
    /// Returns whether that was not known before.
    pub fn on_leaving(&mut self, id: &str) -> bool {
        self.find_mut(id).is_some_and(|member| !std::mem::replace(&mut member.is_leaving, true))
    }

    /// Removes a replica.
    pub fn remove(&mut self, id: &str) {
        self.members.retain(|member| &*member.upstream.id != id);
    }

    /// Returns the replicas.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Records that a replica wants no request from this router for the time `rest`.
    pub fn on_rest(&mut self, now: Duration, incarnation: &Incarnation, rest: Duration) {
        let Some(member) = self.find_incarnation(incarnation) else { return };
        member.resting_until = member.resting_until.max(now.checked_add(rest));
    }

    /// Records that the replicas say they are brittle. Returns whether that was not known before.
    pub fn on_brittle(&mut self, now: Duration, max_rejections: u32) -> bool {
        self.brittleness.on_stated(now, max_rejections)
    }

    /// Returns whether the replicas are brittle.
    pub fn is_brittle(&self, now: Duration) -> bool {
        self.brittleness.is_brittle(now)
    }

    /// Records that a replica rejected a request, in a fleet of `routers` routers. Returns the time
    /// for which it gets no other one from this router, if it is brittle.
    pub fn on_rejected(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        routers: u32,
    ) -> Option<Duration> {
        let backoff = self.brittleness.backoff(now, routers)?;
        self.on_rest(now, incarnation, backoff);
        Some(backoff)
    }

    /// Returns the time after which the first of the replicas that rest takes requests again.
    pub fn shortest_rest(&self, now: Duration) -> Option<Duration> {
        let available = self.members.iter().filter(|member| member.takes_requests());
        available.filter_map(|member| member.remaining_rest(now)).min()
    }

    /// Counts a request that is sent to a replica.
    pub fn begin_request(&mut self, now: Duration, incarnation: &Incarnation) {
        self.link.begin_request(now);
        let Some(member) = self.find_incarnation(incarnation) else { return };
        member.load.begin_request();
        member.cold.begin_request(now);
        member.health.begin_request(now);
    }

    /// Counts the end of a request that was in progress at the replica for the time `took`. Returns
    /// whether this ejects the replica.
    ///
    /// `outcome` is `None` if the request does not tell anything about the replica's health. The
    /// end of a request to an earlier incarnation is ignored.
    pub fn end_request(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        outcome: Option<RequestOutcome>,
        took: Duration,
    ) -> bool {
        self.link.end_request();
        if matches!(outcome, Some(RequestOutcome::Answered | RequestOutcome::Error)) {
            self.link.on_data(now);
        }
        let outcome = outcome.filter(|outcome| !self.is_due_to_link(*outcome));
        let mean_failure_rate = self.mean_failure_rate();
        let Some(member) = self.find_incarnation(incarnation) else { return false };
        member.load.end_request();
        match outcome {
            Some(RequestOutcome::Answered | RequestOutcome::Error) => member.reach.on_response(now),
            Some(RequestOutcome::NoAnswer) => member.reach.on_failed(now, now.saturating_sub(took)),
            None => {}
        }
        if outcome == Some(RequestOutcome::Answered) {
            member.has_empty_cache = false;
            let mean = member.mean_request_time.unwrap_or(took).as_secs_f64();
            let mean = mean + LATEST_WEIGHT * (took.as_secs_f64() - mean);
            member.mean_request_time = Some(Duration::from_secs_f64(mean));
        }
        match outcome {
            Some(outcome) => member.health.observe(now, outcome, mean_failure_rate),
            None => {
                member.health.end_without_outcome();
                false
            }
        }
    }

    /// Returns whether a request failed because the link is down, which says nothing about the
    /// replica.
    fn is_due_to_link(&self, outcome: RequestOutcome) -> bool {
        self.link.is_down() && outcome == RequestOutcome::NoAnswer
    }

    /// Returns the observations of the replicas that this router made or received later than the
    /// clock reading `after`. With `only_own`, leaves out those that it received from other
    /// routers.
    pub fn observations_after(
        &self,
        now: Duration,
        after: Duration,
        only_own: bool,
    ) -> SharedObservations {
        let mut observations = SharedObservations::default();
        let contact_at = self.link.contact_at().filter(|_| !self.link.is_down());
        for member in &self.members {
            let incarnation = member.incarnation_hash();
            if let Some((total, age)) = member.load.report_after(now, after, only_own) {
                observations.loads.push(SharedLoad { incarnation, total, age });
            }
            if let Some((count, age)) =
                member.reach.failures_after(now, after, only_own, contact_at)
            {
                observations.failures.push(SharedFailures { incarnation, count, age });
            }
        }
        observations
    }

    /// Applies the observations of another router. Returns the replicas that are ejected or
    /// readmitted because of them.
    pub fn apply_observations(
        &mut self,
        now: Duration,
        observations: &ObservationIndex,
    ) -> Vec<EjectionChange> {
        let mut changes = Vec::new();
        for member in &mut self.members {
            let hash = member.incarnation_hash();
            if let Some(load) = observations.loads.get(&hash) {
                self.has_load_reports = true;
                member.load.apply_shared_load(now, load.total, load.age);
                member.reach.on_response(now.saturating_sub(load.age));
            }
            let is_unresponsive = observations
                .failures
                .get(&hash)
                .is_some_and(|failures| member.reach.apply_shared_failures(now, failures));
            let has_changed = if is_unresponsive {
                member.health.eject_for_peer_failures(now)
            } else {
                member.reach.has_no_failure() && member.health.readmit()
            };
            if has_changed {
                changes.push(EjectionChange {
                    upstream: member.upstream.id.clone(),
                    is_ejected: is_unresponsive,
                });
            }
        }
        changes
    }

    /// Records a replica's load report. The load in a report of an earlier incarnation is ignored.
    pub fn on_load_report(&mut self, now: Duration, incarnation: &Incarnation, report: LoadReport) {
        self.has_load_reports = true;
        if let Some(member) = self.find_incarnation(incarnation) {
            member.load.on_load_report(now, report);
            member.reach.on_response(now);
        }
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| &*member.upstream.id == id)
    }

    fn find_incarnation(&mut self, incarnation: &Incarnation) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.upstream.has_incarnation(incarnation))
    }

    fn mean_failure_rate(&self) -> f64 {
        let total: f64 = self.members.iter().map(|member| member.health.failure_rate()).sum();
        total / self.members.len().max(1) as f64
    }
}
