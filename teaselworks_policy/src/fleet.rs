//! The state that one router keeps about the fleet, and the routing decisions based on it.
//!
//! A replica is one upstream of a service. Several routers serve the same replicas, so a router
//! observes the load and health of a replica only through its own requests, from the replica's load
//! reports and from what other routers share.

mod callers;
mod crashes;
mod demand;
mod engine_priority;
mod list_age;
mod retries;
mod settings;
mod shares;
mod stop;
mod streams;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::configuration::Configuration;
use crate::crash::CrashLedger;
use crate::deadline::DeadlineBaselines;
use crate::demand::DemandEstimator;
use crate::durations::RouteDurations;
use crate::membership::Membership;
use crate::origin_memory::OriginMemory;
use crate::placement::{Placement, PlacementRequest, PlacementSettings, Refused, try_place};
use crate::retry::RetryBudget;
use crate::shares::{Admission, Shares};
use crate::stream_origin::StreamOrigins;
use crate::upstream::{
    Change, ColdBound, ConnectTimes, EjectionChange, EvacuatedZones, EvacuationChange, Incarnation,
    LinkChange, LoadReport, ObservationIndex, Pool, RequestOutcome, SharedObservations, Upstream,
};
use crate::verdict::{Refusal, RefusalReason};

pub use self::callers::CallerRequest;
pub use self::settings::FleetSettings;
pub use self::stop::StoppingRequest;

/// Retry-after time for a service without a pool: none of its replicas has been listed yet.
const NO_POOL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// One router's view of the fleet, and the state from which it makes its decisions.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    configuration: Option<Arc<Configuration>>,
    pools: HashMap<Arc<str>, Pool>,
    evacuated_zones: EvacuatedZones,
    budget: RetryBudget,
    durations: RouteDurations,
    deadlines: DeadlineBaselines,
    /// Ranks that requests may have by the active configuration, the most urgent first.
    ranks: Vec<u8>,
    /// Slot time that requests are expected to take.
    demand: DemandEstimator,
    /// Division of overloaded services between ranks and workspaces.
    shares: Shares,
    random: Pcg32,
    /// How long it takes to open connections to replicas.
    pub connect_times: ConnectTimes,
    /// The other routers of the fleet.
    pub membership: Membership,
    /// Where resumable streams began.
    pub stream_origins: StreamOrigins,
    /// Where streams can have begun that no router tells the origin of.
    pub origin_memory: OriginMemory,
    /// Parts of prompts that may crash replicas.
    pub crashes: CrashLedger,
    /// Clock reading at which the list of upstreams and routers was last known to be complete.
    list_confirmed_at: Option<Duration>,
    /// Clock reading since which no router that used a part of the retry slack can have come and
    /// gone unnoticed.
    list_complete_since: Option<Duration>,
}

impl Fleet {
    /// Creates the state of a router that has no configuration and no replicas yet; `seed` seeds
    /// its random choices.
    pub fn new(settings: FleetSettings, membership: Membership, seed: u64) -> Self {
        Self {
            settings,
            configuration: None,
            pools: HashMap::new(),
            evacuated_zones: EvacuatedZones::default(),
            budget: RetryBudget::new(settings.budget),
            durations: RouteDurations::default(),
            deadlines: DeadlineBaselines::default(),
            ranks: Vec::new(),
            demand: DemandEstimator::default(),
            shares: Shares::new(settings.shares),
            random: Pcg32::seed_from_u64(seed),
            connect_times: ConnectTimes::default(),
            membership,
            stream_origins: StreamOrigins::default(),
            origin_memory: OriginMemory::default(),
            crashes: CrashLedger::default(),
            list_confirmed_at: None,
            list_complete_since: None,
        }
    }

    /// Replaces the bounds on load and retries.
    pub fn set_settings(&mut self, settings: FleetSettings) {
        self.settings = settings;
        self.budget.set_settings(settings.budget);
        self.shares.set_settings(settings.shares);
        self.update_service_properties();
    }

