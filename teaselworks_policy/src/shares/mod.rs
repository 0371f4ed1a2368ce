//! Divides the slots of an overloaded service between ranks and workspaces, over all routers.
//!
//! Each router measures the load that it is offered, and gets the sum over all routers from the
//! exchange. All make the same [`Plan`] from it, and each admits the planned fraction of the
//! requests of each class. A router without recent totals plans its own load on its part of the
//! capacity.

mod admission;
mod class;
mod exchange;
mod gate;
mod offered;
mod offered_row;
mod pace;
mod plan;
mod rank_order;
mod service;
mod settings;
mod status;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use self::admission::Admission;
pub use self::class::{Class, WorkspaceKey};
pub use self::exchange::{Exchange, ExchangeKind, ExchangeMessage, ReportedLoad, service_key};
pub use self::offered_row::{OfferedRow, RankLoad, Totals};
pub use self::plan::{ClassPlan, Plan, RankPlan, WorkspacePlan, is_overloaded, plan};
pub use self::rank_order::{max_min, rank_amounts};
use self::service::{Capacity, ServiceShares};
pub use self::settings::SharesSettings;
pub use self::status::{OverloadChange, ServiceStatus, WorkspaceStatus};
use crate::demand::Demand;

/// Division of the overloaded services, as this router sees it.
#[derive(Debug, Default)]
pub struct Shares {
    settings: SharesSettings,
    services: HashMap<Arc<str>, ServiceShares>,
}

impl Shares {
    /// Creates the state of a router that has seen no request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::demand::Demand;
    /// use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings};
    ///
    /// let now = Duration::from_secs(1);
    /// let class = Class { rank: 0, workspace: None };
    /// let demand = Demand { slot_time: Duration::from_secs(1) };
    /// let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// shares.on_request(now, &"chat".into(), &class, demand, false);
    /// let admission = shares.admit(now, "chat", &class, false, 100.0, 1);
    /// assert_eq!(admission, Admission::Normal);
    /// ```
    pub fn new(settings: SharesSettings) -> Self {
        Self { settings, services: HashMap::new() }
    }

    /// Replaces the settings; what was recorded under others is dropped.
    pub fn set_settings(&mut self, settings: SharesSettings) {
        if settings != self.settings {
            *self = Self::new(settings);
        }
    }

    /// Records a request of a caller; it counts as offered load whether it is admitted or not.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let class = Class { rank: 2, workspace: Some("search".into()) };
    /// let demand = Demand { slot_time: Duration::from_millis(600) };
    /// shares.on_request(now, &service, &class, demand, true);
    /// assert_eq!(shares.own_rows(now, "chat")[0].ranks[0].returning, 2.0);
    /// ```
    pub fn on_request(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        class: &Class,
        demand: Demand,
        is_returning: bool,
    ) {
        if !self.settings.is_enabled() {
            return;
        }
        let key = self.settings.key(class);
        let state = self.service_mut(now, service);
        state.on_request(now, key, demand.slot_time, is_returning);
    }

    /// Decides on a request that [`Shares::on_request`] has recorded.
    ///
    /// `capacity_slots` is the capacity of the whole service, and `routers` the number of routers
    /// that this router knows of, itself included.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let demand = Demand { slot_time: Duration::from_secs(30) };
    /// for rank in [0, 1] {
    ///     let class = Class { rank, workspace: None };
    ///     shares.on_request(now, &service, &class, demand, false);
    /// }
    /// let class = Class { rank: 0, workspace: None };
    /// let admission = shares.admit(now, &service, &class, false, 40.0, 1);
    /// assert!(matches!(admission, Admission::Planned { is_marginal: false, .. }));
    /// ```
    pub fn admit(
        &mut self,
        now: Duration,
        service: &str,
        class: &Class,
        is_returning: bool,
        capacity_slots: f64,
        routers: u32,
    ) -> Admission {
        let key = self.settings.key(class);
        let Some(state) = self.services.get_mut(service) else {
            return Admission::Normal;
        };
        state.update_plan(now, Capacity { slots: capacity_slots, routers });
        state.admit(now, key, is_returning)
    }

    /// Returns the load that this router is offered, sorted by workspace, for the exchange.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::demand::Demand;
    /// use teaselworks_policy::shares::{Class, Shares, SharesSettings};
    ///
    /// let class = Class { rank: 0, workspace: Some("search".into()) };
    /// let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let demand = Demand { slot_time: Duration::from_millis(300) };
    /// shares.on_request(Duration::ZERO, &"chat".into(), &class, demand, false);
    /// assert_eq!(shares.own_rows(Duration::ZERO, "chat")[0].offered_slots(), 1.0);
    /// ```
    pub fn own_rows(&self, now: Duration, service: &str) -> Vec<OfferedRow> {
        let state = self.services.get(service);
        state.map_or_else(Vec::new, |state| state.offered.rows(now, offered::Reader::Exchange))
    }

