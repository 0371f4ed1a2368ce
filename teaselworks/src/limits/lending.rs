//! The owner's side: lends from the limits of the workspaces that this router owns.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_config::configuration::{NumberedConfiguration, WorkspaceLimits};
use teaselworks_policy::admission::lending::{FleetLimits, Lender};
use teaselworks_policy::admission::loan::{Ask, Grant, LeaseEnd, Settlement};
use teaselworks_policy::membership::View;
use teaselworks_policy::name::Name;

use super::ownership::Ownership;

/// Allowances lent by one router.
#[derive(Debug)]
pub struct Lending {
    ownership: Ownership,
    lender: Lender,
}

impl Lending {
    /// Makes the side of a router that has lent nothing; `first_slot` must be drawn at random.
    pub fn new(router: Name, first_slot: u64) -> Self {
        Self { ownership: Ownership::new(router), lender: Lender::new(first_slot) }
    }

    /// Takes the present view.
    pub fn note(&mut self, now: Duration, view: &Arc<View>) {
        self.ownership.note(now, view);
    }

    /// Answers a request for allowance; `None` when this router does not own the workspace or
    /// does not know its limits.
    pub fn lend(
        &mut self,
        now: Duration,
        view: &Arc<View>,
        numbered: &NumberedConfiguration,
        ask: &Ask,
    ) -> Option<Grant> {
        self.ownership.note(now, view);
        let owned_since = self.ownership.owned_since(&ask.workspace)?;
        let limits = &numbered.configuration.workspaces.get(&ask.workspace)?.limits;
        Some(self.lender.lend(now, owned_since, &fleet_limits(limits, view), ask))
    }

    /// Takes back a slot and corrects the tokens of a request that ended.
    pub fn settle(&mut self, settlement: &Settlement) {
        self.lender.settle(settlement);
    }

    /// Takes back a lease.
    pub fn end_lease(&mut self, end: &LeaseEnd) {
        self.lender.end_lease(end);
    }
}

/// Returns the limits of a workspace over the fleet, with the routers that hold shares of them.
pub fn fleet_limits(limits: &WorkspaceLimits, view: &View) -> FleetLimits {
    FleetLimits {
        requests_per_s: limits.requests_per_s,
        tokens_per_s: limits.tokens_per_s,
        concurrent_requests: limits.concurrent_requests,
        live_routers: u32::try_from(view.owners().count()).unwrap_or(u32::MAX).max(1),
    }
}