    /// Returns the active configuration, if one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Activates a configuration; returns false, and changes nothing, if the active one has the
    /// same or a higher version.
    ///
    /// Another router or a delayed response of the store may deliver an older configuration.
    pub fn set_configuration(&mut self, now: Duration, configuration: Configuration) -> bool {
        let active_version = self.configuration.as_ref().map(|configuration| configuration.version);
        if active_version.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.remember_routes(now, &configuration);
        self.durations.retain(&configuration.routes);
        self.deadlines.retain(&configuration.routes);
        self.demand.retain(&configuration.routes);
        self.ranks = engine_priority::ranks(&configuration);
        self.retain_shares(&configuration);
        self.configuration = Some(Arc::new(configuration));
        self.update_service_properties();
        true
    }

    /// Sets the properties of each pool that follow from the active configuration and the settings.
    fn update_service_properties(&mut self) {
        let Some(configuration) = &self.configuration else { return };
        for (service, pool) in &mut self.pools {
            pool.set_target_latency(configuration.routes.shortest_target_latency(service));
            pool.set_cold_bound(cold_bound(configuration, service, &self.settings));
        }
    }

    /// Applies a change in the list of upstreams to the pools. A replica whose entry is missing
    /// stays in use until it is gone, and an entry of an earlier start of a replica is ignored.
    pub fn apply(&mut self, now: Duration, change: &Change) {
        match change {
            Change::Serving(upstream) | Change::Restarted(upstream) => {
                self.put_replica(now, upstream);
            }
            Change::Suspended(id) => self.pools.values_mut().for_each(|pool| pool.suspend(id)),
            Change::Draining(id) => self.pools.values_mut().for_each(|pool| pool.set_draining(id)),
            Change::Missing(_) | Change::Stale(_) => {}
            Change::Gone(id) => {
                let settling = self.settings.version_settling();
                for pool in self.pools.values_mut() {
                    pool.update_versions(now, settling);
                    pool.remove(id);
                }
            }
        }
    }

    /// Adds or updates a replica in the pool of its service, and removes it from other pools in
    /// case its service has changed.
    fn put_replica(&mut self, now: Duration, upstream: &Upstream) {
        for (service, pool) in &mut self.pools {
            if *service != upstream.service {
                pool.remove(&upstream.id);
            }
        }
        let service = &upstream.service;
        let pool = self.pools.entry(service.clone()).or_default();
        if let Some(configuration) = &self.configuration {
            pool.set_target_latency(configuration.routes.shortest_target_latency(service));
            pool.set_cold_bound(cold_bound(configuration, service, &self.settings));
        }
        pool.put(upstream.clone());
        let recorded = self.origin_memory.recorded();
        pool.set_recorded_versions(recorded.and_then(|recorded| recorded.versions.get(service)));
        pool.set_cold_remaining(now, &upstream.id, upstream.cold_remaining);
        pool.set_evacuated_zones(&self.evacuated_zones);
        pool.update_versions(now, self.settings.version_settling());
    }

