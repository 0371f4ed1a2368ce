//! Division of overloaded services between ranks and workspaces.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::{CallerRequest, Fleet};
use crate::configuration::Configuration;
use crate::placement::PlacementRequest;
use crate::shares::{Admission, OverloadChange, ReportedLoad, ServiceStatus, Totals, WorkspaceKey};
use crate::verdict::Refusal;

impl Fleet {
    /// Drops the shares of services and workspaces that a new configuration does not have.
    pub(super) fn retain_shares(&mut self, configuration: &Configuration) {
        let workspaces: HashSet<WorkspaceKey> =
            configuration.workspaces.names().map(|name| WorkspaceKey::of(name)).collect();
        self.shares.retain(
            |service| configuration.services.contains_key(service),
            |workspace| workspaces.contains(&workspace),
        );
    }

    /// Records what a request offers to its service.
    pub(super) fn on_offered(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        request: &CallerRequest<'_>,
        is_returning: bool,
    ) {
        let demand = self.estimate_demand(&request.route.name, request.prompt);
        self.shares.on_request(now, service, request.class, demand, is_returning);
    }

    /// Decides whether the first attempt of a request may take a slot of a service that may be
    /// overloaded.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        service: &str,
        request: &PlacementRequest<'_>,
    ) -> Admission {
        let is_first = !request.has_started && request.tried.is_empty();
        let class = request.class.filter(|_| is_first && self.divides_services());
        let Some(class) = class else { return Admission::Normal };
        let Some(pool) = self.pools.get_mut(service) else { return Admission::Normal };
        let capacity_slots = pool.capacity_slots(now);
        let routers = self.membership.live_count();
        self.shares.admit(now, service, class, request.is_late, capacity_slots, routers)
    }

    /// Decides whether a request that no replica got may be handed to another router, which does not
    /// decide on it again.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request for which the overloaded service has no room.
    pub fn admit_detour(
        &mut self,
        now: Duration,
        service: &str,
        request: &PlacementRequest<'_>,
    ) -> Result<(), Refusal> {
        let Admission::Refused(reason) = self.admit(now, service, request) else { return Ok(()) };
        let retry_after = self.schedule_retry_after(now, service, request.max_retry_after);
        Err(Refusal::not_run(reason, Some(retry_after)))
    }

    /// Returns whether overloaded services are divided: in a fleet of at least as many routers as the
    /// settings say.
    pub(super) fn divides_services(&self) -> bool {
        let settings = &self.settings.shares;
        settings.is_enabled() && self.membership.live_count() >= settings.min_routers
    }

    /// Returns the load of each service at this router, for other routers. There is none while
    /// services are not divided.
    pub fn own_loads(&self, now: Duration) -> Vec<(Arc<str>, ReportedLoad)> {
        let mut loads = Vec::new();
        if !self.divides_services() {
            return loads;
        }
        for (service, pool) in &self.pools {
            let load = ReportedLoad {
                rows: self.shares.own_rows(now, service),
                in_progress: f64::from(pool.own_requests()),
                is_overloaded: self.shares.is_loaded(now, service),
            };
            loads.push((service.clone(), load));
        }
        loads
    }

    /// Records the offered load of a service over all routers.
    pub fn set_totals(&mut self, now: Duration, service: &Arc<str>, totals: Totals) {
        if let Some(pool) = self.pools.get_mut(service) {
            let routers = self.membership.live_count();
            let Totals { in_progress, routers: counted, age, .. } = totals;
            pool.set_requests_in_progress(now, in_progress, counted, routers, age);
        }
        self.shares.set_totals(now, service, totals);
    }

    /// Returns the services that have become overloaded, or no longer are, since the last call.
    pub fn take_overload_changes(&mut self, now: Duration) -> Vec<OverloadChange> {
        if !self.divides_services() {
            self.shares.forget_plans();
        }
        self.shares.take_overload_changes(now)
    }

    /// Returns how a service is divided, for operators.
    pub fn shares_status(&self, now: Duration, service: &str) -> Option<ServiceStatus> {
        self.shares.status(now, service)
    }
}