    /// Records the latest totals of a service, which replace the earlier ones.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let age = Duration::from_millis(300);
    /// shares.set_totals(now, &service, Totals { rows: vec![], in_progress: 7.0, routers: 64, age });
    /// assert_eq!(shares.status(now, "chat").unwrap().totals_age, Some(age));
    /// ```
    pub fn set_totals(&mut self, now: Duration, service: &Arc<str>, mut totals: Totals) {
        if !self.settings.is_enabled() {
            return;
        }
        totals.rows = self.settings.merge(totals.rows);
        self.service_mut(now, service).set_totals(now, totals);
    }

    /// Returns the requests in progress at a service over all routers; `None` where the totals are
    /// missing or too old.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let age = Duration::from_millis(300);
    /// shares.set_totals(now, &service, Totals { rows: vec![], in_progress: 7.0, routers: 64, age });
    /// assert_eq!(shares.in_progress(now, "chat"), Some(7.0));
    /// assert_eq!(shares.in_progress(now + Duration::from_secs(2), "chat"), None);
    /// ```
    pub fn in_progress(&self, now: Duration, service: &str) -> Option<f64> {
        Some(self.services.get(service)?.recent_totals(now)?.in_progress)
    }

    /// Returns whether a service was overloaded when the latest plan was made.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let demand = Demand { slot_time: Duration::from_secs(30) };
    /// for rank in [0, 1] {
    ///     let class = Class { rank, workspace: None };
    ///     shares.on_request(now, &service, &class, demand, false);
    /// }
    /// let class = Class { rank: 0, workspace: None };
    /// let admission = shares.admit(now, &service, &class, false, 40.0, 1);
    /// assert!(shares.is_overloaded("chat"));
    /// ```
    pub fn is_overloaded(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(ServiceShares::is_overloaded)
    }

    /// Returns whether the offered load of a service, as far as this router knows it, exceeds half of
    /// the capacity by the latest plan, so that an overload may follow.
    pub fn is_loaded(&self, now: Duration, service: &str) -> bool {
        self.services.get(service).is_some_and(|state| state.is_loaded(now))
    }

    /// Returns the state of a service for operators; `None` if no request to it was recorded.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let demand = Demand { slot_time: Duration::from_secs(30) };
    /// for rank in [0, 1] {
    ///     let class = Class { rank, workspace: None };
    ///     shares.on_request(now, &service, &class, demand, false);
    /// }
    /// let class = Class { rank: 0, workspace: None };
    /// let admission = shares.admit(now, &service, &class, false, 40.0, 1);
    /// let status = shares.status(now, "chat").unwrap();
    /// assert_eq!((status.is_overloaded, status.offered_slots), (true, 60.0));
    /// ```
    pub fn status(&self, now: Duration, service: &str) -> Option<ServiceStatus> {
        self.services.get(service)?.status(now)
    }

    /// Drops the plans, since services are not divided at the moment.
    pub fn forget_plans(&mut self) {
        self.services.values_mut().for_each(ServiceShares::forget_plan);
    }

    /// Returns the services that have become overloaded or no longer are since the last call.
    ///
    /// A service that gets no more requests is no longer overloaded, which this call notices.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use teaselworks_policy::demand::Demand;
    /// # use teaselworks_policy::shares::{Admission, Class, Shares, SharesSettings, Totals};
    /// # let now = Duration::from_secs(1);
    /// # let service = "chat".into();
    /// # let mut shares = Shares::new(SharesSettings { by_priority: true, workspace_shares: true, min_routers: 0 });
    /// let demand = Demand { slot_time: Duration::from_secs(30) };
    /// for rank in [0, 1] {
    ///     let class = Class { rank, workspace: None };
    ///     shares.on_request(now, &service, &class, demand, false);
    /// }
    /// let class = Class { rank: 0, workspace: None };
    /// let admission = shares.admit(now, &service, &class, false, 40.0, 1);
    /// assert!(shares.take_overload_changes(now)[0].is_overloaded);
    /// assert!(shares.take_overload_changes(now).is_empty());
    /// ```
    pub fn take_overload_changes(&mut self, now: Duration) -> Vec<OverloadChange> {
        let mut changes = Vec::new();
        for (service, state) in &mut self.services {
            state.update_idle(now);
            changes.extend(state.take_overload_change(now, service));
        }
        changes
    }

    /// Drops the state of services and workspaces that the configuration no longer has.
    ///
    /// ```
    /// use teaselworks_policy::shares::{Shares, WorkspaceKey};
    ///
    /// let search = WorkspaceKey::of("search");
    /// Shares::default().retain(|service| service == "chat", |workspace| workspace == search);
    /// ```
    pub fn retain(
        &mut self,
        has_service: impl Fn(&str) -> bool,
        has_workspace: impl Fn(WorkspaceKey) -> bool,
    ) {
        self.services.retain(|service, _| has_service(service));
        for state in self.services.values_mut() {
            state.retain(|workspace| workspace == WorkspaceKey::REST || has_workspace(workspace));
        }
    }

    fn service_mut(&mut self, now: Duration, service: &Arc<str>) -> &mut ServiceShares {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceShares::new(now));
        }
        self.services.get_mut(service).expect("the service was added")
    }
}