    /// Applies a change of the evacuated zones. Returns the changes that this router did not know
    /// of.
    ///
    /// Requests in progress go on, and replicas of an evacuated zone remain holders of prompts.
    pub fn update_evacuations<C: IntoIterator<Item = EvacuationChange>>(
        &mut self,
        update: impl FnOnce(&mut EvacuatedZones) -> C,
    ) -> Vec<EvacuationChange> {
        let changes: Vec<EvacuationChange> =
            update(&mut self.evacuated_zones).into_iter().collect();
        if !changes.is_empty() {
            for pool in self.pools.values_mut() {
                pool.set_evacuated_zones(&self.evacuated_zones);
            }
        }
        changes
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> &EvacuatedZones {
        &self.evacuated_zones
    }

    /// Returns whether requests can be served: a configuration is active, and at least one of its
    /// services has a replica.
    pub fn is_ready(&self) -> bool {
        let Some(configuration) = &self.configuration else { return false };
        let mut services = configuration.services.keys();
        services.any(|name| self.pool(name).is_some_and(|pool| !pool.members().is_empty()))
    }

    /// Returns the pool of a service's replicas.
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Chooses a replica for a request and counts the request as in progress there, until
    /// [`Fleet::on_attempt_end`] is called.
    pub fn place(
        &mut self,
        now: Duration,
        service: &str,
        request: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        if let Some(refusal) = self.blocked_refusal(now, request) {
            return Err(refusal);
        }
        let admission = self.admit(now, service, request);
        let request = &PlacementRequest { admission, ..*request };
        let settings = PlacementSettings {
            load_factor: self.settings.load_factor,
            routers: self.membership.live_count(),
        };
        let Some(pool) = self.pools.get_mut(service) else {
            return Err(Refusal::not_run(RefusalReason::NoReplica, Some(NO_POOL_RETRY_AFTER)));
        };
        pool.update_cold_shares(now, &self.membership);
        pool.refresh_versions(now, self.settings.version_settling());
        let placed = match admission {
            Admission::Refused(reason) => {
                Err(Refused { refusal: Refusal::not_run(reason, None), service_load: None })
            }
            Admission::Normal | Admission::Planned { .. } => {
                try_place(pool, now, request, &settings, &mut self.random)
            }
        };
        let refusal = match placed {
            Ok(placement) => {
                pool.on_placed(now, &placement.service_load);
                pool.begin_request(now, &placement.upstream.incarnation());
                return Ok(placement);
            }
            Err(Refused { refusal, service_load }) => {
                if let (RefusalReason::Limited, Some(load)) = (refusal.reason, service_load) {
                    pool.on_limited(now, &load);
                }
                refusal
            }
        };
        if refusal.reason.is_overload() {
            let retry_after =
                pool.schedule.next_retry_after(now, request.max_retry_after, &mut self.random);
            return Err(Refusal { retry_after: Some(retry_after), ..refusal });
        }
        if refusal.reason == RefusalReason::Cold {
            pool.schedule.on_refused(now);
        }
        Err(refusal)
    }

    /// Records the load that a replica reports.
    pub fn on_load_report(
        &mut self,
        now: Duration,
        service: &str,
        incarnation: &Incarnation,
        report: LoadReport,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_load_report(now, incarnation, report);
        }
    }

    /// Returns the load reports and failures of replicas that this router learned of later than the
    /// clock reading `after`, to send to other routers; `only_own` leaves out those learned from
    /// other routers.
    pub fn observations_after(
        &self,
        now: Duration,
        after: Duration,
        only_own: bool,
    ) -> SharedObservations {
        let mut observations = SharedObservations::default();
        for pool in self.pools.values() {
            observations.extend(pool.observations_after(now, after, only_own));
        }
        observations
    }

    /// Merges the load reports and failures of replicas that another router sent; returns the
    /// replicas that are ejected or readmitted because of them.
    ///
    /// In a fleet of many routers and many replicas, a single router sends requests to any one
    /// replica too rarely to know its state from its own requests.
    pub fn apply_observations(
        &mut self,
        now: Duration,
        observations: &SharedObservations,
    ) -> Vec<EjectionChange> {
        if observations.is_empty() {
            return Vec::new();
        }
        let received = ObservationIndex::from(observations);
        self.pools.values_mut().flat_map(|pool| pool.apply_observations(now, &received)).collect()
    }

    /// Records the end of an attempt that was in progress at a replica for the time `took`; returns
    /// whether the replica is ejected because of its `outcome`.
    pub fn on_attempt_end(
        &mut self,
        now: Duration,
        service: &str,
        incarnation: &Incarnation,
        outcome: Option<RequestOutcome>,
        took: Duration,
    ) -> bool {
        self.pools
            .get_mut(service)
            .is_some_and(|pool| pool.end_request(now, incarnation, outcome, took))
    }

    /// Reserves a retry time for a caller whose request the replicas rejected; returns the time
    /// after which it should retry, at most `max_retry_after`.
    pub fn schedule_retry_after(
        &mut self,
        now: Duration,
        service: &str,
        max_retry_after: Duration,
    ) -> Duration {
        match self.pools.get_mut(service) {
            Some(pool) => pool.schedule.next_retry_after(now, max_retry_after, &mut self.random),
            None => NO_POOL_RETRY_AFTER.min(max_retry_after),
        }
    }

