//! What one router believes about the fleet, and the decisions that rest on it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::configuration::{Configuration, Route};
use crate::deadline::DeadlineBaselines;
use crate::durations::RouteDurations;
use crate::membership::Membership;
use crate::placement::{Demand, Placement, PlacementSettings, place};
use crate::retry::{BudgetSettings, RetryBudget};
use crate::stop::{Arrival, StopPlan};
use crate::upstream::{
    Change, ConnectTimes, HeardOf, Incarnation, Judged, LoadReport, Pool, Sightings, Symptom,
    Upstream,
};
use crate::verdict::{Refusal, RefusalReason};

/// Time after which a caller of a service without any replica comes back.
const UNKNOWN_RETURN: Duration = Duration::from_millis(300);

/// Bounds that decisions keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// Multiple of the mean load of a service that no replica should exceed.
    pub load_factor: f64,
    /// Bound on repeats over all routers.
    pub budget: BudgetSettings,
}

/// State behind the decisions of one router.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    configuration: Option<Arc<Configuration>>,
    pools: HashMap<Arc<str>, Pool>,
    budget: RetryBudget,
    durations: RouteDurations,
    deadlines: DeadlineBaselines,
    random: Pcg32,
    /// Times to connections to replicas.
    pub connect_times: ConnectTimes,
    /// The other routers.
    pub membership: Membership,
}

impl Fleet {
    /// Makes the state of a router that knows nothing yet; `seed` sets its random choices.
    pub fn new(settings: FleetSettings, membership: Membership, seed: u64) -> Self {
        Self {
            settings,
            configuration: None,
            pools: HashMap::new(),
            budget: RetryBudget::new(settings.budget),
            durations: RouteDurations::default(),
            deadlines: DeadlineBaselines::default(),
            random: Pcg32::seed_from_u64(seed),
            connect_times: ConnectTimes::default(),
            membership,
        }
    }

    /// Changes the bounds.
    pub fn set_settings(&mut self, settings: FleetSettings) {
        self.settings = settings;
        self.budget.set_settings(settings.budget);
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Puts a configuration in force; false where the one in force is as new.
    ///
    /// Another router or a slow answer of the store may bring an older one.
    pub fn set_configuration(&mut self, configuration: Configuration) -> bool {
        let in_force = self.configuration.as_ref().map(|configuration| configuration.version);
        if in_force.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.durations.retain(&configuration.routes);
        self.deadlines.retain(&configuration.routes);
        for (service, pool) in &mut self.pools {
            pool.set_target(configuration.routes.shortest_target_latency(service));
        }
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Applies a change of the list of upstreams.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Serving(upstream) | Change::Restarted(upstream) => self.put(upstream),
            Change::Suspended(id) => self.pools.values_mut().for_each(|pool| pool.suspend(id)),
            Change::Draining(id) => self.pools.values_mut().for_each(|pool| pool.set_draining(id)),
            Change::Missing(_) | Change::Stale(_) => {}
            Change::Gone(id) => self.pools.values_mut().for_each(|pool| pool.remove(id)),
        }
    }

    /// Moves a replica to the service that it names now.
    fn put(&mut self, upstream: &Upstream) {
        for (service, pool) in &mut self.pools {
            if *service != upstream.service {
                pool.remove(&upstream.id);
            }
        }
        let service = &upstream.service;
        let routes = self.configuration.as_ref().map(|configuration| &configuration.routes);
        let target = routes.and_then(|routes| routes.shortest_target_latency(service));
        let pool = self.pools.entry(service.clone()).or_default();
        pool.set_target(target);
        pool.put(upstream.clone());
    }

    /// Tells whether requests can be served: a configuration and a replica of one of its services
    /// are known.
    pub fn is_ready(&self) -> bool {
        let Some(configuration) = &self.configuration else { return false };
        let mut services = configuration.services.keys();
        services.any(|name| self.pool(name).is_some_and(|pool| !pool.members().is_empty()))
    }

    /// Returns the replicas of a service.
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Tells whether a stopping router will be done with a request in time.
    pub fn admit_while_stopping(
        &mut self,
        plan: &StopPlan,
        elapsed: Duration,
        route: &Arc<str>,
        time_limit: Duration,
        latest_return: Duration,
    ) -> Result<(), Refusal> {
        let duration_estimate = self.durations.duration_estimate(route);
        let has_serving_peers = self.membership.are_most_peers_listed();
        let arrival = Arrival { time_limit, duration_estimate, latest_return, has_serving_peers };
        plan.admit(elapsed, &arrival, &mut self.random)
    }

