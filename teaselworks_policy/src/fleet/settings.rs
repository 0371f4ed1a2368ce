//! Settings of the routing decisions.

use std::time::Duration;

use crate::retry::BudgetSettings;
use crate::shares::SharesSettings;
use crate::upstream::ColdSettings;

/// Configurable bounds on load and retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// Bound on the load of a replica, as a multiple of the mean load of its service. Placement
    /// uses only part of what this allows above the mean, and adds a few requests to it.
    pub load_factor: f64,
    /// How far the requests of all routers to a cold replica may exceed the rate that it bears.
    pub cold: ColdSettings,
    /// Retry budget of all routers together; each router uses its share of it.
    pub budget: BudgetSettings,
    /// How an overloaded service is divided between callers.
    pub shares: SharesSettings,
    /// Bound on how far the routers' knowledge of the list of upstreams may lag behind the store.
    pub max_staleness: Duration,
}

impl FleetSettings {
    /// Returns the time after which a software version that is new to this router is known to all
    /// routers whose list of upstreams is current.
    pub(super) fn version_settling(&self) -> Duration {
        self.max_staleness * 2
    }

    /// Returns the age up to which the list of upstreams and routers is current. It is shorter than
    /// [`FleetSettings::version_settling`] by what a message between routers may take.
    pub(super) fn max_list_age(&self) -> Duration {
        self.max_staleness * 3 / 2
    }

    /// Returns the time for which a router is registered before it uses its part of the retry slack.
    pub(super) fn slack_settling(&self) -> Duration {
        self.budget.window + self.max_list_age()
    }
}