    /// Returns whether requests for a service have to be forwarded through another router: no
    /// connection to a replica can be opened, and open ones carry no data.
    pub fn needs_detour(&self, now: Duration, service: &str) -> bool {
        self.pool(service).is_some_and(|pool| pool.link().is_down() && pool.link().is_silent(now))
    }

    /// Returns whether no new connection to a replica of a service can be opened.
    pub fn is_link_down(&self, service: &str) -> bool {
        self.pool(service).is_some_and(|pool| pool.link().is_down())
    }

    /// Chooses another router to forward a request for a service through; `None` if there is none,
    /// or each was recently not able to serve such a request.
    pub fn choose_detour(&mut self, now: Duration, service: &str) -> Option<SocketAddr> {
        let pool = self.pools.get(service)?;
        pool.detours.choose(now, &self.membership.listed_addresses(), &mut self.random)
    }

    /// Records that a router did not run a request for a service that was forwarded to it.
    pub fn on_detour_unavailable(&mut self, now: Duration, service: &str, router: SocketAddr) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.detours.on_unavailable(now, router);
        }
    }

    /// Records whether a connection to a replica could be opened. Returns the change of this
    /// router's link to the service.
    pub fn on_connect(
        &mut self,
        now: Duration,
        service: &str,
        replica: &Arc<str>,
        is_open: bool,
    ) -> Option<LinkChange> {
        self.pools.get_mut(service)?.on_connect(now, replica, is_open)
    }

    /// Records that a replica wants no request from this router for the time `rest`.
    pub fn on_rest(
        &mut self,
        now: Duration,
        service: &str,
        incarnation: &Incarnation,
        rest: Duration,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_rest(now, incarnation, rest);
        }
    }

    /// Records that a replica has said with an answer that it is leaving. Returns whether that was
    /// not known before.
    pub fn on_leaving(&mut self, service: &str, id: &str) -> bool {
        self.pools.get_mut(service).is_some_and(|pool| pool.on_leaving(id))
    }

    /// Records that a replica has said with an answer for how long it is still cold. Returns whether
    /// it was not known to be cold.
    pub fn on_cold(&mut self, now: Duration, service: &str, id: &str, remaining: Duration) -> bool {
        self.pools.get_mut(service).is_some_and(|pool| pool.on_cold(now, id, remaining))
    }

    /// Records that the replicas of a service say they are brittle: one that has to reject more than
    /// `max_rejections` requests within a second falls over. Returns whether that was not known
    /// before.
    pub fn on_brittle(&mut self, now: Duration, service: &str, max_rejections: u32) -> bool {
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.on_brittle(now, max_rejections))
    }

    /// Records that a replica rejected a request. Returns the time for which it gets no other one
    /// from this router, if it is brittle.
    pub fn on_rejected(
        &mut self,
        now: Duration,
        service: &str,
        incarnation: &Incarnation,
    ) -> Option<Duration> {
        let routers = self.membership.live_count();
        self.pools.get_mut(service)?.on_rejected(now, incarnation, routers)
    }

    /// Records that data of an answer arrived from a replica of a service.
    pub fn on_data(&mut self, now: Duration, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_data(now);
        }
    }

    /// Returns the replicas to open a connection to, with their services, in order to find out
    /// whether this router reaches them.
    pub fn probes(&mut self, now: Duration) -> Vec<(Arc<str>, Incarnation)> {
        let mut probes = Vec::new();
        for (service, pool) in &mut self.pools {
            let probed = pool.probes(now, &mut self.random);
            probes.extend(probed.into_iter().map(|replica| (service.clone(), replica)));
        }
        probes
    }

    /// Records how long a request waited for the first byte of its answer.
    pub fn on_first_byte(&mut self, now: Duration, service: &str, waited: Duration) {
        let routers = self.membership.live_count();
        if let Some(pool) = self.pools.get_mut(service) {
            pool.on_first_byte(now, waited, routers);
        }
    }
}

/// Returns the bound on the requests to a cold replica of a service.
fn cold_bound(
    configuration: &Configuration,
    service: &str,
    settings: &FleetSettings,
) -> Option<ColdBound> {
    let requests_per_s = configuration.services.get(service)?.cold_requests_per_s?;
    Some(ColdBound::new(requests_per_s, &settings.cold))
}