    /// Takes the time from a request to the end of its answer.
    pub fn on_answered(&mut self, route: &Arc<str>, elapsed: Duration) {
        self.durations.observe(route, elapsed);
    }

    /// Counts a request for a service; tells whether its caller was refused before and came back.
    pub fn on_request(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        route: &Route,
        deadline: Option<Duration>,
    ) -> bool {
        self.budget.on_request(now, service);
        let Some(deadline) = deadline else { return false };
        // Those that were refused are back within what is left of their time.
        let refused_at = self.pools.get(service).and_then(|pool| pool.returns.refused_at());
        if refused_at.is_none_or(|refused_at| now.saturating_sub(refused_at) > deadline) {
            self.deadlines.observe(route, deadline);
        }
        self.deadlines.is_late(route, deadline)
    }

    /// Takes one repeat from the retry budget; false where it is spent.
    pub fn try_take_retry(&mut self, now: Duration, service: &Arc<str>) -> bool {
        self.budget.try_take(now, service, self.membership.live_count())
    }

    /// Chooses a replica and counts the request there; [`Fleet::on_attempt_end`] takes it off.
    pub fn place(
        &mut self,
        now: Duration,
        service: &str,
        demand: &Demand<'_>,
    ) -> Result<Placement, Refusal> {
        let settings = PlacementSettings {
            capacity_factor: self.settings.load_factor,
            routers: self.membership.live_count(),
        };
        let Some(pool) = self.pools.get_mut(service) else {
            return Err(Refusal::not_run(RefusalReason::NoReplica, Some(UNKNOWN_RETURN)));
        };
        match place(pool, now, demand, &settings, &mut self.random) {
            Ok(placement) => {
                pool.begin(now, &placement.upstream.incarnation());
                pool.returns.on_placed(now);
                Ok(placement)
            }
            Err(refusal) if refusal.reason.is_overload() => {
                let retry_after =
                    pool.returns.schedule(now, demand.latest_return, &mut self.random);
                Err(Refusal { retry_after: Some(retry_after), ..refusal })
            }
            Err(refusal) => Err(refusal),
        }
    }

    /// Takes what a replica says of its load.
    pub fn on_load_report(
        &mut self,
        now: Duration,
        service: &str,
        incarnation: &Incarnation,
        report: LoadReport,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.report(now, incarnation, report);
        }
    }

    /// Returns what was heard of replicas after a time, for other routers; `only_own` leaves out what
    /// others said.
    pub fn sightings_after(&self, now: Duration, after: Duration, only_own: bool) -> Sightings {
        let mut sightings = Sightings::default();
        for pool in self.pools.values() {
            sightings.extend(pool.sightings_after(now, after, only_own));
        }
        sightings
    }

    /// Takes what another router heard of replicas; returns those that are ejected or in use again
    /// for it.
    ///
    /// Answers many routers before many replicas, of which each hears from one only now and then.
    pub fn merge_from_peer(&mut self, now: Duration, sightings: &Sightings) -> Vec<Judged> {
        if sightings.is_empty() {
            return Vec::new();
        }
        let heard = HeardOf::from(sightings);
        self.pools.values_mut().flat_map(|pool| pool.hear(now, &heard)).collect()
    }

    /// Takes a request off a replica that held it for a time; tells whether the replica is ejected.
    pub fn on_attempt_end(
        &mut self,
        now: Duration,
        service: &str,
        incarnation: &Incarnation,
        symptom: Option<Symptom>,
        held: Duration,
    ) -> bool {
        self.pools.get_mut(service).is_some_and(|pool| pool.end(now, incarnation, symptom, held))
    }

    /// Returns when a caller whose request replicas turned away should come back.
    pub fn schedule_retry_after(
        &mut self,
        now: Duration,
        service: &str,
        latest: Duration,
    ) -> Duration {
        match self.pools.get_mut(service) {
            Some(pool) => pool.returns.schedule(now, latest, &mut self.random),
            None => UNKNOWN_RETURN.min(latest),
        }
    }

    /// Takes how long a request waited for the first byte of its answer.
    pub fn on_first_byte(&mut self, now: Duration, service: &str, waited: Duration) {
        let routers = self.membership.live_count();
        if let Some(pool) = self.pools.get_mut(service) {
            pool.first_byte(now, waited, routers);
        }
    }
}
